//! A queue's policy allows only few of the workers to run its steps.

use super::Stage;
use crate::deploy::{configure, job, step, Route, ZONES};
use crate::http::Server;
use crate::json::{map, n, parse, s, Json};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const WORKERS: usize = 48;

pub fn run(path: &str, trouble: bool) -> Option<bool> {
    let stage = Stage::open(path, false)?;
    for i in 0..WORKERS {
        stage
            .fleet
            .add(ZONES[i % 3], &["a", &format!("r-{}", i / 8)], 16_000);
    }
    // With the disruption the policy allows only 4 of the 48 workers, those of half a rack.
    let workers = stage.fleet.workers();
    let allowed: Vec<_> = workers
        .iter()
        .skip(if trouble { 36 } else { 0 })
        .take(if trouble { 4 } else { 48 })
        .cloned()
        .collect();
    let ids: Vec<String> = allowed.iter().map(|worker| worker.id.clone()).collect();
    let record = stage.record.clone();
    let fleet = stage.fleet.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let advice = Server::start(any, move |req| {
        let Some(call) = parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        let phase = call.get("phase").str().to_owned();
        let asked: Vec<&str> = call.get("workers").list().iter().map(Json::str).collect();
        sleep(Duration::from_millis(5 + asked.len() as u64));
        let approved: Vec<Json> = asked
            .iter()
            .filter(|id| ids.iter().any(|allowed| allowed == *id))
            .map(|id| Json::List(vec![s(*id), s(fleet.ticket(id, &phase))]))
            .collect();
        record.note(&format!(
            "advice: phase={phase} asked for {} workers, approved={}",
            asked.len(),
            approved.len()
        ));
        (
            200,
            map(vec![
                ("approved", Json::List(approved)),
                ("valid_ms", n(3_000)),
            ])
            .text(),
        )
    })
    .ok()?;
    let route = Route {
        hint: true,
        ..Route::new("check")
    };
    configure(&stage.store, &stage.record, 7, super::SERVICE, &[route]);
    let deployment = stage.deploy(3, Some(advice.address))?;
    sleep(Duration::from_secs(4));
    let mut jobs = Vec::new();
    for i in 0..5_u64 {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + i);
        stage.fleet.cpu.lock().unwrap().insert(id.clone(), 1_100);
        stage.fleet.needs_ticket.lock().unwrap().insert(id.clone());
        if !deployment.submit(
            "check",
            &id,
            &job("640", vec![step(6, 1_100, 640, Vec::new())]),
        ) {
            return None;
        }
        jobs.push((id, Instant::now()));
        sleep(Duration::from_secs(4));
    }
    sleep(Duration::from_secs(20));
    let runs = stage.record.runs();
    let mut held = true;
    for (i, (id, at)) in jobs.iter().enumerate() {
        let state = deployment.state(i, "check", id);
        let first = runs.iter().find(|run| run.task.starts_with(id.as_str()));
        let waited = first.map_or_else(
            || at.elapsed(),
            |run| run.start.saturating_duration_since(*at),
        );
        stage.record.note(&format!(
            "job={id} state={state} first start={} after {} ms",
            first.is_some(),
            waited.as_millis()
        ));
        // The allowed workers have been idle all the while, each with room for the job twice over.
        if waited > Duration::from_secs(10) {
            held = false;
            stage.record.note(&format!(
                "BROKEN LOST: job={id} has had nothing running for {} ms",
                waited.as_millis()
            ));
        }
    }
    Some(held)
}
