//! Who leads a shard.
//!
//! A shard's lease row in the store names its leader and the fencing token. It is written only
//! when the leader changes, so a takeover needs no lease to run out: workers refuse the lower
//! token, and rows are written on the condition that the lease row is unchanged. A false
//! takeover costs a look at each worker and nothing else.

use {
    crate::hash::HashMap,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How long a leader may be silent; five beats and the delay of a busy host.
pub const LOCAL_SILENCE: Duration = Duration::from_millis(800);

/// How long a peer may be silent before it counts as out of reach: three beats between domains.
pub const PEER_SILENCE: Duration = Duration::from_millis(1_500);

/// How long after a better candidate the next one tries.
pub const RANK_DELAY: Duration = Duration::from_millis(350);

/// How long the beat of a leader in the store must stand still for a few instances that hear
/// less than half of the others to take its shard over; it is written every second.
pub const STORE_SILENCE: Duration = Duration::from_millis(2_200);

/// How long a peer that is not heard any more counts as one of those that should be.
const PEER_MEMORY: Duration = Duration::from_secs(10);

/// How long a peer that said that it reaches the store is believed to reach it.
const HELP_MEMORY: Duration = Duration::from_millis(2_500);

/// How long a domain's own instances must be silent before another domain leads its shard.
pub const FOREIGN_SILENCE: Duration = Duration::from_millis(2_500);

/// The contents of a lease row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The leader's name.
    pub holder: String,
    /// The leader's run.
    pub incarnation: u64,
    /// The fencing token; grows by one with each change of the leader.
    pub token: u64,
}

/// What an instance tells its peers of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// Its failure domain.
    pub domain: String,
    /// Its run.
    pub incarnation: u64,
    /// When it was last heard.
    pub last_heard: Instant,
    /// Whether it reaches the store.
    pub store_ok: bool,
    /// Whether it is ending.
    pub ending: bool,
}

/// What the decision about a shard depends on.
#[derive(Debug)]
pub struct LeadershipView<'a> {
    /// The own name.
    pub own_name: &'a str,
    /// The own run.
    pub incarnation: u64,
    /// The own failure domain.
    pub domain: &'a str,
    /// The shard.
    pub shard: &'a str,
    /// The shard's failure domains.
    pub domains: &'a [String],
    /// Whether this instance reaches the store.
    pub store_ok: bool,
    /// The peers.
    pub peers: &'a HashMap<String, PeerView>,
    /// When this process began to listen.
    pub since: Instant,
    /// The leader that was last heard of or read, and its run.
    pub leader: Option<(&'a str, u64)>,
    /// When the leader last said that it leads.
    pub leader_heard: Option<Instant>,
    /// When this instance last could not trust its own silence: it stood still, or heard less
    /// than half of its peers.
    pub impaired_at: Option<Instant>,
    /// When the leader's beat in the store was last seen to change, if it was looked at.
    pub store_heartbeat_changed: Option<Instant>,
}

impl LeadershipView<'_> {
    /// Returns from when on the leader's silence means something.
    fn quiet_since(&self) -> Instant {
        let heard = self.leader_heard.unwrap_or(self.since).max(self.since);
        self.impaired_at
            .map_or(heard, |impaired_at| heard.max(impaired_at))
    }

    /// Returns whether the leader has not been heard for long, for whatever reason.
    pub fn is_leader_silent(&self, now: Instant) -> bool {
        let heard = self.leader_heard.unwrap_or(self.since).max(self.since);
        now.duration_since(heard) >= LOCAL_SILENCE
    }
}

/// Returns whether an instance hears less than half of the peers that it should hear.
///
/// It may then be cut off together with a few others, while the leader is well.
pub fn is_minority(peers: &HashMap<String, PeerView>, now: Instant) -> bool {
    let within = |p: &&PeerView, limit| now.duration_since(p.last_heard) < limit;
    let known = peers.values().filter(|p| within(p, PEER_MEMORY)).count();
    let alive = peers.values().filter(|p| within(p, PEER_SILENCE)).count();
    (alive + 1) * 2 < known + 1
}

/// Returns whether the store turns this instance away while it serves a peer.
pub fn is_rejected_by_store(
    store_ok: bool,
    peers: &HashMap<String, PeerView>,
    now: Instant,
) -> bool {
    let helps =
        |p: &PeerView| now.duration_since(p.last_heard) < HELP_MEMORY && p.store_ok && !p.ending;
    !store_ok && peers.values().any(helps)
}

/// Returns whether this instance should try to take the shard over now.
pub fn should_take_over(s: &LeadershipView<'_>, now: Instant) -> bool {
    if !s.store_ok {
        return false;
    }
    let of_shard = |domain: &str| s.domains.iter().any(|z| z == domain);
    let local = of_shard(s.domain);
    let alive = |p: &PeerView| now.duration_since(p.last_heard) < PEER_SILENCE;
    let able = |p: &PeerView| alive(p) && p.store_ok && !p.ending;
    let locals = s.peers.iter().filter(|(_, p)| of_shard(&p.domain));
    let quiet = now.duration_since(s.quiet_since());
    let vacant = match s.leader {
        None => true,
        // A leader that runs anew, or gives up, or has lost the store has ended for us.
        Some((name, incarnation)) if name == s.own_name => incarnation != s.incarnation,
        Some((name, incarnation)) => s
            .peers
            .get(name)
            .is_some_and(|p| alive(p) && (p.incarnation != incarnation || p.ending || !p.store_ok)),
    };
    if !vacant && is_minority(s.peers, now) {
        // Its own silence says little, the leader's beat in the store says more.
        let still = |at: Instant| now.duration_since(at) >= STORE_SILENCE;
        return s.store_heartbeat_changed.is_some_and(still);
    }
    if !local {
        let newest = locals.filter(|(_, p)| p.store_ok && !p.ending);
        let newest = newest.map(|(_, p)| p.last_heard).max();
        let silent = newest.unwrap_or(s.since).max(s.since);
        if now.duration_since(silent) < FOREIGN_SILENCE {
            return false;
        }
    }
    let rivals = s.peers.iter().filter(|(_, p)| able(p));
    let rivals = rivals.filter(|(_, p)| of_shard(&p.domain) == local);
    // A leader that runs anew is the first to take its shard again.
    let holder = s.leader.map(|(name, _)| name);
    let place = |name: &str| (Some(name) != holder, rank(s.shard, name));
    let better = rivals.filter(|(name, _)| place(name) < place(s.own_name));
    let delay = RANK_DELAY * u32::try_from(better.count()).unwrap_or(u32::MAX);
    let silence = if vacant {
        Duration::ZERO
    } else {
        LOCAL_SILENCE
    };
    // Right after the start nobody has been heard yet.
    let start = if s.leader.is_none() {
        LOCAL_SILENCE
    } else {
        Duration::ZERO
    };
    quiet >= silence + delay + start
}

/// Orders the candidates of a shard.
pub fn rank(shard: &str, name: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    (shard, name).hash(&mut hasher);
    hasher.finish()
}
