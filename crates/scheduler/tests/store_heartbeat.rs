//! Tests of the heartbeat row of a shard.

use {
    marigoldbend_scheduler::store_heartbeat::{HeartbeatRowError, StoreHeartbeat},
    serde::{Deserialize, Serialize},
    test_case::test_case,
};

/// The maximum length of a row, in bytes.
const MAX_ROW: usize = 65_536;

/// The layout of the row in earlier versions.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierHeartbeat {
    incarnation: u64,
    number: u64,
    pending: Vec<(String, u32)>,
}

fn heartbeat(queues: usize, name_len: usize) -> StoreHeartbeat {
    let queue = |i| (format!("{i:0name_len$}"), 3);
    StoreHeartbeat::new(7, 9, (0..queues).map(queue).collect())
}

#[test]
fn rows_of_earlier_versions_and_of_this_one_can_be_read_by_both() {
    let earlier = EarlierHeartbeat {
        incarnation: 7,
        number: 9,
        pending: vec![("0".to_owned(), 3)],
    };
    let row = postcard::to_stdvec(&earlier).expect("plain data");
    let decoded = StoreHeartbeat::decode(&row).expect("a row of an earlier version");
    assert_eq!(decoded.pending_of("1"), Some(0));
    let row = heartbeat(1, 1);
    let buf = row.encode();
    assert_eq!(StoreHeartbeat::decode(&buf), Ok(row));
    assert_eq!(postcard::from_bytes(&buf), Ok(earlier));
    let damaged = StoreHeartbeat::decode(&buf[..3]);
    assert_eq!(damaged, Err(HeartbeatRowError));
}

/// A leader whose row was too long wrote no heartbeats, and resigned after a minute.
#[test_case(350, 200; "long names")]
#[test_case(20_000, 39; "many queues")]
fn a_heartbeat_row_outgrew_the_store(queues: usize, name_len: usize) {
    let row = heartbeat(queues, name_len);
    assert!(row.encode().len() <= MAX_ROW, "{}", row.encode().len());
    let decoded = StoreHeartbeat::decode(&row.encode()).expect("a row");
    assert_eq!(decoded.pending_of(&format!("{:0name_len$}", 0)), Some(3));
    let last = format!("{:0name_len$}", queues - 1);
    assert_eq!(decoded.pending_of(&last), None);
}
