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

/// How long one transaction is retried before it counts as unwritten or as of unknown outcome.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

impl Jobs {
    /// Sends the transaction of unknown outcome again, or else the next one, if any.
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

    /// Records which transaction writes the claims of attempts that are not started.
    fn record_claim_op(&mut self, pending: &PendingCommit) {
        let jobs: HashSet<&String> = pending.jobs.iter().collect();
        for ((id, _), running) in &mut self.running {
            if !running.started && jobs.contains(id) {
                running.claim_op = Some(pending.commit.op.clone());
            }
        }
    }

    /// Confirms the submits of an applied transaction and starts the attempts that it claimed.
    pub(super) fn on_applied(&mut self, address: &Address<Self>, pending: &PendingCommit) {
        self.store.mark_applied(pending);
        for id in &pending.jobs {
            if let Some(reply) = self.pending_submits.remove(id) {
                // The caller may have given up; the job is accepted nevertheless.
                let _ = reply.send(SubmitOutcome::Accepted(id.clone()));
            }
        }
        // Claims made after this transaction was sent are not written yet, and have another op.
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

    /// Handles a transaction that did not take effect or may have been overwritten: drops a lost
    /// adoption, fences this home if its index row was written by another, or reads the rows again.
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
            log::info!("place: another home adopted the jobs first.");
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

    /// Drops the submitted jobs of a transaction that was not written and refuses their submits.
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
