//! Schedules jobs on a platform whose store holds all durable state.
//!
//! Any instance accepts a job by writing it to the store. The workers of one or more failure
//! domains and the jobs accepted for them form a shard. One instance at a time leads a shard, and
//! only the leader starts tasks there, with a fencing token that the workers check
//! ([`marigoldbend_core::sched`]).
//!
//! - [`control`] holds the control state on one thread: peers, leadership and configuration.
//! - [`shard_leader`] drives the state machine of a shard that this instance leads.
//! - [`restoring_leader`] keeps the workers' leases while this instance reads a shard's rows.
//! - [`intake`] serves callers on other threads, from snapshots that the control thread publishes.

pub mod commands;
pub mod control;
pub mod intake;
pub mod keys;
pub mod metrics;
pub mod operators;
pub mod renewal;
pub mod restoring_leader;
pub mod settings;
pub mod shard_leader;
pub mod store_heartbeat;
pub mod takeover;
pub mod takeover_times;
pub mod view;
pub mod watch;
