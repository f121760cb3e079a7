//! The leader of a shard from the write of its lease row until its rows are read.
//!
//! It renews the leases of the workers and collects their reports, so that what runs goes on and
//! is known when the rows are. Nobody else sees it: it is not announced, and it neither starts nor
//! stops nor acknowledges anything.

use {
    crate::{
        commands::{ReportRequest, WorkerLink},
        metrics::Metrics,
        settings::ShardSettings,
        shard_leader::{Callbacks, REPORT_WAIT, open_links},
        takeover::Lease,
        takeover_times::{Part, TakeoverTimes},
    },
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            shard::{Params, RestoringShard},
            worker::{Report, WorkerInfo},
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The leadership of one shard by this instance while it reads the shard's rows.
pub struct RestoringLeader {
    /// The shard's name.
    pub name: String,
    /// The shard's failure domains.
    pub domains: Vec<String>,
    /// The lease row of this leadership.
    pub lease: Lease,
    /// What is known of the workers.
    pub shard: RestoringShard,
    /// When the lease row was last read to confirm the leadership.
    pub confirmation_requested_at: Instant,
    pub(crate) links: HashMap<String, WorkerLink>,
    pub(crate) callbacks: Callbacks,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) times: TakeoverTimes,
}

impl RestoringLeader {
    /// Creates the leader of a shard.
    pub fn new(
        settings: &ShardSettings,
        lease: Lease,
        params: &Params,
        callbacks: Callbacks,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut times = TakeoverTimes::new(lease.started_at);
        times.record(Part::Lease, lease.leased_at, &metrics);
        Self {
            name: settings.name.clone(),
            domains: settings.domains.clone(),
            lease,
            shard: RestoringShard::new(lease.token, params, lease.sent_at, lease.leased_at),
            confirmation_requested_at: lease.leased_at,
            links: HashMap::default(),
            callbacks,
            metrics,
            times,
        }
    }

    /// Adds the workers that the platform lists; workers that it lists no more stay.
    pub fn update_workers(&mut self, workers: &HashMap<String, WorkerInfo>) {
        let workers = workers.values();
        for worker in workers.filter(|w| self.domains.contains(&w.domain)) {
            self.shard.add_worker(&worker.id, &worker.address);
        }
        self.update_links();
    }

    /// Adds the workers that the previous leader used, by name and address.
    pub fn add_workers_in_use(&mut self, workers: &[(String, String)]) {
        for (worker, address) in workers {
            self.shard.add_worker_in_use(worker, address);
        }
        self.update_links();
    }

    /// Returns the parameters of a worker's next report request; `None` if the worker has no link.
    pub fn next_report_request(&mut self, worker: &str, now: Instant) -> Option<ReportRequest> {
        if !self.links.contains_key(worker) {
            return None;
        }
        let (token, until_ms) = self.shard.prepare_report_request(worker, now)?;
        Some(ReportRequest {
            delay: Duration::ZERO,
            token,
            acked_end: 0,
            until_ms,
            // Without `until_ms` the report is needed at once, to learn the worker's clock.
            wait: until_ms.map_or(Duration::ZERO, |_| REPORT_WAIT),
        })
    }

    /// Keeps a worker's report, which was requested at `sent_at`.
    pub fn on_report(&mut self, worker: &str, report: Report, sent_at: Instant, now: Instant) {
        self.times.record(Part::FirstReport, now, &self.metrics);
        self.shard.on_report(worker, report, sent_at, now);
    }

    fn update_links(&mut self) {
        if self.shard.take_worker_addresses_changed() {
            let addresses = self.shard.worker_addresses().collect();
            open_links(&mut self.links, addresses, &self.callbacks, &self.metrics);
        }
    }
}
