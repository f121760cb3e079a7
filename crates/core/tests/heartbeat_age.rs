//! Tests whether reads of a heartbeat row tell a live writer from a silent one.

use {
    marigoldbend_core::sched::heartbeat_age::{
        Freshness::{self, Recent, Silent, Unknown},
        HeartbeatAge,
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// Guards against counts of a leader that has been silent for long: its row in the store stays.
#[test_case(&[(0, 2)], Unknown; "one read")]
#[test_case(&[(0, 2), (300, 2)], Unknown; "no change for a moment")]
#[test_case(&[(0, 2), (300, 2), (1_500, 2)], Silent; "no change for longer than the interval")]
#[test_case(&[(0, 2), (600, 3)], Recent; "a change")]
#[test_case(&[(0, 2), (600, 3), (1_200, 3)], Recent; "no change shortly after a change")]
#[test_case(&[(0, 2), (600, 3), (2_100, 3)], Silent; "no change for long after a change")]
#[test_case(&[(0, 2), (30_000, 3)], Unknown; "a change at an unknown time")]
#[test_case(&[(0, 2), (600, 3), (30_000, 9)], Unknown; "a change at an unknown time after another")]
#[test_case(&[(0, 2), (30_000, 3), (30_900, 4)], Recent; "a change that was seen after one that was not")]
fn an_old_heartbeat_is_told_from_a_recent_one(reads: &[(u64, u64)], expected: Freshness) {
    let base = Instant::now();
    let mut age = HeartbeatAge::default();
    let mut last = Unknown;
    for (ms, number) in reads {
        last = age.record(*number, base + Duration::from_millis(*ms));
    }
    assert_eq!(last, expected);
}
