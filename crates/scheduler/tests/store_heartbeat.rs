//! Tests of the heartbeat row of a shard.

use {
    marigoldbend_core::sched::shard::Silences,
    marigoldbend_scheduler::store_heartbeat::{Details, HeartbeatRowError, StoreHeartbeat},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    test_case::test_case,
};

/// The maximum length of a row, in bytes.
const MAX_ROW: usize = 65_536;

const TOKEN: u64 = 5;

/// The layout of the row in earlier versions.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierHeartbeat {
    incarnation: u64,
    number: u64,
    pending: Vec<(String, u32)>,
}

fn heartbeat(queues: usize, name_len: usize, workers: usize) -> StoreHeartbeat {
    let queue = |i| (format!("{i:0name_len$}"), 3);
    let silences = Silences {
        round: 4,
        workers: (0..workers)
            .map(|i| (format!("{i:0200}"), Duration::from_millis(1_500)))
            .collect(),
    };
    StoreHeartbeat::new(7, TOKEN, 9, (0..queues).map(queue).collect(), &silences)
}

#[test_case(5, true; "the immediate predecessor")]
#[test_case(4, false; "an earlier leader")]
fn only_the_immediate_predecessor_is_believed(token: u64, is_believed: bool) {
    let row = StoreHeartbeat {
        details: Details {
            token,
            ..heartbeat(0, 1, 1).details
        },
        ..heartbeat(0, 1, 1)
    };
    let silences = row.silences_for(6);
    assert_eq!(!silences.is_empty(), is_believed);
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
    assert!(decoded.silences_for(1).is_empty());
    let row = heartbeat(1, 1, 2);
    let buf = row.encode();
    assert_eq!(StoreHeartbeat::decode(&buf), Ok(row));
    assert_eq!(postcard::from_bytes(&buf), Ok(earlier));
    let damaged = StoreHeartbeat::decode(&buf[..3]);
    assert_eq!(damaged, Err(HeartbeatRowError));
}

/// A leader whose row was too long wrote no heartbeats, and resigned after a minute.
#[test_case(350, 200, 540; "long names")]
#[test_case(20_000, 39, 540; "many queues")]
fn a_heartbeat_row_outgrew_the_store(queues: usize, name_len: usize, workers: usize) {
    let row = heartbeat(queues, name_len, workers);
    assert!(row.encode().len() <= MAX_ROW, "{}", row.encode().len());
    let decoded = StoreHeartbeat::decode(&row.encode()).expect("a row");
    assert_eq!(decoded.pending_of(&format!("{:0name_len$}", 0)), Some(3));
    let last = format!("{:0name_len$}", queues - 1);
    assert_eq!(decoded.pending_of(&last), None);
}
