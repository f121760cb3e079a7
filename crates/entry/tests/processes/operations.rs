//! Planned changes: competing configuration updates, leaving workers, and the replacement of
//! instances under load.

use {
    crate::common::{check_answered, check_record, config, load},
    marigoldbend::{
        core::{config::Config, ids::Version},
        platform::wire::Liveness,
    },
    stand_ins::{
        cluster::{Cluster, entry_ip},
        load::{self, ObservedOutcome, sleep_until_offset},
        platform::Faults,
    },
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// The maximum time until an accepted configuration is in force, or until a new instance is ready.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Returns the version and the configuration that is in force on the instance at `index`.
async fn current_config(cluster: &Cluster, index: usize) -> (Version, Config) {
    let (version, config) = cluster.entries[index]
        .operator()
        .config()
        .await
        .expect("the instance answers");
    (version, config.expect("a configuration is in force"))
}

/// Waits until at least this version is in force on the instances at `indices`; returns whether it
/// is before [`APPLY_LIMIT`].
async fn wait_for_version(cluster: &Cluster, indices: &[usize], version: Version) -> bool {
    cluster
        .wait_until(APPLY_LIMIT, || async {
            for &index in indices {
                let config = cluster.entries[index].operator().config().await;
                if !config.is_ok_and(|(current, _)| current >= version) {
                    return false;
                }
            }
            true
        })
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_several_concurrent_configuration_updates_wins() {
    let cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults {
        lose_replies_percent: 30,
        ..Faults::default()
    });
    let all_entries: Vec<usize> = (0..cluster.entries.len()).collect();
    for round in 0..4u32 {
        let (version, config) = current_config(&cluster, 0).await;
        assert!(wait_for_version(&cluster, &all_entries, version).await);
        let mut puts = JoinSet::new();
        for (index, entry) in cluster.entries.iter().enumerate() {
            let operator = entry.operator();
            let mut config = config.clone();
            config.weights.tail_latency = round * 10 + index as u32;
            puts.spawn(async move { operator.put_config(version, &config).await });
        }
        let results = puts.join_all().await;
        let accepted = results.iter().filter(|r| r.is_ok()).count();
        let conflicts = results
            .iter()
            .filter(|r| r.as_ref().is_err_and(|e| e.is_version_conflict()));
        assert_eq!(
            (accepted, conflicts.count()),
            (1, all_entries.len() - 1),
            "{results:?}"
        );
        let next_version = Version(version.0 + 1);
        assert!(
            wait_for_version(&cluster, &all_entries, next_version).await,
            "the new version is not in force in time"
        );
        let weights = current_config(&cluster, 0).await.1.weights;
        for &index in &all_entries {
            assert_eq!(current_config(&cluster, index).await.1.weights, weights);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_configuration_reaches_a_domain_without_the_platform_and_after_isolation() {
    let mut cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let (version, mut config) = current_config(&cluster, 0).await;
    // Domain 1 can't reach the platform, but it reaches its peers in domain 2, which can.
    cluster.cut_from_platform(1, true);
    config.weights.evictions = 11;
    let put = cluster.entries[3]
        .operator()
        .put_config(version, &config)
        .await;
    let version = put.expect("the configuration is accepted");
    let all_entries: Vec<usize> = (0..cluster.entries.len()).collect();
    assert!(
        wait_for_version(&cluster, &all_entries, version).await,
        "the version is not in force through peers"
    );
    // Domain 1 is cut off from domain 2 as well, and later reconnected.
    cluster.cut_from_domains(1, true);
    config.weights.evictions = 12;
    let put = cluster.entries[3]
        .operator()
        .put_config(version, &config)
        .await;
    let version = put.expect("the configuration is accepted");
    assert!(wait_for_version(&cluster, &[3, 4, 5], version).await);
    assert_eq!(
        current_config(&cluster, 0).await.0.0 + 1,
        version.0,
        "the configuration reached a domain that is cut off"
    );
    cluster.cut_from_domains(1, false);
    cluster.cut_from_platform(1, false);
    assert!(
        wait_for_version(&cluster, &all_entries, version).await,
        "the version is not in force after the domain is reconnected"
    );
    // An instance that restarts during a platform outage does not revert to an older version.
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.entries[1].kill();
    let restarted = cluster.restart(1).await.expect("the instance starts");
    assert!(
        wait_for_version(&cluster, &[restarted], version).await,
        "the version is not in force on the restarted instance"
    );
    assert_eq!(
        current_config(&cluster, restarted)
            .await
            .1
            .weights
            .evictions,
        12
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_worker_receives_no_new_requests() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    // Only one instance can read the instance list; the others receive it from that instance.
    let cut_ips = [entry_ip(1, 2), entry_ip(1, 3)];
    cluster.platform.set_faults(Faults {
        cut: cut_ips.to_vec(),
        ..Faults::default()
    });
    let cfg = load(&cluster, "leaving", 1_000.0, 8);
    let load_task = tokio::spawn(async move { load::run(&cfg).await });
    let start = Instant::now();
    sleep_until_offset(start, 1_500).await;
    for worker in [2, 5] {
        cluster
            .workers
            .get(worker)
            .expect("the worker exists")
            .leave();
        cluster.platform.set_worker(worker, Liveness::Leaving);
    }
    let report = load_task.await.expect("the load ends");
    // This includes the check that no request arrived at a leaving worker more than three seconds
    // after it started to leave.
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_instances_are_replaced_under_load_without_interrupted_requests() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let cfg = load(&cluster, "rolling", 800.0, 22);
    let targets = cfg.targets.clone();
    let load_task = tokio::spawn(async move { load::run(&cfg).await });
    for index in 0..3 {
        let replacement = cluster.add_entry(1, entry_ip(1, 10 + index as u8)).await;
        let replacement = replacement.expect("the instance starts");
        let ready = || cluster.entries[replacement].is_ready();
        assert!(cluster.wait_until(APPLY_LIMIT, ready).await);
        targets.add(cluster.entries[replacement].callers);
        // The balancer stops sending before the instance closes its port.
        cluster.entries[index].terminate();
        targets.remove(cluster.entries[index].callers);
        let exit_deadline = Instant::now() + Duration::from_secs(20);
        let mut status = None;
        while status.is_none() && Instant::now() < exit_deadline {
            status = cluster.entries[index].exit_status();
            tokio::task::yield_now().await;
        }
        let status = status.unwrap_or_else(|| {
            panic!(
                "the instance did not exit: {}",
                cluster.entries[index].log()
            )
        });
        assert!(
            status.success(),
            "{status}: {}",
            cluster.entries[index].log()
        );
        let name = cluster.entries[index].name.clone();
        cluster.platform.set_entry(&name, Liveness::Gone);
    }
    let report = load_task.await.expect("the load ends");
    check_record(&cluster, &report);
    for outcome in [
        ObservedOutcome::Failed,
        ObservedOutcome::Unknown,
        ObservedOutcome::Late,
    ] {
        assert_eq!(report.count(outcome), 0, "{}", report.summary_line());
    }
    check_answered(&report, 99);
}
