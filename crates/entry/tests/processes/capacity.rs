//! No worker runs more than its slots allow, and every domain continues to serve requests, while
//! instances are killed, frozen or cut off, and while the platform fails.

use {
    crate::common::{check_answered, check_record, config, load},
    marigoldbend::platform::wire::Liveness,
    stand_ins::{
        cluster::Cluster,
        load::{self, Targets, sleep_until_offset},
        platform::Faults,
    },
    std::time::{Duration, Instant},
    tokio::join,
};

/// The slots of one domain: six workers with eight slots each.
const DOMAIN_SLOTS: u64 = 6 * 8;

/// The maximum time until all slots are usable again, counted from the end of a fault or from when
/// the platform lists a killed owner as gone.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);

/// An offered load of about four fifths of one domain's capacity, in requests per second.
const HEAVY_RATE: f64 = 1_900.0;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_capacity_of_a_killed_owner_becomes_usable_again() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let cfg = load(&cluster, "killed", HEAVY_RATE, 13);
    let report = tokio::spawn(async move { load::run(&cfg).await });
    let start = Instant::now();
    sleep_until_offset(start, 1_000).await;
    let name = cluster.entries[0].name.clone();
    cluster.entries[0].kill();
    // The other two instances own two thirds of the workers.
    let usable = cluster.usable_slots(1).await;
    println!("usable right after the kill: {usable} of {DOMAIN_SLOTS}");
    assert!(
        usable * 3 >= DOMAIN_SLOTS * 2,
        "{usable} of {DOMAIN_SLOTS} slots are usable"
    );
    cluster.platform.set_entry(&name, Liveness::Gone);
    let gone_at = Instant::now();
    let is_recovered = cluster
        .wait_until(TAKEOVER_LIMIT, || async {
            cluster.usable_slots(1).await == DOMAIN_SLOTS
        })
        .await;
    println!("all usable after {:?}", gone_at.elapsed());
    assert!(
        is_recovered,
        "{} slots are usable",
        cluster.usable_slots(1).await
    );
    let report = report.await.expect("the load ends");
    check_record(&cluster, &report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_owner_is_taken_over_and_resumes_under_load() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "frozen", HEAVY_RATE, 18);
    let (report, ()) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        cluster.entries[0].freeze();
        // Longer than the silence timeout, a confirmation and the longest request together.
        sleep_until_offset(start, 12_000).await;
        let row = cluster.platform.row("ownership/1").value.to_string();
        assert!(
            row.contains("split"),
            "no instance took over the workers of the frozen owner: {row}"
        );
        cluster.entries[0].resume();
        sleep_until_offset(start, 16_000).await;
    });
    check_record(&cluster, &report);
    let all_usable = || async { cluster.usable_slots(1).await == DOMAIN_SLOTS };
    assert!(
        cluster.wait_until(TAKEOVER_LIMIT, all_usable).await,
        "not all slots are usable again"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_platform_outage_alone_costs_no_capacity() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "outage", 1_000.0, 8);
    let (report, usable) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        cluster.platform.set_faults(Faults {
            frozen: true,
            ..Faults::default()
        });
        sleep_until_offset(start, 7_000).await;
        cluster.usable_slots(1).await
    });
    assert_eq!(usable, DOMAIN_SLOTS);
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_cut_from_the_platform_and_other_domains_keeps_serving() {
    let cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "cut", 1_000.0, 8);
    let (report, usable) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        cluster.cut_from_platform(1, true);
        cluster.cut_from_domains(1, true);
        sleep_until_offset(start, 6_500).await;
        let usable = cluster.usable_slots(1).await;
        cluster.cut_from_platform(1, false);
        cluster.cut_from_domains(1, false);
        usable
    });
    assert_eq!(usable, DOMAIN_SLOTS);
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fallback_shares_stay_usable_when_an_owner_dies_during_an_outage() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "both", HEAVY_RATE, 14);
    let report = tokio::spawn(async move { load::run(&cfg).await });
    sleep_until_offset(start, 1_000).await;
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    sleep_until_offset(start, 3_000).await;
    let name = cluster.entries[2].name.clone();
    cluster.entries[2].kill();
    sleep_until_offset(start, 6_000).await;
    // Two instances remain, which own two thirds of the workers. Their ownership may be
    // unconfirmed, which limits them to the fallback shares: three quarters of the slots.
    let usable = cluster.usable_slots(1).await;
    println!("usable during the outage: {usable} of {DOMAIN_SLOTS}");
    assert!(
        usable >= DOMAIN_SLOTS * 2 / 3 * 3 / 4,
        "{usable} slots are usable"
    );
    cluster.platform.set_entry(&name, Liveness::Gone);
    cluster.platform.set_faults(Faults::default());
    let all_usable = || async { cluster.usable_slots(1).await == DOMAIN_SLOTS };
    assert!(
        cluster.wait_until(TAKEOVER_LIMIT, all_usable).await,
        "not all slots are usable again"
    );
    let report = report.await.expect("the load ends");
    check_record(&cluster, &report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarted_instance_serves_during_an_outage() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.entries[1].kill();
    let restarted = cluster.restart(1).await.expect("the instance starts");
    let ready = || cluster.entries[restarted].is_ready();
    let limit = Duration::from_secs(5);
    assert!(
        cluster.wait_until(limit, ready).await,
        "the restarted instance is not ready in time"
    );
    let mut cfg = load(&cluster, "restarted", 200.0, 3);
    cfg.targets = Targets::even([cluster.entries[restarted].callers]);
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_instance_keeps_a_share_of_its_workers() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "lonely", HEAVY_RATE, 16);
    let (report, usable) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        cluster.cut_instance(0, true);
        cluster.platform.set_faults(Faults {
            cut: vec![cluster.entries[0].ip],
            ..Faults::default()
        });
        sleep_until_offset(start, 12_500).await;
        let usable = cluster.usable_slots(1).await;
        cluster.cut_instance(0, false);
        cluster.platform.set_faults(Faults::default());
        usable
    });
    println!("usable while one instance is isolated: {usable} of {DOMAIN_SLOTS}");
    assert_eq!(
        usable, DOMAIN_SLOTS,
        "the shares of both sides must add up to all slots"
    );
    check_record(&cluster, &report);
}
