//! One job: its occurrences, its runs, its stored progress and its place in the dispatch order.

use {
    super::state::{Job, Occurrence},
    crate::sched::{
        job::{JobId, LATE_FACTOR, TaskName},
        progress::{Progress, TaskRecord},
    },
    std::time::Instant,
};

impl Job {
    /// Returns whether tasks of any step may have second runs.
    pub(super) fn has_speculative_steps(&self) -> bool {
        self.spec.steps.iter().any(|step| step.allows_second_runs())
    }

    /// Returns the worker id and the task of each run of the job, whose id is `id`.
    pub(super) fn runs(&self, id: JobId) -> impl Iterator<Item = (String, TaskName)> + '_ {
        self.occurrences.iter().flat_map(move |occurrence| {
            occurrence
                .tasks
                .iter()
                .enumerate()
                .flat_map(move |(step, tasks)| {
                    tasks.iter().enumerate().flat_map(move |(index, task)| {
                        let name = TaskName {
                            job: id,
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                        };
                        task.workers.iter().map(move |w| (w.clone(), name))
                    })
                })
        })
    }

    /// Returns whether a dispatch may have an effect on the job: it has a task that waits for a run,
    /// or no run at all, so that it may move, or its starts need approvals.
    pub(super) fn needs_dispatch(&self) -> bool {
        if self.spec.needs_approval {
            return true;
        }
        let has_unadded = |o: &Occurrence| o.has_unadded_tasks();
        if self.unadded_occurrences() > 0 || self.occurrences.iter().any(has_unadded) {
            return true;
        }
        let mut has_run = false;
        for task in self
            .occurrences
            .iter()
            .flat_map(|o| o.tasks.iter().flatten())
        {
            if !task.workers.is_empty() {
                has_run = true;
            } else if !task.done {
                return true;
            }
        }
        !has_run
    }

    /// Returns the CPU that the job's open tasks request, in thousandths of a core: first that of
    /// tasks that reserve it, then that of best-effort tasks.
    pub(super) fn demand(&self) -> (i64, i64) {
        let mut reserved = self.unadded_cpu(|step| !step.best_effort);
        let mut best_effort = self.unadded_cpu(|step| step.best_effort);
        for occurrence in &self.occurrences {
            for (remaining, step) in occurrence.remaining.iter().zip(&self.spec.steps) {
                let requested = i64::from(*remaining) * step.request.cpu;
                if step.best_effort {
                    best_effort += requested;
                } else {
                    reserved += requested;
                }
            }
        }
        (reserved, best_effort)
    }

    /// Returns the progress to store; a task that is not done and has no failed attempt and no
    /// checkpoint has no record.
    pub(super) fn progress(&self) -> Progress {
        let mut tasks = Vec::new();
        for occurrence in &self.occurrences {
            for (step, tasks_of_step) in occurrence.tasks.iter().enumerate() {
                for (index, task) in tasks_of_step.iter().enumerate() {
                    if task.done || !task.failed_attempts.is_empty() || !task.checkpoint.is_empty()
                    {
                        tasks.push(TaskRecord {
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                            done: task.done,
                            failed: task.failed_attempts.clone(),
                            checkpoint: if task.done {
                                String::new()
                            } else {
                                task.checkpoint.clone()
                            },
                        });
                    }
                }
            }
        }
        tasks.extend(self.records.iter().cloned());
        Progress {
            outcome: self.outcome,
            finished_ms: self.finished_ms,
            started: self.started,
            occurrences_done: self.occurrences_done.clone(),
            tasks,
            losses: self.loss_records(),
            placements: self.placement_records(),
        }
    }
}

/// How late a job will finish. Of two jobs that are equal in priority and in whether they are
/// long-running, the one with the smaller value is dispatched first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lateness {
    /// The job can finish within its target duration.
    InTime,
    /// The job can finish only after its target duration, but within [`LATE_FACTOR`] times that.
    Late,
    /// The job can't finish within [`LATE_FACTOR`] times its target duration.
    TooLate,
}

impl Job {
    /// Returns the estimated remaining work of the due occurrences, in thousandths of a core times
    /// milliseconds.
    pub(super) fn remaining_work(&self) -> u64 {
        let works = self.occurrences.iter();
        let works = works.map(|o| self.work_of_tasks(o.remaining.iter().copied()));
        let counts = self.spec.steps.iter().map(|step| step.count);
        let unadded = u64::from(self.unadded_occurrences());
        let unadded_work = self.work_of_tasks(counts).saturating_mul(unadded);
        works.fold(unadded_work, u64::saturating_add)
    }

    /// Returns the work of `counts` tasks of each step according to the caller's estimates, in
    /// thousandths of a core times milliseconds.
    pub(super) fn work_of(&self, counts: impl Iterator<Item = u32>) -> u64 {
        self.spec.work_of(counts)
    }

    /// Returns how late the job will finish according to the estimates of its tasks' run times; a
    /// scheduled job always counts as in time.
    pub(super) fn lateness(&self, now: Instant) -> Lateness {
        self.lateness_at(self.slack_ms(now))
    }

    /// Returns the same for a slack from [`slack_ms`](Self::slack_ms).
    pub(super) fn lateness_at(&self, slack_ms: Option<i64>) -> Lateness {
        let late_ms = (LATE_FACTOR - 1) as i64 * self.target_ms();
        match slack_ms {
            None | Some(0..) => Lateness::InTime,
            Some(slack_ms) if slack_ms >= -late_ms => Lateness::Late,
            Some(_) => Lateness::TooLate,
        }
    }

    /// Returns the duration within which the job should finish, in milliseconds, by the estimates of its
    /// tasks' run times.
    fn target_ms(&self) -> i64 {
        let target_ms = self.spec.target_for_ms(self.estimates.chain_ms());
        i64::try_from(target_ms).unwrap_or(i64::MAX / 8)
    }

    /// Returns the time until the end of the target duration, in milliseconds, negative after that;
    /// `None` for a scheduled job, which always counts as in time.
    pub(super) fn time_left_ms(&self, now: Instant) -> Option<i64> {
        let elapsed_ms = now.duration_since(self.accepted_at).as_millis() as i64;
        let is_scheduled = self.spec.occurrences > 0;
        (!is_scheduled).then_some(self.target_ms() - elapsed_ms)
    }

    /// Returns how much later the job could start and still end within its target duration, in
    /// milliseconds, negative if it can't; `None` for a scheduled job.
    pub(super) fn slack_ms(&self, now: Instant) -> Option<i64> {
        let time_left_ms = self.time_left_ms(now)?;
        let remaining_ms = self.remaining_chain_ms(self.occurrences.first());
        Some(time_left_ms - remaining_ms as i64)
    }
}
