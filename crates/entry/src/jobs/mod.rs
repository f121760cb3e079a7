//! Batch jobs: accepted durably, claimed by group commit, run under leases.
//!
//! The instance that accepts a job is its home and drives it. A home lists its jobs in one
//! index row, and every write of a job is conditional on that row. Whoever adopts the jobs of a
//! home that is gone writes its index row first, which fences the former home altogether.

mod actor;
mod adoption;
mod attempts;
mod claims;
mod commits;
mod keys;
mod running;
mod store;

pub use {
    actor::{Cancel, Jobs, JobsConfig, Stop, Submit, SubmitOutcome, TICK, Tick},
    keys::{inbox_key, job_key},
};
