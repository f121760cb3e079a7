//! Tests of workers that fail, refuse or work slowly.

use {
    crate::world::{Behaviour, World, step},
    std::collections::BTreeSet,
    test_case::test_case,
};

/// The number of workers; they have 8 cores each.
const WORKERS: usize = 20;

const BAD: &str = "w003";

/// Workers of which the first `bad` ones from [`BAD`] on behave badly, and tasks of 0.5 to 1.5 s, of which
/// one in thirty takes seven times as long.
fn world(bad: usize, behaviour: Behaviour) -> World {
    let mut behaviours = [Behaviour::default(); WORKERS];
    behaviours[3..3 + bad].fill(behaviour);
    World::new(&behaviours, 5, |_, rng| {
        use rand::RngExt;
        let factor = if rng.random_range(0..30) == 0 {
            7.0
        } else {
            1.0
        };
        rng.random_range(500.0..1_500.0) * factor
    })
}

/// Adds a job of ten tasks every 150 ms, which need about half of the workers.
fn run_load(world: &mut World, until_ms: u64) {
    let mut id = 1_000 + world.now_ms;
    while world.now_ms < until_ms {
        world.add_job(id, vec![step(10, 1_000, 5_000)]);
        id += 1;
        let next_ms = world.now_ms + 150;
        world.run(next_ms, |_| false);
    }
}

/// Returns the share of starts since `from_ms` that a worker got, in thousandths.
fn share(world: &World, worker: &str, from_ms: u64) -> usize {
    let starts = world.starts.iter().filter(|s| s.at_ms >= from_ms);
    let here = starts.clone().filter(|s| s.worker == worker).count();
    here * 1_000 / starts.count().max(1)
}

/// Guards against a worker that fails a share of its runs and is never noticed, since it has no three
/// failures in a row.
#[test_case(8; "one in twelve")]
#[test_case(20; "one in five")]
#[test_case(45; "nearly half")]
#[test_case(100; "all")]
fn a_worker_that_fails_some_of_its_runs_gets_few(fails_percent: u32) {
    let bad = Behaviour {
        fails_percent,
        ..Behaviour::default()
    };
    let mut world = world(1, bad);
    run_load(&mut world, 60_000);
    // Each of twenty workers would get 50. At 3 ends a second it takes a while to tell one failure in
    // twelve from chance.
    let share = share(&world, BAD, 25_000);
    assert!(share < 30, "{share}");
    assert!(world.ejected().all(|id| id == BAD));
}

/// Guards against workers that are blamed for tasks that fail wherever they run.
#[test]
fn jobs_that_fail_everywhere_eject_no_worker() {
    let mut world = world(0, Behaviour::default());
    world.poisoned = |task| task.job.0.is_multiple_of(5);
    run_load(&mut world, 30_000);
    assert!(world.failed.len() > 500, "{}", world.failed.len());
    assert_eq!(world.ejected().count(), 0);
}

/// Guards against a fleet that is emptied by a fault that many workers share.
#[test]
fn at_most_a_fifth_of_the_workers_is_ejected() {
    let bad = Behaviour {
        fails_percent: 60,
        ..Behaviour::default()
    };
    let mut world = world(12, bad);
    let mut most = 0;
    for until_ms in (1_000..40_000).step_by(150) {
        run_load(&mut world, until_ms);
        most = most.max(world.ejected().count());
    }
    assert!((1..=WORKERS / 5).contains(&most), "{most}");
}

/// Guards against starts that are sent again and again to a worker that refuses them.
#[test]
fn a_worker_that_refuses_is_asked_seldom_and_gets_work_again() {
    let bad = Behaviour {
        refuses: true,
        ..Behaviour::default()
    };
    let mut world = world(1, bad);
    run_load(&mut world, 30_000);
    assert!(world.refused.len() < 20, "{}", world.refused.len());
    world.set_behaviour(BAD, Behaviour::default());
    let from_ms = world.now_ms + 3_500;
    run_load(&mut world, from_ms + 10_000);
    let share = share(&world, BAD, from_ms);
    assert!(share > 20, "{share}");
}

/// Guards against work for a slow worker while others are free, and against a worker that is avoided
/// after it has become fast again.
#[test_case(0.5; "half speed")]
#[test_case(0.2; "a fifth")]
fn a_slow_worker_gets_work_last(speed: f64) {
    let slow = Behaviour {
        speed,
        ..Behaviour::default()
    };
    let mut world = world(1, slow);
    run_load(&mut world, 40_000);
    let share_while_slow = share(&world, BAD, 10_000);
    assert!(share_while_slow < 25, "{share_while_slow}");
    let starts = world.starts.iter().filter(|s| s.at_ms >= 10_000);
    let used: BTreeSet<_> = starts.map(|s| s.worker.clone()).collect();
    assert!(used.len() >= WORKERS - 1, "{used:?}");
    world.set_behaviour(BAD, Behaviour::default());
    let from_ms = world.now_ms + 30_000;
    run_load(&mut world, from_ms + 20_000);
    let share_afterwards = share(&world, BAD, from_ms);
    assert!(share_afterwards > 30, "{share_afterwards}");
}
