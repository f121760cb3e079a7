//! Scheduling of jobs on the workers of one shard.
//!
//! A shard is a set of workers and the jobs that were accepted for them. One instance leads it
//! at a time, with a fencing token that the workers check. The workers are the ledger of what
//! runs; the store holds what has been decided. [`Shard`](shard::Shard) is the leader's state
//! machine: events go in (a job, a worker's report, the outcome of an order), orders and rows
//! to store come out.

pub mod interference;
pub mod job;
pub mod journal;
pub mod leadership;
pub mod placement;
pub mod progress;
pub mod queues;
pub mod shard;
pub mod throttle;
pub mod worker;
