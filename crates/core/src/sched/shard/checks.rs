//! Tasks that had better run elsewhere: on workers that leave, or where they stand still.

use {
    super::state::{RunPhase, Shard},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// How long a task that is at work may show no progress.
const STUCK: Duration = Duration::from_millis(2_500);

/// The pace below which no progress is expected, in percent.
const STUCK_PACE: u8 = 30;

/// How long a worker with a task that stood still gets no further work.
const STUCK_PAUSE: Duration = Duration::from_secs(6);

/// What is left of the drain time when everything still there is stopped.
const DRAIN_RESERVE: Duration = Duration::from_millis(500);

impl Shard {
    /// Stops what is still on a worker that is about to leave, so that it resumes elsewhere.
    pub(super) fn stop_draining_runs(&mut self, now: Instant) {
        let limit = self.params.drain.saturating_sub(DRAIN_RESERVE);
        let mut stop = Vec::new();
        for (id, worker) in &self.workers {
            let Some(since) = worker.draining_since.filter(|_| worker.listed) else {
                continue;
            };
            let late = now.duration_since(since) >= limit;
            for (task, run) in &worker.runs {
                let long_running = run.target_ms > 0.0 || self.is_long_running(*task);
                if (late || long_running) && !matches!(run.phase, RunPhase::Stopping(_)) {
                    stop.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stop {
            self.stop_run(&id, task);
        }
    }

    pub(super) fn is_long_running(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        step.is_some_and(|step| step.long_running)
    }

    /// Stops tasks that stand still; they resume on another worker.
    pub(super) fn stop_stuck(&mut self, now: Instant) {
        let mut stuck = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &worker.runs {
                let running = matches!(run.phase, RunPhase::Running(_));
                let still = now.duration_since(run.progressed_at) > STUCK;
                if running && still && run.throttle_percent >= STUCK_PACE && !self.may_stall(*task)
                {
                    stuck.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stuck {
            log::warn!("jobs: task={task} worker={id} stands still, stopping it.");
            self.stop_run(&id, task);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.ejected_until = Some(now + STUCK_PAUSE);
            }
            if let Some(of_job) = self.jobs.get_mut(&task.job).and_then(|j| j.task(&task)) {
                of_job.avoid = Some(id);
            }
        }
    }

    /// Returns whether a task may show no progress although it is sound.
    pub(super) fn may_stall(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        step.is_none_or(|step| step.long_running || step.gang)
    }
}
