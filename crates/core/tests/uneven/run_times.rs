//! Tests of learned run times and of the row that hands them to the next leader.

use {
    crate::world::step,
    marigoldbend_core::sched::{
        interference::PairEstimate,
        job::Step,
        learnt,
        run_times::{RunTimes, ShapeTimes},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    test_case::test_case,
};

/// Returns the run times after `count` ends of a step's tasks of 1 s, of which 3% take seven times
/// as long.
fn learned(step: &Step, count: usize) -> RunTimes {
    let mut rng = StdRng::seed_from_u64(1);
    let mut times = RunTimes::default();
    for _ in 0..count {
        let factor = if rng.random_range(0..100) < 3 { 7 } else { 1 };
        let ms = rng.random_range(900..1_100) * factor;
        times.record(step, Duration::from_millis(ms));
    }
    times
}

/// Guards against estimates that follow a few ends, or the caller for ever.
#[test_case(0, 10_000, 10_000..10_001; "no end")]
#[test_case(5, 10_000, 10_000..10_001; "a few ends")]
#[test_case(500, 10_000, 900..1_200; "the caller is off by ten")]
#[test_case(500, 100, 900..1_200; "the caller is off by a tenth")]
#[test_case(5_000, 1_000, 900..1_200; "more ends than are kept")]
fn the_usual_time_is_learned(count: usize, estimate_ms: u32, expected_ms: std::ops::Range<u64>) {
    let step = step(1, 1_000, estimate_ms);
    let times = learned(&step, count);
    let usual_ms = times.usual(&step).as_millis() as u64;
    assert!(expected_ms.contains(&usual_ms), "{usual_ms}");
}

/// Guards against a long task that is expected to end any moment.
#[test_case(0, 800..1_300)]
#[test_case(600, 200..700)]
#[test_case(2_000, 3_000..6_000)]
#[test_case(20_000, 10_000..30_000)]
fn a_run_that_has_become_long_has_more_left(elapsed_ms: u64, expected_ms: std::ops::Range<u64>) {
    let step = step(1, 1_000, 5_000);
    let times = learned(&step, 500);
    let left = times
        .remaining(&step)
        .after(Duration::from_millis(elapsed_ms));
    let left_ms = left.as_millis() as u64;
    assert!(expected_ms.contains(&left_ms), "{left_ms}");
}

fn pairs(count: usize) -> Vec<PairEstimate> {
    let pair = |i| PairEstimate {
        serving: format!("serving-{i}"),
        best_effort: "best-effort".to_owned(),
        cost: (1.5, 0.5).into(),
    };
    (0..count).map(pair).collect()
}

/// Guards against a release that can't read the row of the one before, or the other way round.
#[test]
fn earlier_versions_read_the_row_and_theirs_is_read() {
    let step = step(1, 1_000, 5_000);
    let records = learned(&step, 500).records(learnt::MAX_BYTES);
    let row = learnt::encode(&pairs(3), &records);
    let earlier: Vec<PairEstimate> = postcard::from_bytes(&row).expect("the row begins with pairs");
    assert_eq!(earlier, pairs(3));
    assert_eq!(learnt::decode(&row), Ok((pairs(3), records)));
    let earlier = postcard::to_stdvec(&pairs(3)).expect("plain data");
    assert_eq!(learnt::decode(&earlier), Ok((pairs(3), Vec::new())));
    let mut later = row.clone();
    later.push(1);
    assert_eq!(learnt::decode(&later), learnt::decode(&row));
}

/// Guards against a row that the store refuses, and against a successor that begins anew.
#[test]
fn the_row_is_bounded_and_keeps_what_was_used_last() {
    let mut times = RunTimes::default();
    let shapes = 3_000_i64;
    for cpu in 1..=shapes {
        for end in 0..104 {
            let time = Duration::from_millis(500 + 37 * end * (cpu as u64 % 7 + 1));
            times.record(&step(1, cpu, 5_000), time);
        }
    }
    let records = times.records(learnt::MAX_BYTES);
    let row = learnt::encode(&pairs(60), &records);
    assert!(row.len() <= learnt::MAX_BYTES, "{}", row.len());
    let (_, records): (_, Vec<ShapeTimes>) = learnt::decode(&row).expect("a valid row");
    let mut successor = RunTimes::default();
    successor.restore(&records);
    let last = step(1, shapes, 5_000);
    assert_eq!(successor.usual(&last), times.usual(&last));
    assert_ne!(successor.usual(&last), Duration::from_millis(5_000));
}

/// Guards against a median of unlike tasks in place of a caller that knows each of them.
#[test_case(1.0; "estimates are right")]
#[test_case(0.5; "estimates are off by the same factor")]
fn good_estimates_are_kept(factor: f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut times = RunTimes::default();
    for _ in 0..500 {
        let estimate_ms = rng.random_range(600..10_000);
        let ms = f64::from(estimate_ms) * factor;
        times.record(
            &step(1, 1_000, estimate_ms),
            Duration::from_millis(ms as u64),
        );
    }
    for estimate_ms in [700, 1_000, 9_000] {
        let usual = times.usual(&step(1, 1_000, estimate_ms));
        let ratio = usual.as_secs_f64() * 1_000.0 / (f64::from(estimate_ms) * factor);
        assert!((0.9..1.1).contains(&ratio), "{ratio}");
    }
}
