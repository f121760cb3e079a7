//! Runs that stand still, and what this says of their workers.
//!
//! A run that shows no progress for longer than it could ([`stuck`](crate::sched::stuck)) is stopped,
//! and its task starts on another worker. That alone speaks as much of the task as of its worker. The
//! worker gets no tasks for a while only if nothing on it has shown progress meanwhile and several
//! steps stand still there that don't elsewhere. On less evidence it comes last in the ranking.

use {
    super::state::{Run, RunPhase, Shard},
    crate::{
        hash::{HashMap, HashSet},
        sched::{
            job::{JobId, TaskName},
            stuck::{Basis, Knowledge, MIN_PAUSE},
        },
    },
    std::time::{Duration, Instant},
};

/// A run that may work at less than this share of full speed, in percent, is not expected to show
/// progress.
const MIN_PROGRESS_SPEED_PERCENT: u8 = 30;

/// How long a worker on which everything stands still gets no new tasks, and how long one with a
/// single stuck run comes last. About as long as a worker was seen to hang.
const HANG_EJECTION: Duration = Duration::from_secs(6);

/// How long a stall counts as evidence.
const STALL_MEMORY: Duration = Duration::from_secs(10);

/// Progress on a worker that is less than this later than that of a stalled run may have been made
/// before the worker began to hang: its reports are up to 1 s apart.
const SAME_TIME: Duration = Duration::from_millis(1_500);

/// How many steps have to stand still on a worker and not elsewhere.
const MIN_STALLED_STEPS: usize = 2;

/// How many tasks of one step suffice if others of the step have shown progress elsewhere meanwhile.
const MIN_STALLED_TASKS: usize = 3;

/// How many runs of a step have to show their pace before it counts for the others.
const MIN_SIBLINGS: usize = 2;

/// A run that was stopped as stuck.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stall {
    task: TaskName,
    /// When the run had last shown progress.
    progressed_at: Instant,
    /// When it was stopped.
    stopped_at: Instant,
}

/// A run to stop, and why.
struct StuckRun {
    worker: String,
    task: TaskName,
    pause: Duration,
    limit: Duration,
    basis: Basis,
}

/// The paces of the runs of steps, as far as they were needed in this check.
type StepPaces = HashMap<(JobId, u32, u16), Option<Duration>>;

impl Shard {
    /// Stops stuck runs, whose tasks avoid these workers when they restart, and ejects the workers
    /// that hang.
    pub(super) fn stop_stuck(&mut self, now: Instant) {
        let mut paces = StepPaces::default();
        let mut stuck = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &worker.runs {
                if now.saturating_duration_since(run.progressed_at) <= MIN_PAUSE {
                    continue;
                }
                let Some(pause) = self.pause(*task, run, now) else {
                    continue;
                };
                let Some(knowledge) = self.knowledge(*task, run, &mut paces) else {
                    continue;
                };
                let (limit, basis) = knowledge.max_pause();
                if pause > limit {
                    stuck.push(StuckRun {
                        worker: id.clone(),
                        task: *task,
                        pause,
                        limit,
                        basis,
                    });
                }
            }
        }
        if stuck.is_empty() {
            return;
        }
        for run in &stuck {
            self.note_stall(run, now);
        }
        let mut workers: Vec<_> = stuck.iter().map(|run| run.worker.as_str()).collect();
        workers.sort_unstable();
        workers.dedup();
        let hung: HashSet<_> = workers
            .into_iter()
            .filter(|id| self.judge_stalls(id, &mut paces, now))
            .collect();
        for run in &stuck {
            let by_worker = hung.contains(run.worker.as_str());
            self.stop_stuck_run(&run.worker, run.task, by_worker);
        }
    }

    /// Returns for how long a run has shown no progress; `None` if it need not show any.
    fn pause(&self, task: TaskName, run: &Run, now: Instant) -> Option<Duration> {
        let is_running = matches!(run.phase, RunPhase::Running(_));
        if !is_running
            || run.has_unlisted_end
            || run.speed_percent < MIN_PROGRESS_SPEED_PERCENT
            || self.may_report_no_progress(task)
        {
            return None;
        }
        Some(now.saturating_duration_since(run.progressed_at))
    }

    /// Returns what is known of how long one percent of a run takes; `None` if its step is not found.
    fn knowledge(&self, task: TaskName, run: &Run, paces: &mut StepPaces) -> Option<Knowledge> {
        let job = self.jobs.get(&task.job)?;
        let step = job.spec.steps.get(usize::from(task.step))?;
        let occurrence = job.occurrence(task.occurrence)?;
        let tasks = occurrence.tasks.get(usize::from(task.step))?;
        let own = run.pace.percent_time();
        let siblings = if own.is_some() {
            None
        } else {
            let key = (task.job, task.occurrence, task.step);
            *paces
                .entry(key)
                .or_insert_with(|| self.step_percent_time(task, tasks.len()))
        };
        Some(Knowledge {
            own,
            siblings,
            ended: self.run_times.quantile(step, 0.99),
            estimate: Duration::from_millis(u64::from(step.estimate_ms)),
            speed: f64::from(run.speed_percent) / 100.0,
            stops: tasks.get(task.index as usize)?.stuck_stops,
        })
    }

    /// Returns the median time that a percent has taken of the runs of a task's step; `None` if
    /// fewer than [`MIN_SIBLINGS`] have shown it.
    fn step_percent_time(&self, name: TaskName, count: usize) -> Option<Duration> {
        let job = self.jobs.get(&name.job)?;
        let occurrence = job.occurrence(name.occurrence)?;
        let tasks = occurrence.tasks.get(usize::from(name.step))?;
        let runs = tasks.iter().zip(0..).take(count).flat_map(|(task, index)| {
            let name = TaskName { index, ..name };
            let workers = task.workers.iter().filter_map(|id| self.workers.get(id));
            workers.filter_map(move |w| w.runs.get(&name))
        });
        let mut times: Vec<_> = runs.filter_map(|run| run.pace.percent_time()).collect();
        if times.len() < MIN_SIBLINGS {
            return None;
        }
        let middle = times.len() / 2;
        Some(*times.select_nth_unstable(middle).1)
    }

    /// Records that a run is about to be stopped as stuck.
    fn note_stall(&mut self, stuck: &StuckRun, now: Instant) {
        let Some(worker) = self.workers.get_mut(&stuck.worker) else {
            return;
        };
        let Some(run) = worker.runs.get(&stuck.task) else {
            return;
        };
        log::warn!(
            "jobs: task={} worker={} no progress, stopping the run: percent={} ms={} pause_ms={} limit_ms={} from={}.",
            stuck.task,
            stuck.worker,
            run.progress_percent,
            now.duration_since(run.added_at).as_millis(),
            stuck.pause.as_millis(),
            stuck.limit.as_millis(),
            stuck.basis.name(),
        );
        self.counts.stuck_runs += 1;
        let stall = Stall {
            task: stuck.task,
            progressed_at: run.progressed_at,
            stopped_at: now,
        };
        worker
            .stalls
            .retain(|s| now.duration_since(s.stopped_at) < STALL_MEMORY);
        worker.stalls.push(stall);
        worker.doubted_until = Some(now + HANG_EJECTION);
    }

    /// Ejects a worker with a stuck run, and stops its other runs that stand still, if it is certain
    /// enough that the worker hangs; returns whether it is.
    fn judge_stalls(&mut self, id: &str, paces: &mut StepPaces, now: Instant) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let has_progressed_since =
            |at: Instant| worker.progressed_at.is_some_and(|p| p > at + SAME_TIME);
        let mut standing: Vec<_> = worker
            .stalls
            .iter()
            .filter(|s| !has_progressed_since(s.progressed_at))
            .map(|s| (s.task, s.progressed_at))
            .collect();
        let mut others = Vec::new();
        for (task, run) in &worker.runs {
            let is_counted = standing.iter().any(|(t, _)| t == task);
            let Some(pause) = self.pause(*task, run, now).filter(|_| !is_counted) else {
                continue;
            };
            let knowledge = self.knowledge(*task, run, paces);
            if knowledge.is_none_or(|k| pause <= k.usual_pause()) {
                continue;
            }
            others.push(*task);
            if !has_progressed_since(run.progressed_at) {
                standing.push((*task, run.progressed_at));
            }
        }
        standing.retain(|(task, _)| !self.has_stalled_elsewhere(*task, id, now));
        let steps: HashSet<_> = standing.iter().map(|(t, _)| (t.job, t.step)).collect();
        let is_hung = steps.len() >= MIN_STALLED_STEPS
            || steps.iter().any(|(job, step)| {
                let of_step = standing.iter();
                let of_step = of_step.filter(|(t, _)| (t.job, t.step) == (*job, *step));
                let since = of_step.clone().map(|(_, at)| *at).max();
                let tasks: HashSet<_> = of_step.map(|(t, _)| *t).collect();
                tasks.len() >= MIN_STALLED_TASKS
                    && since.is_some_and(|at| self.has_progressed_elsewhere((*job, *step), id, at))
            });
        if !is_hung {
            return false;
        }
        let reason = format!(
            "{} tasks of {} steps stand still there",
            standing.len(),
            steps.len()
        );
        self.eject(id, HANG_EJECTION, &reason, now);
        for task in others {
            self.stop_stuck_run(id, task, true);
        }
        true
    }

    /// Returns whether a run of a task's step was stuck on another worker, too, a short time ago.
    fn has_stalled_elsewhere(&self, name: TaskName, worker_id: &str, now: Instant) -> bool {
        let others = self.workers.iter().filter(|(id, _)| *id != worker_id);
        let mut stalls = others.flat_map(|(_, w)| &w.stalls);
        stalls.any(|s| {
            (s.task.job, s.task.step) == (name.job, name.step)
                && now.duration_since(s.stopped_at) < STALL_MEMORY
        })
    }

    /// Returns whether a run of a step on another worker has shown progress since `at`.
    fn has_progressed_elsewhere(
        &self,
        (job, step): (JobId, u16),
        worker_id: &str,
        at: Instant,
    ) -> bool {
        let others = self.workers.iter().filter(|(id, _)| *id != worker_id);
        let mut runs = others.flat_map(|(_, w)| &w.runs);
        runs.any(|(task, run)| {
            (task.job, task.step) == (job, step) && run.progressed_at > at + SAME_TIME
        })
    }

    /// Stops a run that stands still. Its task avoids the worker, and its next run may pause for longer
    /// unless the worker is at fault.
    fn stop_stuck_run(&mut self, worker_id: &str, name: TaskName, by_worker: bool) {
        self.stop_run(worker_id, name);
        if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task(&name)) {
            task.avoid_worker = Some(worker_id.to_owned());
            if !by_worker {
                task.stuck_stops += 1;
            }
        }
    }
}
