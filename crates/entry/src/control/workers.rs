//! The workers of the domain, and what the ownership allows on each.

use {
    crate::{pool::ServicePool, worker::Worker},
    marigoldbend::{
        core::{
            admission::OwnershipConfirmation,
            hash::{HashMap, HashSet},
            ids::{Domain, WorkerId},
            ownership::{Ownership, SlotUsage},
        },
        peer::datagram::MAX_LEAVING,
        platform::wire::{InstanceList, Liveness},
    },
    serde_json::{Value, json},
    std::{
        net::IpAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The workers of this domain.
pub(super) struct Workers {
    domain: Domain,
    local_ip: Option<IpAddr>,
    confirmation: Arc<OwnershipConfirmation>,
    handles: HashMap<WorkerId, Arc<Worker>>,
    pools: HashMap<String, Arc<ServicePool>>,
    leaving: HashSet<WorkerId>,
    listed: Vec<WorkerId>,
    usable: HashMap<String, Vec<WorkerId>>,
    next_sweep: Option<Instant>,
}

impl Workers {
    pub(super) fn new(
        domain: Domain,
        local_ip: Option<IpAddr>,
        confirmation: Arc<OwnershipConfirmation>,
    ) -> Self {
        Self {
            domain,
            local_ip,
            confirmation,
            handles: HashMap::default(),
            pools: HashMap::default(),
            leaving: HashSet::default(),
            listed: Vec::new(),
            usable: HashMap::default(),
            next_sweep: None,
        }
    }

    /// Takes in the platform's list.
    pub(super) fn observe_list(&mut self, list: &InstanceList) {
        let domain = self.domain;
        let here = list.workers.iter().filter(|w| w.domain == domain);
        let mut listed = Vec::new();
        for worker in here {
            if worker.state != Liveness::Gone {
                listed.push(worker.id);
            }
            let pool = self
                .pools
                .entry(worker.service.clone())
                .or_insert_with(ServicePool::new);
            let weak = Arc::downgrade(pool);
            let on_release = move || {
                if let Some(pool) = weak.upgrade() {
                    pool.assign_slots();
                }
            };
            let confirmation = self.confirmation.clone();
            let local_ip = self.local_ip;
            let create = || Worker::new(worker, local_ip, confirmation, on_release);
            self.handles.entry(worker.id).or_insert_with(create);
            if worker.state != Liveness::Live {
                self.mark_leaving(&[worker.id]);
            }
        }
        listed.sort_unstable();
        self.listed = listed;
    }

    /// Marks workers as leaving, whoever said so first.
    pub(super) fn mark_leaving(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            let Some(handle) = self.handles.get(worker) else {
                continue;
            };
            if self.leaving.insert(*worker) {
                log::info!("route: worker={worker} is leaving.");
                handle.mark_leaving();
            }
        }
    }

    /// Returns the workers to tell peers of.
    pub(super) fn leaving(&self) -> Vec<WorkerId> {
        let listed = self.listed.iter().filter(|w| self.leaving.contains(w));
        listed.take(MAX_LEAVING).copied().collect()
    }

    /// Returns the workers that the platform lists and that are not gone.
    pub(super) fn listed(&self) -> Vec<WorkerId> {
        self.listed.clone()
    }

    pub(super) fn slot_usage(&self, worker: WorkerId) -> SlotUsage {
        let handle = self.handles.get(&worker);
        handle.map_or(SlotUsage::default(), |w| SlotUsage {
            in_use: w.gate.in_use(),
            tasks: w.tasks(),
        })
    }

    /// Sets the limits that the ownership allows now.
    pub(super) fn apply(&mut self, ownership: &Ownership, now: Instant) {
        let mut usable: HashMap<String, Vec<WorkerId>> = HashMap::default();
        let mut raised = HashSet::default();
        for (&id, worker) in &self.handles {
            let before = worker.gate.limit(now);
            let (confirmed, fallback) = ownership.limits(id, now);
            worker.gate.set_limits(confirmed, fallback);
            if let Some(row) = ownership.row().worker(id) {
                worker.set_epoch(row.epoch);
            }
            if worker.gate.limit(now) > before {
                raised.insert(worker.service.clone());
            }
            if confirmed > 0 {
                usable.entry(worker.service.clone()).or_default().push(id);
            }
        }
        for ids in usable.values_mut() {
            ids.sort_unstable();
        }
        if usable != self.usable {
            self.usable = usable;
            self.set_pools();
        }
        for service in raised {
            if let Some(pool) = self.pools.get(&service) {
                pool.assign_slots();
            }
        }
    }

    fn set_pools(&self) {
        for (service, pool) in &self.pools {
            let ids = self.usable.get(service).map_or(&[][..], Vec::as_slice);
            let workers = ids.iter().filter_map(|id| self.handles.get(id).cloned());
            pool.set_workers(workers.collect());
        }
    }

    pub(super) fn close_idle(&mut self, now: Instant) {
        if self.next_sweep.is_some_and(|at| now < at) {
            return;
        }
        self.next_sweep = Some(now + SWEEP_INTERVAL);
        for worker in self.handles.values() {
            worker.upstream.close_idle(now);
        }
    }

    pub(super) fn pools(&self) -> HashMap<String, Arc<ServicePool>> {
        self.pools.clone()
    }

    pub(super) fn handles(&self) -> HashMap<WorkerId, Arc<Worker>> {
        self.handles.clone()
    }

    /// Describes the workers for operators.
    pub(super) fn describe(&self, ownership: &Ownership, now: Instant) -> Vec<Value> {
        let mut ids: Vec<_> = self.handles.keys().copied().collect();
        ids.sort_unstable();
        let describe = |id: WorkerId| {
            let worker = self.handles.get(&id)?;
            Some(json!({
                "id": id,
                "service": worker.service,
                "holding": ownership.row().worker(id).map(|w| w.holding),
                "epoch": worker.epoch(),
                "limit": worker.gate.limit(now),
                "in_use": worker.gate.in_use(),
                "peak": worker.gate.peak(),
                "tasks": worker.tasks(),
                "leaving": worker.is_leaving(),
                "health": format!("{:?}", worker.health(now)),
            }))
        };
        ids.into_iter().filter_map(describe).collect()
    }
}
