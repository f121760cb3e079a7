//! A simulated fleet: a shard, workers that run what it starts, and callers that submit jobs.
//!
//! Names that end in `_ms` are simulated times or durations in milliseconds.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            job::{JobId, JobSpec, Resources, Step, TaskName},
            progress::JobState,
            shard::{Command, JobOrigin, Params, Shard, WorkKind},
            worker::{
                Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
            },
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// The time between two steps of the simulation.
pub const STEP_MS: u64 = 20;

/// The time between two reports of a worker on which no run ends.
const REPORT_MS: u64 = 500;

/// A job is served if it is completed within this multiple of its target duration.
const SERVED_FACTOR: u64 = 3;

struct Run {
    task: TaskName,
    attempt: u32,
    /// `None` for a long-running task.
    end_ms: Option<u64>,
    /// When a long-running task has started up.
    ready_ms: u64,
    /// When the run ends after a stop command; `None` if there was none.
    stopped_ms: Option<u64>,
}

struct Worker {
    info: WorkerInfo,
    is_draining: bool,
    runs: Vec<Run>,
    ends: Vec<(TaskName, u32, EndReason)>,
    last_end: u64,
    reported_ms: u64,
}

impl Worker {
    fn free_cpu(&self, requests: &HashMap<JobId, Vec<Resources>>) -> i64 {
        let used = self.runs.iter().map(|run| {
            let steps = requests.get(&run.task.job);
            steps.map_or(0, |steps| steps[usize::from(run.task.step)].cpu)
        });
        self.info.capacity.cpu - used.sum::<i64>()
    }
}

/// A job as its caller sees it.
pub struct Job {
    pub id: JobId,
    pub queue: &'static str,
    pub is_long_running: bool,
    pub submitted_ms: u64,
    pub target_ms: u64,
    /// The requested CPU, in thousandths of a core, times the duration of all tasks.
    pub work: u64,
    /// When it was completed or cancelled; `None` before that.
    pub ended_ms: Option<u64>,
    /// For a long-running job: the number of its tasks, and the sums of the times in which they ran
    /// and in which they had started up.
    pub tasks: u64,
    pub run_ms: u64,
    pub at_work_ms: u64,
}

impl Job {
    /// Returns whether the job ended while it was of use to its caller.
    pub fn is_served(&self) -> bool {
        let limit_ms = self.submitted_ms + SERVED_FACTOR * self.target_ms;
        self.ended_ms.is_some_and(|ms| ms <= limit_ms)
    }
}

/// The workers of a fleet, and what the shard does with them.
#[derive(Clone, Copy)]
pub struct Fleet {
    pub workers: u32,
    /// The cores of every third worker, and of the others.
    pub cores: (i64, i64),
    pub params: Params,
    /// How long a stopped run takes to end.
    pub stop_ms: u64,
    /// How long a long-running task takes to start up.
    pub start_up_ms: u64,
    /// The limit of each long-running step.
    pub max_unavailable: Option<u32>,
    /// The priority of short jobs; that of long-running ones is zero.
    pub short_priority: u8,
}

impl Fleet {
    /// Returns workers with 16 and 24 cores, two of the first kind for one of the second, on which a
    /// stop and a start take no time.
    pub fn small(workers: u32) -> Self {
        Self {
            workers,
            cores: (24, 16),
            params: Params::default(),
            stop_ms: 0,
            start_up_ms: 0,
            max_unavailable: None,
            short_priority: 0,
        }
    }
}

/// A shape of jobs: each figure is a mean and the standard deviation of its logarithm.
#[derive(Clone, Copy)]
pub struct Shape {
    pub width: (f64, f64),
    pub cpu: (f64, f64),
    pub task_ms: (f64, f64),
    pub max_steps: u32,
}

pub struct World {
    pub shard: Shard,
    pub now_ms: u64,
    pub jobs: Vec<Job>,
    /// How many stop commands were sent for long-running tasks.
    pub stops: u64,
    /// Whether the store takes no writes.
    pub is_store_away: bool,
    fleet: Fleet,
    base: Instant,
    rng: SmallRng,
    workers: Vec<Worker>,
    requests: HashMap<JobId, Vec<Resources>>,
    /// By job: the duration of each step's tasks; `None` if they are long-running.
    durations: HashMap<JobId, Vec<Option<u64>>>,
    /// The jobs to cancel, and when.
    cancels: Vec<(u64, JobId)>,
    /// The longest time for which a long-running task waited though two of its kind fitted.
    pub longest_idle_wait_ms: u64,
    /// By waiting long-running task: since when it waits, and since when two of its kind fit.
    waits: HashMap<TaskName, (u64, Option<u64>)>,
}

impl World {
    /// Creates the workers of a fleet.
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(fleet.params, 1, base);
        let worker = |index: u32| {
            let (third, other) = fleet.cores;
            let cores = if index % 3 == 2 { third } else { other };
            let info = WorkerInfo {
                id: format!("w{index}"),
                service: "s".to_owned(),
                address: format!("127.0.0.1:{}", index + 1),
                domain: "z".to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: cores * 1_000,
                    mem_mb: cores * 4_000,
                    gpu: 0,
                },
                labels: vec![format!("r{}", index / 20)],
                started_ms: 0,
                remaining_ms: None,
            };
            shard.worker_listed(&info, base);
            Worker {
                info,
                is_draining: false,
                runs: Vec::new(),
                ends: Vec::new(),
                last_end: 0,
                reported_ms: 0,
            }
        };
        let workers = (0..fleet.workers).map(worker).collect();
        Self {
            shard,
            now_ms: 0,
            jobs: Vec::new(),
            stops: 0,
            is_store_away: false,
            fleet: *fleet,
            base,
            rng: SmallRng::seed_from_u64(seed),
            workers,
            requests: HashMap::default(),
            durations: HashMap::default(),
            cancels: Vec::new(),
            longest_idle_wait_ms: 0,
            waits: HashMap::default(),
        }
    }

    /// Returns how many short jobs wait.
    pub fn waiting_short_jobs(&self) -> u32 {
        let summary = self.shard.summary(self.now());
        summary.waiting[WorkKind::Short as usize].jobs
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Returns the capacity of all workers, in thousandths of a core.
    pub fn capacity(&self) -> i64 {
        self.workers.iter().map(|w| w.info.capacity.cpu).sum()
    }

    /// Returns the CPU that runs of long-running tasks have reserved, in thousandths of a core.
    pub fn long_running_cpu(&self) -> i64 {
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let long_running = runs.filter(|run| run.end_ms.is_none());
        let cpu = long_running.map(|run| self.requests[&run.task.job][0].cpu);
        cpu.sum()
    }

    /// Returns how often an event happens in this step that happens `per_s` times a second on average.
    pub fn arrivals(&mut self, per_s: f64) -> u32 {
        let mean = per_s * STEP_MS as f64 / 1_000.0;
        let rest = self.rng.random_bool(mean.fract());
        mean as u32 + u32::from(rest)
    }

    /// Draws from a log-normal distribution with a mean, limited to three times the mean.
    fn draw(&mut self, (mean, spread): (f64, f64)) -> f64 {
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let value = mean * (spread * normal - spread * spread / 2.0).exp();
        value.min(mean * 3.0)
    }

    /// Submits a job of tasks that end by themselves.
    pub fn submit(&mut self, shape: &Shape) {
        self.submit_to("short", shape);
    }

    /// Submits such a job to a queue.
    pub fn submit_to(&mut self, queue: &'static str, shape: &Shape) {
        let cpu = self.draw(shape.cpu) as i64;
        let step_count = self.rng.random_range(1..=shape.max_steps);
        let steps = (0..step_count).map(|index| {
            let task_ms = self.draw(shape.task_ms).max(40.0) as u32;
            Step {
                count: (self.draw(shape.width) as u32).max(1),
                request: Resources {
                    cpu,
                    mem_mb: cpu * 2,
                    gpu: 0,
                },
                estimate_ms: task_ms,
                after: index.checked_sub(1).map(|a| a as u16).into_iter().collect(),
                ..Step::default()
            }
        });
        let steps: Vec<_> = steps.collect();
        self.add_job(queue, steps, None);
    }

    /// Submits a long-running job that is cancelled after `stay_ms`.
    pub fn submit_long_running(&mut self, shape: &Shape, stay_ms: u64) {
        let cpu = self.draw(shape.cpu) as i64;
        let step = Step {
            count: (self.draw(shape.width) as u32).max(1),
            request: Resources {
                cpu,
                mem_mb: cpu * 2,
                gpu: 0,
            },
            estimate_ms: 500,
            long_running: true,
            image: format!("i{}", self.rng.random_range(0..8)),
            latency_target_ms: 150.0,
            max_unavailable: self.fleet.max_unavailable,
            ..Step::default()
        };
        self.add_job("long", vec![step], Some(stay_ms));
    }

    fn add_job(&mut self, queue: &'static str, steps: Vec<Step>, stay_ms: Option<u64>) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let is_long_running = stay_ms.is_some();
        let spec = JobSpec {
            queue: queue.to_owned(),
            service: "s".to_owned(),
            priority: if is_long_running {
                0
            } else {
                self.fleet.short_priority
            },
            max_attempts: 3,
            slack_percent: 150,
            extra_ms: 300,
            token: 1,
            accepted_ms: self.now_ms,
            steps: steps.clone(),
            ..JobSpec::default()
        };
        let work = |s: &Step| u64::from(s.count) * u64::from(s.estimate_ms) * s.request.cpu as u64;
        self.jobs.push(Job {
            id,
            queue,
            is_long_running,
            submitted_ms: self.now_ms,
            target_ms: spec.target_duration_ms(),
            work: steps.iter().map(work).sum(),
            ended_ms: None,
            tasks: steps.iter().map(|s| u64::from(s.count)).sum(),
            run_ms: 0,
            at_work_ms: 0,
        });
        let requests = steps.iter().map(|s| s.request).collect();
        self.requests.insert(id, requests);
        let duration = |s: &Step| (!s.long_running).then_some(u64::from(s.estimate_ms));
        self.durations
            .insert(id, steps.iter().map(duration).collect());
        if let Some(stay_ms) = stay_ms {
            self.cancels.push((self.now_ms + stay_ms, id));
        }
        self.shard.add_job(id, spec, JobOrigin::New, self.now());
    }

    /// Adds a worker of an earlier leader that never answers.
    pub fn add_silent_worker(&mut self) {
        let now = self.now();
        self.shard.add_worker_in_use("silent", "127.0.0.2:1", now);
    }

    /// Returns how many tasks of an open long-running job are not at work.
    pub fn tasks_away(&self, job: &Job) -> u64 {
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        let at_work = runs.filter(|run| {
            run.task.job == job.id && run.stopped_ms.is_none() && run.ready_ms <= self.now_ms
        });
        job.tasks - at_work.count() as u64
    }

    /// Returns the index of a worker that runs a task of a job, by the job's index.
    pub fn worker_of(&self, job: usize) -> Option<usize> {
        let id = self.jobs[job].id;
        let has_run = |w: &Worker| w.runs.iter().any(|run| run.task.job == id);
        self.workers.iter().position(has_run)
    }

    /// Begins to drain workers, by their indices; they leave once they have no runs.
    pub fn drain(&mut self, indices: std::ops::Range<usize>) {
        let now = self.now();
        for worker in &mut self.workers[indices] {
            worker.is_draining = true;
            worker.info.availability = Availability::Draining;
            self.shard.worker_listed(&worker.info, now);
        }
    }

    /// Advances the clock by one step: runs end, workers report, the shard stores and dispatches.
    pub fn advance(&mut self) {
        self.prepare();
        let commands = self.poll();
        self.finish(commands);
    }

    /// Does what precedes a dispatch in a step.
    pub fn prepare(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        let due: Vec<_> = self
            .cancels
            .extract_if(.., |(at_ms, _)| *at_ms <= self.now_ms)
            .collect();
        for (_, id) in due {
            self.shard.cancel(id, self.now_ms);
            self.jobs[id.0 as usize - 1].ended_ms = Some(self.now_ms);
        }
        for index in 0..self.workers.len() {
            self.report(index);
        }
        if !self.is_store_away
            && let Some(batch) = self.shard.take_batch(90, now)
        {
            self.shard.on_batch_result(&batch, true, now);
        }
    }

    /// Lets the shard dispatch; returns its commands.
    pub fn poll(&mut self) -> Vec<Command> {
        self.shard.poll(self.now(), self.now_ms)
    }

    /// Carries out the commands of a step, and measures what it came to.
    pub fn finish(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.carry_out(command);
        }
        let now_ms = self.now_ms;
        for job in &mut self.jobs {
            if job.ended_ms.is_none() && self.shard.job_state(job.id) == Some(JobState::Completed) {
                job.ended_ms = Some(now_ms);
            }
        }
        self.measure();
    }

    fn report(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[index];
        let ended = worker
            .runs
            .extract_if(.., |run| run.end_ms.is_some_and(|ms| ms <= now_ms));
        let ended = ended.map(|run| (run.task, run.attempt, EndReason::Done));
        worker.ends.extend(ended);
        let stopped = worker
            .runs
            .extract_if(.., |run| run.stopped_ms.is_some_and(|ms| ms <= now_ms));
        let stopped = stopped.map(|run| (run.task, run.attempt, EndReason::Stopped));
        worker.ends.extend(stopped);
        if worker.ends.is_empty() && now_ms < worker.reported_ms + REPORT_MS && now_ms > STEP_MS {
            return;
        }
        worker.reported_ms = now_ms;
        let mut report = Report {
            started_ms: 1,
            clock_ms: now_ms,
            ..Report::default()
        };
        for (task, attempt, reason) in std::mem::take(&mut worker.ends) {
            worker.last_end += 1;
            report.finished.push(FinishedRow {
                number: worker.last_end,
                task,
                attempt,
                reason,
                checkpoint: String::new(),
            });
        }
        let running = worker.runs.iter().map(|run| RunningRow {
            task: run.task,
            attempt: run.attempt,
            checkpoint: String::new(),
            // A value that changes, so that no run counts as stuck.
            percent: match run.end_ms {
                None if now_ms >= run.ready_ms => 100.0,
                _ => (now_ms % 10_007) as f64 / 101.0,
            },
            usage: None,
        });
        report.running = running.collect();
        let now = self.base + Duration::from_millis(now_ms);
        self.shard
            .on_report(&worker.info.id, &report, now, now, now_ms);
    }

    fn carry_out(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                let duration = self.durations[&task.job][usize::from(task.step)];
                let end_ms = duration.map(|ms| self.now_ms + ms);
                let to = self.workers.iter_mut().find(|w| w.info.id == worker);
                let to = to.expect("a start on an unknown worker");
                to.runs.push(Run {
                    task,
                    attempt,
                    end_ms,
                    ready_ms: self.now_ms + self.fleet.start_up_ms,
                    stopped_ms: None,
                });
                assert!(
                    to.free_cpu(&self.requests) >= 0,
                    "{worker} has more runs than it can hold"
                );
                self.shard
                    .on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
            }
            Command::Stop {
                worker,
                task,
                attempt,
                ..
            } => {
                let job = &self.jobs[task.job.0 as usize - 1];
                if job.is_long_running && job.ended_ms.is_none() {
                    let limit = self.fleet.max_unavailable.unwrap_or(1);
                    let away = self.tasks_away(job);
                    assert!(
                        away < u64::from(limit),
                        "{task} is stopped, {away} are away"
                    );
                }
                let to = self.workers.iter_mut().find(|w| w.info.id == worker);
                let to = to.expect("a stop on an unknown worker");
                if let Some(run) = to.runs.iter_mut().find(|run| run.task == task) {
                    self.stops += u64::from(run.end_ms.is_none());
                    run.stopped_ms = Some(self.now_ms + self.fleet.stop_ms);
                }
                self.shard
                    .on_stop_reply(&worker, task, attempt, CommandReply::Ok, now);
            }
            _ => {}
        }
    }

    /// Adds up the times in which long-running tasks run, and finds those that wait though two of
    /// their kind fit.
    fn measure(&mut self) {
        let mut running: HashMap<TaskName, ()> = HashMap::default();
        for run in self.workers.iter().flat_map(|w| &w.runs) {
            if run.end_ms.is_none() {
                let job = &mut self.jobs[run.task.job.0 as usize - 1];
                job.run_ms += STEP_MS;
                if run.stopped_ms.is_none() && self.now_ms >= run.ready_ms {
                    job.at_work_ms += STEP_MS;
                }
                running.insert(run.task, ());
            }
        }
        let open = self.workers.iter().filter(|w| !w.is_draining);
        let free: Vec<_> = open.map(|w| w.free_cpu(&self.requests)).collect();
        for job in self.jobs.iter().filter(|j| j.is_long_running) {
            let cpu = self.requests[&job.id][0].cpu;
            let places = free.iter().map(|f| (f / cpu).max(0)).sum::<i64>();
            for index in 0..job.tasks as u32 {
                let task = TaskName {
                    job: job.id,
                    occurrence: 0,
                    step: 0,
                    index,
                };
                if job.ended_ms.is_some() || running.contains_key(&task) {
                    self.waits.remove(&task);
                    continue;
                }
                let (since_ms, fits_since_ms) =
                    self.waits.entry(task).or_insert((self.now_ms, None));
                if places < 2 || self.now_ms < *since_ms + 6_000 {
                    *fits_since_ms = None;
                    continue;
                }
                let fits_since_ms = *fits_since_ms.get_or_insert(self.now_ms);
                let wait_ms = self.now_ms - fits_since_ms;
                self.longest_idle_wait_ms = self.longest_idle_wait_ms.max(wait_ms);
            }
        }
    }
}
