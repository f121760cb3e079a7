//! Tests that starts don't exceed the capacity of workers, also of those that don't enforce it.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, CommandReply, Report, RunningRow, WorkerInfo},
    },
    std::time::{Duration, Instant},
};

const WORKER: &str = "w";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the only worker, with a capacity of `cpu` thousandths of a core.
fn worker(cpu: i64) -> WorkerInfo {
    WorkerInfo {
        id: WORKER.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 1,
        remaining_ms: None,
    }
}

/// Returns a job with one task that requests `cpu` thousandths of a core.
fn job(cpu: i64) -> JobSpec {
    JobSpec {
        service: "s".to_owned(),
        max_attempts: 2,
        steps: vec![Step {
            count: 1,
            request: Resources {
                cpu,
                mem_mb: 100,
                gpu: 0,
            },
            ..Step::default()
        }],
        token: 1,
        ..JobSpec::default()
    }
}

/// Returns a report with the running attempts `running`, of a worker whose clock shows `clock_ms`.
fn report(clock_ms: u64, running: &[TaskName]) -> Report {
    let row = |task: &TaskName| RunningRow {
        task: *task,
        attempt: 1,
        checkpoint: String::new(),
        percent: 10.0,
        usage: None,
    };
    Report {
        started_ms: 1,
        clock_ms,
        running: running.iter().map(row).collect(),
        ..Report::default()
    }
}

/// Returns a shard whose worker, with a capacity of `cpu`, is sent the start command of a job that
/// requests 1,500; and the task and attempt.
fn started(cpu: i64, base: Instant) -> (Shard, TaskName, u32) {
    let mut shard = Shard::new(Params::default(), 1, base);
    shard.worker_listed(&worker(cpu), base);
    shard.add_worker_in_use(WORKER, &worker(cpu).address, base);
    shard.on_report(WORKER, &report(10, &[]), base, base + ms(10), 10);
    shard.add_job(JobId(1), job(1_500), JobOrigin::New, base + ms(10));
    let commands = shard.poll(base + ms(50), 50);
    let [Command::Start { task, attempt, .. }] = commands[..] else {
        panic!("{commands:?}");
    };
    (shard, task, attempt)
}

/// Guards against starts beside an attempt that is being stopped but was not started by this
/// leader, such as one of a job that is over.
#[test]
fn an_attempt_that_is_not_needed_takes_up_capacity_until_it_has_ended() {
    let base = Instant::now();
    let mut shard = Shard::new(Params::default(), 1, base);
    shard.worker_listed(&worker(1_000), base);
    shard.add_worker_in_use(WORKER, &worker(1_000).address, base);
    let unknown = TaskName {
        job: JobId(99),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    shard.on_report(WORKER, &report(10, &[unknown]), base, base + ms(10), 10);
    shard.add_job(JobId(1), job(1_000), JobOrigin::New, base + ms(10));
    let commands = shard.poll(base + ms(50), 50);
    assert!(
        matches!(&commands[..], [Command::Stop { task, .. }] if *task == unknown),
        "{commands:?}"
    );
    shard.on_report(
        WORKER,
        &report(100, &[]),
        base + ms(60),
        base + ms(100),
        100,
    );
    let commands = shard.poll(base + ms(150), 150);
    assert!(
        matches!(&commands[..], [Command::Start { .. }]),
        "{commands:?}"
    );
}

/// Guards against a start command that gets no reply and is sent again after the capacity of the
/// worker has shrunk.
#[test]
fn an_unanswered_start_is_not_repeated_on_a_worker_that_has_shrunk() {
    let base = Instant::now();
    let (mut shard, task, attempt) = started(2_000, base);
    let silent = CommandReply::Silent;
    shard.on_start_reply(WORKER, task, attempt, silent, base + ms(450));
    shard.worker_listed(&worker(1_000), base + ms(460));
    shard.on_report(
        WORKER,
        &report(500, &[]),
        base + ms(490),
        base + ms(500),
        500,
    );
    let commands = shard.poll(base + ms(600), 600);
    assert!(
        matches!(&commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

/// Guards against starts on a worker whose capacity has shrunk below what it runs.
#[test]
fn a_worker_that_has_shrunk_gets_no_tasks_until_its_capacity_grows_again() {
    let base = Instant::now();
    let (mut shard, task, attempt) = started(3_000, base);
    shard.on_start_reply(WORKER, task, attempt, CommandReply::Ok, base + ms(60));
    shard.worker_listed(&worker(1_000), base + ms(70));
    shard.add_job(JobId(2), job(500), JobOrigin::New, base + ms(70));
    assert_eq!(shard.poll(base + ms(150), 150), []);
    shard.worker_listed(&worker(2_000), base + ms(160));
    let commands = shard.poll(base + ms(250), 250);
    assert!(
        matches!(&commands[..], [Command::Start { task, .. }] if task.job == JobId(2)),
        "{commands:?}"
    );
}
