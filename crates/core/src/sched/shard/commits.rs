//! Batches of rows to store, and the effects of the writes' results.

use {
    super::state::{Batch, Shard, Worker},
    crate::sched::{job::JobId, learnt, progress::JobOutcome},
    std::time::{Duration, Instant},
};

/// The minimum time between two writes of interference estimates.
const INTERFERENCE_WRITE_INTERVAL: Duration = Duration::from_secs(2);

impl Shard {
    /// Returns the next batch, which needs at most `max_entries` entries of a transaction: one for
    /// a progress row, and one more to delete the specification of a finished job. Returns `None`
    /// if no batch is due.
    ///
    /// Finished jobs come first. The caller must have passed the result of the previous batch to
    /// [`on_batch_result`](Shard::on_batch_result); if the result is unknown, as not stored.
    pub fn take_batch(&mut self, max_entries: usize, now: Instant) -> Option<Batch> {
        let waited = self.dirty_since.map(|since| now.duration_since(since));
        let due = waited.is_some_and(|waited| self.urgent || waited >= self.params.commit_delay);
        let only_workers_in_use = self.workers_in_use_dirty && self.dirty.is_empty();
        if !due && !only_workers_in_use {
            return None;
        }
        let mut ids: Vec<_> = self.dirty.iter().copied().collect();
        let is_finished = |id: &JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|j| j.outcome != JobOutcome::Open)
        };
        ids.sort_by_key(|id| (!is_finished(id), *id));
        let mut entries = 0;
        let fits = |id: &&JobId| {
            entries += if is_finished(id) { 2 } else { 1 };
            entries <= max_entries
        };
        let count = ids.iter().take_while(fits).count();
        ids.truncate(count);
        let mut batch = Batch::default();
        for id in ids {
            self.dirty.remove(&id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.on_placements_taken(id, &mut batch.placed);
                batch.rows.push((id, job.progress().encode()));
                batch.outcomes.push((id, job.outcome));
            }
        }
        if std::mem::take(&mut self.workers_in_use_dirty) {
            batch.workers_in_use = Some(self.workers_in_use(now));
        }
        if now.duration_since(self.interference_stored_at) >= INTERFERENCE_WRITE_INTERVAL {
            self.interference_stored_at = now;
            batch.interference = Some(self.interference.pairs());
            batch.run_times = self.run_times.records(learnt::MAX_BYTES);
        }
        self.storing = true;
        if self.dirty.is_empty() {
            self.dirty_since = None;
            self.urgent = false;
            for worker in self
                .workers
                .values()
                .filter(|w| w.last_reported_end > w.last_acked_end)
            {
                let id = worker.info.id.clone();
                batch
                    .acks
                    .push((id, worker.info.started_ms, worker.last_reported_end));
            }
        }
        Some(batch)
    }

    /// Records that a batch was stored after all, although it had been treated as not stored.
    ///
    /// The rows of the batch are stored once more, since they may have changed in the meantime.
    pub fn on_batch_stored_late(&mut self, batch: &Batch, now: Instant) {
        let storing = self.storing;
        self.on_batch_result(batch, true, now);
        self.storing = storing;
    }

    /// Records whether a batch was stored.
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
                self.changed |= job.on_placements_stored(*id, &batch.placed);
                if !self.dirty.contains(id) {
                    job.on_stored();
                    self.changed |= job.has_losses;
                }
            }
        }
        for (id, address) in batch.workers_in_use.iter().flatten() {
            let worker = self.workers.get_mut(id);
            if let Some(worker) = worker.filter(|w| w.info.address == *address) {
                self.changed |= !worker.is_stored_in_use;
                worker.is_stored_in_use = true;
            }
        }
        for (id, started_ms, last_end) in &batch.acks {
            let worker = self.workers.get_mut(id);
            if let Some(worker) = worker.filter(|w| w.info.started_ms == *started_ms) {
                worker.last_acked_end = worker.last_acked_end.max(*last_end);
            }
        }
        let finished = batch
            .outcomes
            .iter()
            .filter(|(_, o)| *o != JobOutcome::Open);
        for (id, _) in finished {
            self.retire(*id);
        }
    }

    /// Removes at most `max_jobs` jobs that finished before `unix_ms`, in milliseconds of Unix
    /// time, and returns their ids, so that their rows can be deleted.
    pub fn expire_jobs(&mut self, unix_ms: u64, max_jobs: usize) -> Vec<JobId> {
        let expired = self
            .finished
            .iter()
            .filter(|(_, (_, finished_ms))| *finished_ms < unix_ms);
        let expired: Vec<_> = expired.map(|(id, _)| *id).take(max_jobs).collect();
        for id in &expired {
            self.finished.remove(id);
        }
        expired
    }

    /// Returns whether any change waits to be stored.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.workers_in_use_dirty
    }

    /// Marks the list of workers in use to be stored if the stored one differs.
    pub(super) fn update_workers_in_use(&mut self, now: Instant) {
        let differs = |w: &Worker| w.is_in_use(now) != w.is_stored_in_use;
        if !self.storing && self.workers.values().any(differs) {
            self.workers_in_use_dirty = true;
        }
    }

    /// Returns the list of workers in use for a batch. The others get no tasks from now on, since
    /// the batch may be stored even if it has no result.
    fn workers_in_use(&mut self, now: Instant) -> Vec<(String, String)> {
        let mut entries = Vec::with_capacity(self.workers.len());
        for worker in self.workers.values_mut() {
            if worker.is_in_use(now) {
                entries.push((worker.info.id.clone(), worker.info.address.clone()));
            } else {
                worker.is_stored_in_use = false;
            }
        }
        entries
    }

    /// Marks a job's progress to be stored; without delay if `urgent`, else within
    /// [`Params::commit_delay`](super::Params::commit_delay).
    pub(super) fn mark_dirty(&mut self, id: JobId, urgent: bool, now: Instant) {
        self.dirty.insert(id);
        self.dirty_since.get_or_insert(now);
        self.urgent |= urgent;
    }
}
