//! Tests of which jobs are refused under load, and why.

mod world;

use {
    marigoldbend_core::sched::{
        admission::Refusal,
        job::{JobSpec, Resources, Step},
    },
    std::{cmp::Reverse, time::Duration},
    test_case::test_case,
    world::World,
};

/// Returns a step of `count` tasks.
fn step(count: u32, cpu: i64, estimate_ms: u32) -> Step {
    Step {
        count,
        request: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        estimate_ms,
        ..Step::default()
    }
}

fn job(priority: u8, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority,
        max_attempts: 3,
        slack_percent: 150,
        extra_ms: 1_500,
        token: 1,
        steps,
        ..JobSpec::default()
    }
}

/// Submits a short job: one or two steps of about 10 tasks of 0.64 s on 7.3 cores.
fn submit_short(world: &mut World) {
    let has_second = world.arrivals(30.0) > 0;
    let mut steps = Vec::new();
    for index in 0..1 + u16::from(has_second) {
        let count = world.draw(10.0, 0.6).max(1.0) as u32;
        let cpu = (world.draw(7_300.0, 0.3) as i64).min(12_000);
        let estimate_ms = world.draw(640.0, 0.5).max(40.0) as u32;
        steps.push(Step {
            after: (index > 0).then_some(0).into_iter().collect(),
            ..step(count, cpu, estimate_ms)
        });
    }
    world.submit(job(0, steps));
}

/// What became of the jobs of several runs.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    jobs: usize,
    served: usize,
    refused: usize,
    /// Refused by the outlook, but served because refusals were only recorded.
    refused_in_vain: usize,
    accepted_useless: usize,
    /// The largest tenth of the jobs that were submitted in the burst, and those of them that were served.
    largest: usize,
    largest_served: usize,
}

/// Plays 100 workers on which long-running work leaves 6 to 14 cores, with 6 short jobs per second and
/// `burst` of them from second 10 to 25; about 12 can be served.
fn play(refuses: bool, slowness: f64, burst: f64) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 1..=3 {
        let mut world = World::new((0..100).map(|i| 6 + i * 7 % 9), seed);
        world.refuses = refuses;
        world.slowness = slowness;
        while world.now_ms < 45_000 {
            let per_s = match world.now_ms {
                10_000..25_000 => burst,
                ..35_000 => 6.0,
                _ => 0.0,
            };
            for _ in 0..world.arrivals(per_s) {
                submit_short(&mut world);
            }
            world.advance();
        }
        outcome.jobs += world.jobs.len();
        for job in &world.jobs {
            let is_refused = job.refusal.is_some();
            outcome.served += usize::from(job.is_served());
            outcome.refused += usize::from(is_refused);
            outcome.refused_in_vain += usize::from(is_refused && job.is_served());
            outcome.accepted_useless += usize::from(!is_refused && !job.is_served());
        }
        let jobs = world.jobs.iter();
        let mut largest: Vec<_> = jobs.filter(|j| j.is_submitted_in(10_000..25_000)).collect();
        largest.sort_by_key(|job| Reverse(job.work));
        largest.truncate(largest.len() / 10);
        outcome.largest += largest.len();
        outcome.largest_served += largest.iter().filter(|job| job.is_served()).count();
    }
    println!("refuses={refuses} slowness={slowness} burst={burst}: {outcome:?}");
    outcome
}

/// Guards against refusals while demand is within what the workers can do.
#[test_case(1.0, 10.0; "with right estimates")]
#[test_case(0.6, 14.0; "with estimates that are too high")]
fn no_job_is_refused_while_almost_all_are_served(slowness: f64, burst: f64) {
    let outcome = play(true, slowness, burst);
    assert!(outcome.served * 100 >= outcome.jobs * 99);
    assert_eq!(outcome.refused, 0);
}

/// The day on which this was seen: most jobs that failed their callers had been accepted.
#[test_case(1.0, 24.0; "with twice the demand that can be served")]
#[test_case(1.0, 40.0; "with three times the demand that can be served")]
#[test_case(1.5, 24.0; "with estimates that are too low")]
fn jobs_that_end_too_late_were_accepted(slowness: f64, burst: f64) {
    let recorded = play(false, slowness, burst);
    let refused = play(true, slowness, burst);
    // Demand that ends sooner than in the last seconds is not foreseen.
    assert!(recorded.refused_in_vain * 2 <= recorded.refused);
    let useless = recorded.jobs - recorded.served;
    assert!(refused.accepted_useless * 4 <= useless * 3);
    assert!(refused.served * 100 >= recorded.served * 98);
    // No size is refused altogether.
    assert!(refused.largest_served * 2 >= recorded.largest_served);
}

/// The workers: 20 with 3 cores.
fn small_pieces() -> World {
    World::new([3; 20].into_iter(), 1)
}

/// Advances the world and submits `jobs` jobs of `steps` each 0.1 s.
fn advance(world: &mut World, ms: u64, jobs: u32, spec: &JobSpec) {
    let end_ms = world.now_ms + ms;
    while world.now_ms < end_ms {
        if world.now_ms.is_multiple_of(100) {
            for _ in 0..jobs {
                world.submit(spec.clone());
            }
        }
        world.advance();
    }
}

/// A small job of 0.8 core-seconds.
fn small() -> JobSpec {
    job(0, vec![step(4, 1_000, 200)])
}

/// A job of a thousand core-seconds, far more than a burst of others has.
fn huge(priority: u8) -> JobSpec {
    job(priority, vec![step(200, 2_500, 2_000)])
}

/// Room of this size is nowhere, though the pieces together are enough. Small jobs fit. Now and then
/// a job is accepted, since room may be made for jobs that wait.
#[test]
fn requests_larger_than_all_pieces_were_accepted() {
    let large = job(0, vec![step(2, 22_000, 500)]);
    let mut world = small_pieces();
    advance(&mut world, 20_000, 1, &small());
    assert_eq!(world.refusal(&large), None);
    world.submit(large.clone());
    advance(&mut world, 3_000, 1, &small());
    let refusal = world.refusal(&large).expect("a refusal");
    assert!(refusal.wait >= Duration::from_secs(15), "{refusal}");
    assert_eq!(world.refusal(&small()), None);
    advance(&mut world, 5_000, 1, &small());
    assert_eq!(world.refusal(&large), None);
}

/// Guards against work that counts although it doesn't stand before a new job, and against work that
/// is left out although it does.
#[test_case(0, 40, 0, small(), false; "large jobs before a small one")]
#[test_case(0, 40, 1, small(), true; "more urgent jobs before a small one")]
#[test_case(1, 40, 0, huge(0), false; "less urgent jobs before a large one")]
#[test_case(0, 40, 1, huge(1), true; "more urgent jobs before a large one")]
fn work_counts_if_it_comes_first(
    queued: u8,
    count: u32,
    priority: u8,
    new: JobSpec,
    expected: bool,
) {
    let mut world = small_pieces();
    advance(&mut world, 5_000, 1, &small());
    for _ in 0..count {
        world.submit(JobSpec {
            // A long objective keeps them in time.
            extra_ms: 60_000,
            ..huge(queued)
        });
    }
    advance(&mut world, 2_000, 0, &small());
    let refusal = world.refusal(&JobSpec { priority, ..new });
    assert_eq!(refusal.is_some(), expected, "{refusal:?}");
}

/// Guards against a queue of jobs of no use that keeps others out.
#[test]
fn jobs_that_are_too_late_do_not_count() {
    let mut world = small_pieces();
    advance(&mut world, 5_000, 1, &small());
    let late = job(0, vec![step(100, 2_500, 1_000)]);
    for _ in 0..40 {
        world.submit(late.clone());
    }
    let less_urgent = JobSpec {
        priority: 1,
        ..late.clone()
    };
    advance(&mut world, 1_000, 0, &late);
    assert!(world.refusal(&less_urgent).is_some());
    // Three times the objective of a job is 9 s.
    advance(&mut world, 9_000, 0, &late);
    assert_eq!(world.refusal(&less_urgent), None);
}

/// Guards against a queue of best-effort work that keeps out short work, which doesn't wait for it,
/// and the other way round.
#[test_case(true; "best-effort work waits")]
#[test_case(false; "short work waits")]
fn kinds_of_work_wait_for_themselves(best_effort: bool) {
    let of_kind = |best_effort: bool, count| Step {
        best_effort,
        ..step(count, 2_000, 1_000)
    };
    let mut world = small_pieces();
    let both = job(0, vec![of_kind(true, 1), of_kind(false, 1)]);
    advance(&mut world, 5_000, 1, &both);
    for _ in 0..40 {
        world.submit(JobSpec {
            extra_ms: 60_000,
            ..job(0, vec![of_kind(best_effort, 100)])
        });
    }
    advance(&mut world, 2_000, 0, &both);
    let is_refused = |best_effort| {
        let new = job(1, vec![of_kind(best_effort, 1)]);
        world
            .refusal(&new)
            .is_some_and(|r| r.best_effort == best_effort)
    };
    assert!(is_refused(best_effort));
    assert!(!is_refused(!best_effort));
}

/// Guards against refusals of work that must always be accepted.
#[test]
fn long_running_and_scheduled_jobs_are_accepted() {
    let mut world = small_pieces();
    advance(&mut world, 5_000, 1, &small());
    advance(
        &mut world,
        1_000,
        10,
        &JobSpec {
            extra_ms: 60_000,
            ..huge(0)
        },
    );
    let refused = JobSpec {
        priority: 1,
        ..huge(1)
    };
    assert!(world.refusal(&refused).is_some());
    let long_running = Step {
        long_running: true,
        ..step(1, 2_000, 500)
    };
    assert_eq!(world.refusal(&job(1, vec![long_running])), None);
    let scheduled = JobSpec {
        occurrences: 2,
        interval_ms: 1_000,
        ..refused
    };
    assert_eq!(world.refusal(&scheduled), None);
}

/// Guards against outlooks of a leader that doesn't know the demand or the runs yet.
#[test]
fn a_new_leader_has_no_outlook() {
    let mut world = small_pieces();
    advance(&mut world, 2_900, 10, &huge(0));
    assert!(world.shard.outlooks().is_none());
    advance(&mut world, 1_000, 1, &small());
    assert!(world.shard.outlooks().is_some());
    world
        .shard
        .add_worker_in_use("other", "127.0.0.1:9", world.now());
    advance(&mut world, 1_000, 1, &small());
    assert!(world.shard.outlooks().is_none());
}

#[test_case(100, &[1, 1, 2]; "room at once")]
#[test_case(4_000, &[4, 6, 8]; "room in a few seconds")]
#[test_case(90_000, &[20, 29, 40]; "no room in sight")]
fn retries_are_spread(room_in_ms: u64, expected_s: &[u64]) {
    let refusal = Refusal {
        best_effort: false,
        priority: 0,
        request_cpu: 1_000,
        work: 1,
        wait: Duration::ZERO,
        run: Duration::ZERO,
        limit: Duration::ZERO,
        capacity: 0,
        rate: 0,
        speed_percent: 100,
        ahead: 0,
        room_in: Duration::from_millis(room_in_ms),
    };
    let retries = [0.0, 0.45, 1.0].map(|share| refusal.retry_after_s(share));
    assert_eq!(retries, expected_s);
}
