//! Attempts that may be running, as their home remembers them.

use {
    crate::worker::TaskSlot,
    marigoldbend::{core::ids::WorkerId, platform::wire::TaskRef},
    std::{net::SocketAddr, time::Instant},
};

/// One attempt that may be running.
pub(super) struct RunningAttempt {
    pub(super) task: TaskRef,
    pub(super) agent: SocketAddr,
    pub(super) worker: WorkerId,
    /// The slot, if this instance owns the worker.
    pub(super) slot: Option<TaskSlot>,
    /// The newest start or renewal that was sent.
    pub(super) last_sent: Instant,
    /// The newest reply.
    pub(super) last_reply: Instant,
    /// The transaction that carries its claim, once that is on its way.
    pub(super) claim_op: Option<String>,
    /// Whether its start has been sent, after the claim was written.
    pub(super) started: bool,
    pub(super) call_pending: bool,
    pub(super) stopping: Option<StopReason>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopReason {
    Cancelled,
    Evicted,
    Adopted,
    /// The worker does not know the attempt: it is fenced before it is started elsewhere.
    Unknown,
}

/// The place of a task: its job and its index.
pub(super) type TaskKey = (String, usize);
