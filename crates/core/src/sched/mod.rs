//! Scheduling of jobs on the workers of one shard.
//!
//! A shard is a set of workers and the jobs that were accepted for them. One instance at a time
//! leads the shard, with a fencing token that the workers check. The leader learns from the
//! workers' reports which tasks run where; the store holds the jobs and their results.
//! [`Shard`](shard::Shard) is the leader's state machine: it consumes events (a job, a worker's
//! report, the reply to a command) and emits commands to workers and rows to store.

pub mod admission;
pub mod crash_evidence;
pub mod deputy;
pub mod evacuation;
pub mod failure_rates;
pub mod heartbeat_age;
pub mod interference;
pub mod job;
pub mod journal;
pub mod leadership;
pub mod learnt;
pub mod loans;
pub mod number_set;
pub mod placement;
pub mod progress;
pub mod queues;
pub mod run_times;
pub mod shard;
pub mod shares;
pub mod size_fairness;
pub mod stuck;
pub mod throttle;
pub mod worker;
pub mod worker_speed;
