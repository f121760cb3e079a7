//! The state of one shard at its leader.
//!
//! `state` holds the data and the methods for jobs; the other modules add methods for one concern
//! each. `dispatch` is where [`Shard::poll`] starts tasks.

mod approvals;
mod checks;
mod commits;
mod dispatch;
mod ends;
mod gangs;
mod jobs;
mod leases;
mod moves;
mod runs;
mod state;
mod tails;
mod workers;

pub use state::{Batch, Command, JobOrigin, Params, ServiceLoad, Shard};
