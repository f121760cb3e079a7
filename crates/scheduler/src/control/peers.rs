//! Exchanges heartbeats with the other instances, which are discovered in the store.

use super::*;

/// The interval of heartbeats to peers in the own failure domain, and of a leader's heartbeats to
/// all peers. A leader counts as silent after five missing heartbeats.
const LOCAL_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The interval of other heartbeats to peers in other failure domains: that traffic is more
/// expensive, and these heartbeats are less urgent.
const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);

/// The time without a heartbeat after which a peer counts as lost. A lost peer is sent a heartbeat
/// only every 5 s, a sixth of this time.
const LOST_PEER_SILENCE: Duration = Duration::from_secs(30);

/// How long heartbeats tell of a changed lease row: longer than a cut-off leader goes on.
const TOKEN_RELAY_TIME: Duration = Duration::from_secs(10);

/// The minimum time between two rounds in which calls to the store are sent again; longer than the
/// time limit of a call that the store answers slowly.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);

/// What the heartbeats of one round say and leave out, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SentHeartbeats {
    /// How many datagrams one heartbeat takes beyond the first.
    further_datagrams: usize,
    /// How many of these are too long to be sent.
    too_long: usize,
    omissions: Omissions,
    /// The number of services whose outlooks are left out.
    outlooks_left_out: usize,
}

impl Control {
    /// Sends heartbeats to the peers for which one is due, or to all peers if `send_all` is true.
    pub(super) fn send_heartbeats(&mut self, now: Instant, send_all: bool) {
        let is_leader = !self.led_shards.is_empty();
        let is_due = |peer: &Peer, domain: &str| {
            // Peers in all domains must notice soon when a leader falls silent.
            let interval = if is_leader || peer.domain == domain {
                LOCAL_HEARTBEAT_INTERVAL
            } else {
                REMOTE_HEARTBEAT_INTERVAL
            };
            let is_lost = now.duration_since(peer.last_heard.unwrap_or(peer.discovered_at))
                > LOST_PEER_SILENCE;
            let interval = if is_lost {
                LOST_PEER_SILENCE / 6
            } else {
                interval
            };
            peer.heartbeat_sent
                .is_none_or(|at| now.duration_since(at) >= interval)
        };
        let domain = &self.settings.domain;
        if !send_all && !self.peers.values().any(|p| is_due(p, domain)) {
            return;
        }
        let led_shards = self.led_shards.values().map(|leader| {
            let mut pending: Vec<_> = leader.shard.pending().into_iter().collect();
            pending.sort();
            let loads = leader.shard.loads().into_iter();
            let mut loads: Vec<_> = loads.map(|(s, l)| (s, l.reserved, l.best_effort)).collect();
            loads.sort();
            LedShard {
                shard: leader.name.clone(),
                token: leader.token,
                lease_version: leader.lease_version,
                loads,
                pending,
            }
        });
        let outlooks = self.led_shards.values().filter_map(|leader| {
            let (computed_at, outlooks) = leader.outlooks(self.settings.features)?;
            let age = now.saturating_duration_since(computed_at);
            let services = outlooks.iter().filter(|o| !o.is_clear()).cloned();
            Some(ShardOutlook {
                shard: leader.name.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                services: services.collect(),
            })
        });
        let taking_over = self
            .leadership
            .iter()
            .filter(|(_, leadership)| leadership.taking_over);
        let health = self.store.health();
        let heartbeat = Heartbeat {
            name: self.settings.name.clone(),
            domain: domain.clone(),
            incarnation: self.incarnation,
            address: self.settings.peers,
            config_version: self.config.as_ref().map_or(0, |c| c.version),
            store_reachable: health.reachable,
            shutting_down: self.shutting_down,
            taking_over: taking_over.map(|(shard, _)| shard.clone()).collect(),
            led_shards: led_shards.collect(),
            cpu_share: self.settings.cpu_share,
            newest_tokens: self.recent_tokens(now),
            waits_for_loans: self.delegation.max_lease.is_some(),
            store_age: health.served_at.map(|at| now.saturating_duration_since(at)),
            outlooks: outlooks.collect(),
            omissions: Omissions::default(),
        };
        let mut parts = heartbeat.into_parts(self.heartbeat_round);
        self.heartbeat_round = self.heartbeat_round.wrapping_add(1);
        let outlooks_left_out = parts.iter_mut().map(Heartbeat::leave_out_outlooks).sum();
        let bufs: Vec<_> = parts.iter().filter_map(|part| part.encode().ok()).collect();
        let sent = SentHeartbeats {
            further_datagrams: parts.len() - 1,
            too_long: parts.len() - bufs.len(),
            omissions: Omissions {
                pending: parts.iter().any(|part| part.omissions.pending),
                loads: parts.iter().any(|part| part.omissions.loads),
                continues: false,
            },
            outlooks_left_out,
        };
        if sent != self.sent_heartbeats {
            log::info!(
                "peers: heartbeats have further_datagrams={} too_long={} and leave out pending={} loads={} outlooks={}.",
                sent.further_datagrams,
                sent.too_long,
                sent.omissions.pending,
                sent.omissions.loads,
                sent.outlooks_left_out,
            );
            self.sent_heartbeats = sent;
        }
        for peer in self.peers.values_mut() {
            if send_all || is_due(peer, domain) {
                peer.heartbeat_sent = Some(now);
                for buf in &bufs {
                    // A failure counts as a lost datagram; the next heartbeat follows soon.
                    let _ = self.socket.send_to(buf, peer.address);
                }
            }
        }
    }

    /// Applies a peer's heartbeat: the state of the peer, its takeovers and the shards that it
    /// leads.
    pub(super) fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) {
        if heartbeat.name == self.settings.name {
            return;
        }
        if !heartbeat.omissions.continues {
            self.note_peer(&heartbeat, now);
        }
        for (shard, token) in &heartbeat.newest_tokens {
            self.on_newest_token(shard, *token, now);
        }
        self.note_led_shards(heartbeat, now);
    }

    /// Records the state of a peer.
    fn note_peer(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let is_new = !self.peers.contains_key(&heartbeat.name);
        let peer = self
            .peers
            .entry(heartbeat.name.clone())
            .or_insert_with(|| Peer {
                domain: heartbeat.domain.clone(),
                address: heartbeat.address,
                last_heard: None,
                discovered_at: now,
                heartbeat_sent: None,
                waits_for_loans: false,
            });
        peer.last_heard = Some(now);
        peer.waits_for_loans = heartbeat.waits_for_loans;
        peer.address = heartbeat.address;
        if is_new {
            log::info!(
                "peers: discovered {} at {} cpu_share={}.",
                heartbeat.name,
                heartbeat.address,
                heartbeat.cpu_share
            );
        }
        if !heartbeat.store_reachable {
            self.store_doubted_at = Some(now);
        }
        let unreachable_since = (!heartbeat.store_reachable).then(|| {
            let previous = self.peer_views.get(&heartbeat.name);
            let previous = previous.filter(|p| p.incarnation == heartbeat.incarnation);
            previous.and_then(|p| p.unreachable_since).unwrap_or(now)
        });
        let previous = self.peer_views.insert(
            heartbeat.name.clone(),
            PeerView {
                domain: heartbeat.domain.clone(),
                incarnation: heartbeat.incarnation,
                last_heard: now,
                store_reachable: heartbeat.store_reachable,
                unreachable_since,
                served_at: heartbeat.store_age.and_then(|age| now.checked_sub(age)),
                shutting_down: heartbeat.shutting_down,
                cpu_share: heartbeat.cpu_share,
            },
        );
        if previous.is_some_and(|p| p.incarnation != heartbeat.incarnation) {
            log::info!("peers: {} has restarted.", heartbeat.name);
        }
        self.retry_store_calls(now);
    }

    /// Records the shards that a peer takes over or leads.
    fn note_led_shards(&mut self, heartbeat: Heartbeat, now: Instant) {
        let may_omit_pending = heartbeat.may_omit_pending();
        let rival_takeovers = heartbeat.taking_over.into_iter();
        for shard in rival_takeovers.filter(|_| heartbeat.store_reachable) {
            if let Some(leadership) = self.leadership.get_mut(&shard) {
                // The instance that began its takeover first gets time to finish.
                leadership.takeover_delay.on_rival(now);
            }
        }
        let mut outlooks: HashMap<_, _> = heartbeat
            .outlooks
            .into_iter()
            .filter_map(|o| {
                let computed_at = now.checked_sub(Duration::from_millis(o.age_ms.into()))?;
                Some((o.shard, (computed_at, Arc::from(o.services))))
            })
            .collect();
        for led_shard in heartbeat.led_shards {
            let Some(leadership) = self.leadership.get_mut(&led_shard.shard) else {
                continue;
            };
            if led_shard.token < leadership.token {
                continue;
            }
            if leadership.leader_since.is_none() || led_shard.token > leadership.token {
                leadership.leader_since = Some(now);
            }
            leadership.token = led_shard.token;
            leadership.leader = Some((heartbeat.name.clone(), heartbeat.incarnation));
            leadership.leader_updated_at = Some(now);
            // What the heartbeat leaves out may be in earlier ones.
            let earlier = leadership.view.take();
            let earlier =
                earlier.filter(|v| heartbeat.omissions.loads && v.token == led_shard.token);
            let mut loads = earlier.map_or_else(HashMap::default, |view| view.loads);
            loads.extend(
                led_shard
                    .loads
                    .into_iter()
                    .map(|(s, reserved, best_effort)| {
                        (
                            s,
                            ServiceLoad {
                                reserved,
                                best_effort,
                            },
                        )
                    }),
            );
            leadership.view = Some(LeaderView {
                name: heartbeat.name.clone(),
                address: heartbeat.address,
                token: led_shard.token,
                lease_version: led_shard.lease_version,
                last_heard: now,
                loads,
                may_omit_loads: heartbeat.omissions.loads,
                may_omit_pending,
                pending: led_shard.pending.into_iter().collect(),
                outlooks: outlooks.remove(&led_shard.shard),
            });
            if led_shard.token > leadership.newest_token {
                leadership.newest_token = led_shard.token;
                leadership.newest_token_at = Some(now);
            }
            let is_replaced = self
                .led_shards
                .get(&led_shard.shard)
                .is_some_and(|l| l.token < led_shard.token);
            if is_replaced {
                self.led_shards.remove(&led_shard.shard);
                self.metrics.led_shards.set(self.led_shards.len() as i64);
                log::info!(
                    "lead: shard={} is now led by {}.",
                    led_shard.shard,
                    heartbeat.name
                );
            }
        }
    }

    /// Returns the newest fencing tokens that this instance has learned lately, by shard.
    fn recent_tokens(&self, now: Instant) -> Vec<(String, u64)> {
        let is_recent = |at| now.duration_since(at) < TOKEN_RELAY_TIME;
        let recent = self.leadership.iter();
        let recent = recent.filter(|(_, l)| l.newest_token_at.is_some_and(is_recent));
        recent
            .map(|(shard, l)| (shard.clone(), l.newest_token))
            .collect()
    }

    /// Records that the lease row of a shard has this fencing token. If this instance leads with a
    /// lower one, it resigns: its successor may not lead yet, or may be unable to reach it.
    pub(super) fn on_newest_token(&mut self, shard: &str, token: u64, now: Instant) {
        let Some(leadership) = self.leadership.get_mut(shard) else {
            return;
        };
        if token <= leadership.newest_token {
            return;
        }
        leadership.newest_token = token;
        leadership.newest_token_at = Some(now);
        if self.led_shards.get(shard).is_some_and(|l| l.token < token) {
            self.resign(shard, "a peer knows of a newer lease row");
        } else {
            // Peers that do not hear the new holder learn it from this instance.
            self.send_heartbeats(now, true);
        }
    }

    /// Has the calls to the store that are in flight sent again if a peer was served after calls of
    /// this instance began to fail, since they may wait for a reply that was lost.
    fn retry_store_calls(&mut self, now: Instant) {
        let Some(failing_since) = self.store.health().failing_since else {
            return;
        };
        let is_due = |at| now.duration_since(at) >= STORE_RETRY_INTERVAL;
        let is_evidence = |p: &PeerView| p.served_at > Some(failing_since);
        if self.store_retried_at.is_none_or(is_due) && self.peer_views.values().any(is_evidence) {
            log::info!(
                "platform: the store serves a peer, calls are sent again: failing_ms={}.",
                now.saturating_duration_since(failing_since).as_millis()
            );
            self.store_retried_at = Some(now);
            self.store.request_retry();
        }
    }

    /// Applies the instances and leases that were read from the store at the start.
    pub(super) fn on_known_instances(
        &mut self,
        instances: Vec<(String, String, SocketAddr)>,
        leases: Vec<(String, LeaseRow)>,
        now: Instant,
    ) {
        let others = instances.iter();
        let others = others.filter(|(name, ..)| *name != self.settings.name);
        let listed_instances = others.count();
        for (name, domain, address) in instances {
            if name == self.settings.name {
                continue;
            }
            let peer = Peer {
                domain,
                address,
                last_heard: None,
                discovered_at: now,
                heartbeat_sent: None,
                waits_for_loans: false,
            };
            self.peers.entry(name).or_insert(peer);
        }
        for (shard, row) in leases {
            if let Some(leadership) = self.leadership.get_mut(&shard) {
                leadership.newest_token = leadership.newest_token.max(row.token);
                let leader = (row.holder, row.incarnation);
                leadership.leader.get_or_insert(leader);
            }
        }
        self.send_heartbeats(now, true);
        self.introduction = Some(Introduction {
            at: now,
            listed_instances,
        });
        log::info!(
            "peers: introduced listed_instances={listed_instances} after_ms={}.",
            now.saturating_duration_since(self.started_at).as_millis()
        );
    }
}

/// The value of an instance's row in the store, from which other instances discover it.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    domain: String,
    address: SocketAddr,
}

/// Writes the row of this instance into the store, then reads the rows of all instances and the
/// leases; both with retries until they succeed.
pub(super) async fn register_instance(store: &Store, settings: &Settings, to: &Address<Control>) {
    let row = InstanceRow {
        domain: settings.domain.clone(),
        address: settings.peers,
    };
    let key = RowKey::new(keys::INSTANCES, "", &settings.name);
    let tx = Tx {
        // Encoding plain data can't fail.
        puts: vec![(key, postcard::to_stdvec(&row).unwrap_or_default())],
        ..Tx::default()
    };
    retry(store, "writing the row of this instance", || store.tx(&tx)).await;
    let read = || read_known_instances(store, settings);
    let event = retry(store, "reading the rows of the instances", read).await;
    send_event(to, event).await;
}

/// Makes a call until it succeeds. It is repeated at once when the store is reachable again, since
/// this instance takes no part in the choice of a leader before.
async fn retry<T, F: Future<Output = Result<T, StoreError>>>(
    store: &Store,
    name: &str,
    call: impl Fn() -> F,
) -> T {
    let mut backoff = Backoff::new();
    loop {
        select! {
            biased;
            result = call() => match result {
                Ok(value) => return value,
                Err(e) => log::warn!("peers: {name} failed, retrying: {e}."),
            },
            () = store.retry_requested() => continue,
        }
        let wait = backoff.next(&mut rand::rng());
        select! {
            () = sleep(wait) => {}
            () = store.retry_requested() => {}
        }
    }
}

async fn read_known_instances(store: &Store, settings: &Settings) -> Result<Event, StoreError> {
    let range = Range {
        table: keys::INSTANCES,
        part: "",
        from: "",
        to: "",
        limit: None,
    };
    let page = store.range(&range).await?;
    let decode = |row: Row| {
        let decoded = postcard::from_bytes::<InstanceRow>(&row.value);
        let decoded = decoded.inspect_err(|e| {
            log::error!(
                "peers: row={} can't be decoded and is ignored: {e}.",
                row.name
            )
        });
        decoded.ok().map(|r| (row.name.key, r.domain, r.address))
    };
    let instances = page.rows.into_iter().filter_map(decode).collect();
    let mut leases = Vec::new();
    for shard in &settings.shards {
        let (row, lease_version) = takeover::read_lease(store, &shard.name).await?;
        if lease_version > 0 {
            leases.push((shard.name.clone(), row));
        }
    }
    Ok(Event::KnownInstances { instances, leases })
}
