//! The complete request path, from the callers through nine entry instances to 48 workers.

use {
    crate::common::{check_answered, check_record, config, load},
    stand_ins::{
        cluster::{Cluster, ClusterConfig},
        load,
    },
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steady_load_is_answered_completely_and_within_capacity() {
    let cfg = ClusterConfig {
        workers_per_domain: 16,
        ..config(3)
    };
    let cluster = Cluster::start(cfg).await.expect("the cluster starts");
    let report = load::run(&load(&cluster, "steady", 1_000.0, 4)).await;
    check_record(&cluster, &report);
    check_answered(&report, 99);
}
