//! What waits and what is free, for the log and the metrics.

use {
    super::{
        jobs::Lateness,
        state::{Job, Shard},
    },
    crate::sched::{
        job::{Resources, Step},
        placement::reserved,
        progress::JobOutcome,
    },
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// A kind of work. Tasks of one kind compete for the same resources in the same way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Tasks that run until their job is cancelled.
    LongRunning,
    /// Tasks that end by themselves and reserve the CPU that they request.
    Short,
    /// Tasks that use the CPU that others leave unused.
    BestEffort,
}

impl WorkKind {
    /// All kinds, in the order of [`Summary::waiting`].
    pub const ALL: [Self; 3] = [Self::LongRunning, Self::Short, Self::BestEffort];

    /// Returns the kind's name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LongRunning => "long",
            Self::Short => "short",
            Self::BestEffort => "fill",
        }
    }

    pub(super) fn of(step: &Step) -> Self {
        if step.long_running {
            Self::LongRunning
        } else if step.best_effort {
            Self::BestEffort
        } else {
            Self::Short
        }
    }
}

/// The tasks of one kind that may start but have no run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waiting {
    /// The jobs of these tasks.
    pub jobs: u32,
    /// Those among [`jobs`](Self::jobs) that can't end any more while they are of use to their
    /// callers; never long-running ones.
    pub too_late_jobs: u32,
    /// The number of tasks.
    pub tasks: u32,
    /// Those among [`tasks`](Self::tasks) that have run before.
    pub displaced_tasks: u32,
    /// The CPU that the tasks request, in thousandths of a core.
    pub cpu: i64,
    /// How long ago the oldest of the jobs was accepted.
    pub oldest: Duration,
    /// The largest request of any of the tasks, by CPU.
    pub largest: Resources,
}

/// What waits in a shard and what is free there. CPU is in thousandths of a core; only workers that
/// accept work count.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The known workers, whether they accept work or not.
    pub workers: usize,
    /// The workers that accept work.
    pub open_workers: usize,
    /// The workers that get no new tasks because of failed or stuck runs.
    pub ejected_workers: usize,
    /// The workers that come last because they are slow or may hang.
    pub slow_workers: usize,
    /// The jobs that are open, or whose outcome is not stored yet.
    pub jobs: usize,
    /// The capacity.
    pub capacity_cpu: i64,
    /// The CPU that is not reserved.
    pub free_cpu: i64,
    /// The CPU that long-running tasks have reserved.
    pub long_running_cpu: i64,
    /// The CPU that serving tasks have reserved; most of them are long-running.
    pub serving_cpu: i64,
    /// The CPU that best-effort tasks have requested.
    pub best_effort_cpu: i64,
    /// The CPU that best-effort tasks use.
    pub best_effort_used: f64,
    /// The waiting tasks, by kind in the order of [`WorkKind::ALL`].
    pub waiting: [Waiting; 3],
    /// How many tasks with the largest waiting request of a kind that reserves CPU fit now, by kind
    /// in the order of [`WorkKind::ALL`].
    pub places: [i64; 3],
    /// The long-running tasks that were stopped for short work and don't run again yet.
    pub displaced_for_short: usize,
    /// How many tasks this leader has stopped for short work.
    pub displacements: u64,
    /// Whether runs of an earlier leader may be unknown; see the module `leases`.
    pub may_have_unknown_runs: bool,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "workers={} open={} jobs={} cpu={} free={} long={} serving={} filling={} fill_used={:.0}",
            self.workers,
            self.open_workers,
            self.jobs,
            self.capacity_cpu,
            self.free_cpu,
            self.long_running_cpu,
            self.serving_cpu,
            self.best_effort_cpu,
            self.best_effort_used,
        )?;
        for ((kind, waiting), places) in WorkKind::ALL.iter().zip(&self.waiting).zip(self.places) {
            let kind = kind.name();
            write!(
                f,
                " {kind}_waiting={} {kind}_jobs={} {kind}_too_late={} {kind}_displaced={} {kind}_oldest_ms={} {kind}_largest={} {kind}_places={places}",
                waiting.cpu,
                waiting.jobs,
                waiting.too_late_jobs,
                waiting.displaced_tasks,
                waiting.oldest.as_millis(),
                waiting.largest.cpu,
            )?;
        }
        write!(
            f,
            " displaced_for_short={} displacements={} ejected={} slow={} unsure={}",
            self.displaced_for_short,
            self.displacements,
            self.ejected_workers,
            self.slow_workers,
            self.may_have_unknown_runs
        )
    }
}

impl Shard {
    /// Returns what waits and what is free.
    pub fn summary(&self, now: Instant) -> Summary {
        let mut summary = Summary {
            workers: self.workers.len(),
            ejected_workers: self.ejected_workers(now).count(),
            slow_workers: self.slow_workers(now),
            jobs: self.jobs.len(),
            displaced_for_short: self.displaced_count(),
            displacements: self.displacement_count(),
            may_have_unknown_runs: self.may_have_unknown_runs(now),
            ..Summary::default()
        };
        for job in self.jobs.values() {
            if job.outcome == JobOutcome::Open {
                job.add_waiting(&mut summary.waiting, now);
            }
        }
        let largest = summary.waiting.map(|waiting| waiting.largest);
        for worker in self.workers.values().filter(|w| w.accepts_work(now)) {
            summary.open_workers += 1;
            summary.capacity_cpu += worker.info.capacity.cpu;
            summary.free_cpu += worker.free.cpu;
            summary.long_running_cpu += worker.long_running_cpu;
            summary.serving_cpu += worker.serving_cpu;
            summary.best_effort_cpu += worker.best_effort_cpu;
            let shares = worker.pressure.shares().iter();
            summary.best_effort_used +=
                shares.map(|(_, s)| s).sum::<f64>() * worker.info.capacity.cpu as f64;
            for (places, request) in summary.places.iter_mut().zip(&largest) {
                *places += request.places_in(&worker.free);
            }
        }
        summary
    }
}

impl Job {
    /// Adds the job's waiting tasks to those of each kind.
    fn add_waiting(&self, waiting: &mut [Waiting; 3], now: Instant) {
        let mut has_kind = [false; 3];
        for occurrence in &self.occurrences {
            for (i, step) in self.spec.steps.iter().enumerate() {
                if !occurrence.is_ready(i, step) {
                    continue;
                }
                let tasks = occurrence.tasks[i].iter();
                let tasks: Vec<_> = tasks.filter(|t| !t.done && t.workers.is_empty()).collect();
                if tasks.is_empty() {
                    continue;
                }
                let kind = WorkKind::of(step) as usize;
                has_kind[kind] = true;
                let waiting = &mut waiting[kind];
                waiting.tasks += tasks.len() as u32;
                waiting.displaced_tasks += tasks.iter().filter(|t| t.attempt > 0).count() as u32;
                waiting.cpu += tasks.len() as i64 * step.request.cpu;
                if step.request.cpu > waiting.largest.cpu {
                    waiting.largest = reserved(step);
                }
            }
        }
        let is_too_late = self.lateness(now) == Lateness::TooLate;
        let kinds = waiting.iter_mut().zip(WorkKind::ALL).zip(has_kind);
        for ((waiting, kind), _) in kinds.filter(|(_, has_kind)| *has_kind) {
            waiting.jobs += 1;
            waiting.too_late_jobs += u32::from(is_too_late && kind != WorkKind::LongRunning);
            let age = now.duration_since(self.accepted_at);
            waiting.oldest = waiting.oldest.max(age);
        }
    }
}
