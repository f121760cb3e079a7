//! The messages that the platform's services speak, as JSON over HTTP.

use {
    marigoldbend_core::ids::{Domain, Version, WorkerId},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::net::SocketAddr,
};

/// A row of the table; an absent row has version zero and a null value.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Grows by one with every write.
    pub version: Version,
    /// The operation that wrote it.
    pub op: String,
    /// The contents.
    pub value: Value,
}

/// A condition: the row still has this version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The expected version.
    pub version: Version,
}

/// A write over the expected version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The version that is written over; zero creates the row.
    pub version: Version,
    /// The new contents.
    pub value: Value,
}

/// A transaction: all of its writes or none.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Commit {
    /// Names the operation, so that it is recognised when it is read back.
    pub op: String,
    /// Conditions without a write.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Commit {
    /// Starts a transaction.
    pub fn new(op: impl Into<String>) -> Self {
        Self {
            op: op.into(),
            ..Self::default()
        }
    }

    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: Version) -> Self {
        let key = key.into();
        self.checks.push(Check { key, version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn write(mut self, key: impl Into<String>, version: Version, value: Value) -> Self {
        let key = key.into();
        self.writes.push(Write {
            key,
            version,
            value,
        });
        self
    }
}

/// The reply to a transaction that lost a race.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Conflicts {
    /// Keys whose version was another than expected.
    pub conflicts: Vec<String>,
}

/// The state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// Running.
    Live,
    /// Asked to end soon.
    Leaving,
    /// Ended for good; its name is never used again.
    Gone,
}

/// An entry instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInstance {
    /// The name.
    pub name: String,
    /// Its state.
    pub state: Liveness,
}

/// A worker in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// The number.
    pub id: WorkerId,
    /// Its failure domain.
    pub domain: Domain,
    /// The service whose upstream runs on it.
    pub service: String,
    /// Where the upstream listens.
    pub upstream: SocketAddr,
    /// Where the platform's task agent listens.
    pub agent: SocketAddr,
    /// Its state.
    pub state: Liveness,
}

/// The platform's instance list; it lags.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Entry instances.
    pub entries: Vec<EntryInstance>,
    /// Workers.
    pub workers: Vec<Worker>,
}

/// Names one attempt of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRef {
    /// The job's id and the task's index.
    pub task: String,
    /// The fencing token.
    pub attempt: u32,
}

/// Starts a task under a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartTask {
    /// The attempt.
    pub task: TaskRef,
    /// The batch class.
    pub class: String,
    /// The declared running time, in milliseconds.
    pub run_ms: u64,
    /// The progress to resume from, in milliseconds.
    pub progress_ms: u64,
    /// How long the lease holds without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// The platform's wall-clock time after which a start that was held up on its way is
    /// refused, in milliseconds since the Unix epoch.
    pub not_after_unix_ms: u64,
}

/// Renews leases of one worker's tasks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RenewTasks {
    /// The attempts.
    pub tasks: Vec<TaskRef>,
    /// How long the leases hold from now, in milliseconds.
    pub lease_ms: u64,
}

/// Stops a task, and fences its attempt: a start of it that arrives later is refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StopTask {
    /// The attempt.
    pub task: TaskRef,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Slows a task down.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ThrottleTask {
    /// The attempt.
    pub task: TaskRef,
    /// The share of its undisturbed speed, in percent.
    pub percent: u32,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Runs under its lease.
    Running,
    /// Has finished.
    Done,
    /// Ended by itself without finishing.
    Failed,
    /// Was stopped on request.
    Stopped,
    /// Was stopped because its lease lapsed.
    Lapsed,
    /// Was never started here, and never will be: it is fenced.
    Fenced,
    /// Is not known to this worker.
    Unknown,
}

/// A worker's word on one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptStatus {
    /// The attempt.
    pub task: TaskRef,
    /// What became of it.
    pub state: AttemptState,
    /// Progress up to the newest checkpoint, in milliseconds.
    pub progress_ms: u64,
}

/// The reply to a renewal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RenewReply {
    /// One status an attempt, in the order asked.
    pub tasks: Vec<AttemptStatus>,
}

/// What a worker reports of its use, with a lag.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Requests in flight.
    pub requests: u32,
    /// Tasks running.
    pub tasks: u32,
    /// Processor use, as a share of the worker.
    pub cpu: f64,
    /// The age of this report, in milliseconds.
    pub age_ms: u64,
}
