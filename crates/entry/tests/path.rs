//! The whole path over real processes: nine entry instances, the platform and 48 workers.

use {
    stand_ins::{
        cluster::{Cluster, ClusterConfig},
        load::{self, LoadConfig, Report, Seen},
        record::Record,
        workers::ServiceTime,
    },
    std::time::Duration,
};

/// Slots and connections of a worker, as both teams declare them.
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

fn config() -> ClusterConfig {
    ClusterConfig {
        service_time: ServiceTime {
            mean_ms: 20.0,
            cv: 1.0,
            slowdown: 0.02,
        },
        ..ClusterConfig::new(env!("CARGO_BIN_EXE_marigoldbend-entry"))
    }
}

fn load(cluster: &Cluster, rate: f64, seconds: u64) -> LoadConfig {
    LoadConfig {
        targets: cluster.targets(),
        path: "/services/inspection/check".to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        post_percent: 30,
        keyed: false,
        size: 500,
        deadline: Duration::from_millis(1_500),
        seed: 7,
        prefix: "path".to_owned(),
    }
}

/// Checks what must hold of every run, by the workers' own record.
fn check_record(record: &Record, report: &Report) {
    let summary = record.summary();
    for (id, worker) in &summary.workers {
        assert!(worker.peak_slots <= SLOTS, "worker {id}: {worker:?}");
        assert!(
            worker.peak_connections <= CONNECTIONS,
            "worker {id}: {worker:?}"
        );
    }
    assert_eq!(report.count(Seen::Wrong), 0, "{}", report.line());
    for request in report.requests.iter().filter(|r| !r.idempotent) {
        assert!(record.runs_of(&request.id) <= 1, "{request:?} ran twice");
    }
    for id in report.ids(Seen::NotRun) {
        assert_eq!(record.runs_of(id), 0, "{id} was said to be not run");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn steady_load_is_answered_whole_and_within_capacity() {
    let cluster = Cluster::start(config()).await.expect("the cluster starts");
    let report = load::run(&load(&cluster, 1_000.0, 4)).await;
    println!("{}", report.line());
    check_record(&cluster.workers.record, &report);
    let whole = report.count(Seen::Whole);
    assert!(
        whole * 100 >= report.requests.len() * 99,
        "{}",
        report.line()
    );
}
