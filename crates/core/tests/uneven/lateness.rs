//! Tests of which jobs count as late, and of the order of a job's steps.

use {
    crate::world::{Behaviour, World, step},
    test_case::test_case,
};

/// Returns how many jobs of 0.8 s that wait behind a full worker count as too late after 6 s.
fn too_late_jobs(estimate_ms: u32, learned_jobs: u64) -> u32 {
    let mut world = World::new(&[Behaviour::default()], 1, |task, _| {
        if task.job.0 == 1 { 60_000.0 } else { 800.0 }
    });
    for id in 2..2 + learned_jobs {
        world.add_job(id, vec![step(8, 1_000, estimate_ms)]);
        let until_ms = world.now_ms + 2_000;
        world.run(until_ms, |w| w.is_completed(id));
    }
    world.add_job(1, vec![step(8, 1_000, 60_000)]);
    world.run(world.now_ms + 200, |_| false);
    for id in 1_000..1_005 {
        world.add_job(id, vec![step(2, 1_000, estimate_ms)]);
    }
    world.run(world.now_ms + 8_500, |_| false);
    let now = world.now();
    world.shard.summary(now).waiting[1].too_late_jobs
}

/// Guards against jobs of no use that keep their place because their callers estimate ten times the
/// run time, and against changes where nothing has been learned. At 0.8 s a job is of use for
/// 6.3 s, at 8 s for 49.5 s.
#[test_case(800, 0, 5; "a good estimate")]
#[test_case(8_000, 0, 0; "an estimate that is off by ten")]
#[test_case(8_000, 10, 5; "the same after 80 ends")]
fn lateness_follows_the_learned_run_times(estimate_ms: u32, learned_jobs: u64, expected: u32) {
    assert_eq!(too_late_jobs(estimate_ms, learned_jobs), expected);
}

/// Guards against a job whose long chain starts after its short ones.
#[test]
fn the_step_with_the_longest_chain_starts_first() {
    let mut world = World::new(&[Behaviour::default()], 1, |_, _| 1_000.0);
    let short = step(8, 1_000, 2_000);
    let head = step(8, 1_000, 1_000);
    let tail = marigoldbend_core::sched::job::Step {
        after: vec![1],
        ..step(1, 1_000, 5_000)
    };
    world.add_job(1, vec![short, head, tail]);
    world.run(200, |_| false);
    assert_eq!(world.starts.len(), 8);
    assert!(world.starts.iter().all(|start| start.task.step == 1));
}
