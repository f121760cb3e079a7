//! The workers of a shard: updates of their list, their reports, and their replies to commands.

use {
    super::state::{Command, Run, RunPhase, Shard, Worker},
    crate::{
        hash::HashSet,
        sched::{
            job::{Resources, TaskName},
            worker::{Availability, CommandReply, LeaseClock, Report, RunningRow, WorkerInfo},
        },
    },
    std::time::{Duration, Instant},
};

/// The time without a report after which a worker counts as unresponsive and gets no new tasks.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_700);

/// How long a worker with consecutive failed runs gets no new tasks.
const EJECTION_DURATION: Duration = Duration::from_secs(5);

/// The number of consecutive failed runs that ejects a worker.
const EJECTING_FAILURES: u32 = 3;

/// How long a worker gets no new tasks after it refused one for lack of resources.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// How long a worker gets no new tasks after it replied that it is unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(800);

/// How long a responsive worker still gets new tasks after the platform has stopped listing it.
/// After an outage of the platform, a worker's entry may return only 2 s later.
const UNLISTED_GRACE: Duration = Duration::from_millis(2_300);

/// The delay before a command is resent because it got no reply or, for a stop command, because the
/// worker replied that it is unhealthy.
const RESEND_DELAY: Duration = Duration::from_millis(60);

impl Shard {
    /// Adds a worker that the platform lists, or updates it from its entry in the list.
    pub fn worker_listed(&mut self, info: &WorkerInfo, now: Instant) {
        self.changed = true;
        self.observe_process(&info.id, &info.address, info.started_ms);
        let Some(worker) = self.workers.get_mut(&info.id) else {
            let worker = Worker::new(info.clone(), now);
            self.workers.insert(info.id.clone(), worker);
            self.workers_in_use_dirty = true;
            self.worker_addresses_changed = true;
            return;
        };
        worker.listed = true;
        worker.unlisted_at = None;
        if worker.info.address != info.address {
            worker.is_stored_in_use = false;
            self.workers_in_use_dirty = true;
            self.worker_addresses_changed = true;
        }
        if worker.info.capacity != info.capacity {
            worker.free.cpu += info.capacity.cpu - worker.info.capacity.cpu;
            worker.free.mem_mb += info.capacity.mem_mb - worker.info.capacity.mem_mb;
            worker.free.gpu += info.capacity.gpu - worker.info.capacity.gpu;
        }
        let started_ms = worker.info.started_ms;
        worker.info = info.clone();
        // Only the worker's own reports show that it has restarted.
        worker.info.started_ms = started_ms;
        match info.availability {
            Availability::Ready => worker.draining_since = None,
            Availability::Draining => {
                worker.draining_since.get_or_insert(now);
            }
        }
    }

    /// Adds a worker from the stored list of workers in use.
    ///
    /// The worker may still have runs of an earlier leader. It gets no new tasks until the platform
    /// lists it.
    pub fn add_worker_in_use(&mut self, worker_id: &str, address: &str, now: Instant) {
        self.add_unlisted_worker(worker_id, address, now);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.is_stored_in_use = worker.info.address == address;
            worker.is_inherited = true;
        }
    }

    /// Adds a worker that the platform does not list, unless the shard has it already.
    pub(super) fn add_unlisted_worker(&mut self, worker_id: &str, address: &str, now: Instant) {
        if self.workers.contains_key(worker_id) {
            return;
        }
        let info = WorkerInfo {
            id: worker_id.to_owned(),
            service: String::new(),
            address: address.to_owned(),
            domain: String::new(),
            availability: Availability::Draining,
            capacity: Resources::default(),
            labels: Vec::new(),
            started_ms: 0,
            remaining_ms: None,
        };
        let mut worker = Worker::new(info, now);
        worker.listed = false;
        self.workers.insert(worker_id.to_owned(), worker);
        self.worker_addresses_changed = true;
    }

    /// Records that the platform no longer lists a worker.
    pub fn worker_unlisted(&mut self, worker_id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.listed = false;
            worker.unlisted_at.get_or_insert(now);
        }
    }

    /// Returns the id and address of each worker; the leader requests reports from all of them.
    pub fn worker_addresses(&self) -> impl Iterator<Item = (&str, &str)> {
        let workers = self.workers.values();
        workers.map(|w| (w.info.id.as_str(), w.info.address.as_str()))
    }

    /// Returns whether the result of [`Shard::worker_addresses`] may have changed since the last
    /// call; true at the first call.
    pub fn take_worker_addresses_changed(&mut self) -> bool {
        std::mem::take(&mut self.worker_addresses_changed)
    }

    /// Returns the contents of a report request to a worker: the number of the newest run end that
    /// the worker may forget, and the new end of its leases, in milliseconds on its clock.
    ///
    /// The lease end is `None`, and no lease is renewed, while the worker is unresponsive or its
    /// clock is unknown. Returns `None` for an unknown worker.
    pub fn prepare_report_request(
        &mut self,
        worker_id: &str,
        now: Instant,
    ) -> Option<(u64, Option<u64>)> {
        let lease = self.params.lease;
        let all_stored = self.dirty.is_empty() && !self.storing;
        let worker = self.workers.get_mut(worker_id)?;
        if all_stored {
            worker.last_acked_end = worker.last_reported_end;
        }
        // An unresponsive worker may still receive requests. If they renewed its leases, its tasks
        // would never start on another worker.
        let unresponsive = worker
            .answered_at
            .is_some_and(|at| now.duration_since(at) > UNRESPONSIVE_AFTER);
        let until_ms = if unresponsive {
            None
        } else {
            worker.clock.grant(lease, now)
        };
        Some((worker.last_acked_end, until_ms))
    }

    /// Returns whether a worker has reported run ends that can't be acknowledged yet, because a
    /// write is due or in progress.
    pub fn has_unstored_ends(&self, worker_id: &str) -> bool {
        let worker = self.workers.get(worker_id);
        worker.is_some_and(|w| w.last_reported_end > w.last_acked_end)
            && (self.storing || !self.dirty.is_empty())
    }

    /// Returns whether a worker has both serving and best-effort runs.
    pub fn has_mixed_load(&self, worker_id: &str) -> bool {
        let worker = self.workers.get(worker_id);
        worker.is_some_and(|w| w.serving_runs > 0 && w.best_effort_cpu > 0)
    }

    /// Processes a worker's report, which was requested at `sent_at` and arrived at `now`.
    ///
    /// `unix_ms` is the current Unix time in milliseconds.
    pub fn on_report(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
        unix_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let is_first_report = worker.answered_at.is_none();
        if report.started_ms != worker.info.started_ms {
            let previous = std::mem::replace(&mut worker.info.started_ms, report.started_ms);
            let address = worker.info.address.clone();
            self.observe_process(worker_id, &address, report.started_ms);
            if !is_first_report && previous != report.started_ms {
                self.on_worker_restarted(worker_id, report, sent_at, now);
            }
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.clock.sample(report.clock_ms, now);
        worker.answered_at = Some(now);
        worker.connection_lost_at = None;
        self.changed |= is_first_report;
        self.processes
            .add_observation(&worker.info.address, report.started_ms, true);
        let last_processed = worker.last_reported_end;
        let ends = report
            .finished
            .iter()
            .filter(|row| row.number > last_processed);
        for row in ends {
            self.on_run_ended(worker_id, row, now, unix_ms);
        }
        let newest = report.finished.iter().map(|row| row.number).max();
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.last_reported_end = worker.last_reported_end.max(newest.unwrap_or(0));
        }
        for row in &report.running {
            self.on_run_reported(worker_id, row, sent_at, now);
        }
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let is_unaccounted = |row: &RunningRow| !worker.runs.contains_key(&row.task);
            worker.has_unaccounted_runs = report.running.iter().any(is_unaccounted);
        }
        self.note_omitted_ends(worker_id, report, is_first_report);
        self.lose_unreported_runs(worker_id, report, sent_at, now);
        self.observe_tails(worker_id, report, now);
    }

    /// Records that the connection to a worker failed while a report was requested, as it does when
    /// the worker crashes. The worker gets no new tasks until its next report.
    pub fn on_connection_lost(&mut self, worker_id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.connection_lost_at.get_or_insert(now);
        }
    }

    /// Processes the reply to a start command.
    pub fn on_start_reply(
        &mut self,
        worker_id: &str,
        task: TaskName,
        attempt: u32,
        reply: CommandReply,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Sent {
            return;
        }
        let in_doubt = run.in_doubt;
        match reply {
            CommandReply::Ok => {
                run.phase = RunPhase::Running(now);
                run.in_doubt = false;
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && !job.started
                {
                    job.started = true;
                }
                self.on_run_confirmed(worker_id, task, now);
                return;
            }
            CommandReply::Silent => {
                run.in_doubt = true;
                run.resend_at = now + RESEND_DELAY;
                return;
            }
            // The attempt may run on the worker, or have ended there; the next report shows which.
            CommandReply::Old | CommandReply::Reborn => {
                run.phase = RunPhase::Running(now);
                return;
            }
            CommandReply::Fenced => self.fenced = true,
            CommandReply::Full => {
                worker.full_until = Some(now + FULL_PAUSE);
                log::info!(
                    "jobs: worker={worker_id} refused task={task} attempt={attempt}: not enough free resources."
                );
            }
            CommandReply::Unhealthy => {
                let until = now + UNHEALTHY_PAUSE;
                worker.ejected_until = worker.ejected_until.max(Some(until));
            }
            CommandReply::Unapproved => {
                let key = (task.job, task.occurrence, task.step);
                self.approvals.remove(&key);
            }
            CommandReply::Late | CommandReply::Refused => {}
        }
        if in_doubt {
            // The worker may still execute an earlier start command that got no reply; the stop
            // prevents that.
            self.stop_run(worker_id, task);
            return;
        }
        self.remove_run(worker_id, task, now);
        let is_refused = reply == CommandReply::Refused;
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|j| j.task(&task)) {
            let delay_ms = if is_refused { 1_000 } else { 20 };
            task.not_before = Some(now + Duration::from_millis(delay_ms));
        }
    }

    /// Processes the reply to a stop command.
    pub fn on_stop_reply(
        &mut self,
        worker_id: &str,
        task: TaskName,
        attempt: u32,
        reply: CommandReply,
        now: Instant,
    ) {
        let worker = self.workers.get_mut(worker_id);
        let Some(run) = worker.and_then(|w| w.runs.get_mut(&task)) else {
            return;
        };
        if run.attempt != attempt {
            return;
        }
        match reply {
            CommandReply::Silent | CommandReply::Unhealthy => run.resend_at = now + RESEND_DELAY,
            CommandReply::Fenced => self.fenced = true,
            _ => run.phase = RunPhase::Stopping(Some(now)),
        }
    }

    /// Counts a failed run of a worker, and ejects the worker after too many in a row.
    pub(super) fn count_failure(&mut self, worker_id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.consecutive_failures += 1;
            if worker.consecutive_failures >= EJECTING_FAILURES {
                worker.ejected_until = Some(now + EJECTION_DURATION);
                // After the ejection, a single further failure ejects the worker again.
                worker.consecutive_failures = EJECTING_FAILURES - 1;
                log::warn!("jobs: worker={worker_id} ejected after consecutive failed runs.");
            }
        }
    }

    /// Handles the first report of a worker after its restart, which was requested at `sent_at`.
    ///
    /// Runs are treated as lost unless the report lists them, or leaves out ended attempts, or they were
    /// confirmed after it was requested. Runs whose start command has no reply are stopped.
    fn on_worker_restarted(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
    ) {
        log::warn!("jobs: worker={worker_id} restarted, its earlier runs are lost.");
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.incarnations += 1;
        worker.clock = LeaseClock::default();
        worker.last_reported_end = 0;
        worker.last_acked_end = 0;
        worker.omits_inherited_ends = false;
        worker.consecutive_failures = 0;
        worker.ejected_until = None;
        worker.throttles.clear();
        let is_reported = |task: &TaskName, attempt| {
            let same = |row: &RunningRow| row.task == *task && row.attempt == attempt;
            report.running.iter().any(same)
        };
        // Runs that were confirmed after the report was requested may belong to the new
        // incarnation, and so may their ends that the report leaves out.
        let omits_ends = report.finished.len() >= self.params.max_listed_ends;
        let may_be_new = |run: &Run| match run.phase {
            RunPhase::Sent => false,
            RunPhase::Running(at) if at >= sent_at => true,
            RunPhase::Running(_) | RunPhase::Stopping(_) => omits_ends,
        };
        let runs = worker.runs.iter_mut();
        let runs = runs.filter(|(task, run)| !is_reported(task, run.attempt) && !may_be_new(run));
        let runs = runs.map(|(task, run)| {
            run.in_doubt |= run.phase == RunPhase::Sent;
            (*task, run.phase == RunPhase::Sent)
        });
        let runs: Vec<_> = runs.collect();
        let names: Vec<_> = runs.iter().map(|(task, _)| *task).collect();
        self.record_losses(worker_id, &names, now);
        for (task, unanswered) in runs {
            if unanswered {
                // The new incarnation may still execute the start command; the stop prevents that.
                self.stop_run(worker_id, task);
            } else {
                self.lose_run(worker_id, task, "the worker restarted", now);
            }
        }
    }

    /// Processes an entry for a running attempt in a worker's report, which was requested at
    /// `sent_at`.
    fn on_run_reported(
        &mut self,
        worker_id: &str,
        row: &RunningRow,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.attempt == row.attempt
        {
            let is_unconfirmed = run.phase == RunPhase::Sent;
            if is_unconfirmed {
                run.phase = RunPhase::Running(now);
                run.in_doubt = false;
                if let Some(job) = self.jobs.get_mut(&row.task.job) {
                    job.started = true;
                }
            }
            if row.percent != run.progress_percent {
                run.progress_percent = row.percent;
                run.progressed_at = now;
            }
            if !row.checkpoint.is_empty() {
                row.checkpoint.clone_into(&mut run.checkpoint);
            }
            if is_unconfirmed {
                self.on_run_confirmed(worker_id, row.task, now);
            }
            return;
        }
        if let Some(run) = worker.runs.get_mut(&row.task) {
            // The worker runs another attempt of the task, such as an earlier one. That attempt
            // replaces the expected one: it continues, or is stopped if the run is being stopped.
            run.attempt = row.attempt;
            if matches!(run.phase, RunPhase::Stopping(_)) {
                run.phase = RunPhase::Running(now);
                self.stop_run(worker_id, row.task);
            } else {
                run.phase = RunPhase::Running(now);
            }
            return;
        }
        self.adopt(worker_id, row, sent_at, now);
    }

    /// Adds a reported run that this leader has not started, or stops it if it is not needed.
    fn adopt(&mut self, worker_id: &str, row: &RunningRow, sent_at: Instant, now: Instant) {
        let is_needed = self.needs_run(row.task);
        self.add_occurrences_up_to(row.task);
        let token = self.worker_token(worker_id);
        if is_needed {
            log::info!(
                "jobs: task={} attempt={} worker={worker_id} found running, adding it.",
                row.task,
                row.attempt,
            );
            self.add_run(
                worker_id,
                row.task,
                row.attempt,
                RunPhase::Running(sent_at),
                now,
            );
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                job.started = true;
            }
            self.on_run_confirmed(worker_id, row.task, now);
            return;
        }
        // Stop commands are idempotent. If this one gets lost, the next report lists the run again
        // and the run is stopped again.
        self.commands.push(Command::Stop {
            worker: worker_id.to_owned(),
            task: row.task,
            attempt: row.attempt,
            token,
        });
        log::info!(
            "jobs: task={} attempt={} worker={worker_id} is not needed, stopping it.",
            row.task,
            row.attempt,
        );
    }

    /// Records whether a worker's report may leave out ended attempts, as it does while too many are
    /// not acknowledged.
    fn note_omitted_ends(&mut self, worker_id: &str, report: &Report, is_first_report: bool) {
        let limit = self.params.max_listed_ends;
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let omits_ends = report.finished.len() >= limit;
        if omits_ends != worker.omits_ends {
            log::info!(
                "jobs: worker={worker_id} lists {} ended attempts of at most {limit}, up to n={}: newer ones are {}.",
                report.finished.len(),
                worker.last_reported_end,
                if omits_ends { "unknown" } else { "listed" },
            );
        }
        worker.omits_ends = omits_ends;
        let had_omitted = worker.omits_inherited_ends;
        worker.omits_inherited_ends = omits_ends && (is_first_report || had_omitted);
        self.changed |= had_omitted && !omits_ends;
    }

    /// Treats runs as lost that were confirmed before the report was requested at `sent_at` but are
    /// not in the report.
    ///
    /// If the report may leave out ended attempts, only long-running tasks are treated so, which
    /// restart however they end. Another run may be done, and stays until its end is listed.
    fn lose_unreported_runs(
        &mut self,
        worker_id: &str,
        report: &Report,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let omits_ends = worker.omits_ends;
        let reported: HashSet<_> = report.running.iter().map(|r| (r.task, r.attempt)).collect();
        let mut lost = Vec::new();
        for (task, run) in &mut worker.runs {
            let confirmed_at = match run.phase {
                RunPhase::Sent | RunPhase::Stopping(None) => None,
                RunPhase::Running(at) | RunPhase::Stopping(Some(at)) => Some(at),
            };
            let has_ended = confirmed_at.is_some_and(|at| at < sent_at)
                && !reported.contains(&(*task, run.attempt));
            run.has_unlisted_end = has_ended && omits_ends && !run.is_long_running;
            if has_ended && !run.has_unlisted_end {
                lost.push((*task, run.process_started_ms));
            }
        }
        // The worker confirmed these and restarted before it sent the first report after that.
        let crashed = lost.iter().filter(|(_, ms)| *ms < report.started_ms);
        let crashed: Vec<_> = crashed.map(|(task, _)| *task).collect();
        self.record_losses(worker_id, &crashed, now);
        for (task, _) in lost {
            self.lose_run(worker_id, task, "the worker does not list it", now);
        }
    }
}

impl Worker {
    fn new(info: WorkerInfo, now: Instant) -> Self {
        let free = info.capacity;
        let draining = info.availability == Availability::Draining;
        Self {
            info: WorkerInfo {
                started_ms: 0,
                ..info
            },
            listed: true,
            is_stored_in_use: false,
            is_inherited: false,
            unlisted_at: None,
            draining_since: draining.then_some(now),
            incarnations: 0,
            clock: LeaseClock::default(),
            leases_expired_at: None,
            answered_at: None,
            connection_lost_at: None,
            runs: Default::default(),
            free,
            best_effort_cpu: 0,
            serving_cpu: 0,
            long_running_cpu: 0,
            serving_runs: 0,
            last_reported_end: 0,
            last_acked_end: 0,
            throttles: Default::default(),
            pressure: Default::default(),
            headroom: Vec::new(),
            over_target_since: None,
            consecutive_failures: 0,
            ejected_until: None,
            omits_ends: false,
            omits_inherited_ends: false,
            has_unaccounted_runs: false,
            full_until: None,
            probation_until: None,
        }
    }

    /// Returns whether the worker's last report is at most [`UNRESPONSIVE_AFTER`] old.
    pub(super) fn is_responsive(&self, now: Instant) -> bool {
        let answered_at = self.answered_at;
        answered_at.is_some_and(|at| now.duration_since(at) <= UNRESPONSIVE_AFTER)
    }

    /// Returns whether the worker may have runs, or ends of runs that are not known, or may get some.
    ///
    /// A worker that has answered this leader executes no commands of earlier ones any more, and
    /// `runs` has each run that this leader may have started, until its end is certain. The ends that
    /// it leaves out may be those of runs of an earlier leader.
    pub(super) fn is_in_use(&self, now: Instant) -> bool {
        !self.is_leaving(now)
            || self.answered_at.is_none()
            || self.omits_ends
            || self.has_unaccounted_runs
            || !self.runs.is_empty()
    }

    /// Returns whether the worker gets no new tasks because it is about to leave or has left.
    fn is_leaving(&self, now: Instant) -> bool {
        let in_grace = |at| now.duration_since(at) < UNLISTED_GRACE;
        let is_listed = self.listed || self.unlisted_at.is_some_and(in_grace);
        !is_listed || self.draining_since.is_some()
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let has_passed = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        !self.is_leaving(now)
            && self.is_stored_in_use
            && self.is_responsive(now)
            && self.connection_lost_at.is_none()
            && !self.has_unaccounted_runs
            && has_passed(self.ejected_until)
            && has_passed(self.full_until)
    }
}
