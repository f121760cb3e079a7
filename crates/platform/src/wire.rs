//! The messages of the platform's services, in JSON over HTTP.

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
    /// The number of writes to the row so far.
    pub version: Version,
    /// The [`Commit::op`] of the transaction that wrote this version.
    pub op: String,
    /// The value.
    pub value: Value,
}

/// A condition of a transaction: the row has the expected version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Check {
    /// The key.
    pub key: String,
    /// The expected version.
    pub version: Version,
}

/// A write that takes effect if the row has the expected version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The expected version; zero if the row must be absent.
    pub version: Version,
    /// The new value.
    pub value: Value,
}

/// A transaction: either all of its writes take effect or none.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Commit {
    /// The unique name of the operation. It is stored with each written row, so a client that lost
    /// the reply can recognise its own write.
    pub op: String,
    /// Conditions on rows that are not written.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Commit {
    /// Creates an empty transaction with the operation name `op`.
    pub fn new(op: impl Into<String>) -> Self {
        Self {
            op: op.into(),
            ..Self::default()
        }
    }

    /// Adds a condition on a row that is not written.
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

/// The reply to a transaction whose conditions were not met.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Conflicts {
    /// The keys of the rows that had another version than expected.
    pub conflicts: Vec<String>,
}

/// The state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// Running.
    Live,
    /// Running, but will end soon at the request of the platform.
    Leaving,
    /// Ended; its name is never used again.
    Gone,
}

/// An entry instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryInstance {
    /// The name of the instance.
    pub name: String,
    /// The state of the instance.
    pub state: Liveness,
}

/// A worker in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// The worker's number.
    pub id: WorkerId,
    /// The worker's failure domain.
    pub domain: Domain,
    /// The service whose upstream runs on the worker.
    pub service: String,
    /// The address that the upstream listens on.
    pub upstream: SocketAddr,
    /// The address that the platform's task agent listens on.
    pub agent: SocketAddr,
    /// The worker's state.
    pub state: Liveness,
}

/// The platform's instance list; it may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// The entry instances.
    pub entries: Vec<EntryInstance>,
    /// The workers.
    pub workers: Vec<Worker>,
}

/// One attempt of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskRef {
    /// The job's id and the task's index.
    pub task: String,
    /// The number of the attempt, which is its fencing token.
    pub attempt: u32,
}

/// The request to start an attempt under a lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartTask {
    /// The attempt.
    pub task: TaskRef,
    /// The batch class.
    pub class: String,
    /// The running time that the job declares, in milliseconds.
    pub run_ms: u64,
    /// The progress to resume from, in milliseconds.
    pub progress_ms: u64,
    /// The duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// The time after which the agent refuses this request, by the platform's wall clock, in
    /// milliseconds since the Unix epoch. It guards against requests that arrive late.
    pub not_after_unix_ms: u64,
}

/// The request to renew the leases of a worker's attempts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RenewTasks {
    /// The attempts.
    pub tasks: Vec<TaskRef>,
    /// The duration of the renewed leases from the renewal on, in milliseconds.
    pub lease_ms: u64,
}

/// The request to stop an attempt and fence it: the agent refuses to start it afterwards.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StopTask {
    /// The attempt.
    pub task: TaskRef,
    /// Whether the task writes a checkpoint before it stops.
    pub checkpoint: bool,
}

/// The request to throttle an attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ThrottleTask {
    /// The attempt.
    pub task: TaskRef,
    /// The speed of the attempt, in percent of its speed without throttling.
    pub percent: u32,
}

/// The state of an attempt on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt runs under its lease.
    Running,
    /// The task finished.
    Done,
    /// The task ended without finishing, and not because of a stop or an expired lease.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The attempt was stopped because its lease expired.
    Lapsed,
    /// The attempt has not started on this worker, and never will because it is fenced.
    Fenced,
    /// The worker has no record of the attempt.
    Unknown,
}

/// A worker's report on an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptStatus {
    /// The attempt.
    pub task: TaskRef,
    /// The attempt's state.
    pub state: AttemptState,
    /// The progress up to the newest checkpoint, in milliseconds.
    pub progress_ms: u64,
}

/// The reply to a renewal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RenewReply {
    /// The status of each attempt, in the order of the request.
    pub tasks: Vec<AttemptStatus>,
}

/// A worker's report of its usage; it may be out of date.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// The number of requests in flight.
    pub requests: u32,
    /// The number of running tasks.
    pub tasks: u32,
    /// The CPU usage, as a fraction of the worker's CPU capacity.
    pub cpu: f64,
    /// The age of this report, in milliseconds.
    pub age_ms: u64,
}
