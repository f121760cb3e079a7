//! Unit tests of a shard's state at its leader.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::{JobOutcome, JobState, Progress, TaskRecord},
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

/// A shard whose workers have each sent a report, with a simulated clock.
struct Fixture {
    shard: Shard,
    base: Instant,
    /// Milliseconds since `base`; also used as Unix time.
    now_ms: u64,
}

impl Fixture {
    fn new(workers: &[WorkerInfo]) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        for info in workers {
            shard.worker_listed(info, base);
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

    fn at(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    fn report(&mut self, id: &str, report: &Report) {
        let sent = self.at() - ms(1);
        self.shard
            .on_report(id, report, sent, self.at(), self.now_ms);
    }

    /// Advances the clock by `after_ms` and polls.
    fn poll(&mut self, after_ms: u64) -> Vec<Command> {
        self.now_ms += after_ms;
        self.shard.poll(self.at(), self.now_ms)
    }

    /// Polls and acknowledges all starts; returns the tasks with their workers.
    fn starts(&mut self, after_ms: u64) -> Vec<(TaskName, String)> {
        let commands = self.poll(after_ms);
        let starts = commands.into_iter().filter_map(|command| match command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                let now = self.at();
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
    let mut b = Fixture::new(&[worker("w", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (task, _) = b.starts(20)[0].clone();
    let end_report = Report {
        finished: vec![finished_row(1, task, EndReason::Done)],
        ..report(100)
    };
    b.now_ms = 100;
    b.report("w", &end_report);
    let acked = |b: &mut Fixture| {
        b.shard
            .prepare_report_request("w", b.base + ms(b.now_ms))
            .expect("the worker is known")
            .0
    };
    assert_eq!(acked(&mut b), 0);
    let batch = b
        .shard
        .take_batch(10, b.at())
        .expect("a finished job is stored");
    // Until the write has a result, neither the worker nor the caller learns of the end.
    assert_eq!(acked(&mut b), 0);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Running));
    b.shard.on_batch_result(&batch, true, b.at());
    assert_eq!(acked(&mut b), 1);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Completed));
}

#[test]
fn stored_failure_is_not_counted_twice() {
    let mut b = Fixture::new(&[worker("w", 4_000)]);
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
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), origin, b.at());
    let repeated = Report {
        finished: vec![finished_row(1, task, EndReason::Failed)],
        ..report(20)
    };
    b.report("w", &repeated);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Running));
    assert_eq!(b.starts(50).len(), 1);
}

#[test]
fn lease_of_an_unresponsive_worker_expires_and_its_task_restarts_on_another() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (_, unresponsive) = b.starts(20)[0].clone();
    let other = if unresponsive == "a" { "b" } else { "a" };
    let mut started = None;
    for _ in 0..180 {
        b.now_ms += 50;
        b.shard.confirm(b.at());
        // Report requests to the unresponsive worker continue.
        b.shard.prepare_report_request(&unresponsive, b.at());
        let now = b.now_ms;
        b.report(other, &report(now));
        if let Some((_, worker)) = b.starts(0).first() {
            started = Some((b.now_ms, worker.clone()));
            break;
        }
    }
    let (at, worker) = started.expect("the task restarts");
    assert_eq!(worker, other);
    // The lease is last renewed at most 1.7 s after the last report.
    let lease = Params::default().lease.as_millis() as u64;
    assert!((lease..lease + 2_500).contains(&at), "{at}");
}

#[test]
fn restart_after_expiry_waits_until_the_store_confirms_the_leadership() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (_, unresponsive) = b.starts(20)[0].clone();
    let other = if unresponsive == "a" { "b" } else { "a" };
    for _ in 0..200 {
        b.now_ms += 50;
        let now = b.now_ms;
        b.report(other, &report(now));
        // Without a confirmation another leader may have renewed the lease.
        assert_eq!(b.starts(0), []);
    }
    assert!(b.shard.awaits_confirmation());
    b.shard.confirm(b.at());
    assert_eq!(b.starts(50).len(), 1);
}

#[test]
fn inherited_job_waits_for_reports_of_all_workers() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 2, base);
    shard.worker_listed(&worker("a", 4_000), base);
    shard.add_worker_in_use("b", "127.0.0.1:2", base);
    let origin = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), origin, base);
    shard.add_job(JobId(8), job(vec![step(1, 1_000)]), JobOrigin::New, base);
    let at = |n| base + ms(n);
    shard.on_report("a", &report(5), at(4), at(5), 5);
    let started = |commands: Vec<Command>| -> Vec<JobId> {
        let jobs = commands.into_iter().filter_map(|o| match o {
            Command::Start { task, .. } => Some(task.job),
            _ => None,
        });
        jobs.collect()
    };
    // A job accepted by this leader can't have a run yet, so it need not wait.
    assert_eq!(started(shard.poll(at(10), 10)), [JobId(8)]);
    assert_eq!(started(shard.poll(at(900), 900)), []);
    shard.on_report("b", &report(1_000), at(950), at(1_000), 1_000);
    assert_eq!(started(shard.poll(at(1_100), 1_100)), [JOB]);
}

#[test]
fn attempts_after_a_takeover_are_above_those_of_the_previous_leader() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 3, base);
    shard.worker_listed(&worker("a", 4_000), base);
    let origin = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), origin, base);
    shard.on_report("a", &report(5), base + ms(4), base + ms(5), 5);
    let commands = shard.poll(base + ms(50), 50);
    assert!(
        matches!(commands[0], Command::Start { attempt: 300, .. }),
        "{commands:?}"
    );
}

#[test]
fn step_starts_after_the_steps_that_it_depends_on() {
    let mut b = Fixture::new(&[worker("w", 9_000)]);
    let second = Step {
        after: vec![0],
        ..step(1, 1_000)
    };
    b.shard.add_job(
        JOB,
        job(vec![step(2, 1_000), second]),
        JobOrigin::New,
        b.at(),
    );
    let first = b.starts(20);
    assert!(first.iter().all(|(t, _)| t.step == 0) && first.len() == 2);
    let one_done = Report {
        finished: vec![finished_row(1, first[0].0, EndReason::Done)],
        running: vec![running(first[1].0, 50.0)],
        ..report(60)
    };
    b.now_ms = 60;
    b.report("w", &one_done);
    assert_eq!(b.starts(30), []);
    let both_done = Report {
        finished: vec![
            finished_row(1, first[0].0, EndReason::Done),
            finished_row(2, first[1].0, EndReason::Done),
        ],
        ..report(120)
    };
    b.now_ms = 120;
    b.report("w", &both_done);
    assert_eq!(b.starts(30)[0].0.step, 1);
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
    let mut b = Fixture::new(&[worker("w", cpu)]);
    let gang = Step {
        gang: true,
        ..step(members, 2_000)
    };
    b.shard
        .add_job(JOB, job(vec![gang]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20).len(), expected);
}

#[test]
fn worker_is_reserved_for_a_waiting_long_running_task() {
    let mut b = Fixture::new(&[worker("w", 4_000)]);
    b.shard
        .add_job(JobId(1), job(vec![step(4, 1_000)]), JobOrigin::New, b.at());
    let short = b.starts(20);
    assert_eq!(short.len(), 4);
    let long_running = Step {
        long_running: true,
        ..step(1, 3_000)
    };
    b.shard
        .add_job(JOB, job(vec![long_running]), JobOrigin::New, b.at());
    b.shard
        .add_job(JobId(2), job(vec![step(9, 1_000)]), JobOrigin::New, b.at());
    for n in 1..=3 {
        let ended = (1..=n).map(|i| finished_row(i, short[i as usize - 1].0, EndReason::Done));
        let rows = short[n as usize..].iter().map(|(t, _)| running(*t, 50.0));
        b.now_ms += 50;
        let progress = Report {
            finished: ended.collect(),
            running: rows.collect(),
            ..report(b.now_ms)
        };
        b.report("w", &progress);
        let started = b.starts(20);
        let jobs: Vec<_> = started.iter().map(|(t, _)| t.job).collect();
        let expected = if n == 3 { vec![JOB] } else { vec![] };
        assert_eq!(jobs, expected, "after {n} ended tasks");
    }
}

#[test]
fn stuck_task_moves_to_another_worker() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (task, stuck) = b.starts(20)[0].clone();
    let mut stopped = None;
    for _ in 0..80 {
        b.now_ms += 50;
        let no_progress = Report {
            running: vec![running(task, 10.0)],
            ..report(b.now_ms)
        };
        b.report(&stuck, &no_progress);
        let commands = b.poll(0);
        if commands.iter().any(|o| matches!(o, Command::Stop { .. })) {
            stopped = Some(b.now_ms);
            break;
        }
    }
    let at = stopped.expect("the task is stopped");
    assert!((2_500..3_200).contains(&at), "{at}");
    b.shard
        .on_stop_reply(&stuck, task, 1, CommandReply::Ok, b.at());
    let end_report = Report {
        finished: vec![finished_row(1, task, EndReason::Stopped)],
        ..report(b.now_ms + 50)
    };
    b.now_ms += 50;
    let (now, other) = (b.now_ms, if stuck == "a" { "b" } else { "a" });
    b.report(other, &report(now));
    b.report(&stuck, &end_report);
    assert_eq!(b.starts(30)[0].1, other);
}

#[test]
fn draining_worker_gets_no_tasks_and_its_long_running_ones_are_stopped_at_once() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let long_running = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    b.shard
        .add_job(JOB, job(vec![long_running]), JobOrigin::New, b.at());
    let (_, draining) = b.starts(20)[0].clone();
    let draining_info = WorkerInfo {
        availability: Availability::Draining,
        ..worker(&draining, 4_000)
    };
    b.shard.worker_listed(&draining_info, b.at());
    let commands = b.poll(50);
    assert!(matches!(&commands[0], Command::Stop { worker, .. } if *worker == draining));
    b.shard
        .add_job(JobId(2), job(vec![step(3, 1_000)]), JobOrigin::New, b.at());
    assert!(b.starts(50).iter().all(|(_, w)| *w != draining));
}

#[test]
fn occurrence_starts_when_it_is_due() {
    let mut b = Fixture::new(&[worker("w", 9_000)]);
    let scheduled = JobSpec {
        occurrences: 2,
        first_ms: 1_000,
        interval_ms: 300,
        ..job(vec![step(1, 1_000)])
    };
    b.shard.add_job(JOB, scheduled, JobOrigin::New, b.at());
    let mut starts = Vec::new();
    while b.now_ms < 1_500 {
        let now = b.now_ms;
        b.report(
            "w",
            &Report {
                running: Vec::new(),
                ..report(now)
            },
        );
        for (task, _) in b.starts(20) {
            if !starts
                .iter()
                .any(|(occurrence, _)| *occurrence == task.occurrence)
            {
                starts.push((task.occurrence, b.now_ms));
            }
        }
    }
    assert!(matches!(starts[0], (0, 1_000..1_160)), "{starts:?}");
    assert!(matches!(starts[1], (1, 1_300..1_460)), "{starts:?}");
}

#[test]
fn cancellation_stops_the_runs_and_is_stored() {
    let mut b = Fixture::new(&[worker("w", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(2, 1_000)]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20).len(), 2);
    b.shard.cancel(JOB, 30);
    let stops = b.poll(5);
    assert_eq!(stops.len(), 2);
    let batch = b
        .shard
        .take_batch(10, b.at())
        .expect("a finished job is stored");
    let row = Progress::decode(&batch.rows[0].1).expect("the row decodes");
    assert_eq!(row.outcome, JobOutcome::Cancelled);
}

#[test]
fn job_cancelled_before_it_is_added_does_not_start() {
    let mut b = Fixture::new(&[worker("w", 4_000)]);
    b.shard.cancel(JOB, 30);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20), []);
}

#[test]
fn step_that_needs_approval_waits_for_it() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let spec = JobSpec {
        needs_approval: true,
        ..job(vec![step(1, 1_000)])
    };
    b.shard.add_job(JOB, spec, JobOrigin::New, b.at());
    let commands = b.poll(20);
    let Command::RequestApprovals { task, workers } = &commands[0] else {
        panic!("{commands:?}");
    };
    assert_eq!(workers.len(), 2);
    let rows = [("b".to_owned(), "ticket".to_owned())];
    b.shard.on_approvals(*task, &rows, ms(3_000), b.at());
    let commands = b.poll(20);
    assert!(
        matches!(&commands[0], Command::Start { worker, approval: Some(t), .. }
            if worker == "b" && t == "ticket"),
        "{commands:?}"
    );
}

#[test]
fn unanswered_start_to_a_restarted_worker_is_stopped_before_the_task_restarts() {
    let mut b = Fixture::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let commands = b.poll(20);
    let Command::Start { worker, .. } = &commands[0] else {
        panic!("{commands:?}");
    };
    let restarted = Report {
        started_ms: 2,
        ..report(1)
    };
    b.now_ms += 20;
    let worker = worker.clone();
    b.report(&worker, &restarted);
    // The worker may still execute the start, so the task must not start on another worker before
    // the stop has a reply.
    let commands = b.poll(50);
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// Guards against a large job that occupies a worker while a short job waits.
#[test]
fn job_with_the_least_remaining_work_starts_first() {
    let (large, small) = (JobId(1), JobId(2));
    let mut b = Fixture::new(&[worker("w", 1_000)]);
    let tasks = |count| Step {
        estimate_ms: 500,
        ..step(count, 1_000)
    };
    b.shard
        .add_job(large, job(vec![tasks(6)]), JobOrigin::New, b.at());
    b.now_ms += 5;
    b.shard
        .add_job(small, job(vec![tasks(1)]), JobOrigin::New, b.at());
    let first = b.starts(20)[0].0;
    assert_eq!(first.job, small);
}

#[test]
fn interference_estimates_are_stored_every_two_seconds() {
    let mut b = Fixture::new(&[worker("w", 4_000)]);
    let mut stored_at = Vec::new();
    for id in 1..=30 {
        b.now_ms += 200;
        let now = b.now_ms;
        b.report("w", &report(now));
        // A finished job makes a batch due at once.
        b.shard
            .add_job(JobId(id), job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
        b.shard.cancel(JobId(id), b.now_ms);
        let batch = b
            .shard
            .take_batch(50, b.at())
            .expect("a finished job is stored");
        if batch.interference.is_some() {
            stored_at.push(b.now_ms);
        }
        b.shard.on_batch_result(&batch, true, b.at());
    }
    let gaps: Vec<_> = stored_at.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(stored_at.len() >= 2, "{stored_at:?}");
    assert!(gaps.iter().all(|gap| *gap == 2_000), "{gaps:?}");
}
