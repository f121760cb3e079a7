//! Configurations and checks shared by the tests over real processes.

use {
    stand_ins::{
        cluster::{Cluster, ClusterConfig},
        load::{LoadConfig, ObservedOutcome, Report},
        workers::ServiceTime,
    },
    std::time::Duration,
};

/// Slots of a worker, as the example questionnaire declares them.
const SLOTS: u32 = 8;

/// Connections of a worker, as the example questionnaire declares them.
const CONNECTIONS: u32 = 64;

/// Describes a deployment of `domains` failure domains with three instances and six workers each.
pub fn config(domains: u16) -> ClusterConfig {
    ClusterConfig {
        domains: (1..=domains).collect(),
        workers_per_domain: 6,
        service_time: ServiceTime {
            mean_ms: 20.0,
            cv: 1.0,
            slowdown: 0.0,
        },
        ..ClusterConfig::new(env!("CARGO_BIN_EXE_marigoldbend-entry"))
    }
}

/// Describes a load on all instances with `rate` requests per second, 30 percent of which are
/// non-idempotent.
pub fn load(cluster: &Cluster, prefix: &str, rate: f64, seconds: u64) -> LoadConfig {
    LoadConfig {
        targets: cluster.targets(),
        path: "/services/inspection/check".to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        post_percent: 30,
        idempotency_keys: false,
        size: 500,
        deadline: Duration::from_millis(1_500),
        seed: 7,
        prefix: prefix.to_owned(),
    }
}

/// Checks the invariants of every test by comparing the callers' report with the workers' record.
///
/// No worker exceeded its slots or connections, or received requests after it left. No answer was
/// wrong. Non-idempotent requests ran at most once, requests reported as not run did not run, and
/// answered requests ran. No task ran twice at once or finished twice.
pub fn check_record(cluster: &Cluster, report: &Report) {
    println!("{}", report.summary_line());
    let record = &cluster.workers.record;
    let summary = record.summary();
    for (worker_id, worker) in &summary.workers {
        assert!(worker.peak_slots <= SLOTS, "worker {worker_id}: {worker:?}");
        assert!(
            worker.peak_connections <= CONNECTIONS,
            "worker {worker_id}: {worker:?}"
        );
        assert_eq!(worker.after_leaving, 0, "worker {worker_id}: {worker:?}");
    }
    assert_eq!(
        report.count(ObservedOutcome::Wrong),
        0,
        "{}",
        report.summary_line()
    );
    for request in report.requests.iter().filter(|r| !r.idempotent) {
        assert!(
            record.runs_of(&request.id) <= 1,
            "{request:?} ran more than once"
        );
    }
    for id in report.ids(ObservedOutcome::NotRun) {
        assert_eq!(
            record.runs_of(id),
            0,
            "{id} ran although it was reported as not run"
        );
    }
    for id in report.ids(ObservedOutcome::Whole) {
        assert!(record.runs_of(id) >= 1, "{id} was answered but did not run");
    }
    assert_eq!(summary.overlaps, Vec::<String>::new());
    assert_eq!(summary.finished_twice, Vec::<String>::new());
}

/// Checks that at least `percent` percent of the requests got a complete answer.
pub fn check_answered(report: &Report, percent: usize) {
    let answered = report.count(ObservedOutcome::Whole);
    assert!(
        answered * 100 >= report.requests.len() * percent,
        "{}",
        report.summary_line()
    );
}
