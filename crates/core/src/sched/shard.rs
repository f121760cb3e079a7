//! The leader's state of one shard.

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
