//! Approvals of the workers that may run a step, where its queue needs them.

use {
    super::state::{Approvals, Command, Shard},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// How long an unanswered question for approvals blocks the next.
const ADVICE_PATIENCE: Duration = Duration::from_millis(1_500);

/// The most workers in one question for approvals.
const ADVICE_WORKERS: usize = 30;

/// What an approval must still be valid for when it is used.
const ADVICE_RESERVE: Duration = Duration::from_millis(150);

impl Shard {
    /// Takes in the workers that may run a step, with their tickets.
    pub fn on_approvals(
        &mut self,
        task: TaskName,
        rows: &[(String, String)],
        valid: Duration,
        now: Instant,
    ) {
        let started_ms = |id: &str| self.workers.get(id).map_or(0, |w| w.info.started_ms);
        let by_worker = rows
            .iter()
            .map(|(id, approval)| (id.clone(), (approval.clone(), started_ms(id))));
        let approvals = Approvals {
            by_worker: by_worker.collect(),
            until: Some(now + valid),
            requested_at: None,
        };
        let key = (task.job, task.occurrence, task.step);
        if self.is_active_job(task.job) {
            self.approvals.insert(key, approvals);
            self.changed = true;
        }
    }

    /// Returns whether a step has valid approvals, and asks for them if not.
    pub(super) fn is_approved(&mut self, name: TaskName, service: &str, now: Instant) -> bool {
        let key = (name.job, name.occurrence, name.step);
        let approvals = self.approvals.entry(key).or_default();
        if approvals
            .until
            .is_some_and(|until| until > now + ADVICE_RESERVE)
        {
            return true;
        }
        let waits = |at: Instant| now.duration_since(at) < ADVICE_PATIENCE;
        if approvals.requested_at.is_some_and(waits) {
            return false;
        }
        approvals.requested_at = Some(now);
        approvals.by_worker.clear();
        let open = self
            .workers
            .values()
            .filter(|w| w.info.service == service && w.accepts_work(now));
        let mut workers: Vec<_> = open.map(|w| (-w.free.cpu, w.info.id.clone())).collect();
        workers.sort();
        workers.truncate(ADVICE_WORKERS);
        let workers = workers.into_iter().map(|(_, id)| id).collect();
        self.commands.push(Command::RequestApprovals {
            task: name,
            workers,
        });
        false
    }
}
