//! Tests of second runs of tasks that take much longer than most.

use {
    crate::world::{Behaviour, World, step},
    test_case::test_case,
};

/// Runs jobs of ten tasks of 1 s on ten workers, of which one is slow, and returns the world with the
/// largest number of runs that a task had at a time.
fn run(speculative: bool, speed: f64, period_ms: u64, until_ms: u64) -> (World, usize) {
    let mut behaviours = [Behaviour::default(); 10];
    behaviours[0].speed = speed;
    let mut world = World::new(&behaviours, 3, |_, _| 1_000.0);
    let (mut id, mut most) = (1, 0);
    while world.now_ms < until_ms {
        let mut step = step(10, 2_000, 5_000);
        step.speculative = speculative;
        step.max_per_worker = 1;
        world.add_job(id, vec![step]);
        id += 1;
        let next_ms = world.now_ms + period_ms;
        while world.now_ms < next_ms {
            world.tick();
            most = most.max(world.most_runs());
        }
    }
    (world, most)
}

/// Guards against a job that waits for its slowest task while fast workers are idle.
#[test]
fn a_task_in_the_tail_gets_a_second_run() {
    let (mut world, most) = run(true, 0.1, 2_000, 40_000);
    assert_eq!(most, 2);
    let counts = world.shard.take_trust_counts();
    assert!(counts.second_runs > 0, "{counts:?}");
    // On the slow worker the first task of a job takes 10 s.
    let until_ms = world.now_ms + 5_000;
    world.run(until_ms, |_| false);
    let jobs = 40_000 / 2_000;
    let completed = (1..=jobs).filter(|id| world.is_completed(*id)).count();
    assert_eq!(completed as u64, jobs);
}

/// Guards against two runs of a task that may run only once, and against second runs that take the
/// room of tasks that wait.
#[test_case(false, 0.1, 2_000; "the step is not speculative")]
#[test_case(true, 0.1, 250; "more work waits than the workers can hold")]
#[test_case(true, 1.0, 2_000; "no task is slow")]
fn no_second_run_starts(speculative: bool, speed: f64, period_ms: u64) {
    let (mut world, most) = run(speculative, speed, period_ms, 30_000);
    assert_eq!(most, 1);
    assert_eq!(world.shard.take_trust_counts().second_runs, 0);
}

/// Guards against a task that counts as done twice, or is left running.
#[test]
fn the_run_that_ends_first_counts_and_the_other_is_stopped() {
    let (world, _) = run(true, 0.1, 4_000, 20_000);
    let twice = world.stops.iter().filter(|stop| stop.worker == "w000");
    assert!(twice.clone().count() > 0);
    for stop in twice {
        assert_eq!(world.runs_of(stop.task), 0);
        let done = world.done.iter().filter(|d| d.task == stop.task).count();
        assert_eq!(done, 1, "{}", stop.task);
    }
}
