//! Shares of queues: when short work demands more CPU than it has, each queue is entitled to an equal
//! share, and a queue that demands less lends the rest to the others (see
//! [`shares`](crate::sched::shares)).
//!
//! A queue stands for an organisation. The jobs that can be in time of queues that have less than
//! their share come before all others, so that one queue's burst waits for its own jobs only. Nothing
//! is held back for a queue that demands nothing.

use {
    super::state::{Job, Shard},
    crate::{
        hash::{HashMap, HashSet},
        sched::shares::{Demand, fair_shares},
    },
};

/// The weight of each queue. The configuration states none.
const QUEUE_WEIGHT: i64 = 1;

/// A queue's use of a service's workers.
type QueueKey<'a> = (&'a str, &'a str);

/// The CPU that the short work of a queue has and demands, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct QueueCpu {
    reserved: i64,
    waiting: i64,
}

impl Shard {
    /// Returns the services and queues whose jobs come first among those that can be in time: those
    /// that have less than their share. Empty if only one queue has such jobs.
    ///
    /// `in_time` are the waiting short jobs that can be in time.
    pub(super) fn queues_below_share<'a>(
        &'a self,
        in_time: impl Iterator<Item = &'a Job>,
    ) -> HashSet<QueueKey<'a>> {
        let mut waiting: HashMap<QueueKey<'_>, i64> = HashMap::default();
        for job in in_time {
            *waiting.entry(job.queue_key()).or_default() += job.waiting_cpu();
        }
        if waiting.len() <= 1 {
            return HashSet::default();
        }
        let mut queues = self.reserved_by_queue();
        for (key, cpu) in waiting {
            queues.entry(key).or_default().waiting = cpu;
        }
        let mut services: HashMap<&str, Vec<(QueueKey<'_>, QueueCpu)>> = HashMap::default();
        for (key, cpu) in queues {
            services.entry(key.0).or_default().push((key, cpu));
        }
        let mut below = HashSet::default();
        for queues in services.values().filter(|queues| queues.len() > 1) {
            let room = queues.iter().map(|(_, cpu)| cpu.reserved).sum();
            let demand = |(_, cpu): &(_, QueueCpu)| Demand {
                amount: cpu.reserved + cpu.waiting,
                weight: QUEUE_WEIGHT,
            };
            let demands: Vec<_> = queues.iter().map(demand).collect();
            let shares = fair_shares(&demands, room);
            let with_shares = queues.iter().zip(shares);
            let is_below = with_shares.filter(|((_, cpu), share)| cpu.reserved < *share);
            below.extend(is_below.map(|((key, _), _)| *key));
        }
        below
    }

    /// Returns the CPU that the short runs of each service and queue have reserved.
    fn reserved_by_queue(&self) -> HashMap<QueueKey<'_>, QueueCpu> {
        let mut queues: HashMap<QueueKey<'_>, QueueCpu> = HashMap::default();
        let runs = self.workers.values().flat_map(|w| &w.runs);
        for (name, run) in runs.filter(|(_, run)| !run.is_long_running && run.reserved.cpu > 0) {
            if let Some(job) = self.jobs.get(&name.job) {
                queues.entry(job.queue_key()).or_default().reserved += run.reserved.cpu;
            }
        }
        queues
    }
}

impl Job {
    /// Returns the job's service and queue.
    pub(super) fn queue_key(&self) -> QueueKey<'_> {
        (&self.spec.service, &self.spec.queue)
    }

    /// Returns the CPU that the waiting tasks of ready steps would reserve, in thousandths of a core.
    fn waiting_cpu(&self) -> i64 {
        let of_occurrence = |occurrence: &super::state::Occurrence| {
            let steps = self.spec.steps.iter().enumerate();
            let ready =
                steps.filter(|(i, step)| !step.best_effort && occurrence.is_ready(*i, step));
            let cpu = ready.map(|(i, step)| {
                let tasks = occurrence.tasks[i].iter();
                let waiting = tasks.filter(|t| !t.done && t.workers.is_empty());
                waiting.count() as i64 * step.request.cpu
            });
            cpu.sum::<i64>()
        };
        let added: i64 = self.occurrences.iter().map(of_occurrence).sum();
        added + self.unadded_cpu(|step| !step.best_effort && step.after.is_empty())
    }
}
