//! Applies the list of workers, and publishes the view for the threads that serve callers.

use super::*;

impl Control {
    /// Applies entries of the list of workers; workers without an entry are removed if
    /// `is_full_list` is true, and stay otherwise.
    pub(super) fn update_workers(
        &mut self,
        is_full_list: bool,
        entries: Vec<(String, Option<WorkerInfo>)>,
        now: Instant,
    ) {
        let mut changed = false;
        if is_full_list {
            let listed: HashSet<_> = entries.iter().map(|(id, _)| id.as_str()).collect();
            let count = self.workers.len();
            self.workers.retain(|id, _| listed.contains(id.as_str()));
            changed = self.workers.len() != count;
        }
        for (id, entry) in entries {
            match entry {
                Some(info) if self.workers.get(&id) == Some(&info) => {}
                Some(info) => {
                    self.workers.insert(id, info);
                    changed = true;
                }
                None => changed |= self.workers.remove(&id).is_some(),
            }
        }
        if !changed {
            return;
        }
        let mut labels: HashMap<String, HashMap<String, Vec<String>>> = HashMap::default();
        for worker in self.workers.values() {
            let service_labels = labels.entry(worker.service.clone()).or_default();
            let Some(shard) = self.settings.shard_of(&worker.domain) else {
                continue;
            };
            let shard_labels = service_labels.entry(shard.to_owned()).or_default();
            for label in &worker.labels {
                if !shard_labels.contains(label) {
                    shard_labels.push(label.clone());
                }
            }
        }
        self.labels = Arc::new(labels);
        for restoring in self.restoring.values_mut() {
            restoring.update_workers(&self.workers);
        }
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            if let Some(leader) = self.led_shards.get_mut(&shard) {
                leader.update_workers(&self.workers, now);
            }
            self.advance_shard(&shard, now);
        }
    }

    /// Publishes the [`View`], and passes the loads of the other shards to the led shards.
    pub(super) fn publish(&mut self, now: Instant) {
        let mut leaders = HashMap::default();
        for (shard, leadership) in &self.leadership {
            if let Some(leader) = self.led_shards.get(shard) {
                let view = LeaderView {
                    name: self.settings.name.clone(),
                    address: self.settings.peers,
                    token: leader.token,
                    lease_version: leader.lease_version,
                    last_heard: now,
                    loads: leader.shard.loads(),
                    may_omit_loads: false,
                    pending: leader.shard.pending(),
                    may_omit_pending: false,
                    outlooks: leader.outlooks(self.settings.features),
                };
                leaders.insert(shard.clone(), view);
            } else if let Some(view) = &leadership.view
                && now.duration_since(view.last_heard) < LEADER_TIMEOUT
            {
                leaders.insert(shard.clone(), view.clone());
            }
        }
        let ready = self.config.is_some()
            && self.store.is_reachable()
            && !self.shutting_down
            && !leaders.is_empty();
        if let Some(as_of) = self.config_as_of {
            let age = now.saturating_duration_since(as_of);
            self.metrics.config_age.set(age.as_secs_f64());
        }
        let was_ready = self.view.load().ready;
        if was_ready != ready {
            log::info!("entry: ready={ready}.");
        }
        for (shard, leader) in &mut self.led_shards {
            let losses = leader.shard.take_loss_counts();
            let counts = [
                ("run", losses.runs),
                ("crash", losses.crashes),
                ("given_up", losses.given_up),
                ("restart", losses.restarts),
            ];
            for (kind, count) in counts {
                let counter = self.metrics.losses.with_label_values(&[kind]);
                counter.inc_by(count);
            }
            let reactions = leader.shard.take_trust_counts();
            let counts = [
                ("stuck_run", reactions.stuck_runs),
                ("ejection", reactions.ejections),
                ("withheld_ejection", reactions.withheld_ejections),
                ("second_run", reactions.second_runs),
            ];
            for (kind, count) in counts {
                let counter = self.metrics.reactions.with_label_values(&[kind]);
                counter.inc_by(count);
            }
            let others = leaders.iter().filter(|(name, _)| *name != shard);
            let mut min_loads: HashMap<String, ServiceLoad> = HashMap::default();
            for (_, leader_view) in others {
                for (service, load) in &leader_view.loads {
                    let min_load = min_loads.entry(service.clone()).or_insert(*load);
                    min_load.reserved = min_load.reserved.min(load.reserved);
                    min_load.best_effort = min_load.best_effort.min(load.best_effort);
                }
            }
            leader.shard.set_other_shard_loads(min_loads);
        }
        self.view.store(Arc::new(View {
            queues: self.config.clone(),
            config_as_of: self.config_as_of,
            config_max_age: self.settings.config_max_age,
            leaders,
            labels: self.labels.clone(),
            ready,
            shutting_down: self.shutting_down,
            admission: self.settings.features.admission,
            store_doubted_at: self.store_doubted_at,
            rejected_by_store: self.rejection.rejected_unlike().is_some(),
            cut_off: is_cut_off(&self.store.health(), &self.peer_views, now),
        }));
    }
}
