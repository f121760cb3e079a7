//! Connects the state machine of a shard that this instance leads with the store and the workers.

use {
    crate::{
        commands::{BoxFuture, CommandResult, ReportRequest, WorkerLink},
        keys,
        metrics::Metrics,
        restoring_leader::RestoringLeader,
        settings::Features,
        takeover::TakeoverState,
        takeover_times::{Part, TakeoverTimes},
    },
    marigoldbend_core::{
        hash::{HashMap, HashSet},
        sched::{
            admission::Outlook,
            evacuation::{Evacuations, Source},
            job::{JobId, JobSpec},
            journal::{Journal, Write, WriteResult},
            learnt,
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

/// The maximum number of entries for jobs in one transaction; the store accepts 100 entries, of
/// which the leader needs up to five for rows of its own.
const MAX_ENTRIES_PER_TX: usize = 90;

/// How long a worker may delay its report while no attempt ends.
pub(crate) const REPORT_WAIT: Duration = Duration::from_millis(1_000);

/// The value of [`REPORT_WAIT`] for a worker that runs both serving and best-effort tasks.
const MIXED_LOAD_REPORT_WAIT: Duration = Duration::from_millis(500);

/// How long a report request is postponed while ended attempts from the last report are not stored
/// yet; it may be postponed several times.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// The time since the last report request after which the next one is not postponed any more.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);

/// How long after a takeover its times are logged. At its end thousands of lines about runs are
/// logged, and the log drops lines that it can't write in time.
const TIMES_LOG_DELAY: Duration = Duration::from_secs(1);

/// The maximum age that a job from an earlier leader is given, in milliseconds; older jobs count as
/// equally old.
const MAX_JOB_AGE_MS: u64 = 60_000;

/// The callbacks of the control thread for a led shard.
pub struct Callbacks {
    /// Returns the parameters of the named worker's next report request; `None` ends the requests.
    pub next_report_request: Arc<dyn Fn(String) -> BoxFuture<Option<ReportRequest>> + Send + Sync>,
    /// Receives the worker's name, its report, which is `None` if the connection failed, and when
    /// the report was requested.
    pub report: Arc<dyn Fn(String, Option<Report>, Instant) -> BoxFuture<()> + Send + Sync>,
    /// Receives the result of a command.
    pub command_result: Arc<dyn Fn(CommandResult) -> BoxFuture<()> + Send + Sync>,
}

/// The leadership of one shard by this instance.
pub struct ShardLeader {
    /// The shard's name.
    pub name: String,
    /// The shard's failure domains.
    pub domains: Vec<String>,
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row; each write expects it unchanged.
    pub lease_version: u64,
    /// The state machine.
    pub shard: Shard,
    /// When the store last accepted a write of this leader; when it became leader, before the first.
    pub written_at: Instant,
    /// The version of the heartbeat row, as far as it is known; each heartbeat expects it unchanged.
    pub heartbeat_version: u64,
    /// When the last heartbeat was sent to the store; `None` if the next one is due.
    pub heartbeat_sent: Option<Instant>,
    /// When the lease row was last read to confirm the leadership.
    pub lease_read_at: Instant,
    /// The task that watches the shard's job table.
    pub job_watch: Option<AbortHandle>,
    /// The longest time from the acceptance of a job to its arrival here since the last summary, in
    /// milliseconds by the clocks of two instances.
    pub max_intake_ms: u64,
    /// Whether an [`Event::Wake`](crate::control::Event::Wake) is scheduled.
    pub wake_scheduled: bool,
    /// How long the parts of the takeover took.
    times: TakeoverTimes,
    /// When these times are logged; `None` before the takeover has ended, and afterwards.
    log_times_at: Option<Instant>,
    /// The links to the workers, by name.
    links: HashMap<String, WorkerLink>,
    /// When a report was last requested, by worker.
    report_requested_at: HashMap<String, Instant>,
    journal: Journal,
    evacuations: Evacuations,
    callbacks: Callbacks,
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
    /// Returns the outlooks of the services and when they were computed; `None` if they are not known
    /// or nobody asks for them.
    pub fn outlooks(&self, features: Features) -> Option<(Instant, Arc<[Outlook]>)> {
        let (computed_at, outlooks) = self.shard.outlooks()?;
        features.admission.then(|| (computed_at, outlooks.clone()))
    }

    /// Creates the leader of a shard from its stored state, the platform's whole list of workers and
    /// what the workers have reported while the rows were read.
    pub fn new(
        restoring: RestoringLeader,
        state: TakeoverState,
        workers: &HashMap<String, WorkerInfo>,
        platform_evacuations: &HashSet<String>,
        params: Params,
        now: Instant,
        unix_ms: u64,
    ) -> Self {
        let RestoringLeader {
            name,
            domains,
            lease,
            shard: restoring_shard,
            links,
            callbacks,
            metrics,
            mut times,
            ..
        } = restoring;
        times.record(Part::Rows, now, &metrics);
        let mut shard = Shard::new(params, lease.token, now);
        shard.restore_interference(&state.interference);
        shard.restore_run_times(&state.run_times);
        for (worker, address) in &state.workers_in_use {
            shard.add_worker_in_use(worker, address, now);
        }
        for (id, spec, progress) in state.jobs {
            // The clocks of instances differ too little to matter for the order of jobs.
            let age = unix_ms.saturating_sub(spec.accepted_ms).min(MAX_JOB_AGE_MS);
            let accepted = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
            shard.add_job(id, spec, JobOrigin::Stored(progress), accepted);
        }
        for (id, progress) in state.finished {
            shard.add_finished_job(id, progress.outcome, progress.finished_ms);
        }
        for id in state.cancelled {
            shard.cancel(id, unix_ms);
        }
        let mut leader = Self {
            name,
            domains,
            token: lease.token,
            lease_version: lease.version,
            shard,
            written_at: now,
            heartbeat_version: state.heartbeat_version,
            heartbeat_sent: None,
            lease_read_at: now,
            job_watch: None,
            max_intake_ms: 0,
            wake_scheduled: false,
            times,
            log_times_at: None,
            links,
            report_requested_at: HashMap::default(),
            journal: Journal::new(lease.token, state.head_version),
            evacuations: Evacuations::default(),
            callbacks,
            metrics,
        };
        let evacuated = state.evacuated.into_iter().collect();
        leader.set_evacuations(Source::Operator, evacuated);
        leader.set_evacuations(Source::Platform, platform_evacuations.clone());
        leader.list_workers(workers, now);
        if !state.silences.is_empty() {
            log::info!(
                "lead: shard={} token={} the previous leader has told of silent workers={}.",
                leader.name,
                leader.token,
                state.silences.len(),
            );
        }
        leader
            .shard
            .inherit_silences(&state.silences, lease.leased_at);
        leader.shard.restore_workers(restoring_shard, now, unix_ms);
        leader.update_links();
        leader
    }

    /// Applies the platform's whole list of workers.
    pub fn update_workers(&mut self, workers: &HashMap<String, WorkerInfo>, now: Instant) {
        self.list_workers(workers, now);
        self.update_links();
    }

    /// Sets the failure domains that a source has evacuated.
    pub fn set_evacuations(&mut self, source: Source, domains: HashSet<String>) {
        if self.evacuations.replace(source, domains) {
            self.apply_evacuations();
        }
    }

    fn apply_evacuations(&mut self) {
        let domains = self.evacuations.sorted();
        let ours = domains
            .iter()
            .filter(|d| self.domains.iter().any(|own| own == *d));
        let count = ours.count();
        log::info!(
            "lead: shard={} evacuated={domains:?} of domains={}.",
            self.name,
            self.domains.len(),
        );
        if count > 0 && count == self.domains.len() {
            log::warn!(
                "lead: shard={} all failure domains are evacuated, nothing starts.",
                self.name
            );
        }
        let emptied = self.evacuations.emptied();
        self.shard.set_evacuations(&domains, &emptied);
    }

    fn list_workers(&mut self, workers: &HashMap<String, WorkerInfo>, now: Instant) {
        let shard_workers = workers
            .values()
            .filter(|w| self.domains.contains(&w.domain));
        for worker in shard_workers {
            self.shard.worker_listed(worker, now);
        }
        let ids: Vec<_> = self
            .shard
            .worker_addresses()
            .map(|(id, _)| id.to_owned())
            .collect();
        for id in ids {
            if !workers.contains_key(&id) {
                self.shard.worker_unlisted(&id, now);
            }
        }
    }

    /// Applies rows of the shard's job table, all of them if `is_full_list`. Returns the cancelled jobs that this shard does not
    /// contain, whose cancellations are to be forwarded to other shards; or `None` if a job row has
    /// a higher fencing token, which shows that there is a later leader.
    pub fn on_job_rows(
        &mut self,
        rows: &[Row],
        is_full_list: bool,
        now: Instant,
        unix_ms: u64,
    ) -> Option<Vec<JobId>> {
        self.on_evacuation_rows(rows, is_full_list);
        let mut cancels_to_forward = Vec::new();
        for row in rows.iter().filter(|row| !row.deleted) {
            match keys::read_job_key(&row.name.key) {
                Some(keys::JobRow::Evacuation(_)) => {}
                Some(keys::JobRow::Cancel(id)) => {
                    if !self.shard.contains_job(id) {
                        cancels_to_forward.push(id);
                    }
                    self.shard.cancel(id, unix_ms);
                }
                Some(keys::JobRow::Job(id)) => match postcard::from_bytes::<JobSpec>(&row.value) {
                    Ok(spec) if spec.token > self.token => return None,
                    Ok(spec) => {
                        if !self.shard.contains_job(id) {
                            let intake_ms = unix_ms.saturating_sub(spec.accepted_ms);
                            self.max_intake_ms = self.max_intake_ms.max(intake_ms);
                        }
                        let origin = if spec.token == self.token {
                            JobOrigin::New
                        } else {
                            JobOrigin::Stored(Progress::default())
                        };
                        self.shard.add_job(id, spec, origin, now);
                    }
                    Err(e) => log::error!(
                        "lead: shard={} row={} can't be decoded, the job is ignored: {e}.",
                        self.name,
                        row.name
                    ),
                },
                None => log::error!(
                    "lead: shard={} row={} has an unknown key and is ignored.",
                    self.name,
                    row.name
                ),
            }
        }
        cancels_to_forward.retain(|id| !self.shard.contains_job(*id));
        Some(cancels_to_forward)
    }

    /// Applies the rows of a job table that evacuate failure domains or take that back.
    fn on_evacuation_rows(&mut self, rows: &[Row], is_full_list: bool) {
        let changes = rows.iter().filter_map(|row| {
            let key = keys::read_job_key(&row.name.key)?;
            let keys::JobRow::Evacuation(domain) = key else {
                return None;
            };
            Some((domain, !row.deleted))
        });
        if is_full_list {
            let domains = changes.filter_map(|(domain, is_set)| is_set.then_some(domain));
            self.set_evacuations(Source::Operator, domains.collect());
            return;
        }
        let mut has_changed = false;
        for (domain, is_set) in changes {
            has_changed |= self.evacuations.set(Source::Operator, &domain, is_set);
        }
        if has_changed {
            self.apply_evacuations();
        }
    }

    /// Returns the parameters of a worker's next report request; `None` if the worker has no link.
    pub fn next_report_request(&mut self, worker: &str, now: Instant) -> Option<ReportRequest> {
        let has_link = self.links.contains_key(worker);
        if !has_link {
            return None;
        }
        let since_last_request = self
            .report_requested_at
            .get(worker)
            .map(|at| now.duration_since(*at));
        let has_unstored_ends = self.shard.has_unstored_ends(worker);
        let delay = if has_unstored_ends && since_last_request.is_some_and(|t| t < MAX_REPORT_DELAY)
        {
            REPORT_DELAY
        } else {
            self.report_requested_at.insert(worker.to_owned(), now);
            Duration::ZERO
        };
        let wait = if self.shard.awaits_fence(worker) {
            Duration::ZERO
        } else if has_unstored_ends {
            Duration::from_millis(50)
        } else if self.shard.has_mixed_load(worker) {
            MIXED_LOAD_REPORT_WAIT
        } else {
            REPORT_WAIT
        };
        let (acked_end, until_ms) = self.shard.prepare_report_request(worker, now)?;
        // Without `until_ms` the worker's clock is not known yet, and the report is needed at once
        // to learn it.
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

    /// Processes a worker's report, which was requested at `sent_at`.
    pub fn on_report(
        &mut self,
        worker: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
        unix_ms: u64,
    ) {
        self.times.record(Part::FirstReport, now, &self.metrics);
        self.shard.on_report(worker, report, sent_at, now, unix_ms);
    }

    /// Polls the state machine, sends its commands to the workers, and returns the commands that
    /// are not for workers.
    pub fn dispatch_commands(&mut self, now: Instant, unix_ms: u64) -> Vec<Command> {
        let mut other_commands = Vec::new();
        let previous_dispatch_at = self.shard.last_dispatch_at();
        let start = Instant::now();
        let commands = self.shard.poll(now, unix_ms);
        if self.shard.last_dispatch_at() != previous_dispatch_at {
            self.shard.record_dispatch_duration(start.elapsed());
        }
        if !self.shard.awaits_unknown_runs(now) {
            // Without a worker there is no report to wait for.
            let ended = self.times.record(Part::FirstReport, now, &self.metrics)
                | self.times.record(Part::Dispatch, now, &self.metrics);
            if ended {
                self.log_times_at = Some(now + TIMES_LOG_DELAY);
            }
        }
        if self.log_times_at.is_some_and(|at| at <= now) {
            self.log_times_at = None;
            log::info!("lead: shard={} takeover times: {}.", self.name, self.times);
        }
        for command in commands {
            let (Command::Start { worker, .. }
            | Command::Stop { worker, .. }
            | Command::Throttle { worker, .. }) = &command
            else {
                other_commands.push(command);
                continue;
            };
            let Some(link) = self.links.get(worker) else {
                continue;
            };
            let callback = self.callbacks.command_result.clone();
            link.send(command, self.metrics.clone(), move |result| {
                callback(result)
            });
        }
        self.update_links();
        other_commands
    }

    /// Returns the next transaction, if one is due; its outcome must be passed to
    /// [`ShardLeader::on_write_result`].
    ///
    /// Besides the rows of the batch, the transaction replaces the head row of the shard with a
    /// mark. If the reply is lost, the mark in the head row shows which write was the last.
    pub fn next_write(&mut self, now: Instant) -> Option<(Batch, Tx)> {
        let Write {
            batch,
            head_version,
            mark,
        } = self
            .journal
            .next_write(&mut self.shard, MAX_ENTRIES_PER_TX, now)?;
        let head = keys::head(&self.name);
        // Encoding plain data can't fail, here and below.
        let mark = postcard::to_stdvec(&mark).unwrap_or_default();
        let mut tx = Tx {
            expect: vec![
                (keys::lease(&self.name), self.lease_version),
                (head.clone(), head_version),
            ],
            puts: vec![(head, mark)],
            ..Tx::default()
        };
        for (id, row) in &batch.rows {
            tx.puts.push((keys::progress(&self.name, *id), row.clone()));
        }
        // A takeover then reads the specifications of open jobs only.
        let finished = batch.finished_jobs();
        tx.deletes
            .extend(finished.map(|id| keys::job(&self.name, id)));
        if let Some(workers_in_use) = &batch.workers_in_use {
            let value = postcard::to_stdvec(workers_in_use).unwrap_or_default();
            tx.puts.push((keys::workers_in_use(&self.name), value));
        }
        if let Some(interference) = &batch.interference {
            let value = learnt::encode(interference, &batch.run_times);
            tx.puts.push((keys::interference(&self.name), value));
        }
        Some((batch, tx))
    }

    /// Applies the outcome of a write; returns whether this instance still leads.
    pub fn on_write_result(
        &mut self,
        batch: Batch,
        result: &Result<TxOutcome, StoreError>,
        now: Instant,
    ) -> bool {
        let write_result = match result {
            Ok(TxOutcome::Applied(version)) => {
                self.written_at = now;
                WriteResult::Applied(*version)
            }
            Ok(TxOutcome::Conflict(rows)) => {
                let lease = keys::lease(&self.name);
                if rows
                    .iter()
                    .any(|r| r.name == lease && r.version != self.lease_version)
                {
                    return false;
                }
                let head = keys::head(&self.name);
                let head = rows.iter().find(|r| r.name == head);
                head.map_or(WriteResult::NotApplied, |row| {
                    let mark = postcard::from_bytes(&row.value).ok();
                    WriteResult::Superseded(row.version, mark)
                })
            }
            Err(StoreError::NotApplied) => WriteResult::NotApplied,
            Err(_) => WriteResult::Unknown,
        };
        if !matches!(write_result, WriteResult::Applied(_)) {
            let rows = batch.rows.len();
            log::info!(
                "lead: shard={} rows={rows} may not be stored: {result:?}.",
                self.name
            );
        }
        self.journal
            .on_write_result(&mut self.shard, batch, write_result, now);
        true
    }

    /// Returns whether the store has all state of the shard: no write is due or in flight.
    pub fn is_stored(&self) -> bool {
        !self.journal.is_writing() && !self.shard.is_dirty()
    }

    /// Returns a transaction that deletes the rows of some jobs that finished before `unix_ms`;
    /// `None` if there are none.
    pub fn expire_jobs(&mut self, unix_ms: u64) -> Option<Tx> {
        let ids: Vec<JobId> = self.shard.expire_jobs(unix_ms, MAX_ENTRIES_PER_TX / 4);
        if ids.is_empty() {
            return None;
        }
        let mut tx = Tx {
            expect: vec![(keys::lease(&self.name), self.lease_version)],
            ..Tx::default()
        };
        for id in ids {
            tx.deletes.push(keys::id(id));
            // Earlier versions keep the specification of a finished job.
            tx.deletes.push(keys::job(&self.name, id));
            tx.deletes.push(keys::cancel(&self.name, id));
            tx.deletes.push(keys::progress(&self.name, id));
        }
        Some(tx)
    }

    /// Opens links to new workers, and closes the links to workers that the shard does not contain
    /// any more or whose address has changed.
    fn update_links(&mut self) {
        if !self.shard.take_worker_addresses_changed() {
            return;
        }
        let addresses = self.shard.worker_addresses().collect();
        open_links(&mut self.links, addresses, &self.callbacks, &self.metrics);
    }
}

/// Opens links to the workers with these ids and addresses, and closes the links to other workers or
/// other addresses.
pub(crate) fn open_links(
    links: &mut HashMap<String, WorkerLink>,
    addresses: HashMap<&str, &str>,
    callbacks: &Callbacks,
    metrics: &Arc<Metrics>,
) {
    links.retain(|id, link| addresses.get(id.as_str()) == Some(&link.address.as_str()));
    for (id, address) in addresses {
        if links.contains_key(id) {
            continue;
        }
        let (next_report_request, request_worker) =
            (callbacks.next_report_request.clone(), id.to_owned());
        let (report, report_worker) = (callbacks.report.clone(), id.to_owned());
        let link = WorkerLink::open(
            id,
            address,
            metrics.clone(),
            move || next_report_request(request_worker.clone()),
            move |r, sent| report(report_worker.clone(), r, sent),
        );
        match link {
            Some(link) => drop(links.insert(id.to_owned(), link)),
            None => log::warn!(
                "lead: worker={id} address={address:?} is not valid, no commands are sent."
            ),
        }
    }
}
