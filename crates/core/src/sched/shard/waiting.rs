//! Which waiting job gets resources first.
//!
//! Priorities come first. Within one, each rule answers a pattern of load:
//!
//! - *Long-running jobs keep coming while the workers are nearly full.* A room that a long-running
//!   task gets is lost to short tasks for the rest of the day, while one that a short task gets is
//!   free again within seconds. So of these two kinds the one that has reserved less CPU of its
//!   service comes first (max-min fairness): short work is served up to half of the workers, and
//!   long-running work always gets the other half.
//! - *Workers are drained, or tasks fail, while the rest are full.* Jobs of which a long-running task
//!   waits that has run before come before all others, since its room is gone if anything else takes
//!   it. Of other long-running jobs the oldest comes first. Where short work may displace long-running
//!   tasks (see the module `displacement`), they come first among long-running jobs only, as they
//!   would else take back the room that was made.
//! - *Short work alone exceeds the workers.* Jobs that can be in time come first, then late ones, then
//!   those of no use any more. Of these the one with the least remaining work comes first, which
//!   serves the most jobs.
//! - *Large jobs are starved by that.* While they are, their oldest job comes first; see
//!   [`size_fairness`](crate::sched::size_fairness).
//! - *Room is free in pieces that are too small.* The first job in this order that fits nowhere holds
//!   back workers, for a limited time, until their short runs have ended (EASY backfill, which
//!   reserves for the head of the queue only). Long-running jobs hold back none unless their kind
//!   comes first: each of them would take a worker away from short work for good.

use {
    super::{
        jobs::Lateness,
        state::{Job, Shard},
    },
    crate::{
        hash::HashMap,
        sched::{
            job::{JobId, Step, TaskName},
            placement::reserved,
            progress::JobOutcome,
        },
    },
    std::time::{Duration, Instant},
};

/// How long a job of which no task starts may hold back workers. The platform reports a violation if
/// a long-running task waits beside free resources for 3 s.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// One in this many workers may be held back at a time.
const HELD_BACK_DIVISOR: usize = 16;

/// The CPU of a service's workers that each kind of task has reserved, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReservedCpu {
    pub long_running: i64,
    pub short: i64,
}

/// The place of a job among those of its priority; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    /// Whether no long-running task of the job waits that has run before.
    is_not_displaced: bool,
    /// Whether the job is of the kind that comes second.
    is_second_kind: bool,
    /// Whether the job is not brought forward because jobs of its size are starved.
    is_not_brought_forward: bool,
    /// Always in time for long-running jobs.
    lateness: Lateness,
    /// Zero for long-running jobs.
    remaining_work: u64,
    accepted_at: Instant,
    id: JobId,
}

impl Shard {
    /// Returns the jobs to dispatch, in order.
    ///
    /// Inherited jobs, which an earlier leader may have started, are left out while a worker that
    /// has sent no report may still have runs of that leader, unless it is known of a waiting task
    /// where its run was.
    pub(super) fn dispatch_order(&mut self, now: Instant) -> Vec<JobId> {
        self.count_useless_jobs(now);
        self.has_unknown_runs = self.may_have_unknown_runs(now);
        let has_unknown_runs = self.has_unknown_runs;
        let jobs = self.jobs.iter().filter(|(_, job)| {
            job.outcome == JobOutcome::Open
                && !(job.inherited && has_unknown_runs && !job.has_located_tasks())
                && job.needs_dispatch()
        });
        if self.params.cost_of_delay {
            let ids: Vec<_> = jobs.map(|(id, _)| *id).collect();
            return self.order_by_delay_cost(&ids, now);
        }
        let reserved_cpu = self.reserved_cpu();
        let brought_forward = self.jobs_brought_forward(1, now);
        let short_may_displace = self.params.displace_long_running;
        let mut order: Vec<_> = jobs
            .map(|(id, job)| {
                let is_long_running = job.is_long_running();
                let reserved = reserved_cpu.get(job.spec.service.as_str());
                let long_running_first = reserved.is_some_and(|r| r.long_running < r.short);
                let lateness = if is_long_running {
                    Lateness::InTime
                } else {
                    job.lateness(now)
                };
                let is_second_kind = is_long_running != long_running_first;
                let is_displaced = is_long_running && job.has_displaced_tasks();
                let is_brought_forward =
                    brought_forward.contains(id) || (short_may_displace && is_displaced);
                let place = Place {
                    is_not_displaced: !is_displaced
                        || (short_may_displace && is_second_kind && !job.has_task_away(now)),
                    is_second_kind,
                    is_not_brought_forward: !is_brought_forward,
                    lateness,
                    remaining_work: if is_long_running {
                        0
                    } else {
                        job.remaining_work()
                    },
                    accepted_at: job.accepted_at,
                    id: *id,
                };
                (job.spec.priority, place)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, place)| place.id).collect()
    }

    /// Returns what each kind of task has reserved, by service.
    pub(super) fn reserved_cpu(&self) -> HashMap<&str, ReservedCpu> {
        let mut sums: HashMap<&str, ReservedCpu> = HashMap::default();
        for worker in self.workers.values() {
            let sum = sums.entry(&worker.info.service).or_default();
            let reserved = worker.info.capacity.cpu - worker.free.cpu;
            sum.long_running += worker.long_running_cpu;
            sum.short += reserved - worker.long_running_cpu;
        }
        sums
    }

    /// Counts the short jobs that have become useless to their callers since the last dispatch.
    fn count_useless_jobs(&mut self, now: Instant) {
        for job in self.jobs.values_mut() {
            if job.is_counted || job.outcome != JobOutcome::Open || job.is_long_running() {
                continue;
            }
            if job.lateness(now) == Lateness::TooLate {
                job.is_counted = true;
                let fairness = self.size_fairness.entry(job.spec.queue.clone());
                fairness.or_default().count(job.total_work(), false);
            }
        }
    }

    /// Counts a job that ended as completed, unless it was useless to its caller by then.
    pub(super) fn count_served_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_counted || job.is_long_running() {
            return;
        }
        job.is_counted = true;
        let fairness = self.size_fairness.entry(job.spec.queue.clone());
        fairness.or_default().count(job.total_work(), true);
    }

    /// Returns the jobs that come first because jobs of their size are starved: of each queue with
    /// such a size the `count` oldest ones that are of use to their callers.
    pub(super) fn jobs_brought_forward(&self, count: usize, now: Instant) -> Vec<JobId> {
        let queues = self.size_fairness.iter();
        let neglected = queues.filter_map(|(queue, f)| Some((queue, f, f.neglected_band()?)));
        let oldest = neglected.flat_map(|(queue, fairness, band)| {
            let jobs = self.jobs.iter().filter(|(_, job)| {
                job.spec.queue == *queue
                    && job.outcome == JobOutcome::Open
                    && !job.is_long_running()
                    && job.needs_dispatch()
                    && fairness.band(job.total_work()) == band
                    && job.lateness(now) == Lateness::InTime
            });
            let mut oldest: Vec<_> = jobs.map(|(id, job)| (job.accepted_at, *id)).collect();
            oldest.sort_unstable();
            oldest.into_iter().take(count).map(|(_, id)| id)
        });
        oldest.collect()
    }

    /// Holds back workers for the startable tasks of a step that fit on no worker, if its job is the
    /// first such job in this dispatch.
    pub(super) fn hold_back_workers(
        &mut self,
        name: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) {
        let is_first = self.held_back_for.is_none_or(|id| id == name.job);
        if !is_first || step.best_effort {
            return;
        }
        if step.long_running && !self.long_running_first(service) {
            return;
        }
        let is_held = self.is_held(name.job);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        if self.params.displace_long_running && job.lateness(now) != Lateness::InTime {
            // Long-running tasks that were displaced or lost would wait beside the room.
            return;
        }
        let held_since = *job.held_since.get_or_insert(now);
        if now.duration_since(held_since) >= MAX_HOLD {
            return;
        }
        let occurrence = job.occurrence(name.occurrence);
        let tasks = occurrence.and_then(|o| o.tasks.get(usize::from(name.step)));
        let startable = tasks.map_or(0, |tasks| {
            let startable = tasks.iter().filter(|t| t.is_startable(is_held, now));
            startable.count()
        });
        if self.params.displace_long_running {
            // Each start of a displaced task's room resets the limit of the job, so that room could stay
            // free beside long-running tasks for longer than they may wait.
            let since = *self.holding_since.get_or_insert(now);
            if now.duration_since(since) >= MAX_HOLD {
                return;
            }
        }
        self.held_back_for = Some(name.job);
        let max_held_back = self.workers.len() / HELD_BACK_DIVISOR + 1;
        for _ in 0..startable.min(max_held_back) {
            if !self.hold_back_worker(name, service, step, now) {
                return;
            }
        }
    }

    /// Returns whether long-running work of a service has reserved less CPU than short work.
    fn long_running_first(&self, service: &str) -> bool {
        let reserved = self.reserved_cpu();
        let reserved = reserved.get(service);
        reserved.is_some_and(|r| r.long_running < r.short)
    }

    /// Holds back a worker on which a task will fit once the worker's short runs have ended: in the
    /// rest of this dispatch, only best-effort tasks start there. Returns whether there is one.
    fn hold_back_worker(
        &mut self,
        name: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) -> bool {
        let request = reserved(step);
        let candidates = self.workers.values().filter_map(|w| {
            if w.info.service != service || !w.accepts_work(now) || w.runs.contains_key(&name) {
                return None;
            }
            if self.held_back_workers.contains(&w.info.id) {
                return None;
            }
            let mut free = w.free;
            for run in w.runs.values().filter(|run| !run.is_long_running) {
                free.add(&run.reserved);
            }
            let fits = free.covers(&request) && self.is_eligible(w, name, step);
            fits.then_some((w.free.cpu, &w.info.id))
        });
        let Some((_, id)) = candidates.max() else {
            return false;
        };
        let id = id.clone();
        self.held_back_workers.insert(id)
    }
}

impl Job {
    /// Returns whether the job has a long-running step.
    pub(super) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether a long-running task of the job waits that has run before, under this leader
    /// or an earlier one.
    pub(super) fn has_displaced_tasks(&self) -> bool {
        let may_have_run = self.inherited && self.started;
        let steps = self.occurrences.iter().flat_map(|occurrence| {
            let steps = self.spec.steps.iter().zip(&occurrence.tasks);
            steps.filter(|(step, _)| step.long_running)
        });
        let mut tasks = steps.flat_map(|(_, tasks)| tasks);
        tasks.any(|t| t.workers.is_empty() && (t.attempt > 0 || may_have_run))
    }

    /// Returns the work of one occurrence according to the caller's estimates, in thousandths of a
    /// core times milliseconds.
    pub(super) fn total_work(&self) -> u64 {
        let counts = self.spec.steps.iter().map(|step| step.count);
        self.work_of(counts)
    }
}
