//! Who takes a shard over, and when.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::leadership::{LeadershipView, PeerView, is_rejected_by_store, should_take_over},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The times, in milliseconds before the decision.
struct Case {
    leader_heard: u64,
    last_heard: u64,
    peers: usize,
    silent_peers: usize,
    impaired_at: Option<u64>,
    store_ok: bool,
    store_heartbeat_changed: Option<u64>,
}

const SOUND: Case = Case {
    leader_heard: 100,
    last_heard: 100,
    peers: 8,
    silent_peers: 0,
    impaired_at: None,
    store_ok: true,
    store_heartbeat_changed: None,
};

#[test_case(SOUND, false; "a leader that is heard")]
#[test_case(Case { leader_heard: 4_000, ..SOUND }, true; "a silent leader")]
#[test_case(Case { leader_heard: 4_000, store_ok: false, ..SOUND }, false; "a silent leader and no store")]
#[test_case(Case { leader_heard: 4_000, impaired_at: Some(100), ..SOUND }, false; "right after an own pause")]
#[test_case(Case { leader_heard: 4_000, silent_peers: 6, ..SOUND }, false; "few peers are heard")]
#[test_case(
    Case { leader_heard: 4_000, silent_peers: 6, store_heartbeat_changed: Some(500), ..SOUND }, false;
    "few peers are heard and the leader beats in the store"
)]
#[test_case(
    Case { leader_heard: 4_000, silent_peers: 6, store_heartbeat_changed: Some(2_500), ..SOUND }, true;
    "few peers are heard and the leader is silent in the store as well"
)]
fn a_shard_is_taken_over(case: Case, expected: bool) {
    let now = Instant::now() + Duration::from_secs(60);
    let before = |ms| now - Duration::from_millis(ms);
    let peer = |i: usize| PeerView {
        domain: "z".to_owned(),
        incarnation: 5,
        last_heard: before(if i < case.silent_peers {
            4_000
        } else {
            case.last_heard
        }),
        store_ok: true,
        ending: false,
    };
    let peers: HashMap<_, _> = (0..case.peers)
        .map(|i| (format!("p{i}"), peer(i)))
        .collect();
    let domains = ["z".to_owned()];
    let situation = LeadershipView {
        own_name: "me",
        incarnation: 1,
        domain: "z",
        shard: "all",
        domains: &domains,
        store_ok: case.store_ok,
        peers: &peers,
        since: before(50_000),
        leader: Some(("p0", 5)),
        leader_heard: Some(before(case.leader_heard)),
        impaired_at: case.impaired_at.map(before),
        store_heartbeat_changed: case.store_heartbeat_changed.map(before),
    };
    assert_eq!(should_take_over(&situation, now), expected);
}

#[test]
fn a_leader_that_runs_anew_takes_its_shard_at_once() {
    let now = Instant::now() + Duration::from_secs(60);
    let peers = HashMap::default();
    let domains = ["z".to_owned()];
    let situation = LeadershipView {
        own_name: "me",
        incarnation: 2,
        domain: "z",
        shard: "all",
        domains: &domains,
        store_ok: true,
        peers: &peers,
        since: now,
        leader: Some(("me", 1)),
        leader_heard: None,
        impaired_at: None,
        store_heartbeat_changed: None,
    };
    assert!(should_take_over(&situation, now));
}

/// A peer that was heard so many milliseconds ago; whether it reaches the store; whether it ends.
type Helper = (u64, bool, bool);

#[test_case(false, &[(100, true, false)], true; "a peer reaches the store")]
#[test_case(true, &[(100, true, false)], false; "this instance reaches it too")]
#[test_case(false, &[(100, false, false)], false; "no peer reaches it")]
#[test_case(false, &[(100, true, true)], false; "the only peer that does is ending")]
#[test_case(false, &[(4_000, true, false)], false; "the only peer that did is silent")]
#[test_case(false, &[(100, false, false), (100, true, false)], true; "one of two does")]
#[test_case(false, &[], false; "there are no peers")]
fn an_instance_is_turned_away_while_the_store_serves_a_peer(
    store_ok: bool,
    peers: &[Helper],
    expected: bool,
) {
    let now = Instant::now() + Duration::from_secs(60);
    let view = |(last_heard, store_ok, ending): &Helper| PeerView {
        domain: "z".to_owned(),
        incarnation: 5,
        last_heard: now - Duration::from_millis(*last_heard),
        store_ok: *store_ok,
        ending: *ending,
    };
    let named = |(i, peer)| (format!("p{i}"), view(peer));
    let peers: HashMap<_, _> = peers.iter().enumerate().map(named).collect();
    assert_eq!(is_rejected_by_store(store_ok, &peers, now), expected);
}
