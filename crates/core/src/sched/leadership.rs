//! Choosing the leader of a shard.
//!
//! A shard's lease row in the store names its leader and the fencing token. The row is written
//! only when the leader changes, and it has no expiry that a takeover would have to wait for:
//! workers refuse commands with a lower token than they have seen, and a leader's writes take
//! effect only while the lease row is unchanged. The only cost of an unnecessary takeover is that
//! the new leader requests a report from each worker.

use {
    crate::hash::HashMap,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        fmt,
        time::{Duration, Instant},
    },
};

/// How long a leader may be silent before it is replaced: five heartbeats and the delay of a
/// busy host.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a peer may be silent before it counts as unreachable: three heartbeats between
/// domains.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long after a leader's last heartbeat a heartbeat of another peer shows that this instance was
/// not cut off together with it: two heartbeats of a leader, so that the last one before a cut and the
/// delay of the others don't count.
const LEADER_SILENCE_BEGIN: Duration = Duration::from_millis(300);

/// How long peers may be silent before an instance whose store calls fail as well counts as cut off: two
/// heartbeats between domains and their delay.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The delay between the takeover attempts of two candidates that are next to each other in
/// rank.
pub const RANK_DELAY: Duration = Duration::from_millis(350);

/// How long the leader's heartbeat in the store must be unchanged before an instance that hears
/// from only a minority of its peers takes the shard over; the leader writes it every second.
pub const STORE_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How long after its last heartbeat a peer counts among those that this instance should hear.
const EXPECTED_PEER_WINDOW: Duration = Duration::from_secs(10);

/// The maximum age of the last confirmation with which a leader that hears only a minority of its
/// peers continues to lead.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(2_000);

/// The same for a leader that hears more of them: an outage of the store of 10 s, and the interval of
/// confirmations before it. The leases that it grants until then end before a successor beyond a
/// partition, which expects the others for [`EXPECTED_PEER_WINDOW`], has waited for unknown runs.
const MAX_UNCONFIRMED_LIMIT: Duration = Duration::from_millis(11_300);

/// How long the store may accept no write of a leader that it confirms by reads: a backlog of writes
/// ends within this time, and another leader would wait for it as well.
const MAX_UNWRITTEN: Duration = Duration::from_secs(60);

/// How long before its handling a heartbeat may have been sent. If this process was delayed for longer, it
/// notices that it has stalled.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(450);

/// How long after a peer's heartbeat its report that it reaches the store stays valid.
const STORE_REPORT_TTL: Duration = Duration::from_millis(2_500);

/// The time within which an instance that the store serves again makes a call that shows it, and its
/// peers hear of it: a pause of 250 ms after a failed call, the time limit of a read of 1 s if the
/// store was silent, a tick of 50 ms, and the delay of the heartbeat. A leader calls more often.
///
/// An instance that the store serves leaves it so long to a leader that is heard, and to larger
/// candidates, to reach the store as well.
pub const STORE_RETURN_DELAY: Duration =
    Duration::from_millis(250 + 1_000 + 50).saturating_add(MAX_HEARTBEAT_DELAY);

/// How long all instances of a shard's own domains must be silent before an instance of another
/// domain takes the shard over.
pub const OTHER_DOMAIN_DELAY: Duration = Duration::from_millis(2_500);

/// The processor share of one core.
const ONE_CORE: u32 = 1_000;

/// How long a leader is left alone before an instance of a larger size class takes the shard over;
/// each takeover makes every worker report anew.
pub const MIN_LEADERSHIP: Duration = Duration::from_secs(3);

/// The minimum time between the end of a takeover and the next one of the same shard, unless it
/// failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long an instance waits after a heartbeat from a peer that is taking a shard over, before it
/// may take over that shard itself; reading all rows of a busy shard takes that long.
const RIVAL_DELAY: Duration = Duration::from_millis(700);

/// The minimum time between a failed takeover and the next one by the same instance; longer than
/// [`RIVAL_DELAY`], so that another instance tries first.
const FAILURE_DELAY: Duration = Duration::from_millis(1_500);

/// The maximum number of [`FAILURE_DELAY`]s between two takeovers.
const MAX_FAILURE_DELAYS: u32 = 4;

/// How long an instance that resigned as leader leaves the shard to others.
const RESIGNED_DELAY: Duration = Duration::from_millis(2_500);

/// When an instance may take a shard over, judged by its own and its peers' earlier takeovers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverDelay {
    /// No takeover begins before this time; `None` if nothing delays it.
    not_before: Option<Instant>,
    /// The number of failed takeovers in a row.
    failures: u32,
}

impl TakeoverDelay {
    /// Returns whether a takeover may begin at `now`.
    pub fn has_passed(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| at <= now)
    }

    /// Records that this instance became leader, or that another instance was first.
    pub fn on_decided(&mut self, now: Instant) {
        self.failures = 0;
        self.not_before = Some(now + RETRY_DELAY);
    }

    /// Records that a takeover by this instance failed.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures = (self.failures + 1).min(MAX_FAILURE_DELAYS);
        self.not_before = Some(now + FAILURE_DELAY * self.failures);
    }

    /// Records a heartbeat from a peer that is taking the shard over.
    pub fn on_rival(&mut self, now: Instant) {
        self.not_before = self.not_before.max(Some(now + RIVAL_DELAY));
    }

    /// Records that this instance resigned as the shard's leader.
    pub fn on_resigned(&mut self, now: Instant) {
        self.not_before = Some(now + RESIGNED_DELAY);
    }
}

/// The contents of a lease row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The leader's name.
    pub holder: String,
    /// The leader's incarnation.
    pub incarnation: u64,
    /// The fencing token; each change of the leader increments it.
    pub token: u64,
}

/// The state of a peer, from its last heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerView {
    /// The peer's failure domain.
    pub domain: String,
    /// The peer's incarnation.
    pub incarnation: u64,
    /// When the peer's last heartbeat was received.
    pub last_heard: Instant,
    /// Whether the peer reaches the store.
    pub store_reachable: bool,
    /// Since when the peer's heartbeats have said that it does not reach the store; `None` if the
    /// last one says that it does.
    pub unreachable_since: Option<Instant>,
    /// A time after which the store served the peer, too late by at most [`MAX_HEARTBEAT_DELAY`]
    /// unless this instance has stalled; `None` if unknown.
    pub served_at: Option<Instant>,
    /// Whether the peer is shutting down.
    pub shutting_down: bool,
    /// The processor time that the peer may use, in thousandths of a core; zero if unknown.
    pub cpu_share: u32,
}

/// The state of an instance's calls to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreHealth {
    /// Whether the store counts as reachable.
    pub reachable: bool,
    /// When the newest call that succeeded was sent; `None` if none has succeeded.
    pub served_at: Option<Instant>,
    /// When the first call after the last success failed; `None` after a success.
    pub failing_since: Option<Instant>,
    /// When the newest call that has failed since the last success was sent; `None` after a
    /// success.
    pub failed_call_sent: Option<Instant>,
    /// When a call first succeeded after the store had last been unreachable; `None` if it never
    /// was.
    pub reachable_since: Option<Instant>,
}

/// The input of the decision whether to take a shard over.
#[derive(Debug)]
pub struct LeadershipView<'a> {
    /// The name of this instance.
    pub own_name: &'a str,
    /// The incarnation of this instance.
    pub incarnation: u64,
    /// The processor time that this instance may use, in thousandths of a core.
    pub cpu_share: u32,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// The shard.
    pub shard: &'a str,
    /// The shard's failure domains.
    pub domains: &'a [String],
    /// The state of this instance's calls to the store.
    pub store: StoreHealth,
    /// The peers, by name.
    pub peers: &'a HashMap<String, PeerView>,
    /// When this process began to listen for heartbeats.
    pub since: Instant,
    /// When this instance had read from the store which instances and leaders there are, and sent its
    /// first heartbeats to them; `None` before. A leader may send it none until then.
    pub introduced_at: Option<Instant>,
    /// The number of other instances that the store listed then.
    pub listed_instances: usize,
    /// The leader last seen in a heartbeat or in the lease row, and its incarnation; `None` if
    /// there has been none.
    pub leader: Option<(&'a str, u64)>,
    /// When a heartbeat last named the leader, or this instance last won or lost a takeover or
    /// resigned. The leader's silence counts from then on; `None` if none of these has happened.
    pub leader_updated_at: Option<Instant>,
    /// When a heartbeat first named the leader with its present token; `None` if none has.
    pub leader_since: Option<Instant>,
    /// When this instance last stalled or heard from only a minority of its peers.
    ///
    /// The leader's silence counts only from then on.
    pub impaired_at: Option<Instant>,
    /// When the leader's heartbeat in the store was last seen to change; `None` if this instance
    /// has not read the heartbeat.
    pub store_heartbeat_changed: Option<Instant>,
}

impl LeadershipView<'_> {
    /// Returns the time from which the leader's heartbeats are missing, or from which they would have
    /// arrived; `None` if an existing leader may not know of this instance yet.
    fn leader_missed_since(&self) -> Option<Instant> {
        let since = self.leader_updated_at.or(self.introduced_at)?;
        Some(since.max(self.since))
    }

    /// Returns the time from which the leader's silence counts; `None` if it proves nothing.
    fn leader_silent_since(&self) -> Option<Instant> {
        let missed_since = self.leader_missed_since()?;
        Some(
            self.impaired_at
                .map_or(missed_since, |at| at.max(missed_since)),
        )
    }

    /// Returns whether the leader has been silent for [`LEADER_TIMEOUT`], even if this instance
    /// was impaired in the meantime.
    pub fn is_leader_silent(&self, now: Instant) -> bool {
        let is_long = |since| now.duration_since(since) >= LEADER_TIMEOUT;
        self.leader_missed_since().is_some_and(is_long)
    }

    /// Returns whether this instance hears only a minority of the instances that it heard in the 10 s
    /// before the leader's last heartbeat, itself included. If it has never heard the leader, all
    /// instances that it knows count. Without a leader it misses nobody.
    ///
    /// Unlike in [`is_minority`], peers beyond a cut are expected for as long as the cut lasts.
    pub fn misses_most(&self, now: Instant) -> bool {
        let heard = count_heard(self.peers, PEER_TIMEOUT, now);
        self.leader.is_some() && heard * 2 < self.count_expected()
    }

    /// Returns how many instances this one should hear unless it is cut off, itself included.
    fn count_expected(&self) -> usize {
        let leader_heard_at = match self.leader {
            Some((name, _)) if name == self.own_name => self.leader_updated_at,
            Some((name, _)) => self.peers.get(name).map(|p| p.last_heard),
            None => None,
        };
        let peers = match leader_heard_at {
            Some(at) => {
                let is_expected = |p: &&PeerView| p.last_heard + EXPECTED_PEER_WINDOW > at;
                self.peers.values().filter(is_expected).count()
            }
            None => self.peers.len().max(self.listed_instances),
        };
        peers + 1
    }

    /// Returns since when a leader whose heartbeats arrive needs a successor because it does not
    /// reach the store: since it resigned, or since [`STORE_RETURN_DELAY`] has passed in which the
    /// store served this instance. `None` if it needs none.
    fn leader_rejected_since(&self, leader: &PeerView, now: Instant) -> Option<Instant> {
        let unreachable_since = leader.unreachable_since?;
        // The newest heartbeat of a leader that has resigned does not name it as the leader.
        if self
            .leader_updated_at
            .is_none_or(|at| at < leader.last_heard)
        {
            return self.leader_silent_since();
        }
        let starts = [self.store.reachable_since, self.impaired_at];
        let start = starts
            .into_iter()
            .flatten()
            .fold(unreachable_since, Instant::max);
        let rejected_since = start + STORE_RETURN_DELAY;
        let is_served = self.store.served_at.is_some_and(|at| at > start);
        (is_served && rejected_since <= now).then_some(rejected_since)
    }

    /// Returns whether the store serves this instance again only since [`STORE_RETURN_DELAY`],
    /// and `peer` is larger, alive and not served yet.
    fn may_larger_peer_reach_store(&self, peer: &PeerView, now: Instant) -> bool {
        let is_recent = |at| now.duration_since(at) < STORE_RETURN_DELAY;
        self.store.reachable_since.is_some_and(is_recent)
            && now.duration_since(peer.last_heard) < PEER_TIMEOUT
            && !peer.store_reachable
            && !peer.shutting_down
            && size_class(peer.cpu_share) > size_class(self.cpu_share)
    }
}

/// Why an instance takes a shard over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeoverReason {
    /// No leader is known, or its process is not the one that led the shard.
    NoLeader,
    /// The leader is shutting down.
    ShuttingDown,
    /// The leader has resigned, or is heard but does not reach the store.
    StoreUnreachable,
    /// The leader is silent.
    Silent,
    /// Only a minority of the peers is heard, and the leader's heartbeat in the store is stale.
    StaleStoreHeartbeat,
    /// The leader is much smaller than this instance.
    TooSmall,
}

impl fmt::Display for TakeoverReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoLeader => "no_leader",
            Self::ShuttingDown => "shutting_down",
            Self::StoreUnreachable => "store_unreachable",
            Self::Silent => "silent",
            Self::StaleStoreHeartbeat => "stale_store_heartbeat",
            Self::TooSmall => "too_small",
        })
    }
}

/// Returns whether this instance hears from only a minority of the instances, itself included.
///
/// In that case the instance may be cut off, alone or with a few others, from a healthy leader.
pub fn is_minority(peers: &HashMap<String, PeerView>, now: Instant) -> bool {
    let (heard, expected) = count_instances(peers, now);
    heard * 2 < expected
}

/// Returns whether this instance hears from more than half of the instances, itself included.
///
/// Of two instances that do, at least one other instance hears both and passes the newest fencing
/// token on.
pub fn is_majority(peers: &HashMap<String, PeerView>, now: Instant) -> bool {
    let (heard, expected) = count_instances(peers, now);
    heard * 2 > expected
}

/// Returns whether this instance is cut off from most peers and from the store: it has heard only a
/// minority of the instances lately, and its calls to the store fail.
pub fn is_cut_off(store: &StoreHealth, peers: &HashMap<String, PeerView>, now: Instant) -> bool {
    let heard = count_heard(peers, CUT_OFF_TIMEOUT, now);
    store.failing_since.is_some() && heard * 2 < count_heard(peers, EXPECTED_PEER_WINDOW, now)
}

/// Returns how many instances this one hears, and how many it should hear, itself included in both.
fn count_instances(peers: &HashMap<String, PeerView>, now: Instant) -> (usize, usize) {
    let expected = count_heard(peers, EXPECTED_PEER_WINDOW, now);
    (count_heard(peers, PEER_TIMEOUT, now), expected)
}

/// Returns how many instances this one has heard within `period`, itself included.
fn count_heard(peers: &HashMap<String, PeerView>, period: Duration, now: Instant) -> usize {
    let is_heard = |p: &&PeerView| now.duration_since(p.last_heard) < period;
    peers.values().filter(is_heard).count() + 1
}

/// Returns whether this instance has heard only a minority of the instances since a leader that is
/// silent since `silent_since` has fallen silent.
///
/// A peer counts as unreachable only after [`PEER_TIMEOUT`], and a leader as silent earlier. So an
/// instance that is cut off together with others misses the leader while it still counts the peers
/// beyond the cut as heard.
fn is_silence_of_most(view: &LeadershipView<'_>, silent_since: Instant, now: Instant) -> bool {
    let silence = now.saturating_duration_since(silent_since + LEADER_SILENCE_BEGIN);
    count_heard(view.peers, silence.min(PEER_TIMEOUT), now) * 2 < view.count_expected()
}

/// Returns whether a leader whose leadership the store last confirmed at `confirmed_at` must resign.
///
/// A successor relies on these limits before it restarts tasks that may still run elsewhere. It
/// counts them from its lease row's write if it hears a majority, and else from when it does.
pub fn is_unconfirmed(confirmed_at: Instant, in_minority: bool, now: Instant) -> bool {
    let limit = if in_minority {
        UNCONFIRMED_LIMIT
    } else {
        MAX_UNCONFIRMED_LIMIT
    };
    now.saturating_duration_since(confirmed_at) > limit
}

/// Returns whether a leader of which the store last accepted a write at `written_at` must resign,
/// although reads confirm it, since the store may accept the writes of another instance.
pub fn is_unwritten(written_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(written_at) > MAX_UNWRITTEN
}

/// A call of a peer that the store served while it failed those of this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedPeer {
    /// The peer.
    pub name: String,
    /// A time after which the store served the peer, as [`PeerView::served_at`].
    pub served_at: Instant,
}

/// Distinguishes a store that rejects this instance from one that serves nobody.
///
/// What peers report is older than what this instance sees itself. When the store stops serving
/// everybody, or serves everybody again, the reports of peers that reach it prove nothing. So the
/// order of three calls counts: one of this instance that has failed, then one of a peer that was
/// sent later and succeeded, then one of this instance that was sent after that and has failed.
#[derive(Debug, Default)]
pub struct RejectionCheck {
    /// The first call of a peer that was sent after the calls of this instance began to fail.
    served_peer: Option<ServedPeer>,
    is_rejected: bool,
}

impl RejectionCheck {
    /// Updates the check with the present state of this instance's calls and of its peers.
    /// `stalled_at` is when this instance last stalled; heartbeats that were sent before were
    /// received late.
    pub fn update(
        &mut self,
        store: &StoreHealth,
        peers: &HashMap<String, PeerView>,
        stalled_at: Option<Instant>,
        now: Instant,
    ) {
        self.is_rejected = false;
        let Some(failing_since) = store.failing_since else {
            self.served_peer = None;
            return;
        };
        let first_evidence = stalled_at.max(Some(failing_since)).unwrap_or(failing_since);
        let first_evidence = first_evidence + MAX_HEARTBEAT_DELAY;
        let can_lead = |p: &PeerView| {
            now.duration_since(p.last_heard) < STORE_REPORT_TTL
                && p.store_reachable
                && !p.shutting_down
        };
        let is_evidence = |served: &ServedPeer| served.served_at > first_evidence;
        self.served_peer = self.served_peer.take().filter(is_evidence).or_else(|| {
            let served = peers.iter().filter(|(_, p)| can_lead(p));
            let served = served.filter_map(|(name, p)| {
                Some(ServedPeer {
                    name: name.clone(),
                    served_at: p.served_at?,
                })
            });
            served.filter(is_evidence).min_by_key(|s| s.served_at)
        });
        let has_failed_since = self
            .served_peer
            .as_ref()
            .is_some_and(|served| store.failed_call_sent > Some(served.served_at));
        self.is_rejected = !store.reachable && has_failed_since && peers.values().any(can_lead);
    }

    /// Returns the peer that shows that the store rejects only this instance, or a part of the
    /// instances; `None` if it reaches the store, or nothing shows that the store serves a peer.
    pub fn rejected_unlike(&self) -> Option<&ServedPeer> {
        self.served_peer.as_ref().filter(|_| self.is_rejected)
    }
}

/// Returns why this instance should try to take the shard over now; `None` if it should not.
///
/// An instance that has heard no leader concludes nothing from that before it is introduced.
pub fn takeover_reason(view: &LeadershipView<'_>, now: Instant) -> Option<TakeoverReason> {
    if !view.store.reachable {
        return None;
    }
    let is_shard_domain = |domain: &str| view.domains.iter().any(|d| d == domain);
    let is_in_shard_domain = is_shard_domain(view.domain);
    let is_alive = |p: &PeerView| now.duration_since(p.last_heard) < PEER_TIMEOUT;
    let is_eligible = |p: &PeerView| is_alive(p) && p.store_reachable && !p.shutting_down;
    let shard_domain_peers = view
        .peers
        .iter()
        .filter(|(_, p)| is_shard_domain(&p.domain));
    // A leader that restarted, is shutting down, has resigned or is rejected by the store is replaced
    // although it is not silent.
    let silent_since = view.leader_silent_since()?;
    let absence = match view.leader {
        None => Some((TakeoverReason::NoLeader, silent_since)),
        Some((name, incarnation)) if name == view.own_name => {
            (incarnation != view.incarnation).then_some((TakeoverReason::NoLeader, silent_since))
        }
        Some((name, incarnation)) => {
            let leader = view.peers.get(name).filter(|p| is_alive(p));
            leader.and_then(|p| {
                if p.incarnation != incarnation {
                    Some((TakeoverReason::NoLeader, silent_since))
                } else if p.shutting_down {
                    Some((TakeoverReason::ShuttingDown, silent_since))
                } else {
                    let since = view.leader_rejected_since(p, now)?;
                    Some((TakeoverReason::StoreUnreachable, since))
                }
            })
        }
    };
    if absence.is_none() && view.misses_most(now) {
        // The leader may be healthy but unheard here, so its heartbeat in the store decides.
        let is_stale = |at: Instant| now.duration_since(at) >= STORE_HEARTBEAT_TIMEOUT;
        let is_stale = view.store_heartbeat_changed.is_some_and(is_stale);
        return is_stale.then_some(TakeoverReason::StaleStoreHeartbeat);
    }
    if !is_in_shard_domain {
        let shard_domain_peers =
            shard_domain_peers.filter(|(_, p)| p.store_reachable && !p.shutting_down);
        let last_heard = shard_domain_peers.map(|(_, p)| p.last_heard).max();
        let shard_domains_silent_since = last_heard.unwrap_or(view.since).max(view.since);
        if now.duration_since(shard_domains_silent_since) < OTHER_DOMAIN_DELAY {
            return None;
        }
    }
    let rivals = view
        .peers
        .iter()
        .filter(|(_, p)| is_shard_domain(&p.domain) == is_in_shard_domain);
    if rivals
        .clone()
        .any(|(_, p)| view.may_larger_peer_reach_store(p, now))
    {
        return None;
    }
    let rivals = rivals.filter(|(_, p)| is_eligible(p));
    // Among instances of similar size the last leader ranks first, so that it gets its shard back
    // after a restart.
    let leader_name = view.leader.map(|(name, _)| name);
    let takeover_order = |name: &str, cpu_share| {
        let size = Reverse(size_class(cpu_share));
        (size, Some(name) != leader_name, rank(view.shard, name))
    };
    let own_order = takeover_order(view.own_name, view.cpu_share);
    let better_candidates =
        rivals.filter(|(name, p)| takeover_order(name, p.cpu_share) < own_order);
    let delay = RANK_DELAY * u32::try_from(better_candidates.count()).unwrap_or(u32::MAX);
    // A silent leader may be cut off from this instance only.
    if absence.is_none() && !view.is_leader_silent(now) && is_leader_too_small(view, delay, now) {
        return Some(TakeoverReason::TooSmall);
    }
    let (reason, absent_since) =
        absence.unwrap_or((TakeoverReason::Silent, silent_since + LEADER_TIMEOUT));
    if reason == TakeoverReason::Silent && is_silence_of_most(view, silent_since, now) {
        return None;
    }
    // Without a lease row nobody leads. Candidates that start together need time to hear each other.
    let due_since = if view.leader.is_none() {
        absent_since.max(view.since + LEADER_TIMEOUT)
    } else {
        absent_since
    };
    // The candidates take their turns from when the store serves them.
    let due_since = view
        .store
        .reachable_since
        .map_or(due_since, |at| at.max(due_since));
    (due_since + delay <= now).then_some(reason)
}

/// Returns whether the leader has much less processor time than this instance, and both have been
/// steady for [`MIN_LEADERSHIP`] and `delay`.
fn is_leader_too_small(view: &LeadershipView<'_>, delay: Duration, now: Instant) -> bool {
    let leader = view.leader.and_then(|(name, _)| view.peers.get(name));
    let is_smaller = leader
        .is_some_and(|p| p.store_reachable && size_class(p.cpu_share) < size_class(view.cpu_share));
    let since = view
        .leader_since
        .max(view.impaired_at)
        .max(view.store.reachable_since)
        .max(Some(view.since));
    is_smaller
        && view.leader_since.is_some()
        && since.is_some_and(|at| now.duration_since(at) >= MIN_LEADERSHIP + delay)
}

/// Returns the power of two of a processor share, so that instances of similar size compare as
/// equal. An unknown share counts as one core, as in the settings.
fn size_class(cpu_share: u32) -> u32 {
    cpu_share.checked_ilog2().unwrap_or(ONE_CORE.ilog2())
}

/// Returns the rank of a candidate for a shard; the candidate with the lowest rank takes over
/// first.
pub fn rank(shard: &str, name: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    (shard, name).hash(&mut hasher);
    hasher.finish()
}
