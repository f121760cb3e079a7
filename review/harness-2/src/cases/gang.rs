//! Two workers fail all that they start, and a gang has a member on each.

use super::Stage;
use crate::deploy::{configure, job, step, Route, ZONES};
use crate::json::Json;
use std::thread::sleep;
use std::time::Duration;

const WORKERS: usize = 24;

pub fn run(path: &str, trouble: bool) -> Option<bool> {
    let stage = Stage::open(path, true)?;
    for i in 0..WORKERS {
        stage
            .fleet
            .add(ZONES[i % 3], &["a", &format!("r-{}", i / 8)], 16_000);
    }
    let route = Route {
        max_attempts: 2,
        ..Route::new("review")
    };
    configure(&stage.store, &stage.record, 7, super::SERVICE, &[route]);
    let deployment = stage.deploy(3, None)?;
    // 2 of 24 workers fail all that they start, for 6 s.
    let grey: Vec<_> = [7, 15]
        .iter()
        .map(|i| stage.fleet.workers()[*i].clone())
        .collect();
    if trouble {
        grey.iter().for_each(|worker| worker.set_fails_all(true));
    }
    let id = "5c0e7a21d94b36f8";
    stage.fleet.cpu.lock().unwrap().insert(id.to_owned(), 9_000);
    stage
        .fleet
        .gangs
        .lock()
        .unwrap()
        .insert(format!("{id}.0.0"), WORKERS - 2);
    let more = vec![("gang", Json::Bool(true))];
    let body = job("1500", vec![step(WORKERS as u64 - 2, 9_000, 1_500, more)]);
    if !deployment.submit("review", id, &body) {
        return None;
    }
    sleep(Duration::from_secs(6));
    if trouble {
        grey.iter().for_each(|worker| worker.set_fails_all(false));
    }
    sleep(Duration::from_secs(14));
    let state = deployment.state(0, "review", id);
    let runs = stage.record.runs();
    let mut failed: Vec<u32> = runs
        .iter()
        .filter(|run| run.task.starts_with(id) && run.end.is_some_and(|(_, how)| how == "failed"))
        .map(|run| run.attempt)
        .collect();
    let ends = failed.len();
    failed.sort_unstable();
    failed.dedup();
    stage.record.note(&format!(
        "job={id} state={state} failed ends={ends} in attempts={failed:?}"
    ));
    // The queue allows 2 attempts, so the gang may fail once.
    if state == "failed" && failed.len() < 2 {
        stage
            .record
            .note("BROKEN LOST: shown as failed, though the gang has failed in one attempt only");
        return Some(false);
    }
    if state != "completed" && failed.len() < 2 {
        return None;
    }
    Some(true)
}
