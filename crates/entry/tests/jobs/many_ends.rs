//! Many short tasks end on a worker while none of their ends can be acknowledged, more than a report
//! may list.

use {
    crate::common::{Deployment, Job, Share, wait_until},
    marigoldbend::core::sched::job::{Resources, Step},
    marigoldbend_wire::{stand_in, workers::MAX_LISTED_ENDS},
    stand_ins::rows::Outage,
    std::time::{Duration, Instant},
    test_case::test_case,
    tokio::time::sleep_until,
};

const INSTANCES: [(&str, Share); 3] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
];

/// The jobs, of one step each: together twice as many tasks as a report may list ends.
const JOBS: usize = 10;
const JOB_TASKS: u32 = 100;

/// The resources that a task requests, in thousandths of a core; 200 tasks fit on a worker.
const TASK_CPU: i64 = 20;

const TASK_TIME: Duration = Duration::from_millis(60);

/// The duration of the outage, which no lease outlasts that is renewed until its end.
const OUTAGE_TIME: Duration = Duration::from_secs(4);

/// The maximum time for the tasks to end, and for the jobs to be completed.
const LIMIT: Duration = Duration::from_secs(20);

/// Guards against done tasks that start again, since their ends are not among those that the only
/// worker lists.
#[test_case(false; "under the same leader")]
#[test_case(true; "under the next leader")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_task_is_done_twice_if_its_end_is_not_listed(leader_is_lost: bool) {
    let mut deployment = Deployment::start(1).await;
    deployment.start_instances(&INSTANCES).await;
    let leader = deployment.wait_for_leader().await;
    let caller = deployment.caller();
    let step = Step {
        count: JOB_TASKS,
        request: Resources {
            cpu: TASK_CPU,
            mem_mb: 1,
            gpu: 0,
        },
        estimate_ms: TASK_TIME.as_millis() as u32,
        ..Step::default()
    };
    let body = stand_in::write_job(&TASK_TIME.as_millis().to_string(), &[step]);
    let jobs = (0..JOBS).map(|number| Job {
        task_count: JOB_TASKS as usize,
        ..Job::new(number)
    });
    let jobs: Vec<Job> = jobs.collect();
    for (i, job) in jobs.iter().enumerate() {
        assert!(caller.submit(i, 1, *job, &body).await, "{job:?}");
    }
    deployment.set_store_outage(Some(Outage::Busy));
    let outage_ends = Instant::now() + OUTAGE_TIME;
    let record = deployment.workers.record.clone();
    let has_many_ends = wait_until(LIMIT, async || {
        let done: usize = record.done_tasks().values().sum();
        done > MAX_LISTED_ENDS
    });
    assert!(has_many_ends.await, "too few tasks end");
    sleep_until(outage_ends.into()).await;
    if leader_is_lost {
        deployment.instances[leader].kill();
    }
    deployment.set_store_outage(None);
    let mut survivors = deployment.caller();
    if leader_is_lost {
        survivors.leave_out(leader);
    }
    let open = survivors.wait_for_completion(&jobs, LIMIT).await;
    assert!(open.is_empty(), "not completed: {open:?}");
    deployment.check_done_once(&jobs);
}
