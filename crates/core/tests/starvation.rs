//! Tests that large jobs are not starved by smaller ones of the same queue under overload.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    std::time::{Duration, Instant},
};

/// The interval of the simulation, at which the worker also reports, in milliseconds.
const STEP_MS: u64 = 20;

/// The simulated time, in milliseconds.
const END_MS: u64 = 40_000;

/// The interval of small jobs, in milliseconds: five for each four that the worker can run.
const SMALL_INTERVAL_MS: u64 = 40;

/// The interval of large jobs, in milliseconds.
const LARGE_INTERVAL_MS: u64 = 1_000;

/// The worker's capacity, in thousandths of a core.
const CAPACITY: i64 = 4_000;

/// A job with one task.
#[derive(Clone, Copy)]
struct Size {
    cpu: i64,
    duration_ms: u64,
}

const SMALL: Size = Size {
    cpu: 1_000,
    duration_ms: 200,
};

const LARGE: Size = Size {
    cpu: 3_000,
    duration_ms: 400,
};

impl Size {
    fn spec(self) -> JobSpec {
        let step = Step {
            count: 1,
            request: Resources {
                cpu: self.cpu,
                mem_mb: 1,
                gpu: 0,
            },
            estimate_ms: self.duration_ms as u32,
            ..Step::default()
        };
        JobSpec {
            queue: "q".to_owned(),
            service: "s".to_owned(),
            max_attempts: 2,
            slack_percent: 150,
            extra_ms: 300,
            steps: vec![step],
            token: 1,
            ..JobSpec::default()
        }
    }
}

/// A shard with one worker, and the runs and ends on that worker.
struct World {
    shard: Shard,
    base: Instant,
    now_ms: u64,
    /// The tasks that run, each with the time at which it ends.
    running: Vec<(TaskName, u32, u64)>,
    ends: u64,
    /// The jobs that have started.
    started: Vec<JobId>,
}

impl World {
    fn new() -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        let info = WorkerInfo {
            id: "w".to_owned(),
            service: "s".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            domain: "z".to_owned(),
            availability: Availability::Ready,
            capacity: Resources {
                cpu: CAPACITY,
                mem_mb: 10_000,
                gpu: 0,
            },
            labels: Vec::new(),
            started_ms: 0,
            remaining_ms: None,
        };
        shard.worker_listed(&info, base);
        shard.add_worker_in_use(&info.id, &info.address, base);
        Self {
            shard,
            base,
            now_ms: 0,
            running: Vec::new(),
            ends: 0,
            started: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn submit(&mut self, id: JobId, size: Size) {
        self.shard
            .add_job(id, size.spec(), JobOrigin::New, self.now());
    }

    /// Advances the clock, reports, and starts what the shard commands.
    fn advance(&mut self, is_large: impl Fn(JobId) -> bool) {
        self.now_ms += STEP_MS;
        let now = self.now();
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, _, end_ms)| *end_ms <= self.now_ms);
        self.running = running;
        let mut report = Report {
            started_ms: 1,
            clock_ms: self.now_ms,
            ..Report::default()
        };
        for (task, attempt, _) in ended {
            self.ends += 1;
            report.finished.push(FinishedRow {
                number: self.ends,
                task,
                attempt,
                reason: EndReason::Done,
                checkpoint: String::new(),
            });
        }
        for (task, attempt, end_ms) in &self.running {
            report.running.push(RunningRow {
                task: *task,
                attempt: *attempt,
                checkpoint: String::new(),
                percent: 100.0 - (end_ms - self.now_ms) as f64 / 10.0,
                usage: None,
            });
        }
        self.shard.on_report("w", &report, now, now, self.now_ms);
        if let Some(batch) = self.shard.take_batch(90, now) {
            self.shard.on_batch_result(&batch, true, now);
        }
        for command in self.shard.poll(now, self.now_ms) {
            if let Command::Start { task, attempt, .. } = command {
                let size = if is_large(task.job) { LARGE } else { SMALL };
                let end_ms = self.now_ms + size.duration_ms;
                self.running.push((task, attempt, end_ms));
                self.started.push(task.job);
                self.shard
                    .on_start_reply("w", task, attempt, CommandReply::Ok, now);
            }
        }
    }
}

/// Guards against an order of dispatch that serves the largest jobs of a queue less than half as
/// often as all its jobs.
#[test]
fn large_jobs_are_served_half_as_often_as_all_jobs_under_overload() {
    let mut world = World::new();
    let is_large = |id: JobId| id.0 % 2 == 1;
    let (mut small, mut large) = (0, 0);
    while world.now_ms < END_MS {
        if world.now_ms.is_multiple_of(SMALL_INTERVAL_MS) {
            world.submit(JobId(small * 2), SMALL);
            small += 1;
        }
        if world.now_ms.is_multiple_of(LARGE_INTERVAL_MS) {
            world.submit(JobId(large * 2 + 1), LARGE);
            large += 1;
        }
        world.advance(is_large);
    }
    let large_started = world.started.iter().filter(|id| is_large(**id)).count() as u64;
    let started = world.started.len() as u64;
    println!(
        "started: {large_started} of {large} large jobs, {started} of {} jobs",
        small + large
    );
    assert!(started * 2 > small, "the worker runs jobs most of the time");
    assert!(large_started * 2 * (small + large) >= started * large);
}
