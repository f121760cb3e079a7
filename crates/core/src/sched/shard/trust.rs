//! Workers that get no new tasks for a while, because of what their runs have shown.
//!
//! Health answers don't count here: only runs do. At most a share of a service's workers is ejected at
//! a time, so that a bad step can't empty the fleet.

use {
    super::state::{Shard, Worker},
    std::time::{Duration, Instant},
};

/// The share of a service's workers that may be ejected at a time, in percent; at least one may be.
const MAX_EJECTED_PERCENT: usize = 20;

impl Shard {
    /// Gives a worker no new tasks for `duration`, unless too many workers of its service are ejected
    /// already; then it comes last in the ranking instead. Returns whether it is ejected.
    ///
    /// `reason` is for the log.
    pub(super) fn eject(
        &mut self,
        worker_id: &str,
        duration: Duration,
        reason: &str,
        now: Instant,
    ) -> bool {
        let Some(worker) = self.workers.get(worker_id) else {
            return false;
        };
        let service = &worker.info.service;
        let is_out = |w: &&Worker| w.is_ejected(now) && w.info.id != worker_id;
        let of_service = self.workers.values().filter(|w| w.info.service == *service);
        let listed = of_service.clone().filter(|w| w.listed).count();
        let ejected = of_service.filter(is_out).count();
        let is_allowed = ejected < (listed * MAX_EJECTED_PERCENT / 100).max(1);
        if is_allowed {
            log::warn!(
                "jobs: worker={worker_id} ejected for ms={}: {reason}.",
                duration.as_millis(),
            );
        } else {
            log::warn!(
                "jobs: worker={worker_id} not ejected, {ejected} of {listed} workers are already: {reason}."
            );
        }
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return false;
        };
        let until = Some(now + duration);
        worker.doubted_until = worker.doubted_until.max(until);
        if is_allowed {
            worker.ejected_until = worker.ejected_until.max(until);
        }
        is_allowed
    }
}

impl Worker {
    /// Returns whether the worker gets no new tasks because of what its runs have shown.
    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the worker comes last in the ranking because of what its runs have shown.
    pub(super) fn is_doubted(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }
}
