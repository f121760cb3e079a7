//! The transactions that write changed jobs to the table, one at a time, and their outcomes.

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

/// How long one transaction is retried before its write counts as failed or its outcome as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

impl Jobs {
    /// Sends the transaction whose outcome is unknown again; if there is none, sends the next one,
    /// if any.
    pub(super) fn flush(&mut self, address: &Address<Self>) {
        let pending = match self.unresolved_commit.take() {
            Some(pending) => pending,
            None => match self.store.next_commit() {
                Some(pending) => {
                    self.record_claim_op(&pending);
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

    /// Records `pending` as the transaction that writes the claims of those attempts of its jobs
    /// that are not started.
    fn record_claim_op(&mut self, pending: &PendingCommit) {
        let jobs: HashSet<&String> = pending.jobs.iter().collect();
        for ((id, _), running) in &mut self.running {
            if !running.started && jobs.contains(id) {
                running.claim_op = Some(pending.commit.op.clone());
            }
        }
    }

    /// Handles a transaction that took effect: accepts the jobs that were submitted in it and
    /// starts the attempts whose claims it wrote.
    pub(super) fn on_applied(&mut self, address: &Address<Self>, pending: &PendingCommit) {
        self.store.mark_applied(pending);
        for id in &pending.jobs {
            if let Some(reply) = self.pending_submits.remove(id) {
                // The caller may have given up; the job is accepted nevertheless.
                let _ = reply.send(SubmitOutcome::Accepted(id.clone()));
            }
        }
        // Claims made after this transaction was sent are not written yet; their `claim_op`
        // differs.
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

    /// Handles a transaction that did not take effect or may have been overwritten. Drops the
    /// pending adoption if another home adopted the jobs, fences this home if another home has
    /// written its index row, and otherwise reads the conflicting job rows again.
    pub(super) fn on_conflict(
        &mut self,
        address: &Address<Self>,
        pending: &PendingCommit,
        conflicting_keys: &[String],
    ) {
        self.store.mark_failed(pending);
        if conflicting_keys
            .iter()
            .any(|k| self.store.is_adopted_index_key(k))
        {
            log::info!(
                "place: another home adopted the jobs of the departed home first; the adoption is dropped."
            );
            self.store.abandon_adoption();
            self.running
                .retain(|(id, _), _| self.store.get(id).is_some());
            return;
        }
        if conflicting_keys.contains(&self.store.index_key()) {
            log::error!(
                "place: another home adopted the jobs of this home; all attempts are dropped."
            );
            self.fenced = true;
            self.running.clear();
            return;
        }
        for key in conflicting_keys {
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

    /// Drops the submitted jobs of a transaction that was not written and refuses their
    /// submissions.
    pub(super) fn refuse_submits(&mut self, pending: &PendingCommit, reason: &str) {
        for id in &pending.jobs {
            if let Some(reply) = self.pending_submits.remove(id) {
                self.store.remove(id);
                // The caller may have given up.
                let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            }
        }
    }
}
