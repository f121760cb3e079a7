//! The list of workers as it comes in, and the view that the traffic threads get.

use super::*;

impl Control {
    pub(super) fn update_workers(
        &mut self,
        whole: bool,
        entries: Vec<(String, Option<WorkerInfo>)>,
        now: Instant,
    ) {
        let before = self.workers.clone();
        if whole {
            self.workers.clear();
        }
        for (id, entry) in entries {
            match entry {
                Some(info) => drop(self.workers.insert(id, info)),
                None => drop(self.workers.remove(&id)),
            }
        }
        if self.workers == before {
            return;
        }
        let mut labels: HashMap<String, HashMap<String, Vec<String>>> = HashMap::default();
        for worker in self.workers.values() {
            let of_service = labels.entry(worker.service.clone()).or_default();
            let Some(shard) = self.settings.shard_of(&worker.domain) else {
                continue;
            };
            let of_shard = of_service.entry(shard.to_owned()).or_default();
            for label in &worker.labels {
                if !of_shard.contains(label) {
                    of_shard.push(label.clone());
                }
            }
        }
        self.labels = Arc::new(labels);
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            if let Some(led) = self.led_shards.get_mut(&shard) {
                led.update_workers(&self.workers, now);
            }
            self.advance_shard(&shard, now);
        }
    }

    /// Publishes what the traffic threads need to know.
    pub(super) fn publish(&mut self, now: Instant) {
        let mut leaders = HashMap::default();
        for (shard, lease) in &self.leases {
            if let Some(led) = self.led_shards.get(shard) {
                let view = LeaderView {
                    name: self.settings.name.clone(),
                    address: self.settings.peers,
                    token: led.token,
                    ver: led.ver,
                    last_heard: now,
                    loads: led.shard.loads(),
                    pending: led.shard.pending(),
                };
                leaders.insert(shard.clone(), view);
            } else if let Some(view) = &lease.view
                && now.duration_since(view.last_heard) < LEADER_MEMORY
            {
                leaders.insert(shard.clone(), view.clone());
            }
        }
        let ready = self.queues.is_some()
            && self.store.is_reachable()
            && !self.ending
            && !leaders.is_empty();
        let before = self.view.load().ready;
        if before != ready {
            log::info!("entry: ready={ready}.");
        }
        for (shard, led) in &mut self.led_shards {
            let others = leaders.iter().filter(|(name, _)| *name != shard);
            let mut least: HashMap<String, ServiceLoad> = HashMap::default();
            for (_, leader) in others {
                for (service, load) in &leader.loads {
                    let known = least.entry(service.clone()).or_insert(*load);
                    known.reserved = known.reserved.min(load.reserved);
                    known.best_effort = known.best_effort.min(load.best_effort);
                }
            }
            led.shard.set_other_shard_loads(least);
        }
        self.view.store(Arc::new(View {
            queues: self.queues.clone(),
            leaders,
            labels: self.labels.clone(),
            ready,
            ending: self.ending,
            rejected_by_store: self.is_rejected_by_store(now),
        }));
    }
}
