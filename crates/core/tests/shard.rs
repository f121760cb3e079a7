//! The leader's state machine, one rule at a time.

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

fn done(number: u64, task: TaskName, reason: EndReason) -> FinishedRow {
    FinishedRow {
        number,
        task,
        attempt: 1,
        reason,
        checkpoint: String::new(),
    }
}

/// A shard with workers that have answered, and its time.
struct Bench {
    shard: Shard,
    base: Instant,
    now: u64,
}

impl Bench {
    fn new(workers: &[WorkerInfo]) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        for info in workers {
            shard.worker_listed(info, base);
        }
        let mut bench = Self {
            shard,
            base,
            now: 10,
        };
        for info in workers {
            bench.report(&info.id, &report(10));
        }
        bench
    }

    fn at(&self) -> Instant {
        self.base + ms(self.now)
    }

    fn report(&mut self, id: &str, report: &Report) {
        let sent = self.at() - ms(1);
        self.shard.on_report(id, report, sent, self.at(), self.now);
    }

    fn poll(&mut self, after: u64) -> Vec<Command> {
        self.now += after;
        self.shard.poll(self.at(), self.now)
    }

    /// Polls and answers all starts; returns the tasks with their workers.
    fn starts(&mut self, after: u64) -> Vec<(TaskName, String)> {
        let commands = self.poll(after);
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
fn an_end_is_acknowledged_only_once_it_is_stored() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (task, _) = b.starts(20)[0].clone();
    let ended = Report {
        finished: vec![done(1, task, EndReason::Done)],
        ..report(100)
    };
    b.now = 100;
    b.report("w", &ended);
    let acked = |b: &mut Bench| {
        b.shard
            .prepare_report_request("w", b.base + ms(b.now))
            .expect("it is known")
            .0
    };
    assert_eq!(acked(&mut b), 0);
    let batch = b.shard.take_batch(10, b.at()).expect("a job is over");
    // The row is under way: nothing is acknowledged, and the caller is not told.
    assert_eq!(acked(&mut b), 0);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Running));
    b.shard.on_batch_result(&batch, true, b.at());
    assert_eq!(acked(&mut b), 1);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Completed));
}

#[test]
fn a_failure_that_was_stored_is_not_counted_again() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
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
    let found = JobOrigin::Stored(progress);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), found, b.at());
    let again = Report {
        finished: vec![done(1, task, EndReason::Failed)],
        ..report(20)
    };
    b.report("w", &again);
    assert_eq!(b.shard.job_state(JOB), Some(JobState::Running));
    assert_eq!(b.starts(50).len(), 1);
}

#[test]
fn a_silent_worker_is_not_renewed_and_its_task_starts_elsewhere() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (_, silent) = b.starts(20)[0].clone();
    let other = if silent == "a" { "b" } else { "a" };
    let mut started = None;
    for _ in 0..180 {
        b.now += 50;
        b.shard.confirm(b.at());
        // Asking for reports goes on all the time.
        b.shard.prepare_report_request(&silent, b.at());
        let now = b.now;
        b.report(other, &report(now));
        if let Some((_, worker)) = b.starts(0).first() {
            started = Some((b.now, worker.clone()));
            break;
        }
    }
    let (at, worker) = started.expect("the task starts again");
    assert_eq!(worker, other);
    // The lease runs from the last renewal, at most 1.7 s after the last answer.
    let lease = Params::default().lease.as_millis() as u64;
    assert!((lease..lease + 2_500).contains(&at), "{at}");
}

#[test]
fn lapsed_work_waits_until_the_store_shows_that_nobody_else_leads() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (_, silent) = b.starts(20)[0].clone();
    let other = if silent == "a" { "b" } else { "a" };
    for _ in 0..200 {
        b.now += 50;
        let now = b.now;
        b.report(other, &report(now));
        // Without a confirmation another leader may have renewed the lease.
        assert_eq!(b.starts(0), []);
    }
    assert!(b.shard.awaits_confirmation());
    b.shard.confirm(b.at());
    assert_eq!(b.starts(50).len(), 1);
}

#[test]
fn work_of_an_earlier_leader_waits_for_all_workers() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 2, base);
    shard.worker_listed(&worker("a", 4_000), base);
    shard.add_worker_in_use("b", "127.0.0.1:2", base);
    let found = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), found, base);
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
    // A job that was accepted for this leader runs nowhere yet.
    assert_eq!(started(shard.poll(at(10), 10)), [JobId(8)]);
    assert_eq!(started(shard.poll(at(900), 900)), []);
    shard.on_report("b", &report(1_000), at(950), at(1_000), 1_000);
    assert_eq!(started(shard.poll(at(1_100), 1_100)), [JOB]);
}

#[test]
fn the_first_attempt_after_a_takeover_is_above_those_of_the_leader_before() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 3, base);
    shard.worker_listed(&worker("a", 4_000), base);
    let found = JobOrigin::Stored(Progress::default());
    shard.add_job(JOB, job(vec![step(1, 1_000)]), found, base);
    shard.on_report("a", &report(5), base + ms(4), base + ms(5), 5);
    let commands = shard.poll(base + ms(50), 50);
    assert!(
        matches!(commands[0], Command::Start { attempt: 300, .. }),
        "{commands:?}"
    );
}

#[test]
fn steps_start_in_order() {
    let mut b = Bench::new(&[worker("w", 9_000)]);
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
    let one = Report {
        finished: vec![done(1, first[0].0, EndReason::Done)],
        running: vec![running(first[1].0, 50.0)],
        ..report(60)
    };
    b.now = 60;
    b.report("w", &one);
    assert_eq!(b.starts(30), []);
    let both = Report {
        finished: vec![
            done(1, first[0].0, EndReason::Done),
            done(2, first[1].0, EndReason::Done),
        ],
        ..report(120)
    };
    b.now = 120;
    b.report("w", &both);
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

#[test_case(3, 4_000, 0; "all of a gang or none")]
#[test_case(3, 9_000, 3; "a gang that fits")]
fn a_gang_starts_whole(members: u32, cpu: i64, expected: usize) {
    let mut b = Bench::new(&[worker("w", cpu)]);
    let gang = Step {
        gang: true,
        ..step(members, 2_000)
    };
    b.shard
        .add_job(JOB, job(vec![gang]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20).len(), expected);
}

#[test]
fn a_lasting_task_gets_a_worker_that_short_ones_would_take_for_ever() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
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
        let ended = (1..=n).map(|i| done(i, short[i as usize - 1].0, EndReason::Done));
        let rows = short[n as usize..].iter().map(|(t, _)| running(*t, 50.0));
        b.now += 50;
        let so_far = Report {
            finished: ended.collect(),
            running: rows.collect(),
            ..report(b.now)
        };
        b.report("w", &so_far);
        let started = b.starts(20);
        let jobs: Vec<_> = started.iter().map(|(t, _)| t.job).collect();
        let expected = if n == 3 { vec![JOB] } else { vec![] };
        assert_eq!(jobs, expected, "after {n} ends");
    }
}

#[test]
fn a_task_that_stands_still_moves_to_another_worker() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let (task, stuck) = b.starts(20)[0].clone();
    let mut stopped = None;
    for _ in 0..80 {
        b.now += 50;
        let still = Report {
            running: vec![running(task, 10.0)],
            ..report(b.now)
        };
        b.report(&stuck, &still);
        let commands = b.poll(0);
        if commands.iter().any(|o| matches!(o, Command::Stop { .. })) {
            stopped = Some(b.now);
            break;
        }
    }
    let at = stopped.expect("it is stopped");
    assert!((2_500..3_200).contains(&at), "{at}");
    b.shard
        .on_stop_reply(&stuck, task, 1, CommandReply::Ok, b.at());
    let ended = Report {
        finished: vec![done(1, task, EndReason::Stopped)],
        ..report(b.now + 50)
    };
    b.now += 50;
    let (now, other) = (b.now, if stuck == "a" { "b" } else { "a" });
    b.report(other, &report(now));
    b.report(&stuck, &ended);
    assert_eq!(b.starts(30)[0].1, other);
}

#[test]
fn a_draining_worker_gets_nothing_and_its_lasting_tasks_move_at_once() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let long_running = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    b.shard
        .add_job(JOB, job(vec![long_running]), JobOrigin::New, b.at());
    let (_, on) = b.starts(20)[0].clone();
    let leaving = WorkerInfo {
        availability: Availability::Draining,
        ..worker(&on, 4_000)
    };
    b.shard.worker_listed(&leaving, b.at());
    let commands = b.poll(50);
    assert!(matches!(&commands[0], Command::Stop { worker, .. } if *worker == on));
    b.shard
        .add_job(JobId(2), job(vec![step(3, 1_000)]), JobOrigin::New, b.at());
    assert!(b.starts(50).iter().all(|(_, w)| *w != on));
}

#[test]
fn a_round_starts_when_it_is_due() {
    let mut b = Bench::new(&[worker("w", 9_000)]);
    let timed = JobSpec {
        occurrences: 2,
        first_ms: 1_000,
        interval_ms: 300,
        ..job(vec![step(1, 1_000)])
    };
    b.shard.add_job(JOB, timed, JobOrigin::New, b.at());
    let mut starts = Vec::new();
    while b.now < 1_500 {
        let now = b.now;
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
                starts.push((task.occurrence, b.now));
            }
        }
    }
    assert!(matches!(starts[0], (0, 1_000..1_160)), "{starts:?}");
    assert!(matches!(starts[1], (1, 1_300..1_460)), "{starts:?}");
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(2, 1_000)]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20).len(), 2);
    b.shard.cancel(JOB, 30);
    let stops = b.poll(5);
    assert_eq!(stops.len(), 2);
    let batch = b.shard.take_batch(10, b.at()).expect("a job is over");
    let row = Progress::decode(&batch.rows[0].1).expect("the row is whole");
    assert_eq!(row.outcome, JobOutcome::Cancelled);
}

#[test]
fn a_cancellation_that_comes_first_counts() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
    b.shard.cancel(JOB, 30);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    assert_eq!(b.starts(20), []);
}

#[test]
fn a_step_with_an_advised_queue_waits_for_its_approval() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    let advised = JobSpec {
        needs_approval: true,
        ..job(vec![step(1, 1_000)])
    };
    b.shard.add_job(JOB, advised, JobOrigin::New, b.at());
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
fn an_order_in_flight_to_a_worker_that_began_anew_is_settled_by_a_stop() {
    let mut b = Bench::new(&[worker("a", 4_000), worker("b", 4_000)]);
    b.shard
        .add_job(JOB, job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
    let commands = b.poll(20);
    let Command::Start { worker, .. } = &commands[0] else {
        panic!("{commands:?}");
    };
    let anew = Report {
        started_ms: 2,
        ..report(1)
    };
    b.now += 20;
    let worker = worker.clone();
    b.report(&worker, &anew);
    // It may be carried out yet, so the task starts nowhere else before the stop is answered.
    let commands = b.poll(50);
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// A job that filled a worker for long went before one that would soon be over.
#[test]
fn the_job_with_the_least_work_left_goes_first() {
    let (large, small) = (JobId(1), JobId(2));
    let mut b = Bench::new(&[worker("w", 1_000)]);
    let tasks = |count| Step {
        estimate_ms: 500,
        ..step(count, 1_000)
    };
    b.shard
        .add_job(large, job(vec![tasks(6)]), JobOrigin::New, b.at());
    b.now += 5;
    b.shard
        .add_job(small, job(vec![tasks(1)]), JobOrigin::New, b.at());
    let first = b.starts(20)[0].0;
    assert_eq!(first.job, small);
}

#[test]
fn what_was_learnt_leaves_with_a_write_every_two_seconds() {
    let mut b = Bench::new(&[worker("w", 4_000)]);
    let mut learnt = Vec::new();
    for id in 1..=30 {
        b.now += 200;
        let now = b.now;
        b.report("w", &report(now));
        // Each end of a job is written at once.
        b.shard
            .add_job(JobId(id), job(vec![step(1, 1_000)]), JobOrigin::New, b.at());
        b.shard.cancel(JobId(id), b.now);
        let batch = b.shard.take_batch(50, b.at()).expect("an end is stored");
        if batch.interference.is_some() {
            learnt.push(b.now);
        }
        b.shard.on_batch_result(&batch, true, b.at());
    }
    let gaps: Vec<_> = learnt.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(learnt.len() >= 2, "{learnt:?}");
    assert!(gaps.iter().all(|gap| *gap == 2_000), "{gaps:?}");
}
