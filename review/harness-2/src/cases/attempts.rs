//! Tasks that last fail at once for a while, then the leader is killed.

use super::Stage;
use crate::deploy::{configure, job, step, Route, ZONES};
use crate::json::{s, Json};
use std::thread::sleep;
use std::time::{Duration, Instant};

const WORKERS: usize = 6;
const TASKS: usize = 16;

pub fn run(path: &str, trouble: bool) -> Option<bool> {
    let stage = Stage::open(path, true)?;
    for i in 0..WORKERS {
        stage
            .fleet
            .add(ZONES[i % 3], &["a", &format!("r-{}", i / 3)], 16_000);
    }
    let route = Route {
        max_attempts: 3,
        ..Route::new("watch")
    };
    configure(&stage.store, &stage.record, 7, super::SERVICE, &[route]);
    let mut deployment = stage.deploy(3, None)?;
    let id = "5c0e7a21d94b36f8";
    stage.fleet.cpu.lock().unwrap().insert(id.to_owned(), 1_600);
    stage.fleet.fails.lock().unwrap().insert(id.to_owned());
    let more = vec![("long_running", Json::Bool(true)), ("image", s("hoist"))];
    let body = job("lasts", vec![step(TASKS as u64, 1_600, 300, more)]);
    if !deployment.submit("watch", id, &body) {
        return None;
    }
    sleep(Duration::from_secs(55));
    let leader = deployment.leader()?;
    let name = deployment.nodes[leader].name.clone();
    if trouble {
        stage.record.note(&format!("platform: {name} is killed"));
        deployment.nodes[leader].kill();
    }
    sleep(Duration::from_millis(500));
    stage.record.note("the tasks are sound from now on");
    stage.fleet.fails.lock().unwrap().clear();
    sleep(Duration::from_secs(1));
    if trouble {
        deployment.nodes[leader].spawn().ok()?;
        stage
            .record
            .note(&format!("platform: {name} is started again"));
    }
    // From here on nothing is disturbed. The first 10 s are left out; then no task may be without a
    // run for 3 s.
    sleep(Duration::from_secs(10));
    let from = Instant::now();
    let state = deployment.state(0, "watch", id);
    sleep(Duration::from_secs(20));
    let until = Instant::now();
    let runs = stage.record.runs();
    let mut held = true;
    for index in 0..TASKS {
        let task = format!("{id}.0.0.{index}");
        let of_task = runs.iter().filter(|run| run.task == task);
        // A task may be without a run until 6 s after its last one.
        let mut at = from;
        let mut idle = Duration::ZERO;
        for run in of_task.clone() {
            idle = idle.max(run.start.saturating_duration_since(at));
            let end = run
                .end
                .map_or(until, |(end, _)| end + Duration::from_secs(6));
            at = at.max(end);
        }
        idle = idle.max(until.saturating_duration_since(at));
        let words = format!(
            "task={task} starts={} longest time without a run, of the last 20 s: {} ms",
            of_task.count(),
            idle.as_millis()
        );
        stage.record.note(&words);
        if idle > Duration::from_secs(3) {
            held = false;
            stage.record.note(&format!("BROKEN LOST: task={task} is to last and doesn't run, the workers are idle, state={state}"));
        }
    }
    Some(held)
}
