//! Tasks that crash their workers.
//!
//! A run that is lost with its worker does not count as a failed attempt, so a task that crashes
//! each worker on which it starts would do so without end. A worker that vanishes may as well be
//! cut off, so a lost run counts only once a newer process is seen at the worker's address, or the
//! platform has stopped listing the worker. How much a crash says of a task depends on what else ran
//! there and which other workers were lost at the same time; see
//! [`crash_evidence`](crate::sched::crash_evidence). Each start of a suspected task is stored before it is
//! sent, so that it counts under a later leader too.

use {
    super::{
        losses::{LossCounts, Observation, Process, VANISHED},
        state::{Run, Shard, Worker},
        workers::UNLISTED_GRACE,
    },
    crate::sched::{
        job::{Step, TaskName},
        progress::{JobOutcome, LostProcess},
    },
    std::{
        hash::BuildHasher,
        time::{Duration, Instant},
    },
};

/// How long after the start of a suspected task no other task should start on the worker, so that a
/// crash can be blamed on it alone.
pub(super) const PROBATION: Duration = Duration::from_secs(1);

/// How long a suspected task waits to learn whether the worker that it lost has crashed, and how long
/// after the loss of its worker another task that was lost soon after its start does.
const RESOLUTION_WAIT: Duration = Duration::from_secs(2);

/// The time over which tasks start again whose workers crashed together soon after they had started
/// there, so that further crashes can be told apart.
const START_SPREAD: Duration = Duration::from_millis(1_000);

/// The probability of a crash at the age of a run from which on the loss is stored as one that
/// speaks against the task.
const BLAMED_PROBABILITY: f64 = 0.1;

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
        // With an unknown time it may be the same process.
        if earlier.started_ms == 0 {
            return;
        }
        let now = self.processes.polled.0;
        self.note_lost_worker(&earlier.worker, earlier.started_ms, now);
        let lost = self.processes.lost.iter_mut();
        for lost in lost.filter(|lost| lost.address == address && lost.started_ms < started_ms) {
            lost.has_crashed = true;
        }
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

    /// Records, to be stored at once, that a suspected task is about to start on a worker. Does nothing for other tasks.
    pub(super) fn record_start(&mut self, worker_id: &str, name: TaskName, now: Instant) {
        let unix_ms = self.processes.polled.1;
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
        if let Some(losses) = losses.filter(|losses| losses.is_suspected(unix_ms)) {
            worker.probation_until = Some(now + PROBATION);
            losses.current = Some(process);
            losses.is_current_stored = false;
            self.mark_dirty(name.job, true, now);
        }
    }

    /// Starts a suspected task, once the start is stored; chooses a worker and
    /// records the start if that was not done yet.
    pub(super) fn dispatch_suspected_task(
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
        // A crash then says nothing of other tasks.
        let is_apart = |w: &Worker| {
            Some(w.info.id.as_str()) != avoid_worker
                && !w.is_on_probation(now)
                && !w.has_started_since(now.checked_sub(PROBATION))
        };
        let id = self
            .find_worker(name, service, step, is_apart, forced, now)
            .or_else(|| self.find_other_worker(name, service, step, avoid_worker, forced, now));
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
        let lost_runs = names.iter().filter_map(|name| worker.runs.get(name));
        let started_ms = lost_runs.map(|run| run.process_started_ms).max();
        if let Some(started_ms) = started_ms {
            self.note_lost_worker(worker_id, started_ms, now);
        }
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let lease_ms = self.params.lease.as_millis() as u64;
        let (polled_at, unix_ms) = self.processes.polled;
        let silence = worker
            .answered_at
            .map(|at| polled_at.saturating_duration_since(at));
        let silence_ms = silence.unwrap_or_default().as_millis() as u64;
        let reported_ms = unix_ms.saturating_sub(silence_ms);
        let has_stalled = self.has_stalled(worker, now);
        let lost = names.iter().filter_map(|name| {
            let run = worker.runs.get(name)?;
            // It had ended while the worker still reported.
            if run.has_unlisted_end {
                return None;
            }
            let lost = self.processes.lost.iter();
            let lost = lost.filter(|l| l.address == address);
            let mut lost = lost.filter_map(|l| Some((l.exposure(*name)?, l.lost_between.1)));
            let lost = lost.next_back();
            let blamed = lost.is_some_and(|(e, _)| e.blame() >= BLAMED_PROBABILITY);
            let lost_at = lost.map_or(now, |(_, at)| at);
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
            Some((*name, process, lost_at))
        });
        let lost: Vec<_> = lost.collect();
        for (name, process, lost_at) in lost {
            let Some(job) = self.jobs.get_mut(&name.job) else {
                continue;
            };
            job.has_losses = true;
            let Some(task) = job.task(&name) else {
                continue;
            };
            let losses = task.losses.get_or_insert_default();
            losses.current = None;
            let awaited_since = if losses.is_suspected(unix_ms) {
                Some(now)
            } else {
                process.blamed.then_some(lost_at)
            };
            losses.unresolved.push(process);
            if let Some(since) = awaited_since {
                task.not_before = Some(since + RESOLUTION_WAIT);
            }
            self.processes.add_unresolved(&address, name);
        }
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        let newest = self.processes.newest.get(&address);
        if let Some(newest) = newest.filter(|newest| newest.worker != worker_id) {
            let started_ms = newest.started_ms;
            self.processes.add_observation(&address, started_ms, false);
        } else if worker.has_vanished(now) {
            self.processes.add_observation(&address, VANISHED, false);
        } else if let Some(newest) = newest {
            let started_ms = newest.started_ms;
            self.processes.add_observation(&address, started_ms, false);
        }
    }

    /// Resolves lost processes by those observed since, and ends the jobs of tasks that crash their
    /// workers.
    pub(super) fn count_crashes(&mut self, now: Instant, unix_ms: u64) {
        for observation in std::mem::take(&mut self.processes.observations) {
            if !self.weigh_crashes(&observation, now, unix_ms) {
                // The process may be lost before it is weighed.
                self.processes.observations.push(Observation {
                    has_reported: false,
                    ..observation
                });
                continue;
            }
            let unresolved = &mut self.processes.unresolved;
            let names = unresolved.remove(&observation.address).unwrap_or_default();
            for name in names {
                self.resolve_losses(name, &observation, now, unix_ms);
            }
        }
    }

    /// Resolves the lost processes of one task by an observation.
    fn resolve_losses(
        &mut self,
        name: TaskName,
        observation: &Observation,
        now: Instant,
        unix_ms: u64,
    ) {
        self.add_occurrence_of(name);
        let lost = self.processes.lost.iter();
        let known: Vec<_> = lost
            .filter(|lost| lost.address == observation.address)
            .filter_map(|lost| Some((lost.started_ms, lost.log_ratio(name)?)))
            .collect();
        let stable_ratio = self.weigh_stored(true, now);
        let stored_ratio = self.weigh_stored(false, now);
        let log_ratio = |process: &LostProcess| {
            let mut known = known.iter().filter(|(ms, _)| *ms == process.started_ms);
            let stored = if process.confirmed && !process.blamed {
                stable_ratio
            } else {
                stored_ratio
            };
            known.next().map_or(stored, |(_, ratio)| *ratio)
        };
        let crash_rate = self.processes.crash_rate;
        let job = self.jobs.get_mut(&name.job);
        let job = job.filter(|job| job.outcome == JobOutcome::Open);
        let task = job.and_then(|job| job.task(&name));
        let Some(task) = task.filter(|task| !task.done) else {
            return;
        };
        let Some(losses) = task.losses.as_mut() else {
            return;
        };
        let resolution = losses.resolve(name, observation, log_ratio, crash_rate, unix_ms);
        if losses.unresolved.is_empty() {
            // There is nothing more to learn by waiting, but tasks that were lost together should not
            // start together.
            task.not_before = resolution
                .is_blamed
                .then(|| now + START_SPREAD * spread(name, task.attempt) / 1_000);
            if losses.crashed.is_empty() && losses.current.is_none() {
                task.losses = None;
            }
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
            log::error!("jobs: task={name} given up: it crashes the workers on which it starts.");
            for lost in &mut self.processes.lost {
                let exposure = lost.exposure(name);
                lost.is_explained |= exposure.is_some_and(|e| e.blame() >= BLAMED_PROBABILITY);
            }
            self.end_job(name.job, JobOutcome::Failed, unix_ms);
        }
    }
}

/// Returns a number below 1,000 that depends on a task and its last attempt.
fn spread(name: TaskName, attempt: u32) -> u32 {
    let hash = rustc_hash::FxBuildHasher.hash_one((name, attempt));
    (hash >> 32) as u32 % 1_000
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
    /// Returns whether a suspected task has just started on the worker.
    pub(super) fn is_on_probation(&self, now: Instant) -> bool {
        self.probation_until.is_some_and(|until| now < until)
    }

    /// Returns whether a run was started on the worker after a time.
    fn has_started_since(&self, time: Option<Instant>) -> bool {
        self.runs.values().any(|run| Some(run.added_at) > time)
    }

    /// Returns whether the worker is silent and the platform no longer lists it.
    fn has_vanished(&self, now: Instant) -> bool {
        let is_gone = |at| now.saturating_duration_since(at) >= UNLISTED_GRACE;
        !self.listed && self.unlisted_at.is_some_and(is_gone) && !self.is_responsive(now)
    }
}
