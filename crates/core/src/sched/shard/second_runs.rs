//! Second runs of tasks that take much longer than most.
//!
//! Only steps that the caller has marked as speculative may have two runs of a task at a time. The
//! run that is done first counts; the other one is stopped. A second run takes only room that no waiting
//! task can use, and leaves a reserve for the next burst.

use {
    super::state::{RunPhase, Shard, Worker},
    crate::{
        hash::HashMap,
        sched::{
            job::{Step, TaskName},
            progress::JobOutcome,
        },
    },
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// The share of a step's run times above which a run is in their tail.
const TAIL_QUANTILE: f64 = 0.95;

/// A run is in the tail if it takes this many times the median, too.
const TAIL_FACTOR: u32 = 2;

/// A run is in the tail, too, if it takes this many times the median of its own step's tasks, of which
/// at least half are done.
const STEP_TAIL_FACTOR: u32 = 3;

/// The least time after which a second run starts: the first may end before the second has begun to
/// work.
const MIN_TAIL: Duration = Duration::from_millis(300);

/// The number of second runs that start in one dispatch.
const MAX_STARTS: usize = 4;

/// One in this many short runs may be a second one; two always may.
const MAX_SHARE_DIVISOR: usize = 20;

/// The share of the CPU of a service's workers that second runs leave free, in percent.
const RESERVE_PERCENT: i64 = 15;

/// The least speed of a worker that gets second runs.
const MIN_SPEED: f64 = 0.9;

/// A run in the tail.
struct TailRun {
    name: TaskName,
    service: String,
    step: Step,
    elapsed: Duration,
    tail: Duration,
}

impl Shard {
    /// Starts second runs of tasks whose run is in the tail of its distribution, the most overdue
    /// first; called after all waiting tasks have been offered the room. Does nothing in dispatches
    /// without new estimates, since it looks at all runs.
    pub(super) fn start_second_runs(&mut self, now: Instant) {
        if self.estimated_at != Some(now) {
            return;
        }
        let mut tails = self.tail_runs(now);
        if tails.is_empty() {
            return;
        }
        let short = self.workers.values().flat_map(|w| w.runs.values());
        let short = short.filter(|run| !run.is_long_running).count();
        let second = self.second_runs();
        let limit = (short / MAX_SHARE_DIVISOR).max(2).saturating_sub(second);
        tails.sort_by_key(|run| (Reverse(run.elapsed.saturating_sub(run.tail)), run.name));
        for run in tails.into_iter().take(limit.min(MAX_STARTS)) {
            if !self.has_reserve(&run.service, now) {
                continue;
            }
            let may_use = |w: &Worker| {
                w.current_speed >= MIN_SPEED && !w.is_doubted(now) && !w.is_on_probation(now)
            };
            let worker = self.find_worker(run.name, &run.service, &run.step, may_use, false, now);
            let Some(worker) = worker else {
                continue;
            };
            self.start(&worker, run.name, now);
            self.counts.second_runs += 1;
            log::info!(
                "jobs: task={} worker={worker} second run: elapsed_ms={} tail_ms={}.",
                run.name,
                run.elapsed.as_millis(),
                run.tail.as_millis(),
            );
        }
    }

    /// Returns the number of tasks of open jobs with more than one run.
    fn second_runs(&self) -> usize {
        let jobs = self.jobs.values().filter(|job| job.has_speculative_steps());
        let occurrences = jobs.flat_map(|job| &job.occurrences);
        let tasks = occurrences.flat_map(|o| o.tasks.iter().flatten());
        tasks.map(|t| t.workers.len().saturating_sub(1)).sum()
    }

    /// Returns whether enough CPU of a service's workers is free.
    fn has_reserve(&self, service: &str, now: Instant) -> bool {
        let of_service = |w: &&Worker| w.info.service == service && w.accepts_work(now);
        let workers = self.workers.values().filter(of_service);
        let (free, capacity) = workers.fold((0, 0), |(free, capacity), w| {
            (free + w.free.cpu.max(0), capacity + w.info.capacity.cpu)
        });
        free * 100 >= capacity * RESERVE_PERCENT
    }

    /// Returns the only runs of tasks of speculative steps that are in the tail.
    fn tail_runs(&self, now: Instant) -> Vec<TailRun> {
        let mut tails = Vec::new();
        for (id, job) in &self.jobs {
            let is_open = job.outcome == JobOutcome::Open && !job.moving;
            if !is_open
                || !job.has_speculative_steps()
                || job.spec.needs_approval
                || self.is_held(*id)
            {
                continue;
            }
            let mut limits: HashMap<(u32, u16), Option<Duration>> = HashMap::default();
            for (worker, name) in job.runs(*id) {
                let step = &job.spec.steps[usize::from(name.step)];
                if !step.allows_second_runs() {
                    continue;
                }
                let run = self.workers.get(&worker).and_then(|w| w.runs.get(&name));
                let Some(run) = run.filter(|run| matches!(run.phase, RunPhase::Running(_))) else {
                    continue;
                };
                let task = job.occurrence(name.occurrence);
                let task = task.map(|o| &o.tasks[usize::from(name.step)][name.index as usize]);
                let may_start = task.is_some_and(|t| {
                    !t.done && t.workers.len() == 1 && t.losses.is_none() && t.placement.is_none()
                });
                let limit = limits.entry((name.occurrence, name.step));
                let limit = *limit.or_insert_with(|| {
                    let of_step = job
                        .step_median(&name)
                        .map(|m| (m * STEP_TAIL_FACTOR).max(MIN_TAIL));
                    of_step.or_else(|| self.tail_of(step))
                });
                let elapsed = now.duration_since(run.added_at);
                let Some(tail) = limit.filter(|limit| may_start && elapsed > *limit) else {
                    continue;
                };
                // By its own pace it may end before a second run could.
                let usual = self.run_times.usual(step);
                let remaining = run.pace.mean_percent_time().map(|percent| {
                    percent.mul_f64((100.0 - run.progress_percent).clamp(0.0, 100.0))
                });
                let stands = now.saturating_duration_since(run.progressed_at) > usual;
                if remaining.is_none_or(|left| left > usual) || stands {
                    tails.push(TailRun {
                        name,
                        service: job.spec.service.clone(),
                        step: step.clone(),
                        elapsed,
                        tail,
                    });
                }
            }
        }
        tails
    }

    /// Returns the run time from which on a run of a step is in the tail of its distribution; `None` if
    /// too few tasks have ended.
    fn tail_of(&self, step: &Step) -> Option<Duration> {
        let tail = self.run_times.quantile(step, TAIL_QUANTILE)?;
        let median = self.run_times.quantile(step, 0.5)?;
        Some(tail.max(median * TAIL_FACTOR).max(MIN_TAIL))
    }
}
