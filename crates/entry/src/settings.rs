//! The settings of one entry instance, read from an INI file.
//!
//! Unknown keys are rejected. An error names the file, the line, the section and the key.

pub mod scheduling;

use {
    ini::{Ini, Properties},
    marigoldbend::core::ids::Domain,
    snafu::Snafu,
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// The name of each section, then the names of its keys.
type Keys = &'static [(&'static str, &'static [&'static str])];

/// The sections and keys that a settings file may have.
const KEYS: Keys = &[
    ("instance", &["name", "domain"]),
    (
        "listen",
        &[
            "callers",
            "operators",
            "peers",
            "peer_advertise",
            "local_ip",
        ],
    ),
    ("platform", &["url", "timeout_ms"]),
    ("peers", &["seeds"]),
    ("traffic", &["threads"]),
    ("shutdown", &["balancer_wait_ms"]),
    ("limits", &["memory_mb", "max_fds"]),
    ("log", &["level"]),
];

/// A result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// Why settings could not be read; names the file, and the line, section and key if there are any.
#[derive(Debug, Snafu)]
#[snafu(display("{file}: {problem}"))]
pub struct SettingsError {
    file: String,
    problem: String,
}

/// The least severe level that is logged.
pub type LogLevel = log::LevelFilter;

/// The settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name in the platform's instance list.
    pub name: String,
    /// The instance's failure domain.
    pub domain: Domain,
    /// The address on which to listen for callers.
    pub callers: SocketAddr,
    /// The address on which to listen for operators.
    pub operators: SocketAddr,
    /// The address on which to listen for peers, over UDP and TCP.
    pub peers: SocketAddr,
    /// The address to announce to peers; `None` for the one that `peers` is bound to.
    pub peer_advertise: Option<SocketAddr>,
    /// The local address of outgoing connections; `None` to let the system choose.
    pub local_ip: Option<IpAddr>,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Addresses of peers to contact while no other member of the domain is known, or while no
    /// configuration is in force.
    pub seeds: Vec<SocketAddr>,
    /// The number of threads that serve traffic.
    pub threads: usize,
    /// How long an instance that shuts down still accepts connections, so that the load balancer
    /// has time to stop sending them.
    pub balancer_wait: Duration,
    /// The memory that the process may use, in megabytes; `None` if there is no limit.
    pub memory_mb: Option<u64>,
    /// The number of file descriptors that the process may have open; `None` if there is no limit.
    pub max_fds: Option<u64>,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the line, section and key that are wrong.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let to_error = |problem| SettingsError { file, problem };
        let text = fs::read_to_string(path).map_err(|e| to_error(format!("can't be read: {e}")));
        let text = text?;
        Self::parse(&text).map_err(|problem| {
            let file = path.display().to_string();
            SettingsError { file, problem }
        })
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
        let threads = reader.number("traffic", "threads", Some(2), 1, 64)?;
        let timeout_ms = reader.number("platform", "timeout_ms", Some(500), 10, 10_000)?;
        let balancer_ms = reader.number("shutdown", "balancer_wait_ms", Some(1_000), 0, 60_000)?;
        let domain = reader.number("instance", "domain", None, 1, u64::from(u16::MAX))?;
        Ok(Self {
            name: reader.name("instance", "name")?,
            domain: Domain(u16::try_from(domain).unwrap_or(u16::MAX)),
            callers: reader.required("listen", "callers")?,
            operators: reader.required("listen", "operators")?,
            peers: reader.required("listen", "peers")?,
            peer_advertise: reader.optional("listen", "peer_advertise")?,
            local_ip: reader.optional("listen", "local_ip")?,
            platform_url: reader.url("platform", "url")?,
            platform_timeout: Duration::from_millis(timeout_ms),
            seeds: reader.list("peers", "seeds")?,
            threads: usize::try_from(threads).unwrap_or(1),
            balancer_wait: Duration::from_millis(balancer_ms),
            memory_mb: reader.optional_number("limits", "memory_mb", 16, 1 << 24)?,
            max_fds: reader.optional_number("limits", "max_fds", 64, 1 << 24)?,
            log_level: reader.optional("log", "level")?.unwrap_or(LogLevel::Info),
        })
    }
}

fn check_keys(text: &str, ini: &Ini, keys: Keys) -> Result<(), String> {
    for (section, properties) in ini {
        let Some(section) = section else {
            if let Some((key, _)) = properties.iter().next() {
                let line = line_of(text, None, key);
                return Err(format!("line {line}: key {key:?} is outside any section"));
            }
            continue;
        };
        let allowed = keys.iter().find(|(name, _)| *name == section);
        let Some((_, keys)) = allowed else {
            let line = line_of_section(text, section);
            return Err(format!("line {line}: section [{section}] is unknown"));
        };
        check_section(text, section, properties, keys)?;
    }
    Ok(())
}

fn check_section(
    text: &str,
    section: &str,
    properties: &Properties,
    keys: &[&str],
) -> Result<(), String> {
    for (key, _) in properties.iter() {
        let line = line_of(text, Some(section), key);
        if !keys.contains(&key) {
            return Err(format!(
                "line {line}: [{section}] {key}: the key is unknown"
            ));
        }
        if properties.get_all(key).count() > 1 {
            return Err(format!(
                "line {line}: [{section}] {key}: the key is given twice"
            ));
        }
    }
    Ok(())
}

/// Reads typed values from a settings file; an error names the line, section and key.
struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
}

impl Reader<'_> {
    /// Returns a key's value without surrounding space; `None` if it is missing or empty.
    fn get(&self, section: &str, key: &str) -> Option<&str> {
        let value = self.ini.get_from(Some(section), key)?.trim();
        (!value.is_empty()).then_some(value)
    }

    fn invalid(&self, section: &str, key: &str, problem: &str) -> String {
        let line = line_of(self.text, Some(section), key);
        format!("line {line}: [{section}] {key}: {problem}")
    }

    fn optional<T: std::str::FromStr>(&self, section: &str, key: &str) -> Result<Option<T>, String>
    where
        T::Err: std::fmt::Display,
    {
        let Some(value) = self.get(section, key) else {
            return Ok(None);
        };
        let parsed = value.parse().map(Some);
        parsed.map_err(|e| self.invalid(section, key, &format!("{value:?}: {e}")))
    }

    fn required<T: std::str::FromStr>(&self, section: &str, key: &str) -> Result<T, String>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.optional(section, key)?;
        value.ok_or_else(|| format!("[{section}] {key}: the key is missing or empty"))
    }

    fn number(
        &self,
        section: &str,
        key: &str,
        default: Option<u64>,
        min: u64,
        max: u64,
    ) -> Result<u64, String> {
        let value = match (self.optional(section, key)?, default) {
            (Some(value), _) => value,
            (None, Some(default)) => default,
            (None, None) => return Err(format!("[{section}] {key}: the key is missing or empty")),
        };
        if (min..=max).contains(&value) {
            return Ok(value);
        }
        let problem = format!("{value} is not within {min} to {max}");
        Err(self.invalid(section, key, &problem))
    }

    /// Returns a number that may be left out; `None` if it is.
    fn optional_number(
        &self,
        section: &str,
        key: &str,
        min: u64,
        max: u64,
    ) -> Result<Option<u64>, String> {
        match self.optional::<u64>(section, key)? {
            Some(_) => self.number(section, key, None, min, max).map(Some),
            None => Ok(None),
        }
    }

    fn name(&self, section: &str, key: &str) -> Result<String, String> {
        let name: String = self.required(section, key)?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.len() <= 64 && name.chars().all(is_allowed) {
            return Ok(name);
        }
        let problem = "expected 1 to 64 letters, digits, '-' or '_'";
        Err(self.invalid(section, key, problem))
    }

    fn url(&self, section: &str, key: &str) -> Result<String, String> {
        let url: String = self.required(section, key)?;
        let parsed = url.parse::<hyper::Uri>();
        let is_http = parsed.is_ok_and(|u| u.scheme_str() == Some("http") && u.host().is_some());
        if is_http {
            return Ok(url);
        }
        let problem = format!("{url:?} is not an http:// URL");
        Err(self.invalid(section, key, &problem))
    }

    fn list<T: std::str::FromStr>(&self, section: &str, key: &str) -> Result<Vec<T>, String>
    where
        T::Err: std::fmt::Display,
    {
        let items = self.get(section, key).unwrap_or("").split(',');
        let items = items.map(str::trim).filter(|item| !item.is_empty());
        let parse = |item: &str| {
            let parsed = item.parse();
            parsed.map_err(|e| self.invalid(section, key, &format!("{item:?}: {e}")))
        };
        items.map(parse).collect()
    }
}

/// Returns the number of the last line with `key` in `section`, counted from one; zero if there is
/// none.
fn line_of(text: &str, section: Option<&str>, key: &str) -> usize {
    let mut current_section = None;
    let mut last_line = 0;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            current_section = Some(name.trim());
            continue;
        }
        let name = line.split(['=', ':']).next().map(str::trim);
        if current_section == section && name == Some(key) {
            last_line = i + 1;
        }
    }
    last_line
}

/// Returns the number of the line with a section's header, counted from one; zero if there is none.
fn line_of_section(text: &str, section: &str) -> usize {
    let is_header = |line: &str| {
        let name = line.trim().strip_prefix('[')?.strip_suffix(']')?;
        Some(name.trim() == section)
    };
    let index = text.lines().position(|line| is_header(line) == Some(true));
    index.map_or(0, |i| i + 1)
}
