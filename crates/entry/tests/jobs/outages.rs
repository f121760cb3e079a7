//! Outages of the store, and leaders that are lost around them: what runs goes on, and what waits is
//! soon placed again.

use {
    crate::common::{Caller, Deployment, Job, POLL_INTERVAL, Share, wait_until},
    marigoldbend::core::sched::{
        job::{Resources, Step, TaskName},
        shard::Params,
    },
    marigoldbend_wire::stand_in as wire,
    stand_ins::{
        job_record::{JobRecord, RecordedRun},
        rows::Outage,
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    test_case::test_case,
    tokio::{
        task::JoinSet,
        time::{sleep, sleep_until},
    },
};

/// The number of workers.
const WORKERS: usize = 10;

/// The instances of these tests.
const INSTANCES: [(&str, Share); 5] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
    ("a4", Share::Unlimited),
    ("a5", Share::Unlimited),
];

/// The target: the maximum time from the end of a fault until new work starts.
const PLACEMENT_LIMIT: Duration = Duration::from_secs(2);

/// The duration of an outage that is noticed within a second and then outlasts a lease of 4 s.
const OUTAGE_TIME: Duration = Duration::from_secs(5);

/// The same if calls are not answered: they end after 2.5 s, and the store counts as unreachable 0.9 s
/// later.
const SILENT_OUTAGE_TIME: Duration = Duration::from_secs(8);

/// The maximum time for a step that is no part of the claim, such as the start of the first tasks.
const SETUP_LIMIT: Duration = Duration::from_secs(10);

/// The number of long jobs.
const LONG_JOBS: usize = 10;

/// The number of tasks of a long job.
const LONG_JOB_TASKS: u32 = 3;

/// The number of jobs that are handed in after a fault.
const NEW_JOBS: usize = 10;

/// How long the task of a new job runs.
const NEW_TASK_TIME: Duration = Duration::from_millis(100);

/// Returns a job with this number of tasks, each of which runs for `time`.
fn job(number: usize, tasks: u32, time: Duration) -> (Job, bytes::Bytes) {
    let step = Step {
        count: tasks,
        request: Resources {
            cpu: 500,
            mem_mb: 100,
            gpu: 0,
        },
        estimate_ms: time.as_millis() as u32,
        ..Step::default()
    };
    let job = Job {
        task_count: tasks as usize,
        ..Job::new(number)
    };
    (job, wire::write_job(&time.as_millis().to_string(), &[step]))
}

/// A deployment with long tasks at work.
struct Busy {
    deployment: Deployment,
    long_jobs: Vec<Job>,
    /// The attempts of the long tasks.
    long_runs: BTreeSet<Attempt>,
}

/// An attempt: its task, number and worker.
type Attempt = (TaskName, u32, String);

fn attempt(run: &RecordedRun) -> Attempt {
    (run.task, run.attempt, run.worker.clone())
}

impl Busy {
    /// Starts all instances, and tasks that last for `time`; returns once all tasks run and each
    /// instance hears the leader.
    async fn start(time: Duration) -> Self {
        let mut deployment = Deployment::start(WORKERS).await;
        deployment.start_instances(&INSTANCES).await;
        deployment.wait_for_leader().await;
        let caller = deployment.caller();
        for target in 0..INSTANCES.len() {
            let hears_leader = wait_until(SETUP_LIMIT, async || {
                caller.pending(target, 0).await.is_some()
            });
            assert!(hears_leader.await, "instance {target} hears no leader");
        }
        let mut long_jobs = Vec::new();
        for number in 0..LONG_JOBS {
            let (job, body) = job(number, LONG_JOB_TASKS, time);
            assert!(caller.submit(number, 3, job, &body).await, "{job:?}");
            long_jobs.push(job);
        }
        let record = &deployment.workers.record;
        let tasks = LONG_JOBS * LONG_JOB_TASKS as usize;
        let are_running = wait_until(SETUP_LIMIT, async || record.runs().len() >= tasks);
        assert!(are_running.await, "the long tasks do not start");
        let long_runs = record.runs().iter().map(attempt).collect();
        Self {
            deployment,
            long_jobs,
            long_runs,
        }
    }

    fn record(&self) -> &JobRecord {
        &self.deployment.workers.record
    }

    /// Makes the store fail for all instances at once, and returns when it does not any more.
    async fn store_outage(&self, outage: Outage, duration: Duration) -> Instant {
        let start = Instant::now();
        self.deployment.set_store_outage(Some(outage));
        let all_notice = wait_until(duration, async || {
            for instance in &self.deployment.instances {
                if instance.is_ready().await {
                    return false;
                }
            }
            true
        });
        assert!(all_notice.await, "an instance is ready without the store");
        sleep_until((start + duration).into()).await;
        self.deployment.set_store_outage(None);
        Instant::now()
    }

    /// Returns how the long tasks have not gone on undisturbed: an attempt lapsed, or was not the
    /// only one of its task, or does not end as done.
    async fn long_task_problems(&self) -> Vec<String> {
        let caller = self.deployment.caller();
        let open = caller.wait_for_completion(&self.long_jobs, SETUP_LIMIT);
        let open = open.await;
        let record = self.record();
        let mut runs = record.runs();
        runs.retain(|run| self.long_jobs.iter().any(|job| job.id == run.task.job));
        let attempts: BTreeSet<Attempt> = runs.iter().map(attempt).collect();
        let restarted = attempts.difference(&self.long_runs).count();
        let lapsed = record.lapsed().len();
        let mut problems = record.violations();
        for (count, problem) in [
            (lapsed, "runs lapsed"),
            (restarted, "long tasks were started again"),
            (open.len(), "long jobs are not completed"),
        ] {
            if count > 0 {
                problems.push(format!("{count} {problem}"));
            }
        }
        problems
    }

    /// Hands new jobs in through all instances, each until it is accepted, and returns how long
    /// after `since` each of them was late in starting.
    async fn new_job_problems(&self, since: Instant) -> Vec<String> {
        let caller = self.deployment.caller();
        let mut submissions = JoinSet::new();
        for number in 0..NEW_JOBS {
            submissions.spawn(submit_until_accepted(caller.clone(), LONG_JOBS + number));
        }
        let jobs = submissions.join_all().await;
        let record = self.record();
        let have_begun = wait_until(SETUP_LIMIT, async || {
            let begun = record.begun_jobs();
            jobs.iter().all(|job| begun.contains(&job.id))
        });
        have_begun.await;
        let runs = record.runs();
        let started = jobs.iter().map(|job| {
            let mut runs = runs.iter().filter(|run| run.task.job == job.id);
            runs.next().map(|run| run.start.duration_since(since))
        });
        let started: Vec<_> = started.collect();
        println!("new jobs started after {started:.1?}");
        let is_late = |at: &&Option<Duration>| at.is_none_or(|at| at > PLACEMENT_LIMIT);
        let late = started.iter().filter(is_late);
        late.map(|at| format!("a new job started after {at:.1?}"))
            .collect()
    }

    /// Checks that the long tasks are undisturbed, and that new work starts in time after `since`.
    async fn check(&self, since: Instant) {
        let mut problems = self.new_job_problems(since).await;
        problems.extend(self.long_task_problems().await);
        for instance in &self.deployment.instances {
            println!("{} takeovers {:?}", instance.name, instance.takeovers());
        }
        assert_eq!(problems, Vec::<String>::new());
    }
}

/// Hands a new job in again and again until it is accepted.
async fn submit_until_accepted(caller: Caller, number: usize) -> Job {
    let (job, body) = job(number, 1, NEW_TASK_TIME);
    let deadline = Instant::now() + SETUP_LIMIT;
    while !caller.submit(number, 1, job, &body).await {
        assert!(Instant::now() < deadline, "{job:?} is not accepted");
        sleep(POLL_INTERVAL).await;
    }
    job
}

/// Guards against a leader that concludes from its peers' last heartbeats that it alone is rejected by
/// the store, and stops renewing leases.
#[test_case(Outage::Busy, OUTAGE_TIME; "busy")]
#[test_case(Outage::Silent, SILENT_OUTAGE_TIME; "silent")]
#[test_case(Outage::Reset, OUTAGE_TIME; "reset")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_of_the_whole_store_ends_no_long_running_task(outage: Outage, time: Duration) {
    let margin = Duration::from_secs(1);
    let busy = Busy::start(time + Params::default().lease + margin).await;
    let returned = busy.store_outage(outage, time).await;
    busy.check(returned).await;
}
