//! A worker crashes and starts again under its id and address, as a worker of another kind.

use super::Stage;
use crate::deploy::{configure, job, step, Route, ZONES};
use crate::json::s;
use crate::record::RunRecord;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const WORKERS: usize = 8;

pub fn run(path: &str, trouble: bool) -> Option<bool> {
    let stage = Stage::open(path, true)?;
    for i in 0..WORKERS {
        let kind = if i < 4 { "kind-a" } else { "kind-b" };
        stage
            .fleet
            .add(ZONES[i % 3], &[kind, &format!("r-{}", i / 4)], 16_000);
    }
    configure(
        &stage.store,
        &stage.record,
        7,
        super::SERVICE,
        &[Route::new("check")],
    );
    let deployment = stage.deploy(3, None)?;
    let mut changes = Vec::new();
    let start = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            // A stream of small jobs whose tasks need a worker of the kind a.
            let mut number = 0;
            while start.elapsed() < Duration::from_secs(56) {
                let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + number);
                number += 1;
                stage.fleet.cpu.lock().unwrap().insert(id.clone(), 1_100);
                stage
                    .fleet
                    .needs
                    .lock()
                    .unwrap()
                    .insert(id.clone(), "kind-a".to_owned());
                let more = vec![("constraints", s("kind-a"))];
                deployment.submit("check", &id, &job("400", vec![step(6, 1_100, 400, more)]));
                sleep(Duration::from_millis(60));
            }
        });
        sleep(Duration::from_secs(4));
        // One of 8 workers at a time: down for 1 s, then another kind for 4 s, and back again.
        for i in [0, 1, 2, 0, 1, 2] {
            let worker = stage.fleet.workers()[i].clone();
            let rack = format!("r-{}", i / 4);
            if trouble {
                worker.crash();
                sleep(Duration::from_secs(1));
                worker.start(&["kind-b", &rack], 16_000);
                changes.push((worker.id.clone(), Instant::now()));
            }
            sleep(Duration::from_secs(4));
            if trouble {
                worker.crash();
                sleep(Duration::from_secs(1));
                worker.start(&["kind-a", &rack], 16_000);
            }
            sleep(Duration::from_secs(2));
        }
    });
    let runs = stage.record.runs();
    let wrong: Vec<&RunRecord> = runs.iter().filter(|run| run.lacks_label).collect();
    for run in &wrong {
        let change = changes
            .iter()
            .filter(|(id, at)| *id == run.worker && *at <= run.start);
        let ms = change
            .map(|(_, at)| run.start.duration_since(*at).as_millis())
            .min();
        stage.record.note(&format!(
            "BROKEN ROUTE: task={} started on worker={} of kind b, {ms:?} ms after the worker had listed itself as that",
            run.task, run.worker
        ));
    }
    stage.record.note(&format!(
        "starts={} without the label={}",
        runs.len(),
        wrong.len()
    ));
    (runs.len() > 500).then_some(wrong.is_empty())
}
