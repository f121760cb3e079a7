//! Short jobs in a fleet that long-running work fills but for small pieces.

use {
    crate::world::{Fleet, Job, Shape, World},
    marigoldbend_core::sched::shard::Params,
    std::time::Duration,
    test_case::test_case,
};

/// Short jobs: ten tasks of 7.3 cores on average.
const SHORT: Shape = Shape {
    width: (10.0, 0.4),
    cpu: (7_300.0, 0.3),
    task_ms: (640.0, 0.4),
    max_steps: 2,
};

/// Long-running jobs: 14 tasks of 13 cores on average.
const LONG: Shape = Shape {
    width: (14.0, 0.3),
    cpu: (13_000.0, 0.2),
    task_ms: (500.0, 0.0),
    max_steps: 1,
};

/// A quarter of the fleet on which this was seen.
fn fleet(displace_long_running: bool) -> Fleet {
    Fleet {
        workers: 88,
        cores: (64, 64),
        params: Params {
            displace_long_running,
            cost_of_delay: displace_long_running,
            ..Params::default()
        },
        stop_ms: 500,
        start_up_ms: 1_500,
        max_unavailable: Some(1),
        short_priority: 0,
    }
}

/// What jobs earned, as shares of what they could earn.
#[derive(Clone, Copy, Debug, Default)]
struct Credit {
    short: f64,
    useless: f64,
    long_running: f64,
    stops_per_s: f64,
}

const LATE_CREDIT: f64 = 0.15;

fn short_credit(job: &Job) -> f64 {
    match job.ended_ms {
        Some(ms) if ms <= job.submitted_ms + job.target_ms => 1.0,
        Some(_) if job.is_served() => LATE_CREDIT,
        _ => 0.0,
    }
}

/// Returns a fleet that long-running work fills to `held_percent`.
fn filled_world(fleet: &Fleet, seed: u64, held_percent: i64) -> World {
    let mut world = World::new(fleet, seed);
    for _ in 0..50 {
        world.advance();
    }
    let mut count = 0;
    while world.long_running_cpu() * 100 < world.capacity() * held_percent && count < 100 {
        world.submit_long_running(&LONG, 200_000);
        count += 1;
        for _ in 0..10 {
            world.advance();
        }
    }
    for _ in 0..400 {
        world.advance();
    }
    world
}

/// Plays a fleet that long-running work fills to `held_percent`, with short jobs that arrive at
/// `short_per_s`, for half of the time at `burst` times that rate.
fn play(seed: u64, displaces: bool, held_percent: i64, short_per_s: f64, burst: f64) -> Credit {
    const PLAY_MS: u64 = 60_000;
    let mut world = filled_world(&fleet(displaces), seed, held_percent);
    let start_ms = world.now_ms;
    let at_work = |world: &World| world.jobs.iter().map(|j| j.at_work_ms).sum::<u64>();
    let at_work_before = at_work(&world);
    let owed = world.jobs.iter().map(|j| j.tasks).sum::<u64>() * PLAY_MS;
    while world.now_ms < start_ms + PLAY_MS {
        let is_burst = (world.now_ms - start_ms) / 7_500 % 2 == 1;
        let rate = if is_burst {
            short_per_s * burst
        } else {
            short_per_s
        };
        for _ in 0..world.arrivals(rate) {
            world.submit(&SHORT);
        }
        world.advance();
    }
    let short = world.jobs.iter().filter(|j| !j.is_long_running);
    let short: Vec<_> = short
        .filter(|j| j.submitted_ms + 4_000 < world.now_ms)
        .collect();
    let mean =
        |value: fn(&Job) -> f64| short.iter().map(|j| value(j)).sum::<f64>() / short.len() as f64;
    assert!(
        world.longest_idle_wait_ms < 3_000,
        "a long-running task waits beside free resources"
    );
    let credit = Credit {
        short: mean(short_credit),
        useless: mean(|j| f64::from(u8::from(!j.is_served()))),
        long_running: (at_work(&world) - at_work_before) as f64 / owed as f64,
        stops_per_s: world.stops as f64 * 1_000.0 / PLAY_MS as f64,
    };
    println!(
        "seed={seed} displaces={displaces} held={} {credit:.3?}",
        world.long_running_cpu() * 100 / world.capacity()
    );
    credit
}

/// Guards against short jobs that all become useless because long-running tasks, once started, leave
/// them only pieces of capacity in which none fits.
#[test_case(92, 4.4, 1.0; "even demand")]
#[test_case(92, 4.4, 1.7; "bursts")]
#[test_case(85, 4.4, 1.7; "bursts beside less long_running work")]
#[test_case(92, 8.0, 1.7; "nearly twice the demand")]
fn short_jobs_found_no_room_beside_long_running_work(
    held_percent: i64,
    short_per_s: f64,
    burst: f64,
) {
    for seed in 1..=2 {
        let without = play(seed, false, held_percent, short_per_s, burst);
        let with = play(seed, true, held_percent, short_per_s, burst);
        assert!(with.short >= 0.8 || with.short >= without.short + 0.2);
        assert!(with.useless <= without.useless);
        assert!(with.long_running >= 0.9);
        assert!(with.stops_per_s <= 4.0);
    }
}

/// Guards against jobs that wait without bound because others that can still be in time keep coming.
#[test]
fn a_useless_job_waited_without_bound() {
    let params = Params {
        cost_of_delay: true,
        ..Params::default()
    };
    let fleet = Fleet {
        params,
        ..Fleet::small(12)
    };
    let mut world = World::new(&fleet, 1);
    while world.now_ms < 40_000 {
        // Twice the work that the workers can do.
        for _ in 0..world.arrivals(9.0) {
            world.submit(&SHORT);
        }
        world.advance();
    }
    let mut useless = world.jobs.iter().filter(|j| !j.is_served());
    let job = useless.next().expect("all jobs are served");
    let ended_ms = job.ended_ms.expect("the first useless job waits");
    let useless_ms = job.submitted_ms + 3 * job.target_ms;
    println!("ended {} ms after it was useless", ended_ms - useless_ms);
    assert!(ended_ms <= useless_ms + 10_000 + 4_000);
}

/// Guards against displacement where a rule forbids it; the simulated workers also check the limit of
/// each step at each stop.
#[test_case(Some(0), 0, false; "a step allows no task away")]
#[test_case(Some(1), 1, false; "the short work is less urgent")]
#[test_case(Some(1), 0, true; "runs of an earlier leader may be unknown")]
fn no_task_is_displaced(max_unavailable: Option<u32>, short_priority: u8, has_silent_worker: bool) {
    let mut fleet = Fleet {
        max_unavailable,
        short_priority,
        ..fleet(true)
    };
    fleet.params.unknown_run_limit = Duration::from_secs(600);
    let mut world = filled_world(&fleet, 1, 92);
    if has_silent_worker {
        world.add_silent_worker();
    }
    for _ in 0..500 {
        for _ in 0..world.arrivals(6.0) {
            world.submit(&SHORT);
        }
        world.advance();
    }
    assert!(world.waiting_short_jobs() > 0, "no short job waits");
    assert_eq!(world.stops, 0);
}

/// Guards against long-running tasks that are stopped one after the other while none can start again,
/// since the store is away.
#[test]
fn few_tasks_are_displaced_without_a_store() {
    let mut world = filled_world(&fleet(true), 1, 92);
    world.is_store_away = true;
    let mut stops_at_2_5_s = 0;
    for step in 0..1_000 {
        for _ in 0..world.arrivals(6.0) {
            world.submit(&SHORT);
        }
        world.advance();
        if step == 125 {
            stops_at_2_5_s = world.stops;
        }
    }
    assert!(stops_at_2_5_s > 0);
    assert_eq!(world.stops, stops_at_2_5_s);
}

/// Guards against displaced tasks that stay away after the short work has ended, and against two of one
/// step that are away at a time.
#[test]
fn displaced_tasks_start_again() {
    let fleet = Fleet {
        max_unavailable: Some(4),
        ..fleet(true)
    };
    let mut world = filled_world(&fleet, 1, 85);
    for _ in 0..500 {
        for _ in 0..world.arrivals(12.0) {
            world.submit(&SHORT);
        }
        world.advance();
        let mut long_running = world.jobs.iter().filter(|job| job.is_long_running);
        assert!(long_running.all(|job| world.tasks_away(job) <= 1));
    }
    assert!(world.stops > 0);
    for _ in 0..500 {
        world.advance();
    }
    let long_running = world.jobs.iter().filter(|job| job.is_long_running);
    let away: u64 = long_running.map(|job| world.tasks_away(job)).sum();
    assert_eq!(away, 0);
}

/// Returns what the jobs of a steady queue earn, while another sends `burst_per_s` jobs for half of
/// the time.
fn steady_credit(seed: u64, cost_of_delay: bool, burst_per_s: f64) -> f64 {
    let params = Params {
        cost_of_delay,
        ..Params::default()
    };
    let fleet = Fleet {
        params,
        ..Fleet::small(54)
    };
    let mut world = World::new(&fleet, seed);
    while world.now_ms < 30_000 {
        for _ in 0..world.arrivals(3.0) {
            world.submit_to("steady", &SHORT);
        }
        if world.now_ms / 5_000 % 2 == 1 {
            for _ in 0..world.arrivals(burst_per_s) {
                world.submit_to("burst", &SHORT);
            }
        }
        world.advance();
    }
    let steady = world.jobs.iter().filter(|j| j.queue == "steady");
    let earned: Vec<_> = steady.map(short_credit).collect();
    earned.iter().sum::<f64>() / earned.len() as f64
}

/// Guards against one queue's burst for which the others pay.
#[test]
fn a_burst_of_one_queue_made_others_late() {
    for seed in 1..=3 {
        let alone = steady_credit(seed, true, 0.0);
        let credits = [false, true].map(|shares| steady_credit(seed, shares, 40.0));
        println!("seed={seed} alone={alone:.3} without and with shares: {credits:.3?}");
        assert!(credits[1] >= alone * 0.8);
        assert!(credits[1] >= credits[0] + 0.1);
    }
}
