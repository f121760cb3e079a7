//! Which task starts where, and what is done about tasks that don't get on.

use {
    super::state::{Command, Job, RunPhase, Shard, Task, Worker},
    crate::sched::{
        interference::Image,
        job::{JobId, Step, TaskName},
        placement::{Candidate, choose, reserved},
        progress::JobOutcome,
    },
    std::time::{Duration, Instant},
};

/// The time between two looks at what depends on time alone.
const CHECK_GAP: Duration = Duration::from_millis(40);

/// The least time between two rounds of placement, each of which looks at all that waits.
pub(super) const DISPATCH_GAP: Duration = Duration::from_millis(12);

/// How many times as long as a round of placement the time until the next one is.
const PLACEMENT_SHARE: u32 = 6;

/// The longest time between two rounds of placement.
const LONGEST_GAP: Duration = Duration::from_millis(150);

/// The time between two rounds of placement if nothing has changed but loads.
const DISPATCH_IDLE: Duration = Duration::from_millis(100);

/// How long a job may have nothing running while most of the workers is free; the platform
/// allows it three seconds.
const IDLE_LIMIT: Duration = Duration::from_millis(1_300);

/// The free part of the workers, in percent, from which they count as mostly free: below the
/// half at which the platform says so.
const MOSTLY_FREE: i64 = 42;

impl Shard {
    /// Returns the orders that follow from all that was taken in.
    pub fn poll(&mut self, now: Instant, unix_ms: u64) -> Vec<Command> {
        let last = self.checked_at.unwrap_or(self.since);
        if now.duration_since(last) >= CHECK_GAP || self.checked_at.is_none() {
            self.checked_at = Some(now);
            self.expire_leases(now);
            self.resend(now);
            self.stop_draining_runs(now);
            self.stop_stuck(now);
            self.add_due_occurrences(unix_ms);
        }
        if self.changed {
            self.add_due_occurrences(unix_ms);
        }
        if !self.stopping && self.dispatch_at() <= now {
            self.dispatched_at = Some(now);
            self.dispatch(now);
            self.changed = false;
        }
        std::mem::take(&mut self.commands)
    }

    /// Describes what runs and what waits, for the log.
    pub fn summary(&self, now: Instant) -> String {
        let mut capacity = 0;
        let mut free = 0;
        let mut serving = 0;
        let mut best_effort = 0;
        let mut used = 0.0;
        for worker in self.workers.values().filter(|w| w.accepts_work(now)) {
            capacity += worker.info.capacity.cpu;
            free += worker.free.cpu;
            serving += worker.serving_cpu;
            best_effort += worker.best_effort_cpu;
            let shares = worker.pressure.shares().iter();
            used += shares.map(|(_, s)| s).sum::<f64>() * worker.info.capacity.cpu as f64;
        }
        let mut waiting = 0;
        let mut waiting_fill = 0;
        for job in self.jobs.values().filter(|j| j.outcome == JobOutcome::Open) {
            for occurrence in &job.occurrences {
                for (i, step) in job.spec.steps.iter().enumerate() {
                    if step
                        .after
                        .iter()
                        .any(|a| occurrence.remaining[usize::from(*a)] > 0)
                    {
                        continue;
                    }
                    let tasks = occurrence.tasks[i].iter();
                    let idle = tasks.filter(|t| !t.done && t.workers.is_empty()).count() as i64;
                    if step.best_effort {
                        waiting_fill += idle * step.request.cpu;
                    } else {
                        waiting += idle * step.request.cpu;
                    }
                }
            }
        }
        format!(
            "workers={} open={} jobs={} cpu={capacity} free={free} serving={serving} filling={best_effort} fill_used={:.0} waiting={waiting} waiting_fill={waiting_fill} unsure={}",
            self.workers.len(),
            self.workers
                .values()
                .filter(|w| w.accepts_work(now))
                .count(),
            self.jobs.len(),
            used,
            self.may_have_orphans(now),
        )
    }

    /// Takes in how long the last placement took, so that placement stays a small part of all
    /// that the leader does.
    pub fn record_placement_time(&mut self, took: Duration) {
        self.dispatch_gap = (took * PLACEMENT_SHARE).clamp(DISPATCH_GAP, LONGEST_GAP);
    }

    /// Returns when tasks were last placed.
    pub fn placed_at(&self) -> Option<Instant> {
        self.dispatched_at
    }

    /// Returns whether something happened that may allow a start since tasks were placed.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Returns when tasks are to be placed next: soon after a change, and now and then.
    pub fn dispatch_at(&self) -> Instant {
        let Some(last) = self.dispatched_at else {
            return self.since;
        };
        let gap = if self.changed {
            self.dispatch_gap
        } else {
            DISPATCH_IDLE.max(self.dispatch_gap)
        };
        last + gap
    }

    fn add_due_occurrences(&mut self, unix_ms: u64) {
        for job in self
            .jobs
            .values_mut()
            .filter(|j| j.outcome == JobOutcome::Open)
        {
            while job.next_occurrence < job.spec.occurrence_count() {
                let due = job.spec.first_ms + u64::from(job.next_occurrence) * job.spec.interval_ms;
                if job.spec.occurrences > 0 && due > unix_ms {
                    break;
                }
                job.add_occurrence();
                self.changed = true;
            }
        }
    }

    fn dispatch(&mut self, now: Instant) {
        let may_have_orphans = self.may_have_orphans(now);
        let open =
            |job: &Job| job.outcome == JobOutcome::Open && !(job.inherited && may_have_orphans);
        let jobs = self.jobs.iter().filter(|(_, job)| open(job));
        let mut order: Vec<_> = jobs
            .map(|(id, job)| {
                let long_running = job.spec.steps.iter().any(|step| step.long_running);
                let lateness = job.lateness(now);
                let work = job.remaining_work();
                (
                    job.spec.priority,
                    !long_running,
                    lateness,
                    work,
                    job.accepted_at,
                    *id,
                )
            })
            .collect();
        order.sort();
        self.reserved_workers.clear();
        self.unplaceable.clear();
        self.note_idle(now);
        for (.., id) in order {
            self.dispatch_job(id, now);
        }
    }

    /// Notes whether the workers are mostly free, and which jobs have nothing running.
    fn note_idle(&mut self, now: Instant) {
        let listed = self.workers.values().filter(|w| w.listed);
        let (free, all) = listed.fold((0, 0), |(free, all), w| {
            (free + w.free.cpu, all + w.info.capacity.cpu)
        });
        self.mostly_free = free * 100 >= all * MOSTLY_FREE;
        for job in self.jobs.values_mut() {
            let mut tasks = job
                .occurrences
                .iter()
                .flat_map(|r| r.tasks.iter().flatten());
            if tasks.any(|t| !t.workers.is_empty()) {
                job.idle_since = None;
            } else {
                job.idle_since.get_or_insert(now);
            }
        }
    }

    fn dispatch_job(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.moving {
            return;
        }
        if self.should_move(id, now) {
            self.send_move(id);
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let spec = job.spec.clone();
        let ready = job.occurrences.iter().flat_map(|occurrence| {
            let steps = spec.steps.iter().enumerate();
            let ready = steps.filter(|(i, step)| {
                let met = |a: &u16| occurrence.remaining[usize::from(*a)] == 0;
                occurrence.remaining[*i] > 0 && step.after.iter().all(met)
            });
            ready.map(|(i, _)| (occurrence.number, i as u16))
        });
        let ready: Vec<_> = ready.collect();
        for (occurrence, step) in ready {
            let name = TaskName {
                job: id,
                occurrence,
                step,
                index: 0,
            };
            let step = &spec.steps[usize::from(step)];
            if spec.needs_approval && !self.is_approved(name, &spec.service, now) {
                continue;
            }
            if step.gang {
                self.dispatch_gang(name, &spec.service, step, now);
            } else {
                self.dispatch_step(name, &spec.service, step, now);
            }
        }
    }

    fn dispatch_step(&mut self, name: TaskName, service: &str, step: &Step, now: Instant) {
        for index in 0..step.count {
            let name = TaskName { index, ..name };
            let job = self.jobs.get_mut(&name.job);
            let Some(task) = job.and_then(|j| j.task(&name)) else {
                return;
            };
            if !task.is_startable(now) {
                continue;
            }
            let avoid = task.avoid.clone();
            let forced = self.must_start(name.job, step, now);
            let alike = (step.image.clone(), step.required_label.clone());
            if step.best_effort
                && !forced
                && self
                    .unplaceable
                    .get(&alike)
                    .is_some_and(|r| step.request.contains(r))
            {
                return;
            }
            let found = self.find_worker(name, service, step, avoid.as_deref(), forced, now);
            let found = found.or_else(|| {
                avoid.and_then(|_| self.find_worker(name, service, step, None, forced, now))
            });
            let Some(worker) = found else {
                if step.long_running {
                    self.reserve(name, service, step, now);
                } else if step.best_effort && !forced {
                    self.unplaceable.insert(alike, step.request);
                }
                return;
            };
            if forced {
                log::info!(
                    "jobs: task={name} worker={worker} starts although it disturbs: idle job."
                );
            }
            self.start(&worker, name, now);
        }
    }

    /// Returns whether a filling task of an idle job must start, whatever it disturbs.
    ///
    /// While the kept part of the workers is mostly free nobody would understand that a job
    /// waits; its pace keeps the disturbance down.
    fn must_start(&self, id: JobId, step: &Step, now: Instant) -> bool {
        let job = self.jobs.get(&id);
        let idle = job.and_then(|j| j.idle_since);
        step.best_effort
            && self.mostly_free
            && idle.is_some_and(|at| now.duration_since(at) >= IDLE_LIMIT)
    }

    /// Keeps shorter tasks off a worker that has room for a lasting one once they have ended.
    fn reserve(&mut self, name: TaskName, service: &str, step: &Step, now: Instant) {
        let need = reserved(step);
        let able = self.workers.values().filter_map(|w| {
            if w.info.service != service || !w.accepts_work(now) || w.runs.contains_key(&name) {
                return None;
            }
            if self.reserved_workers.contains(&w.info.id) {
                return None;
            }
            let mut free = w.free;
            for (task, run) in &w.runs {
                if !self.is_long_running(*task) {
                    free.add(&run.reserved);
                }
            }
            let fits = free.contains(&need) && self.may_run(w, name, step);
            fits.then_some((w.free.cpu, &w.info.id))
        });
        if let Some((_, id)) = able.max() {
            let id = id.clone();
            self.reserved_workers.insert(id);
        }
    }

    /// Returns whether labels and limits let a task run on a worker, whatever its room.
    fn may_run(&self, worker: &Worker, name: TaskName, step: &Step) -> bool {
        let labels = &worker.info.labels;
        let labelled = step
            .required_label
            .as_ref()
            .is_none_or(|required_label| labels.contains(required_label));
        labelled && (step.max_per_worker == 0 || worker.siblings(name) < step.max_per_worker)
    }

    pub(super) fn find_worker(
        &self,
        name: TaskName,
        service: &str,
        step: &Step,
        avoid: Option<&str>,
        forced: bool,
        now: Instant,
    ) -> Option<String> {
        let approvals = self.approvals.get(&(name.job, name.occurrence, name.step));
        let approved = |w: &Worker| {
            approvals.is_none_or(|a| {
                let approval = a.by_worker.get(&w.info.id);
                approval.is_some_and(|(_, started_ms)| *started_ms == w.info.started_ms)
            })
        };
        let open = self.workers.values().filter(|w| {
            w.info.service == service
                && w.accepts_work(now)
                && Some(w.info.id.as_str()) != avoid
                && (step.best_effort || !self.reserved_workers.contains(&w.info.id))
                && !w.runs.contains_key(&name)
                && approved(w)
        });
        let image = self.interference.known_image(&step.image);
        let serves = step.target_ms > 0.0;
        let candidates = open.map(|w| {
            let siblings = if step.max_per_worker > 0 {
                w.siblings(name)
            } else {
                0
            };
            let (cost, headroom) = if step.best_effort {
                self.headroom_effect(w, image, step.request.cpu)
            } else {
                (0.0, 0.0)
            };
            let candidate = Candidate {
                info: &w.info,
                free: w.free,
                best_effort_cpu: w.best_effort_cpu,
                serving_cpu: w.serving_cpu,
                serving: w.serving,
                same_image: if serves { w.same_image(image) } else { 0 },
                cost,
                headroom,
                forced,
                siblings,
            };
            (w.info.id.as_str(), candidate)
        });
        choose(candidates, step).map(str::to_owned)
    }

    fn start(&mut self, worker: &str, name: TaskName, now: Instant) {
        let floor = self.attempt_floor(name.job);
        let job = self.jobs.get_mut(&name.job);
        let Some(task) = job.and_then(|j| j.task(&name)) else {
            return;
        };
        let attempt = (task.attempt + 1).max(floor);
        self.add_run(worker, name, attempt, RunPhase::Sent, now);
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.idle_since = None;
        }
        self.send_start(worker, name, now);
    }

    pub(super) fn attempt_floor(&self, id: JobId) -> u32 {
        let inherited = self.jobs.get(&id).is_some_and(|job| job.inherited);
        if inherited { self.first_attempt() } else { 1 }
    }

    /// Sends the start of a run that is on the books.
    pub(super) fn send_start(&mut self, id: &str, name: TaskName, now: Instant) {
        let token = self.worker_token(id);
        let lease = self.params.lease;
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let text = job.text.clone();
        let Some(checkpoint) = job.task(&name).map(|t| t.checkpoint.clone()) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(until_ms) = worker.clock.grant(lease, now) else {
            return;
        };
        let Some(run) = worker.runs.get(&name) else {
            return;
        };
        let key = (name.job, name.occurrence, name.step);
        let approval = self.approvals.get(&key).and_then(|a| a.by_worker.get(id));
        let approval = approval.map(|(approval, _)| approval.clone());
        log::info!(
            "jobs: task={name} attempt={} worker={id} start free_cpu={} fill_cpu={} serving={} token={token}.",
            run.attempt,
            worker.free.cpu,
            worker.best_effort_cpu,
            worker.serving,
        );
        self.commands.push(Command::Start {
            worker: id.to_owned(),
            task: name,
            attempt: run.attempt,
            text,
            until_ms,
            token,
            checkpoint,
            approval,
        });
    }
}

impl Worker {
    /// Returns how many tasks of the same step and round run here.
    fn siblings(&self, name: TaskName) -> u32 {
        let of = |t: &TaskName| (t.job, t.occurrence, t.step);
        self.runs.keys().filter(|t| of(t) == of(&name)).count() as u32
    }

    fn same_image(&self, image: Image) -> u32 {
        let serving = self.runs.values().filter(|run| run.target_ms > 0.0);
        serving.filter(|run| run.image == image).count() as u32
    }
}

impl Task {
    pub(super) fn is_startable(&self, now: Instant) -> bool {
        !self.done && self.workers.is_empty() && self.not_before.is_none_or(|at| at <= now)
    }
}
