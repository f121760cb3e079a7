//! The settings of an instance that schedules jobs on a platform with a store.

use {
    super::{Keys, LogLevel, Reader, SettingsError, check_keys},
    ini::Ini,
    marigoldbend_scheduler::settings::{Features, Settings as SchedulerSettings, ShardSettings},
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// The section that marks the settings of an instance that schedules jobs.
const SECTION: &str = "scheduler";

/// The name of the shard that spans the whole deployment.
const DEPLOYMENT_SHARD: &str = "all";

/// The limits of the processor time that an instance may use, in cores.
const MIN_CPU_SHARE: f64 = 0.001;
const MAX_CPU_SHARE: f64 = 1_024.0;

/// The sections and keys that a settings file may have.
const KEYS: Keys = &[
    ("instance", &["name", "failure_domain", "cpu_share"]),
    (
        "listen",
        &["callers", "readiness", "operators", "peers", "metrics"],
    ),
    (
        SECTION,
        &[
            "store",
            "advice",
            "failure_domains",
            "shards",
            "control_mode",
            "max_lease_ms",
            "drain_ms",
            "grace_ms",
            "keep_s",
            "config_max_age_ms",
            "evacuation_max_age_ms",
            "admission",
            "displace_long_running",
            "cost_of_delay",
            "delegated_renewal",
        ],
    ),
    ("limits", &["memory_mb", "max_fds"]),
    ("log", &["level"]),
];

/// A result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// The settings of an instance that schedules jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// The address on which to listen for callers.
    pub callers: SocketAddr,
    /// The address on which to listen for the platform's readiness probes.
    pub readiness: SocketAddr,
    /// The address on which to listen for operators; `None` to serve none.
    pub operators: Option<SocketAddr>,
    /// The address on which to serve metrics; `None` to serve none.
    pub metrics: Option<SocketAddr>,
    /// The grace period: how long a shutdown of the process may take.
    pub grace: Duration,
    /// The memory that the process may use, in megabytes; `None` if there is no limit.
    pub memory_mb: Option<u64>,
    /// The number of file descriptors that the process may have open; `None` if there is no limit.
    pub max_fds: Option<u64>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
}

impl Settings {
    /// Returns whether a settings file is for an instance that schedules jobs.
    pub fn is_for_scheduler(text: &str) -> bool {
        let header = format!("[{SECTION}]");
        text.lines().any(|line| line.trim() == header)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line, section and key that are wrong.
    pub fn load(path: &Path) -> Result<Self> {
        let to_error = |problem| SettingsError {
            file: path.display().to_string(),
            problem,
        };
        let text = fs::read_to_string(path);
        let text = text.map_err(|e| to_error(format!("can't be read: {e}")))?;
        Self::parse(&text).map_err(to_error)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the line, section and key that are wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let ini = Ini::load_from_str_noescape(text);
        let ini = ini.map_err(|e| format!("line {}: {}", e.line, e.msg))?;
        check_keys(text, &ini, KEYS)?;
        let reader = Reader { text, ini: &ini };
        let ms = |key, default, min, max| {
            let number = reader.number(SECTION, key, Some(default), min, max);
            number.map(Duration::from_millis)
        };
        let mode: Option<String> = reader.optional(SECTION, "control_mode")?;
        if mode.as_deref().is_some_and(|mode| mode != "call") {
            let problem = format!(
                "{:?} is not supported; expected call",
                mode.unwrap_or_default()
            );
            return Err(reader.invalid(SECTION, "control_mode", &problem));
        }
        let domain = reader.name("instance", "failure_domain")?;
        let mut domains: Vec<String> = reader.list(SECTION, "failure_domains")?;
        if !domains.contains(&domain) {
            domains.push(domain.clone());
        }
        let shards: Option<String> = reader.optional(SECTION, "shards")?;
        let shards = match shards.as_deref() {
            None | Some("deployment") => vec![ShardSettings {
                name: DEPLOYMENT_SHARD.to_owned(),
                domains,
            }],
            Some("failure_domain") => domains
                .into_iter()
                .map(|domain| ShardSettings {
                    name: domain.clone(),
                    domains: vec![domain],
                })
                .collect(),
            Some(other) => {
                let problem =
                    format!("{other:?} is not supported; expected deployment or failure_domain");
                return Err(reader.invalid(SECTION, "shards", &problem));
            }
        };
        let cores: f64 = reader.optional("instance", "cpu_share")?.unwrap_or(1.0);
        if !(MIN_CPU_SHARE..=MAX_CPU_SHARE).contains(&cores) {
            let problem = format!("{cores} is not within {MIN_CPU_SHARE} to {MAX_CPU_SHARE}");
            return Err(reader.invalid("instance", "cpu_share", &problem));
        }
        let flag = |key| {
            let value = reader.optional::<bool>(SECTION, key)?;
            Ok::<_, String>(value.unwrap_or(false))
        };
        let evacuation_max_age =
            reader.optional_number(SECTION, "evacuation_max_age_ms", 1_500, 600_000)?;
        let evacuation_max_age = evacuation_max_age.map(Duration::from_millis);
        let keep_s = reader.number(SECTION, "keep_s", Some(120), 1, 86_400)?;
        Ok(Self {
            scheduler: SchedulerSettings {
                name: reader.name("instance", "name")?,
                domain,
                shards,
                cpu_share: (cores * 1_000.0) as u32,
                peers: reader.required("listen", "peers")?,
                store: reader.required(SECTION, "store")?,
                advice: reader.optional(SECTION, "advice")?,
                max_lease: ms("max_lease_ms", 6_000, 500, 60_000)?,
                drain: ms("drain_ms", 2_000, 0, 60_000)?,
                keep: Duration::from_secs(keep_s),
                config_max_age: ms("config_max_age_ms", 3_000, 1_500, 600_000)?,
                evacuation_max_age,
                features: Features {
                    admission: flag("admission")?,
                    displace_long_running: flag("displace_long_running")?,
                    cost_of_delay: flag("cost_of_delay")?,
                    delegated_renewal: flag("delegated_renewal")?,
                },
            },
            memory_mb: reader.optional_number("limits", "memory_mb", 16, 1 << 24)?,
            max_fds: reader.optional_number("limits", "max_fds", 64, 1 << 24)?,
            callers: reader.required("listen", "callers")?,
            readiness: reader.required("listen", "readiness")?,
            operators: reader.optional("listen", "operators")?,
            metrics: reader.optional("listen", "metrics")?,
            grace: ms("grace_ms", 6_000, 500, 60_000)?,
            log_level: reader.optional("log", "level")?.unwrap_or(LogLevel::Info),
        })
    }
}
