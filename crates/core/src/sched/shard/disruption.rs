//! How many tasks of a step are away, which limits how many more may be stopped.

use {
    super::state::{RunPhase, Shard, Task, Worker},
    crate::sched::{job::TaskName, progress::JobOutcome},
    std::time::Instant,
};

impl Shard {
    /// Returns how many tasks of a task's step are away: those without a run that has started up on a
    /// responsive worker and is not being stopped. `None` if the job is not open, or the step is not
    /// found or is a gang, whose tasks end together.
    pub(super) fn tasks_away(&self, name: TaskName, now: Instant) -> Option<usize> {
        let job = self.jobs.get(&name.job)?;
        let step = job.spec.steps.get(usize::from(name.step))?;
        if step.gang || job.outcome != JobOutcome::Open {
            return None;
        }
        let occurrence = job.occurrence(name.occurrence)?;
        let tasks = occurrence.tasks.get(usize::from(name.step))?;
        let is_at_work = |(index, task): &(usize, &Task)| {
            let name = TaskName {
                index: *index as u32,
                ..name
            };
            task.workers.iter().any(|id| {
                let worker = self.workers.get(id);
                worker.is_some_and(|w| w.is_at_work(&name, now))
            })
        };
        Some(tasks.len() - tasks.iter().enumerate().filter(is_at_work).count())
    }

    /// Returns whether a long-running task may be stopped so that it runs elsewhere or later: fewer
    /// tasks of its step are away than the step allows, one if it states no limit.
    pub(super) fn may_be_stopped(&self, name: TaskName, now: Instant) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
        let limit = step.map_or(0, |s| s.max_unavailable.map_or(1, |limit| limit as usize));
        self.tasks_away(name, now).is_some_and(|away| away < limit)
    }
}

impl Worker {
    /// Returns whether a long-running task has started up here and is not being stopped.
    pub(super) fn is_at_work(&self, name: &TaskName, now: Instant) -> bool {
        let run = self.runs.get(name);
        run.is_some_and(|run| {
            matches!(run.phase, RunPhase::Running(_)) && run.progress_percent >= 100.0
        }) && self.is_responsive(now)
    }
}
