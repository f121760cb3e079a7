//! A home's records of attempts that may be running.

use {
    crate::worker::TaskSlot,
    marigoldbend::{core::ids::WorkerId, platform::wire::TaskRef},
    std::{net::SocketAddr, time::Instant},
};

/// An attempt that was claimed and may be running, until its end is confirmed or its lease has
/// certainly expired.
pub(super) struct RunningAttempt {
    pub(super) task: TaskRef,
    /// The address of the worker's task agent.
    pub(super) agent: SocketAddr,
    pub(super) worker: WorkerId,
    /// The slot that the attempt uses; `None` for an attempt of an adopted job.
    pub(super) slot: Option<TaskSlot>,
    /// When the last start or renewal was sent.
    pub(super) last_sent: Instant,
    /// When the worker's agent last replied about this attempt.
    pub(super) last_reply: Instant,
    /// The operation name of the transaction that writes the claim; `None` until it is sent.
    pub(super) claim_op: Option<String>,
    /// Whether the start was sent, which happens only after the claim is written.
    pub(super) started: bool,
    /// Whether a call to the agent about this attempt is in flight.
    pub(super) call_pending: bool,
    /// Why the attempt is to be stopped; `None` if it is not.
    pub(super) stop_reason: Option<StopReason>,
}

/// Why an attempt is stopped; the variants appear in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    /// A caller has cancelled the job.
    Cancelled,
    /// The worker is leaving or this instance is shutting down.
    Evicted,
    /// The attempt was claimed by a former home of the job.
    Adopted,
    /// The worker's agent does not answer or does not list the attempt. The stop fences the attempt
    /// before the task is claimed again.
    Unknown,
}

/// The id of a job and the index of a task in the job.
pub(super) type TaskKey = (String, usize);
