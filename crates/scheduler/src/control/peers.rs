//! What instances tell each other, and how they find each other in the store.

use super::*;

/// The time between beats to the own failure domain; a silent leader is noticed after five.
const LOCAL_BEAT: Duration = Duration::from_millis(150);

/// The time between beats to other failure domains, which are dearer and less urgent.
const REMOTE_BEAT: Duration = Duration::from_millis(450);

/// How long peers that are not heard get beats as often as others.
const PEER_MEMORY: Duration = Duration::from_secs(30);

/// How long a takeover by a peer is let alone: reading all rows of a busy shard takes as long.
const RIVAL_PAUSE: Duration = Duration::from_millis(700);

impl Control {
    /// Tells peers of this instance, if it is time or if `now_all`.
    pub(super) fn send_heartbeats(&mut self, now: Instant, now_all: bool) {
        let leads = !self.led_shards.is_empty();
        let due = |peer: &Peer, domain: &str| {
            // Whoever follows must notice the silence of a leader soon, wherever it is.
            let gap = if leads || peer.domain == domain {
                LOCAL_BEAT
            } else {
                REMOTE_BEAT
            };
            let lost =
                now.duration_since(peer.last_heard.unwrap_or(peer.known_since)) > PEER_MEMORY;
            let gap = if lost { PEER_MEMORY / 6 } else { gap };
            peer.heartbeat_sent
                .is_none_or(|at| now.duration_since(at) >= gap)
        };
        let domain = &self.settings.domain;
        if !now_all && !self.peers.values().any(|p| due(p, domain)) {
            return;
        }
        let leads = self.led_shards.values().map(|led| {
            let mut pending: Vec<_> = led.shard.pending().into_iter().collect();
            pending.sort();
            let loads = led.shard.loads().into_iter();
            pending.truncate(MAX_QUEUES / self.led_shards.len().max(1));
            LedShard {
                shard: led.name.clone(),
                token: led.token,
                ver: led.ver,
                loads: loads.map(|(s, l)| (s, l.reserved, l.best_effort)).collect(),
                pending,
            }
        });
        let taking = self.leases.iter().filter(|(_, lease)| lease.taking_over);
        let heartbeat = Heartbeat {
            name: self.settings.name.clone(),
            domain: domain.clone(),
            incarnation: self.incarnation,
            address: self.settings.peers,
            config: self.queues.as_ref().map_or(0, |q| q.version),
            store_ok: self.store.is_reachable(),
            ending: self.ending,
            taking_over: taking.map(|(shard, _)| shard.clone()).collect(),
            led_shards: leads.collect(),
        };
        let buf = match heartbeat.encode() {
            Ok(buf) => buf,
            Err(e) => {
                log::error!("peers: {e}.");
                return;
            }
        };
        for peer in self.peers.values_mut() {
            if now_all || due(peer, domain) {
                peer.heartbeat_sent = Some(now);
                // A beat may be lost on the way as well.
                let _ = self.socket.send_to(&buf, peer.address);
            }
        }
    }

    pub(super) fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        if heartbeat.name == self.settings.name {
            return;
        }
        let new = !self.peers.contains_key(&heartbeat.name);
        let peer = self
            .peers
            .entry(heartbeat.name.clone())
            .or_insert_with(|| Peer {
                domain: heartbeat.domain.clone(),
                address: heartbeat.address,
                last_heard: None,
                known_since: now,
                heartbeat_sent: None,
            });
        peer.last_heard = Some(now);
        peer.address = heartbeat.address;
        if new {
            log::info!("peers: {} at {} is new.", heartbeat.name, heartbeat.address);
        }
        let before = self.peer_views.insert(
            heartbeat.name.clone(),
            PeerView {
                domain: heartbeat.domain,
                incarnation: heartbeat.incarnation,
                last_heard: now,
                store_ok: heartbeat.store_ok,
                ending: heartbeat.ending,
            },
        );
        if before.is_some_and(|p| p.incarnation != heartbeat.incarnation) {
            log::info!("peers: {} runs anew.", heartbeat.name);
        }
        for shard in heartbeat.taking_over {
            if let Some(lease) = self.leases.get_mut(&shard) {
                // Whoever began first is let alone for a while.
                lease.not_before = lease.not_before.max(Some(now + RIVAL_PAUSE));
            }
        }
        for lead in heartbeat.led_shards {
            let Some(lease) = self.leases.get_mut(&lead.shard) else {
                continue;
            };
            if lead.token < lease.token {
                continue;
            }
            lease.token = lead.token;
            lease.leader = Some((heartbeat.name.clone(), heartbeat.incarnation));
            lease.leader_heard = Some(now);
            let loads = lead.loads.into_iter();
            let loads = loads.map(|(s, reserved, best_effort)| {
                (
                    s,
                    ServiceLoad {
                        reserved,
                        best_effort,
                    },
                )
            });
            lease.view = Some(LeaderView {
                name: heartbeat.name.clone(),
                address: heartbeat.address,
                token: lead.token,
                ver: lead.ver,
                last_heard: now,
                loads: loads.collect(),
                pending: lead.pending.into_iter().collect(),
            });
            let deposed = self
                .led_shards
                .get(&lead.shard)
                .is_some_and(|l| l.token < lead.token);
            if deposed {
                self.led_shards.remove(&lead.shard);
                self.metrics.led_shards.set(self.led_shards.len() as i64);
                log::info!("lead: shard={} lost to {}.", lead.shard, heartbeat.name);
            }
        }
    }

    pub(super) fn on_known_instances(
        &mut self,
        instances: Vec<(String, String, SocketAddr)>,
        leases: Vec<(String, String, u64)>,
        now: Instant,
    ) {
        for (name, domain, address) in instances {
            if name == self.settings.name {
                continue;
            }
            let peer = Peer {
                domain,
                address,
                last_heard: None,
                known_since: now,
                heartbeat_sent: None,
            };
            self.peers.entry(name).or_insert(peer);
        }
        for (shard, holder, incarnation) in leases {
            if let Some(lease) = self.leases.get_mut(&shard)
                && lease.leader.is_none()
            {
                lease.leader = Some((holder, incarnation));
            }
        }
        self.send_heartbeats(now, true);
    }
}

/// What an instance writes of itself into the store.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    domain: String,
    address: SocketAddr,
}

/// Writes this instance into the store and reads who else is there.
pub(super) async fn register_instance(store: &Store, settings: &Settings, to: &Address<Control>) {
    let row = InstanceRow {
        domain: settings.domain.clone(),
        address: settings.peers,
    };
    let key = RowKey::new(keys::INSTANCES, "", &settings.name);
    let tx = Tx {
        // Plain data always encodes.
        puts: vec![(key, postcard::to_stdvec(&row).unwrap_or_default())],
        ..Tx::default()
    };
    let mut backoff = Backoff::new();
    while let Err(e) = store.tx(&tx).await {
        log::warn!("peers: this instance is not written yet: {e}.");
        let wait = backoff.next(&mut rand::rng());
        sleep(wait).await;
    }
    loop {
        match read_known(store, settings).await {
            Ok(event) => break send_event(to, event).await,
            Err(e) => log::warn!("peers: the instances are not read yet: {e}."),
        }
        let wait = backoff.next(&mut rand::rng());
        sleep(wait).await;
    }
}

async fn read_known(store: &Store, settings: &Settings) -> Result<Event, StoreError> {
    let range = Range {
        table: keys::INSTANCES,
        part: "",
        from: "",
        to: "",
    };
    let page = store.range(&range).await?;
    let read = |row: Row| {
        let read = postcard::from_bytes::<InstanceRow>(&row.value);
        let read = read.inspect_err(|e| log::error!("peers: row={}: {e}.", row.name));
        read.ok().map(|r| (row.name.key, r.domain, r.address))
    };
    let instances = page.rows.into_iter().filter_map(read).collect();
    let mut leases = Vec::new();
    for shard in &settings.shards {
        let (row, ver) = takeover::read_lease(store, &shard.name).await?;
        if ver > 0 {
            leases.push((shard.name.clone(), row.holder, row.incarnation));
        }
    }
    Ok(Event::KnownInstances { instances, leases })
}
