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

/// How long a leader of the own domain may be silent; four beats and the delay of a busy host.
pub const LOCAL_SILENCE: Duration = Duration::from_millis(800);

/// How long after a better candidate the next one tries.
pub const RANK_DELAY: Duration = Duration::from_millis(350);

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
    pub zone: String,
    /// Its run.
    pub incarnation: u64,
    /// When it was last heard.
    pub heard: Instant,
    /// Whether it reaches the store.
    pub store_ok: bool,
    /// Whether it is ending.
    pub ending: bool,
}

/// What the decision about a shard depends on.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The own name.
    pub me: &'a str,
    /// The own run.
    pub incarnation: u64,
    /// The own failure domain.
    pub zone: &'a str,
    /// The shard's failure domain.
    pub shard: &'a str,
    /// Whether this instance reaches the store.
    pub store_ok: bool,
    /// The peers.
    pub peers: &'a HashMap<String, PeerView>,
    /// When this process began to listen.
    pub since: Instant,
    /// The leader that was last heard of or read, and its run.
    pub leader: Option<(&'a str, u64)>,
    /// When the leader last said that it leads.
    pub led: Option<Instant>,
}

/// Returns whether this instance should try to take the shard over now.
pub fn should_take(s: &Situation<'_>, now: Instant) -> bool {
    if !s.store_ok {
        return false;
    }
    let local = s.zone == s.shard;
    let alive = |p: &PeerView| now.duration_since(p.heard) < LOCAL_SILENCE;
    let able = |p: &PeerView| alive(p) && p.store_ok && !p.ending;
    let locals = s.peers.iter().filter(|(_, p)| p.zone == s.shard);
    let quiet_since = s.led.unwrap_or(s.since).max(s.since);
    let quiet = now.duration_since(quiet_since);
    let vacant = match s.leader {
        None => true,
        // A leader that runs anew, or gives up, or has lost the store has ended for us.
        Some((name, incarnation)) if name == s.me => incarnation != s.incarnation,
        Some((name, incarnation)) => s.peers.get(name).is_some_and(|p| {
            alive(p) && (p.incarnation != incarnation || p.ending || !p.store_ok)
        }),
    };
    if !local {
        let newest = locals.filter(|(_, p)| p.store_ok && !p.ending);
        let newest = newest.map(|(_, p)| p.heard).max();
        let silent = newest.unwrap_or(s.since).max(s.since);
        if now.duration_since(silent) < FOREIGN_SILENCE {
            return false;
        }
    }
    let rivals = s.peers.iter().filter(|(_, p)| able(p));
    let rivals = rivals.filter(|(_, p)| (p.zone == s.shard) == local);
    let better = rivals.filter(|(name, _)| rank(s.shard, name) < rank(s.shard, s.me));
    let delay = RANK_DELAY * u32::try_from(better.count()).unwrap_or(u32::MAX);
    let silence = if vacant { Duration::ZERO } else { LOCAL_SILENCE };
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
