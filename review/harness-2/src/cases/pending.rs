//! The configuration grows by many routes, and jobs wait in all queues.

use super::Stage;
use crate::deploy::{configure, job, step, Route, ZONES};
use std::thread::sleep;
use std::time::Duration;

const WORKERS: usize = 6;

pub fn run(path: &str, trouble: bool) -> Option<bool> {
    let stage = Stage::open(path, false)?;
    for i in 0..WORKERS {
        stage
            .fleet
            .add(ZONES[i % 3], &["a", &format!("r-{}", i / 3)], 16_000);
    }
    let name_of = |i: usize| format!("r-{:07x}", 0x3a_0000 + i);
    let routes: Vec<Route> = (0..8).map(|i| Route::new(&name_of(i))).collect();
    configure(&stage.store, &stage.record, 7, super::SERVICE, &routes);
    let deployment = stage.deploy(3, None)?;
    let mut count = 8;
    if trouble {
        count = 60;
        let routes: Vec<Route> = (0..count).map(|i| Route::new(&name_of(i))).collect();
        configure(&stage.store, &stage.record, 12, super::SERVICE, &routes);
        sleep(Duration::from_secs(3));
    }
    // A job of the first queue takes all room for a minute.
    let first = "5c0e7a21d94b36f8";
    stage
        .fleet
        .cpu
        .lock()
        .unwrap()
        .insert(first.to_owned(), 16_000);
    let body = job(
        "60000",
        vec![step(WORKERS as u64, 16_000, 60_000, Vec::new())],
    );
    if !deployment.submit(&name_of(0), first, &body) {
        return None;
    }
    if !deployment.wait(Duration::from_secs(10), |_| stage.fleet.load().0 == WORKERS) {
        return None;
    }
    // Three jobs wait in each of the others.
    for queue in 1..count {
        for i in 0..3 {
            let id = format!(
                "{:016x}",
                0x5c0e_7a21_d94b_0000_u64 + (queue * 16 + i) as u64
            );
            stage.fleet.cpu.lock().unwrap().insert(id.clone(), 2_000);
            if !deployment.submit(
                &name_of(queue),
                &id,
                &job("500", vec![step(2, 2_000, 500, Vec::new())]),
            ) {
                return None;
            }
        }
    }
    // `visible_ms` + 2 s.
    sleep(Duration::from_secs(6));
    let begun = stage.record.runs().len();
    let (mut wrong, mut asked, mut refused) = (0, 0, 0);
    for queue in 1..count {
        for node in 0..3 {
            asked += 1;
            match deployment.pending(node, &name_of(queue)) {
                Some(pending) if pending * 2 < 3 => {
                    wrong += 1;
                    let name = &deployment.nodes[node].name;
                    let words = format!(
                        "BROKEN MIXED: {name} gives pending={pending} for queue={}, 3 jobs wait",
                        name_of(queue)
                    );
                    stage.record.note(&words);
                }
                Some(_) => {}
                None => refused += 1,
            }
        }
    }
    let runs = stage.record.runs().len();
    stage.record.note(&format!(
        "asked={asked} wrong={wrong} without an answer={refused} runs before={begun} after={runs}"
    ));
    (runs == WORKERS).then_some(wrong == 0)
}
