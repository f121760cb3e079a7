//! The messages of the control thread: events, and the requests that it replies to.

use {
    super::*,
    crate::renewal::RenewalResult,
    marigoldbend_core::sched::{
        deputy::RenewalCall,
        loans::{Loan, LoanRequest},
    },
};

/// An event that changes the control state.
///
/// The fields of events about a shard begin with the shard's name, followed by the fencing token of
/// the leadership that caused the event, except for `TakeoverStep`, `TakenOver` and `StoreHeartbeat`. An event with
/// any other token than the current one is ignored.
#[derive(Debug)]
pub enum Event {
    /// Sent every [`TICK`].
    Tick,
    /// The settings were reloaded; the fields are the settings that take effect without a restart.
    Limits {
        /// The maximum duration of a lease on a worker.
        max_lease: Duration,
        /// The minimum time for which a draining worker stays.
        drain: Duration,
        /// The minimum time for which the state of a finished job can be read.
        keep: Duration,
        /// The age from which the configuration is out of date.
        config_max_age: Duration,
        /// The time within which the evacuation of a failure domain must bind; `None` if there is
        /// none.
        evacuation_max_age: Option<Duration>,
        /// The parts that the deployment asks for.
        features: Features,
    },
    /// A heartbeat arrived from a peer.
    Heartbeat(Heartbeat),
    /// A call for changes of the configuration has succeeded.
    Config {
        /// The newest configuration in the reply; `None` if it has not changed.
        newest: Option<Queues>,
        /// When the store certainly had no newer configuration; `None` if it may have had one.
        as_of: Option<Instant>,
        /// The evacuations of failure domains in the same reply.
        evacuations: EvacuationUpdate,
    },
    /// The list of workers, or some of its entries, was read.
    Workers {
        /// Whether `entries` is the full list; otherwise it contains only the changed entries.
        is_full_list: bool,
        /// The workers by name; `None` for an entry that was deleted or is not valid.
        entries: Vec<(String, Option<WorkerInfo>)>,
    },
    /// The instances and leases in the store, read once at the start.
    KnownInstances {
        /// Name, failure domain and address for peers of each instance.
        instances: Vec<(String, String, SocketAddr)>,
        /// Name of each shard that has a lease row, with that row.
        leases: Vec<(String, LeaseRow)>,
    },
    /// A takeover of a shard by this instance has made progress.
    TakeoverStep(String, TakeoverStep),
    /// A takeover of a shard by this instance succeeded or failed.
    TakenOver(String, Result<TakeoverState, TakeoverError>),
    /// Rows of the job table of a led shard were read: whether they are all rows of the table, and
    /// the rows.
    JobRows(String, u64, bool, Vec<Row>),
    /// A worker of a led shard reported: the worker, its report, and when the report was requested.
    Report(String, u64, String, Report, Instant),
    /// The connection to a worker of a led shard failed while a report was requested.
    ConnectionLost(String, u64, String),
    /// A worker of a led shard replied to a command, or the command failed.
    CommandResult(String, u64, CommandResult),
    /// The approval service replied for a task: the task, pairs of a worker and its approval, and
    /// the remaining validity of the approvals.
    Approvals(String, u64, TaskName, Vec<(String, String)>, Duration),
    /// The store replied to a store heartbeat, which confirms that this instance led the shard when
    /// the heartbeat was sent, at the given time.
    StoreHeartbeatResult(String, u64, Instant, HeartbeatVersion),
    /// The lease row was read unchanged, which confirms the same of the time at which the read was
    /// sent.
    LeadershipConfirmed(String, u64, Instant),
    /// The store rejected a store heartbeat because the lease row names another leader.
    Replaced(String, u64),
    /// The next dispatch of a led shard's tasks is due.
    Wake(String, u64),
    /// The heartbeat row of a shard's leader was read from the store: its value, empty if there is
    /// no row.
    StoreHeartbeat(String, Vec<u8>),
    /// The move of a job to another shard succeeded (`true`) or failed (`false`).
    MoveResult(String, u64, JobId, bool),
    /// The reply to a request of this instance for a loan; `None` if there is none.
    Loan(LoanRequest, Option<Loan>),
    /// The result of a call to a worker under a loan, which was sent at the given time.
    Renewal(RenewalCall, Instant, RenewalResult),
    /// A transaction of a led shard ended: the rows that it wrote, and its outcome.
    Written(String, u64, Batch, Result<TxOutcome, StoreError>),
    /// The process shuts down.
    End,
}

/// The evacuations of failure domains in a reply of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationUpdate {
    /// Whether the reply has all evacuated domains; otherwise it has only what has changed.
    pub is_full_list: bool,
    /// The domains, and whether each is evacuated.
    pub domains: Vec<(String, bool)>,
}

/// Asks for the parameters of the next report request to a worker; the fields are the shard, the
/// fencing token and the worker.
#[derive(Debug)]
pub struct NextReportRequest(pub String, pub u64, pub String);

/// The version of the heartbeat row after a write that the lease row did not prevent.
#[derive(Clone, Copy, Debug)]
pub enum HeartbeatVersion {
    /// The heartbeat of a round (see [`Silences`](marigoldbend_core::sched::shard::Silences)) was
    /// written.
    Written {
        /// The number of the heartbeat.
        round: u64,
        /// The version of the row.
        version: u64,
    },
    /// Nothing was written, since the row had this version instead of the expected one.
    Found(u64),
}

/// Asks for the state of a job in a led shard; the reply is `None` if the shard is not led here or
/// does not contain the job.
#[derive(Debug)]
pub struct GetJobState(pub String, pub JobId);

/// Asks for the number of jobs in a queue of a led shard that have not started; the reply is `None` if
/// the shard is not led here.
#[derive(Debug)]
pub struct GetPending(pub String, pub String);

/// Asks for the evacuated failure domains of a led shard; the reply is `None` if it is not led here.
#[derive(Debug)]
pub struct GetEvacuations(pub String);

/// Asks for a loan; the reply is `None` if this instance lends nothing.
#[derive(Debug)]
pub struct GetLoan(pub LoanRequest);

/// Asks whether this instance is shutting down and leads no shard any more.
#[derive(Clone, Copy, Debug)]
pub struct HasResignedAll;

/// An event in the queue of the control thread.
#[derive(Debug)]
pub struct QueuedEvent {
    /// The event.
    pub event: Event,
    /// When the event was queued.
    pub queued_at: Instant,
}

/// The priority of ticks, heartbeats and configurations, which must not wait behind a burst of reports.
const URGENT: u32 = 1;

/// Sends an event to the control thread, and returns as soon as it is in the queue.
pub async fn send_event(address: &Address<Control>, event: Event) {
    let queued_at = Instant::now();
    // Sending fails only when the process ends.
    let _ = address
        .send(QueuedEvent { event, queued_at })
        .detach()
        .await;
}

/// Sends an event to the control thread, and returns once it has been handled. So a source that
/// sends one event after the other has at most one in the queue.
pub async fn deliver_event(address: &Address<Control>, event: Event) {
    let queued_at = Instant::now();
    // Sending fails only when the process ends.
    let _ = address.send(QueuedEvent { event, queued_at }).await;
}

/// Does the same as [`deliver_event`] for a tick, a heartbeat or a configuration, which passes other
/// events in the queue.
pub async fn deliver_urgent_event(address: &Address<Control>, event: Event) {
    let queued_at = Instant::now();
    let queued = QueuedEvent { event, queued_at };
    // Sending fails only when the process ends.
    let _ = address.send(queued).priority(URGENT).await;
}
