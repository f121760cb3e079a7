//! The transactions that keep the table in step with memory, one at a time.

use {
    super::{
        actor::{Committed, Jobs, RowReread, SubmitOutcome},
        keys::job_key,
        running::TaskKey,
        store::PendingCommit,
    },
    marigoldbend::core::hash::HashSet,
    std::time::Duration,
    xtra::prelude::*,
};

/// How long one transaction is tried before its outcome is asked for again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

impl Jobs {
    /// Writes what has changed, or asks again for the outcome of an unclear write.
    pub(super) fn flush(&mut self, address: &Address<Self>) {
        let pending = match self.unclear.take() {
            Some(pending) => pending,
            None => match self.store.next_commit() {
                Some(pending) => {
                    self.mark_carried(&pending);
                    pending
                }
                None => return,
            },
        };
        let table = self.table.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let result = table
                .commit_until_known(&pending.commit, COMMIT_TIMEOUT)
                .await;
            // The actor ends only with the process.
            let _ = address.send(Committed { pending, result }).detach().await;
        });
    }

    fn mark_carried(&mut self, pending: &PendingCommit) {
        let jobs: HashSet<&String> = pending.jobs.iter().collect();
        for ((id, _), running) in &mut self.running {
            if !running.started && jobs.contains(id) {
                running.claim_op = Some(pending.commit.op.clone());
            }
        }
    }

    pub(super) fn on_applied(&mut self, address: &Address<Self>, pending: &PendingCommit) {
        self.store.mark_applied(pending);
        for id in &pending.jobs {
            if let Some(reply) = self.waiting_submits.remove(id) {
                // The caller may have given up; the job is accepted all the same.
                let _ = reply.send(SubmitOutcome::Accepted(id.clone()));
            }
        }
        // A claim that was made after this write began is not written yet.
        let op = Some(&pending.commit.op);
        let due: Vec<TaskKey> = self
            .running
            .iter()
            .filter(|(_, r)| !r.started && r.claim_op.as_ref() == op)
            .map(|(task_key, _)| task_key.clone())
            .collect();
        for task_key in due {
            self.start(address, task_key);
        }
    }

    pub(super) fn on_conflict(
        &mut self,
        address: &Address<Self>,
        pending: &PendingCommit,
        keys: &[String],
    ) {
        self.store.mark_failed(pending);
        if keys.iter().any(|k| self.store.is_adopted_key(k)) {
            log::info!("place: another home adopted the jobs first.");
            self.store.abandon_adoption();
            self.running
                .retain(|(id, _), _| self.store.get(id).is_some());
            return;
        }
        if keys.contains(&self.store.index_key()) {
            log::error!(
                "place: the jobs of this home were adopted by another; it lets go of them."
            );
            self.fenced = true;
            self.running.clear();
            return;
        }
        for key in keys {
            let Some(id) = key.strip_prefix("jobs/").map(str::to_owned) else {
                continue;
            };
            let table = self.table.clone();
            let address = address.clone();
            tokio::spawn(async move {
                if let Ok(row) = table.read(&job_key(&id)).await {
                    // The actor ends only with the process.
                    let _ = address.send(RowReread(id, row)).detach().await;
                }
            });
        }
    }

    pub(super) fn refuse_waiting(&mut self, pending: &PendingCommit, reason: &str) {
        for id in &pending.jobs {
            if let Some(reply) = self.waiting_submits.remove(id) {
                self.store.remove(id);
                // The caller may have given up.
                let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            }
        }
    }
}
