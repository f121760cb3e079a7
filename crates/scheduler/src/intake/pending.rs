//! Counts the jobs of a queue that have not started.
//!
//! The leader of a shard counts them and sends the counts in its heartbeats. A count for which these
//! have no room is requested from the leader. Without heartbeats of a leader, or its reply, its row in the store has the counts, but the row of a leader that has ended stays. So
//! an instance answers from the row only while it changes, and refuses the call otherwise.

use {
    super::*,
    crate::{store_heartbeat::StoreHeartbeat, view::LeaderView},
    marigoldbend_core::sched::heartbeat_age::Freshness,
};

/// The interval at which the heartbeat row is read until it changes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Intake {
    /// Returns the response to a call for the number of jobs in a queue that have not started.
    pub(super) async fn pending(
        &self,
        view: &View,
        queue: &str,
        respond_by: Instant,
    ) -> HttpResponse {
        let mut total = 0;
        for shard in &self.settings.shards {
            let known = match view.leaders.get(&shard.name) {
                Some(leader) => self.known_pending(leader, &shard.name, queue).await,
                None => None,
            };
            let pending = match known {
                Some(pending) => pending,
                None => match self.stored_pending(&shard.name, queue, respond_by).await {
                    Some(pending) => pending,
                    None => return unavailable("the number of pending jobs is not known now"),
                },
            };
            total += pending;
        }
        respond(StatusCode::OK, wire::write_pending(total))
    }

    /// Returns the number that the leader of a shard has told in its heartbeats, or tells now if these
    /// may leave it out; `None` if it does not.
    async fn known_pending(&self, leader: &LeaderView, shard: &str, queue: &str) -> Option<u32> {
        let told = leader.pending.get(queue).copied();
        let told = told.or((!leader.may_omit_pending).then_some(0));
        let pending = match told {
            Some(pending) => pending,
            None => self.request_pending(leader, shard, queue).await?,
        };
        log::info!(
            "intake: call=pending queue={queue} shard={shard} pending={pending} leader={} token={} age_ms={} requested={}.",
            leader.name,
            leader.token,
            leader.last_heard.elapsed().as_millis(),
            told.is_none(),
        );
        Some(pending)
    }

    /// Requests the number from the leader of a shard; `None` if it does not reply with one.
    async fn request_pending(&self, leader: &LeaderView, shard: &str, queue: &str) -> Option<u32> {
        let call = Call::Pending {
            shard: shard.to_owned(),
            queue: queue.to_owned(),
        };
        match self.link(leader.address).call(&call, STATE_TIMEOUT).await {
            Ok(Reply::Pending(pending)) => pending,
            Ok(_) => None,
            Err(e) => {
                log::info!(
                    "intake: call=pending queue={queue} shard={shard} leader={} did not return the number: {e}.",
                    leader.name
                );
                None
            }
        }
    }

    /// Returns the number from the leader's heartbeat in the store; `None` if the heartbeat can't be
    /// read or does not change.
    async fn stored_pending(&self, shard: &str, queue: &str, respond_by: Instant) -> Option<u32> {
        loop {
            let row = self.read_row(&keys::heartbeat(shard), respond_by).await;
            let row = row.ok()??;
            let heartbeat = StoreHeartbeat::decode(&row);
            let heartbeat = heartbeat
                .inspect_err(|e| {
                    log::error!("intake: the heartbeat row of {shard} can't be decoded: {e}.")
                })
                .ok()?;
            let now = Instant::now();
            let freshness = {
                let mut ages = self.heartbeat_ages.lock();
                let age = ages.entry(shard.to_owned()).or_default();
                // Two leaders may use the same number.
                age.record(heartbeat.incarnation ^ heartbeat.number, now)
            };
            if freshness == Freshness::Unknown && now + POLL_INTERVAL < respond_by {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            let pending = heartbeat.pending_of(queue);
            log::info!(
                "intake: call=pending queue={queue} shard={shard} pending={pending:?} leader=none number={} heartbeat={freshness:?}.",
                heartbeat.number,
            );
            return pending.filter(|_| freshness == Freshness::Recent);
        }
    }
}
