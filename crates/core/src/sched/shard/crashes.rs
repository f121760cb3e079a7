//! Tasks that crash their workers.
//!
//! A run that is lost with its worker does not count as a failed attempt, so a task that crashes
//! each worker on which it starts would do so without end. A worker that vanishes may as well be
//! cut off, so a lost run counts only once a newer process is seen at the worker's address. After
//! the first crash, each start of the task is stored before it is sent, so that it counts under a
//! later leader too.

use {
    super::{
        losses::{LossCounts, Process, STALL},
        state::{Run, Shard, Worker},
    },
    crate::sched::{
        job::{Step, TaskName},
        progress::{JobOutcome, LostProcess},
    },
    std::time::{Duration, Instant},
};

/// How long after the start of a suspected task no other task should start on the worker, so that a
/// crash can be blamed on it alone.
pub(super) const PROBATION: Duration = Duration::from_secs(1);

/// The time between the starts of two runs from which on a crash is blamed on the later one.
const SOLE_START: Duration = Duration::from_millis(100);

/// The age of a run of a long-running step from which its loss says nothing about the task.
const STABLE_RUN: Duration = Duration::from_secs(60);

impl Shard {
    /// Returns the counts of losses since the last call.
    pub fn take_loss_counts(&mut self) -> LossCounts {
        std::mem::take(&mut self.processes.counts)
    }

    /// Records the process of a worker that was listed or has reported; `started_ms` is when it
    /// started, zero if unknown.
    ///
    /// Only one process listens on an address. So the process that was there before has ended.
    pub(super) fn observe_process(&mut self, worker_id: &str, address: &str, started_ms: u64) {
        self.processes.add_observation(address, started_ms, false);
        let processes = &mut self.processes.newest;
        let newest = processes.get(address);
        if newest.is_some_and(|newest| started_ms <= newest.started_ms) {
            return;
        }
        let process = Process {
            worker: worker_id.to_owned(),
            started_ms,
        };
        let Some(earlier) = processes.insert(address.to_owned(), process) else {
            return;
        };
        if let Some(worker) = self.workers.get(&earlier.worker) {
            log::info!(
                "jobs: worker={worker_id} started_ms={started_ms} replaces worker={} started_ms={} at {address}: draining={} runs={}.",
                earlier.worker,
                earlier.started_ms,
                worker.draining_since.is_some(),
                worker.runs.len(),
            );
        }
    }

    /// Records, to be stored at once, that a task under which a worker has crashed is about to start
    /// on a worker. Does nothing for other tasks.
    pub(super) fn record_start(&mut self, worker_id: &str, name: TaskName, now: Instant) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let process = LostProcess {
            address: worker.info.address.clone(),
            started_ms: worker.info.started_ms,
            ..LostProcess::default()
        };
        let task = self.jobs.get_mut(&name.job).and_then(|j| j.task(&name));
        let losses = task.and_then(|t| t.losses.as_mut());
        if let Some(losses) = losses.filter(|losses| losses.has_crashes()) {
            worker.probation_until = Some(now + PROBATION);
            losses.current = Some(process);
            losses.is_current_stored = false;
            self.mark_dirty(name.job, true, now);
        }
    }

    /// Starts a task under which a worker has crashed, once the start is stored; chooses a worker and
    /// records the start if that was not done yet.
    pub(super) fn dispatch_crashing_task(
        &mut self,
        name: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) {
        let forced = self.may_start_despite_interference(name.job, step, now);
        let task = self.jobs.get_mut(&name.job).and_then(|j| j.task(&name));
        let Some(task) = task else {
            return;
        };
        let avoid_worker = task.avoid_worker.clone();
        let losses = task.losses.as_ref();
        if let Some(losses) = losses
            && let Some(process) = losses.current.clone()
        {
            if !losses.is_current_stored {
                return;
            }
            let is_planned = |w: &Worker| {
                w.info.address == process.address && w.info.started_ms == process.started_ms
            };
            if let Some(id) = self.find_worker(name, service, step, is_planned, forced, now) {
                self.start(&id, name, now);
                return;
            }
        }
        let avoid_worker = avoid_worker.as_deref();
        let id = self.find_other_worker(name, service, step, avoid_worker, forced, now);
        if let Some(id) = id {
            self.record_start(&id, name, now);
        }
    }

    /// Returns the best worker for a task that has lost a worker or failed on one: preferably not
    /// `avoid_worker`, and not one with another task that is suspected, since the two could not be
    /// told apart if it crashes.
    pub(super) fn find_other_worker(
        &self,
        name: TaskName,
        service: &str,
        step: &Step,
        avoid_worker: Option<&str>,
        forced: bool,
        now: Instant,
    ) -> Option<String> {
        let is_preferred =
            |w: &Worker| Some(w.info.id.as_str()) != avoid_worker && !w.is_on_probation(now);
        self.find_worker(name, service, step, is_preferred, forced, now)
            .or_else(|| self.find_worker(name, service, step, |_| true, forced, now))
    }

    /// Records that a worker was lost, or has crashed, with some of its runs, which must not have been
    /// removed yet.
    pub(super) fn record_losses(&mut self, worker_id: &str, names: &[TaskName], now: Instant) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        // A draining worker is about to leave.
        if worker.draining_since.is_some() {
            return;
        }
        let address = worker.info.address.clone();
        let lease_ms = self.params.lease.as_millis() as u64;
        let (polled_at, unix_ms) = self.processes.polled;
        let silence = worker
            .answered_at
            .map(|at| polled_at.saturating_duration_since(at));
        let silence_ms = silence.unwrap_or_default().as_millis() as u64;
        let reported_ms = unix_ms.saturating_sub(silence_ms);
        // Reports may have been missed, such as of the end of the run.
        let has_stalled =
            now.duration_since(polled_at) > STALL || self.processes.stalled_at > worker.answered_at;
        let lost = names.iter().filter_map(|name| {
            let run = worker.runs.get(name)?;
            // It had ended while the worker still reported.
            if run.has_unlisted_end {
                return None;
            }
            let blamed = run.on_probation && worker.is_blamed(run);
            // A worker reports an end at once, so a run has not ended while the connection worked.
            let run_ms = if worker.connection_lost_at > Some(run.added_at) {
                u64::MAX
            } else if blamed {
                lease_ms
            } else {
                let job = self.jobs.get(&name.job)?;
                let step = job.spec.steps.get(usize::from(name.step))?;
                run.remaining_ms(step).min(lease_ms)
            };
            let process = LostProcess {
                address: address.clone(),
                started_ms: run.process_started_ms,
                runs_until_ms: reported_ms.saturating_add(run_ms),
                confirmed: run.is_confirmed() && !has_stalled,
                certain: false,
                blamed,
            };
            Some((*name, process, now.duration_since(run.added_at)))
        });
        let lost: Vec<_> = lost.collect();
        for (name, process, age) in lost {
            let is_stable = self.is_long_running(name) && age >= STABLE_RUN;
            let Some(job) = self.jobs.get_mut(&name.job) else {
                continue;
            };
            job.has_losses = true;
            let Some(task) = job.task(&name) else {
                continue;
            };
            if is_stable {
                task.losses = None;
                continue;
            }
            let losses = task.losses.get_or_insert_default();
            losses.current = None;
            losses.unresolved.push(process);
            let delay = losses.restart_delay();
            if !delay.is_zero() {
                task.not_before = Some(now + delay);
            }
            self.processes.add_unresolved(&address, name);
        }
        if let Some(newest) = self.processes.newest.get(&address) {
            let started_ms = newest.started_ms;
            self.processes.add_observation(&address, started_ms, false);
        }
    }

    /// Resolves lost processes by those observed since, and ends the jobs of tasks under which too many
    /// workers have crashed.
    pub(super) fn count_crashes(&mut self, now: Instant, unix_ms: u64) {
        for observation in std::mem::take(&mut self.processes.observations) {
            let unresolved = &mut self.processes.unresolved;
            let names = unresolved.remove(&observation.address).unwrap_or_default();
            for name in names {
                self.add_occurrences_up_to(name);
                let job = self.jobs.get_mut(&name.job);
                let job = job.filter(|job| job.outcome == JobOutcome::Open);
                let task = job.and_then(|job| job.task(&name));
                let Some(task) = task.filter(|task| !task.done) else {
                    continue;
                };
                let Some(losses) = task.losses.as_mut() else {
                    continue;
                };
                let resolution = losses.resolve(name, &observation);
                if losses.crashed.is_empty() && losses.unresolved.is_empty() {
                    task.losses = None;
                }
                if resolution.is_alive && !resolution.has_crashed {
                    // The task did not crash it, so there is no reason to wait.
                    task.not_before = None;
                }
                if resolution.is_incomplete {
                    self.processes.add_unresolved(&observation.address, name);
                }
                if resolution.has_crashed {
                    self.processes.counts.crashes += 1;
                    self.mark_dirty(name.job, true, now);
                }
                if resolution.is_given_up {
                    self.processes.counts.given_up += 1;
                    log::error!(
                        "jobs: task={name} given up: it crashes the workers on which it starts."
                    );
                    self.end_job(name.job, JobOutcome::Failed, unix_ms);
                }
            }
        }
    }
}

impl Run {
    /// Returns how long the run takes from the last report on, by the caller's estimate, in
    /// milliseconds.
    fn remaining_ms(&self, step: &Step) -> u64 {
        if step.long_running {
            return u64::MAX;
        }
        let remaining_percent = 100.0 - self.progress_percent.clamp(0.0, 100.0);
        (f64::from(step.estimate_ms) * remaining_percent / 100.0) as u64
    }
}

impl Worker {
    /// Returns whether the worker sent no more reports soon after the start of a run, and no other
    /// run started shortly before or later.
    fn is_blamed(&self, run: &Run) -> bool {
        let reported_at = self.answered_at.unwrap_or(run.added_at);
        let is_recent = reported_at.saturating_duration_since(run.added_at) < PROBATION;
        let started_since = |other: &&Run| other.added_at + SOLE_START > run.added_at;
        is_recent && self.runs.values().filter(started_since).count() == 1
    }

    /// Returns whether a suspected task has just started on the worker.
    pub(super) fn is_on_probation(&self, now: Instant) -> bool {
        self.probation_until.is_some_and(|until| now < until)
    }
}
