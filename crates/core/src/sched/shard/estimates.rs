//! How long tasks take, and how long the running ones still take.
//!
//! [`run_times`](crate::sched::run_times) learns from the ends of runs. What follows for each open job is
//! computed anew a few times a second, so that a dispatch need not look at all runs.

use {
    super::state::{Job, Occurrence, Run, RunPhase, Shard},
    crate::{
        hash::HashMap,
        sched::{
            job::{JobId, JobSpec, TaskName},
            progress::JobOutcome,
            run_times::{Remaining, ShapeTimes},
        },
    },
    std::time::{Duration, Instant},
};

/// The time between two computations of the jobs' estimates. Most tasks take longer.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);

/// The share of the usual run time, in percent, above which a task lengthens its job's chain. Less may
/// be due to the time of commands and reports.
const MIN_LONG_PERCENT: u64 = 150;

/// How many times the usual run time a task may take that has shown no pace.
const MAX_RUN_FACTOR: u32 = 8;

/// The time that the running tasks of a step still take.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningStep {
    /// The number of tasks that have a run.
    tasks: u32,
    /// The longest time that any of them still takes, in milliseconds.
    longest_ms: u64,
    /// The longest run time that any of them will have, in milliseconds.
    longest_run_ms: u64,
}

/// The steps of a job that have running tasks, by occurrence and step.
type RunningSteps = HashMap<(u32, u16), RunningStep>;

/// The run times of a step's tasks.
struct StepTimes {
    remaining: Remaining,
    /// The median of the tasks that were done; `None` if they are too few.
    median: Option<Duration>,
    /// The usual run time; zero if there is no estimate, of the caller or from ends.
    usual: Duration,
}

/// The estimates for one job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobEstimates {
    /// The usual run time of each step's tasks, in milliseconds.
    task_ms: Vec<u64>,
    /// The longest run time of a task that was done, by occurrence and step, in milliseconds.
    longest_done: HashMap<(u32, u16), u64>,
    /// The time of the longest chain of steps in the first occurrence, in milliseconds: of what is
    /// known of its tasks, else of usual ones.
    chain_ms: u64,
    /// The steps that have running tasks, by occurrence and step.
    running: RunningSteps,
}

impl JobEstimates {
    /// Returns the estimates of the caller.
    pub(super) fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter();
        let mut estimates = Self::default();
        estimates.set_task_times(spec, steps.map(|step| u64::from(step.estimate_ms)));
        estimates
    }

    /// Sets the usual run times of the steps' tasks, in milliseconds.
    fn set_task_times(&mut self, spec: &JobSpec, task_ms: impl Iterator<Item = u64>) {
        self.task_ms.clear();
        self.task_ms.extend(task_ms);
        self.chain_ms = longest_chain_ms(spec, |i| self.task_ms[i]);
    }

    /// Records that a task was done after running for `time`.
    fn record_done(&mut self, name: TaskName, time: Duration) {
        let longest = self.longest_done.entry((name.occurrence, name.step));
        let longest = longest.or_default();
        *longest = (*longest).max(time.as_millis() as u64);
    }

    /// Sets the steps that have running tasks; `first` is the number of the first occurrence.
    fn set_running(&mut self, spec: &JobSpec, running: RunningSteps, first: u32) {
        self.running = running;
        // The longest chain of work is that of the tasks as they turn out to be, not as usual.
        let step_ms = |i: usize| {
            if self.task_ms[i] == 0 {
                return 0;
            }
            let done = self.longest_done.get(&(first, i as u16)).copied();
            let running = self.running(first, i).longest_run_ms;
            let longest = done.unwrap_or(0).max(running);
            if longest > self.task_ms[i] * MIN_LONG_PERCENT / 100 {
                longest
            } else {
                self.task_ms[i]
            }
        };
        self.chain_ms = longest_chain_ms(spec, step_ms);
    }

    /// Returns the time of the job's longest chain of steps, in milliseconds.
    pub(super) fn chain_ms(&self) -> u64 {
        self.chain_ms
    }

    fn running(&self, occurrence: u32, step: usize) -> RunningStep {
        let running = self.running.get(&(occurrence, step as u16));
        running.copied().unwrap_or_default()
    }

    /// Forgets the run times of an occurrence that is done.
    pub(super) fn forget_occurrence(&mut self, number: u32) {
        for step in 0..self.task_ms.len() as u16 {
            self.longest_done.remove(&(number, step));
        }
    }

    /// Returns the time that a step still takes if its tasks start at once, in milliseconds.
    fn step_ms(&self, occurrence: u32, step: usize, remaining: u32) -> u64 {
        if remaining == 0 {
            return 0;
        }
        let running = self.running(occurrence, step);
        if running.tasks >= remaining {
            running.longest_ms
        } else {
            running.longest_ms.max(self.task_ms[step])
        }
    }
}

impl Shard {
    /// Restores the run times that an earlier leader stored.
    pub fn restore_run_times(&mut self, records: &[ShapeTimes]) {
        self.run_times.restore(records);
    }

    /// Learns from a run that was done at `now` on a worker.
    pub(super) fn learn_run_time(
        &mut self,
        worker_id: &str,
        name: TaskName,
        run: &Run,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(usize::from(name.step)) else {
            return;
        };
        if run.is_whole && run.speed_percent == 100 && !step.long_running && !step.gang {
            let time = now.duration_since(run.added_at);
            job.estimates.record_done(name, time);
            self.run_times.record(step, time);
            self.compare_run_time(worker_id, name, time, now);
        }
    }

    /// Computes the estimates of all open jobs, unless that was done a short time ago.
    pub(super) fn update_estimates(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < ESTIMATE_INTERVAL;
        if self.estimated_at.is_some_and(is_recent) {
            return;
        }
        self.estimated_at = Some(now);
        let mut running: HashMap<JobId, RunningSteps> = HashMap::default();
        let mut by_step: HashMap<(JobId, u32, u16), StepTimes> = HashMap::default();
        let mut overdue: HashMap<&str, (u32, u32)> = HashMap::default();
        for worker in self.workers.values() {
            for (name, run) in worker.runs.iter().filter(|(_, run)| !run.is_long_running) {
                let job = self.jobs.get(&name.job);
                let Some(step) = job.and_then(|j| j.spec.steps.get(usize::from(name.step))) else {
                    continue;
                };
                let key = (name.job, name.occurrence, name.step);
                let times = by_step.entry(key).or_insert_with(|| StepTimes {
                    remaining: self.run_times.remaining(step),
                    median: job.and_then(|job| job.step_median(name)),
                    usual: self.run_times.usual(step),
                });
                let counts = overdue.entry(&worker.info.id).or_default();
                counts.0 += u32::from(run.is_overdue(times.median, now));
                counts.1 += 1;
                // Without any estimate for the step's other tasks, running ones don't count either.
                let remaining = if times.usual.is_zero() {
                    Duration::ZERO
                } else {
                    run.remaining(&times.remaining, now)
                };
                let steps = running.entry(name.job).or_default();
                let run_time = run.expected_time(remaining, times.usual, now);
                add_running(steps, name, remaining, run_time);
            }
        }
        let overdue = overdue.into_iter().filter(|(_, (late, _))| *late > 0);
        let overdue: Vec<_> = overdue.map(|(id, n)| (id.to_owned(), n)).collect();
        self.update_speeds(&overdue, now);
        let run_times = &self.run_times;
        let open = self
            .jobs
            .iter_mut()
            .filter(|(_, job)| job.outcome == JobOutcome::Open);
        for (id, job) in open {
            let steps = job.spec.steps.iter();
            let usual = steps.map(|step| run_times.usual(step).as_millis() as u64);
            job.estimates.set_task_times(&job.spec, usual);
            let running = running.remove(id).unwrap_or_default();
            let first = job.occurrences.first().map_or(0, |o| o.number);
            job.estimates.set_running(&job.spec, running, first);
        }
    }
}

/// Adds a run to its step that still takes `remaining` and will have taken `run_time`.
fn add_running(steps: &mut RunningSteps, name: &TaskName, remaining: Duration, run_time: Duration) {
    let step = steps.entry((name.occurrence, name.step)).or_default();
    step.tasks += 1;
    let remaining_ms = remaining.as_millis() as u64;
    step.longest_ms = step.longest_ms.max(remaining_ms);
    step.longest_run_ms = step.longest_run_ms.max(run_time.as_millis() as u64);
}

/// Returns the time of the longest chain of steps that take `step_ms`, in milliseconds.
fn longest_chain_ms(spec: &JobSpec, step_ms: impl Fn(usize) -> u64) -> u64 {
    let mut path_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (i, step) in spec.steps.iter().enumerate() {
        let after = step.after.iter();
        let predecessors = after.filter_map(|a| path_ms.get(usize::from(*a)));
        path_ms.push(predecessors.copied().max().unwrap_or(0) + step_ms(i));
    }
    path_ms.into_iter().max().unwrap_or(0)
}

impl Run {
    /// Returns the time that the run still takes: by its own pace if it has shown one, else by the
    /// run times of its shape and the time that has passed.
    pub(super) fn remaining(&self, by_step: &Remaining, now: Instant) -> Duration {
        if let Some(percent) = self.pace.mean_percent_time() {
            let left = (100.0 - self.progress_percent).clamp(0.0, 100.0);
            let since = now.saturating_duration_since(self.progressed_at);
            return percent.mul_f64(left).saturating_sub(since);
        }
        by_step.after(self.elapsed(now))
    }

    /// Returns the run time that the run will have had if it takes `remaining` more. Without a pace
    /// it may stand still, so the time is then at most [`MAX_RUN_FACTOR`] times the usual one.
    fn expected_time(&self, remaining: Duration, usual: Duration, now: Instant) -> Duration {
        let time = self.elapsed(now) + remaining;
        match self.pace.mean_percent_time() {
            Some(_) => time,
            None => time.min(usual * MAX_RUN_FACTOR),
        }
    }

    /// Returns the time since the start; zero while the worker has not confirmed the run.
    fn elapsed(&self, now: Instant) -> Duration {
        match self.phase {
            RunPhase::Sent => Duration::ZERO,
            RunPhase::Running(_) | RunPhase::Stopping(_) => now.duration_since(self.added_at),
        }
    }
}

impl Job {
    /// Returns the estimated time of the longest chain of unfinished steps of an occurrence, in
    /// milliseconds; of all steps if there is none.
    pub(super) fn remaining_chain_ms(&self, occurrence: Option<&Occurrence>) -> u64 {
        let Some(occurrence) = occurrence else {
            return self.estimates.chain_ms;
        };
        let number = occurrence.number;
        let step_ms = |i: usize| self.estimates.step_ms(number, i, occurrence.remaining[i]);
        longest_chain_ms(&self.spec, step_ms)
    }

    /// Returns for each step the estimated time from its start to the end of the job, in
    /// milliseconds, if nothing waits.
    pub(super) fn chains_from_ms(&self) -> Vec<u64> {
        let mut chains = self.estimates.task_ms.clone();
        for (i, step) in self.spec.steps.iter().enumerate().rev() {
            for predecessor in &step.after {
                let predecessor = usize::from(*predecessor);
                let own_ms = self.estimates.task_ms[predecessor];
                chains[predecessor] = chains[predecessor].max(own_ms + chains[i]);
            }
        }
        chains
    }

    /// Returns the work of so many tasks of each step, in thousandths of a core times milliseconds.
    /// Running tasks count in full: with the rest of them alone, large jobs were served less often under
    /// overload.
    pub(super) fn work_of_tasks(&self, counts: impl Iterator<Item = u32>) -> u64 {
        let steps = self.spec.steps.iter().zip(counts);
        let work = steps
            .zip(&self.estimates.task_ms)
            .map(|((step, count), task_ms)| {
                let cpu = u64::try_from(step.request.cpu).unwrap_or(0);
                let task_work = task_ms.saturating_mul(cpu);
                task_work.saturating_mul(u64::from(count))
            });
        work.fold(0, u64::saturating_add)
    }
}
