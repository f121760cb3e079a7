//! Tests the measurement of takeovers.

use {
    marigoldbend_core::clock::SystemClock,
    marigoldbend_platform::store::Store,
    marigoldbend_scheduler::{
        metrics::Metrics,
        takeover_times::{Part, TakeoverTimes},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

mod no_store;

/// Guards against takeovers of which nobody can tell which part was slow.
#[test]
fn each_part_of_a_takeover_is_measured_once() {
    let metrics = Metrics::new().expect("the metrics are valid");
    let started_at = Instant::now();
    let at = |ms| started_at + Duration::from_millis(ms);
    let mut times = TakeoverTimes::new(started_at);
    assert!(!times.record(Part::Lease, at(12), &metrics));
    assert!(!times.record(Part::Rows, at(900), &metrics));
    assert!(!times.record(Part::FirstReport, at(950), &metrics));
    assert!(!times.record(Part::FirstReport, at(960), &metrics));
    assert_eq!(
        times.to_string(),
        "lease_ms=12 rows_ms=900 first_report_ms=950 dispatch_ms=-"
    );
    assert!(times.record(Part::Dispatch, at(7_100), &metrics));
    assert!(!times.record(Part::Dispatch, at(7_200), &metrics));
    let store = Store::new(no_store::ADDRESS, no_store::WIRE, Arc::new(SystemClock));
    let text = metrics.text(&store).expect("the metrics are valid");
    for line in [
        "mgb_takeover_seconds_count{part=\"lease\"} 1",
        "mgb_takeover_seconds_count{part=\"first_report\"} 1",
        "mgb_takeover_seconds_sum{part=\"rows\"} 0.9",
        "mgb_takeover_seconds_sum{part=\"dispatch\"} 7.1",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}
