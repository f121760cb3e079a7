//! How an instance becomes the leader of a shard: the lease row first, then all that is stored.

use {
    crate::keys,
    marigoldbend_core::sched::{
        interference::PairEstimate,
        job::{JobId, JobSpec},
        leadership::LeaseRow,
        progress::Progress,
    },
    marigoldbend_platform::{
        rows::{Page, Range, Row, RowKey, Tx, TxOutcome},
        store::{Store, StoreError},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::collections::BTreeMap,
};

/// A result of a takeover.
pub type Result<T, E = TakeoverError> = std::result::Result<T, E>;

/// Why a takeover did not come about.
#[derive(Debug, Snafu)]
pub enum TakeoverError {
    /// The store could not be used.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Why.
        source: StoreError,
    },
    /// Another instance was faster.
    #[snafu(display("{holder} took it with token {token}"))]
    Lost {
        /// The other instance.
        holder: String,
        /// Its token.
        token: u64,
    },
}

/// A shard as a new leader finds it.
#[derive(Debug)]
pub struct TakeoverState {
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row.
    pub ver: u64,
    /// The version of the row that orders the leader's writes.
    pub head_ver: u64,
    /// The jobs with their progress.
    pub jobs: Vec<(JobId, JobSpec, Progress)>,
    /// Cancelled jobs.
    pub cancelled: Vec<JobId>,
    /// The workers that the leader before used, with their addresses.
    pub workers_in_use: Vec<(String, String)>,
    /// What the leader before had learnt of images that disturb each other.
    pub interference: Vec<PairEstimate>,
    /// The version from which changes of the jobs are to be followed.
    pub watch_from: u64,
}

/// What a leader writes into the store every second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreHeartbeat {
    /// Its run.
    pub incarnation: u64,
    /// Grows with each beat.
    pub number: u64,
    /// Queues and how many of their jobs have not begun.
    pub pending: Vec<(String, u32)>,
}

/// Reads who leads a shard, and the version of that row.
///
/// # Errors
///
/// Returns an error if the store could not be read.
pub async fn read_lease(store: &Store, shard: &str) -> Result<(LeaseRow, u64), StoreError> {
    let range = Range {
        table: keys::LEASES,
        part: shard,
        from: "",
        to: "",
    };
    let page = store.range(&range).await?;
    let row = page
        .rows
        .into_iter()
        .find(|r| r.name.key == keys::LEASE_KEY);
    Ok(row.map_or_else(Default::default, |row| {
        let lease = postcard::from_bytes(&row.value);
        (lease.unwrap_or_default(), row.ver)
    }))
}

/// Takes the lead of a shard if nobody else does in the meantime.
///
/// # Errors
///
/// Returns an error if the store could not be used or another instance was faster.
pub async fn take_over(
    store: &Store,
    shard: &str,
    name: &str,
    incarnation: u64,
) -> Result<TakeoverState> {
    let (token, ver) = take_lease(store, shard, name, incarnation).await?;
    let jobs_table = keys::jobs_table(shard);
    let jobs = read_part(store, &jobs_table, shard).await?;
    let progress = read_part(store, &keys::progress_table(shard), shard).await?;
    let mut taken = TakeoverState {
        token,
        ver,
        head_ver: 0,
        jobs: Vec::new(),
        cancelled: Vec::new(),
        workers_in_use: Vec::new(),
        interference: Vec::new(),
        watch_from: jobs.ver,
    };
    let mut stored = BTreeMap::new();
    for row in progress.rows {
        if row.name.key == keys::WORKERS_KEY {
            taken.workers_in_use = read_own(&row);
        } else if row.name.key == keys::INTERFERENCE_KEY {
            taken.interference = read_own(&row);
        } else if row.name.key == keys::HEAD_KEY {
            taken.head_ver = row.ver;
        } else if let Ok(id) = row.name.key.parse::<JobId>() {
            match Progress::decode(&row.value) {
                Ok(progress) => drop(stored.insert(id, progress)),
                Err(e) => log::error!("lead: shard={shard} row={}: {e}.", row.name),
            }
        }
    }
    for row in jobs.rows {
        match keys::read_job_key(&row.name.key) {
            Some(keys::JobRow::Cancel(id)) => taken.cancelled.push(id),
            Some(keys::JobRow::Job(id)) => match postcard::from_bytes(&row.value) {
                Ok(spec) => {
                    let progress = stored.remove(&id).unwrap_or_default();
                    taken.jobs.push((id, spec, progress));
                }
                Err(e) => log::error!("lead: shard={shard} row={}: {e}.", row.name),
            },
            None => log::error!("lead: shard={shard} row={}: unknown key.", row.name),
        }
    }
    Ok(taken)
}

/// Reads a row that helps but is not needed; a damaged one counts as empty.
fn read_own<T: Default + DeserializeOwned>(row: &Row) -> T {
    let read = postcard::from_bytes(&row.value);
    let read = read.inspect_err(|e| log::error!("lead: row={}: {e}.", row.name));
    read.unwrap_or_default()
}

async fn read_part(store: &Store, table: &str, part: &str) -> Result<Page, StoreError> {
    let range = Range {
        table,
        part,
        from: "",
        to: "",
    };
    store.range(&range).await
}

async fn take_lease(
    store: &Store,
    shard: &str,
    name: &str,
    incarnation: u64,
) -> Result<(u64, u64)> {
    let (row, ver) = read_lease(store, shard).await?;
    let mine = |row: &LeaseRow| row.holder == name && row.incarnation == incarnation;
    if mine(&row) {
        // An earlier write of ours, whose reply was lost, took effect.
        return Ok((row.token, ver));
    }
    let new = LeaseRow {
        holder: name.to_owned(),
        incarnation,
        token: row.token + 1,
    };
    let key: RowKey = keys::lease(shard);
    let tx = Tx {
        expect: vec![(key.clone(), ver)],
        // Plain data always encodes.
        puts: vec![(key, postcard::to_stdvec(&new).unwrap_or_default())],
        deletes: Vec::new(),
    };
    match store.tx(&tx).await {
        Ok(TxOutcome::Applied(ver)) => Ok((new.token, ver)),
        Ok(TxOutcome::Conflict(_)) | Err(StoreError::Unknown) => {
            let (row, ver) = read_lease(store, shard).await?;
            if mine(&row) {
                return Ok((row.token, ver));
            }
            let LeaseRow { holder, token, .. } = row;
            Err(TakeoverError::Lost { holder, token })
        }
        Err(e) => Err(e.into()),
    }
}

/// Writes the cancellation of a job that is not in this shard into the one where it is; returns
/// that one, if there is such a job.
///
/// # Errors
///
/// Returns an error if the store could not be used.
pub async fn forward_cancel(
    store: &Store,
    shard: &str,
    job: JobId,
) -> Result<Option<String>, StoreError> {
    let Some(there) = read_shard(store, job).await? else {
        return Ok(None);
    };
    if there != shard {
        let tx = Tx {
            puts: vec![(keys::cancel(&there, job), Vec::new())],
            ..Tx::default()
        };
        store.tx(&tx).await?;
    }
    Ok(Some(there))
}

/// Reads which shard a job belongs to; `None` if there is no such job.
///
/// # Errors
///
/// Returns an error if the store could not be read.
pub async fn read_shard(store: &Store, job: JobId) -> Result<Option<String>, StoreError> {
    let row = read_row(store, &keys::id(job)).await?;
    Ok(row.map(|value| String::from_utf8_lossy(&value).into_owned()))
}

/// Reads one row; `None` if it is not there.
///
/// # Errors
///
/// Returns an error if the store could not be read.
pub async fn read_row(store: &Store, key: &RowKey) -> Result<Option<Vec<u8>>, StoreError> {
    let after = format!("{}\u{1}", key.key);
    let range = Range {
        table: &key.table,
        part: &key.part,
        from: &key.key,
        to: &after,
    };
    let page = store.range(&range).await?;
    Ok(page.rows.into_iter().next().map(|row| row.value))
}
