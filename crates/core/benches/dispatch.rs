//! Measures one dispatch of a shard with 350 workers that long-running work nearly fills, while 250
//! short jobs wait. Prints the median, the 99th percentile and the maximum, with the default order and
//! with displacement.

#[expect(dead_code, reason = "the tests use more of the simulated fleet")]
#[path = "../tests/overload/world.rs"]
mod world;

use {
    marigoldbend_core::sched::shard::Params,
    std::time::{Duration, Instant},
    world::{Fleet, Shape, World},
};

const WAITING_JOBS: u32 = 250;

const DISPATCHES: usize = 1_000;

const SHORT: Shape = Shape {
    width: (10.0, 0.4),
    cpu: (7_300.0, 0.3),
    task_ms: (640.0, 0.4),
    max_steps: 2,
};

const LONG: Shape = Shape {
    width: (14.0, 0.3),
    cpu: (13_000.0, 0.2),
    task_ms: (500.0, 0.0),
    max_steps: 1,
};

/// Returns a fleet of which long-running work holds 92%.
fn filled_world(params: Params) -> World {
    let fleet = Fleet {
        workers: 350,
        cores: (64, 64),
        params,
        stop_ms: 500,
        start_up_ms: 1_500,
        max_unavailable: Some(1),
        short_priority: 0,
    };
    let mut world = World::new(&fleet, 1);
    for _ in 0..50 {
        world.advance();
    }
    while world.long_running_cpu() * 100 < world.capacity() * 92 && world.jobs.len() < 200 {
        world.submit_long_running(&LONG, 3_600_000);
        world.advance();
    }
    world
}

/// Returns the sorted durations of dispatches.
fn measure(params: Params) -> Vec<Duration> {
    let mut world = filled_world(params);
    let mut durations = Vec::with_capacity(DISPATCHES);
    while durations.len() < DISPATCHES {
        world.prepare();
        let waiting = world.waiting_short_jobs();
        for _ in waiting..WAITING_JOBS {
            world.submit(&SHORT);
        }
        let before = world.shard.last_dispatch_at();
        let began_at = Instant::now();
        let commands = world.poll();
        let duration = began_at.elapsed();
        if world.shard.last_dispatch_at() != before {
            durations.push(duration);
        }
        world.finish(commands);
    }
    durations.sort_unstable();
    durations
}

fn main() {
    let with_displacement = Params {
        displace_long_running: true,
        cost_of_delay: true,
        ..Params::default()
    };
    let cases = [
        ("default order", Params::default()),
        ("displacement", with_displacement),
    ];
    for (name, params) in cases {
        let durations = measure(params);
        println!(
            "{name}: median {:?}, 99% {:?}, maximum {:?}",
            durations[DISPATCHES / 2],
            durations[DISPATCHES * 99 / 100],
            durations[DISPATCHES - 1],
        );
    }
}
