//! Tests that heartbeats of this version and of earlier ones are decoded.

use {
    marigoldbend_peer::heartbeat::{Heartbeat, LedShard},
    std::time::Duration,
    test_case::test_case,
};

/// A time that is encoded in one byte, after the byte that says that there is one.
const STORE_AGE: Duration = Duration::from_millis(20);

fn heartbeat(cpu_share: u32, store_age: Option<Duration>) -> Heartbeat {
    Heartbeat {
        name: "a1".to_owned(),
        domain: "z1".to_owned(),
        incarnation: 7,
        address: "127.0.0.1:7003".parse().expect("a valid address"),
        config_version: 3,
        store_reachable: true,
        shutting_down: false,
        taking_over: vec!["all".to_owned()],
        led_shards: vec![LedShard {
            shard: "all".to_owned(),
            token: 2,
            lease_version: 9,
            loads: vec![("s".to_owned(), 1, 2)],
            pending: vec![("q".to_owned(), 4)],
        }],
        cpu_share,
        store_age,
        newest_tokens: Vec::new(),
        waits_for_loans: false,
    }
}

#[test_case(Some(STORE_AGE); "a sender that the store has served")]
#[test_case(Some(Duration::from_secs(90)); "a sender that the store served long ago")]
#[test_case(None; "a sender that the store has not served")]
fn heartbeat_is_decoded(store_age: Option<Duration>) {
    let sent = Heartbeat {
        newest_tokens: vec![("all".to_owned(), 3)],
        waits_for_loans: true,
        ..heartbeat(69, store_age)
    };
    let buf = sent.encode().expect("a short heartbeat");
    assert_eq!(Heartbeat::decode(&buf), Ok(sent));
}

#[test_case(1, heartbeat(69, Some(STORE_AGE)); "without the wait for loans")]
#[test_case(2, heartbeat(69, Some(STORE_AGE)); "without the newest tokens")]
#[test_case(4, heartbeat(69, None); "without the age of the newest call")]
#[test_case(5, heartbeat(0, None); "without the processor share")]
fn heartbeat_of_an_earlier_version_is_decoded(missing_bytes: usize, expected: Heartbeat) {
    let sent = Heartbeat {
        waits_for_loans: true,
        ..heartbeat(69, Some(STORE_AGE))
    };
    let buf = sent.encode();
    let buf = buf.expect("a short heartbeat");
    let decoded = Heartbeat::decode(&buf[..buf.len() - missing_bytes]);
    assert_eq!(decoded, Ok(expected));
}
