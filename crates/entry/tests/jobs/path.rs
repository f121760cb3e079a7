//! The complete path of jobs: submitted through several instances, stored, placed on workers and
//! completed, also while the leader is replaced.

use {
    crate::common::{Deployment, Job, QUEUES, Share, body, wait_until},
    marigoldbend::core::sched::job::JobId,
    std::time::Duration,
    test_case::test_case,
    tokio::time::sleep,
};

/// The instances of these tests.
const INSTANCES: [(&str, Share); 3] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
];

/// The resources that a task requests, in thousandths of a core; four tasks fit on a worker.
const TASK_CPU: i64 = 1_000;

/// The maximum time until all jobs are completed.
const COMPLETION_LIMIT: Duration = Duration::from_secs(20);

/// The maximum time until a configuration is in force, with a margin for a busy machine.
const CONFIG_LIMIT: Duration = Duration::from_secs(5);

/// The time in which leaders would change several times.
const LEADERSHIP_CHECK: Duration = Duration::from_secs(3);

/// The maximum age of a count of pending jobs, with a margin for a busy machine.
const PENDING_LIMIT: Duration = Duration::from_secs(3);

async fn start() -> Deployment {
    let mut deployment = Deployment::start(12).await;
    deployment.start_instances(&INSTANCES).await;
    deployment
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_two_queues_are_completed_once_and_the_rest_is_counted_as_pending() {
    let deployment = start().await;
    let caller = deployment.caller();
    let jobs: Vec<Job> = (0..40).map(Job::new).collect();
    let job_body = body(Duration::from_millis(200), TASK_CPU);
    for (i, job) in jobs.iter().enumerate() {
        assert!(caller.submit(i, 1, *job, &job_body).await, "{job:?}");
    }
    // No worker has room for a task of these jobs, of which two belong to the first queue.
    let too_large = body(Duration::from_millis(200), 100 * TASK_CPU);
    for (i, number) in [40, 41, 42].into_iter().enumerate() {
        let job = Job::new(number);
        assert!(caller.submit(i, 1, job, &too_large).await, "{job:?}");
    }
    let open = caller.wait_for_completion(&jobs, COMPLETION_LIMIT).await;
    assert!(open.is_empty(), "not completed: {open:?}");
    deployment.check_done_once(&jobs);
    let expected: [u32; QUEUES.len()] = [2, 1];
    for target in 0..INSTANCES.len() {
        for (queue, count) in expected.into_iter().enumerate() {
            let is_counted = wait_until(PENDING_LIMIT, async || {
                caller.pending(target, queue).await == Some(count)
            });
            assert!(is_counted.await, "instance {target}, queue {queue}");
        }
    }
}

/// A leader with jobs in many queues with long names sent no heartbeats, so another took over each
/// second; queues beyond the 40 that a heartbeat told of were counted as empty.
#[test_case(60, 39; "review 13")]
#[test_case(60, 9; "short names")]
#[test_case(150, 150; "longer names than a heartbeat holds")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaders_changed_and_counts_were_zero_beside_many_queue_names(queues: usize, len: usize) {
    let deployment = start().await;
    let leader = deployment.wait_for_leader().await;
    let names = (0..queues).map(|i| format!("queue-{i:0width$}", width = len - 6));
    let names: Vec<_> = names.collect();
    deployment.configure(8, &names);
    let caller = deployment.caller();
    let too_large = body(Duration::from_millis(200), 100 * TASK_CPU);
    for (i, name) in names.iter().enumerate() {
        let id = JobId(0x9a00 + i as u64);
        let is_accepted = wait_until(CONFIG_LIMIT, async || {
            let reply = caller.submit_to(i, name, id, &too_large).await;
            reply.is_some_and(|reply| reply.status.is_success())
        });
        assert!(is_accepted.await, "{name}");
    }
    sleep(LEADERSHIP_CHECK).await;
    for target in 0..INSTANCES.len() {
        let mut wrong = names.clone();
        let are_counted = wait_until(PENDING_LIMIT, async || {
            let mut still_wrong = Vec::new();
            for name in wrong.drain(..) {
                if caller.pending_of(target, &name).await != Some(1) {
                    still_wrong.push(name);
                }
            }
            wrong = still_wrong;
            wrong.is_empty()
        });
        let are_counted = are_counted.await;
        assert!(are_counted, "instance {target}: {} wrong", wrong.len());
    }
    for (index, instance) in deployment.instances.iter().enumerate() {
        let takeovers = instance.takeovers();
        let expected = usize::from(index == leader);
        assert_eq!(
            takeovers.len(),
            expected,
            "{}: {takeovers:?}",
            instance.name
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_are_completed_once_while_the_leader_is_killed() {
    let mut deployment = start().await;
    let leader = deployment.wait_for_leader().await;
    let caller = deployment.caller();
    let jobs: Vec<Job> = (0..40).map(Job::new).collect();
    let job_body = body(Duration::from_millis(900), TASK_CPU);
    for (i, job) in jobs[..20].iter().enumerate() {
        assert!(caller.submit(i, 3, *job, &job_body).await, "{job:?}");
    }
    let record = deployment.workers.record.clone();
    let are_running = wait_until(COMPLETION_LIMIT, async || record.begun_jobs().len() >= 10);
    assert!(are_running.await, "the first jobs are not begun");
    let open = record.runs().iter().filter(|r| r.end.is_none()).count();
    assert!(open > 0, "the leader was killed too late for the check");
    deployment.instances[leader].kill();
    for (i, job) in jobs[20..].iter().enumerate() {
        assert!(caller.submit(i, 3, *job, &job_body).await, "{job:?}");
    }
    let open = caller.wait_for_completion(&jobs, COMPLETION_LIMIT).await;
    assert!(open.is_empty(), "not completed: {open:?}");
    deployment.check_done_once(&jobs);
    assert_ne!(deployment.leader(), Some(leader));
    assert!(record.lapsed().is_empty(), "{:?}", record.lapsed());
}
