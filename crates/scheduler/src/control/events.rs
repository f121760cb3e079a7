//! What the control thread is told and asked.

use super::*;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The settings have changed.
    Limits {
        /// The longest lease that workers grant.
        max_lease: Duration,
        /// How long a draining worker surely stays.
        drain: Duration,
        /// How long the state of a job that is over is told.
        keep: Duration,
    },
    /// A peer told of itself.
    Heartbeat(Heartbeat),
    /// The configuration was read.
    Config(Queues),
    /// The list of workers was read: whole, or some entries of it.
    Workers {
        /// Whether others than these are gone.
        whole: bool,
        /// The entries; `None` for one that is gone or not valid.
        entries: Vec<(String, Option<WorkerInfo>)>,
    },
    /// The instances and leases that the store knows, read at the start.
    KnownInstances {
        /// Names, failure domains and addresses.
        instances: Vec<(String, String, SocketAddr)>,
        /// Shards with their leader and its run.
        leases: Vec<(String, String, u64)>,
    },
    /// A takeover has ended.
    TakenOver(String, Result<TakeoverState, TakeoverError>),
    /// Jobs of a led shard were read.
    JobRows(String, u64, Vec<Row>),
    /// A worker of a led shard reported.
    Report(String, u64, String, Report, Instant),
    /// A worker of a led shard answered an order.
    CommandResult(String, u64, CommandResult),
    /// The advice service answered.
    Approvals(String, u64, TaskName, Vec<(String, String)>, Duration),
    /// The store showed to a call of that time that this instance leads a shard.
    Confirmed(String, u64, Instant),
    /// The store shows that another instance leads a shard.
    Replaced(String, u64),
    /// It is time to place tasks of a led shard.
    Wake(String, u64),
    /// The beat of a shard's leader was read in the store.
    StoreHeartbeat(String, Vec<u8>),
    /// A job of a led shard was passed on, or not.
    JobMoved(String, u64, JobId, bool),
    /// A write of a led shard has ended.
    Written(String, u64, Batch, Result<TxOutcome, StoreError>),
    /// The end of the process has begun.
    End,
}

/// Asks how a worker's next report is to be asked for.
#[derive(Debug)]
pub struct NextReportRequest(pub String, pub u64, pub String);

/// Asks for the state of a job of a shard.
#[derive(Debug)]
pub struct GetJobState(pub String, pub JobId);

/// Asks whether all leads were given up.
#[derive(Clone, Copy, Debug)]
pub struct GetResigned;

/// Sends an event to the control thread.
pub async fn send_event(address: &Address<Control>, event: Event) {
    // It fails only when the process ends.
    let _ = address.send(event).detach().await;
}
