//! A task never runs on two workers at once, resumes once after each interruption, and is never
//! lost.
//!
//! The *home* of a job is the entry instance that coordinates it.

use {
    crate::common::config,
    marigoldbend::platform::wire::Liveness,
    serde_json::{Value, json},
    stand_ins::{cluster::Cluster, load, platform::Faults, workers::WorkerFaults},
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The maximum time until an interrupted job is finished. It covers the silence timeout, the lease,
/// the takeover delay and the run time of the tasks.
const LIMIT: Duration = Duration::from_secs(40);

/// The maximum time until urgent tasks of 200 ms have finished; they must start within 2.9 s.
const URGENT_LIMIT: Duration = Duration::from_millis(2_900 + 200);

/// Returns the specification of a job with `tasks` tasks that run for `run_ms` milliseconds each.
fn job(tasks: u32, run_ms: u64) -> Value {
    json!({ "team": "reviews", "class": "load-review", "tasks": tasks, "run_ms": run_ms })
}

/// Checks in the workers' record that exactly `finished` tasks finished, that no task ran twice at
/// once or finished twice, and that no worker exceeded its slots.
fn check_tasks(cluster: &Cluster, finished: usize) {
    let summary = cluster.workers.record.summary();
    assert_eq!(summary.overlaps, Vec::<String>::new());
    assert_eq!(summary.finished_twice, Vec::<String>::new());
    assert_eq!(summary.finished, finished);
    for (worker_id, worker) in &summary.workers {
        assert!(worker.peak_slots <= 8, "worker {worker_id}: {worker:?}");
    }
}

/// Returns a worker that has started tasks.
fn worker_with_tasks(cluster: &Cluster) -> u32 {
    let workers = cluster.workers.record.summary().workers;
    let mut with_tasks = workers.iter().filter(|(_, w)| w.tasks > 0);
    *with_tasks.next().expect("a worker has started tasks").0
}

/// Waits until at least `tasks` tasks run at once; returns whether they do before [`LIMIT`].
async fn wait_for_running(cluster: &Cluster, tasks: u32) -> bool {
    let record = &cluster.workers.record;
    cluster
        .wait_until(LIMIT, || async { record.tasks_running() >= tasks })
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_finishes_after_its_home_is_killed() {
    let mut cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster
        .submit(0, &job(6, 4_000))
        .await
        .expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    let name = cluster.entries[0].name.clone();
    cluster.entries[0].kill();
    cluster.platform.set_entry(&name, Liveness::Gone);
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 6);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_finishes_after_its_home_is_frozen_until_its_leases_expire() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster
        .submit(0, &job(6, 8_000))
        .await
        .expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    cluster.entries[0].freeze();
    let record = &cluster.workers.record;
    let expired = || async { record.tasks_running() == 0 };
    assert!(
        cluster.wait_until(LIMIT, expired).await,
        "the leases did not expire"
    );
    cluster.entries[0].resume();
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 6);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_home_does_not_repeat_finished_tasks_when_it_resumes() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster.submit(0, &job(6, 2_000)).await;
    let id = id.expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    let frozen_at = Instant::now();
    cluster.entries[0].freeze();
    // This is longer than the time after which the home treats a silent worker as unresponsive.
    load::sleep_until_offset(frozen_at, 12_000).await;
    cluster.entries[0].resume();
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 6);
}

#[test_case(30, 0; "lost replies")]
#[test_case(0, 200; "slow")]
#[test_case(30, 100; "lost replies and slow")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_jobs_finish_despite_platform_faults(lose_replies_percent: u32, delay_ms: u64) {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults {
        lose_replies_percent,
        delay_ms,
        ..Faults::default()
    });
    let mut accepted = Vec::new();
    for n in 0..6 {
        if let Ok(id) = cluster.submit(n % 3, &job(4, 300)).await {
            accepted.push(id);
        }
    }
    assert!(!accepted.is_empty());
    for id in &accepted {
        assert!(
            cluster.wait_for_job(1, id, "done", LIMIT).await,
            "{}",
            cluster.job(1, id).await
        );
    }
    cluster.platform.set_faults(Faults::default());
    // A submission whose outcome was unknown may have been accepted as well.
    let jobs = cluster.platform.rows("jobs/").len();
    assert!(jobs >= accepted.len());
    let all_finished = || async { cluster.workers.record.summary().finished == jobs * 4 };
    assert!(
        cluster.wait_until(LIMIT, all_finished).await,
        "{} jobs",
        jobs
    );
    check_tasks(&cluster, jobs * 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn running_tasks_continue_during_a_platform_outage() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster
        .submit(0, &job(12, 3_000))
        .await
        .expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    cluster.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // A submission needs a durable write, so it is refused as not run.
    let refused = cluster
        .submit(1, &job(1, 100))
        .await
        .expect_err("the job is refused");
    assert!(refused.to_string().contains("503"), "{refused}");
    let record = &cluster.workers.record;
    let all_ended = || async { record.tasks_running() == 0 };
    assert!(
        cluster.wait_until(LIMIT, all_ended).await,
        "the running tasks did not end"
    );
    cluster.platform.set_faults(Faults::default());
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_finishes_after_one_of_its_workers_is_killed() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster
        .submit(0, &job(6, 3_000))
        .await
        .expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    let worker = worker_with_tasks(&cluster);
    cluster
        .workers
        .get(worker)
        .expect("the worker exists")
        .kill();
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 6);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_evicted_from_a_leaving_worker_keep_their_progress() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let id = cluster
        .submit(0, &job(6, 4_000))
        .await
        .expect("the job is accepted");
    assert!(wait_for_running(&cluster, 6).await);
    let worker = worker_with_tasks(&cluster);
    cluster.platform.set_worker(worker, Liveness::Leaving);
    assert!(
        cluster.wait_for_job(1, &id, "done", LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    check_tasks(&cluster, 6);
    let tasks = cluster.job(1, &id).await["tasks"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let evicted: Vec<_> = tasks.iter().filter(|t| t["evictions"] == 1).collect();
    assert!(!evicted.is_empty());
    assert!(
        evicted
            .iter()
            .all(|t| t["attempt"] == 2 && t["progress_ms"].as_u64() > Some(0))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancellations_through_any_instance_stop_all_tasks() {
    let cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let mut ids = Vec::new();
    for n in 0..24 {
        let id = cluster.submit(n % 3, &job(2, 60_000)).await;
        ids.push(id.expect("the job is accepted"));
    }
    assert!(wait_for_running(&cluster, 12).await);
    for (n, id) in ids.iter().enumerate() {
        // Through instances of both domains; every third job is cancelled twice.
        let status = cluster
            .cancel(n % 6, id)
            .await
            .expect("the cancellation is answered");
        assert!(status == 202 || status == 200, "{status}");
        if n % 3 == 0 {
            cluster
                .cancel((n + 3) % 6, id)
                .await
                .expect("the cancellation is answered");
        }
    }
    for id in &ids {
        assert!(
            cluster.wait_for_job(1, id, "cancelled", LIMIT).await,
            "{}",
            cluster.job(1, id).await
        );
    }
    assert_eq!(cluster.workers.record.tasks_running(), 0);
    check_tasks(&cluster, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_worker_that_fails_every_task_does_not_attract_more_tasks() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    cluster
        .workers
        .get(1)
        .expect("the worker exists")
        .set_faults(WorkerFaults {
            fail_tasks: true,
            ..WorkerFaults::default()
        });
    let mut ids = Vec::new();
    for entry in 0..3 {
        ids.push(
            cluster
                .submit(entry, &job(10, 500))
                .await
                .expect("the job is accepted"),
        );
    }
    for id in &ids {
        assert!(
            cluster.wait_for_job(1, id, "done", LIMIT).await,
            "{}",
            cluster.job(1, id).await
        );
    }
    check_tasks(&cluster, 30);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_that_fail_on_every_worker_are_parked_with_a_reason() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    for worker in &cluster.workers.handles {
        worker.set_faults(WorkerFaults {
            fail_tasks: true,
            ..WorkerFaults::default()
        });
    }
    let id = cluster
        .submit(0, &job(1, 500))
        .await
        .expect("the job is accepted");
    assert!(
        cluster.wait_for_job(0, &id, "parked", LIMIT).await,
        "{}",
        cluster.job(0, &id).await
    );
    let reason = cluster.job(0, &id).await["tasks"][0]["reason"].clone();
    assert!(
        reason.as_str().is_some_and(|r| r.contains("failed")),
        "{reason}"
    );
    check_tasks(&cluster, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn urgent_tasks_start_in_time_when_their_class_uses_its_whole_share() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    for entry in 0..3 {
        let id = cluster.submit(entry, &job(20, 120_000)).await;
        id.expect("the job is accepted");
    }
    // The class may use four slots on each of the six workers.
    assert!(wait_for_running(&cluster, 24).await);
    let mut urgent = job(4, 200);
    urgent["urgent"] = json!(true);
    let submitted = Instant::now();
    let id = cluster
        .submit(1, &urgent)
        .await
        .expect("the job is accepted");
    assert!(
        cluster.wait_for_job(1, &id, "done", URGENT_LIMIT).await,
        "{}",
        cluster.job(1, &id).await
    );
    println!(
        "urgent tasks of 200 ms finished {:?} after their submission",
        submitted.elapsed()
    );
    check_tasks(&cluster, 4);
}
