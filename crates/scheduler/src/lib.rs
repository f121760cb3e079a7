//! The scheduling of jobs on a platform whose store holds what must last.
//!
//! Any instance accepts a job by writing it to the store. The workers of a failure domain and
//! the jobs accepted for them form a shard, which one instance leads at a time: it alone starts
//! tasks there, with a fencing token that the workers check ([`marigoldbend_core::sched`]).
//!
//! - [`control`] is the one thread of control state: peers, leads, configuration.
//! - [`shard_leader`] drives the state machine of a shard that this instance leads.
//! - [`intake`] serves callers, on threads of its own, from published views.

pub mod commands;
pub mod control;
pub mod intake;
pub mod keys;
pub mod metrics;
pub mod settings;
pub mod shard_leader;
pub mod takeover;
pub mod view;
pub mod watch;
