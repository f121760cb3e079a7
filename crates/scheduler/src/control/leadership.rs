//! Taking, holding and giving up the leads of shards.

use super::*;

/// The same while work waits for a confirmation.
const WANTED_BEAT: Duration = Duration::from_millis(200);

/// How long a leader that hears less than half of its peers goes on without a confirmation by
/// the store; a successor counts on it before it starts work of unknown whereabouts.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(2_000);

/// The time between two beats of a leader in the store.
const STORE_BEAT: Duration = Duration::from_secs(1);

/// The time between two looks at a leader's beat in the store.
const BEAT_LOOK: Duration = Duration::from_millis(400);

/// How long a failed takeover is not tried again.
const TAKE_PAUSE: Duration = Duration::from_millis(250);

/// How long a leader from another domain leads before the shard's own instances get it back.
const HANDBACK: Duration = Duration::from_secs(4);

impl Control {
    /// Returns the figures of the deployment that a led shard needs.
    pub(super) fn params(&self) -> Params {
        Params {
            lease: Params::default().lease.min(self.settings.max_lease),
            drain: self.settings.drain,
            ..Params::default()
        }
    }

    /// Returns whether the store turns this instance away while it serves a peer.
    pub(super) fn is_rejected_by_store(&self, now: Instant) -> bool {
        is_rejected_by_store(self.store.is_reachable(), &self.peer_views, now)
    }

    /// Gives up leads that can't be held, and takes those that are vacant.
    pub(super) fn check_leadership(&mut self, now: Instant) {
        let store_ok = self.store.is_reachable();
        if self.is_rejected_by_store(now) && !self.led_shards.is_empty() {
            log::warn!("lead: giving up, peers reach the store and this instance does not.");
            self.resign_all(now);
        }
        self.resign_unconfirmed(now);
        self.return_foreign_shards(now);
        if self.ending {
            let stored: Vec<_> = self
                .led_shards
                .values()
                .filter(|l| l.is_stored())
                .map(|l| l.name.clone())
                .collect();
            for shard in stored {
                self.resign(&shard, "the process ends");
            }
            return;
        }
        let shards: Vec<_> = self.leases.keys().cloned().collect();
        let mut unheard = Vec::new();
        let minority = is_minority(&self.peer_views, now);
        let mut impaired = false;
        for shard in shards {
            if self.led_shards.contains_key(&shard) {
                continue;
            }
            let Some(lease) = self.leases.get(&shard) else {
                continue;
            };
            if lease.taking_over || lease.not_before.is_some_and(|at| now < at) {
                continue;
            }
            let situation = LeadershipView {
                own_name: &self.settings.name,
                incarnation: self.incarnation,
                domain: &self.settings.domain,
                shard: &shard,
                domains: self.settings.domains_of(&shard),
                store_ok,
                peers: &self.peer_views,
                since: self.since,
                leader: lease
                    .leader
                    .as_ref()
                    .map(|(name, run)| (name.as_str(), *run)),
                leader_heard: lease.leader_heard,
                impaired_at: self.impaired_at,
                store_heartbeat_changed: lease.store_heartbeat_changed,
            };
            if minority {
                impaired = true;
                if situation.is_leader_silent(now) {
                    unheard.push(shard.clone());
                }
            }
            if should_take_over(&situation, now) {
                self.take_over(&shard);
            }
        }
        if impaired {
            self.impaired_at = Some(now);
        }
        for shard in unheard {
            self.check_store_heartbeat(&shard, now);
        }
    }

    /// Gives up leads that the store has not confirmed while few peers are heard: the others
    /// have a new leader by then.
    fn resign_unconfirmed(&mut self, now: Instant) {
        let old = |l: &&ShardLeader| now.duration_since(l.shard.confirmed_at()) > UNCONFIRMED_LIMIT;
        let old = self.led_shards.values().filter(old).map(|l| l.name.clone());
        let old: Vec<_> = old.collect();
        if old.is_empty() || !is_minority(&self.peer_views, now) {
            return;
        }
        for shard in old {
            self.resign(&shard, "neither the store nor most peers are in reach");
        }
    }

    /// Looks into the store whether a leader that is not heard is alive.
    pub(super) fn check_store_heartbeat(&mut self, shard: &str, now: Instant) {
        let Some(lease) = self.leases.get_mut(shard) else {
            return;
        };
        if lease
            .store_checked
            .is_some_and(|at| now.duration_since(at) < BEAT_LOOK)
        {
            return;
        }
        lease.store_checked = Some(now);
        let Some(to) = self.address.clone() else {
            return;
        };
        let store = self.store.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            if let Ok(heartbeat) = takeover::read_row(&store, &keys::heartbeat(&shard)).await {
                send_event(
                    &to,
                    Event::StoreHeartbeat(shard, heartbeat.unwrap_or_default()),
                )
                .await;
            }
        });
    }

    /// Shows in the store that this leader is alive.
    pub(super) fn write_store_heartbeats(&mut self, now: Instant) {
        let wanted = self
            .led_shards
            .values()
            .any(|l| l.shard.awaits_confirmation());
        let gap = if wanted { WANTED_BEAT } else { STORE_BEAT };
        if now.duration_since(self.store_heartbeat_written) < gap {
            return;
        }
        self.store_heartbeat_written = now;
        for led in self.led_shards.values() {
            self.heartbeats_written += 1;
            // Plain data always encodes below.
            let pending: Vec<_> = led.shard.pending().into_iter().collect();
            let heartbeat = takeover::StoreHeartbeat {
                incarnation: self.incarnation,
                number: self.heartbeats_written,
                pending,
            };
            let value = postcard::to_stdvec(&heartbeat).unwrap_or_default();
            let Some(to) = self.address.clone() else {
                continue;
            };
            // It depends on the lease row, so that a leader that was replaced learns of it.
            let tx = Tx {
                expect: vec![(keys::lease(&led.name), led.ver)],
                puts: vec![(keys::heartbeat(&led.name), value)],
                ..Tx::default()
            };
            let store = self.store.clone();
            let (shard, token) = (led.name.clone(), led.token);
            tokio::spawn(async move {
                match store.tx(&tx).await {
                    Ok(TxOutcome::Applied(_)) => {
                        send_event(&to, Event::Confirmed(shard, token, now)).await
                    }
                    Ok(TxOutcome::Conflict(_)) => {
                        send_event(&to, Event::Replaced(shard, token)).await
                    }
                    Err(e) => log::debug!("lead: the beat is not written: {e}."),
                }
            });
        }
    }

    pub(super) fn take_over(&mut self, shard: &str) {
        let Some(address) = self.address.clone() else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.taking_over = true;
        }
        log::info!("lead: shard={shard} taking it.");
        self.send_heartbeats(self.clock.now(), true);
        let store = self.store.clone();
        let name = self.settings.name.clone();
        let incarnation = self.incarnation;
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let taken = takeover::take_over(&store, &shard, &name, incarnation).await;
            send_event(&address, Event::TakenOver(shard, taken)).await;
        });
    }

    pub(super) fn on_takeover(
        &mut self,
        shard: &str,
        result: Result<TakeoverState, TakeoverError>,
        now: Instant,
    ) {
        let name = self.settings.name.clone();
        let Some(lease) = self.leases.get_mut(shard) else {
            return;
        };
        lease.taking_over = false;
        lease.not_before = Some(now + TAKE_PAUSE);
        let taken = match result {
            Ok(taken) => taken,
            Err(e) => {
                log::info!("lead: shard={shard} not taken: {e}.");
                if let TakeoverError::Lost { holder, token } = e {
                    lease.leader = Some((holder, 0));
                    lease.token = token;
                    lease.leader_heard = Some(now);
                }
                return;
            }
        };
        log::info!(
            "lead: shard={shard} taken token={} jobs={} workers={} pairs={}.",
            taken.token,
            taken.jobs.len(),
            taken.workers_in_use.len(),
            taken.interference.len(),
        );
        lease.leader = Some((name, self.incarnation));
        lease.token = taken.token;
        lease.leader_heard = Some(now);
        let token = taken.token;
        let from = taken.watch_from;
        let Some(sinks) = self.sinks(shard, token) else {
            return;
        };
        let params = self.params();
        let cancelled = taken.cancelled.clone();
        let Some(of) = self.settings.shards.iter().find(|s| s.name == shard) else {
            return;
        };
        let mut led = ShardLeader::new(
            of,
            taken,
            params,
            sinks,
            self.metrics.clone(),
            now,
            unix_ms(),
        );
        for job in cancelled
            .into_iter()
            .filter(|job| !led.shard.contains_job(*job))
        {
            self.forward_cancel(shard, job);
        }
        led.update_workers(&self.workers, now);
        led.job_watch = self.watch_jobs(shard, token, from);
        self.led_shards.insert(shard.to_owned(), led);
        self.led_since.insert(shard.to_owned(), now);
        self.metrics.led_shards.set(self.led_shards.len() as i64);
        self.advance_shard(shard, now);
        self.send_heartbeats(now, true);
    }

    /// Lets a shard of another domain go once that domain can lead it again.
    pub(super) fn return_foreign_shards(&mut self, now: Instant) {
        let foreign = self.led_shards.keys().filter(|shard| {
            let domains = self.settings.domains_of(shard);
            !domains.contains(&self.settings.domain)
        });
        let able = |shard: &str| {
            let domains = self.settings.domains_of(shard);
            self.peer_views.values().any(|p| {
                domains.contains(&p.domain)
                    && p.store_ok
                    && !p.ending
                    && now.duration_since(p.last_heard) < LEADER_MEMORY
            })
        };
        let old = |shard: &str| {
            let since = self.led_since.get(shard);
            since.is_some_and(|since| now.duration_since(*since) > HANDBACK)
        };
        let back: Vec<_> = foreign.filter(|s| old(s) && able(s)).cloned().collect();
        for shard in back {
            self.resign(&shard, "its own domain can lead it");
        }
    }

    pub(super) fn resign_all(&mut self, _now: Instant) {
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            self.resign(&shard, "the store is out of reach");
        }
    }

    pub(super) fn resign(&mut self, shard: &str, why: &str) {
        let now = self.clock.now();
        if self.led_shards.remove(shard).is_none() {
            return;
        }
        log::info!("lead: shard={shard} given up: {why}.");
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.view = None;
            lease.leader_heard = Some(now);
            lease.not_before = Some(now + LEADER_MEMORY);
        }
        self.metrics.led_shards.set(self.led_shards.len() as i64);
        self.send_heartbeats(now, true);
    }
}
