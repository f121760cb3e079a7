//! Adding and removing runs on workers, and accounting for the resources that they reserve.

use {
    super::{
        crashes::PROBATION,
        state::{Command, Run, RunPhase, Shard},
    },
    crate::sched::{job::TaskName, placement::reserved, stuck::Pace},
    std::time::Instant,
};

impl Shard {
    /// Queues the stop command of a run, unless the run is being stopped already.
    ///
    /// The run is removed only once the worker reports its end or no longer lists it.
    pub(super) fn stop_run(&mut self, worker_id: &str, task: TaskName) {
        let token = self.worker_token(worker_id);
        let worker = self.workers.get_mut(worker_id);
        let Some(run) = worker.and_then(|w| w.runs.get_mut(&task)) else {
            return;
        };
        if matches!(run.phase, RunPhase::Stopping(_)) {
            return;
        }
        run.phase = RunPhase::Stopping(None);
        let attempt = run.attempt;
        self.commands.push(Command::Stop {
            worker: worker_id.to_owned(),
            task,
            attempt,
            token,
        });
    }

    /// Queues the stop command of a run, also if one was sent to a former incarnation of the worker.
    pub(super) fn stop_run_again(&mut self, worker_id: &str, task: TaskName) {
        let worker = self.workers.get_mut(worker_id);
        if let Some(run) = worker.and_then(|w| w.runs.get_mut(&task)) {
            run.phase = RunPhase::Sent;
        }
        self.stop_run(worker_id, task);
    }

    /// Removes a run from a worker and its task, frees its resources and returns it.
    pub(super) fn remove_run(
        &mut self,
        worker_id: &str,
        name: TaskName,
        now: Instant,
    ) -> Option<Run> {
        self.changed = true;
        if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task(&name)) {
            task.workers.retain(|w| w != worker_id);
            if task.workers.is_empty() {
                task.idle_since = Some(now);
            }
            if let Some(losses) = task.losses.as_mut() {
                losses.current = None;
            }
            let was_here = task.confirmed_on.as_deref() == Some(worker_id);
            task.confirmed_on.take_if(|_| was_here);
            if was_here && task.placement.is_some() {
                self.mark_dirty(name.job, true, now);
            }
        }
        let worker = self.workers.get_mut(worker_id)?;
        let run = worker.runs.remove(&name)?;
        worker.free.add(&run.reserved);
        worker.best_effort_cpu -= run.best_effort_cpu;
        if run.latency_target_ms > 0.0 {
            worker.serving_runs -= 1;
            worker.serving_cpu -= run.reserved.cpu;
        }
        if run.is_long_running {
            worker.long_running_cpu -= run.reserved.cpu;
        }
        if worker.serving_runs == 0 {
            worker.throttles.clear();
        }
        self.update_headroom(worker_id, now);
        Some(run)
    }

    /// Adds a run to a worker and its task, and reserves its resources.
    pub(super) fn add_run(
        &mut self,
        worker_id: &str,
        task: TaskName,
        attempt: u32,
        phase: RunPhase,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(task.step)).cloned() else {
            return;
        };
        let Some(job_task) = job.task(&task) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let unix_ms = self.processes.polled.1;
        let losses = job_task.losses.as_ref();
        let on_probation = losses.is_some_and(|losses| losses.is_suspected(unix_ms));
        job_task.workers.push(worker_id.to_owned());
        job_task.idle_since = None;
        job_task.attempt = job_task.attempt.max(attempt);
        let is_resumed = !job_task.checkpoint.is_empty();
        let reserved = reserved(&step);
        let best_effort_cpu = if step.best_effort {
            step.request.cpu
        } else {
            0
        };
        worker.free.subtract(&reserved);
        worker.best_effort_cpu += best_effort_cpu;
        if step.latency_target_ms > 0.0 {
            worker.serving_runs += 1;
            worker.serving_cpu += reserved.cpu;
        }
        if step.long_running {
            worker.long_running_cpu += reserved.cpu;
        }
        let run = Run {
            attempt,
            phase,
            reserved,
            best_effort_cpu,
            latency_target_ms: step.latency_target_ms,
            is_long_running: step.long_running,
            image: self.interference.image(&step.image),
            added_at: now,
            resend_at: now,
            in_doubt: false,
            has_stray_start: false,
            is_recorded_loss: false,
            has_unlisted_end: false,
            is_inherited: phase != RunPhase::Sent,
            process_started_ms: worker.info.started_ms,
            is_whole: phase == RunPhase::Sent && !is_resumed,
            progress_percent: -1.0,
            progressed_at: now,
            pace: Pace::default(),
            speed_percent: 100,
            checkpoint: String::new(),
        };
        worker.runs.insert(task, run);
        if on_probation {
            worker.probation_until = Some(now + PROBATION);
        }
        self.update_headroom(worker_id, now);
    }

    /// Removes a lost run, so that its task restarts, preferably on another worker.
    ///
    /// `reason` is for the log.
    pub(super) fn lose_run(&mut self, worker_id: &str, task: TaskName, reason: &str, now: Instant) {
        let Some(run) = self.remove_run(worker_id, task, now) else {
            return;
        };
        self.processes.counts.runs += 1;
        log::info!(
            "jobs: task={task} attempt={} worker={worker_id} lost: {reason} percent={} ms={} confirmed={}.",
            run.attempt,
            run.progress_percent,
            now.duration_since(run.added_at).as_millis(),
            run.is_confirmed(),
        );
        if let Some(job_task) = self.jobs.get_mut(&task.job).and_then(|j| j.task(&task)) {
            if !run.checkpoint.is_empty() {
                job_task.checkpoint = run.checkpoint;
            }
            job_task.avoid_worker = Some(worker_id.to_owned());
        }
        self.retire(task.job);
    }
}
