//! Operators race, workers leave, instances stop and are replaced.

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

/// The time in which an accepted configuration must be in force.
const IN_FORCE: Duration = Duration::from_secs(3);

async fn current(cluster: &Cluster, at: usize) -> (Version, Config) {
    let (version, config) = cluster.entries[at]
        .operator()
        .config()
        .await
        .expect("it answers");
    (version, config.expect("one is in force"))
}

/// Waits until all instances at these places have at least this version in force.
async fn in_force(cluster: &Cluster, places: &[usize], version: Version) -> bool {
    cluster
        .wait_until(IN_FORCE, || async {
            for &at in places {
                let config = cluster.entries[at].operator().config().await;
                if !config.is_ok_and(|(known, _)| known >= version) {
                    return false;
                }
            }
            true
        })
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_racing_operators_one_wins() {
    let cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults {
        lose_replies_percent: 30,
        ..Faults::default()
    });
    let all: Vec<usize> = (0..cluster.entries.len()).collect();
    for round in 0..4u32 {
        let (version, config) = current(&cluster, 0).await;
        assert!(in_force(&cluster, &all, version).await);
        let mut puts = JoinSet::new();
        for (at, entry) in cluster.entries.iter().enumerate() {
            let operator = entry.operator();
            let mut config = config.clone();
            config.weights.tail_latency = round * 10 + at as u32;
            puts.spawn(async move { operator.put_config(version, &config).await });
        }
        let results = puts.join_all().await;
        let won = results.iter().filter(|r| r.is_ok()).count();
        let lost = results
            .iter()
            .filter(|r| r.as_ref().is_err_and(|e| e.is_version_conflict()));
        assert_eq!((won, lost.count()), (1, all.len() - 1), "{results:?}");
        let next = Version(version.0 + 1);
        assert!(in_force(&cluster, &all, next).await, "not in force in time");
        let weights = current(&cluster, 0).await.1.weights;
        for &at in &all {
            assert_eq!(current(&cluster, at).await.1.weights, weights);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_configuration_reaches_a_domain_without_the_platform_and_one_that_was_cut_off() {
    let mut cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let (version, mut config) = current(&cluster, 0).await;
    // Domain 1 can't reach the platform, but its peers in domain 2 can.
    cluster.cut_from_platform(1, true);
    config.weights.evictions = 11;
    let put = cluster.entries[3]
        .operator()
        .put_config(version, &config)
        .await;
    let version = put.expect("it is accepted");
    let all: Vec<usize> = (0..cluster.entries.len()).collect();
    assert!(
        in_force(&cluster, &all, version).await,
        "not in force through peers"
    );
    // Domain 1 is cut off altogether, then heals.
    cluster.cut_from_domains(1, true);
    config.weights.evictions = 12;
    let put = cluster.entries[3]
        .operator()
        .put_config(version, &config)
        .await;
    let version = put.expect("it is accepted");
    assert!(in_force(&cluster, &[3, 4, 5], version).await);
    assert_eq!(
        current(&cluster, 0).await.0.0 + 1,
        version.0,
        "it came through a cut"
    );
    cluster.cut_from_domains(1, false);
    cluster.cut_from_platform(1, false);
    assert!(
        in_force(&cluster, &all, version).await,
        "not in force after healing"
    );
    // A restarted instance does not go back, although it asks during an outage.
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.entries[1].kill();
    let at = cluster.restart(1).await.expect("it starts");
    assert!(
        in_force(&cluster, &[at], version).await,
        "the restarted instance does not know it"
    );
    assert_eq!(current(&cluster, at).await.1.weights.evictions, 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_worker_receives_nothing_new() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    // One instance alone can read the list; the others learn it from that one.
    let ips = [entry_ip(1, 2), entry_ip(1, 3)];
    cluster.platform.set_faults(Faults {
        cut: ips.to_vec(),
        ..Faults::default()
    });
    let cfg = load(&cluster, "leaving", 1_000.0, 8);
    let load = tokio::spawn(async move { load::run(&cfg).await });
    let start = Instant::now();
    sleep_until_offset(start, 1_500).await;
    for worker in [2, 5] {
        cluster.workers.get(worker).expect("it exists").leave();
        cluster.platform.set_worker(worker, Liveness::Leaving);
    }
    let report = load.await.expect("the load ends");
    // The record marks requests that came later than three seconds.
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_instances_are_replaced_under_load_and_nothing_is_cut_off() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let cfg = load(&cluster, "rolling", 800.0, 22);
    let targets = cfg.targets.clone();
    let load = tokio::spawn(async move { load::run(&cfg).await });
    for at in 0..3 {
        let replacement = cluster.add_entry(1, entry_ip(1, 10 + at as u8)).await;
        let replacement = replacement.expect("it starts");
        let ready = || cluster.entries[replacement].is_ready();
        assert!(cluster.wait_until(IN_FORCE, ready).await);
        targets.add(cluster.entries[replacement].callers);
        // The balancer stops sending before the instance closes its port.
        cluster.entries[at].terminate();
        targets.remove(cluster.entries[at].callers);
        let end = Instant::now() + Duration::from_secs(20);
        let mut status = None;
        while status.is_none() && Instant::now() < end {
            status = cluster.entries[at].exit_status();
            tokio::task::yield_now().await;
        }
        let status =
            status.unwrap_or_else(|| panic!("it did not end: {}", cluster.entries[at].log()));
        assert!(status.success(), "{status}: {}", cluster.entries[at].log());
        let name = cluster.entries[at].name.clone();
        cluster.platform.set_entry(&name, Liveness::Gone);
    }
    let report = load.await.expect("the load ends");
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
