//! The order of waiting jobs by cost of delay, where a deployment asks for it.
//!
//! Priorities come first. Within one, a short job's cost of delay is what its caller loses by the
//! second for each core that the job doesn't get: the share of its value that it can still have,
//! divided by its work, and less the more time it has left ([`URGENCY`]). So the job comes first that
//! brings most for the CPU that it takes and can't wait, and those of no use come last.
//!
//! These rules come before the cost, since it can't express them:
//!
//! - *No accepted job waits without bound.* Of the jobs of a service that have been of no use for
//!   [`MAX_USELESS_WAIT`], the oldest comes first; one in [`OVERDUE_INTERVAL`], so that they take
//!   little from jobs that can be in time.
//! - *No long-running task stays away.* A task whose last run ended [`MAX_TIME_AWAY`] ago takes the next
//!   room in which it fits. The room that short tasks leave is taken by the next ones, so that it would
//!   else wait for as long as there are any.
//! - *Neither kind of work takes the other's half.* Of long-running and short work, the one that has
//!   reserved less of its service comes first. Long-running jobs that compete by their cost take back
//!   the room that was made for short work whenever only late jobs wait, and are stopped again for the
//!   next ones.
//! - *No queue pays for another's burst*; see the module `queue_shares`.
//! - *No size of a queue is starved*; see [`size_fairness`](crate::sched::size_fairness).

use {
    super::{
        jobs::Lateness,
        state::{Job, Shard},
    },
    crate::{
        hash::{HashMap, HashSet},
        sched::job::JobId,
    },
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// How long a job may wait after it has become useless before it comes first.
const MAX_USELESS_WAIT: Duration = Duration::from_secs(10);

/// The minimum time between two such jobs of a service.
const OVERDUE_INTERVAL: Duration = Duration::from_secs(2);

/// How long after its last run a long-running task comes first. The platform reports a violation if,
/// 6 s after that, there has been room for it that other tasks took; several tasks may wait for one
/// room, and a dispatch and a start take time as well.
const MAX_TIME_AWAY: Duration = Duration::from_millis(5_000);

/// What a late job is worth, in percent of one in time. The callers' credit is so.
const LATE_VALUE_PERCENT: u8 = 15;

/// The slack at which the cost of delay is 1/e of that of a job which must start now. In the simulated
/// fleet, 1.5 s left more jobs useless, and 0.5 s gave fewer jobs in time at twice the load.
const URGENCY: Duration = Duration::from_secs(1);

/// How many jobs of a starved size come first at a time. The default order makes do with one, since it
/// does not let other jobs pass that have little time left.
const BROUGHT_FORWARD: usize = 2;

/// The cost of delay of a job that is worth its full value, has as much work as the mean of its queue
/// and must start now.
const UNIT_COST: f64 = 1e9;

/// The rule by which a job comes before others of its priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rule {
    Overdue,
    Away,
    FirstKind,
    SecondKind,
}

/// The place of a job among those of its priority; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    rule: Rule,
    /// Whether queues have less than their shares and the job is either not of one of them or can't be
    /// in time; false for long-running jobs.
    is_above_share: bool,
    /// Whether the job neither has a size that is starved nor, if it is long-running, a task that has
    /// run before.
    is_not_brought_forward: bool,
    /// Zero for long-running jobs.
    cost: Reverse<u64>,
    accepted_at: Instant,
    id: JobId,
}

/// The useless jobs that come first.
#[derive(Debug, Default)]
pub(super) struct OverdueJobs {
    /// By service: the job, and since when it comes first.
    first: HashMap<String, (JobId, Instant)>,
}

impl Shard {
    /// Returns the given jobs in the order in which they are served.
    pub(super) fn order_by_delay_cost(&mut self, ids: &[JobId], now: Instant) -> Vec<JobId> {
        self.update_overdue_jobs(ids, now);
        let overdue = self.overdue_jobs.first.values();
        let overdue: HashSet<_> = overdue.map(|(id, _)| *id).collect();
        let reserved_cpu = self.reserved_cpu();
        let brought_forward = self.jobs_brought_forward(BROUGHT_FORWARD, now);
        let jobs = ids.iter().filter_map(|id| {
            let job = self.jobs.get(id)?;
            Some((*id, job, job.is_long_running(), job.slack_ms(now)))
        });
        let jobs: Vec<_> = jobs.collect();
        let in_time = jobs.iter().filter(|(_, job, is_long_running, slack_ms)| {
            !is_long_running && job.lateness_at(*slack_ms) == Lateness::InTime
        });
        let below_share = self.queues_below_share(in_time.map(|(_, job, ..)| *job));
        let place = |(id, job, is_long_running, slack_ms): (JobId, &Job, bool, Option<i64>)| {
            let reserved = reserved_cpu.get(job.spec.service.as_str());
            let long_running_first = reserved.is_some_and(|r| r.long_running < r.short);
            let rule = match is_long_running == long_running_first {
                _ if overdue.contains(&id) => Rule::Overdue,
                _ if is_long_running && job.has_task_away(now) => Rule::Away,
                true => Rule::FirstKind,
                false => Rule::SecondKind,
            };
            let cost = if is_long_running {
                0
            } else {
                let fairness = self.size_fairness.get(&job.spec.queue);
                job.cost_of_delay(fairness.map_or(0.0, |f| f.mean_work()), slack_ms)
            };
            let is_below_share = below_share.contains(&job.queue_key())
                && job.lateness_at(slack_ms) == Lateness::InTime;
            let is_brought_forward =
                brought_forward.contains(&id) || (is_long_running && job.has_displaced_tasks());
            let place = Place {
                rule,
                is_not_brought_forward: !is_brought_forward,
                is_above_share: !is_long_running && !below_share.is_empty() && !is_below_share,
                cost: Reverse(cost),
                accepted_at: job.accepted_at,
                id,
            };
            (job.spec.priority, place)
        };
        let mut order: Vec<_> = jobs.into_iter().map(place).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, place)| place.id).collect()
    }

    /// Chooses the job of each service that comes first because it has been useless for
    /// [`MAX_USELESS_WAIT`]. It stays the first while it waits.
    fn update_overdue_jobs(&mut self, ids: &[JobId], now: Instant) {
        let mut oldest: HashMap<&str, (Instant, JobId)> = HashMap::default();
        for id in ids {
            let job = self.jobs.get(id);
            let Some(job) = job.filter(|job| job.is_overdue(now)) else {
                continue;
            };
            let key = (job.accepted_at, *id);
            let first = oldest.entry(&job.spec.service).or_insert(key);
            *first = (*first).min(key);
        }
        for (service, (_, id)) in oldest {
            let last = self.overdue_jobs.first.get(service);
            let is_due = last.is_none_or(|(last, since)| {
                !ids.contains(last) && now.duration_since(*since) >= OVERDUE_INTERVAL
            });
            if is_due {
                log::info!("jobs: job={id} comes first, it is of no use for long.");
                let first = &mut self.overdue_jobs.first;
                first.insert(service.to_owned(), (id, now));
            }
        }
    }
}

impl Job {
    /// Returns whether the last run of any of the job's tasks ended [`MAX_TIME_AWAY`] ago.
    pub(super) fn has_task_away(&self, now: Instant) -> bool {
        let mut tasks = self
            .occurrences
            .iter()
            .flat_map(|o| o.tasks.iter().flatten());
        tasks.any(|task| {
            let idle_since = task.idle_since.filter(|_| !task.done);
            idle_since.is_some_and(|at| now.duration_since(at) >= MAX_TIME_AWAY)
        })
    }

    /// Returns whether the job has been useless to its caller for [`MAX_USELESS_WAIT`].
    fn is_overdue(&self, now: Instant) -> bool {
        let before = now.checked_sub(MAX_USELESS_WAIT);
        let before = before.filter(|before| *before >= self.accepted_at);
        !self.is_long_running()
            && before.is_some_and(|before| self.lateness(before) == Lateness::TooLate)
    }

    /// Returns the cost of delay of a short job, whose queue's jobs have `mean_work`; zero if it is of
    /// no use any more.
    fn cost_of_delay(&self, mean_work: f64, slack_ms: Option<i64>) -> u64 {
        let value = match self.lateness_at(slack_ms) {
            Lateness::InTime => 1.0,
            Lateness::Late => f64::from(LATE_VALUE_PERCENT) / 100.0,
            Lateness::TooLate => return 0,
        };
        let slack_ms = slack_ms.unwrap_or(0).max(0) as f64;
        let urgency = (-slack_ms / URGENCY.as_millis() as f64).exp();
        let relative_work = self.remaining_work().max(1) as f64 / mean_work.max(1.0);
        (UNIT_COST * value * urgency / relative_work) as u64
    }
}
