//! Instances refuse jobs that would end too late to be of any use, and only those that are not stored.

use {
    crate::common::{Caller, Deployment, Job, Share, body, wait_until},
    bytes::Bytes,
    hyper::{StatusCode, header::RETRY_AFTER},
    marigoldbend_wire::callers::NO_SUCH_JOB,
    std::time::Duration,
};

/// The number of workers; each has 4 cores.
const WORKERS: usize = 4;

/// The number of urgent jobs in the burst; each needs all workers for 2.5 s.
const BURST: usize = 40;

/// How long each task of the burst runs, on two cores.
const TASK_TIME: Duration = Duration::from_secs(2);

/// The time in which instances notice the burst, or that it doesn't count.
const NOTICE_LIMIT: Duration = Duration::from_secs(6);

/// A deployment of two instances under a burst of urgent jobs.
struct Overloaded {
    deployment: Deployment,
    caller: Caller,
    job_body: Bytes,
    /// A job of the less urgent queue that the first instance has stored before the burst.
    stored: Job,
    next: usize,
}

impl Overloaded {
    async fn start() -> Self {
        let mut deployment = Deployment::start(WORKERS).await;
        deployment.scheduler_settings = "admission = true\n".to_owned();
        deployment
            .start_instances(&[("a1", Share::Unlimited), ("a2", Share::Unlimited)])
            .await;
        deployment.wait_for_leader().await;
        let caller = deployment.caller();
        // The speed of tasks is known once some have finished.
        let short = body(Duration::from_millis(100), 1_000);
        let first = [Job::new(0), Job::new(2)];
        for job in first {
            assert!(caller.submit(0, 2, job, &short).await);
        }
        let open = caller.wait_for_completion(&first, NOTICE_LIMIT).await;
        assert!(open.is_empty());
        let job_body = body(TASK_TIME, 2_000);
        let stored = Job::new(1);
        assert!(caller.submit(0, 1, stored, &job_body).await);
        for i in 0..BURST {
            assert!(caller.submit(i, 2, Job::new(4 + 2 * i), &job_body).await);
        }
        Self {
            deployment,
            caller,
            job_body,
            stored,
            next: 0,
        }
    }

    /// Submits a new job of the less urgent queue through an instance; returns it and the status.
    async fn submit_new(&mut self, target: usize) -> (Job, StatusCode) {
        self.next += 1;
        let job = Job::new(2 * (BURST + self.next) + 5);
        assert_eq!(job.queue, 1);
        let reply = self.caller.submit_once(target, job, &self.job_body).await;
        (job, reply.expect("a response").status)
    }

    /// Submits new jobs through an instance until one is answered with `status`, and returns it.
    async fn submit_until(&mut self, target: usize, status: StatusCode) -> Job {
        let mut found = None;
        let is_found = wait_until(NOTICE_LIMIT, async || {
            let (job, answered) = self.submit_new(target).await;
            found = (answered == status).then_some(job);
            found.is_some()
        });
        assert!(is_found.await, "no job is answered {status}");
        found.expect("a job")
    }

    /// Waits until the log of an instance, which is written with a delay, contains a text.
    async fn wait_for_log(&self, instance: usize, text: &str) {
        let instance = &self.deployment.instances[instance];
        let is_there = wait_until(NOTICE_LIMIT, async || instance.log().contains(text));
        assert!(is_there.await, "not in the log: {text}");
    }
}

/// Guards against a refusal of a job that is stored, and against a refused job that runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_jobs_that_are_not_stored_are_refused() {
    let mut overloaded = Overloaded::start().await;
    for target in 0..2 {
        let refused = overloaded
            .submit_until(target, StatusCode::SERVICE_UNAVAILABLE)
            .await;
        for other in 0..2 {
            let reply = overloaded.caller.state_reply(other, refused).await;
            assert_eq!(reply.map(|r| r.status), Some(NO_SUCH_JOB));
        }
        // The same caller tries again at the other instance.
        let caller = &overloaded.caller;
        let reply = caller.submit_once(target + 1, refused, &overloaded.job_body);
        let reply = reply.await.expect("a response");
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = reply.headers.get(RETRY_AFTER).expect("a time for a retry");
        let retry_after_s: u64 = retry_after.to_str().unwrap_or("").parse().expect("seconds");
        assert!(retry_after_s >= 1);
        let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_eq!(body["retry_after_ms"], retry_after_s * 1_000);
        // The second instance has not seen the stored job before.
        let reply = caller.submit_once(target, overloaded.stored, &overloaded.job_body);
        assert_eq!(reply.await.map(|r| r.status), Some(StatusCode::OK));
        let record = &overloaded.deployment.workers.record;
        assert!(!record.begun_jobs().contains(&refused.id));
    }
    for result in ["refused", "stored"] {
        let text = format!("would end too late: result={result} kind=short priority=2");
        overloaded.wait_for_log(1, &text).await;
    }
}

/// Guards against a refusal while a write of another instance may still take effect: the caller of a
/// job under the same identifier may have had no answer there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_job_is_refused_while_an_instance_does_not_reach_the_store() {
    let mut overloaded = Overloaded::start().await;
    let leader = overloaded.deployment.wait_for_leader().await;
    overloaded
        .submit_until(leader, StatusCode::SERVICE_UNAVAILABLE)
        .await;
    let other = &overloaded.deployment.instances[1 - leader];
    other.set_store_outage(Some(stand_ins::rows::Outage::Silent));
    overloaded.submit_until(leader, StatusCode::OK).await;
    overloaded
        .wait_for_log(leader, "would end too late: result=unknown")
        .await;
}
