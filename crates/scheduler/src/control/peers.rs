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
    pub(super) fn beat(&mut self, now: Instant, now_all: bool) {
        let leads = !self.leading.is_empty();
        let due = |peer: &Peer, zone: &str| {
            // Whoever follows must notice the silence of a leader soon, wherever it is.
            let gap = if leads || peer.zone == zone {
                LOCAL_BEAT
            } else {
                REMOTE_BEAT
            };
            let lost = now.duration_since(peer.heard.unwrap_or(peer.known)) > PEER_MEMORY;
            let gap = if lost { PEER_MEMORY / 6 } else { gap };
            peer.beaten.is_none_or(|at| now.duration_since(at) >= gap)
        };
        let zone = &self.settings.zone;
        if !now_all && !self.peers.values().any(|p| due(p, zone)) {
            return;
        }
        let leads = self.leading.values().map(|leading| {
            let mut pending: Vec<_> = leading.shard.pending().into_iter().collect();
            pending.sort();
            let loads = leading.shard.loads().into_iter();
            pending.truncate(MOST_QUEUES / self.leading.len().max(1));
            Lead {
                shard: leading.name.clone(),
                token: leading.token,
                ver: leading.ver,
                loads: loads.map(|(s, l)| (s, l.kept, l.filling)).collect(),
                pending,
            }
        });
        let taking = self.leases.iter().filter(|(_, lease)| lease.trying);
        let beat = Beat {
            name: self.settings.name.clone(),
            zone: zone.clone(),
            incarnation: self.incarnation,
            address: self.settings.peers,
            config: self.queues.as_ref().map_or(0, |q| q.version),
            store_ok: self.store.is_in_reach(),
            ending: self.ending,
            taking: taking.map(|(shard, _)| shard.clone()).collect(),
            leads: leads.collect(),
        };
        let buf = match beat.encode() {
            Ok(buf) => buf,
            Err(e) => {
                log::error!("peers: {e}.");
                return;
            }
        };
        for peer in self.peers.values_mut() {
            if now_all || due(peer, zone) {
                peer.beaten = Some(now);
                // A beat may be lost on the way as well.
                let _ = self.socket.send_to(&buf, peer.address);
            }
        }
    }

    pub(super) fn heard(&mut self, beat: Beat, now: Instant) {
        if beat.name == self.settings.name {
            return;
        }
        let new = !self.peers.contains_key(&beat.name);
        let peer = self.peers.entry(beat.name.clone()).or_insert_with(|| Peer {
            zone: beat.zone.clone(),
            address: beat.address,
            heard: None,
            known: now,
            beaten: None,
        });
        peer.heard = Some(now);
        peer.address = beat.address;
        if new {
            log::info!("peers: {} at {} is new.", beat.name, beat.address);
        }
        let before = self.heard.insert(
            beat.name.clone(),
            PeerView {
                zone: beat.zone,
                incarnation: beat.incarnation,
                heard: now,
                store_ok: beat.store_ok,
                ending: beat.ending,
            },
        );
        if before.is_some_and(|p| p.incarnation != beat.incarnation) {
            log::info!("peers: {} runs anew.", beat.name);
        }
        for shard in beat.taking {
            if let Some(lease) = self.leases.get_mut(&shard) {
                // Whoever began first is let alone for a while.
                lease.not_before = lease.not_before.max(Some(now + RIVAL_PAUSE));
            }
        }
        for lead in beat.leads {
            let Some(lease) = self.leases.get_mut(&lead.shard) else {
                continue;
            };
            if lead.token < lease.token {
                continue;
            }
            lease.token = lead.token;
            lease.leader = Some((beat.name.clone(), beat.incarnation));
            lease.led = Some(now);
            let loads = lead.loads.into_iter();
            let loads = loads.map(|(s, kept, filling)| (s, ServiceLoad { kept, filling }));
            lease.view = Some(LeaderView {
                name: beat.name.clone(),
                address: beat.address,
                token: lead.token,
                ver: lead.ver,
                heard: now,
                loads: loads.collect(),
                pending: lead.pending.into_iter().collect(),
            });
            let deposed = self
                .leading
                .get(&lead.shard)
                .is_some_and(|l| l.token < lead.token);
            if deposed {
                self.leading.remove(&lead.shard);
                self.metrics.leads.set(self.leading.len() as i64);
                log::info!("lead: shard={} lost to {}.", lead.shard, beat.name);
            }
        }
    }

    pub(super) fn known(
        &mut self,
        instances: Vec<(String, String, SocketAddr)>,
        leases: Vec<(String, String, u64)>,
        now: Instant,
    ) {
        for (name, zone, address) in instances {
            if name == self.settings.name {
                continue;
            }
            let peer = Peer {
                zone,
                address,
                heard: None,
                known: now,
                beaten: None,
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
        self.beat(now, true);
    }
}

/// What an instance writes of itself into the store.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    zone: String,
    address: SocketAddr,
}

/// Writes this instance into the store and reads who else is there.
pub(super) async fn introduce(store: &Store, settings: &Settings, to: &Address<Control>) {
    let row = InstanceRow {
        zone: settings.zone.clone(),
        address: settings.peers,
    };
    let key = RowKey::new(names::INSTANCES, "", &settings.name);
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
            Ok(event) => break tell(to, event).await,
            Err(e) => log::warn!("peers: the instances are not read yet: {e}."),
        }
        let wait = backoff.next(&mut rand::rng());
        sleep(wait).await;
    }
}

async fn read_known(store: &Store, settings: &Settings) -> Result<Event, StoreError> {
    let range = Range {
        table: names::INSTANCES,
        part: "",
        from: "",
        to: "",
    };
    let page = store.range(&range).await?;
    let read = |row: Row| {
        let read = postcard::from_bytes::<InstanceRow>(&row.value);
        let read = read.inspect_err(|e| log::error!("peers: row={}: {e}.", row.name));
        read.ok().map(|r| (row.name.key, r.zone, r.address))
    };
    let instances = page.rows.into_iter().filter_map(read).collect();
    let mut leases = Vec::new();
    for shard in &settings.shards {
        let (row, ver) = takeover::read_lease(store, &shard.name).await?;
        if ver > 0 {
            leases.push((shard.name.clone(), row.holder, row.incarnation));
        }
    }
    Ok(Event::Known { instances, leases })
}
