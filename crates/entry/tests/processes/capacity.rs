//! No worker is given more than it holds, and every domain goes on serving, while instances die
//! or freeze and domains are cut off.

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

/// The slots of one domain.
const DOMAIN_SLOTS: u64 = 6 * 8;

/// The time in which a lost owner's capacity must be usable again after its end is proven.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);

/// Offered load of about four fifths of one domain's capacity.
const HEAVY: f64 = 1_900.0;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_owner_is_killed_and_its_capacity_comes_back() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let cfg = load(&cluster, "killed", HEAVY, 13);
    let report = tokio::spawn(async move { load::run(&cfg).await });
    let start = Instant::now();
    sleep_until_offset(start, 1_000).await;
    let name = cluster.entries[0].name.clone();
    cluster.entries[0].kill();
    let left = cluster.usable_slots(1).await;
    println!("usable at once: {left} of {DOMAIN_SLOTS}");
    assert!(
        left * 3 >= DOMAIN_SLOTS * 2,
        "{left} of {DOMAIN_SLOTS} slots are usable"
    );
    cluster.platform.set_entry(&name, Liveness::Gone);
    let proven = Instant::now();
    let back = cluster
        .wait_until(TAKEOVER_LIMIT, || async {
            cluster.usable_slots(1).await == DOMAIN_SLOTS
        })
        .await;
    println!("all usable after {:?}", proven.elapsed());
    assert!(back, "{} slots are usable", cluster.usable_slots(1).await);
    let report = report.await.expect("the load ends");
    check_record(&cluster, &report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_owner_is_taken_over_and_resumes_under_load() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "frozen", HEAVY, 18);
    let (report, ()) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        cluster.entries[0].freeze();
        // Longer than the silence, the confirmation and the longest request together.
        sleep_until_offset(start, 12_000).await;
        let row = cluster.platform.row("ownership/1").value.to_string();
        assert!(row.contains("split"), "nobody took over: {row}");
        cluster.entries[0].resume();
        sleep_until_offset(start, 16_000).await;
    });
    check_record(&cluster, &report);
    let all = || async { cluster.usable_slots(1).await == DOMAIN_SLOTS };
    assert!(
        cluster.wait_until(TAKEOVER_LIMIT, all).await,
        "capacity did not come back"
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
async fn a_domain_cut_from_the_platform_and_the_others_goes_on() {
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
async fn an_owner_dies_during_an_outage_and_the_others_fall_back() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "both", HEAVY, 14);
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
    // Two thirds of the workers, of each the share that needs no confirmation.
    let usable = cluster.usable_slots(1).await;
    println!("usable during the outage: {usable} of {DOMAIN_SLOTS}");
    assert!(
        usable >= DOMAIN_SLOTS * 2 / 3 * 3 / 4,
        "{usable} slots are usable"
    );
    cluster.platform.set_entry(&name, Liveness::Gone);
    cluster.platform.set_faults(Faults::default());
    let all = || async { cluster.usable_slots(1).await == DOMAIN_SLOTS };
    assert!(
        cluster.wait_until(TAKEOVER_LIMIT, all).await,
        "capacity did not come back"
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
    let at = cluster.restart(1).await.expect("the instance starts");
    let ready = || cluster.entries[at].is_ready();
    let limit = Duration::from_secs(5);
    assert!(
        cluster.wait_until(limit, ready).await,
        "it does not become ready"
    );
    let mut cfg = load(&cluster, "restarted", 200.0, 3);
    cfg.targets = Targets::even([cluster.entries[at].callers]);
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    check_answered(&report, 99);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_instance_cut_from_its_peers_keeps_a_share() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "lonely", HEAVY, 16);
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
    println!("usable while one is cut off: {usable} of {DOMAIN_SLOTS}");
    assert_eq!(usable, DOMAIN_SLOTS, "the shares of both sides together");
    check_record(&cluster, &report);
}
