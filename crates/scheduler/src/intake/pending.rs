//! Counts the jobs of a queue that have not started.
//!
//! The leader of a shard counts them and sends the counts in its heartbeats. Without heartbeats of
//! a leader, its row in the store has the counts, but the row of a leader that has ended stays. So
//! an instance answers from the row only while it changes, and refuses the call otherwise.

use {
    super::*, crate::takeover::StoreHeartbeat, marigoldbend_core::sched::heartbeat_age::Freshness,
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
            let pending = match view.leaders.get(&shard.name) {
                Some(leader) => {
                    let pending = leader.pending.get(queue).copied().unwrap_or(0);
                    log::info!(
                        "intake: call=pending queue={queue} shard={} pending={pending} leader={} token={} age_ms={}.",
                        shard.name,
                        leader.name,
                        leader.token,
                        leader.last_heard.elapsed().as_millis(),
                    );
                    pending
                }
                None => match self.stored_pending(&shard.name, queue, respond_by).await {
                    Some(pending) => pending,
                    None => return unavailable("the number of pending jobs is not known now"),
                },
            };
            total += pending;
        }
        respond(StatusCode::OK, wire::write_pending(total))
    }

    /// Returns the number from the leader's heartbeat in the store; `None` if the heartbeat can't be
    /// read or does not change.
    async fn stored_pending(&self, shard: &str, queue: &str, respond_by: Instant) -> Option<u32> {
        loop {
            let row = self.read_row(&keys::heartbeat(shard), respond_by).await;
            let row = row.ok()??;
            let heartbeat = postcard::from_bytes::<StoreHeartbeat>(&row);
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
            let counts = heartbeat.pending.iter().filter(|(name, _)| name == queue);
            let pending = counts.map(|(_, pending)| pending).sum::<u32>();
            log::info!(
                "intake: call=pending queue={queue} shard={shard} pending={pending} leader=none number={} heartbeat={freshness:?}.",
                heartbeat.number,
            );
            return (freshness == Freshness::Recent).then_some(pending);
        }
    }
}
