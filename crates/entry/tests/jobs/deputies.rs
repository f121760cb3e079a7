//! Leases that deputies renew while no instance leads, and an instance that is cut off.

use {
    crate::common::{Deployment, Job, Share, wait_until},
    marigoldbend::core::sched::job::{Resources, Step},
    marigoldbend_wire::stand_in as wire,
    stand_ins::rows::Outage,
    std::time::{Duration, Instant},
    test_case::test_case,
    tokio::time::sleep_until,
};

const INSTANCES: [(&str, Share); 5] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
    ("a4", Share::Unlimited),
    ("a5", Share::Unlimited),
];

const MAX_LEASE: Duration = Duration::from_secs(10);

/// The maximum time for a step that is no part of the claim.
const SETUP_LIMIT: Duration = Duration::from_secs(20);

/// Longer than a lease of 4 s, and shorter than a loan.
const OUTAGE_TIME: Duration = Duration::from_millis(5_500);

/// The time after the outage within which a successor has renewed the leases, or each has expired that
/// nobody has renewed.
const SETTLING_TIME: Duration = Duration::from_secs(6);

const TASKS: u32 = 20;

/// Returns a job of long-running tasks.
fn long_job() -> (Job, bytes::Bytes) {
    let step = Step {
        count: TASKS,
        request: Resources {
            cpu: 500,
            mem_mb: 100,
            gpu: 0,
        },
        long_running: true,
        ..Step::default()
    };
    let job = Job {
        task_count: TASKS as usize,
        ..Job::new(1)
    };
    (job, wire::write_job("3600000", &[step]))
}

/// Guards against submissions that are tried until their deadline by an instance that is cut off from the
/// store and from the others.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_is_cut_off_refuses_submissions_at_once() {
    let mut deployment = Deployment::start_with_leases(2, MAX_LEASE, false).await;
    deployment.start_instances(&INSTANCES).await;
    deployment.wait_for_leader().await;
    let (job, body) = long_job();
    assert!(deployment.caller().submit(0, 3, job, &body).await);
    deployment.set_store_outage(Some(Outage::Reset));
    for instance in &mut deployment.instances[1..] {
        instance.kill();
    }
    let mut number = 1;
    let is_refused = wait_until(SETUP_LIMIT, async || {
        number += 1;
        let job = Job {
            task_count: TASKS as usize,
            ..Job::new(number)
        };
        let is_stored = deployment.caller().submit(0, 1, job, &body).await;
        assert!(!is_stored, "{job:?}");
        let log = deployment.instances[0].log();
        log.contains("is refused, this instance is cut off")
    });
    assert!(is_refused.await, "no submission is refused at once");
}

/// Guards against runs that end with their leases although instances stand beside the workers: the leader
/// is lost during an outage of the store, in which nobody can succeed it.
#[test_case(true; "with deputies")]
#[test_case(false; "without deputies")]
#[tokio::test(flavor = "multi_thread")]
async fn leases_outlast_a_leader_that_is_lost_in_an_outage(delegated_renewal: bool) {
    let mut deployment = Deployment::start_with_leases(10, MAX_LEASE, delegated_renewal).await;
    deployment.start_instances(&INSTANCES).await;
    let leader = deployment.wait_for_leader().await;
    let (job, body) = long_job();
    assert!(deployment.caller().submit(leader, 3, job, &body).await);
    let record = deployment.workers.record.clone();
    let are_running = wait_until(SETUP_LIMIT, async || record.runs().len() >= TASKS as usize);
    assert!(are_running.await, "the tasks do not start");
    // Each failure domain must have a deputy.
    let lends = async || {
        let log = deployment.instances[leader].log();
        let has_deputy = |domain: &str| log.contains(&format!("failure_domain={domain} loan="));
        has_deputy("z1") && has_deputy("z2")
    };
    let is_lent = !delegated_renewal || wait_until(SETUP_LIMIT, lends).await;
    assert!(is_lent, "nothing is lent");
    let start = Instant::now();
    deployment.set_store_outage(Some(Outage::Reset));
    deployment.instances[leader].kill();
    sleep_until((start + OUTAGE_TIME).into()).await;
    deployment.set_store_outage(None);
    sleep_until((start + OUTAGE_TIME + SETTLING_TIME).into()).await;
    let lapsed = record.lapsed().len();
    assert_eq!(lapsed == 0, delegated_renewal, "{lapsed} runs lapsed");
    assert_eq!(record.violations(), Vec::<String>::new());
}
