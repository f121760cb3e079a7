//! Stops stuck runs and runs on draining workers, so that their tasks resume on other workers.

use {
    super::state::{RunPhase, Shard},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// How long a run may show no progress before it counts as stuck.
const STUCK_AFTER: Duration = Duration::from_millis(2_500);

/// A run that may work at less than this share of full speed, in percent, is not expected to show
/// progress.
const MIN_PROGRESS_SPEED_PERCENT: u8 = 30;

/// How long a worker gets no new tasks after it had a stuck run.
const STUCK_EJECTION: Duration = Duration::from_secs(6);

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

    /// Stops stuck runs and ejects their workers for [`STUCK_EJECTION`]; the tasks avoid these
    /// workers when they restart.
    pub(super) fn stop_stuck(&mut self, now: Instant) {
        let mut stuck = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &worker.runs {
                let running = matches!(run.phase, RunPhase::Running(_));
                let no_progress = now.duration_since(run.progressed_at) > STUCK_AFTER;
                if running
                    && no_progress
                    && !run.has_unlisted_end
                    && run.speed_percent >= MIN_PROGRESS_SPEED_PERCENT
                    && !self.may_report_no_progress(*task)
                {
                    stuck.push((id.clone(), *task));
                }
            }
        }
        for (id, task) in stuck {
            log::warn!("jobs: task={task} worker={id} no progress, stopping the run.");
            self.stop_run(&id, task);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.ejected_until = Some(now + STUCK_EJECTION);
            }
            if let Some(job_task) = self.jobs.get_mut(&task.job).and_then(|j| j.task(&task)) {
                job_task.avoid_worker = Some(id);
            }
        }
    }

    /// Returns whether runs of a task may report no progress without being stuck, as the runs of
    /// long-running steps and of gangs may; true if the job or its step is not found.
    pub(super) fn may_report_no_progress(&self, name: TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        step.is_none_or(|step| step.long_running || step.gang)
    }
}
