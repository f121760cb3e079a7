//! Makes an instance the leader of a shard: writes the lease row, then reads all stored state.
//!
//! Each shard has one lease row. It names the leader and the fencing token of the leadership, which
//! grows with each takeover.

use {
    crate::{commands::BoxFuture, keys, store_heartbeat::StoreHeartbeat, watch},
    marigoldbend_core::sched::{
        interference::PairEstimate,
        job::{JobId, JobSpec},
        leadership::LeaseRow,
        learnt,
        progress::{JobOutcome, Progress},
        run_times::ShapeTimes,
    },
    marigoldbend_platform::{
        backoff::Backoff,
        rows::{Page, Range, Row, RowKey, Tx, TxOutcome},
        store::{Store, StoreError},
    },
    serde::de::DeserializeOwned,
    snafu::Snafu,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::{
        join,
        time::{sleep, timeout},
        try_join,
    },
};

/// A result of a takeover.
pub type Result<T, E = TakeoverError> = std::result::Result<T, E>;

/// Why a takeover failed.
#[derive(Debug, Snafu)]
pub enum TakeoverError {
    /// A call to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// The error of the store.
        source: StoreError,
    },
    /// Another instance wrote the lease row first.
    #[snafu(display("{holder} became leader first, with token {token}"))]
    Lost {
        /// The other instance.
        holder: String,
        /// The incarnation of the other instance.
        incarnation: u64,
        /// The fencing token of the other instance.
        token: u64,
    },
    /// The takeover took longer than 8 s.
    #[snafu(display("it took longer than {} s", MAX_TAKEOVER_TIME.as_secs()))]
    TooSlow,
}

impl From<LeaseRow> for TakeoverError {
    fn from(row: LeaseRow) -> Self {
        Self::Lost {
            holder: row.holder,
            incarnation: row.incarnation,
            token: row.token,
        }
    }
}

/// The maximum duration of a takeover; meanwhile no other instance tries.
const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(8);

/// How often a failed call for the changes of the job table is repeated.
const FEED_RETRIES: u32 = 3;

/// The fencing tokens that an instance knows of when it decides to take a shard over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownTokens {
    /// The highest one with which an instance is known to have led, this one included; 0 if none is.
    pub led: u64,
    /// The highest one that the lease row is known to have had; 0 if none is.
    pub newest: u64,
}

/// The lease row of a leadership by this instance, and how it was obtained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row.
    pub version: u64,
    /// When the takeover started.
    pub started_at: Instant,
    /// When the call was sent that wrote the lease row, or found it written by an earlier call.
    pub sent_at: Instant,
    /// When the reply to that call arrived. Every write of an earlier leader that the store applied
    /// was sent before.
    pub leased_at: Instant,
}

/// What is known before a takeover ends.
#[derive(Debug)]
pub enum TakeoverStep {
    /// The lease row names this instance: no earlier leader can write any more.
    LeaseTaken(Lease),
    /// Name and address of each worker that the previous leader used, for the leadership with this
    /// fencing token.
    WorkersInUse(u64, Vec<(String, String)>),
}

/// The stored state of a shard that a new leader starts from.
#[derive(Debug)]
pub struct TakeoverState {
    /// The lease row of the new leadership.
    pub lease: Lease,
    /// The version of the head row, which orders the leader's writes; 0 if there is none.
    pub head_version: u64,
    /// The jobs with their progress.
    pub jobs: Vec<(JobId, JobSpec, Progress)>,
    /// The progress of finished jobs whose specification is not stored any more.
    pub finished: Vec<(JobId, Progress)>,
    /// The jobs with a cancellation row; some may belong to another shard by now.
    pub cancelled: Vec<JobId>,
    /// The failure domains that operators have evacuated through the operator interface.
    pub evacuated: Vec<String>,
    /// Name and address of each worker that the previous leader used.
    pub workers_in_use: Vec<(String, String)>,
    /// The interference estimates of the previous leader.
    pub interference: Vec<PairEstimate>,
    /// The run times that the previous leader has learned.
    pub run_times: Vec<ShapeTimes>,
    /// Rows of the job table that have changed while the tables were read, such as cancellations.
    pub changed_jobs: Vec<Row>,
    /// What the previous leader has told of silent workers; see
    /// [`Silences`](marigoldbend_core::sched::shard::Silences).
    pub silences: Vec<(String, Duration)>,
    /// The version of the heartbeat row; 0 if there is none, or it could not be read.
    pub heartbeat_version: u64,
    /// The version up to which the job table was read; a watch delivers the later changes.
    pub watch_from: u64,
}

/// Reads the lease row of a shard and its version, which is 0 if there is no row.
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
        limit: None,
    };
    let page = store.range(&range).await?;
    let row = page
        .rows
        .into_iter()
        .find(|r| r.name.key == keys::LEASE_KEY);
    Ok(row.map_or_else(Default::default, |row| {
        let lease = postcard::from_bytes(&row.value);
        (lease.unwrap_or_default(), row.version)
    }))
}

/// Makes this instance, given by its name and incarnation, the leader of a shard, unless another
/// instance becomes leader first.
///
/// With a token up to [`KnownTokens::led`] this instance does not lead again, since writes of that
/// leadership may still be on their way. A lease row with a token above [`KnownTokens::newest`] was
/// written after the decision to take over from its predecessor, so it is left alone.
///
/// If there is a `working_leader`, whom the write of the lease row stops, this instance first reads
/// the rows to find out whether it can. `on_step` is called once the lease row is written, while the
/// rows are still to be read; if reading them fails, the lease row stays, and the next takeover by
/// this instance continues with the same token.
///
/// # Errors
///
/// Returns an error if a call to the store failed, another instance wrote the lease row first, or
/// the takeover took too long.
pub async fn take_over(
    store: &Store,
    shard: &str,
    (name, incarnation): (&str, u64),
    known: KnownTokens,
    working_leader: bool,
    on_step: &(dyn Fn(TakeoverStep) -> BoxFuture<()> + Send + Sync),
) -> Result<TakeoverState> {
    let started_at = store.now();
    let takeover = async {
        if working_leader {
            read_tables(store, shard).await?;
        }
        let lease = take_lease(store, shard, (name, incarnation), known, started_at).await?;
        on_step(TakeoverStep::LeaseTaken(lease)).await;
        let workers_in_use = async {
            if let Some(workers) = read_workers_in_use(store, shard).await {
                on_step(TakeoverStep::WorkersInUse(lease.token, workers)).await;
            }
        };
        let (state, ()) = join!(read_state(store, shard, lease), workers_in_use);
        state
    };
    let result = timeout(MAX_TAKEOVER_TIME, takeover).await;
    result.unwrap_or(Err(TakeoverError::TooSlow))
}

/// Reads the workers that the previous leader used; `None` if there was no usable reply. The rows
/// contain them as well, but take longer to read.
async fn read_workers_in_use(store: &Store, shard: &str) -> Option<Vec<(String, String)>> {
    let value = read_row(store, &keys::workers_in_use(shard)).await;
    let value = value.inspect_err(|e| {
        log::info!("lead: shard={shard} the workers in use are read with the other rows: {e}.")
    });
    postcard::from_bytes(&value.ok()??).ok()
}

/// Reads the heartbeat of the previous leader and the version of its row; `None` if there is none, or no
/// usable reply. It must be read once no earlier leader can write any more.
async fn read_heartbeat(store: &Store, shard: &str) -> Option<(StoreHeartbeat, u64)> {
    let row = read_whole_row(store, &keys::heartbeat(shard)).await;
    let row = row.inspect_err(|e| {
        log::info!("lead: shard={shard} the heartbeat of the previous leader can't be read: {e}.")
    });
    let row = row.ok()??;
    let heartbeat = StoreHeartbeat::decode(&row.value).inspect_err(|e| {
        log::error!(
            "lead: shard={shard} row={} can't be decoded: {e}.",
            row.name
        )
    });
    Some((heartbeat.unwrap_or_default(), row.version))
}

/// Reads the job table and the progress table of a shard, both at the same time.
async fn read_tables(store: &Store, shard: &str) -> Result<(Page, Page)> {
    let jobs_table = keys::jobs_table(shard);
    let progress_table = keys::progress_table(shard);
    let pages = try_join!(
        store.part(&jobs_table, shard),
        store.part(&progress_table, shard)
    );
    Ok(pages?)
}

/// Reads the stored state of a shard for the leader with this lease row.
///
/// The two tables are read at the same time, each in pages as of different moments. That is the same
/// as a read at one moment: every write that adds, deletes or changes a job's specification or its
/// progress expects a lease row of the shard, and none that expects an earlier one takes effect any
/// more. So nothing but cancellations is written meanwhile, and a job can't end between the two
/// reads, which would delete its specification.
async fn read_state(store: &Store, shard: &str, lease: Lease) -> Result<TakeoverState> {
    let (tables, heartbeat) = join!(read_tables(store, shard), read_heartbeat(store, shard));
    let (jobs, progress) = tables?;
    let (heartbeat, heartbeat_version) = heartbeat.unwrap_or_default();
    let mut state = TakeoverState {
        silences: heartbeat.silences_for(lease.token),
        heartbeat_version,
        lease,
        head_version: 0,
        jobs: Vec::new(),
        finished: Vec::new(),
        cancelled: Vec::new(),
        evacuated: Vec::new(),
        workers_in_use: Vec::new(),
        interference: Vec::new(),
        run_times: Vec::new(),
        changed_jobs: Vec::new(),
        watch_from: jobs.version,
    };
    let mut stored_progress = BTreeMap::new();
    for row in progress.rows {
        if row.name.key == keys::WORKERS_KEY {
            state.workers_in_use = read_or_default(&row);
        } else if row.name.key == keys::INTERFERENCE_KEY {
            (state.interference, state.run_times) = read_learnt(&row);
        } else if row.name.key == keys::HEAD_KEY {
            state.head_version = row.version;
        } else if let Ok(id) = row.name.key.parse::<JobId>() {
            match Progress::decode(&row.value) {
                Ok(progress) => drop(stored_progress.insert(id, progress)),
                Err(e) => log::error!(
                    "lead: shard={shard} row={} can't be decoded and is ignored: {e}.",
                    row.name
                ),
            }
        }
    }
    for row in jobs.rows {
        match keys::read_job_key(&row.name.key) {
            Some(keys::JobRow::Cancel(id)) => state.cancelled.push(id),
            Some(keys::JobRow::Evacuation(domain)) => state.evacuated.push(domain),
            Some(keys::JobRow::Job(id)) => match postcard::from_bytes(&row.value) {
                Ok(spec) => {
                    let progress = stored_progress.remove(&id).unwrap_or_default();
                    state.jobs.push((id, spec, progress));
                }
                Err(e) => log::error!(
                    "lead: shard={shard} row={} can't be decoded, the job is ignored: {e}.",
                    row.name
                ),
            },
            None => log::error!(
                "lead: shard={shard} row={} has an unknown key and is ignored.",
                row.name
            ),
        }
    }
    for (id, progress) in stored_progress {
        if progress.outcome == JobOutcome::Open {
            log::error!("lead: shard={shard} job={id} is open but has no specification.");
        } else {
            state.finished.push((id, progress));
        }
    }
    // A cancellation that was stored meanwhile must be known before the first dispatch; the watch
    // would deliver it after that.
    (state.changed_jobs, state.watch_from) = read_changes(store, shard, state.watch_from).await?;
    Ok(state)
}

/// Reads the rows of the job table that have changed since a version; returns them and the version
/// up to which they were read. If the store has deleted changes, all rows are read.
async fn read_changes(store: &Store, shard: &str, after: u64) -> Result<(Vec<Row>, u64)> {
    let table = keys::jobs_table(shard);
    let mut rows = Vec::new();
    let mut after = after;
    let mut failures = 0;
    let mut backoff = Backoff::new();
    loop {
        match store.feed(&table, after, Duration::ZERO).await {
            Ok(page) => {
                failures = 0;
                after = page.version.max(after);
                let is_cut_short = watch::may_be_cut_short(&page.rows, after);
                rows.extend(page.rows);
                if !is_cut_short {
                    return Ok((rows, after));
                }
            }
            Err(StoreError::HistoryDeleted) => {
                let page = store.part(&table, shard).await?;
                return Ok((page.rows, page.version));
            }
            Err(e) if failures < FEED_RETRIES => {
                failures += 1;
                log::info!("lead: shard={shard} reading changes failed, retrying: {e}.");
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            }
            Err(e) => return Err(e.into()),
        }
    }
}

/// Decodes a row that the leader can do without; if it is invalid, logs that and returns the
/// default.
fn read_or_default<T: Default + DeserializeOwned>(row: &Row) -> T {
    let decoded = postcard::from_bytes(&row.value);
    let decoded = decoded.inspect_err(|e| {
        log::error!(
            "lead: row={} can't be decoded and is ignored: {e}.",
            row.name
        )
    });
    decoded.unwrap_or_default()
}

/// Decodes the row with what the previous leader has learned; if it is invalid, logs that and returns
/// nothing.
fn read_learnt(row: &Row) -> (Vec<PairEstimate>, Vec<ShapeTimes>) {
    let decoded = learnt::decode(&row.value).inspect_err(|e| {
        log::error!(
            "lead: row={} can't be decoded and is ignored: {e}.",
            row.name
        )
    });
    decoded.unwrap_or_default()
}

/// Writes a lease row that names this instance, with the next fencing token, in a takeover that
/// started at `started_at`.
///
/// The write expects the version that is read here, so it would also replace a row that another
/// candidate has just written. Therefore a row with an unknown token is left alone.
async fn take_lease(
    store: &Store,
    shard: &str,
    (name, incarnation): (&str, u64),
    known: KnownTokens,
    started_at: Instant,
) -> Result<Lease> {
    let lease_since = |sent_at, token, version| Lease {
        token,
        version,
        started_at,
        sent_at,
        leased_at: store.now(),
    };
    let sent_at = store.now();
    let (row, lease_version) = read_lease(store, shard).await?;
    let is_own = |row: &LeaseRow| {
        row.holder == name && row.incarnation == incarnation && row.token > known.led
    };
    if is_own(&row) {
        // An earlier write by this instance took effect, but its reply was lost or the rows could
        // not be read.
        return Ok(lease_since(sent_at, row.token, lease_version));
    }
    if row.token > known.newest {
        return Err(row.into());
    }
    let new_row = LeaseRow {
        holder: name.to_owned(),
        incarnation,
        token: row.token + 1,
    };
    let key: RowKey = keys::lease(shard);
    let tx = Tx {
        expect: vec![(key.clone(), lease_version)],
        // Encoding plain data can't fail.
        puts: vec![(key, postcard::to_stdvec(&new_row).unwrap_or_default())],
        deletes: Vec::new(),
    };
    let sent_at = store.now();
    match store.tx(&tx).await {
        Ok(TxOutcome::Applied(version)) => Ok(lease_since(sent_at, new_row.token, version)),
        Ok(TxOutcome::Conflict(_)) | Err(StoreError::Unknown) => {
            let sent_at = store.now();
            let (row, lease_version) = read_lease(store, shard).await?;
            if is_own(&row) {
                return Ok(lease_since(sent_at, row.token, lease_version));
            }
            Err(row.into())
        }
        Err(e) => Err(e.into()),
    }
}

/// Writes the cancellation of a job that is not in `shard` into the shard that the job belongs to
/// now; writes nothing if that is `shard` itself. Returns the job's shard, or `None` if there is no
/// such job.
///
/// # Errors
///
/// Returns an error if a call to the store failed.
pub async fn forward_cancel(
    store: &Store,
    shard: &str,
    job: JobId,
) -> Result<Option<String>, StoreError> {
    let Some(job_shard) = read_shard(store, job).await? else {
        return Ok(None);
    };
    if job_shard != shard {
        let tx = Tx {
            puts: vec![(keys::cancel(&job_shard, job), Vec::new())],
            ..Tx::default()
        };
        store.tx(&tx).await?;
    }
    Ok(Some(job_shard))
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

/// Reads the value of one row; `None` if there is no such row.
///
/// # Errors
///
/// Returns an error if the store could not be read.
pub async fn read_row(store: &Store, key: &RowKey) -> Result<Option<Vec<u8>>, StoreError> {
    let row = read_whole_row(store, key).await?;
    Ok(row.map(|row| row.value))
}

/// Reads a row with its version; `None` if there is none.
async fn read_whole_row(store: &Store, key: &RowKey) -> Result<Option<Row>, StoreError> {
    let end = format!("{}\u{1}", key.key);
    let range = Range {
        table: &key.table,
        part: &key.part,
        from: &key.key,
        to: &end,
        limit: None,
    };
    let page = store.range(&range).await?;
    Ok(page.rows.into_iter().next())
}
