//! The state that the leader of a shard keeps: the shard's jobs, and the workers that run them.
//!
//! `state` defines the data and the methods for jobs, and is the module to read first. Each of the
//! other modules adds the methods of [`Shard`] for one concern:
//!
//! - `approvals`: approvals that some queues require before a worker may run a task.
//! - `candidates`: finds the best worker for a task.
//! - `checks`: stops runs on draining workers.
//! - `commits`: batches of rows to store, and the effects of the writes' results.
//! - `crashes`: tasks that crash their workers.
//! - `delay_cost`: the order of waiting jobs by cost of delay, where a deployment asks for it.
//! - `dispatch`: [`Shard::poll`], which chooses workers for tasks and starts them.
//! - `displacement`: stops long-running tasks to make room for short work that can be in time.
//! - `disruption`: how many tasks of a step are away, which limits how many more may be stopped.
//! - `ends`: the ends of runs, and their effects on tasks and jobs.
//! - `estimates`: how long tasks take, and how long the running ones still take.
//! - `evacuations`: evacuated failure domains, where nothing starts and long-running tasks move away.
//! - `gangs`: steps whose tasks run only together.
//! - `jobs`: one job, with its occurrences, runs and stored progress.
//! - `leases`: the expiry of leases, and the resending of commands.
//! - `lending`: loans of the right to renew leases.
//! - `losses`: lost processes of workers, and the tasks that ran on them.
//! - `lost_workers`: the evidence of a crash against the tasks that ran on the worker.
//! - `moves`: moves jobs to less loaded shards before they start.
//! - `occurrences`: the occurrences of scheduled jobs, of which only those are kept that may start soon.
//! - `outlook`: the expected waits of new jobs.
//! - `placements`: the stored placements of long-running tasks.
//! - `queries`: states of jobs, counts and loads, for callers and other instances.
//! - `queue_shares`: which queues have less than their share of the CPU of short work.
//! - `reports`: the reports of workers: runs that are confirmed, found or lost.
//! - `restoring`: a new leader, before it has dispatched the work of earlier leaders.
//! - `runs`: adds and removes runs on workers, and accounts for their resources.
//! - `second_runs`: second runs of tasks that take much longer than most.
//! - `silences`: what a leader tells its successor of workers that do not answer.
//! - `speeds`: the current speeds of workers.
//! - `stalls`: runs that stand still, and what this says of their workers.
//! - `summary`: what waits and what is free, for the log and the metrics.
//! - `tails`: tail latencies of serving tasks, and the throttles that follow from them.
//! - `trust`: workers that get no new tasks because of what their runs have shown.
//! - `waiting`: which waiting job gets resources first.
//! - `workers`: the list of workers, and their replies to commands.

mod approvals;
mod candidates;
mod checks;
mod commits;
mod crashes;
mod delay_cost;
mod dispatch;
mod displacement;
mod disruption;
mod ends;
mod estimates;
mod evacuations;
mod gangs;
mod jobs;
mod leases;
mod lending;
mod losses;
mod lost_workers;
mod moves;
mod occurrences;
mod outlook;
mod placements;
mod queries;
mod queue_shares;
mod reports;
mod restoring;
mod runs;
mod second_runs;
mod silences;
mod speeds;
mod stalls;
mod state;
mod summary;
mod tails;
mod trust;
mod waiting;
mod workers;

pub use evacuations::EvacuationStatus;
pub use losses::LossCounts;
pub use restoring::RestoringShard;
pub use silences::Silences;
pub use state::{Batch, Command, JobOrigin, Params, ServiceLoad, Shard};
pub use summary::{Summary, Waiting, WorkKind};
pub use trust::TrustCounts;
