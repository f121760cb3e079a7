//! Outages of the store, and leaders that are lost around them: what runs goes on, and what waits is
//! soon placed again.

use {
    crate::common::{Caller, Deployment, Job, POLL_INTERVAL, Share, wait_until},
    marigoldbend::core::sched::{
        job::{Resources, Step, TaskName},
        leadership::LEADER_TIMEOUT,
        progress::JobState,
        shard::Params,
        worker::EndReason,
    },
    marigoldbend_wire::stand_in as wire,
    stand_ins::{
        job_record::{JobRecord, RecordedRun},
        rows::{Faults, Outage},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
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

/// The maximum time from the rejection of the leader alone until new work starts: after 0.9 s without
/// the store it counts as unreachable, and the leader's heartbeat tells instances of other domains so
/// within 0.45 s.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(900 + 450).saturating_add(PLACEMENT_LIMIT);

/// The duration of an outage that is noticed within a second and then outlasts a lease of 4 s.
const OUTAGE_TIME: Duration = Duration::from_secs(5);

/// The same if calls are not answered: they end after 2.5 s, and the store counts as unreachable 0.9 s
/// later.
const SILENT_OUTAGE_TIME: Duration = Duration::from_secs(8);

/// The duration of an outage that no lease outlasts which is renewed until its end.
const SHORT_OUTAGE_TIME: Duration = Duration::from_secs(4);

/// How long a store with a backlog refused all writes while it served reads.
const BACKLOG_TIME: Duration = Duration::from_secs(17);

/// The maximum time for a step that is no part of the claim, such as the start of the first tasks.
const SETUP_LIMIT: Duration = Duration::from_secs(10);

/// The long-running tasks of a deployment.
#[derive(Clone, Copy)]
struct LongLoad {
    jobs: usize,
    /// The number of tasks of each job.
    tasks: u32,
    /// The resources that a task requests, in thousandths of a core.
    cpu: i64,
    /// How often the text of a job is repeated, which determines the size of its row.
    text_times: usize,
}

/// Few jobs, on four workers.
const FEW_JOBS: LongLoad = LongLoad {
    jobs: 10,
    tasks: 3,
    cpu: 500,
    text_times: 1,
};

/// Many jobs, whose texts have 0.9 MB together.
const MANY_JOBS: LongLoad = LongLoad {
    jobs: 250,
    tasks: 1,
    cpu: 100,
    text_times: 450,
};

/// The bandwidths of the store at which the rows of [`MANY_JOBS`] are read in about 2 s and 5 s. The
/// leaders of a site with 389 to 833 jobs needed 1.3 s to 4.9 s.
const SLOW_BYTES_PER_S: u32 = 1_800 << 10;
const VERY_SLOW_BYTES_PER_S: u32 = 600 << 10;

/// The interval at which a leader renews the lease of a worker whose tasks don't end.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a long-running task would run if nothing stopped it.
const LONG_TASK_TIME: Duration = Duration::from_secs(3600);

/// The number of jobs whose first step ends around the loss of a leader.
const STAGED_JOBS: usize = 6;

/// The number of jobs that are handed in after a fault.
const NEW_JOBS: usize = 10;

/// How long the task of a new job runs.
const NEW_TASK_TIME: Duration = Duration::from_millis(100);

/// The number of jobs of a backlog, their tasks, and how long each of these runs: together more than
/// 3 s of work for the resources that the long-running tasks leave.
const BACKLOG_JOBS: usize = 60;
const BACKLOG_JOB_TASKS: u32 = 10;
const BACKLOG_TASK_TIME: Duration = Duration::from_millis(300);

/// The numbers of the first staged job, the first new job, and the first job of a backlog.
const FIRST_STAGED: usize = 1_000;
const FIRST_NEW: usize = 2_000;
const FIRST_OF_BACKLOG: usize = 3_000;

fn step(tasks: u32, cpu: i64, time: Duration) -> Step {
    Step {
        count: tasks,
        request: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        estimate_ms: time.as_millis() as u32,
        ..Step::default()
    }
}

/// Returns a job with these steps, whose tasks run for their estimates.
fn job(number: usize, steps: &[Step], text_times: usize) -> (Job, bytes::Bytes) {
    let times: Vec<_> = steps.iter().map(|s| s.estimate_ms.to_string()).collect();
    let job = Job {
        task_count: steps.iter().map(|s| s.count as usize).sum(),
        ..Job::new(number)
    };
    let text = vec![times.join(","); text_times].join(",");
    (job, wire::write_job(&text, steps))
}

fn long_job(number: usize, load: LongLoad) -> (Job, bytes::Bytes) {
    let step = Step {
        long_running: true,
        ..step(load.tasks, load.cpu, LONG_TASK_TIME)
    };
    job(number, &[step], load.text_times)
}

fn new_job(number: usize) -> (Job, bytes::Bytes) {
    job(number, &[step(1, 500, NEW_TASK_TIME)], 1)
}

/// Returns a job with a task that runs for `time` and one that waits for it.
fn staged_job(number: usize, time: Duration) -> (Job, bytes::Bytes) {
    let second = Step {
        after: vec![0],
        ..step(1, 500, NEW_TASK_TIME)
    };
    job(number, &[step(1, 500, time), second], 1)
}

/// A deployment with long-running tasks at work.
struct Busy {
    deployment: Deployment,
    long_jobs: Vec<Job>,
    /// The attempts of the long-running tasks, without those on removed workers.
    long_runs: BTreeSet<Attempt>,
    /// The instances through which jobs are handed in and read.
    targets: Vec<usize>,
}

/// An attempt: its task, number and worker.
type Attempt = (TaskName, u32, String);

fn attempt(run: &RecordedRun) -> Attempt {
    (run.task, run.attempt, run.worker.clone())
}

impl Busy {
    /// Starts all instances, with a store of this bandwidth if it is limited, and the long-running
    /// tasks; returns once all tasks run and each instance hears the leader.
    async fn start(load: LongLoad, store_bytes_per_s: Option<u32>) -> Self {
        let mut deployment = Deployment::start(WORKERS).await;
        if let Some(bytes_per_s) = store_bytes_per_s {
            deployment.slow_down_store(bytes_per_s).await;
        }
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
        for number in 0..load.jobs {
            let (job, body) = long_job(number, load);
            assert!(caller.submit(number, 3, job, &body).await, "{job:?}");
            long_jobs.push(job);
        }
        let record = &deployment.workers.record;
        let tasks = load.jobs * load.tasks as usize;
        let are_running = wait_until(SETUP_LIMIT, async || record.runs().len() >= tasks);
        assert!(are_running.await, "the long-running tasks do not start");
        let long_runs = record.runs().iter().map(attempt).collect();
        Self {
            deployment,
            long_jobs,
            long_runs,
            targets: (0..INSTANCES.len()).collect(),
        }
    }

    fn record(&self) -> &JobRecord {
        &self.deployment.workers.record
    }

    /// Starts jobs whose first steps end after `time`, and returns once these steps run.
    async fn start_staged_jobs(&self, time: Duration) -> Vec<Job> {
        let caller = self.deployment.caller();
        let mut jobs = Vec::new();
        for number in FIRST_STAGED..FIRST_STAGED + STAGED_JOBS {
            let (job, body) = staged_job(number, time);
            assert!(caller.submit(number, 3, job, &body).await, "{job:?}");
            jobs.push(job);
        }
        let are_running = wait_until(SETUP_LIMIT, async || {
            let begun = self.record().begun_jobs();
            jobs.iter().all(|job| begun.contains(&job.id))
        });
        assert!(are_running.await, "the first steps do not start");
        jobs
    }

    /// Hands in more short tasks than the workers have room for, and returns once some of them run.
    async fn start_backlog(&self) -> Vec<Job> {
        let mut submissions = JoinSet::new();
        for number in FIRST_OF_BACKLOG..FIRST_OF_BACKLOG + BACKLOG_JOBS {
            let step = step(BACKLOG_JOB_TASKS, 500, BACKLOG_TASK_TIME);
            let (job, body) = job(number, &[step], 1);
            let caller = self.deployment.caller();
            submissions.spawn(async move {
                assert!(caller.submit(number, 3, job, &body).await, "{job:?}");
                job
            });
        }
        let jobs = submissions.join_all().await;
        let are_begun = wait_until(SETUP_LIMIT, async || {
            self.record().runs().iter().any(|run| has_job(&jobs, run))
        });
        assert!(are_begun.await, "the backlog is not begun");
        jobs
    }

    /// Removes the worker that runs long-running tasks and the fewest of `jobs`, and takes these out
    /// of `jobs`; returns the long-running tasks that ran there.
    fn remove_worker(&mut self, jobs: &mut Vec<Job>) -> Vec<TaskName> {
        let runs = self.record().runs();
        let mut jobs_by_worker = BTreeMap::new();
        for (_, _, worker) in &self.long_runs {
            jobs_by_worker.insert(worker.clone(), BTreeSet::new());
        }
        for run in runs.iter().filter(|run| has_job(jobs, run)) {
            if let Some(jobs) = jobs_by_worker.get_mut(&run.worker) {
                jobs.insert(run.task.job);
            }
        }
        let fewest = jobs_by_worker.into_iter().min_by_key(|(_, j)| j.len());
        let (worker, removed_jobs) = fewest.expect("a worker with long-running tasks");
        self.deployment.workers.remove(&worker);
        jobs.retain(|job| !removed_jobs.contains(&job.id));
        let long_runs = self.long_runs.iter();
        let tasks = long_runs.filter(|(_, _, at)| *at == worker).map(|r| r.0);
        let tasks = tasks.collect();
        self.long_runs.retain(|(_, _, at)| *at != worker);
        tasks
    }

    /// Makes the store fail for all instances at once; returns when it began to.
    fn start_outage(&self, outage: Outage) -> Instant {
        let start = Instant::now();
        self.deployment.set_store_outage(Some(outage));
        start
    }

    /// Waits for the end of an outage, which each instance must have noticed by then.
    async fn wait_for_outage(&self, start: Instant, duration: Duration) {
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
    }

    /// Kills the leader, and returns its index.
    fn kill_leader(&mut self) -> usize {
        let leader = self.deployment.leader().expect("an instance led");
        self.deployment.instances[leader].kill();
        self.targets.retain(|target| *target != leader);
        leader
    }

    /// Waits until another instance leads than `previous`; returns when it is seen to.
    async fn wait_for_successor(&self, previous: usize) -> Instant {
        let has_successor = wait_until(SETUP_LIMIT, async || {
            self.deployment.leader() != Some(previous)
        });
        assert!(has_successor.await, "nobody succeeds the leader");
        Instant::now()
    }

    /// Returns how the long-running tasks have not gone on undisturbed since `fault_end`.
    async fn long_task_problems(&self, fault_end: Instant) -> Vec<String> {
        // Each lease that was given during the fault has expired by then.
        let margin = Duration::from_secs(1);
        sleep_until((fault_end + Params::default().lease + margin).into()).await;
        let caller = self.deployment.caller();
        let mut not_running = self.long_jobs.clone();
        let are_running = wait_until(SETUP_LIMIT, async || {
            let mut open = Vec::new();
            for (i, job) in not_running.iter().enumerate() {
                let target = self.targets[i % self.targets.len()];
                if caller.state(target, *job).await != Some(JobState::Running) {
                    open.push(*job);
                }
            }
            not_running = open;
            not_running.is_empty()
        });
        are_running.await;
        let record = self.record();
        let mut runs = record.runs();
        let tasks: BTreeSet<TaskName> = self.long_runs.iter().map(|run| run.0).collect();
        runs.retain(|run| tasks.contains(&run.task));
        let is_undisturbed = |run: &&RecordedRun| run.end.is_none();
        let undisturbed: BTreeSet<Attempt> =
            runs.iter().filter(is_undisturbed).map(attempt).collect();
        let ended = self.long_runs.difference(&undisturbed).count();
        let attempts: BTreeSet<Attempt> = runs.iter().map(attempt).collect();
        let restarted = attempts.difference(&self.long_runs).count();
        let lapsed = record.lapsed().len();
        let mut problems = record.violations();
        for (count, problem) in [
            (lapsed, "runs lapsed"),
            (ended, "long-running tasks do not run as before"),
            (restarted, "long-running tasks were started again"),
            (not_running.len(), "long-running jobs are not running"),
        ] {
            if count > 0 {
                problems.push(format!("{count} {problem}"));
            }
        }
        problems
    }

    /// Hands new jobs in through all instances, each until it is accepted, and waits until they and
    /// the `waiting` tasks start. Returns how long after `since` each of them was late.
    async fn placement_problems(
        &self,
        waiting: &[(&str, Vec<TaskName>)],
        since: Instant,
        limit: Duration,
    ) -> Vec<String> {
        let caller = self.deployment.caller();
        let mut submissions = JoinSet::new();
        for i in 0..NEW_JOBS {
            let target = self.targets[i % self.targets.len()];
            let number = FIRST_NEW + i;
            submissions.spawn(submit_until_accepted(caller.clone(), target, number));
        }
        let new_jobs = submissions.join_all().await;
        let new_tasks = new_jobs.iter().map(|job| first_task(job, 0)).collect();
        let mut groups = vec![("new", new_tasks)];
        groups.extend_from_slice(waiting);
        let record = self.record();
        let removed: BTreeSet<Attempt> = record
            .runs()
            .iter()
            .filter(|run| matches!(run.end, Some((_, EndReason::Failed))))
            .map(attempt)
            .collect();
        let starts = |tasks: &[TaskName]| -> Vec<Option<Duration>> {
            let runs = record.runs();
            let start_of = |task: &TaskName| {
                let mut runs = runs.iter().filter(|run| run.task == *task);
                let run = runs.find(|run| !removed.contains(&attempt(run)));
                run.map(|run| run.start.saturating_duration_since(since))
            };
            tasks.iter().map(start_of).collect()
        };
        let have_started = wait_until(SETUP_LIMIT, async || {
            groups
                .iter()
                .all(|(_, tasks)| starts(tasks).iter().all(Option::is_some))
        });
        have_started.await;
        let mut problems = Vec::new();
        for (kind, tasks) in &groups {
            let starts = starts(tasks);
            println!("{kind} tasks started after {starts:.1?}");
            let is_late = |at: &&Option<Duration>| at.is_none_or(|at| at > limit);
            let late = starts.iter().filter(is_late);
            problems.extend(late.map(|at| format!("a {kind} task started after {at:.1?}")));
        }
        problems
    }

    /// Checks that the long-running tasks are undisturbed by a fault that ended at `fault_end`, and
    /// that there are no other problems.
    async fn check(&self, fault_end: Instant, mut problems: Vec<String>) {
        problems.extend(self.long_task_problems(fault_end).await);
        for instance in &self.deployment.instances {
            let log = instance.log();
            // All but the summaries.
            let is_change = |line: &&str| line.contains(" lead: ") && !line.contains(" open=");
            for line in log.lines().filter(is_change) {
                println!("{}: {line}", instance.name);
            }
        }
        assert_eq!(problems, Vec::<String>::new());
    }
}

fn has_job(jobs: &[Job], run: &RecordedRun) -> bool {
    jobs.iter().any(|job| job.id == run.task.job)
}

/// Returns the name of the first task of a step.
fn first_task(job: &Job, step: u16) -> TaskName {
    TaskName {
        job: job.id,
        occurrence: 0,
        step,
        index: 0,
    }
}

/// Hands a new job in again and again until it is accepted.
async fn submit_until_accepted(caller: Caller, target: usize, number: usize) -> Job {
    let (job, body) = new_job(number);
    let deadline = Instant::now() + SETUP_LIMIT;
    while !caller.submit(target, 1, job, &body).await {
        assert!(Instant::now() < deadline, "{job:?} is not accepted");
        sleep(POLL_INTERVAL).await;
    }
    job
}

/// Guards against a leader that gives up its shard because the store confirms it by no write, although
/// no successor can write the lease row either.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_that_refuses_all_writes_ends_no_long_running_task() {
    let busy = Busy::start(FEW_JOBS, None).await;
    let start = Instant::now();
    busy.deployment.set_store_faults(Faults {
        refuse_writes: true,
        ..Faults::default()
    });
    sleep_until((start + BACKLOG_TIME).into()).await;
    busy.deployment.set_store_faults(Faults::default());
    let returned = Instant::now();
    let placement = busy.placement_problems(&[], returned, PLACEMENT_LIMIT);
    let problems = placement.await;
    busy.check(returned, problems).await;
}

/// Guards against a leader that concludes from its peers' last heartbeats that it alone is rejected by
/// the store, and stops renewing leases.
#[test_case(Outage::Busy, OUTAGE_TIME; "busy")]
#[test_case(Outage::Silent, SILENT_OUTAGE_TIME; "silent")]
#[test_case(Outage::Reset, OUTAGE_TIME; "reset")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_of_the_whole_store_ends_no_long_running_task(outage: Outage, time: Duration) {
    let busy = Busy::start(FEW_JOBS, None).await;
    let start = busy.start_outage(outage);
    busy.wait_for_outage(start, time).await;
    busy.deployment.set_store_outage(None);
    let returned = Instant::now();
    let problems = busy
        .placement_problems(&[], returned, PLACEMENT_LIMIT)
        .await;
    busy.check(returned, problems).await;
}

/// Guards against one worker that never answers and keeps all inherited tasks waiting.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_that_is_lost_as_the_store_returns_delays_no_placement() {
    let mut busy = Busy::start(FEW_JOBS, None).await;
    let mut staged = busy.start_staged_jobs(SHORT_OUTAGE_TIME).await;
    let start = busy.start_outage(Outage::Busy);
    let removed = busy.remove_worker(&mut staged);
    assert!(!staged.is_empty(), "all staged jobs ran on one worker");
    busy.wait_for_outage(start, SHORT_OUTAGE_TIME).await;
    busy.kill_leader();
    busy.deployment.set_store_outage(None);
    let lost = Instant::now();
    let second_steps = staged.iter().map(|job| first_task(job, 1)).collect();
    let waiting = [("waiting", second_steps), ("removed", removed)];
    let limit = LEADER_TIMEOUT + PLACEMENT_LIMIT;
    let problems = busy.placement_problems(&waiting, lost, limit).await;
    busy.check(lost, problems).await;
}

/// Guards against a successor that renews no lease until it has read all rows.
#[test_case(SLOW_BYTES_PER_S; "read in 2 s")]
#[test_case(VERY_SLOW_BYTES_PER_S; "read in 5 s")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_loss_of_a_leader_of_many_jobs_ends_no_long_running_task(bytes_per_s: u32) {
    let mut busy = Busy::start(MANY_JOBS, Some(bytes_per_s)).await;
    let workers = &busy.deployment.workers;
    // Right after the start, all leases are new.
    let is_old = wait_until(2 * RENEWAL_INTERVAL, async || {
        let age = workers
            .shortest_lease()
            .map(|left| Params::default().lease.saturating_sub(left));
        age.is_some_and(|age| age > RENEWAL_INTERVAL * 9 / 10)
    });
    let (is_old, shortest) = (is_old.await, workers.shortest_lease());
    let leader = busy.kill_leader();
    let lost = Instant::now();
    println!("shortest lease at the loss {shortest:.1?}, is_old={is_old}");
    let successor_leads = busy.wait_for_successor(leader).await;
    println!("taken over after {:.1?}", successor_leads - lost);
    busy.check(lost, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_that_the_store_rejects_alone_hands_over() {
    let mut busy = Busy::start(FEW_JOBS, None).await;
    let leader = busy.deployment.wait_for_leader().await;
    busy.targets.retain(|target| *target != leader);
    let backlog = busy.start_backlog().await;
    let rejected = Instant::now();
    busy.deployment.instances[leader].set_store_outage(Some(Outage::Busy));
    let successor_leads = busy.wait_for_successor(leader).await;
    println!("taken over after {:.1?}", successor_leads - rejected);
    let runs = busy.record().runs();
    let begun = runs.iter().filter(|run| has_job(&backlog, run)).count();
    println!("tasks of the backlog begun before: {begun}");
    let problems = busy
        .placement_problems(&[], rejected, HAND_OVER_LIMIT)
        .await;
    let caller = busy.deployment.caller();
    let open = caller.wait_for_completion(&backlog, SETUP_LIMIT).await;
    assert!(open.is_empty(), "not completed: {open:?}");
    busy.deployment.check_done_once(&backlog);
    busy.check(successor_leads, problems).await;
}
