//! Tests of what a leader makes of reports that leave out ended attempts, since more are not
//! acknowledged than a report may list.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::{JobState, Progress},
        shard::{Command, JobOrigin, Params, RestoringShard, Shard},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const JOB: JobId = JobId(7);

/// The task whose end is left out.
const TASK: TaskName = TaskName {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// The maximum number of ended attempts in a report.
const MAX_LISTED_ENDS: usize = 2;

const LEASE: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn params() -> Params {
    Params {
        lease: LEASE,
        max_listed_ends: MAX_LISTED_ENDS,
        ..Params::default()
    }
}

fn worker(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", id.len()),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 4_000,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 0,
        remaining_ms: None,
    }
}

fn job(long_running: bool) -> JobSpec {
    let step = Step {
        count: 1,
        request: Resources {
            cpu: 1_000,
            mem_mb: 100,
            gpu: 0,
        },
        long_running,
        ..Step::default()
    };
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        spec: "text".to_owned(),
        steps: vec![step],
        token: 1,
        ..JobSpec::default()
    }
}

/// Returns the end of a task of another job, which this leader does not know.
fn other_end(number: u64) -> FinishedRow {
    FinishedRow {
        number,
        task: TaskName {
            job: JobId(8),
            ..TASK
        },
        attempt: 1,
        reason: EndReason::Done,
        checkpoint: String::new(),
    }
}

fn end(number: u64, attempt: u32, reason: EndReason) -> FinishedRow {
    FinishedRow {
        task: TASK,
        attempt,
        reason,
        ..other_end(number)
    }
}

/// Returns a report without attempts, of a worker whose clock shows `clock_ms`.
fn report(started_ms: u64, clock_ms: u64) -> Report {
    Report {
        started_ms,
        clock_ms,
        ..Report::default()
    }
}

/// Returns a report that has as many ends as fit, none of them of [`TASK`].
fn full_report(started_ms: u64, clock_ms: u64) -> Report {
    Report {
        finished: vec![other_end(1), other_end(2)],
        ..report(started_ms, clock_ms)
    }
}

/// The leader of two workers, with a simulated clock.
struct Fixture {
    shard: Shard,
    base: Instant,
    /// The simulated time in milliseconds since `base`; also used as Unix time.
    now_ms: u64,
}

impl Fixture {
    /// Creates a new leader; the worker `a` is preferred, since `bb` is listed only later.
    fn new(origin: JobOrigin, long_running: bool) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(params(), 1, base);
        let info = worker("a");
        shard.worker_listed(&info, base);
        shard.add_worker_in_use(&info.id, &info.address, base);
        shard.add_job(JOB, job(long_running), origin, base);
        Self {
            shard,
            base,
            now_ms: 10,
        }
    }

    /// Creates a leader whose task runs on worker `a`, and lists the worker `bb`.
    fn with_run(long_running: bool) -> Self {
        let mut fixture = Self::new(JobOrigin::New, long_running);
        fixture.report("a", &report(1, 10));
        assert_eq!(fixture.starts(20), ["a"]);
        fixture.now_ms += 20;
        let with_run = Report {
            running: vec![RunningRow {
                task: TASK,
                attempt: 1,
                checkpoint: String::new(),
                percent: 10.0,
                usage: None,
            }],
            ..report(1, fixture.now_ms)
        };
        fixture.report("a", &with_run);
        let info = worker("bb");
        let now = fixture.now();
        fixture.shard.worker_listed(&info, now);
        fixture
            .shard
            .add_worker_in_use(&info.id, &info.address, now);
        fixture.report("bb", &report(1, 10));
        fixture
    }

    fn now(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    /// Passes a report to the shard that was requested 1 ms ago.
    fn report(&mut self, id: &str, report: &Report) {
        let sent_at = self.now() - ms(1);
        self.shard
            .on_report(id, report, sent_at, self.now(), self.now_ms);
        self.shard.prepare_report_request(id, self.now());
    }

    /// Advances the clock by `after_ms` and polls; returns the workers on which a task starts. All
    /// start commands are acknowledged.
    fn starts(&mut self, after_ms: u64) -> Vec<String> {
        self.now_ms += after_ms;
        let now = self.now();
        let commands = self.shard.poll(now, self.now_ms);
        let starts = commands.into_iter().filter_map(|command| match command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                self.shard
                    .on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
                Some(worker)
            }
            _ => None,
        });
        starts.collect()
    }

    /// Lets both workers report every 50 ms for `time_ms`, the worker `a` by `report_of_a`; returns the
    /// workers on which a task starts meanwhile.
    fn run(&mut self, time_ms: u64, report_of_a: impl Fn(u64) -> Report) -> Vec<String> {
        let until_ms = self.now_ms + time_ms;
        let mut started = Vec::new();
        while self.now_ms < until_ms {
            let now_ms = self.now_ms;
            self.report("a", &report_of_a(now_ms));
            self.report("bb", &report(1, now_ms));
            started.extend(self.starts(50));
            self.store();
        }
        started
    }

    /// Stores what is due.
    fn store(&mut self) {
        if let Some(batch) = self.shard.take_batch(10, self.now()) {
            self.shard.on_batch_result(&batch, true, self.now());
        }
    }
}

/// Guards against tasks that start again after they were done, because the list of ends is full
/// while none can be acknowledged.
#[test]
fn a_done_task_whose_end_is_left_out_does_not_start_again() {
    let mut fixture = Fixture::with_run(false);
    let started = fixture.run(10_000, |now_ms| full_report(1, now_ms));
    assert_eq!(started, Vec::<String>::new());
    let now_ms = fixture.now_ms;
    let with_end = Report {
        finished: vec![end(3, 1, EndReason::Done)],
        ..report(1, now_ms)
    };
    fixture.report("a", &with_end);
    assert_eq!(fixture.starts(50), Vec::<String>::new());
    fixture.store();
    assert_eq!(fixture.shard.job_state(JOB), Some(JobState::Completed));
}

/// Guards against a run that is waited for without end.
#[test_case(Vec::new(); "it is not listed")]
#[test_case(vec![end(3, 1, EndReason::Lapsed)]; "it has lapsed")]
fn a_run_whose_end_was_left_out_is_lost_by_a_complete_report(finished: Vec<FinishedRow>) {
    let mut fixture = Fixture::with_run(false);
    fixture.run(1_000, |now_ms| full_report(1, now_ms));
    let started = fixture.run(100, |now_ms| Report {
        finished: finished.clone(),
        ..report(1, now_ms)
    });
    assert_eq!(started.len(), 1);
}

/// Guards against a worker that gets no tasks because one whose end it left out counts as stuck.
#[test]
fn a_run_whose_end_is_left_out_does_not_count_as_stuck() {
    let mut fixture = Fixture::with_run(false);
    let until_ms = fixture.now_ms + 10_000;
    while fixture.now_ms < until_ms {
        let now_ms = fixture.now_ms;
        fixture.report("a", &full_report(1, now_ms));
        fixture.now_ms += 50;
        assert_eq!(fixture.shard.poll(fixture.now(), fixture.now_ms), []);
    }
}

/// Guards against a long-running task that is away until ends can be acknowledged.
#[test]
fn a_long_running_task_restarts_though_its_end_may_be_left_out() {
    let mut fixture = Fixture::with_run(true);
    let started = fixture.run(500, |now_ms| full_report(1, now_ms));
    assert_eq!(started.first().map(String::as_str), Some("bb"));
}

/// Guards against a task that is blamed for the crash of a worker on which it was done before.
#[test]
fn a_task_whose_end_was_left_out_is_not_blamed_for_a_crash() {
    let mut fixture = Fixture::with_run(false);
    fixture.run(500, |now_ms| full_report(1, now_ms));
    let restarted = report(fixture.now_ms, 10);
    fixture.report("a", &restarted);
    fixture.now_ms += 50;
    fixture.shard.poll(fixture.now(), fixture.now_ms);
    assert_eq!(fixture.shard.take_loss_counts().crashes, 0);
}

/// Guards against a run of a worker's new process that is taken for one of the process before.
#[test]
fn a_run_of_a_restarted_worker_may_have_an_end_that_is_left_out() {
    let mut fixture = Fixture::with_run(false);
    let started = fixture.run(1_000, |now_ms| full_report(2, now_ms));
    assert_eq!(started, Vec::<String>::new());
    let now_ms = fixture.now_ms;
    let with_end = Report {
        finished: vec![end(3, 1, EndReason::Done)],
        ..report(2, now_ms)
    };
    fixture.report("a", &with_end);
    assert_eq!(fixture.starts(50), Vec::<String>::new());
}

/// Guards against a new leader that starts tasks again which were done under the leader before,
/// since their ends don't fit into the first reports.
#[test_case(false; "a new leader")]
#[test_case(true; "a new leader that has read rows")]
fn inherited_work_waits_until_no_end_is_left_out(is_restored: bool) {
    let origin = JobOrigin::Stored(Progress::default());
    let mut fixture = Fixture::new(origin, false);
    fixture.now_ms = 10_000;
    if is_restored {
        let mut restoring =
            RestoringShard::new(1, &Params::default(), fixture.base, fixture.base + ms(100));
        restoring.add_worker("a", &worker("a").address);
        let (sent_at, now) = (fixture.now() - ms(5), fixture.now());
        restoring.on_report("a", full_report(1, 9_990), sent_at, now);
        fixture
            .shard
            .restore_workers(restoring, now, fixture.now_ms);
    }
    let limit_ms = Params::default().unknown_run_limit.as_millis() as u64;
    let until_ms = fixture.now_ms + 2 * limit_ms;
    while fixture.now_ms < until_ms {
        let now_ms = fixture.now_ms;
        fixture.report("a", &full_report(1, now_ms));
        assert!(fixture.shard.awaits_unknown_runs(fixture.now()));
        assert_eq!(fixture.starts(50), Vec::<String>::new());
    }
    let now_ms = fixture.now_ms;
    let with_end = Report {
        finished: vec![end(3, 1, EndReason::Done)],
        ..report(1, now_ms)
    };
    fixture.report("a", &with_end);
    assert_eq!(fixture.starts(50), Vec::<String>::new());
    assert!(!fixture.shard.awaits_unknown_runs(fixture.now()));
}

/// Guards against a wait for ends that can't count any more: the lease has expired since.
#[test]
fn inherited_work_does_not_wait_for_a_silent_worker_that_left_out_ends() {
    let origin = JobOrigin::Stored(Progress::default());
    let mut fixture = Fixture::new(origin, false);
    fixture.report("a", &full_report(1, 10));
    let info = worker("bb");
    let now = fixture.now();
    fixture.shard.worker_listed(&info, now);
    fixture
        .shard
        .add_worker_in_use(&info.id, &info.address, now);
    let mut restarted_ms = None;
    while restarted_ms.is_none() && fixture.now_ms < 12_000 {
        let now_ms = fixture.now_ms;
        fixture.report("bb", &report(1, now_ms));
        if !fixture.starts(50).is_empty() {
            restarted_ms = Some(fixture.now_ms);
        }
    }
    let limit_ms = Params::default().unknown_run_limit.as_millis() as u64;
    let restarted_ms = restarted_ms.expect("the task restarts");
    assert!(
        (limit_ms..limit_ms + 300).contains(&restarted_ms),
        "{restarted_ms}"
    );
}

/// Guards against a later leader that does not ask a worker for the ends that it has left out.
#[test]
fn a_draining_worker_that_leaves_out_ends_stays_in_the_stored_list() {
    let origin = JobOrigin::Stored(Progress::default());
    let mut fixture = Fixture::new(origin, false);
    let draining = WorkerInfo {
        availability: Availability::Draining,
        ..worker("a")
    };
    let now = fixture.now();
    fixture.shard.worker_listed(&draining, now);
    let stored_workers = |fixture: &mut Fixture, report: &Report| {
        fixture.report("a", report);
        fixture.starts(100);
        fixture.now_ms += 200;
        let batch = fixture.shard.take_batch(10, fixture.now())?;
        fixture.shard.on_batch_result(&batch, true, fixture.now());
        let workers = batch.workers_in_use?.into_iter();
        Some(workers.map(|(id, _)| id).collect::<Vec<_>>())
    };
    let stored = stored_workers(&mut fixture, &full_report(1, 100));
    assert_eq!(stored, Some(vec!["a".to_owned()]));
    let stored = stored_workers(&mut fixture, &report(1, 400));
    assert_eq!(stored, Some(Vec::new()));
}
