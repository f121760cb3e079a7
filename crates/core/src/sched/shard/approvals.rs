//! Approvals: some queues require an approval for each worker before it may run tasks of a step.

use {
    super::state::{Approvals, Command, Shard},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// How long a request for approvals waits for an answer before the next request is queued.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of workers in one request for approvals.
const MAX_APPROVAL_WORKERS: usize = 30;

/// Approvals that remain valid for less than this are not used.
const MIN_APPROVAL_VALIDITY: Duration = Duration::from_millis(150);

impl Shard {
    /// Records the approvals for a step, which stay valid for `valid_for` from `now`.
    ///
    /// Each of `rows` is a worker id and the approval for that worker.
    pub fn on_approvals(
        &mut self,
        task: TaskName,
        rows: &[(String, String)],
        valid_for: Duration,
        now: Instant,
    ) {
        let started_ms = |id: &str| self.workers.get(id).map_or(0, |w| w.info.started_ms);
        let by_worker = rows
            .iter()
            .map(|(id, approval)| (id.clone(), (approval.clone(), started_ms(id))));
        let approvals = Approvals {
            by_worker: by_worker.collect(),
            valid_until: Some(now + valid_for),
            requested_at: None,
        };
        let key = (task.job, task.occurrence, task.step);
        if self.is_active_job(task.job) {
            self.approvals.insert(key, approvals);
            self.changed = true;
        }
    }

    /// Returns whether a step has valid approvals; if not, queues a request for them, unless one is
    /// pending.
    pub(super) fn is_approved(&mut self, name: TaskName, service: &str, now: Instant) -> bool {
        let key = (name.job, name.occurrence, name.step);
        let approvals = self.approvals.entry(key).or_default();
        if approvals
            .valid_until
            .is_some_and(|until| until > now + MIN_APPROVAL_VALIDITY)
        {
            return true;
        }
        let is_pending = |at: Instant| now.duration_since(at) < APPROVAL_TIMEOUT;
        if approvals.requested_at.is_some_and(is_pending) {
            return false;
        }
        approvals.requested_at = Some(now);
        approvals.by_worker.clear();
        let candidates = self
            .workers
            .values()
            .filter(|w| w.info.service == service && w.accepts_work(now));
        let mut workers: Vec<_> = candidates
            .map(|w| (-w.free.cpu, w.info.id.clone()))
            .collect();
        workers.sort();
        workers.truncate(MAX_APPROVAL_WORKERS);
        let workers = workers.into_iter().map(|(_, id)| id).collect();
        self.commands.push(Command::RequestApprovals {
            task: name,
            workers,
        });
        false
    }
}
