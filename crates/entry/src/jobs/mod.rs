//! Batch jobs, which are stored in the platform's table and run on workers under leases.
//!
//! The entry instance that accepts a job is its *home*: it claims the job's tasks, starts them on
//! workers and writes their state to the platform's table. A home lists its unfinished jobs in one
//! index row, and all its writes of jobs are conditional on the version of that row.
//!
//! When a home has *departed* (it left its domain, or it failed and was removed from the domain),
//! another instance of the domain adopts its jobs. The adopting transaction also writes the former
//! home's index row, so every later write of the former home fails: the former home is fenced.
//!
//! Any instance may cancel a job: it marks the job's row and adds the job's id to the *inbox row*
//! of the job's home, which the home reads regularly.

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
