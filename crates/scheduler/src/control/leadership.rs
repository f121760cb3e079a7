//! Takes over, holds and resigns the leadership of shards.
//!
//! A leader writes a store heartbeat every second, in a transaction that expects its lease row
//! unchanged. If the store applies the write, the leadership is confirmed as of the time at which the
//! write was sent. A read that shows the lease row unchanged confirms it as well.

use {
    super::{events::HeartbeatVersion, restoring::confirm_lease, *},
    crate::store_heartbeat::StoreHeartbeat,
};

/// The interval of a leader's store heartbeats.
const STORE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum time between two of them, one of which shows that a worker is not silent any more.
const MIN_STORE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a leader reads its lease row while it waits for a confirmation, or calls to
/// the store fail: it must notice soon that the store serves it again, and that it still does not.
const LEASE_READ_INTERVAL: Duration = Duration::from_millis(200);

/// The age of the last confirmation from which on a leader reads its lease row: the store heartbeat that
/// was due has no reply yet.
const LATE_CONFIRMATION: Duration = Duration::from_millis(1_200);

/// The interval at which the store heartbeat of a silent leader is read.
const STORE_HEARTBEAT_READ_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum time for which an instance of another failure domain leads a shard before it
/// resigns in favour of an instance of the shard's own domains.
const MIN_FOREIGN_LEADERSHIP: Duration = Duration::from_secs(4);

/// How late a lease may end by the timers of a worker.
const LATE_END: Duration = Duration::from_millis(100);

impl Control {
    /// Returns the parameters of a led shard under the current settings.
    pub(super) fn params(&self) -> Params {
        let max_lease = self.settings.max_lease;
        // A restarted worker may have leases of the maximum length, on a slow clock, when this leader
        // takes over.
        let longest = max_lease * 103 / 100 + LATE_END;
        let params = Params {
            lease: Params::default().lease.min(max_lease),
            max_lease,
            drain: self.settings.drain,
            max_listed_ends: worker_wire::MAX_LISTED_ENDS,
            displace_long_running: self.settings.features.displace_long_running,
            cost_of_delay: self.settings.features.cost_of_delay,
            ..Params::default()
        };
        let params = match self.delegation.max_lease {
            Some(max_lease) => params.with_loans(max_lease),
            None => params,
        };
        Params {
            unknown_run_limit: params.unknown_run_limit.max(longest),
            ..params
        }
    }

    /// Resigns shards that this instance can't lead any more, and takes over shards that need a
    /// new leader.
    pub(super) fn check_leadership(&mut self, now: Instant) {
        let health = self.store.health();
        self.rejection
            .update(&health, &self.peer_views, self.stalled_at, now);
        if let Some(served) = self.rejection.rejected_unlike()
            && !self.led_shards.is_empty()
        {
            let ms_ago = |at: Option<Instant>| {
                at.map_or(0, |at| now.saturating_duration_since(at).as_millis())
            };
            log::warn!(
                "lead: resigning, the store rejects this instance but serves a peer: failing_ms={} failed_call_ms={} peer={} served_ms={}.",
                ms_ago(health.failing_since),
                ms_ago(health.failed_call_sent),
                served.name,
                ms_ago(Some(served.served_at)),
            );
            self.resign_all(now);
        }
        self.resign_unconfirmed(now);
        self.extend_unknown_runs(now);
        self.return_foreign_shards(now);
        if self.shutting_down {
            let stored: Vec<_> = self
                .led_shards
                .values()
                .filter(|l| l.is_stored())
                .map(|l| l.name.clone())
                .collect();
            for shard in stored {
                self.resign(&shard, "the process is shutting down");
            }
            return;
        }
        let shards: Vec<_> = self.leadership.keys().cloned().collect();
        let mut silent_leaders = Vec::new();
        let in_minority = is_minority(&self.peer_views, now);
        let mut impaired = false;
        for shard in shards {
            if self.led_shards.contains_key(&shard) {
                continue;
            }
            let Some(leadership) = self.leadership.get(&shard) else {
                continue;
            };
            let may_take_over =
                !leadership.taking_over && leadership.takeover_delay.has_passed(now);
            let view = LeadershipView {
                own_name: &self.settings.name,
                cpu_share: self.settings.cpu_share,
                incarnation: self.incarnation,
                domain: &self.settings.domain,
                shard: &shard,
                domains: self.settings.domains_of(&shard),
                store: health,
                peers: &self.peer_views,
                since: self.started_at,
                introduced_at: self.introduction.map(|i| i.at),
                listed_instances: self.introduction.map_or(0, |i| i.listed_instances),
                leader: leadership
                    .leader
                    .as_ref()
                    .map(|(name, incarnation)| (name.as_str(), *incarnation)),
                leader_updated_at: leadership.leader_updated_at,
                leader_since: leadership.leader_since,
                impaired_at: self.impaired_at,
                store_heartbeat_changed: leadership.store_heartbeat_changed,
            };
            if in_minority || view.misses_most(now) {
                impaired = true;
                if view.is_leader_silent(now) {
                    silent_leaders.push(shard.clone());
                }
            }
            if may_take_over && let Some(reason) = takeover_reason(&view, now) {
                self.take_over(&shard, reason);
            }
        }
        if impaired {
            self.impaired_at = Some(now);
        }
        for (shard, leadership) in &mut self.leadership {
            // While it is not read, nothing is known about whether it changes.
            if !silent_leaders.contains(shard) {
                leadership.store_heartbeat_changed = None;
            }
        }
        for shard in silent_leaders {
            self.check_store_heartbeat(&shard, now);
        }
    }

    /// Resigns shards whose leadership the store has not confirmed in time: the others may have
    /// chosen a new leader. Resigns those, too, for which the store has accepted no write for long: it
    /// may accept those of another instance.
    fn resign_unconfirmed(&mut self, now: Instant) {
        let unwritten = self.led_shards.values();
        let unwritten = unwritten.filter(|l| is_unwritten(l.written_at, now));
        let unwritten: Vec<_> = unwritten.map(|l| l.name.clone()).collect();
        for shard in unwritten {
            self.resign(&shard, "the store has accepted no write for too long");
        }
        let in_minority = is_minority(&self.peer_views, now);
        let unconfirmed = self.led_shards.values();
        let unconfirmed =
            unconfirmed.filter(|l| is_unconfirmed(l.shard.confirmed_at(), in_minority, now));
        let unconfirmed: Vec<_> = unconfirmed.map(|l| l.name.clone()).collect();
        let reason = if in_minority {
            "neither the store nor most peers are reachable"
        } else {
            "the store has been unreachable for too long"
        };
        for shard in unconfirmed {
            self.resign(&shard, reason);
        }
    }

    /// While this instance does not hear a majority, an earlier leader that does may be unaware of
    /// it, so the wait for its runs begins anew.
    fn extend_unknown_runs(&mut self, now: Instant) {
        if is_majority(&self.peer_views, now) {
            return;
        }
        for leader in self.led_shards.values_mut() {
            leader.shard.extend_unknown_runs(now);
        }
        for restoring in self.restoring.values_mut() {
            restoring.shard.extend_unknown_runs(now);
        }
    }

    /// Starts reading the store heartbeat of a leader whose heartbeats don't arrive here, to tell
    /// whether the leader is alive.
    pub(super) fn check_store_heartbeat(&mut self, shard: &str, now: Instant) {
        let Some(leadership) = self.leadership.get_mut(shard) else {
            return;
        };
        if leadership
            .store_heartbeat_requested
            .is_some_and(|at| now.duration_since(at) < STORE_HEARTBEAT_READ_INTERVAL)
        {
            return;
        }
        leadership.store_heartbeat_requested = Some(now);
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

    /// Reads the lease rows of the led shards whose confirmation is awaited or late, which confirms the
    /// leadership as a write does.
    ///
    /// A store with more writes than it can carry out refuses them, but it serves reads. No
    /// successor can write the lease row then either.
    pub(super) fn read_awaited_leases(&mut self, now: Instant) {
        let Some(to) = &self.address else {
            return;
        };
        let is_failing = self.store.health().failing_since.is_some();
        for leader in self.led_shards.values_mut() {
            let age = now.saturating_duration_since(leader.shard.confirmed_at());
            let is_awaited =
                is_failing || leader.shard.awaits_confirmation() || age > LATE_CONFIRMATION;
            if !is_awaited || now.duration_since(leader.lease_read_at) < LEASE_READ_INTERVAL {
                continue;
            }
            leader.lease_read_at = now;
            let lease = (leader.token, leader.lease_version);
            let read = confirm_lease(self.store.clone(), to.clone(), &leader.name, lease, now);
            tokio::spawn(read);
        }
    }

    /// Writes the store heartbeats of the led shards that are due.
    pub(super) fn write_store_heartbeats(&mut self, now: Instant) {
        let Some(to) = &self.address else {
            return;
        };
        let is_failing = self.store.health().failing_since.is_some();
        for leader in self.led_shards.values_mut() {
            let interval = if leader.shard.has_ended_silence(now) {
                MIN_STORE_HEARTBEAT_INTERVAL
            } else {
                STORE_HEARTBEAT_INTERVAL
            };
            let is_due = |at| now.duration_since(at) >= interval;
            if !leader.heartbeat_sent.is_none_or(is_due) {
                continue;
            }
            leader.heartbeat_sent = Some(now);
            self.store_heartbeat_number += 1;
            let silences = leader.shard.tell_silences(!is_failing, now);
            let pending = leader.shard.pending().into_iter().collect();
            let heartbeat = StoreHeartbeat::new(
                self.incarnation,
                leader.token,
                self.store_heartbeat_number,
                pending,
                &silences,
            );
            // The write expects the lease row unchanged, so a leader that was replaced gets a conflict,
            // and the heartbeat row, so that one that is delayed does not replace a newer one.
            let row = keys::heartbeat(&leader.name);
            let (lease, lease_version) = (keys::lease(&leader.name), leader.lease_version);
            let tx = Tx {
                expect: vec![
                    (lease.clone(), lease_version),
                    (row.clone(), leader.heartbeat_version),
                ],
                puts: vec![(row.clone(), heartbeat.encode())],
                ..Tx::default()
            };
            let store = self.store.clone();
            let to = to.clone();
            let (shard, token) = (leader.name.clone(), leader.token);
            tokio::spawn(async move {
                let version = match store.tx(&tx).await {
                    Ok(TxOutcome::Applied(version)) => HeartbeatVersion::Written {
                        round: silences.round,
                        version,
                    },
                    Ok(TxOutcome::Conflict(rows)) => {
                        let is_replaced = rows
                            .iter()
                            .any(|row| row.name == lease && row.version != lease_version);
                        let found = rows.iter().find(|found| found.name == row);
                        match found.filter(|_| !is_replaced) {
                            Some(found) => HeartbeatVersion::Found(found.version),
                            None => return send_event(&to, Event::Replaced(shard, token)).await,
                        }
                    }
                    Err(e) => return log::debug!("lead: writing a store heartbeat failed: {e}."),
                };
                send_event(&to, Event::StoreHeartbeatResult(shard, token, now, version)).await;
            });
        }
    }

    /// Applies the result of a store heartbeat that was sent at `sent_at`.
    pub(super) fn on_store_heartbeat_result(
        &mut self,
        shard: &str,
        token: u64,
        sent_at: Instant,
        version: HeartbeatVersion,
        now: Instant,
    ) {
        let Some(leader) = self.shard_leader(shard, token) else {
            return;
        };
        // The lease row was unchanged in both cases.
        leader.shard.confirm(sent_at);
        match version {
            HeartbeatVersion::Written { round, version } => {
                leader.written_at = now;
                leader.heartbeat_version = leader.heartbeat_version.max(version);
                leader.shard.on_silences_stored(round);
            }
            HeartbeatVersion::Found(version) => {
                leader.heartbeat_version = leader.heartbeat_version.max(version);
                leader.heartbeat_sent = None;
            }
        }
    }

    /// Starts the takeover of a shard; [`Event::TakenOver`] delivers the result.
    pub(super) fn take_over(&mut self, shard: &str, reason: TakeoverReason) {
        let Some(address) = self.address.clone() else {
            return;
        };
        if let Some(leadership) = self.leadership.get_mut(shard) {
            leadership.taking_over = true;
        }
        let now = self.clock.now();
        self.log_takeover(shard, reason, now);
        self.send_heartbeats(now, true);
        let leadership = self.leadership.get(shard);
        let working_leader = leadership.is_some_and(|l| {
            let view = l.view.as_ref();
            view.is_some_and(|view| now.duration_since(view.last_heard) < LEADER_TIMEOUT)
        });
        let known = leadership.map_or_else(KnownTokens::default, |l| KnownTokens {
            led: l.token.max(l.given_up_token),
            newest: l.newest_token(),
        });
        let store = self.store.clone();
        let name = self.settings.name.clone();
        let incarnation = self.incarnation;
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let on_step = |step| -> crate::commands::BoxFuture<()> {
                let event = Event::TakeoverStep(shard.clone(), step);
                let to = address.clone();
                Box::pin(async move { send_event(&to, event).await })
            };
            let instance = (name.as_str(), incarnation);
            let state =
                takeover::take_over(&store, &shard, instance, known, working_leader, &on_step)
                    .await;
            send_event(&address, Event::TakenOver(shard, state)).await;
        });
    }

    /// Logs why this instance takes a shard over, with the state of the leader and of the store.
    fn log_takeover(&self, shard: &str, reason: TakeoverReason, now: Instant) {
        let ms_ago = |at: Option<Instant>| {
            let age = at.map(|at| now.saturating_duration_since(at).as_millis());
            age.map_or_else(|| "none".to_owned(), |ms| ms.to_string())
        };
        let leadership = self.leadership.get(shard);
        let leader = leadership.and_then(|l| Some(l.leader.as_ref()?.0.as_str()));
        let peer = leader.and_then(|name| self.peer_views.get(name));
        log::info!(
            "lead: shard={shard} taking over cpu_share={} reason={reason} leader={} leader_cpu_share={} leader_heard_ms={} leader_named_ms={} leader_unreachable_ms={} store_back_ms={} peers_unreachable={}.",
            self.settings.cpu_share,
            leader.unwrap_or("none"),
            peer.map_or(0, |p| p.cpu_share),
            ms_ago(peer.map(|p| p.last_heard)),
            ms_ago(leadership.and_then(|l| l.leader_updated_at)),
            ms_ago(peer.and_then(|p| p.unreachable_since)),
            ms_ago(self.store.health().reachable_since),
            self.peer_views
                .values()
                .filter(|p| !p.store_reachable)
                .count(),
        );
    }

    /// Starts to lead a shard after a successful takeover, or records which instance was first.
    pub(super) fn on_takeover(
        &mut self,
        shard: &str,
        result: Result<TakeoverState, TakeoverError>,
        now: Instant,
    ) {
        let name = self.settings.name.clone();
        let Some(leadership) = self.leadership.get_mut(shard) else {
            return;
        };
        leadership.taking_over = false;
        let mut state = match result {
            Ok(state) => state,
            Err(e) => {
                log::info!("lead: shard={shard} takeover failed: {e}.");
                // After any other failure the leases of the workers are still renewed, as the lease
                // row may name this instance, and then nobody leads.
                if let TakeoverError::Lost {
                    holder,
                    incarnation,
                    token,
                } = e
                {
                    self.restoring.remove(shard);
                    leadership.takeover_delay.on_decided(now);
                    leadership.leader = Some((holder, incarnation));
                    leadership.token = token;
                    leadership.leader_since = None;
                    leadership.leader_updated_at = Some(now);
                } else {
                    leadership.takeover_delay.on_failure(now);
                    self.send_heartbeats(now, true);
                }
                return;
            }
        };
        let token = state.lease.token;
        let restoring = self.restoring.remove(shard);
        let restoring = restoring.filter(|r| r.lease.token == token);
        let is_current = leadership.newest_token() <= token && !self.shutting_down;
        let Some(restoring) = restoring.filter(|_| is_current) else {
            log::info!(
                "lead: shard={shard} takeover dropped token={token} newest={} shutting_down={}.",
                leadership.newest_token(),
                self.shutting_down
            );
            if is_current {
                leadership.takeover_delay.on_failure(now);
            }
            return;
        };
        log::info!(
            "lead: shard={shard} taken over token={token} jobs={} workers={} pairs={} shapes={}.",
            state.jobs.len(),
            state.workers_in_use.len(),
            state.interference.len(),
            state.run_times.len(),
        );
        leadership.takeover_delay.on_decided(now);
        leadership.leader = Some((name, self.incarnation));
        leadership.token = token;
        leadership.leader_updated_at = Some(now);
        let after_version = state.watch_from;
        let params = self.params();
        let cancelled = state.cancelled.clone();
        let changed_jobs = std::mem::take(&mut state.changed_jobs);
        let mut leader = ShardLeader::new(
            restoring,
            state,
            &self.workers,
            &self.evacuated,
            params,
            now,
            unix_ms(),
        );
        for job in cancelled
            .into_iter()
            .filter(|job| !leader.shard.contains_job(*job))
        {
            self.forward_cancel(shard, job);
        }
        let cancels_to_forward = leader.on_job_rows(&changed_jobs, false, now, unix_ms());
        leader.shard.hold_starts(self.must_hold_starts(now));
        leader.job_watch = self.watch_jobs(shard, token, after_version);
        self.led_shards.insert(shard.to_owned(), leader);
        let Some(cancels_to_forward) = cancels_to_forward else {
            return self.resign(shard, "a job row has a higher fencing token");
        };
        for job in cancels_to_forward {
            self.forward_cancel(shard, job);
        }
        self.led_since.insert(shard.to_owned(), now);
        self.metrics.led_shards.set(self.led_shards.len() as i64);
        self.advance_shard(shard, now);
        self.send_heartbeats(now, true);
    }

    /// Resigns shards of other domains once an instance of their own domains can lead them again.
    pub(super) fn return_foreign_shards(&mut self, now: Instant) {
        let foreign = self.led_shards.keys().filter(|shard| {
            let domains = self.settings.domains_of(shard);
            !domains.contains(&self.settings.domain)
        });
        let can_lead = |shard: &str| {
            let domains = self.settings.domains_of(shard);
            self.peer_views.values().any(|p| {
                domains.contains(&p.domain)
                    && p.store_reachable
                    && !p.shutting_down
                    && now.duration_since(p.last_heard) < LEADER_TIMEOUT
            })
        };
        let is_long_held = |shard: &str| {
            let since = self.led_since.get(shard);
            since.is_some_and(|since| now.duration_since(*since) > MIN_FOREIGN_LEADERSHIP)
        };
        let returnable: Vec<_> = foreign
            .filter(|s| is_long_held(s) && can_lead(s))
            .cloned()
            .collect();
        for shard in returnable {
            self.resign(&shard, "an instance of its own domain can lead it");
        }
    }

    /// Resigns all shards because the store is unreachable.
    pub(super) fn resign_all(&mut self, _now: Instant) {
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            self.resign(&shard, "the store is unreachable");
        }
    }

    /// Stops leading a shard and sends heartbeats without it to all peers; `reason` is for the log.
    pub(super) fn resign(&mut self, shard: &str, reason: &str) {
        let now = self.clock.now();
        if self.led_shards.remove(shard).is_none() {
            return;
        }
        log::info!("lead: shard={shard} resigned: {reason}.");
        if let Some(leadership) = self.leadership.get_mut(shard) {
            leadership.view = None;
            leadership.leader_updated_at = Some(now);
            leadership.takeover_delay.on_resigned(now);
        }
        self.metrics.led_shards.set(self.led_shards.len() as i64);
        self.send_heartbeats(now, true);
    }
}
