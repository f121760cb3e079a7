//! Stops runs on draining workers, so that their tasks resume on other workers.

use {
    super::state::{RunPhase, Shard},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// How long before the end of the drain time ([`Params::drain`](super::Params::drain)) all
/// remaining runs are stopped.
const DRAIN_RESERVE: Duration = Duration::from_millis(500);

impl Shard {
    /// Stops runs on draining workers: runs of long-running steps and of serving tasks (tasks with
    /// a tail-latency target) immediately, all others [`DRAIN_RESERVE`] before the end of the drain
    /// time.
    pub(super) fn stop_draining_runs(&mut self, now: Instant) {
        let limit = self.params.drain.saturating_sub(DRAIN_RESERVE);
        let mut stop = Vec::new();
        for (id, worker) in &self.workers {
            let Some(since) = worker.draining_since.filter(|_| worker.listed) else {
                continue;
            };
            let drain_is_ending = now.duration_since(since) >= limit;
            for (task, run) in &worker.runs {
                let stop_immediately = run.latency_target_ms > 0.0 || self.is_long_running(*task);
                if (drain_is_ending || stop_immediately)
                    && !matches!(run.phase, RunPhase::Stopping(_))
                {
                    stop.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stop {
            self.stop_run(&id, task);
        }
    }

    /// Returns whether the step of a task is long-running.
    pub(super) fn is_long_running(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        step.is_some_and(|step| step.long_running)
    }

    /// Returns whether runs of a task may report no progress without being stuck, as the runs of
    /// long-running steps and of gangs may; true if the job or its step is not found.
    pub(super) fn may_report_no_progress(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        step.is_none_or(|step| step.long_running || step.gang)
    }
}
