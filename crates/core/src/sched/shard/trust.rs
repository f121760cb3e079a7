//! Workers that get no new tasks for a while, because of what their runs have shown.
//!
//! Health answers don't count here: only runs do. At most a share of a service's workers is ejected at
//! a time, so that a bad step can't empty the fleet.

use {
    super::state::{Shard, Worker},
    crate::sched::job::TaskName,
    std::time::{Duration, Instant},
};

/// The share of a service's workers that may be ejected at a time, in percent; at least one may be.
const MAX_EJECTED_PERCENT: usize = 20;

/// How long a worker that fails too many runs gets no new tasks; doubled each time if it is found at
/// fault again within [`RELAPSE`].
const FAILURE_EJECTION: Duration = Duration::from_secs(5);

/// How often [`FAILURE_EJECTION`] is doubled at most, to 40 s.
const MAX_DOUBLINGS: u32 = 3;

/// The time after an ejection in which another one counts as a relapse.
const RELAPSE: Duration = Duration::from_secs(60);

/// What was done about runs and workers, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TrustCounts {
    /// Runs that were stopped as stuck.
    pub stuck_runs: u64,
    /// Workers that were ejected.
    pub ejections: u64,
    /// Workers that were not ejected, since too many others were.
    pub withheld_ejections: u64,
    /// Second runs that were started.
    pub second_runs: u64,
}

impl Shard {
    /// Returns the counts since the last call.
    pub fn take_trust_counts(&mut self) -> TrustCounts {
        std::mem::take(&mut self.counts)
    }

    /// Records that a run of a short task was done or failed on a worker; ejects a worker that fails
    /// more of its runs than others do.
    pub(super) fn note_end(&mut self, worker_id: &str, name: TaskName, failed: bool, now: Instant) {
        let step = (name.job, name.step);
        self.failure_rates.record(step, failed);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.ends.record(step, failed, now);
        if !failed {
            worker.progressed_at = Some(now);
            return;
        }
        if worker.is_ejected(now) {
            return;
        }
        let Some((failures, expected)) = self.failure_rates.fault(&worker.ends) else {
            return;
        };
        let has_relapsed = worker
            .ejected_until
            .is_some_and(|until| now < until + RELAPSE);
        let ejections = if has_relapsed { worker.ejections } else { 0 };
        worker.ejections = ejections + 1;
        worker.ends.start_over();
        let duration = FAILURE_EJECTION * (1 << ejections.min(MAX_DOUBLINGS));
        let reason = format!("{failures} of its last runs failed, expected {expected:.1}");
        self.eject(worker_id, duration, &reason, now);
    }

    /// Returns the workers that get no new tasks because of what their runs have shown.
    pub fn ejected_workers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let ejected = self.workers.values().filter(move |w| w.is_ejected(now));
        ejected.map(|w| w.info.id.as_str())
    }

    /// Returns the number of workers that come last in the ranking because of what their runs have shown.
    pub(super) fn slow_workers(&self, now: Instant) -> usize {
        let is_last = |w: &&Worker| w.current_speed < 1.0 || w.is_doubted(now);
        self.workers.values().filter(is_last).count()
    }

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
        let count = if is_allowed {
            &mut self.counts.ejections
        } else {
            &mut self.counts.withheld_ejections
        };
        *count += 1;
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
