//! Tests of the counts that keep large jobs from being starved.

use {marigoldbend_core::sched::size_fairness::SizeFairness, test_case::test_case};

/// Returns the counts after 100 jobs, of which each tenth has ten times the work of the others; of
/// these kinds the given shares were served, in percent.
fn counts(small_percent: u64, large_percent: u64) -> SizeFairness {
    let mut fairness = SizeFairness::default();
    let work = |i: u64| if i.is_multiple_of(10) { 1_000 } else { 100 };
    for i in 0..300 {
        fairness.add_job(work(i));
    }
    for i in 0..300 {
        let percent = if work(i) == 100 {
            small_percent
        } else {
            large_percent
        };
        fairness.count(work(i), (i / 10 * 37 + i) % 100 < percent);
    }
    fairness
}

#[test_case(100, 100, None; "all are served")]
#[test_case(50, 50, None; "all are served equally seldom")]
#[test_case(40, 90, None; "small jobs are neglected")]
#[test_case(90, 10, Some(3); "large jobs are neglected")]
#[test_case(0, 0, None; "none is served")]
fn the_band_that_is_served_least_often_is_neglected(
    small_percent: u64,
    large_percent: u64,
    expected: Option<usize>,
) {
    let fairness = counts(small_percent, large_percent);
    assert_eq!(fairness.neglected_band(), expected);
    assert_eq!((fairness.band(100), fairness.band(1_000)), (0, 3));
}

#[test]
fn a_queue_without_jobs_has_no_neglected_band() {
    assert_eq!(SizeFairness::default().neglected_band(), None);
}

#[test]
fn a_band_is_not_neglected_any_more_once_it_is_served() {
    let mut fairness = counts(90, 0);
    assert_eq!(fairness.neglected_band(), Some(3));
    for _ in 0..200 {
        fairness.count(1_000, true);
    }
    assert_eq!(fairness.neglected_band(), None);
}
