//! The ends of runs, and their effects on tasks and jobs.

use {
    super::state::{Job, Shard},
    crate::{
        hash::HashSet,
        sched::{
            job::{JobId, TaskName},
            progress::JobOutcome,
            worker::{EndReason, FinishedRow},
        },
    },
    std::time::{Duration, Instant},
};

/// The delay before a long-running task restarts after its run has ended.
const LONG_RUNNING_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Shard {
    /// Processes the end of an attempt that a worker reports; `unix_ms` is the current Unix time in
    /// milliseconds.
    ///
    /// The worker's run of the task is removed unless it is a newer attempt.
    pub(super) fn on_run_ended(
        &mut self,
        worker_id: &str,
        row: &FinishedRow,
        now: Instant,
        unix_ms: u64,
    ) {
        self.add_occurrence_of(row.task);
        let worker = self.workers.get(worker_id);
        let run = worker.and_then(|w| w.runs.get(&row.task));
        let run_info = run.map(|run| {
            let ms = now.duration_since(run.added_at).as_millis();
            (ms, run.best_effort_cpu > 0, run.speed_percent)
        });
        let stale = run.is_some_and(|run| run.attempt > row.attempt);
        let finished =
            run.filter(|run| run.attempt == row.attempt && row.reason == EndReason::Done);
        if let Some(duration) = finished.map(|run| now.duration_since(run.added_at))
            && let Some(job) = self.jobs.get(&row.task.job)
            && let Some(step) = job.spec.steps.get(usize::from(row.task.step))
        {
            self.outlook
                .count_finished(&job.spec.service, step, duration);
        }
        if run.is_some_and(|run| run.attempt <= row.attempt) {
            let run = self.remove_run(worker_id, row.task, now);
            let done = run.filter(|r| row.reason == EndReason::Done && r.attempt == row.attempt);
            if let Some(run) = done {
                self.learn_run_time(worker_id, row.task, &run, now);
            }
        }
        log::info!(
            "jobs: task={} attempt={} worker={worker_id} ended {:?} n={} ms={} fills={} pace={}.",
            row.task,
            row.attempt,
            row.reason,
            row.number,
            run_info.map_or(0, |(ms, _, _)| ms),
            run_info.is_some_and(|(_, best_effort, _)| best_effort),
            run_info.map_or(0, |(_, _, speed_percent)| speed_percent),
        );
        self.changed = true;
        if row.reason == EndReason::Done
            && let Some(worker) = self.workers.get_mut(worker_id)
        {
            worker.progressed_at = Some(now);
        }
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        job.started = true;
        if job.outcome == JobOutcome::Open {
            self.apply_run_end(worker_id, row, stale, now, unix_ms);
        }
        self.retire(row.task.job);
    }

    /// Applies the end of an attempt to its task; `stale` if the worker has a newer attempt.
    fn apply_run_end(
        &mut self,
        worker_id: &str,
        row: &FinishedRow,
        stale: bool,
        now: Instant,
        unix_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(row.task.step)) else {
            return;
        };
        let max_attempts = spec.max_attempts.max(1);
        let Some(task) = job.task(&row.task) else {
            return;
        };
        if task.done {
            return;
        }
        task.attempt = task.attempt.max(row.attempt);
        if !row.checkpoint.is_empty() {
            row.checkpoint.clone_into(&mut task.checkpoint);
        }
        match row.reason {
            EndReason::Done if !step.long_running => {
                self.on_task_done(row.task, step.gang, now, unix_ms);
                self.note_end(worker_id, row.task, false, now);
            }
            EndReason::Failed if !step.long_running => {
                if task.failed_attempts.contains(&row.attempt) {
                    return;
                }
                task.failed_attempts.push(row.attempt);
                task.avoid_worker = Some(worker_id.to_owned());
                let failures = if step.gang {
                    gang_failures(job, &row.task)
                } else {
                    task.failed_attempts.len() as u32
                };
                self.note_end(worker_id, row.task, true, now);
                self.mark_dirty(row.task.job, false, now);
                if failures >= max_attempts {
                    self.end_job(row.task.job, JobOutcome::Failed, unix_ms);
                }
            }
            EndReason::Done | EndReason::Failed => {
                task.avoid_worker = Some(worker_id.to_owned());
                task.not_before = Some(now + LONG_RUNNING_RETRY_DELAY);
            }
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {
                if !stale && !task.checkpoint.is_empty() {
                    self.mark_dirty(row.task.job, false, now);
                }
            }
        }
    }

    /// Marks a task done, or all tasks of its step if `gang`. Stops other runs of the task, and
    /// completes the job if this was its last task.
    fn on_task_done(&mut self, name: TaskName, gang: bool, now: Instant, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let mut other_runs = Vec::new();
        let spec = job.spec.clone();
        let mut is_occurrence_done = false;
        if let Some(occurrence) = job.occurrence_mut(name.occurrence) {
            let step = usize::from(name.step);
            let gang_size = occurrence.tasks[step].len();
            let range = if gang {
                0..gang_size
            } else {
                let index = name.index as usize;
                index..index + 1
            };
            for index in range {
                let task = &mut occurrence.tasks[step][index];
                if !std::mem::replace(&mut task.done, true) {
                    occurrence.remaining[step] -= 1;
                }
                let task_name = TaskName {
                    index: index as u32,
                    ..name
                };
                // The runs of other gang members end without a stop command.
                if !gang {
                    other_runs.extend(task.workers.iter().map(|w| (w.clone(), task_name)));
                }
            }
            if occurrence.remaining[step] == 0 {
                occurrence.add_ready_tasks(&spec.steps);
            }
            is_occurrence_done = occurrence.remaining.iter().all(|remaining| *remaining == 0);
        }
        if is_occurrence_done {
            self.on_occurrence_done(name.job, name.occurrence);
        }
        let job = self.jobs.get(&name.job);
        let is_finished = job.is_some_and(|job| {
            job.occurrences_done.len() >= u64::from(job.spec.occurrence_count())
        });
        for (worker, task) in other_runs {
            self.stop_run(&worker, task);
        }
        self.mark_dirty(name.job, false, now);
        if is_finished {
            self.count_served_job(name.job);
            self.end_job(name.job, JobOutcome::Completed, unix_ms);
        }
    }

    /// Returns whether a run that a worker reports is needed by its task.
    ///
    /// The run is not needed if the job is unknown or has finished, the task is done, or the task
    /// already has a run and its step is not speculative.
    pub(super) fn needs_run(&mut self, name: TaskName) -> bool {
        self.add_occurrence_of(name);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return false;
        };
        if job.outcome != JobOutcome::Open {
            return false;
        }
        let speculative = job
            .spec
            .steps
            .get(usize::from(name.step))
            .is_some_and(|s| s.speculative);
        let task = job.task(&name);
        task.is_some_and(|t| !t.done && (t.workers.is_empty() || speculative))
    }

    /// Returns whether the shard has a job that is still open, or that has finished but still has
    /// runs or an outcome that is not stored; see [`Shard::retire`].
    pub(super) fn is_active_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }
}

/// Returns the number of attempts of a task's gang in which any member failed. All members of an attempt
/// have its number, and several may fail before the others end.
fn gang_failures(job: &Job, name: &TaskName) -> u32 {
    let occurrence = job.occurrence(name.occurrence);
    let tasks = occurrence.and_then(|o| o.tasks.get(usize::from(name.step)));
    let failed = tasks.into_iter().flatten().flat_map(|t| &t.failed_attempts);
    let failed: HashSet<_> = failed.collect();
    u32::try_from(failed.len()).unwrap_or(u32::MAX)
}
