//! The workers of this domain, and the slot limits that ownership sets on each.

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

/// The interval at which idle upstream connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The workers of this domain and the service pools that they belong to.
pub(super) struct Workers {
    domain: Domain,
    local_ip: Option<IpAddr>,
    confirmation: Arc<OwnershipConfirmation>,
    /// All workers that the platform has listed in this domain since this instance started.
    handles: HashMap<WorkerId, Arc<Worker>>,
    /// Pools by service.
    pools: HashMap<String, Arc<ServicePool>>,
    /// Workers that the platform's list or a peer reported as leaving; they stay in the set.
    leaving_workers: HashSet<WorkerId>,
    /// The workers of this domain that the platform's last list contains in a state other than
    /// [`Liveness::Gone`], in order of their ids.
    listed_workers: Vec<WorkerId>,
    /// The workers whose slot limit for this instance is above zero while its ownership is
    /// confirmed, by service.
    usable_workers: HashMap<String, Vec<WorkerId>>,
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
            leaving_workers: HashSet::default(),
            listed_workers: Vec::new(),
            usable_workers: HashMap::default(),
            next_sweep: None,
        }
    }

    /// Updates the workers from the platform's instance list.
    pub(super) fn observe_list(&mut self, list: &InstanceList) {
        let domain = self.domain;
        let workers = list.workers.iter().filter(|w| w.domain == domain);
        let mut listed_workers = Vec::new();
        for worker in workers {
            if worker.state != Liveness::Gone {
                listed_workers.push(worker.id);
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
        listed_workers.sort_unstable();
        self.listed_workers = listed_workers;
    }

    /// Marks workers as leaving, as reported by a peer or by the platform's list.
    pub(super) fn mark_leaving(&mut self, workers: &[WorkerId]) {
        for worker in workers {
            let Some(handle) = self.handles.get(worker) else {
                continue;
            };
            if self.leaving_workers.insert(*worker) {
                log::info!("route: worker={worker} is leaving.");
                handle.mark_leaving();
            }
        }
    }

    /// Returns the listed workers that are leaving, at most [`MAX_LEAVING`] of them, for the
    /// datagrams to peers.
    pub(super) fn listed_leaving_workers(&self) -> Vec<WorkerId> {
        let leaving = self
            .listed_workers
            .iter()
            .filter(|w| self.leaving_workers.contains(w));
        leaving.take(MAX_LEAVING).copied().collect()
    }

    /// Returns the workers of this domain in the platform's last list that are not gone, in order
    /// of their ids.
    pub(super) fn listed_workers(&self) -> Vec<WorkerId> {
        self.listed_workers.clone()
    }

    /// Returns how many slots of a worker this instance has in use; zero for a worker that was
    /// never listed.
    pub(super) fn slot_usage(&self, worker: WorkerId) -> SlotUsage {
        let handle = self.handles.get(&worker);
        handle.map_or(SlotUsage::default(), |w| SlotUsage {
            in_use: w.gate.in_use(),
            tasks: w.tasks(),
        })
    }

    /// Sets each worker's slot limits and epoch from the ownership row.
    pub(super) fn apply_ownership(&mut self, ownership: &Ownership, now: Instant) {
        let mut usable_workers: HashMap<String, Vec<WorkerId>> = HashMap::default();
        let mut services_with_new_slots = HashSet::default();
        for (&id, worker) in &self.handles {
            let previous_limit = worker.gate.limit(now);
            let (confirmed, fallback) = ownership.limits(id, now);
            worker.gate.set_limits(confirmed, fallback);
            if let Some(row) = ownership.row().worker(id) {
                worker.set_epoch(row.epoch);
            }
            if worker.gate.limit(now) > previous_limit {
                services_with_new_slots.insert(worker.service.clone());
            }
            if confirmed > 0 {
                usable_workers
                    .entry(worker.service.clone())
                    .or_default()
                    .push(id);
            }
        }
        for ids in usable_workers.values_mut() {
            ids.sort_unstable();
        }
        if usable_workers != self.usable_workers {
            self.usable_workers = usable_workers;
            self.update_pools();
        }
        for service in services_with_new_slots {
            if let Some(pool) = self.pools.get(&service) {
                pool.assign_slots();
            }
        }
    }

    /// Sets the workers of each pool to the usable ones of its service.
    fn update_pools(&self) {
        for (service, pool) in &self.pools {
            let ids = self
                .usable_workers
                .get(service)
                .map_or(&[][..], Vec::as_slice);
            let workers = ids.iter().filter_map(|id| self.handles.get(id).cloned());
            pool.set_workers(workers.collect());
        }
    }

    /// Closes idle upstream connections, at most once per [`SWEEP_INTERVAL`].
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
