//! A shard that this instance leads: the state machine, its rows and its workers.

use {
    crate::{
        commands::{BoxFuture, CommandResult, ReportRequest, WorkerLink},
        keys,
        metrics::Metrics,
        settings::ShardSettings,
        takeover::TakeoverState,
    },
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            job::{JobId, JobSpec},
            journal::{Journal, Write, WriteResult},
            progress::Progress,
            shard::{Batch, Command, JobOrigin, Params, Shard},
            worker::{Report, WorkerInfo},
        },
    },
    marigoldbend_platform::{
        rows::{Row, Tx, TxOutcome},
        store::StoreError,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::AbortHandle,
};

/// Rows in one transaction; the store takes a hundred entries, two of which are ours.
const MOST_ROWS: usize = 90;

/// How long a worker waits for an end before it reports.
const REPORT_WAIT: Duration = Duration::from_millis(1_000);

/// The same while its serving tasks share it with filling ones.
const SHARED_WAIT: Duration = Duration::from_millis(500);

/// How long a report waits for earlier ends to be stored, at a time.
const STORE_DELAY: Duration = Duration::from_millis(30);

/// How long reports may wait for the store altogether.
const LONGEST_DELAY: Duration = Duration::from_millis(300);

/// The age up to which jobs that an earlier leader left are told apart, in milliseconds.
const LONGEST_AGE_MS: u64 = 60_000;

/// Where the events of a led shard go.
pub struct Sinks {
    /// Says how a worker's next report is asked for.
    pub next_report_request: Arc<dyn Fn(String) -> BoxFuture<Option<ReportRequest>> + Send + Sync>,
    /// Takes in a worker's report.
    pub report: Arc<dyn Fn(String, Report, Instant) -> BoxFuture<()> + Send + Sync>,
    /// Takes in the answer to an order.
    pub command_result: Arc<dyn Fn(CommandResult) -> BoxFuture<()> + Send + Sync>,
}

/// A shard that this instance leads.
pub struct ShardLeader {
    /// The shard's name.
    pub name: String,
    /// Its failure domains.
    pub domains: Vec<String>,
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row, on which writes depend.
    pub ver: u64,
    /// The state machine.
    pub shard: Shard,
    /// The task that follows the shard's jobs.
    pub job_watch: Option<AbortHandle>,
    /// Whether a wake-up for the next placement is under way.
    pub wake_scheduled: bool,
    links: HashMap<String, WorkerLink>,
    asked: HashMap<String, Instant>,
    journal: Journal,
    sinks: Sinks,
    metrics: Arc<Metrics>,
}

impl Drop for ShardLeader {
    fn drop(&mut self) {
        if let Some(job_watch) = &self.job_watch {
            job_watch.abort();
        }
    }
}

impl ShardLeader {
    /// Begins to lead with what the store holds.
    pub fn new(
        of: &ShardSettings,
        taken: TakeoverState,
        params: Params,
        sinks: Sinks,
        metrics: Arc<Metrics>,
        now: Instant,
        unix_ms: u64,
    ) -> Self {
        let mut shard = Shard::new(params, taken.token, now);
        shard.restore_interference(&taken.interference);
        for (worker, address) in &taken.workers_in_use {
            shard.add_worker_in_use(worker, address, now);
        }
        for (id, spec, progress) in taken.jobs {
            // Clocks differ between instances, but not by more than matters for the order.
            let age = unix_ms.saturating_sub(spec.accepted_ms).min(LONGEST_AGE_MS);
            let accepted = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
            shard.add_job(id, spec, JobOrigin::Stored(progress), accepted);
        }
        for id in taken.cancelled {
            shard.cancel(id, 0);
        }
        Self {
            name: of.name.clone(),
            domains: of.domains.clone(),
            token: taken.token,
            ver: taken.ver,
            shard,
            job_watch: None,
            wake_scheduled: false,
            links: HashMap::default(),
            asked: HashMap::default(),
            journal: Journal::new(taken.token, taken.head_ver),
            sinks,
            metrics,
        }
    }

    /// Takes in the platform's list of workers; `None` for those that it does not name any more.
    pub fn update_workers(&mut self, workers: &HashMap<String, WorkerInfo>, now: Instant) {
        let of_shard = workers
            .values()
            .filter(|w| self.domains.contains(&w.domain));
        for worker in of_shard {
            self.shard.worker_listed(worker, now);
        }
        let known: Vec<_> = self
            .shard
            .worker_addresses()
            .map(|(id, _)| id.to_owned())
            .collect();
        for id in known {
            if !workers.contains_key(&id) {
                self.shard.worker_unlisted(&id, now);
            }
        }
        self.update_links();
    }

    /// Takes in rows of the shard's table of jobs; returns cancelled jobs that it does not know,
    /// or nothing if a row shows that there is a later leader.
    pub fn on_job_rows(&mut self, rows: &[Row], now: Instant, unix_ms: u64) -> Option<Vec<JobId>> {
        let mut unknown = Vec::new();
        for row in rows.iter().filter(|row| !row.deleted) {
            match keys::read_job_key(&row.name.key) {
                Some(keys::JobRow::Cancel(id)) => {
                    if !self.shard.contains_job(id) {
                        unknown.push(id);
                    }
                    self.shard.cancel(id, unix_ms);
                }
                Some(keys::JobRow::Job(id)) => match postcard::from_bytes::<JobSpec>(&row.value) {
                    Ok(spec) if spec.token > self.token => return None,
                    Ok(spec) => {
                        let found = if spec.token == self.token {
                            JobOrigin::New
                        } else {
                            JobOrigin::Stored(Progress::default())
                        };
                        self.shard.add_job(id, spec, found, now);
                    }
                    Err(e) => log::error!("lead: shard={} row={}: {e}.", self.name, row.name),
                },
                None => log::error!("lead: shard={} row={}: unknown key.", self.name, row.name),
            }
        }
        unknown.retain(|id| !self.shard.contains_job(*id));
        Some(unknown)
    }

    /// Says how a worker's next report is asked for.
    pub fn next_report_request(&mut self, worker: &str, now: Instant) -> Option<ReportRequest> {
        let link = self.links.contains_key(worker);
        if !link {
            return None;
        }
        let waited = self.asked.get(worker).map(|at| now.duration_since(*at));
        let delayed = self.shard.has_unstored_ends(worker);
        let delay = if delayed && waited.is_some_and(|w| w < LONGEST_DELAY) {
            STORE_DELAY
        } else {
            self.asked.insert(worker.to_owned(), now);
            Duration::ZERO
        };
        let wait = if delayed {
            Duration::from_millis(50)
        } else if self.shard.has_mixed_load(worker) {
            SHARED_WAIT
        } else {
            REPORT_WAIT
        };
        let (acked_end, until_ms) = self.shard.prepare_report_request(worker, now)?;
        // The first report only tells the worker's clock.
        let wait = if until_ms.is_some() {
            wait
        } else {
            Duration::ZERO
        };
        Some(ReportRequest {
            delay,
            token: self.shard.worker_token(worker),
            acked_end,
            until_ms,
            wait,
        })
    }

    /// Carries out what the state machine asks for.
    pub fn carry_out(&mut self, now: Instant, unix_ms: u64) -> Vec<Command> {
        let mut rest = Vec::new();
        let before = self.shard.placed_at();
        let begin = Instant::now();
        let commands = self.shard.poll(now, unix_ms);
        if self.shard.placed_at() != before {
            self.shard.record_placement_time(begin.elapsed());
        }
        for command in commands {
            let (Command::Start { worker, .. }
            | Command::Stop { worker, .. }
            | Command::Throttle { worker, .. }) = &command
            else {
                rest.push(command);
                continue;
            };
            let Some(link) = self.links.get(worker) else {
                continue;
            };
            let sink = self.sinks.command_result.clone();
            link.send(command, self.metrics.clone(), move |answered| {
                sink(answered)
            });
        }
        self.update_links();
        rest
    }

    /// Returns the next transaction, if it is time for one; [`ShardLeader::on_write_result`] must follow.
    pub fn next_write(&mut self, now: Instant) -> Option<(Batch, Tx)> {
        let Write {
            batch,
            head_ver,
            mark,
        } = self.journal.next_write(&mut self.shard, MOST_ROWS, now)?;
        let head = keys::head(&self.name);
        // Plain data always encodes, here and below.
        let mark = postcard::to_stdvec(&mark).unwrap_or_default();
        let mut tx = Tx {
            expect: vec![
                (keys::lease(&self.name), self.ver),
                (head.clone(), head_ver),
            ],
            puts: vec![(head, mark)],
            ..Tx::default()
        };
        for (id, row) in &batch.rows {
            tx.puts.push((keys::progress(&self.name, *id), row.clone()));
        }
        if let Some(workers_in_use) = &batch.workers_in_use {
            let value = postcard::to_stdvec(workers_in_use).unwrap_or_default();
            tx.puts.push((keys::workers_in_use(&self.name), value));
        }
        if let Some(interference) = &batch.interference {
            let value = postcard::to_stdvec(interference).unwrap_or_default();
            tx.puts.push((keys::interference(&self.name), value));
        }
        Some((batch, tx))
    }

    /// Takes in what became of a write; returns whether this instance still leads.
    pub fn on_write_result(
        &mut self,
        batch: Batch,
        result: &Result<TxOutcome, StoreError>,
        now: Instant,
    ) -> bool {
        let fate = match result {
            Ok(TxOutcome::Applied(ver)) => WriteResult::Applied(*ver),
            Ok(TxOutcome::Conflict(rows)) => {
                let lease = keys::lease(&self.name);
                if rows.iter().any(|r| r.name == lease && r.ver != self.ver) {
                    return false;
                }
                let head = keys::head(&self.name);
                let head = rows.iter().find(|r| r.name == head);
                head.map_or(WriteResult::NotApplied, |row| {
                    let mark = postcard::from_bytes(&row.value).ok();
                    WriteResult::Superseded(row.ver, mark)
                })
            }
            Err(StoreError::NotApplied) => WriteResult::NotApplied,
            Err(_) => WriteResult::Unknown,
        };
        if !matches!(fate, WriteResult::Applied(_)) {
            let rows = batch.rows.len();
            log::info!(
                "lead: shard={} rows={rows} not stored: {result:?}.",
                self.name
            );
        }
        self.journal
            .on_write_result(&mut self.shard, batch, fate, now);
        true
    }

    /// Returns whether nothing waits to be stored.
    pub fn is_stored(&self) -> bool {
        !self.journal.is_writing() && !self.shard.is_dirty()
    }

    /// Returns a transaction that drops the rows of jobs that were over before `unix_ms`.
    pub fn expire_jobs(&mut self, unix_ms: u64) -> Option<Tx> {
        let ids: Vec<JobId> = self.shard.expire_jobs(unix_ms, MOST_ROWS / 4);
        if ids.is_empty() {
            return None;
        }
        let mut tx = Tx {
            expect: vec![(keys::lease(&self.name), self.ver)],
            ..Tx::default()
        };
        for id in ids {
            tx.deletes.push(keys::id(id));
            tx.deletes.push(keys::job(&self.name, id));
            tx.deletes.push(keys::cancel(&self.name, id));
            tx.deletes.push(keys::progress(&self.name, id));
        }
        Some(tx)
    }

    /// Opens ways to new workers and closes those to workers that are gone or have moved.
    fn update_links(&mut self) {
        let contacts: HashMap<_, _> = self.shard.worker_addresses().collect();
        self.links
            .retain(|id, link| contacts.get(id.as_str()) == Some(&link.address.as_str()));
        for (id, address) in contacts {
            if self.links.contains_key(id) {
                continue;
            }
            let (ask, of_ask) = (self.sinks.next_report_request.clone(), id.to_owned());
            let (report, of_report) = (self.sinks.report.clone(), id.to_owned());
            let link = WorkerLink::open(
                id,
                address,
                self.metrics.clone(),
                move || ask(of_ask.clone()),
                move |r, sent| report(of_report.clone(), r, sent),
            );
            match link {
                Some(link) => drop(self.links.insert(id.to_owned(), link)),
                None => log::warn!("lead: worker={id} address={address:?} is not valid."),
            }
        }
    }
}
