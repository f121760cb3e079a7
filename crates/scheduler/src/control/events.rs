//! The messages of the control thread: events, and the requests that it replies to.

use super::*;

/// An event that changes the control state.
///
/// Events about a led shard begin with the shard's name and, except for `TakenOver` and
/// `StoreHeartbeat`, the fencing token of the leadership that caused them. An event with any
/// other token than the current one is ignored.
#[derive(Debug)]
pub enum Event {
    /// Sent every [`TICK`].
    Tick,
    /// The settings were reloaded.
    Limits {
        /// The longest lease that workers grant.
        max_lease: Duration,
        /// How long a draining worker is certain to stay.
        drain: Duration,
        /// How long the state of a finished job can be read.
        keep: Duration,
    },
    /// A heartbeat of a peer arrived.
    Heartbeat(Heartbeat),
    /// The configuration was read.
    Config(Queues),
    /// The list of workers, or some of its entries, was read.
    Workers {
        /// Whether the entries are the whole list.
        whole: bool,
        /// The workers by name; `None` for an entry that was deleted or is not valid.
        entries: Vec<(String, Option<WorkerInfo>)>,
    },
    /// The instances and leases in the store, read once at the start.
    KnownInstances {
        /// Names, failure domains and addresses.
        instances: Vec<(String, String, SocketAddr)>,
        /// Shards with the name and the incarnation of their leader.
        leases: Vec<(String, String, u64)>,
    },
    /// A takeover of a shard succeeded or failed.
    TakenOver(String, Result<TakeoverState, TakeoverError>),
    /// Rows of the job table of a led shard were read.
    JobRows(String, u64, Vec<Row>),
    /// A worker of a led shard reported; the request was sent at the given time.
    Report(String, u64, String, Report, Instant),
    /// A worker of a led shard replied to a command, or the command failed.
    CommandResult(String, u64, CommandResult),
    /// The approval service replied for a task: worker and approval pairs, and how long they
    /// stay valid.
    Approvals(String, u64, TaskName, Vec<(String, String)>, Duration),
    /// A write sent at the given time confirmed that this instance leads the shard.
    Confirmed(String, u64, Instant),
    /// A write failed because another instance leads the shard.
    Replaced(String, u64),
    /// The tasks of a led shard are due for placement.
    Wake(String, u64),
    /// The heartbeat row of a shard's leader was read from the store; empty if it is absent.
    StoreHeartbeat(String, Vec<u8>),
    /// The move of a job to another shard succeeded (`true`) or failed.
    JobMoved(String, u64, JobId, bool),
    /// A write of a led shard finished.
    Written(String, u64, Batch, Result<TxOutcome, StoreError>),
    /// The process shuts down.
    End,
}

/// Asks for the parameters of the next report request to a worker: shard, token and worker.
#[derive(Debug)]
pub struct NextReportRequest(pub String, pub u64, pub String);

/// Asks for the state of a job in a led shard; the reply is `None` if the shard is not led here or
/// does not contain the job.
#[derive(Debug)]
pub struct GetJobState(pub String, pub JobId);

/// Asks whether this instance is shutting down and leads no shard any more.
#[derive(Clone, Copy, Debug)]
pub struct GetResigned;

/// Sends an event to the control thread.
pub async fn send_event(address: &Address<Control>, event: Event) {
    // Sending fails only when the process ends.
    let _ = address.send(event).detach().await;
}
