//! A simulated fleet: a shard, workers that run what it starts, and an intake that gets the shard's
//! outlook as late as heartbeats bring it.
//!
//! Names that end in `_ms` are simulated times or durations in milliseconds.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            admission::{MAX_OUTLOOK_AGE, Outlook, Refusal, refusal},
            job::{JobId, JobSpec, Resources, TaskName},
            progress::JobState,
            shard::{Command, JobOrigin, Params, Shard},
            worker::{
                Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
            },
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        ops::Range,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The time between two steps of the simulation.
const STEP_MS: u64 = 20;

/// The time between two heartbeats.
const HEARTBEAT_MS: u64 = 160;

/// A job as its caller sees it.
pub struct Job {
    id: JobId,
    submitted_ms: u64,
    /// The estimated work of all tasks.
    pub work: u64,
    /// The time after which the job is of no use.
    limit_ms: u64,
    /// Whether the outlook was against the job.
    pub refusal: Option<Refusal>,
    ended_ms: Option<u64>,
}

impl Job {
    pub fn is_submitted_in(&self, range_ms: Range<u64>) -> bool {
        range_ms.contains(&self.submitted_ms)
    }

    /// Returns whether the job ended while it was of use to its caller.
    pub fn is_served(&self) -> bool {
        self.ended_ms
            .is_some_and(|ms| ms <= self.submitted_ms + self.limit_ms)
    }
}

struct Worker {
    info: WorkerInfo,
    runs: Vec<(TaskName, u32, Option<u64>)>,
    last_end: u64,
}

pub struct World {
    pub shard: Shard,
    pub now_ms: u64,
    pub jobs: Vec<Job>,
    /// Whether jobs are refused, or only what the outlook says of them is recorded.
    pub refuses: bool,
    /// How much longer tasks take than estimated.
    pub slowness: f64,
    base: Instant,
    rng: SmallRng,
    workers: Vec<Worker>,
    specs: HashMap<JobId, Arc<JobSpec>>,
    outlooks: Option<(Instant, Arc<[Outlook]>)>,
}

impl World {
    /// Creates one worker for each capacity, in cores.
    pub fn new(cores: impl Iterator<Item = i64>, seed: u64) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        let worker = |(index, cores): (usize, i64)| {
            let info = WorkerInfo {
                id: format!("w{index}"),
                service: "s".to_owned(),
                address: format!("127.0.0.1:{}", index + 1),
                domain: "z".to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: cores * 1_000,
                    mem_mb: 1_000_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                started_ms: 0,
                remaining_ms: None,
            };
            shard.worker_listed(&info, base);
            Worker {
                info,
                runs: Vec::new(),
                last_end: 0,
            }
        };
        let workers = cores.enumerate().map(worker).collect();
        Self {
            shard,
            now_ms: 0,
            jobs: Vec::new(),
            refuses: false,
            slowness: 1.0,
            base,
            rng: SmallRng::seed_from_u64(seed),
            workers,
            specs: HashMap::default(),
            outlooks: None,
        }
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Returns how often an event happens in this step that happens `per_s` times a second on average.
    pub fn arrivals(&mut self, per_s: f64) -> u32 {
        let mean = per_s * STEP_MS as f64 / 1_000.0;
        mean as u32 + u32::from(self.rng.random_bool(mean.fract()))
    }

    /// Draws from a log-normal distribution with a mean, limited to three times the mean.
    pub fn draw(&mut self, mean: f64, spread: f64) -> f64 {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let value = mean * (spread * normal - spread * spread / 2.0).exp();
        value.min(mean * 3.0)
    }

    /// Returns the refusal of a job by the outlook that is known now.
    pub fn refusal(&self, spec: &JobSpec) -> Option<Refusal> {
        let (at, outlooks) = self.outlooks.as_ref()?;
        let is_current = self.now() - *at <= MAX_OUTLOOK_AGE;
        let outlook = outlooks.first().filter(|_| is_current)?;
        refusal(outlook, spec)
    }

    /// Submits a job.
    pub fn submit(&mut self, spec: JobSpec) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let refusal = self.refusal(&spec);
        self.jobs.push(Job {
            id,
            submitted_ms: self.now_ms,
            work: spec.work_of(spec.steps.iter().map(|s| s.count)),
            limit_ms: spec.target_duration_ms() * 3,
            refusal,
            ended_ms: None,
        });
        if refusal.is_none() || !self.refuses {
            self.specs.insert(id, Arc::new(spec.clone()));
            self.shard.add_job(id, spec, JobOrigin::New, self.now());
        }
    }

    /// Advances the clock by one step: runs end, workers report, the shard stores and dispatches.
    pub fn advance(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        for index in 0..self.workers.len() {
            self.report(index, now);
        }
        if let Some(batch) = self.shard.take_batch(90, now) {
            self.shard.on_batch_result(&batch, true, now);
        }
        for command in self.shard.poll(now, self.now_ms) {
            self.carry_out(command, now);
        }
        self.shard.update_outlooks(now);
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
            let outlooks = self.shard.outlooks();
            self.outlooks = outlooks.map(|(at, outlooks)| (at, outlooks.clone()));
        }
        for job in self.jobs.iter_mut().filter(|j| j.ended_ms.is_none()) {
            if self.shard.job_state(job.id) == Some(JobState::Completed) {
                job.ended_ms = Some(self.now_ms);
            }
        }
    }

    fn report(&mut self, index: usize, now: Instant) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[index];
        let is_over =
            |(_, _, end_ms): &mut (_, _, Option<u64>)| end_ms.is_some_and(|ms| ms <= now_ms);
        let ended: Vec<_> = worker.runs.extract_if(.., is_over).collect();
        if ended.is_empty()
            && !(now_ms + index as u64 * STEP_MS).is_multiple_of(500)
            && now_ms > STEP_MS
        {
            return;
        }
        let finished = ended.into_iter().map(|(task, attempt, _)| {
            worker.last_end += 1;
            FinishedRow {
                number: worker.last_end,
                task,
                attempt,
                reason: EndReason::Done,
                checkpoint: String::new(),
            }
        });
        let finished = finished.collect();
        let running = worker.runs.iter().map(|(task, attempt, _)| RunningRow {
            task: *task,
            attempt: *attempt,
            checkpoint: String::new(),
            // A value that changes, so that no run counts as stuck.
            percent: (now_ms % 10_007) as f64 / 101.0,
            usage: None,
        });
        let report = Report {
            started_ms: 1,
            clock_ms: now_ms,
            running: running.collect(),
            finished,
        };
        self.shard
            .on_report(&worker.info.id, &report, now, now, now_ms);
    }

    fn carry_out(&mut self, command: Command, now: Instant) {
        let Command::Start {
            worker,
            task,
            attempt,
            ..
        } = command
        else {
            return;
        };
        let step = &self.specs[&task.job].steps[usize::from(task.step)];
        let duration_ms = (f64::from(step.estimate_ms) * self.slowness) as u64;
        let end_ms = (!step.long_running).then_some(self.now_ms + duration_ms);
        let to = self.workers.iter_mut().find(|w| w.info.id == worker);
        let to = to.expect("a start on an unknown worker");
        to.runs.push((task, attempt, end_ms));
        self.shard
            .on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
    }
}
