//! The tables that the scheduler keeps in the store, and the keys of their rows.

use {
    marigoldbend_core::sched::job::{JobId, JobSpec},
    marigoldbend_platform::rows::{RowKey, Tx},
};

/// The table of the leases; one row a shard.
pub const LEASES: &str = "leases";

/// The table of the instances; one row each, in one part.
pub const INSTANCES: &str = "instances";

/// The key of a shard's lease.
pub const LEASE_KEY: &str = "lease";

/// The key of the row that orders a leader's writes, among the progress rows.
pub const HEAD_KEY: &str = "@head";

/// The key of the workers that a shard's leader uses, among the progress rows.
pub const WORKERS_KEY: &str = "@workers";

/// The key of what a shard's leader has learnt of images, among the progress rows.
pub const INTERFERENCE_KEY: &str = "@learnt";

/// What the key of a cancellation ends with.
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the row that says who leads a shard.
pub fn lease(shard: &str) -> RowKey {
    RowKey::new(LEASES, shard, LEASE_KEY)
}

/// Returns the row that a shard's leader changes every second.
pub fn heartbeat(shard: &str) -> RowKey {
    RowKey::new(LEASES, shard, "beat")
}

/// Returns the table of a shard's jobs: their specifications and cancellations.
pub fn jobs_table(shard: &str) -> String {
    format!("jobs-{shard}")
}

/// Returns the table of a shard's progress rows.
pub fn progress_table(shard: &str) -> String {
    format!("progress-{shard}")
}

/// Returns the row of a job.
pub fn job(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&jobs_table(shard), shard, &id.to_string())
}

/// Returns the row that cancels a job.
pub fn cancel(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&jobs_table(shard), shard, &format!("{id}{CANCEL_SUFFIX}"))
}

/// Returns the row of a job's progress.
pub fn progress(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&progress_table(shard), shard, &id.to_string())
}

/// Returns the row that each write of a shard's leader changes, and that the next depends on.
pub fn head(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, HEAD_KEY)
}

/// Returns the row of the workers that a shard's leader uses.
pub fn workers_in_use(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, WORKERS_KEY)
}

/// Returns the row of what a shard's leader has learnt of images.
pub fn interference(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, INTERFERENCE_KEY)
}

/// Returns the row that makes a job's identifier unique; it holds the shard.
pub fn id(id: JobId) -> RowKey {
    let key = id.to_string();
    RowKey::new("ids", &key[..1], &key)
}

/// Returns the transaction that passes a job on, from a shard with the version of its lease row
/// to one with the token and the version of its lease row.
pub fn move_job(
    (from, from_ver): (&str, u64),
    (to, token, to_ver): (&str, u64, u64),
    id: JobId,
    spec: &JobSpec,
) -> Tx {
    let spec = JobSpec {
        token,
        moves: spec.moves + 1,
        ..spec.clone()
    };
    Tx {
        expect: vec![(lease(from), from_ver), (lease(to), to_ver)],
        puts: vec![
            (self::id(id), to.as_bytes().to_vec()),
            // Plain data always encodes.
            (job(to, id), postcard::to_stdvec(&spec).unwrap_or_default()),
        ],
        deletes: vec![job(from, id), progress(from, id)],
    }
}

/// What a row in a shard's table of jobs is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobRow {
    /// A job.
    Job(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
}

/// Reads the key of a row in a table of jobs.
pub fn read_job_key(key: &str) -> Option<JobRow> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobRow::Cancel),
        None => key.parse().ok().map(JobRow::Job),
    }
}
