//! The current speeds of workers, by which they are ranked.
//!
//! See [`worker_speed`](crate::sched::worker_speed). A worker that has become slow shows it by ends only
//! when its runs end at last. So one with several overdue runs counts as slow before.

use {
    super::state::{Job, Run, RunPhase, Shard},
    crate::sched::{job::TaskName, worker_speed::ratios},
    std::time::{Duration, Instant},
};

/// The number of run times of a step that are kept for the comparison.
const MAX_TIMES: usize = 32;

/// The tasks of a step are compared once this share of them is left, so that those that end first
/// don't set the measure for the others.
const LEFT_DIVISOR: u32 = 4;

/// A run is overdue once it takes this many times the median of its step's tasks that are done. Of
/// tasks on healthy workers one in thirty is.
const OVERDUE_FACTOR: u32 = 3;

/// The number of overdue runs from which on a worker counts as slow, if they are half of its short
/// runs.
const MIN_OVERDUE: u32 = 2;

/// The speed of a worker with overdue runs.
const OVERDUE_SPEED: f64 = 0.3;

/// The change of a speed from which on it is logged.
const LOGGED_CHANGE: f64 = 0.3;

impl Shard {
    /// Compares the run time of a task that was done with those of its step's other tasks.
    pub(super) fn compare_run_time(
        &mut self,
        worker_id: &str,
        name: TaskName,
        time: Duration,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let occurrence = job.occurrence(name.occurrence);
        let remaining = occurrence.and_then(|o| o.remaining.get(usize::from(name.step)));
        let left = remaining.copied().unwrap_or(0).saturating_sub(1);
        let count = job.spec.steps[usize::from(name.step)].count;
        let times = job
            .step_times
            .entry((name.occurrence, name.step))
            .or_default();
        times.push((worker_id.to_owned(), time));
        let is_due = left <= count / LEFT_DIVISOR || times.len() >= MAX_TIMES;
        if !is_due {
            return;
        }
        // Those that were compared before have no worker any more.
        let durations: Vec<_> = times.iter().map(|(_, time)| *time).collect();
        let compared: Vec<_> = ratios(&durations)
            .into_iter()
            .zip(times.iter_mut())
            .filter(|(_, (id, _))| !id.is_empty())
            .map(|(ratio, (id, _))| (std::mem::take(id), ratio))
            .collect();
        if times.len() >= MAX_TIMES {
            times.drain(..MAX_TIMES / 2);
        }
        for (id, ratio) in compared {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.speed.record(ratio, now);
            }
        }
    }

    /// Updates the speeds by which workers are ranked; `overdue` has the workers with overdue runs,
    /// their number and that of all short runs there.
    pub(super) fn update_speeds(&mut self, overdue: &[(String, (u32, u32))], now: Instant) {
        for (id, worker) in &mut self.workers {
            let late = overdue.iter().find(|(late, _)| late == id);
            let is_slow =
                late.is_some_and(|(_, (late, all))| *late >= MIN_OVERDUE && late * 2 >= *all);
            let mut speed = worker.speed.value(now);
            if is_slow {
                speed = speed.min(OVERDUE_SPEED);
            }
            if (speed - worker.current_speed).abs() >= LOGGED_CHANGE {
                log::info!(
                    "jobs: worker={id} speed={speed:.2} was={:.2} overdue={}.",
                    worker.current_speed,
                    late.map_or(0, |(_, (late, _))| *late),
                );
            }
            worker.current_speed = speed;
        }
    }
}

impl Run {
    /// Returns whether the run takes much longer than the median of its step's tasks that are done.
    pub(super) fn is_overdue(&self, median: Option<Duration>, now: Instant) -> bool {
        let RunPhase::Running(since) = self.phase else {
            return false;
        };
        self.speed_percent == 100
            && self.is_whole
            && median.is_some_and(|median| now.duration_since(since) > median * OVERDUE_FACTOR)
    }
}

impl Job {
    /// Returns the median run time of the last tasks of a step that were done; `None` if they are less
    /// than half of the step.
    pub(super) fn step_median(&self, name: &TaskName) -> Option<Duration> {
        let times = self.step_times.get(&(name.occurrence, name.step))?;
        let step = self.spec.steps.get(usize::from(name.step))?;
        if times.len() * 2 < (step.count as usize).min(MAX_TIMES) {
            return None;
        }
        let mut times: Vec<_> = times.iter().map(|(_, time)| *time).collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}
