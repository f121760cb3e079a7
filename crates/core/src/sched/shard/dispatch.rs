//! [`Shard::poll`], and the dispatch: the choice of a worker for each task that may start.

use {
    super::{
        candidates::Ranking,
        state::{Command, RunPhase, Shard, Task},
    },
    crate::{
        hash::HashMap,
        sched::job::{JobId, Step, TaskName},
    },
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// The minimum time between two checks of conditions that change with time alone, such as the
/// expiry of leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// The minimum time between two dispatches, each of which scans all open jobs.
pub(super) const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The time between two dispatches, as a multiple of the duration of the last one.
const DISPATCH_INTERVAL_FACTOR: u32 = 6;

/// The maximum time between two dispatches after a change.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(150);

/// The minimum time between two dispatches if nothing has changed except loads.
const IDLE_DISPATCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a job may be idle, that is without any run, while the workers are mostly free. The
/// platform reports a violation after 3 s.
const IDLE_JOB_LIMIT: Duration = Duration::from_millis(1_300);

/// The workers count as mostly free if at least this share of their CPU is unreserved, in percent.
/// The platform's own limit is higher: one half.
const MOSTLY_FREE_PERCENT: i64 = 42;

/// How many occurrences of a job are tried in one dispatch after a step of theirs has found no worker,
/// if the step may use other workers in each of them.
const MAX_FAILED_OCCURRENCES: u32 = 4;

/// What one dispatch has found for a step of a job, in the occurrences so far.
#[derive(Debug, Default)]
struct StepScan {
    /// In how many occurrences the step has found no worker.
    failures: u32,
    /// The number of tasks of the step in the occurrences that are left.
    remaining: usize,
}

impl Shard {
    /// Checks leases and the runs on workers, dispatches tasks if a dispatch is due, and returns
    /// the commands to send.
    ///
    /// `unix_ms` is the current Unix time in milliseconds; it decides which occurrences of
    /// scheduled jobs are due.
    pub fn poll(&mut self, now: Instant, unix_ms: u64) -> Vec<Command> {
        self.processes.note_poll(now, unix_ms);
        let last_check = self.checked_at.unwrap_or(self.leader_since);
        if now.duration_since(last_check) >= CHECK_INTERVAL || self.checked_at.is_none() {
            self.checked_at = Some(now);
            self.expire_leases(now);
            self.update_workers_in_use(now);
            self.resend(now);
            self.stop_draining_runs(now);
            self.move_evacuated_runs(now);
            self.stop_stuck(now);
            self.add_due_occurrences(now, unix_ms);
            self.resolve_placements(now);
        }
        self.count_crashes(now, unix_ms);
        if !self.resigning && self.next_dispatch_at() <= now {
            self.add_due_occurrences(now, unix_ms);
            self.dispatched_at = Some(now);
            if !self.starts_are_held() {
                self.dispatch(now);
                self.changed = false;
                self.displace_long_running(now);
            }
        }
        std::mem::take(&mut self.commands)
    }

    /// Sets the time until the next dispatch to a multiple of the duration of the last one, within
    /// limits, so that dispatches take a small share of the leader's time.
    pub fn record_dispatch_duration(&mut self, duration: Duration) {
        self.dispatch_interval = (duration * DISPATCH_INTERVAL_FACTOR)
            .clamp(MIN_DISPATCH_INTERVAL, MAX_DISPATCH_INTERVAL);
    }

    /// Returns the time of the last dispatch; `None` before the first.
    pub fn last_dispatch_at(&self) -> Option<Instant> {
        self.dispatched_at
    }

    /// Returns whether anything that may allow a start has changed since the last dispatch.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Returns the time of the next dispatch, which is sooner after a change.
    pub fn next_dispatch_at(&self) -> Instant {
        let Some(last_dispatch) = self.dispatched_at else {
            return self.leader_since;
        };
        let interval = if self.changed {
            self.dispatch_interval
        } else {
            IDLE_DISPATCH_INTERVAL.max(self.dispatch_interval)
        };
        last_dispatch + interval
    }

    /// Dispatches the open jobs in the order that the module `waiting` sets.
    fn dispatch(&mut self, now: Instant) {
        self.update_estimates(now);
        let order = self.dispatch_order(now);
        if self.held_back_workers.is_empty() {
            self.holding_since = None;
        }
        self.held_back_workers.clear();
        self.held_back_for = None;
        self.unplaceable.clear();
        self.update_idle_jobs(now);
        for id in order {
            self.dispatch_job(id, now);
        }
        self.start_second_runs(now);
    }

    /// Updates whether the workers are mostly free, and since when each job has been idle.
    fn update_idle_jobs(&mut self, now: Instant) {
        let listed = self.workers.values().filter(|w| w.listed);
        let (free, capacity) = listed.fold((0, 0), |(free, capacity), w| {
            (free + w.free.cpu, capacity + w.info.capacity.cpu)
        });
        self.mostly_free = free * 100 >= capacity * MOSTLY_FREE_PERCENT;
        for job in self.jobs.values_mut() {
            let mut tasks = job
                .occurrences
                .iter()
                .flat_map(|o| o.tasks.iter().flatten());
            if tasks.any(|t| !t.workers.is_empty()) {
                job.idle_since = None;
            } else {
                job.idle_since.get_or_insert(now);
            }
        }
    }

    /// Moves a job to another shard if it should move; otherwise starts the tasks of its ready
    /// steps: those that have tasks left and depend on no unfinished step.
    fn dispatch_job(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.moving {
            return;
        }
        if self.should_move(id, now) {
            self.queue_move(id);
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let spec = job.spec.clone();
        let ready_steps = job.occurrences.iter().flat_map(|occurrence| {
            let steps = spec.steps.iter().enumerate();
            let ready = steps.filter(|(i, step)| occurrence.is_ready(*i, step));
            ready.map(|(i, _)| (occurrence.number, i as u16))
        });
        let mut ready_steps: Vec<_> = ready_steps.collect();
        if ready_steps.len() > 1 {
            // The steps with the longest remaining chain come first.
            let chains = job.chains_from_ms();
            ready_steps
                .sort_by_key(|(occurrence, i)| (*occurrence, Reverse(chains[usize::from(*i)])));
        }
        let mut scans: HashMap<u16, StepScan> = HashMap::default();
        for (_, step) in &ready_steps {
            let count = spec.steps[usize::from(*step)].count as usize;
            scans.entry(*step).or_default().remaining += count;
        }
        // The occurrences share the ranking while only tasks of one step start.
        let mut ranking = Ranking::default();
        let mut ranked_step = None;
        for (occurrence, step_index) in ready_steps {
            let name = TaskName {
                job: id,
                occurrence,
                step: step_index,
                index: 0,
            };
            let step = &spec.steps[usize::from(step_index)];
            let uses_same_workers = !spec.needs_approval && step.max_per_worker == 0;
            let max_failures = if uses_same_workers {
                1
            } else {
                MAX_FAILED_OCCURRENCES
            };
            let scan = scans.entry(step_index).or_default();
            if scan.failures >= max_failures {
                continue;
            }
            if spec.needs_approval && !self.is_approved(name, &spec.service, now) {
                continue;
            }
            let has_room = if step.gang {
                ranked_step = None;
                self.dispatch_gang(name, &spec.service, step, now)
            } else {
                if !uses_same_workers || ranked_step.replace(step_index) != Some(step_index) {
                    ranking = Ranking::default();
                }
                self.dispatch_step(name, &spec.service, step, scan.remaining, &mut ranking, now)
            };
            scan.failures += u32::from(!has_room);
            scan.remaining = scan.remaining.saturating_sub(step.count as usize);
        }
    }

    /// Starts the startable tasks of a step in order, and stops at the first that fits on no
    /// worker; returns false if there was one.
    ///
    /// `remaining` is the number of tasks that may use `ranking`, beginning with these.
    fn dispatch_step(
        &mut self,
        name: TaskName,
        service: &str,
        step: &Step,
        remaining: usize,
        ranking: &mut Ranking,
        now: Instant,
    ) -> bool {
        let placement_key = PlacementKey::new(service, step);
        let is_held = self.is_held(name.job);
        for index in 0..step.count {
            let name = TaskName { index, ..name };
            let job = self.jobs.get_mut(&name.job);
            let Some(task) = job.and_then(|j| j.task(&name)) else {
                return true;
            };
            if !task.is_startable(is_held, now) {
                continue;
            }
            let avoid_worker = task.avoid_worker.clone();
            let losses = task.losses.as_ref();
            let unix_ms = self.processes.polled.1;
            if losses.is_some_and(|losses| losses.is_suspected(unix_ms)) {
                self.dispatch_suspected_task(name, service, step, now);
                *ranking = Ranking::default();
                continue;
            }
            let forced = self.may_start_despite_interference(name.job, step, now);
            // In this dispatch, such a task that requests no more than this one has found no worker.
            if !forced
                && self
                    .unplaceable
                    .get(&placement_key)
                    .is_some_and(|r| step.request.covers(r))
            {
                self.hold_back_workers(name, service, step, now);
                return false;
            }
            let chosen = match &avoid_worker {
                None => {
                    let remaining = remaining.saturating_sub(index as usize);
                    self.find_ranked(ranking, name, service, step, forced, remaining, now)
                }
                Some(avoid_worker) => {
                    let avoid_worker = Some(avoid_worker.as_str());
                    self.find_other_worker(name, service, step, avoid_worker, forced, now)
                }
            };
            let Some(worker) = chosen else {
                self.hold_back_workers(name, service, step, now);
                // Other tasks may use workers that this one may not.
                let is_limited = step.max_per_worker > 0
                    || avoid_worker.is_some()
                    || self
                        .approvals
                        .contains_key(&(name.job, name.occurrence, name.step));
                if !forced && !is_limited {
                    self.unplaceable.insert(placement_key, step.request);
                }
                return false;
            };
            if forced {
                log::info!(
                    "jobs: task={name} worker={worker} starts despite interference: its job is idle."
                );
            }
            self.start(&worker, name, now);
            self.update_ranking(ranking, &worker, name, service, step, now);
        }
        true
    }

    /// Returns whether a best-effort task may start on a worker where it interferes with serving
    /// tasks, because its job has been idle for [`IDLE_JOB_LIMIT`].
    ///
    /// A job must not stay idle while the workers are mostly free. The throttle of the task limits
    /// its interference.
    pub(super) fn may_start_despite_interference(
        &self,
        id: JobId,
        step: &Step,
        now: Instant,
    ) -> bool {
        let job = self.jobs.get(&id);
        let idle_since = job.and_then(|j| j.idle_since);
        step.best_effort
            && self.mostly_free
            && idle_since.is_some_and(|at| now.duration_since(at) >= IDLE_JOB_LIMIT)
    }

    /// Adds a run of a task's next attempt to a worker and queues the start command.
    pub(super) fn start(&mut self, worker: &str, name: TaskName, now: Instant) {
        let min_attempt = self.min_attempt(name.job);
        let job = self.jobs.get_mut(&name.job);
        let Some(task) = job.and_then(|j| j.task(&name)) else {
            return;
        };
        let attempt = (task.attempt + 1).max(min_attempt);
        self.reserve_attempts(name, attempt, now);
        self.add_run(worker, name, attempt, RunPhase::Sent, now);
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.idle_since = None;
            job.held_since = None;
        }
        self.queue_start(worker, name, now);
    }

    /// Returns the lowest attempt number that this leader may use for a job: above those of earlier
    /// leaders if the job is inherited, else 1.
    pub(super) fn min_attempt(&self, id: JobId) -> u32 {
        let inherited = self.jobs.get(&id).is_some_and(|job| job.inherited);
        if inherited { self.first_attempt() } else { 1 }
    }

    /// Queues the start command of a run that was added to a worker.
    ///
    /// Does nothing while the worker's clock is unknown, since the command states the lease's end
    /// on that clock.
    pub(super) fn queue_start(&mut self, worker_id: &str, name: TaskName, now: Instant) {
        let token = self.worker_token(worker_id);
        let lease = self.params.lease;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let spec_text = job.spec_text.clone();
        let Some(checkpoint) = job.task(&name).map(|t| t.checkpoint.clone()) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let Some(until_ms) = worker.clock.grant(lease, now) else {
            return;
        };
        let Some(run) = worker.runs.get(&name) else {
            return;
        };
        let key = (name.job, name.occurrence, name.step);
        let approval = self
            .approvals
            .get(&key)
            .and_then(|a| a.by_worker.get(worker_id));
        let approval = approval.map(|(approval, _)| approval.clone());
        log::info!(
            "jobs: task={name} attempt={} worker={worker_id} start free_cpu={} fill_cpu={} serving={} token={token}.",
            run.attempt,
            worker.free.cpu,
            worker.best_effort_cpu,
            worker.serving_runs,
        );
        self.commands.push(Command::Start {
            worker: worker_id.to_owned(),
            task: name,
            attempt: run.attempt,
            spec_text,
            started_ms: worker.info.started_ms,
            until_ms,
            token,
            checkpoint,
            approval,
        });
    }
}

/// What tasks have in common that fit on the same workers if they request the same resources.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PlacementKey {
    service: String,
    /// The image of a best-effort task; `None` for tasks that reserve CPU.
    best_effort_image: Option<String>,
    required_label: Option<String>,
}

impl PlacementKey {
    fn new(service: &str, step: &Step) -> Self {
        Self {
            service: service.to_owned(),
            best_effort_image: step.best_effort.then(|| step.image.clone()),
            required_label: step.required_label.clone(),
        }
    }
}

impl Task {
    /// Returns whether the task is not done, has no run and may start at `now`.
    ///
    /// If `is_held`, an earlier leader may have started it on a worker that has not answered, unless
    /// it is known where its run was.
    pub(super) fn is_startable(&self, is_held: bool, now: Instant) -> bool {
        !self.done
            && self.workers.is_empty()
            && self.placement.is_none()
            && (!is_held || self.is_located)
            && self.not_before.is_none_or(|at| at <= now)
    }
}
