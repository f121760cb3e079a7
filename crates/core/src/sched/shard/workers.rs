//! Reports of workers, answers to orders, and leases that run out.

use {
    super::state::{Command, RunPhase, Shard, Worker},
    crate::{
        hash::HashSet,
        sched::{
            job::{Resources, TaskName},
            worker::{Availability, CommandReply, LeaseClock, Report, RunningRow, WorkerInfo},
        },
    },
    std::time::{Duration, Instant},
};

/// Without an answer for this long a worker gets no further work.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_700);

/// How long a worker that failed runs in a row gets no further work.
const EJECTION: Duration = Duration::from_secs(5);

/// Runs that must fail in a row before a worker is ejected.
const EJECTING_FAILURES: u32 = 3;

/// How long a worker that refused for want of room gets no further work.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// How long a worker that said it did nothing gets no further work.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(800);

/// How long a worker that is not listed any more but answers gets work; its entry may come
/// back two seconds after an outage of the platform.
const UNLISTED_GRACE: Duration = Duration::from_millis(2_300);

/// The wait before an order without an answer is sent again.
const RESEND: Duration = Duration::from_millis(60);

impl Shard {
    /// Takes in the platform's entry of a worker.
    pub fn worker_listed(&mut self, info: &WorkerInfo, now: Instant) {
        self.changed = true;
        let Some(worker) = self.workers.get_mut(&info.id) else {
            let worker = Worker::new(info.clone(), now);
            self.workers.insert(info.id.clone(), worker);
            self.workers_in_use_dirty = true;
            return;
        };
        worker.listed = true;
        worker.unlisted_at = None;
        if worker.info.address != info.address {
            self.workers_in_use_dirty = true;
        }
        if worker.info.capacity != info.capacity {
            worker.free.cpu += info.capacity.cpu - worker.info.capacity.cpu;
            worker.free.mem_mb += info.capacity.mem_mb - worker.info.capacity.mem_mb;
            worker.free.gpu += info.capacity.gpu - worker.info.capacity.gpu;
        }
        let started_ms = worker.info.started_ms;
        worker.info = info.clone();
        // Only its own answers tell when a life began for us.
        worker.info.started_ms = started_ms;
        match info.availability {
            Availability::Ready => worker.draining_since = None,
            Availability::Draining => {
                worker.draining_since.get_or_insert(now);
            }
        }
    }

    /// Adds a worker that an earlier leader used, if it is not known otherwise.
    pub fn add_worker_in_use(&mut self, id: &str, address: &str, now: Instant) {
        if self.workers.contains_key(id) {
            return;
        }
        let info = WorkerInfo {
            id: id.to_owned(),
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
        self.workers.insert(id.to_owned(), worker);
    }

    /// Takes in that the platform does not list a worker any more.
    pub fn worker_unlisted(&mut self, id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
            worker.unlisted_at.get_or_insert(now);
        }
    }

    /// Returns the workers to keep in contact with, and their addresses.
    pub fn worker_addresses(&self) -> impl Iterator<Item = (&str, &str)> {
        let workers = self.workers.values();
        workers.map(|w| (w.info.id.as_str(), w.info.address.as_str()))
    }

    /// Returns what a report is asked with: the newest end that may be forgotten, and the end
    /// of the lease on the worker's clock, if that is known.
    pub fn prepare_report_request(&mut self, id: &str, now: Instant) -> Option<(u64, Option<u64>)> {
        let lease = self.params.lease;
        let quiet = self.dirty.is_empty() && !self.storing;
        let worker = self.workers.get_mut(id)?;
        if quiet {
            worker.acked_end = worker.seen_end;
        }
        // A worker that does not answer may still get what is sent: renewing its leases would
        // keep its tasks from starting elsewhere for good.
        let silent = worker
            .answered_at
            .is_some_and(|at| now.duration_since(at) > UNRESPONSIVE_AFTER);
        let until_ms = if silent {
            None
        } else {
            worker.clock.grant(lease, now)
        };
        Some((worker.acked_end, until_ms))
    }

    /// Returns whether a worker has ends that wait to be stored.
    pub fn has_unstored_ends(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|w| w.seen_end > w.acked_end) && (self.storing || !self.dirty.is_empty())
    }

    /// Returns whether a worker's serving tasks share it with filling ones.
    pub fn has_mixed_load(&self, id: &str) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|w| w.serving > 0 && w.best_effort_cpu > 0)
    }

    /// Takes in a report that was asked for at `sent`.
    pub fn on_report(
        &mut self,
        id: &str,
        report: &Report,
        sent: Instant,
        now: Instant,
        unix_ms: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let first = worker.answered_at.is_none();
        if report.started_ms != worker.info.started_ms {
            let before = std::mem::replace(&mut worker.info.started_ms, report.started_ms);
            if !first && before != report.started_ms {
                self.reborn(id, report, sent, now);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.clock.sample(report.clock_ms, now);
        worker.answered_at = Some(now);
        self.changed |= first;
        let seen = worker.seen_end;
        let ends = report.finished.iter().filter(|row| row.number > seen);
        for row in ends {
            self.on_run_ended(id, row, now, unix_ms);
        }
        let newest = report.finished.iter().map(|row| row.number).max();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.seen_end = worker.seen_end.max(newest.unwrap_or(0));
        }
        for row in &report.running {
            self.runs_there(id, row, sent, now);
        }
        self.drop_vanished(id, report, sent, now);
        self.watch_tails(id, report, now);
    }

    /// Takes in the answer to a start.
    pub fn on_start_reply(
        &mut self,
        id: &str,
        task: TaskName,
        attempt: u32,
        answer: CommandReply,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Sent {
            return;
        }
        let unclear = run.in_doubt;
        match answer {
            CommandReply::Ok => {
                run.phase = RunPhase::Running(now);
                run.in_doubt = false;
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && !job.started
                {
                    job.started = true;
                }
                return;
            }
            CommandReply::Silent => {
                run.in_doubt = true;
                run.resend_at = now + RESEND;
                return;
            }
            // It may have run and ended there: the next report tells.
            CommandReply::Old | CommandReply::Reborn => {
                run.phase = RunPhase::Running(now);
                return;
            }
            CommandReply::Fenced => self.fenced = true,
            CommandReply::Full => {
                worker.full_until = Some(now + FULL_PAUSE);
                log::info!("jobs: worker={id} refused task={task} attempt={attempt}: no room.");
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
        if unclear {
            // The order that got no answer may still be carried out; a stop prevents it.
            self.stop_run(id, task);
            return;
        }
        self.remove_run(id, task, now);
        let refused = answer == CommandReply::Refused;
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|j| j.task(&task)) {
            let wait = if refused { 1_000 } else { 20 };
            task.not_before = Some(now + Duration::from_millis(wait));
        }
    }

    /// Takes in the answer to a stop.
    pub fn on_stop_reply(
        &mut self,
        id: &str,
        task: TaskName,
        attempt: u32,
        answer: CommandReply,
        now: Instant,
    ) {
        let worker = self.workers.get_mut(id);
        let Some(run) = worker.and_then(|w| w.runs.get_mut(&task)) else {
            return;
        };
        if run.attempt != attempt {
            return;
        }
        match answer {
            CommandReply::Silent | CommandReply::Unhealthy => run.resend_at = now + RESEND,
            CommandReply::Fenced => self.fenced = true,
            _ => run.phase = RunPhase::Stopping(Some(now)),
        }
    }

    /// Counts a failed run against its worker.
    pub(super) fn count_failure(&mut self, id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failures += 1;
            if worker.failures >= EJECTING_FAILURES {
                worker.ejected_until = Some(now + EJECTION);
                // One more failure ejects it again after that.
                worker.failures = EJECTING_FAILURES - 1;
                log::warn!("jobs: worker={id} ejected after failed runs.");
            }
        }
    }

    /// Takes in that a report is of another life of the worker.
    fn reborn(&mut self, id: &str, report: &Report, sent: Instant, now: Instant) {
        log::warn!("jobs: worker={id} began a new life, its runs are gone.");
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.incarnations += 1;
        worker.clock = LeaseClock::default();
        worker.seen_end = 0;
        worker.acked_end = 0;
        worker.failures = 0;
        worker.ejected_until = None;
        worker.throttles.clear();
        let listed = |task: &TaskName, attempt| {
            let same = |row: &RunningRow| row.task == *task && row.attempt == attempt;
            report.running.iter().any(same)
        };
        // What was answered since the report was asked for may be of the new life already.
        let newer = |phase| matches!(phase, RunPhase::Running(at) if at >= sent);
        let runs = worker.runs.iter_mut();
        let runs = runs.filter(|(task, run)| !listed(task, run.attempt) && !newer(run.phase));
        let runs = runs.map(|(task, run)| {
            run.in_doubt |= run.phase == RunPhase::Sent;
            (*task, run.phase == RunPhase::Sent)
        });
        let runs: Vec<_> = runs.collect();
        for (task, unanswered) in runs {
            if unanswered {
                // The order may reach the new life yet; a stop there settles it.
                self.stop_run(id, task);
            } else {
                self.lose_run(id, task, "the worker began anew", now);
            }
        }
    }

    /// Takes in one row of what runs on a worker.
    fn runs_there(&mut self, id: &str, row: &RunningRow, sent: Instant, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&row.task)
            && run.attempt == row.attempt
        {
            if run.phase == RunPhase::Sent {
                run.phase = RunPhase::Running(now);
                run.in_doubt = false;
                if let Some(job) = self.jobs.get_mut(&row.task.job) {
                    job.started = true;
                }
            }
            if row.percent != run.percent {
                run.percent = row.percent;
                run.progressed_at = now;
            }
            if !row.checkpoint.is_empty() {
                row.checkpoint.clone_into(&mut run.checkpoint);
            }
            return;
        }
        if let Some(run) = worker.runs.get_mut(&row.task) {
            // An earlier attempt turned out to be there: it is the one to go on with, or to stop.
            run.attempt = row.attempt;
            if matches!(run.phase, RunPhase::Stopping(_)) {
                run.phase = RunPhase::Running(now);
                self.stop_run(id, row.task);
            } else {
                run.phase = RunPhase::Running(now);
            }
            return;
        }
        self.adopt(id, row, sent, now);
    }

    /// Books a run that an earlier leader started, or stops it if it is not wanted.
    fn adopt(&mut self, id: &str, row: &RunningRow, sent: Instant, now: Instant) {
        let wanted = self.wants_run(row.task);
        self.add_occurrences_up_to(row.task);
        let token = self.worker_token(id);
        if wanted {
            log::info!(
                "jobs: task={} attempt={} worker={id} found running.",
                row.task,
                row.attempt,
            );
            self.add_run(id, row.task, row.attempt, RunPhase::Running(sent), now);
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                job.started = true;
            }
            return;
        }
        // Stops are idempotent, and the next report shows whether it took effect.
        self.commands.push(Command::Stop {
            worker: id.to_owned(),
            task: row.task,
            attempt: row.attempt,
            token,
        });
        log::info!(
            "jobs: task={} attempt={} worker={id} is not wanted, stopping it.",
            row.task,
            row.attempt,
        );
    }

    /// Gives back the runs that a worker should list and does not.
    fn drop_vanished(&mut self, id: &str, report: &Report, sent: Instant, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed: HashSet<_> = report.running.iter().map(|r| (r.task, r.attempt)).collect();
        let gone = worker.runs.iter().filter(|(task, run)| {
            let answered = match run.phase {
                RunPhase::Sent | RunPhase::Stopping(None) => None,
                RunPhase::Running(at) | RunPhase::Stopping(Some(at)) => Some(at),
            };
            answered.is_some_and(|at| at < sent) && !listed.contains(&(**task, run.attempt))
        });
        let gone: Vec<_> = gone.map(|(task, _)| *task).collect();
        for task in gone {
            self.lose_run(id, task, "the worker does not list it", now);
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
            unlisted_at: None,
            draining_since: draining.then_some(now),
            incarnations: 0,
            clock: LeaseClock::default(),
            leases_expired_at: None,
            answered_at: None,
            runs: Default::default(),
            free,
            best_effort_cpu: 0,
            serving_cpu: 0,
            serving: 0,
            seen_end: 0,
            acked_end: 0,
            throttles: Default::default(),
            pressure: Default::default(),
            headroom: Vec::new(),
            over_target_since: None,
            failures: 0,
            ejected_until: None,
            full_until: None,
        }
    }

    pub(super) fn is_responsive(&self, now: Instant) -> bool {
        let answered = self.answered_at;
        answered.is_some_and(|at| now.duration_since(at) <= UNRESPONSIVE_AFTER)
    }

    /// Returns whether new work may be placed here.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let past = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        let listed = |at| now.duration_since(at) < UNLISTED_GRACE;
        (self.listed || self.unlisted_at.is_some_and(listed))
            && self.draining_since.is_none()
            && self.is_responsive(now)
            && past(self.ejected_until)
            && past(self.full_until)
    }
}
