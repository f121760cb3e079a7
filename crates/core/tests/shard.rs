//! Tests of the state that the leader of a shard keeps, through its public methods.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::{JobOutcome, JobState, LossRecord, PlacementRecord, Progress, TaskRecord},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const JOB: JobId = JobId(7);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a step with `count` tasks that each request `cpu` thousandths of a core.
fn step(count: u32, cpu: i64) -> Step {
    Step {
        count,
        request: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        ..Step::default()
    }
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        slack_percent: 150,
        extra_ms: 300,
        spec: "text".to_owned(),
        steps,
        token: 1,
        ..JobSpec::default()
    }
}

/// Returns a worker with a capacity of `cpu` thousandths of a core.
fn worker(id: &str, cpu: i64) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        started_ms: 0,
        remaining_ms: None,
    }
}

/// Returns a report without attempts, of a worker whose clock shows `clock_ms`.
fn report(clock_ms: u64) -> Report {
    Report {
        started_ms: 1,
        clock_ms,
        ..Report::default()
    }
}

fn finished_row(number: u64, task: TaskName, reason: EndReason) -> FinishedRow {
    FinishedRow {
        number,
        task,
        attempt: 1,
        reason,
        checkpoint: String::new(),
    }
}

/// A shard whose workers are stored as in use and have each sent a report, with a simulated clock.
struct Fixture {
    shard: Shard,
    base: Instant,
    /// The simulated time in milliseconds since `base`; also used as Unix time.
    now_ms: u64,
}

impl Fixture {
    fn new(workers: &[WorkerInfo]) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        for info in workers {
            shard.worker_listed(info, base);
            shard.add_worker_in_use(&info.id, &info.address, base);
        }
        let mut fixture = Self {
            shard,
            base,
            now_ms: 10,
        };
        for info in workers {
            fixture.report(&info.id, &report(10));
        }
        fixture
    }

    /// Returns the current simulated time.
    fn now(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    /// Passes a report to the shard that was requested 1 ms ago.
    fn report(&mut self, id: &str, report: &Report) {
        let sent_at = self.now() - ms(1);
        self.shard
            .on_report(id, report, sent_at, self.now(), self.now_ms);
    }

    /// Advances the clock by `after_ms` and polls.
    fn poll(&mut self, after_ms: u64) -> Vec<Command> {
        self.now_ms += after_ms;
        self.shard.poll(self.now(), self.now_ms)
    }

    /// Advances the clock by `after_ms`, polls, and acknowledges all start commands; returns the
    /// tasks with the ids of their workers.
    fn starts(&mut self, after_ms: u64) -> Vec<(TaskName, String)> {
        let commands = self.poll(after_ms);
        let starts = commands.into_iter().filter_map(|command| match command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                let now = self.now();
                self.shard
                    .on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
                Some((task, worker))
            }
            _ => None,
        });
        starts.collect()
    }
}

#[test]
fn run_end_is_acknowledged_only_after_it_is_stored() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let (task, _) = fixture.starts(20)[0].clone();
    let end_report = Report {
        finished: vec![finished_row(1, task, EndReason::Done)],
        ..report(100)
    };
    fixture.now_ms = 100;
    fixture.report("w", &end_report);
    let acked = |fixture: &mut Fixture| {
        fixture
            .shard
            .prepare_report_request("w", fixture.base + ms(fixture.now_ms))
            .expect("the worker is known")
            .0
    };
    assert_eq!(acked(&mut fixture), 0);
    let batch = fixture
        .shard
        .take_batch(10, fixture.now())
        .expect("a finished job is stored");
    // Until the write has a result, the end is neither acknowledged nor shown to the caller.
    assert_eq!(acked(&mut fixture), 0);
    assert_eq!(fixture.shard.job_state(JOB), Some(JobState::Running));
    fixture.shard.on_batch_result(&batch, true, fixture.now());
    assert_eq!(acked(&mut fixture), 1);
    assert_eq!(fixture.shard.job_state(JOB), Some(JobState::Completed));
}

#[test]
fn stored_failure_is_not_counted_twice() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    let task = TaskName {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let progress = Progress {
        started: true,
        tasks: vec![TaskRecord {
            failed: vec![1],
            ..TaskRecord::default()
        }],
        ..Progress::default()
    };
    let origin = JobOrigin::Stored(progress);
    fixture
        .shard
        .add_job(JOB, job(vec![step(1, 1_000)]), origin, fixture.now());
    let repeated = Report {
        finished: vec![finished_row(1, task, EndReason::Failed)],
        ..report(20)
    };
    fixture.report("w", &repeated);
    assert_eq!(fixture.shard.job_state(JOB), Some(JobState::Running));
    assert_eq!(fixture.starts(50).len(), 1);
}

#[test]
fn lease_of_an_unresponsive_worker_expires_and_its_task_restarts_on_another() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let (_, unresponsive) = fixture.starts(20)[0].clone();
    let other = if unresponsive == "a" { "b" } else { "a" };
    let mut started = None;
    for _ in 0..180 {
        fixture.now_ms += 50;
        fixture.shard.confirm(fixture.now());
        // Report requests to the unresponsive worker continue.
        fixture
            .shard
            .prepare_report_request(&unresponsive, fixture.now());
        let now = fixture.now_ms;
        fixture.report(other, &report(now));
        if let Some((_, worker)) = fixture.starts(0).first() {
            started = Some((fixture.now_ms, worker.clone()));
            break;
        }
    }
    let (restarted_ms, worker) = started.expect("the task restarts");
    assert_eq!(worker, other);
    // The lease is last renewed at most 1.7 s after the last report.
    let lease_ms = Params::default().lease.as_millis() as u64;
    assert!(
        (lease_ms..lease_ms + 2_500).contains(&restarted_ms),
        "{restarted_ms}"
    );
}

#[test]
fn restart_after_expiry_waits_until_the_store_confirms_the_leadership() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let (_, unresponsive) = fixture.starts(20)[0].clone();
    let other = if unresponsive == "a" { "b" } else { "a" };
    for _ in 0..200 {
        fixture.now_ms += 50;
        let now = fixture.now_ms;
        fixture.report(other, &report(now));
        // Without a confirmation, another leader may have renewed the lease, so the task must wait.
        assert_eq!(fixture.starts(0), []);
    }
    assert!(fixture.shard.awaits_confirmation());
    fixture.shard.confirm(fixture.now());
    assert_eq!(fixture.starts(50).len(), 1);
}

#[test]
fn inherited_job_waits_for_reports_of_all_workers() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 2, base);
    shard.worker_listed(&worker("a", 4_000), base);
    shard.add_worker_in_use("a", "127.0.0.1:1", base);
    shard.add_worker_in_use("b", "127.0.0.1:2", base);
    let origin = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), origin, base);
    shard.add_job(JobId(8), job(vec![step(1, 1_000)]), JobOrigin::New, base);
    let at = |n| base + ms(n);
    shard.on_report("a", &report(5), at(4), at(5), 5);
    let started = |commands: Vec<Command>| -> Vec<JobId> {
        let jobs = commands.into_iter().filter_map(|command| match command {
            Command::Start { task, .. } => Some(task.job),
            _ => None,
        });
        jobs.collect()
    };
    // A job that this leader accepted can't have an unknown run, so it does not wait.
    assert_eq!(started(shard.poll(at(10), 10)), [JobId(8)]);
    assert_eq!(started(shard.poll(at(900), 900)), []);
    shard.on_report("b", &report(1_000), at(950), at(1_000), 1_000);
    assert_eq!(started(shard.poll(at(1_100), 1_100)), [JOB]);
}

#[test]
fn attempt_numbers_after_a_takeover_exceed_those_of_earlier_leaders() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 3, base);
    shard.worker_listed(&worker("a", 4_000), base);
    shard.add_worker_in_use("a", "127.0.0.1:1", base);
    let origin = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), origin, base);
    shard.on_report("a", &report(5), base + ms(4), base + ms(5), 5);
    let commands = shard.poll(base + ms(50), 50);
    assert!(
        matches!(commands[0], Command::Start { attempt: 300, .. }),
        "{commands:?}"
    );
}

/// Starts a long-running task that fails at once as often as this, under the leader with token 1;
/// returns the number of its last attempt and the stored progress.
fn fail_at_once(times: u64) -> (u32, Progress) {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture
        .shard
        .add_job(JOB, long_running_job(), JobOrigin::New, fixture.now());
    let (mut last_attempt, mut stored) = (0, Progress::default());
    for number in 1..=times {
        let commands = fixture.poll(200);
        let Some(Command::Start { task, attempt, .. }) = commands.first() else {
            panic!("the task does not start: {commands:?}");
        };
        last_attempt = *attempt;
        let failed = FinishedRow {
            attempt: last_attempt,
            ..finished_row(number, *task, EndReason::Failed)
        };
        let failed = Report {
            finished: vec![failed],
            ..report(fixture.now_ms)
        };
        fixture.report("w", &failed);
        while let Some(batch) = fixture.shard.take_batch(10, fixture.now()) {
            fixture.shard.on_batch_result(&batch, true, fixture.now());
            for (_, row) in &batch.rows {
                stored = Progress::decode(row).expect("the row decodes");
            }
        }
    }
    (last_attempt, stored)
}

/// Returns the number of the first attempt of a long-running task under a leader with this token.
fn first_attempt_of(token: u64, stored: Progress) -> u32 {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), token, base);
    shard.worker_listed(&worker("w", 4_000), base);
    shard.add_worker_in_use("w", "127.0.0.1:1", base);
    shard.add_job(JOB, long_running_job(), JobOrigin::Stored(stored), base);
    shard.on_report("w", &report(5), base + ms(4), base + ms(5), 5);
    match shard.poll(base + ms(50), 50)[..] {
        [Command::Start { attempt, .. }, ..] => attempt,
        ref commands => panic!("the task does not start: {commands:?}"),
    }
}

/// Guards against a successor's attempts that workers refuse, since those of a task that kept failing
/// under the leader before have higher numbers.
#[test_case(99)]
#[test_case(199)]
#[test_case(200)]
#[test_case(1_199)]
#[test_case(2_600)]
fn a_successor_began_below_the_attempts_of_a_task_that_kept_failing(times: u64) {
    let (last_attempt, stored) = fail_at_once(times);
    assert_eq!(u64::from(last_attempt), times);
    let next_attempt = first_attempt_of(2, stored);
    assert!(next_attempt > last_attempt, "{next_attempt}");
    assert!(next_attempt <= last_attempt + 1_001, "{next_attempt}");
}

#[test_case(42_949_672; "the last token that has its own")]
#[test_case(42_949_673; "the next token")]
#[test_case(u64::MAX / 64; "the highest token")]
fn attempt_numbers_do_not_overflow(token: u64) {
    let attempt = first_attempt_of(token, Progress::default());
    assert_eq!(attempt, 4_294_967_200);
}

#[test]
fn step_starts_after_the_steps_that_it_depends_on() {
    let mut fixture = Fixture::new(&[worker("w", 9_000)]);
    let second = Step {
        after: vec![0],
        ..step(1, 1_000)
    };
    fixture.shard.add_job(
        JOB,
        job(vec![step(2, 1_000), second]),
        JobOrigin::New,
        fixture.now(),
    );
    let first = fixture.starts(20);
    assert!(first.iter().all(|(t, _)| t.step == 0) && first.len() == 2);
    let one_done = Report {
        finished: vec![finished_row(1, first[0].0, EndReason::Done)],
        running: vec![running(first[1].0, 50.0)],
        ..report(60)
    };
    fixture.now_ms = 60;
    fixture.report("w", &one_done);
    assert_eq!(fixture.starts(30), []);
    let both_done = Report {
        finished: vec![
            finished_row(1, first[0].0, EndReason::Done),
            finished_row(2, first[1].0, EndReason::Done),
        ],
        ..report(120)
    };
    fixture.now_ms = 120;
    fixture.report("w", &both_done);
    assert_eq!(fixture.starts(30)[0].0.step, 1);
}

fn running(task: TaskName, percent: f64) -> RunningRow {
    RunningRow {
        task,
        attempt: 1,
        checkpoint: String::new(),
        percent,
        usage: None,
    }
}

#[test_case(3, 4_000, 0; "a gang that does not fit")]
#[test_case(3, 9_000, 3; "a gang that fits")]
fn gang_starts_as_a_whole(members: u32, cpu: i64, expected: usize) {
    let mut fixture = Fixture::new(&[worker("w", cpu)]);
    let gang = Step {
        gang: true,
        ..step(members, 2_000)
    };
    fixture
        .shard
        .add_job(JOB, job(vec![gang]), JobOrigin::New, fixture.now());
    assert_eq!(fixture.starts(20).len(), expected);
}

/// Guards against a gang that is given up after one attempt, since two members failed in it.
#[test]
fn members_that_failed_in_one_attempt_counted_as_two_failures() {
    let mut fixture = Fixture::new(&[worker("w", 9_000)]);
    let gang = Step {
        gang: true,
        ..step(3, 2_000)
    };
    let spec = job(vec![gang]);
    assert_eq!(spec.max_attempts, 2);
    fixture
        .shard
        .add_job(JOB, spec, JobOrigin::New, fixture.now());
    let members = fixture.starts(20);
    let reasons = [EndReason::Failed, EndReason::Failed, EndReason::Broken];
    let mut finished = Vec::new();
    for ((task, _), reason) in members.iter().zip(reasons) {
        let number = finished.len() as u64 + 1;
        finished.push(finished_row(number, *task, reason));
    }
    let first = Report {
        finished: finished.clone(),
        ..report(30)
    };
    fixture.report("w", &first);
    assert_eq!(fixture.starts(50).len(), 3, "the second attempt");
    finished.push(FinishedRow {
        attempt: 2,
        ..finished_row(4, members[0].0, EndReason::Failed)
    });
    let second = Report {
        finished,
        ..report(100)
    };
    fixture.report("w", &second);
    let batch = fixture.shard.take_batch(10, fixture.now());
    let batch = batch.expect("a finished job is stored");
    let row = Progress::decode(&batch.rows[0].1).expect("the row decodes");
    assert_eq!(row.outcome, JobOutcome::Failed);
}

#[test]
fn worker_is_held_back_for_a_waiting_long_running_task() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture.shard.add_job(
        JobId(1),
        job(vec![step(4, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let short = fixture.starts(20);
    assert_eq!(short.len(), 4);
    let long_running = Step {
        long_running: true,
        ..step(1, 3_000)
    };
    fixture
        .shard
        .add_job(JOB, job(vec![long_running]), JobOrigin::New, fixture.now());
    fixture.shard.add_job(
        JobId(2),
        job(vec![step(9, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    for n in 1..=3 {
        let ended = (1..=n).map(|i| finished_row(i, short[i as usize - 1].0, EndReason::Done));
        let rows = short[n as usize..].iter().map(|(t, _)| running(*t, 50.0));
        fixture.now_ms += 50;
        let progress = Report {
            finished: ended.collect(),
            running: rows.collect(),
            ..report(fixture.now_ms)
        };
        fixture.report("w", &progress);
        let started = fixture.starts(20);
        let jobs: Vec<_> = started.iter().map(|(t, _)| t.job).collect();
        let expected = if n == 3 { vec![JOB] } else { vec![] };
        assert_eq!(jobs, expected, "after {n} ended tasks");
    }
}

#[test]
fn stuck_task_is_stopped_and_restarts_on_another_worker() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let (task, stuck) = fixture.starts(20)[0].clone();
    let mut stopped = None;
    for _ in 0..80 {
        fixture.now_ms += 50;
        let no_progress = Report {
            running: vec![running(task, 10.0)],
            ..report(fixture.now_ms)
        };
        fixture.report(&stuck, &no_progress);
        let commands = fixture.poll(0);
        if commands
            .iter()
            .any(|command| matches!(command, Command::Stop { .. }))
        {
            stopped = Some(fixture.now_ms);
            break;
        }
    }
    let stopped_ms = stopped.expect("the task is stopped");
    assert!((2_500..3_200).contains(&stopped_ms), "{stopped_ms}");
    fixture
        .shard
        .on_stop_reply(&stuck, task, 1, CommandReply::Ok, fixture.now());
    let end_report = Report {
        finished: vec![finished_row(1, task, EndReason::Stopped)],
        ..report(fixture.now_ms + 50)
    };
    fixture.now_ms += 50;
    let (now, other) = (fixture.now_ms, if stuck == "a" { "b" } else { "a" });
    fixture.report(other, &report(now));
    fixture.report(&stuck, &end_report);
    assert_eq!(fixture.starts(30)[0].1, other);
}

#[test]
fn draining_worker_gets_no_tasks_and_its_long_running_ones_are_stopped_at_once() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let long_running = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    fixture
        .shard
        .add_job(JOB, job(vec![long_running]), JobOrigin::New, fixture.now());
    let (_, draining) = fixture.starts(20)[0].clone();
    let draining_info = WorkerInfo {
        availability: Availability::Draining,
        ..worker(&draining, 4_000)
    };
    fixture.shard.worker_listed(&draining_info, fixture.now());
    let commands = fixture.poll(50);
    assert!(matches!(&commands[0], Command::Stop { worker, .. } if *worker == draining));
    fixture.shard.add_job(
        JobId(2),
        job(vec![step(3, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    assert!(fixture.starts(50).iter().all(|(_, w)| *w != draining));
}

#[test]
fn occurrence_starts_when_it_is_due() {
    let mut fixture = Fixture::new(&[worker("w", 9_000)]);
    let scheduled = JobSpec {
        occurrences: 2,
        first_ms: 1_000,
        interval_ms: 300,
        ..job(vec![step(1, 1_000)])
    };
    fixture
        .shard
        .add_job(JOB, scheduled, JobOrigin::New, fixture.now());
    let mut starts = Vec::new();
    while fixture.now_ms < 1_500 {
        let now = fixture.now_ms;
        fixture.report(
            "w",
            &Report {
                running: Vec::new(),
                ..report(now)
            },
        );
        for (task, _) in fixture.starts(20) {
            if !starts
                .iter()
                .any(|(occurrence, _)| *occurrence == task.occurrence)
            {
                starts.push((task.occurrence, fixture.now_ms));
            }
        }
    }
    assert!(matches!(starts[0], (0, 1_000..1_160)), "{starts:?}");
    assert!(matches!(starts[1], (1, 1_300..1_460)), "{starts:?}");
}

/// The due time overflowed, which ended the process or started the second occurrence at once.
#[test_case(7, u64::MAX - 1; "an interval near the end of its range")]
#[test_case(5, u64::MAX; "the longest interval")]
fn a_huge_interval_makes_no_second_occurrence_due(first_ms: u64, interval_ms: u64) {
    let mut fixture = Fixture::new(&[worker("w", 9_000)]);
    let scheduled = JobSpec {
        occurrences: 3,
        first_ms,
        interval_ms,
        ..job(vec![step(1, 1_000)])
    };
    fixture
        .shard
        .add_job(JOB, scheduled, JobOrigin::New, fixture.now());
    let mut occurrences = Vec::new();
    for _ in 0..5 {
        let starts = fixture.starts(100).into_iter();
        occurrences.extend(starts.map(|(task, _)| task.occurrence));
    }
    assert_eq!(occurrences, [0]);
}

#[test]
fn cancellation_stops_the_runs_and_is_stored() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(2, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    assert_eq!(fixture.starts(20).len(), 2);
    fixture.shard.cancel(JOB, 30);
    let stops = fixture.poll(5);
    assert_eq!(stops.len(), 2);
    let batch = fixture
        .shard
        .take_batch(10, fixture.now())
        .expect("a finished job is stored");
    let row = Progress::decode(&batch.rows[0].1).expect("the row decodes");
    assert_eq!(row.outcome, JobOutcome::Cancelled);
}

/// Guards against transactions with more entries than the store accepts: a finished job needs one
/// for its progress and one to delete its specification.
#[test]
fn batch_of_finished_jobs_fits_into_a_transaction() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    for id in 1..=3 {
        let spec = job(vec![step(1, 1_000)]);
        fixture
            .shard
            .add_job(JobId(id), spec, JobOrigin::New, fixture.now());
        fixture.shard.cancel(JobId(id), 30);
    }
    let batch = fixture.shard.take_batch(5, fixture.now());
    let batch = batch.expect("finished jobs are stored");
    assert_eq!(batch.rows.len(), 2);
    assert_eq!(batch.finished_jobs().count(), 2);
}

#[test]
fn job_cancelled_before_it_is_added_does_not_start() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture.shard.cancel(JOB, 30);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    assert_eq!(fixture.starts(20), []);
}

/// Guards against a cancelled job whose rows are deleted at once, so that a repeated submission is
/// accepted again.
#[test]
fn job_cancelled_before_it_is_added_stays_known() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    fixture.shard.cancel(JOB, 30_000);
    let spec = job(vec![step(1, 1_000)]);
    fixture
        .shard
        .add_job(JOB, spec, JobOrigin::New, fixture.now());
    let batch = fixture.shard.take_batch(10, fixture.now());
    let batch = batch.expect("a finished job is stored");
    fixture.shard.on_batch_result(&batch, true, fixture.now());
    assert_eq!(fixture.shard.expire_jobs(30_000, 10), []);
    assert_eq!(fixture.shard.expire_jobs(30_001, 10), [JOB]);
}

#[test]
fn step_that_needs_approval_waits_for_it() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let spec = JobSpec {
        needs_approval: true,
        ..job(vec![step(1, 1_000)])
    };
    fixture
        .shard
        .add_job(JOB, spec, JobOrigin::New, fixture.now());
    let commands = fixture.poll(20);
    let Command::RequestApprovals { task, workers } = &commands[0] else {
        panic!("{commands:?}");
    };
    assert_eq!(workers.len(), 2);
    let rows = [("b".to_owned(), "ticket".to_owned())];
    fixture
        .shard
        .on_approvals(*task, &rows, ms(3_000), fixture.now());
    let commands = fixture.poll(20);
    assert!(
        matches!(&commands[0], Command::Start { worker, approval: Some(t), .. }
            if worker == "b" && t == "ticket"),
        "{commands:?}"
    );
}

#[test]
fn unanswered_start_to_a_restarted_worker_is_stopped_before_the_task_restarts() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let commands = fixture.poll(20);
    let Command::Start { worker, .. } = &commands[0] else {
        panic!("{commands:?}");
    };
    let restarted = Report {
        started_ms: 2,
        ..report(1)
    };
    fixture.now_ms += 20;
    let worker = worker.clone();
    fixture.report(&worker, &restarted);
    // The worker may still execute the start, so the task must not start on another worker before
    // the stop has a reply.
    let commands = fixture.poll(50);
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// Guards against a job with much work that occupies a worker while one with little work waits.
#[test]
fn job_with_the_least_remaining_work_starts_first() {
    let (large, small) = (JobId(1), JobId(2));
    let mut fixture = Fixture::new(&[worker("w", 1_000)]);
    let tasks = |count| Step {
        estimate_ms: 500,
        ..step(count, 1_000)
    };
    fixture
        .shard
        .add_job(large, job(vec![tasks(6)]), JobOrigin::New, fixture.now());
    fixture.now_ms += 5;
    fixture
        .shard
        .add_job(small, job(vec![tasks(1)]), JobOrigin::New, fixture.now());
    let first = fixture.starts(20)[0].0;
    assert_eq!(first.job, small);
}

#[test]
fn interference_estimates_are_stored_every_two_seconds() {
    let mut fixture = Fixture::new(&[worker("w", 4_000)]);
    let mut stored_at = Vec::new();
    for id in 1..=30 {
        fixture.now_ms += 200;
        let now = fixture.now_ms;
        fixture.report("w", &report(now));
        // A finished job makes a batch due at once.
        fixture.shard.add_job(
            JobId(id),
            job(vec![step(1, 1_000)]),
            JobOrigin::New,
            fixture.now(),
        );
        fixture.shard.cancel(JobId(id), fixture.now_ms);
        let batch = fixture
            .shard
            .take_batch(50, fixture.now())
            .expect("a finished job is stored");
        if batch.interference.is_some() {
            stored_at.push(fixture.now_ms);
        }
        fixture.shard.on_batch_result(&batch, true, fixture.now());
    }
    let gaps: Vec<_> = stored_at.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(stored_at.len() >= 2, "{stored_at:?}");
    assert!(gaps.iter().all(|gap| *gap == 2_000), "{gaps:?}");
}

/// Returns the ids in the next batch's list of workers in use, sorted, and stores the batch; `None`
/// if there is no such list.
fn store_workers_in_use(fixture: &mut Fixture) -> Option<Vec<String>> {
    let batch = fixture.shard.take_batch(90, fixture.now())?;
    fixture.shard.on_batch_result(&batch, true, fixture.now());
    let mut ids: Vec<_> = batch
        .workers_in_use?
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    ids.sort();
    Some(ids)
}

fn draining(id: &str) -> WorkerInfo {
    WorkerInfo {
        availability: Availability::Draining,
        ..worker(id, 4_000)
    }
}

#[test]
fn a_drained_worker_without_runs_is_removed_from_the_stored_list() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let stored = store_workers_in_use(&mut fixture);
    assert_eq!(stored.expect("a new leader stores the list"), ["a", "b"]);
    fixture.shard.worker_listed(&draining("a"), fixture.now());
    assert_eq!(fixture.poll(50), []);
    let stored = store_workers_in_use(&mut fixture);
    assert_eq!(stored.expect("the list has changed"), ["b"]);
    assert_eq!(fixture.poll(50), []);
    assert_eq!(store_workers_in_use(&mut fixture), None);
}

#[test_case(false; "draining")]
#[test_case(true; "unlisted")]
fn a_worker_with_an_unanswered_start_stays_in_the_stored_list(is_unlisted: bool) {
    let mut fixture = Fixture::new(&[worker("a", 4_000)]);
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    let commands = fixture.poll(20);
    let [Command::Start { task, attempt, .. }] = commands[..] else {
        panic!("{commands:?}");
    };
    store_workers_in_use(&mut fixture);
    if is_unlisted {
        fixture.shard.worker_unlisted("a", fixture.now());
    } else {
        fixture.shard.worker_listed(&draining("a"), fixture.now());
    }
    let silent = CommandReply::Silent;
    let now = fixture.now();
    fixture
        .shard
        .on_start_reply("a", task, attempt, silent, now);
    // The worker may execute the command later, also if a report does not list the task yet, and if
    // the command to stop it has no reply either.
    for _ in 0..50 {
        let now_ms = fixture.now_ms;
        fixture.report("a", &report(now_ms));
        for command in fixture.poll(50) {
            let now = fixture.now();
            match command {
                Command::Start { task, attempt, .. } => fixture
                    .shard
                    .on_start_reply("a", task, attempt, silent, now),
                Command::Stop { task, attempt, .. } => {
                    fixture.shard.on_stop_reply("a", task, attempt, silent, now)
                }
                _ => {}
            }
        }
        assert_eq!(store_workers_in_use(&mut fixture), None);
    }
    // An acknowledged stop prevents the execution; the next report shows that the task is not
    // running.
    fixture.shard.cancel(JOB, fixture.now_ms);
    let now = fixture.now();
    fixture
        .shard
        .on_stop_reply("a", task, attempt, CommandReply::Ok, now);
    fixture.now_ms += 10;
    let now_ms = fixture.now_ms;
    fixture.report("a", &report(now_ms));
    assert_eq!(fixture.starts(50), []);
    let stored = store_workers_in_use(&mut fixture);
    assert_eq!(stored.expect("the list has changed"), [""; 0]);
}

#[test]
fn a_worker_starts_no_task_before_it_is_in_the_stored_list() {
    let mut fixture = Fixture::new(&[]);
    fixture
        .shard
        .worker_listed(&worker("a", 4_000), fixture.now());
    fixture.report("a", &report(10));
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    assert_eq!(fixture.starts(50), []);
    let batch = fixture.shard.take_batch(90, fixture.now());
    let batch = batch.expect("a new worker is stored");
    assert_eq!(fixture.starts(50), []);
    // Without a result, the list may not be stored.
    fixture.shard.on_batch_result(&batch, false, fixture.now());
    assert_eq!(fixture.starts(50), []);
    store_workers_in_use(&mut fixture);
    assert_eq!(fixture.starts(50).len(), 1);
}

#[test]
fn a_worker_that_is_ready_again_starts_no_task_before_it_is_in_the_stored_list() {
    let mut fixture = Fixture::new(&[worker("a", 4_000)]);
    store_workers_in_use(&mut fixture);
    fixture.shard.worker_listed(&draining("a"), fixture.now());
    assert_eq!(fixture.poll(50), []);
    let batch = fixture.shard.take_batch(90, fixture.now());
    let batch = batch.expect("a drained worker is removed");
    fixture
        .shard
        .worker_listed(&worker("a", 4_000), fixture.now());
    fixture.shard.add_job(
        JOB,
        job(vec![step(1, 1_000)]),
        JobOrigin::New,
        fixture.now(),
    );
    assert_eq!(fixture.starts(50), []);
    // Without a result, the removal may be stored.
    fixture.shard.on_batch_result(&batch, false, fixture.now());
    assert_eq!(fixture.starts(50), []);
    let stored = store_workers_in_use(&mut fixture);
    assert_eq!(stored.expect("the list has changed"), ["a"]);
    assert_eq!(fixture.starts(50).len(), 1);
}

#[test]
fn a_silent_worker_that_is_not_in_the_stored_list_holds_up_no_inherited_job() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 2, base);
    shard.add_worker_in_use("a", "127.0.0.1:1", base);
    shard.worker_listed(&worker("a", 4_000), base);
    shard.worker_listed(&draining("b"), base);
    shard.worker_listed(&worker("c", 4_000), base);
    let origin = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), origin, base);
    shard.on_report("a", &report(5), base + ms(4), base + ms(5), 5);
    let commands = shard.poll(base + ms(10), 10);
    assert!(
        matches!(&commands[..], [Command::Start { worker, .. }] if worker == "a"),
        "{commands:?}"
    );
}

fn long_running_job() -> JobSpec {
    let step = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    job(vec![step])
}

/// Stores the next batch and returns the workers that its rows name; `None` if no batch is due.
fn store_placements(fixture: &mut Fixture) -> Option<Vec<String>> {
    let batch = fixture.shard.take_batch(90, fixture.now())?;
    fixture.shard.on_batch_result(&batch, true, fixture.now());
    let rows = batch.rows.iter().flat_map(|(_, row)| {
        let progress = Progress::decode(row).expect("a row that was just encoded");
        progress.placements
    });
    Some(rows.map(|placement| placement.worker).collect())
}

#[test]
fn a_long_running_task_restarts_once_its_stored_placement_is_removed() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    store_placements(&mut fixture);
    fixture
        .shard
        .add_job(JOB, long_running_job(), JobOrigin::New, fixture.now());
    let (task, on) = fixture.starts(20)[0].clone();
    fixture.now_ms += 150;
    assert_eq!(store_placements(&mut fixture), Some(vec![on.clone()]));
    let now_ms = fixture.now_ms;
    let end = Report {
        finished: vec![finished_row(1, task, EndReason::Failed)],
        ..report(now_ms)
    };
    fixture.report(&on, &end);
    assert_eq!(fixture.starts(100), []);
    let batch = fixture.shard.take_batch(90, fixture.now());
    let batch = batch.expect("the removal is urgent");
    assert_eq!(fixture.starts(100), []);
    // Without a result, the removal may not be stored.
    fixture.shard.on_batch_result(&batch, false, fixture.now());
    assert_eq!(fixture.starts(100), []);
    assert_eq!(store_placements(&mut fixture), Some(vec![]));
    assert_eq!(fixture.starts(100).len(), 1);
}

#[test]
fn a_long_running_task_waits_only_for_the_worker_that_its_stored_placement_names() {
    let mut fixture = Fixture::new(&[worker("b", 4_000)]);
    for id in ["a", "silent"] {
        let now = fixture.now();
        fixture.shard.add_worker_in_use(id, "127.0.0.1:2", now);
    }
    store_placements(&mut fixture);
    let stored = |placements| {
        JobOrigin::Stored(Progress {
            started: true,
            placements,
            ..Progress::default()
        })
    };
    let on_a = PlacementRecord {
        worker: "a".to_owned(),
        ..PlacementRecord::default()
    };
    let now = fixture.now();
    fixture
        .shard
        .add_job(JOB, long_running_job(), stored(vec![on_a]), now);
    fixture
        .shard
        .add_job(JobId(8), long_running_job(), stored(vec![]), now);
    assert_eq!(fixture.starts(100), []);
    assert_eq!(store_placements(&mut fixture), None);
    let now_ms = fixture.now_ms;
    fixture.report("a", &report(now_ms));
    assert_eq!(fixture.starts(50), []);
    assert_eq!(store_placements(&mut fixture), Some(vec![]));
    let starts = fixture.starts(50);
    let jobs: Vec<_> = starts.iter().map(|(task, _)| task.job).collect();
    assert_eq!(jobs, [JOB], "job 8 may run on the silent worker");
}

#[test_case(false; "without losses")]
#[test_case(true; "with losses")]
fn placements_follow_the_fields_that_earlier_versions_read(has_losses: bool) {
    let earlier = Progress {
        started: true,
        losses: vec![LossRecord::default(); usize::from(has_losses)],
        ..Progress::default()
    };
    let progress = Progress {
        placements: vec![PlacementRecord {
            worker: "a".to_owned(),
            ..PlacementRecord::default()
        }],
        ..earlier.clone()
    };
    let row = progress.encode();
    assert_eq!(Progress::decode(&row), Ok(progress));
    assert_eq!(Progress::decode(&earlier.encode()), Ok(earlier.clone()));
    // Earlier versions read the losses by `postcard::from_bytes`.
    let (_, rest): (Progress, _) = postcard::take_from_bytes(&row).expect("the fixed fields");
    assert_eq!(postcard::from_bytes(rest), Ok(earlier.losses));
}

/// A leader that stalls after the first report of a worker has granted it no lease, but an earlier
/// leader may have.
#[test]
fn a_run_that_an_earlier_leader_started_is_not_lost_before_its_lease_has_expired() {
    let mut fixture = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let origin = JobOrigin::Stored(Progress::default());
    let now = fixture.now();
    fixture
        .shard
        .add_job(JOB, job(vec![step(1, 1_000)]), origin, now);
    let running = RunningRow {
        task: TaskName {
            job: JOB,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        attempt: 1,
        checkpoint: String::new(),
        percent: 10.0,
        usage: None,
    };
    let with_run = Report {
        running: vec![running],
        ..report(20)
    };
    fixture.now_ms = 20;
    fixture.report("a", &with_run);
    fixture.now_ms = 2_800;
    let limit_ms = Params::default().unknown_run_limit.as_millis() as u64;
    let mut restarted_ms = None;
    while restarted_ms.is_none() && fixture.now_ms < 9_000 {
        fixture.now_ms += 50;
        let now_ms = fixture.now_ms;
        fixture.shard.confirm(fixture.now());
        fixture.report("b", &report(now_ms));
        if !fixture.starts(0).is_empty() {
            restarted_ms = Some(now_ms);
        }
    }
    let restarted_ms = restarted_ms.expect("the task restarts");
    assert!(
        (limit_ms..limit_ms + 300).contains(&restarted_ms),
        "{restarted_ms}"
    );
}

/// A job of two occurrences, of which an earlier leader has started both; to this leader, whose clock is
/// behind, the second is not due yet. The batch that is in progress while it is added names its worker.
#[test]
fn a_placement_of_an_occurrence_that_is_added_during_a_write_stays_in_force() {
    let mut fixture = Fixture::new(&[worker("b", 4_000)]);
    let now = fixture.now();
    fixture
        .shard
        .add_worker_in_use("silent", "127.0.0.1:2", now);
    store_placements(&mut fixture);
    let placement = |occurrence, worker: &str| PlacementRecord {
        occurrence,
        worker: worker.to_owned(),
        ..PlacementRecord::default()
    };
    let origin = JobOrigin::Stored(Progress {
        started: true,
        placements: vec![placement(0, "b"), placement(1, "silent")],
        ..Progress::default()
    });
    let spec = JobSpec {
        occurrences: 2,
        first_ms: 0,
        interval_ms: 500,
        ..long_running_job()
    };
    fixture.shard.add_job(JOB, spec, origin, now);
    // The worker `b` has answered and runs nothing.
    assert_eq!(fixture.starts(60), []);
    let batch = fixture.shard.take_batch(90, fixture.now());
    let batch = batch.expect("the removal of the first placement is urgent");
    let row = Progress::decode(&batch.rows[0].1).expect("a row that was just encoded");
    assert_eq!(row.placements, [placement(1, "silent")]);
    fixture.now_ms = 500;
    let now_ms = fixture.now_ms;
    fixture.report("b", &report(now_ms));
    assert_eq!(fixture.starts(10), []);
    fixture.shard.on_batch_result(&batch, true, fixture.now());
    let mut started = Vec::new();
    for _ in 0..10 {
        started.extend(fixture.starts(50));
        store_placements(&mut fixture);
    }
    let limit = Params::default().unknown_run_limit.as_millis() as u64;
    assert!(fixture.now_ms < limit);
    let occurrences: Vec<_> = started.iter().map(|(task, _)| task.occurrence).collect();
    assert_eq!(
        occurrences,
        [0],
        "the second may run on the silent worker, which the stored row names"
    );
}
