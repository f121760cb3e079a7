//! The configuration that operators agree on, and its versions.
//!
//! It is one row in the platform's table. Operators race through its version; instances adopt
//! whatever is newer than what they have and never go back.

use {
    crate::ids::Version,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{collections::BTreeMap, sync::Arc},
};

/// A result of a check.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// The longest deadline that a service may allow, in milliseconds.
///
/// Ownership takeovers wait this long for what a lost owner may still have running.
pub const MAX_DEADLINE_MS: u64 = 5_000;

/// A service that upstreams offer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Requests that may wait for a slot in one entry instance.
    pub queue: u32,
    /// Whether its requests go before those of other services.
    pub latency_critical: bool,
}

/// A class of batch work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchClass {
    /// Slots of one worker that its tasks may use together.
    pub slots_per_worker: u32,
    /// Whether its tasks can be checkpointed.
    pub checkpoint: bool,
}

/// A team with a quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Tasks that it may have running in one domain.
    pub running_tasks: u32,
}

/// What the team weighs, relative to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Tail latency of services.
    pub tail_latency: u32,
    /// Evictions of batch tasks.
    pub evictions: u32,
    /// Batch throughput.
    pub throughput: u32,
}

/// What every worker holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Pieces of work at once.
    pub slots: u32,
    /// Connections at once.
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
    /// The weights of the measures.
    pub weights: Weights,
    /// The shape of a worker.
    pub worker: WorkerShape,
}

/// A value that the configuration can't have.
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

    /// Returns what is wrong with it.
    pub fn problem(&self) -> &str {
        &self.problem
    }
}

impl Config {
    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range.
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
            // Batch work stays within the share that an unconfirmed owner may use, so that the
            // fallback never finds tasks above it.
            let most = crate::ownership::row::fallback_share(self.worker.slots);
            check_range(&field, class.slots_per_worker.into(), 1, most.into())?;
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

fn check_range(field: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(ConfigError {
        field: field.to_owned(),
        problem: format!("{value} is not within {least} to {most}"),
    })
}

fn check_name(section: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !name.is_empty() && name.len() <= 64 && name.chars().all(allowed) {
        return Ok(());
    }
    Err(ConfigError {
        field: format!("{section}.{name}"),
        problem: "a name has 1 to 64 letters, digits, '-' or '_'".to_owned(),
    })
}

/// A configuration with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedConfig {
    /// The version of the row.
    pub version: Version,
    /// The configuration.
    pub config: Arc<Config>,
}

/// Holds the newest configuration that was seen.
#[derive(Clone, Debug, Default)]
pub struct NewestConfig {
    current: Option<VersionedConfig>,
}

impl NewestConfig {
    /// Takes in a configuration; returns whether it was newer and is now in force.
    pub fn observe(&mut self, seen: VersionedConfig) -> bool {
        if seen.version <= self.version() {
            return false;
        }
        self.current = Some(seen);
        true
    }

    /// Returns the version in force; zero before the first.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |c| c.version)
    }

    /// Returns the configuration in force.
    pub fn get(&self) -> Option<&VersionedConfig> {
        self.current.as_ref()
    }
}
