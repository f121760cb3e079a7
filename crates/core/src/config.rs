//! The shared configuration and its versions.
//!
//! The configuration is one row in the platform's table. Operators change it by compare-and-set
//! on its version. Instances adopt only a version newer than their own.

use {
    crate::ids::Version,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{collections::BTreeMap, sync::Arc},
};

/// The result of checking a configuration.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// The longest deadline of a request, in milliseconds.
///
/// When an entry instance takes over the ownership of a worker, it waits at least this long for
/// the requests that the previous owner may still have in flight.
pub const MAX_DEADLINE_MS: u64 = 5_000;

/// A service that upstreams offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The deadline of a request that specifies none, in milliseconds; 1 to [`MAX_DEADLINE_MS`].
    pub deadline_ms: u64,
    /// How many requests may wait for a slot in one entry instance.
    pub queue: u32,
    /// Whether the service's requests take precedence over those of other services.
    pub latency_critical: bool,
}

/// A class of batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchClass {
    /// How many slots of one worker the tasks of this class may use together; 1 to the worker's
    /// [`fallback_share`](crate::ownership::row::fallback_share).
    pub slots_per_worker: u32,
    /// Whether tasks of this class can be checkpointed.
    pub checkpoint: bool,
}

/// A team with a quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// How many tasks the team may have running in one failure domain.
    pub running_tasks: u32,
}

/// The relative weights of the scheduling goals, each 0 to 100.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The weight of keeping the tail latency of services low.
    pub tail_latency: u32,
    /// The weight of avoiding evictions of batch tasks.
    pub evictions: u32,
    /// The weight of a high batch throughput.
    pub throughput: u32,
}

/// The capacity of each worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// How many requests and tasks a worker runs at once.
    pub slots: u32,
    /// How many connections a worker accepts at once; at least `slots`.
    pub connections: u32,
}

/// The whole configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Services, by name.
    pub services: BTreeMap<String, Service>,
    /// Batch classes, by name.
    pub classes: BTreeMap<String, BatchClass>,
    /// Teams, by name.
    pub teams: BTreeMap<String, Team>,
    /// The weights of the scheduling goals.
    pub weights: Weights,
    /// The capacity of each worker.
    pub worker: WorkerShape,
}

/// An error that names a configuration field with an invalid name or value.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct ConfigError {
    field: String,
    problem: String,
}

impl ConfigError {
    /// Returns the path of the field, such as `services.inspection.deadline_ms`.
    pub fn field(&self) -> &str {
        &self.field
    }

    /// Returns what is wrong with the value.
    pub fn problem(&self) -> &str {
        &self.problem
    }
}

impl Config {
    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first field with an invalid name or value.
    pub fn check(&self) -> Result<()> {
        check_range("worker.slots", self.worker.slots.into(), 1, 1_000)?;
        let slots = u64::from(self.worker.slots);
        let connections = u64::from(self.worker.connections);
        check_range("worker.connections", connections, slots, 100_000)?;
        for (name, service) in &self.services {
            check_name("services", name)?;
            let field = format!("services.{name}.deadline_ms");
            check_range(&field, service.deadline_ms, 1, MAX_DEADLINE_MS)?;
            let field = format!("services.{name}.queue");
            check_range(&field, service.queue.into(), 0, 100_000)?;
        }
        for (name, class) in &self.classes {
            check_name("classes", name)?;
            let field = format!("classes.{name}.slots_per_worker");
            // An owner that loses its confirmation may use only the fallback share of the slots.
            // The limit keeps the tasks that are running then within that share.
            let fallback = crate::ownership::row::fallback_share(self.worker.slots);
            check_range(&field, class.slots_per_worker.into(), 1, fallback.into())?;
        }
        for (name, team) in &self.teams {
            check_name("teams", name)?;
            let field = format!("teams.{name}.running_tasks");
            check_range(&field, team.running_tasks.into(), 1, 1_000_000)?;
        }
        check_weight("weights.tail_latency", self.weights.tail_latency)?;
        check_weight("weights.evictions", self.weights.evictions)?;
        check_weight("weights.throughput", self.weights.throughput)
    }
}

fn check_weight(field: &str, weight: u32) -> Result<()> {
    check_range(field, weight.into(), 0, 100)
}

fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ConfigError {
        field: field.to_owned(),
        problem: format!("{value} is not within {min} to {max}"),
    })
}

fn check_name(section: &str, name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(ConfigError {
        field: format!("{section}.{name}"),
        problem: "expected a name of 1 to 64 ASCII letters, digits, '-' or '_'".to_owned(),
    })
}

/// A configuration and its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedConfig {
    /// The version of the configuration's row.
    pub version: Version,
    /// The configuration.
    pub config: Arc<Config>,
}

/// The newest configuration that an instance has seen.
#[derive(Clone, Debug, Default)]
pub struct NewestConfig {
    current: Option<VersionedConfig>,
}

impl NewestConfig {
    /// Adopts a configuration if it is newer than the current one; returns whether it was.
    pub fn observe(&mut self, seen: VersionedConfig) -> bool {
        if seen.version <= self.version() {
            return false;
        }
        self.current = Some(seen);
        true
    }

    /// Returns the version of the adopted configuration; zero before the first.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |c| c.version)
    }

    /// Returns the adopted configuration, or `None` before the first.
    pub fn get(&self) -> Option<&VersionedConfig> {
        self.current.as_ref()
    }
}
