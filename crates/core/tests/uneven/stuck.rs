//! Tests of when a run counts as stuck and its worker as hung.

use {
    crate::world::{Behaviour, World, step},
    test_case::test_matrix,
};

/// When the worker of these tests begins to hang, in milliseconds.
const HANG_MS: u64 = 2_500;

/// Eight workers with one task of each of two jobs, of which the first hangs if `hangs`.
fn world(work_ms: u32, estimate_ms: u32, hangs: bool) -> World {
    let mut behaviours = [Behaviour::default(); 8];
    if hangs {
        behaviours[0].hangs = (HANG_MS, u64::MAX);
    }
    let mut world = World::new(&behaviours, 1, move |_, _| f64::from(work_ms));
    for id in 1..=2 {
        let mut step = step(8, 2_000, estimate_ms);
        step.max_per_worker = 1;
        world.add_job(id, vec![step]);
    }
    world
}

/// Guards against tasks that never end because a percent of them takes longer than a fixed limit.
#[test_matrix([1_000, 30_000, 300_000, 3_000_000], [0.1, 1.0, 10.0])]
fn a_task_of_any_length_runs_to_its_end(work_ms: u32, estimate_factor: f64) {
    let estimate_ms = (f64::from(work_ms) * estimate_factor) as u32;
    let mut world = world(work_ms, estimate_ms, false);
    let end_ms = u64::from(work_ms) + 2_000;
    world.run(end_ms, |w| w.is_completed(1) && w.is_completed(2));
    assert!(world.stops.is_empty(), "{:?}", world.stops);
    assert!(world.is_completed(1) && world.is_completed(2));
}

/// Guards against a task that never ends because its estimate is off by more than is allowed for.
#[test]
fn a_task_whose_estimate_is_far_off_ends_at_last() {
    let mut world = world(300_000, 1_000, false);
    world.run(400_000, |w| w.is_completed(1) && w.is_completed(2));
    assert!(world.is_completed(1) && world.is_completed(2));
}

/// Guards against a worker that hangs unnoticed, and against trust lost by the others.
#[test_matrix([1_000, 30_000, 300_000, 3_000_000], [0.1, 1.0, 10.0])]
fn a_hung_worker_is_noticed(work_ms: u32, estimate_factor: f64) {
    let estimate_ms = (f64::from(work_ms) * estimate_factor) as u32;
    let mut world = world(work_ms, estimate_ms, true);
    let hung = "w000";
    if work_ms < HANG_MS as u32 {
        // The first tasks end before the hang; these are started into it.
        world.run(HANG_MS + 20, |_| false);
        for id in 3..=4 {
            world.add_job(id, vec![step(32, 1_000, estimate_ms)]);
        }
    }
    world.run(20_000_000, |w| !w.stops.is_empty());
    // The time of three percent, or of ten by the estimate while the run has shown none.
    let percent_ms = u64::from(work_ms) / 100;
    let known = percent_ms * 3 < HANG_MS;
    let expected_ms = if known {
        3_600
    } else {
        1_000 + (u64::from(estimate_ms) / 100 * 12).clamp(2_500, 600_000)
    };
    let first = world.stops.first().expect("the hung runs are stopped");
    assert!(
        first.at_ms <= HANG_MS + expected_ms,
        "{} {expected_ms}",
        first.at_ms
    );
    let until_ms = world.now_ms + 500;
    world.run(until_ms, |_| false);
    let others: Vec<_> = world.stops.iter().filter(|s| s.worker != hung).collect();
    assert!(others.is_empty(), "{others:?}");
}
