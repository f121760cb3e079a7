//! What traffic threads know of the rest: an immutable snapshot, published by the control thread.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::{job::JobSpec, queues::Queues, shard::ServiceLoad},
    },
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// How much more of its processor, in thousandths, may be asked for in the own domain than in
/// the least loaded one before a job goes there; and the load up to which it stays in any case.
const RESERVED_MARGIN: u32 = 100;
const RESERVED_FLOOR: u32 = 600;

/// The same for jobs that only fill.
const BEST_EFFORT_MARGIN: u32 = 150;
const BEST_EFFORT_FLOOR: u32 = 200;

/// A shard's leader, as it was last heard.
#[derive(Clone, Debug)]
pub struct LeaderView {
    /// Its name.
    pub name: String,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// The version of its lease row.
    pub ver: u64,
    /// When it last said that it leads.
    pub last_heard: Instant,
    /// Services and how much of their processor is asked for.
    pub loads: HashMap<String, ServiceLoad>,
    /// Queues and how many of their jobs have not begun.
    pub pending: HashMap<String, u32>,
}

/// What is known.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub queues: Option<Arc<Queues>>,
    /// The leaders, by shard.
    pub leaders: HashMap<String, LeaderView>,
    /// The labels of the workers, by service and shard.
    pub labels: Arc<HashMap<String, HashMap<String, Vec<String>>>>,
    /// Whether this instance takes connections.
    pub ready: bool,
    /// Whether it is ending.
    pub ending: bool,
    /// Whether the store turns this instance away and serves a peer.
    pub rejected_by_store: bool,
}

impl View {
    /// Returns how many jobs of a queue have not begun in a shard, if its leader is heard.
    pub fn pending(&self, shard: &str, queue: &str) -> Option<u32> {
        let leader = self.leaders.get(shard)?;
        Some(leader.pending.get(queue).copied().unwrap_or(0))
    }

    /// Returns the shard for a new job; the own one unless it can't run it or is much busier.
    pub fn choose_shard(&self, own: &str, job: &JobSpec) -> String {
        let Some(shards) = self.labels.get(&job.service) else {
            return own.to_owned();
        };
        let required_labels = job.steps.iter().filter_map(|s| s.required_label.as_ref());
        let required_labels: Vec<_> = required_labels.collect();
        let near = job.steps.iter().filter_map(|s| s.preferred_rack.as_ref());
        let near: Vec<_> = near.collect();
        let best_effort = job.steps.iter().all(|s| s.best_effort);
        let (margin, floor) = if best_effort {
            (BEST_EFFORT_MARGIN, BEST_EFFORT_FLOOR)
        } else {
            (RESERVED_MARGIN, RESERVED_FLOOR)
        };
        let able = shards.iter().filter(|(shard, labels)| {
            self.leaders.contains_key(*shard) && required_labels.iter().all(|n| labels.contains(n))
        });
        let candidates = able.map(|(shard, labels)| {
            let close = near.iter().filter(|n| labels.contains(n)).count();
            let leader = self.leaders.get(shard);
            let load = leader.and_then(|l| l.loads.get(&job.service));
            let load = load.copied().unwrap_or_default();
            let load = if best_effort {
                load.best_effort
            } else {
                load.reserved
            };
            (close, load, shard)
        });
        let candidates: Vec<_> = candidates.collect();
        let closest = candidates.iter().map(|c| c.0).max().unwrap_or(0);
        let close = candidates.iter().filter(|c| c.0 == closest);
        let least = close.clone().map(|c| c.1).min().unwrap_or(0);
        let limit = floor.max(least.saturating_add(margin));
        let stays = |c: &&(usize, u32, &String)| c.2 == own && c.1 <= limit;
        if close.clone().any(|c| stays(&c)) {
            return own.to_owned();
        }
        let best = close.min_by_key(|c| (c.1, c.2));
        best.map_or_else(|| own.to_owned(), |c| c.2.clone())
    }
}
