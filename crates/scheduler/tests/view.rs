//! Tests of which outlooks count.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::admission::{MAX_OUTLOOK_AGE, Outlook},
    },
    marigoldbend_scheduler::view::LeaderView,
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// Guards against decisions by the outlook of a leader that is not heard any more.
#[test_case(Duration::ZERO, "s", true; "a new outlook")]
#[test_case(MAX_OUTLOOK_AGE, "s", true; "the oldest outlook that counts")]
#[test_case(MAX_OUTLOOK_AGE + Duration::from_millis(1), "s", false; "an old outlook")]
#[test_case(Duration::ZERO, "t", false; "another service")]
fn an_outlook_counts_for_a_short_time(age: Duration, service: &str, expected: bool) {
    let computed_at = Instant::now();
    let outlook = Outlook {
        service: "s".to_owned(),
        ..Outlook::default()
    };
    let leader = |outlooks| LeaderView {
        name: "a1".to_owned(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        token: 1,
        lease_version: 1,
        last_heard: computed_at,
        loads: HashMap::default(),
        may_omit_loads: false,
        pending: HashMap::default(),
        may_omit_pending: false,
        outlooks,
    };
    let known = leader(Some((computed_at, [outlook].into())));
    let found = known.outlook(service, computed_at + age);
    assert_eq!(found.map(|(_, age)| age), expected.then_some(age));
    assert!(leader(None).outlook(service, computed_at).is_none());
}
