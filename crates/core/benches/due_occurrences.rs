//! Measures polls of a leader that has a scheduled job with many due occurrences, on 48 workers of 16
//! cores: the first, which meets all of them, and those while its tasks run. Also reports how long a
//! small job waits for its first start that is accepted meanwhile.
//!
//! The arguments are the numbers of occurrences; by default 1,000, 10,000 and 100,000.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, CommandReply, EndReason, FinishedRow, Report, WorkerInfo},
    },
    std::{
        env,
        time::{Duration, Instant},
    },
};

const WORKERS: usize = 48;

const POLLS: u32 = 60;

/// The simulated time between two polls, and the run time of a task, in milliseconds.
const INTERVAL_MS: u64 = 50;

fn job(cpu: i64, tasks: u32, occurrences: u32) -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        slack_percent: 150,
        extra_ms: 300,
        steps: vec![Step {
            count: tasks,
            request: Resources {
                cpu,
                mem_mb: 10,
                gpu: 0,
            },
            estimate_ms: 50,
            ..Step::default()
        }],
        occurrences,
        token: 1,
        ..JobSpec::default()
    }
}

fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index}"),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", index + 1),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 16_000,
            mem_mb: 60_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 1,
        remaining_ms: None,
    }
}

struct Measured {
    first: Duration,
    longest: Duration,
    total: Duration,
    done: usize,
    /// The simulated wait of the small job, and the time that the polls took meanwhile.
    small_job: Option<(u64, Duration)>,
}

fn measure(occurrences: u32) -> Measured {
    let base = Instant::now();
    let at = |ms: u64| base + Duration::from_millis(ms);
    let mut now_ms = 10;
    let mut shard = Shard::new(Params::default(), 1, base);
    let workers: Vec<_> = (0..WORKERS).map(worker).collect();
    for info in &workers {
        shard.worker_listed(info, base);
        shard.add_worker_in_use(&info.id, &info.address, base);
    }
    shard.add_job(JobId(1), job(100, 1, occurrences), JobOrigin::New, base);
    let mut running: Vec<Vec<(TaskName, u32)>> = vec![Vec::new(); WORKERS];
    let mut ends = [0; WORKERS];
    let mut measured = Measured {
        first: Duration::ZERO,
        longest: Duration::ZERO,
        total: Duration::ZERO,
        done: 0,
        small_job: None,
    };
    let mut submitted = (0, Duration::ZERO);
    for poll in 0..POLLS {
        now_ms += INTERVAL_MS;
        let now = at(now_ms);
        shard.confirm(now);
        if poll == POLLS / 2 {
            shard.add_job(JobId(2), job(1_000, 6, 0), JobOrigin::New, now);
            submitted = (now_ms, measured.total);
        }
        let began_at = Instant::now();
        for (index, info) in workers.iter().enumerate() {
            let ended = std::mem::take(&mut running[index]);
            measured.done += ended.len();
            let finished = ended.into_iter().map(|(task, attempt)| {
                ends[index] += 1;
                FinishedRow {
                    number: ends[index],
                    task,
                    attempt,
                    reason: EndReason::Done,
                    checkpoint: String::new(),
                }
            });
            let report = Report {
                started_ms: 1,
                clock_ms: now_ms,
                running: Vec::new(),
                finished: finished.collect(),
            };
            shard.on_report(&info.id, &report, now, now, now_ms);
            shard.prepare_report_request(&info.id, now);
        }
        while let Some(batch) = shard.take_batch(90, now) {
            shard.on_batch_result(&batch, true, now);
        }
        let commands = shard.poll(now, now_ms);
        let took = began_at.elapsed();
        measured.total += took;
        if poll == 0 {
            measured.first = took;
        }
        measured.longest = measured.longest.max(took);
        for command in commands {
            if let Command::Start {
                worker,
                task,
                attempt,
                ..
            } = command
            {
                if task.job == JobId(2) && measured.small_job.is_none() {
                    let waited = (now_ms - submitted.0, measured.total - submitted.1);
                    measured.small_job = Some(waited);
                }
                let index: usize = worker[1..].parse().unwrap_or(0);
                running[index].push((task, attempt));
                shard.on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
            }
        }
    }
    measured
}

fn main() {
    let numbers = env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let mut numbers: Vec<u32> = numbers.collect();
    if numbers.is_empty() {
        numbers = vec![1_000, 10_000, 100_000];
    }
    for occurrences in numbers {
        let Measured {
            first,
            longest,
            total,
            done,
            small_job,
        } = measure(occurrences);
        let mean = total / POLLS;
        println!(
            "{occurrences} occurrences due: first poll {first:?}, longest {longest:?}, mean {mean:?}, done {done}, small job {small_job:?}"
        );
    }
}
