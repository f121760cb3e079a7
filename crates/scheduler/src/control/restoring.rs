//! Leaderships whose lease row is written, while the rows of their shards are read.

use super::*;

/// The interval at which the lease row is read to confirm that this instance still holds it.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Starts to renew the leases of the workers of a shard whose lease row names this instance.
    ///
    /// After a takeover that failed, the next one by this instance finds the same lease row, and
    /// the leadership of the first continues.
    pub(super) fn on_lease_taken(&mut self, shard: &str, lease: Lease, now: Instant) {
        let leadership = self.leadership.get(shard);
        let newest = leadership.map_or(0, ShardLeadership::newest_token);
        if newest > lease.token || self.shutting_down || self.led_shards.contains_key(shard) {
            return;
        }
        if let Some(restoring) = self.restoring.get_mut(shard)
            && restoring.lease.token == lease.token
        {
            restoring.shard.confirm(lease.sent_at);
            return;
        }
        let shard_settings = self.settings.shards.iter().find(|s| s.name == shard);
        let callbacks = self.callbacks(shard, lease.token);
        let (Some(shard_settings), Some(callbacks)) = (shard_settings, callbacks) else {
            return;
        };
        let mut restoring = RestoringLeader::new(
            shard_settings,
            lease,
            &self.params(),
            callbacks,
            self.metrics.clone(),
        );
        restoring.update_workers(&self.workers);
        log::info!(
            "lead: shard={shard} holds the lease row token={} workers={} after_ms={}, renewing leases.",
            lease.token,
            restoring.shard.worker_addresses().count(),
            now.saturating_duration_since(lease.started_at).as_millis()
        );
        self.restoring.insert(shard.to_owned(), restoring);
        self.on_newest_token(shard, lease.token, now);
    }

    /// Returns the restoring leader of a shard; `None` if there is none with this fencing token.
    pub(super) fn restoring_leader(
        &mut self,
        shard: &str,
        token: u64,
    ) -> Option<&mut RestoringLeader> {
        let restoring = self.restoring.get_mut(shard)?;
        (restoring.lease.token == token).then_some(restoring)
    }

    /// Drops restoring leaders under the conditions under which a leader resigns, and confirms the
    /// leadership of the others.
    ///
    /// They write no store heartbeat, which would show counts that they don't know; they read the
    /// lease row instead.
    pub(super) fn check_restoring(&mut self, now: Instant) {
        if self.restoring.is_empty() {
            return;
        }
        let is_rejected = self.rejection.rejected_unlike().is_some();
        let in_minority = is_minority(&self.peer_views, now);
        let (leadership, shutting_down) = (&mut self.leadership, self.shutting_down);
        self.restoring.retain(|shard, restoring| {
            let newest = leadership
                .get(shard)
                .map_or(0, ShardLeadership::newest_token);
            let confirmed_at = restoring.shard.confirmed_at();
            let reason = if shutting_down {
                "the process is shutting down"
            } else if newest > restoring.lease.token {
                "another instance leads the shard"
            } else if is_rejected {
                "the store rejects this instance but serves a peer"
            } else if is_unconfirmed(confirmed_at, in_minority, now) {
                "the store has not confirmed the leadership"
            } else {
                return true;
            };
            log::info!(
                "lead: shard={shard} token={} renews no leases any more: {reason}.",
                restoring.lease.token
            );
            if let Some(leadership) = leadership.get_mut(shard) {
                leadership.given_up_token = restoring.lease.token;
            }
            false
        });
        let Some(to) = &self.address else {
            return;
        };
        for restoring in self.restoring.values_mut() {
            let requested_at = restoring.confirmation_requested_at;
            if now.saturating_duration_since(requested_at) < CONFIRMATION_INTERVAL {
                continue;
            }
            restoring.confirmation_requested_at = now;
            let lease = (restoring.lease.token, restoring.lease.version);
            let read = confirm_lease(self.store.clone(), to.clone(), &restoring.name, lease, now);
            tokio::spawn(read);
        }
    }
}

/// Reads the lease row of a shard, and reports whether it still has the version of this instance's
/// leadership, whose token and version `lease` holds. `now` is when the read is sent.
pub(super) fn confirm_lease(
    store: Arc<Store>,
    to: Address<Control>,
    shard: &str,
    (token, version): (u64, u64),
    now: Instant,
) -> impl Future<Output = ()> + use<> {
    let shard = shard.to_owned();
    async move {
        let event = match takeover::read_lease(&store, &shard).await {
            Ok((_, read)) if read == version => Event::LeadershipConfirmed(shard, token, now),
            Ok(_) => Event::Replaced(shard, token),
            Err(e) => return log::debug!("lead: reading the lease row failed: {e}."),
        };
        send_event(&to, event).await;
    }
}
