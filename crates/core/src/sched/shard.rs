//! The state that the leader of a shard keeps: the shard's jobs, and the workers that run them.
//!
//! `state` defines the data and the methods for jobs, and is the module to read first. Each of the
//! other modules adds the methods of [`Shard`] for one concern; `dispatch` contains
//! [`Shard::poll`], which starts tasks.

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
