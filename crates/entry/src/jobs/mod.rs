//! Batch jobs: stored durably, claimed in batched transactions, run under leases.
//!
//! The entry instance that accepts a job is its *home*: it claims the job's tasks, starts them on
//! workers and writes their state to the platform's table. A home lists its unfinished jobs in one
//! index row, and all its writes of jobs are conditional on the version of that row. When a home
//! is gone, another instance of its domain adopts its jobs. The adopting transaction also writes
//! the former home's index row, so every later write of the former home fails: it is fenced.

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
