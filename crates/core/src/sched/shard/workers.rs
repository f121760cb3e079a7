//! The workers of a shard: updates of their list, and their replies to commands.

use {
    super::state::{Command, RunPhase, Shard, Worker},
    crate::sched::{
        job::{Resources, TaskName},
        worker::{Availability, CommandReply, LeaseClock, WorkerInfo},
    },
    std::time::{Duration, Instant},
};

/// The time without a report after which a worker counts as unresponsive and gets no new tasks.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_700);

/// How long a worker gets no new tasks after it refused one for lack of resources.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// How long a worker gets no new tasks after it replied that it is unhealthy; doubled for each further
/// such reply without a start in between.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(800);

/// How often [`UNHEALTHY_PAUSE`] is doubled at most: a worker that serves again gets work within 3.2 s.
const MAX_UNHEALTHY_DOUBLINGS: u32 = 2;

/// How long a responsive worker still gets new tasks after the platform has stopped listing it.
/// After an outage of the platform, a worker's entry may return only 2 s later.
pub(super) const UNLISTED_GRACE: Duration = Duration::from_millis(2_300);

/// The delay before a command is resent because it got no reply or, for a stop command, because the
/// worker replied that it is unhealthy.
const RESEND_DELAY: Duration = Duration::from_millis(60);

impl Shard {
    /// Adds a worker that the platform lists, or updates it from its entry in the list.
    pub fn worker_listed(&mut self, info: &WorkerInfo, now: Instant) {
        self.changed = true;
        self.observe_process(&info.id, &info.address, info.started_ms);
        let is_evacuated = self.is_evacuated(&info.domain);
        let Some(worker) = self.workers.get_mut(&info.id) else {
            let mut worker = Worker::new(info.clone(), now);
            worker.incarnations = self.removed_incarnations.remove(&info.id).unwrap_or(0);
            worker.is_told_silent = self.told_silences.contains_key(&info.id);
            worker.is_evacuated = is_evacuated;
            self.workers.insert(info.id.clone(), worker);
            self.workers_in_use_dirty = true;
            self.worker_addresses_changed = true;
            return;
        };
        worker.listed = true;
        worker.is_evacuated = is_evacuated;
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
        worker.listed_started_ms = info.started_ms;
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
        worker.incarnations = self.removed_incarnations.remove(worker_id).unwrap_or(0);
        worker.is_told_silent = self.told_silences.contains_key(worker_id);
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

    /// Returns whether the list should be read again at once, since a worker has restarted that it does not
    /// describe yet.
    pub fn take_awaits_entry(&mut self) -> bool {
        std::mem::take(&mut self.awaits_entry)
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
    /// The lease end is `None`, and no lease is renewed, while the worker is unresponsive, its clock is
    /// unknown or a successor may have been told that it is silent. Returns `None` for an unknown worker.
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
        let until_ms = if unresponsive || worker.is_told_silent {
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

    /// Records that the connection to a worker failed while a report was requested, as it does when
    /// the worker crashes. The worker gets no new tasks until its next report.
    pub fn on_connection_lost(&mut self, worker_id: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.connection_lost_at.get_or_insert(now);
        }
    }

    /// Processes the reply to a command.
    ///
    /// A worker that has restarted refuses commands with the token of its former process once it has seen
    /// the newer one of this leader. Only a refusal of the newest token shows that there is a later leader;
    /// see [`Shard::is_fenced`].
    pub fn on_command_reply(&mut self, command: &Command, reply: CommandReply, now: Instant) {
        let (Command::Start { worker, token, .. }
        | Command::Stop { worker, token, .. }
        | Command::Throttle { worker, token, .. }) = command
        else {
            return;
        };
        let is_superseded = *token < self.worker_token(worker);
        let reply = match reply {
            CommandReply::Fenced if is_superseded => CommandReply::OtherProcess,
            CommandReply::Fenced => {
                self.fenced = true;
                reply
            }
            reply => reply,
        };
        match command {
            Command::Start { task, attempt, .. } => {
                self.on_start_reply(worker, *task, *attempt, reply, now);
            }
            Command::Stop { task, attempt, .. } => {
                self.on_stop_reply(worker, *task, *attempt, reply, now);
            }
            _ => {}
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
                worker.refusals = 0;
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
                run.has_stray_start = true;
                run.resend_at = now + RESEND_DELAY;
                return;
            }
            // The attempt may run on the worker, or have ended there; the next report shows which.
            CommandReply::Old | CommandReply::Reborn => {
                run.phase = RunPhase::Running(now);
                return;
            }
            CommandReply::OtherProcess | CommandReply::Unsent => {
                worker.connection_lost_at.get_or_insert(now);
                if in_doubt {
                    run.resend_at = now + RESEND_DELAY;
                    return;
                }
            }
            CommandReply::Fenced => self.fenced = true,
            CommandReply::Full => {
                worker.full_until = Some(now + FULL_PAUSE);
                log::info!(
                    "jobs: worker={worker_id} refused task={task} attempt={attempt}: not enough free resources."
                );
            }
            CommandReply::Unhealthy => {
                let pause = UNHEALTHY_PAUSE * (1 << worker.refusals.min(MAX_UNHEALTHY_DOUBLINGS));
                worker.refusals += 1;
                worker.refused_until = worker.refused_until.max(Some(now + pause));
                log::info!(
                    "jobs: worker={worker_id} refused task={task} attempt={attempt} as unhealthy: refusals={} pause_ms={}.",
                    worker.refusals,
                    pause.as_millis(),
                );
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
            CommandReply::Silent
            | CommandReply::Unhealthy
            | CommandReply::OtherProcess
            | CommandReply::Unsent => {
                run.resend_at = now + RESEND_DELAY;
            }
            CommandReply::Fenced => self.fenced = true,
            _ => run.phase = RunPhase::Stopping(Some(now)),
        }
    }
}

impl Worker {
    fn new(info: WorkerInfo, now: Instant) -> Self {
        let free = info.capacity;
        let draining = info.availability == Availability::Draining;
        let listed_started_ms = info.started_ms;
        Self {
            listed_started_ms,
            info: WorkerInfo {
                started_ms: 0,
                ..info
            },
            listed: true,
            is_evacuated: false,
            is_stored_in_use: false,
            is_inherited: false,
            unlisted_at: None,
            earlier_leases_until: None,
            is_told_silent: false,
            draining_since: draining.then_some(now),
            incarnations: 0,
            clock: LeaseClock::default(),
            is_settled: true,
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
            ends: Default::default(),
            speed: Default::default(),
            current_speed: 1.0,
            ejections: 0,
            refusals: 0,
            refused_until: None,
            ejected_until: None,
            doubted_until: None,
            progressed_at: None,
            stalls: Vec::new(),
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

    /// Returns whether a start was sent to the worker after it refused one, and has no reply yet: one at
    /// a time shows whether it serves again.
    fn is_asked_again(&self) -> bool {
        self.refusals > 0 && self.runs.values().any(|run| run.phase == RunPhase::Sent)
    }

    /// Returns whether the list describes the incarnation that reports: another one may be of another kind.
    ///
    /// The order of start times tells nothing, since the clock of the worker's machine may be set back.
    pub(super) fn has_current_entry(&self) -> bool {
        self.listed_started_ms == 0 || self.listed_started_ms == self.info.started_ms
    }

    /// Returns whether the worker gets new tasks as soon as nothing temporary is against it.
    pub(super) fn may_get_work(&self, now: Instant) -> bool {
        !self.is_leaving(now) && !self.is_evacuated
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let has_passed = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        self.may_get_work(now)
            && self.is_stored_in_use
            && self.is_settled
            && self.has_current_entry()
            && self.is_responsive(now)
            && !self.is_told_silent
            && self.connection_lost_at.is_none()
            && !self.has_unaccounted_runs
            && has_passed(self.ejected_until)
            && has_passed(self.refused_until)
            && !self.is_asked_again()
            && has_passed(self.full_until)
    }
}
