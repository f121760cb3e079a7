//! What a new leader knows and does before it has dispatched the work of earlier leaders.
//!
//! Between the write of the lease row and the end of reading the rows, a new leader knows the
//! workers, but no job. [`RestoringShard`] is its state meanwhile: it keeps the leases of the
//! workers alive and collects their reports, and can neither start nor stop anything.

use {
    super::{
        state::{Params, Shard, TOKENS_PER_LEADER},
        workers::UNRESPONSIVE_AFTER,
    },
    crate::{
        hash::HashMap,
        sched::worker::{LeaseClock, Report},
    },
    std::time::{Duration, Instant},
};

/// The workers of a shard whose rows the new leader still reads.
///
/// No run end is acknowledged, so each report has everything that the worker has to tell, and the
/// last one stands for all of them.
#[derive(Debug)]
pub struct RestoringShard {
    token: u64,
    lease: Duration,
    max_lease: Duration,
    leased_at: Instant,
    confirmed_at: Instant,
    workers: HashMap<String, RestoringWorker>,
    addresses_changed: bool,
}

#[derive(Debug)]
struct RestoringWorker {
    address: String,
    /// The number of restarts that this leader has observed; part of the fencing token.
    incarnations: u64,
    clock: LeaseClock,
    /// The last report of the process at the address; `None` before the first.
    last: Option<KeptReport>,
    /// Whether any process of the worker has reported, so that its leases may have been renewed.
    has_reported: bool,
}

#[derive(Debug)]
struct KeptReport {
    report: Report,
    sent_at: Instant,
    arrived_at: Instant,
}

impl RestoringShard {
    /// Creates the state of a leader with `token`.
    ///
    /// `sent_at` is when the call was sent that showed the lease row of this leader, `leased_at`
    /// when its reply arrived.
    ///
    /// Runs of earlier leaders that this one does not know end at the latest
    /// [`Params::unknown_run_limit`] after `leased_at`. That is
    /// sound, since an earlier leader resigns within a fixed time after it has *sent* the last
    /// write that the store confirmed. The store applies no such write after the lease row has
    /// changed, so the last one was sent before the row changed, and thus before `leased_at`.
    /// Reading the rows stops nobody, so nothing is gained by waiting from its end on. The time at
    /// which the lease row's write was sent would be too early: it may have been applied at any
    /// time until its reply.
    pub fn new(token: u64, params: &Params, sent_at: Instant, leased_at: Instant) -> Self {
        Self {
            token,
            lease: params.lease,
            max_lease: params.max_lease,
            leased_at,
            confirmed_at: sent_at,
            workers: HashMap::default(),
            addresses_changed: true,
        }
    }

    /// Adds a worker, or replaces its address.
    pub fn add_worker(&mut self, worker_id: &str, address: &str) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            if worker.address != address {
                address.clone_into(&mut worker.address);
                // The process at the new address has not reported yet.
                worker.last = None;
                worker.clock = LeaseClock::default();
                self.addresses_changed = true;
            }
            return;
        }
        let worker = RestoringWorker {
            address: address.to_owned(),
            incarnations: 0,
            clock: LeaseClock::default(),
            last: None,
            has_reported: false,
        };
        self.workers.insert(worker_id.to_owned(), worker);
        self.addresses_changed = true;
    }

    /// Adds a worker that an earlier leader used, unless it has been added already: its entry in
    /// the platform's list is newer.
    pub fn add_worker_in_use(&mut self, worker_id: &str, address: &str) {
        if !self.workers.contains_key(worker_id) {
            self.add_worker(worker_id, address);
        }
    }

    /// Returns the id and address of each worker; the leader requests reports from all of them.
    pub fn worker_addresses(&self) -> impl Iterator<Item = (&str, &str)> {
        let workers = self.workers.iter();
        workers.map(|(id, w)| (id.as_str(), w.address.as_str()))
    }

    /// Returns whether the result of [`RestoringShard::worker_addresses`] may have changed since
    /// the last call; true at the first call.
    pub fn take_worker_addresses_changed(&mut self) -> bool {
        std::mem::take(&mut self.addresses_changed)
    }

    /// Returns the contents of a report request to a worker: the fencing token, and the new end of
    /// its leases, in milliseconds on its clock. `None` for an unknown worker.
    ///
    /// The lease end is `None`, and no lease is renewed, while the worker is unresponsive or its
    /// clock is unknown; see [`Shard::prepare_report_request`].
    pub fn prepare_report_request(
        &mut self,
        worker_id: &str,
        now: Instant,
    ) -> Option<(u64, Option<u64>)> {
        let worker = self.workers.get_mut(worker_id)?;
        let incarnations = worker.incarnations.min(TOKENS_PER_LEADER - 1);
        let token = self.token * TOKENS_PER_LEADER + incarnations;
        let unresponsive = worker
            .last
            .as_ref()
            .is_some_and(|last| now.duration_since(last.arrived_at) > UNRESPONSIVE_AFTER);
        let until_ms = if unresponsive {
            None
        } else {
            worker.clock.grant(self.lease, now)
        };
        Some((token, until_ms))
    }

    /// Keeps a worker's report, which was requested at `sent_at` and arrived at `now`.
    pub fn on_report(&mut self, worker_id: &str, report: Report, sent_at: Instant, now: Instant) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if let Some(last) = &worker.last {
            if last.sent_at > sent_at {
                return;
            }
            if last.report.started_ms != report.started_ms {
                // The clock of the new incarnation has nothing to do with that of the former one.
                worker.incarnations += 1;
                let has_higher_token = worker.incarnations < TOKENS_PER_LEADER;
                worker.clock = LeaseClock::after_restart(self.max_lease, has_higher_token, now);
            }
        }
        worker
            .clock
            .on_report(report.clock_ms, sent_at, now, self.max_lease);
        worker.has_reported = true;
        worker.last = Some(KeptReport {
            report,
            sent_at,
            arrived_at: now,
        });
    }

    /// Lets the wait for unknown runs begin anew, as [`Shard::extend_unknown_runs`].
    pub fn extend_unknown_runs(&mut self, now: Instant) {
        self.leased_at = self.leased_at.max(now);
    }

    /// Records that a store call sent at `sent_at` found this leader's lease row unchanged.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns the send time of the last store call that confirmed the leadership.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }
}

impl Shard {
    /// Continues from the state that the leader had while it read the rows: the kept reports are
    /// processed. All jobs and all known workers must have been added.
    ///
    /// `unix_ms` is the current Unix time in milliseconds.
    pub fn restore_workers(&mut self, restoring: RestoringShard, now: Instant, unix_ms: u64) {
        self.leader_since = restoring.leased_at;
        self.unknown_runs_since = restoring.leased_at;
        self.confirmed_at = restoring.confirmed_at;
        for (id, restored) in restoring.workers {
            let Some(last) = restored.last else {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.incarnations = restored.incarnations;
                    // Its leases may end later than the predecessor knew.
                    worker
                        .earlier_leases_until
                        .take_if(|_| restored.has_reported);
                }
                continue;
            };
            // Its entry may have been removed meanwhile.
            self.add_unlisted_worker(&id, &restored.address, now);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.incarnations = restored.incarnations;
            }
            self.on_report(&id, &last.report, last.sent_at, now, unix_ms);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.clock = restored.clock;
                worker.is_settled = worker.clock.is_settled(self.confirmed_at);
                worker.answered_at = Some(last.arrived_at);
            }
        }
    }

    /// Returns whether work that an earlier leader may have started still waits, since a worker
    /// that has not reported to this leader may run it.
    pub fn awaits_unknown_runs(&self, now: Instant) -> bool {
        self.may_have_unknown_runs(now)
    }
}
