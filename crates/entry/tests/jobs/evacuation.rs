//! Nothing starts in an evacuated failure domain, whoever asked for it and whoever leads.

use {
    crate::common::{Caller, Deployment, Job, Share, body, wait_until},
    marigoldbend::operator::client::OperatorClient,
    serde_json::Value,
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The instances of these tests.
const INSTANCES: [(&str, Share); 3] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
];

/// The number of workers; every other one is in the evacuated domain.
const WORKERS: usize = 8;

/// The evacuated domain.
const DOMAIN: &str = "z1";

/// The time within which an evacuation binds and jobs are completed, with a margin for a busy machine.
const LIMIT: Duration = Duration::from_secs(20);

/// Who asks for the evacuation.
#[derive(Clone, Copy, Debug)]
enum By {
    Platform,
    OperatorInterface,
}

struct Evacuated {
    deployment: Deployment,
    caller: Caller,
    next: u64,
}

impl Evacuated {
    async fn start() -> Self {
        let mut deployment = Deployment::start(WORKERS).await;
        deployment.scheduler_settings = "evacuation_max_age_ms = 5000\n".to_owned();
        deployment.start_instances(&INSTANCES).await;
        deployment.wait_for_leader().await;
        let caller = deployment.caller();
        Self {
            deployment,
            caller,
            next: 0,
        }
    }

    fn operator(&self, instance: usize) -> OperatorClient {
        OperatorClient::new(self.deployment.instances[instance].operators)
    }

    async fn set(&self, by: By, is_evacuated: bool) {
        match by {
            By::Platform => self.deployment.set_evacuated(DOMAIN, is_evacuated),
            By::OperatorInterface => {
                let reply = self.operator(1).set_evacuated(DOMAIN, is_evacuated).await;
                reply.expect("the request is stored");
            }
        }
        let listed = |list: &Value| {
            let list = list["evacuations"].as_array();
            list.is_some_and(|l| l.iter().any(|e| e["domain"] == DOMAIN))
        };
        let is_in_force = wait_until(LIMIT, async || {
            let list = self.operator(2).evacuations().await;
            list.is_ok_and(|list| listed(&list) == is_evacuated)
        });
        assert!(is_in_force.await, "not in force: {by:?} {is_evacuated}");
    }

    /// Submits jobs at an instance and waits until they are completed.
    async fn run_jobs(&mut self, instance: usize) {
        let jobs: Vec<Job> = (self.next..self.next + 6)
            .map(|i| Job::new(i as usize))
            .collect();
        self.next += 6;
        let job_body = body(Duration::from_millis(50), 1_000);
        for job in &jobs {
            assert!(
                self.caller.submit(instance, 3, *job, &job_body).await,
                "{job:?}"
            );
        }
        let open = self.caller.wait_for_completion(&jobs, LIMIT).await;
        assert!(open.is_empty(), "not completed: {open:?}");
        self.deployment.check_done_once(&jobs);
    }

    /// Returns the runs in the domain that started after a time.
    fn starts_since(&self, since: Instant) -> usize {
        let runs = self.deployment.workers.record.runs();
        let is_in_domain = |worker: &str| {
            let index = worker.trim_start_matches('w').parse::<usize>();
            index.is_ok_and(|i| i % 2 == 0)
        };
        let runs = runs.iter().filter(|r| r.start >= since);
        runs.filter(|r| is_in_domain(&r.worker)).count()
    }
}

/// Guards against an evacuation that only the leader of the moment knows.
#[test_case(By::Platform; "by the platform")]
#[test_case(By::OperatorInterface; "by the operator interface")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_starts_in_the_domain_also_under_the_next_leader(by: By) {
    let mut fleet = Evacuated::start().await;
    fleet.set(by, true).await;
    let since = Instant::now();
    fleet.run_jobs(0).await;
    let leader = fleet.deployment.wait_for_leader().await;
    fleet.deployment.instances[leader].kill();
    fleet.run_jobs((leader + 1) % INSTANCES.len()).await;
    assert_eq!(fleet.starts_since(since), 0, "tasks started in {DOMAIN}");
}

/// Guards against an evacuation that can't be taken back, and against one that ends with another's.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_start_again_once_every_request_is_taken_back() {
    let mut fleet = Evacuated::start().await;
    fleet.set(By::Platform, true).await;
    let operator = fleet.operator(0);
    for _ in 0..2 {
        let reply = operator.set_evacuated(DOMAIN, true).await;
        assert_eq!(
            reply.expect("a repetition is accepted")["binds_within_ms"],
            5_000
        );
    }
    fleet.deployment.set_evacuated(DOMAIN, false);
    let since = Instant::now();
    fleet.run_jobs(0).await;
    assert_eq!(
        fleet.starts_since(since),
        0,
        "the operator's request still holds"
    );
    fleet.set(By::OperatorInterface, false).await;
    let since = Instant::now();
    fleet.run_jobs(0).await;
    assert!(fleet.starts_since(since) > 0, "nothing starts in {DOMAIN}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unknown_domain_is_refused_with_its_name() {
    let fleet = Evacuated::start().await;
    let refused = fleet.operator(0).set_evacuated("z9", true).await;
    let problem = refused.expect_err("there is no such domain").to_string();
    assert!(
        problem.contains("404") && problem.contains("z9"),
        "{problem}"
    );
}
