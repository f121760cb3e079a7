//! What is to be stored, and what follows once it is.

use {
    super::state::{Batch, Shard, Worker},
    crate::sched::{job::JobId, progress::JobOutcome},
    std::time::{Duration, Instant},
};

/// The time between two writes of what has been learnt of the images.
const INTERFERENCE_GAP: Duration = Duration::from_secs(2);

impl Shard {
    /// Returns the next rows to store, if it is time; `last` has ended by then.
    pub fn take_batch(&mut self, most: usize, now: Instant) -> Option<Batch> {
        let waited = self.dirty_since.map(|since| now.duration_since(since));
        let due = waited.is_some_and(|waited| self.urgent || waited >= self.params.commit_delay);
        let only_roster = self.workers_in_use_dirty && self.dirty.is_empty();
        if !due && !only_roster {
            return None;
        }
        let mut ids: Vec<_> = self.dirty.iter().copied().collect();
        ids.sort_by_key(|id| {
            let over = self
                .jobs
                .get(id)
                .is_some_and(|j| j.outcome != JobOutcome::Open);
            (!over, *id)
        });
        ids.truncate(most);
        let mut batch = Batch::default();
        for id in ids {
            self.dirty.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                batch.rows.push((id, job.progress().encode()));
                batch.outcomes.push((id, job.outcome));
            }
        }
        if std::mem::take(&mut self.workers_in_use_dirty) {
            let entry = |w: &Worker| (w.info.id.clone(), w.info.address.clone());
            batch.workers_in_use = Some(self.workers.values().map(entry).collect());
        }
        if now.duration_since(self.interference_stored_at) >= INTERFERENCE_GAP {
            self.interference_stored_at = now;
            batch.interference = Some(self.interference.pairs());
        }
        self.storing = true;
        if self.dirty.is_empty() {
            self.dirty_since = None;
            self.urgent = false;
            for worker in self.workers.values().filter(|w| w.seen_end > w.acked_end) {
                let id = worker.info.id.clone();
                batch
                    .acks
                    .push((id, worker.info.started_ms, worker.seen_end));
            }
        }
        Some(batch)
    }

    /// Takes in that a batch was stored which was taken for not stored; its rows stay to be
    /// stored once more, since they may have changed.
    pub fn on_batch_stored_late(&mut self, batch: &Batch, now: Instant) {
        let storing = self.storing;
        self.on_batch_result(batch, true, now);
        self.storing = storing;
    }

    /// Takes in whether a batch was stored.
    pub fn on_batch_result(&mut self, batch: &Batch, stored: bool, now: Instant) {
        self.storing = false;
        if !stored {
            self.dirty.extend(batch.rows.iter().map(|(id, _)| *id));
            self.workers_in_use_dirty |= batch.workers_in_use.is_some();
            if !self.dirty.is_empty() {
                self.dirty_since.get_or_insert(now);
                self.urgent = true;
            }
            return;
        }
        for (id, outcome) in &batch.outcomes {
            if let Some(job) = self.jobs.get_mut(id) {
                job.stored_outcome = *outcome;
            }
        }
        for (id, started_ms, seen) in &batch.acks {
            let worker = self.workers.get_mut(id);
            if let Some(worker) = worker.filter(|w| w.info.started_ms == *started_ms) {
                worker.acked_end = worker.acked_end.max(*seen);
            }
        }
        let done = batch
            .outcomes
            .iter()
            .filter(|(_, o)| *o != JobOutcome::Open);
        for (id, _) in done {
            self.retire(*id);
        }
    }

    /// Drops jobs that were over before `unix_ms` and returns them; their rows can go.
    pub fn expire_jobs(&mut self, unix_ms: u64, most: usize) -> Vec<JobId> {
        let old = self
            .finished
            .iter()
            .filter(|(_, (_, finished_ms))| *finished_ms < unix_ms);
        let old: Vec<_> = old.map(|(id, _)| *id).take(most).collect();
        for id in &old {
            self.finished.remove(id);
        }
        old
    }

    /// Returns whether anything waits to be stored.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.workers_in_use_dirty
    }

    pub(super) fn mark_dirty(&mut self, id: JobId, urgent: bool, now: Instant) {
        self.dirty.insert(id);
        self.dirty_since.get_or_insert(now);
        self.urgent |= urgent;
    }
}
