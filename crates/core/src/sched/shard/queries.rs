//! What the leader tells callers and other instances about a shard: states of jobs, counts and loads.

use {
    super::state::{ServiceLoad, Shard},
    crate::{
        hash::HashMap,
        sched::{
            job::JobId,
            progress::{JobOutcome, JobState},
        },
    },
};

impl Shard {
    /// Returns a job's state; a final state is reported only once it is stored.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        if let Some((outcome, _)) = self.finished.get(&id) {
            return Some(state_of(*outcome, true));
        }
        let job = self.jobs.get(&id)?;
        Some(state_of(job.stored_outcome, job.started))
    }

    /// Returns the number of jobs that have not started, by queue; scheduled jobs don't count.
    pub fn pending(&self) -> HashMap<String, u32> {
        let mut pending = HashMap::default();
        for job in self.jobs.values() {
            if !job.started && job.outcome == JobOutcome::Open && job.spec.occurrences == 0 {
                *pending.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// Returns the load of this shard, by service.
    pub fn loads(&self) -> HashMap<String, ServiceLoad> {
        // By service: the capacity, and the CPU requested by tasks that reserve it and by
        // best-effort tasks, in thousandths of a core.
        let mut sums: HashMap<&str, (i64, i64, i64)> = HashMap::default();
        for worker in self.workers.values().filter(|w| w.listed) {
            let sum = sums.entry(&worker.info.service).or_default();
            sum.0 += worker.info.capacity.cpu;
        }
        for job in self.jobs.values().filter(|j| j.outcome == JobOutcome::Open) {
            let sum = sums.entry(&job.spec.service).or_default();
            let (reserved, best_effort) = job.demand();
            sum.1 = sum.1.saturating_add(reserved);
            sum.2 = sum.2.saturating_add(best_effort);
        }
        let load = |(capacity, reserved, best_effort): (i64, i64, i64)| {
            let share = |requested: i64| match capacity {
                0 => u32::MAX,
                _ => u32::try_from(requested.saturating_mul(1_000) / capacity).unwrap_or(u32::MAX),
            };
            ServiceLoad {
                reserved: share(reserved),
                best_effort: share(best_effort),
            }
        };
        let loads = sums.into_iter();
        loads.map(|(s, sum)| (s.to_owned(), load(sum))).collect()
    }
}

fn state_of(outcome: JobOutcome, started: bool) -> JobState {
    match outcome {
        JobOutcome::Open if started => JobState::Running,
        JobOutcome::Open => JobState::Queued,
        JobOutcome::Completed => JobState::Completed,
        JobOutcome::Failed => JobState::Failed,
        JobOutcome::Cancelled => JobState::Cancelled,
    }
}
