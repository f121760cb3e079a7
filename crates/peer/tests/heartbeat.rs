//! Tests that heartbeats of this version and of the one before are decoded.

use marigoldbend_peer::heartbeat::{Heartbeat, LedShard};

fn heartbeat(cpu_share: u32) -> Heartbeat {
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
    }
}

#[test]
fn processor_share_is_decoded() {
    let sent = heartbeat(69);
    let buf = sent.encode().expect("a short heartbeat");
    assert_eq!(Heartbeat::decode(&buf), Ok(sent));
}

#[test]
fn heartbeat_without_processor_share_is_decoded() {
    let buf = heartbeat(69).encode().expect("a short heartbeat");
    // The share is the last byte.
    let decoded = Heartbeat::decode(&buf[..buf.len() - 1]);
    assert_eq!(decoded, Ok(heartbeat(0)));
}
