//! The scheduler's tables in the store and the keys of their rows.

use {
    marigoldbend_core::sched::job::{JobId, JobSpec},
    marigoldbend_platform::rows::{RowKey, Tx},
};

/// The table of the lease and heartbeat rows; one part per shard.
pub const LEASES: &str = "leases";

/// The table of the instances; one row per instance, all in one part.
pub const INSTANCES: &str = "instances";

/// The key of a shard's lease row.
pub const LEASE_KEY: &str = "lease";

/// The key of the head row in the progress table; see [`head`].
pub const HEAD_KEY: &str = "@head";

/// The key in the progress table of the row with the workers that a shard's leader uses.
pub const WORKERS_KEY: &str = "@workers";

/// The key in the progress table of the row with a shard's interference estimates.
pub const INTERFERENCE_KEY: &str = "@learnt";

/// The beginning of the key in a job table of a row that evacuates a failure domain; the rest is the
/// domain.
const EVACUATION_PREFIX: &str = "@evacuate.";

/// The suffix of the key of a cancellation row.
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the key of a shard's lease row, which names the leader.
pub fn lease(shard: &str) -> RowKey {
    RowKey::new(LEASES, shard, LEASE_KEY)
}

/// Returns the key of a shard's heartbeat row, which the leader changes at least every second.
pub fn heartbeat(shard: &str) -> RowKey {
    RowKey::new(LEASES, shard, "beat")
}

/// Returns the name of the table with the specifications and cancellations of a shard's jobs.
pub fn jobs_table(shard: &str) -> String {
    format!("jobs-{shard}")
}

/// Returns the name of the table with the progress of a shard's jobs.
pub fn progress_table(shard: &str) -> String {
    format!("progress-{shard}")
}

/// Returns the key of the row with a job's specification.
pub fn job(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&jobs_table(shard), shard, &id.to_string())
}

/// Returns the key of the row that cancels a job.
pub fn cancel(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&jobs_table(shard), shard, &format!("{id}{CANCEL_SUFFIX}"))
}

/// Returns the key of the row that evacuates a failure domain of a shard while it exists. It is in the
/// job table, whose changes the leader follows and a successor reads before it starts anything.
pub fn evacuation(shard: &str, domain: &str) -> RowKey {
    let key = format!("{EVACUATION_PREFIX}{domain}");
    RowKey::new(&jobs_table(shard), shard, &key)
}

/// Returns the key of the row with a job's progress.
pub fn progress(shard: &str, id: JobId) -> RowKey {
    RowKey::new(&progress_table(shard), shard, &id.to_string())
}

/// Returns the key of a shard's head row. Each write by the shard's leader changes this row and
/// expects it unchanged since the previous write, so that writes take effect in order.
pub fn head(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, HEAD_KEY)
}

/// Returns the key of the row with the workers that a shard's leader uses.
pub fn workers_in_use(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, WORKERS_KEY)
}

/// Returns the key of the row with a shard's interference estimates.
pub fn interference(shard: &str) -> RowKey {
    RowKey::new(&progress_table(shard), shard, INTERFERENCE_KEY)
}

/// Returns the key of the row that reserves a job's identifier; its value is the job's shard.
pub fn id(id: JobId) -> RowKey {
    let key = id.to_string();
    RowKey::new("ids", &key[..1], &key)
}

/// Returns the transaction that moves a job to another shard.
///
/// The transaction expects the lease rows of both shards at the given versions. The job is stored
/// with `token`, the fencing token of the leader of the shard `to`.
pub fn move_job(
    (from, from_lease_version): (&str, u64),
    (to, token, to_lease_version): (&str, u64, u64),
    id: JobId,
    spec: &JobSpec,
) -> Tx {
    let spec = JobSpec {
        token,
        move_count: spec.move_count + 1,
        ..spec.clone()
    };
    Tx {
        expect: vec![
            (lease(from), from_lease_version),
            (lease(to), to_lease_version),
        ],
        puts: vec![
            (self::id(id), to.as_bytes().to_vec()),
            // Encoding plain data can't fail.
            (job(to, id), postcard::to_stdvec(&spec).unwrap_or_default()),
        ],
        deletes: vec![job(from, id), progress(from, id)],
    }
}

/// The kind of a row in a job table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobRow {
    /// The specification of a job.
    Job(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
    /// The evacuation of a failure domain.
    Evacuation(String),
}

/// Parses the key of a row in a job table; `None` if it is not valid.
pub fn read_job_key(key: &str) -> Option<JobRow> {
    if let Some(domain) = key.strip_prefix(EVACUATION_PREFIX) {
        return Some(JobRow::Evacuation(domain.to_owned()));
    }
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobRow::Cancel),
        None => key.parse().ok().map(JobRow::Job),
    }
}
