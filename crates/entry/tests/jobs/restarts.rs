//! Workers that start again under their ids and addresses, and are cut off soon after.

use {
    crate::common::{Deployment, Job, Share, wait_until},
    marigoldbend::core::sched::{
        job::{Resources, Step},
        worker::EndReason,
    },
    marigoldbend_wire::stand_in as wire,
    stand_ins::job_record::{JobRecord, RecordedRun},
    std::time::{Duration, Instant},
    test_case::test_case,
    tokio::time::sleep_until,
};

const INSTANCES: [(&str, Share); 3] = [
    ("a1", Share::Unlimited),
    ("a2", Share::Unlimited),
    ("a3", Share::Unlimited),
];

const WORKERS: usize = 8;

/// The failure domain whose workers crash.
const CRASHED_DOMAIN: &str = "z1";

/// The labels of the other domain's workers, of which each has one.
const OTHER_LABELS: [&str; 2] = ["rack-1", "rack-3"];

/// How long after the end of their tasks the workers crash: they have reported by then that nothing more
/// has ended.
const IDLE_TIME: Duration = Duration::from_millis(1_300);

/// How long the workers are away, and how long they are cut off.
const AWAY_TIME: Duration = Duration::from_millis(600);
const CUT_TIME: Duration = Duration::from_secs(9);

/// How long the tasks run that fill the other domain until after the cut.
const FILLER_TIME: Duration = Duration::from_secs(6);

const SHORT_TIME: Duration = Duration::from_millis(300);

/// By how much the reports of the workers are apart.
const STAGGER: Duration = Duration::from_millis(40);

/// Longer than any lease.
const LONG_TIME: Duration = Duration::from_secs(8);

/// The maximum time for a step that is no part of the claim.
const SETUP_LIMIT: Duration = Duration::from_secs(20);

/// A deployment in which there is room only on the workers that crash.
struct Restarts {
    deployment: Deployment,
    /// The workers that crash.
    crashing: Vec<String>,
    jobs: Vec<Job>,
    /// When the workers that crash had ended their tasks.
    idle_since: Instant,
    /// The index of the leader, once it is lost.
    lost_leader: Option<usize>,
}

impl Restarts {
    /// Starts the deployment with a task on each worker, and returns once those have ended that are not
    /// in the other domain.
    async fn start() -> Self {
        let mut deployment = Deployment::start(WORKERS).await;
        deployment.start_instances(&INSTANCES).await;
        deployment.wait_for_leader().await;
        let crashing = deployment.workers.of_domain(CRASHED_DOMAIN);
        let mut restarts = Self {
            deployment,
            crashing,
            jobs: Vec::new(),
            idle_since: Instant::now(),
            lost_leader: None,
        };
        for label in OTHER_LABELS {
            let count = WORKERS / 2 / OTHER_LABELS.len();
            let fillers = restarts.submit(&[FILLER_TIME], count, Some(label)).await;
            let have_started = async || restarts.runs(&[fillers], 0).len() == count;
            let have_started = wait_until(SETUP_LIMIT, have_started).await;
            assert!(have_started, "the other domain is not full");
        }
        let mut first_jobs = Vec::new();
        for i in 0..restarts.crashing.len() as u32 {
            let time = SHORT_TIME + i * STAGGER;
            first_jobs.push(restarts.submit(&[time], 1, None).await);
        }
        let are_done = wait_until(SETUP_LIMIT, async || {
            let done = restarts.record().done_tasks();
            first_jobs.iter().all(|job| done.contains_key(&job.id))
        });
        assert!(are_done.await, "the first tasks are not done");
        restarts.idle_since = Instant::now();
        restarts
    }

    fn record(&self) -> &JobRecord {
        &self.deployment.workers.record
    }

    /// Submits a job that has for each of `times` a step of `count` tasks; each task needs a worker of
    /// its own.
    async fn submit(&mut self, times: &[Duration], count: usize, label: Option<&str>) -> Job {
        let step = |(i, time): (usize, &Duration)| Step {
            count: count as u32,
            request: Resources {
                cpu: 4_000,
                mem_mb: 100,
                gpu: 0,
            },
            estimate_ms: time.as_millis() as u32,
            after: (0..i as u16).collect(),
            required_label: label.map(str::to_owned),
            ..Step::default()
        };
        let steps: Vec<Step> = times.iter().enumerate().map(step).collect();
        let times: Vec<_> = steps.iter().map(|s| s.estimate_ms.to_string()).collect();
        let job = Job {
            task_count: count * steps.len(),
            ..Job::new(self.jobs.len())
        };
        let body = wire::write_job(&times.join(","), &steps);
        let caller = self.deployment.caller();
        assert!(caller.submit(0, 3, job, &body).await, "{job:?}");
        self.jobs.push(job);
        job
    }

    /// Returns the runs of a step of these jobs.
    fn runs(&self, jobs: &[Job], step: usize) -> Vec<RecordedRun> {
        let mut runs = self.record().runs();
        let has_job = |run: &RecordedRun| jobs.iter().any(|job| job.id == run.task.job);
        runs.retain(|run| has_job(run) && usize::from(run.task.step) == step);
        runs
    }

    /// Crashes the workers, submits a job for each that has a step with a long task after those of
    /// `earlier_times`, and starts the workers again. Returns the jobs and the number of that step.
    async fn restart_workers(&mut self, earlier_times: &[Duration]) -> (Vec<Job>, usize) {
        sleep_until((self.idle_since + IDLE_TIME).into()).await;
        let crashing = self.crashing.clone();
        for id in &crashing {
            self.deployment.workers.crash(id);
        }
        let crashed_at = Instant::now();
        // The starts of the first steps get no reply, and are sent again until the workers are back.
        let times = [earlier_times, &[LONG_TIME]].concat();
        let mut jobs = Vec::new();
        for _ in &crashing {
            jobs.push(self.submit(&times, 1, None).await);
        }
        sleep_until((crashed_at + AWAY_TIME).into()).await;
        for id in &crashing {
            self.deployment.workers.start_again(id);
        }
        (jobs, earlier_times.len())
    }

    /// Waits until this step of all jobs has started, and calls `callback` with each crashed worker as
    /// soon as it runs one of the tasks. Returns these workers.
    async fn for_each_start(
        &self,
        jobs: &[Job],
        step: usize,
        callback: impl Fn(&str),
    ) -> Vec<String> {
        let mut busy = Vec::new();
        let have_started = wait_until(SETUP_LIMIT, async || {
            let runs = self.runs(jobs, step);
            for run in &runs {
                let has_crashed = self.crashing.contains(&run.worker);
                if has_crashed && !busy.contains(&run.worker) {
                    callback(&run.worker);
                    busy.push(run.worker.clone());
                }
            }
            let is_started = |job: &Job| runs.iter().any(|run| run.task.job == job.id);
            jobs.iter().all(is_started)
        });
        assert!(have_started.await, "the long tasks do not start");
        assert!(!busy.is_empty(), "no long task on a restarted worker");
        busy
    }

    /// Waits until the workers are no longer cut off, and checks that no task had two runs at once.
    async fn check(&self, jobs: &[Job], step: usize, cut_off: &[String]) {
        sleep_until((Instant::now() + CUT_TIME).into()).await;
        for id in cut_off {
            self.deployment.workers.reconnect(id);
        }
        let mut caller = self.deployment.caller();
        if let Some(lost) = self.lost_leader {
            caller.leave_out(lost);
        }
        let open = caller.wait_for_completion(&self.jobs, SETUP_LIMIT).await;
        let runs = self.runs(jobs, step);
        for run in &runs {
            let since_idle = |at: Instant| at.duration_since(self.idle_since);
            let start = since_idle(run.start);
            let end = run.end.map(|(at, reason)| (reason, since_idle(at)));
            println!("{} on {}: {start:.3?} to {end:.3?}", run.task, run.worker);
        }
        assert!(open.is_empty(), "not completed: {open:?}");
        let is_lapsed = |run: &&RecordedRun| matches!(run.end, Some((_, EndReason::Lapsed)));
        let lapsed = runs.iter().filter(is_lapsed).count();
        assert_eq!(lapsed, cut_off.len(), "lapsed runs");
        self.deployment.check_done_once(&self.jobs);
    }
}

/// Guards against leases that are longer than the leader counts: a call for a worker's former process
/// has set the end of those of the new one.
#[test_case(&[SHORT_TIME]; "after the leader has noticed the restart")]
#[test_case(&[]; "before the leader has noticed the restart")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_task_runs_twice_if_a_restarted_worker_is_cut_off(earlier_times: &[Duration]) {
    let mut restarts = Restarts::start().await;
    // The long tasks start once the new processes have reported the ends of the others.
    let (jobs, step) = restarts.restart_workers(earlier_times).await;
    let cut_off = |id: &str| restarts.deployment.workers.cut_off(id);
    let cut_off = restarts.for_each_start(&jobs, step, cut_off).await;
    restarts.check(&jobs, step, &cut_off).await;
}

/// The same if the leader is lost before the cut, with and without a report to the next one.
#[test_case(&[SHORT_TIME], true; "noticed and reported to the next one")]
#[test_case(&[], false; "not noticed and not reported to the next one")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_task_runs_twice_if_the_leader_is_lost_before_a_restarted_worker_is_cut_off(
    earlier_times: &[Duration],
    is_reported: bool,
) {
    let mut restarts = Restarts::start().await;
    let leader = restarts.deployment.wait_for_leader().await;
    let (jobs, step) = restarts.restart_workers(earlier_times).await;
    let busy = restarts.for_each_start(&jobs, step, |_| {}).await;
    // A task whose end is not stored may start again.
    let workers = &restarts.deployment.workers;
    let are_stored = wait_until(SETUP_LIMIT, async || !workers.has_unacknowledged_ends());
    assert!(are_stored.await, "the ends are not acknowledged");
    restarts.deployment.instances[leader].kill();
    restarts.lost_leader = Some(leader);
    let is_found = |id: &String| {
        let found = format!("worker={id} found running");
        let mut instances = restarts.deployment.instances.iter();
        instances.any(|instance| instance.log().contains(&found))
    };
    let are_found = wait_until(SETUP_LIMIT, async || {
        !is_reported || busy.iter().all(is_found)
    });
    assert!(are_found.await, "the next leader finds no runs");
    for id in &busy {
        restarts.deployment.workers.cut_off(id);
    }
    restarts.check(&jobs, step, &busy).await;
}
