//! Workers of different speeds that hang, fail and refuse, with a simulated clock and no network.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::JobState,
        shard::{Command, JobOrigin, Params, Shard},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The time of one step of the simulation, in milliseconds.
const TICK_MS: u64 = 20;

/// The longest time between two reports of a worker without ends, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// How a worker behaves.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The work done per time, one for most workers.
    pub speed: f64,
    /// Between these times, in milliseconds, nothing on the worker makes progress.
    pub hangs: (u64, u64),
    /// The share of its runs that fail at half of their work, in percent.
    pub fails_percent: u32,
    /// Whether it answers each start with 503.
    pub refuses: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            speed: 1.0,
            hangs: (0, 0),
            fails_percent: 0,
            refuses: false,
        }
    }
}

struct SimRun {
    task: TaskName,
    attempt: u32,
    work_ms: f64,
    done_ms: f64,
    fails: bool,
}

struct SimWorker {
    behaviour: Behaviour,
    runs: Vec<SimRun>,
    finished: Vec<FinishedRow>,
    last_number: u64,
    next_report_ms: u64,
}

/// What was observed of a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub task: TaskName,
    pub worker: String,
}

/// Returns the work of a task at full speed, in milliseconds.
type Work = Box<dyn Fn(TaskName, &mut StdRng) -> f64>;

/// A shard with its simulated workers.
pub struct World {
    pub shard: Shard,
    pub now_ms: u64,
    pub starts: Vec<Event>,
    pub stops: Vec<Event>,
    pub done: Vec<Event>,
    pub failed: Vec<Event>,
    pub refused: Vec<Event>,
    /// Whether a task fails wherever it runs.
    pub poisoned: fn(TaskName) -> bool,
    base: Instant,
    workers: BTreeMap<String, SimWorker>,
    work_ms: Work,
    rng: StdRng,
}

impl World {
    /// Creates workers of 8 cores each with the given behaviours, and tasks that take `work_ms`
    /// milliseconds at full speed.
    pub fn new(
        behaviours: &[Behaviour],
        seed: u64,
        work_ms: impl Fn(TaskName, &mut StdRng) -> f64 + 'static,
    ) -> Self {
        let base = Instant::now();
        let mut world = Self {
            shard: Shard::new(Params::default(), 1, base),
            now_ms: 10,
            starts: Vec::new(),
            stops: Vec::new(),
            done: Vec::new(),
            failed: Vec::new(),
            refused: Vec::new(),
            poisoned: |_| false,
            base,
            workers: BTreeMap::new(),
            work_ms: Box::new(work_ms),
            rng: StdRng::seed_from_u64(seed),
        };
        for (i, behaviour) in (0..).zip(behaviours) {
            let info = worker_info(i);
            world.shard.worker_listed(&info, base);
            world.shard.add_worker_in_use(&info.id, &info.address, base);
            let worker = SimWorker {
                behaviour: *behaviour,
                runs: Vec::new(),
                finished: Vec::new(),
                last_number: 0,
                next_report_ms: 10 + i * 37 % REPORT_MS,
            };
            world.workers.insert(info.id, worker);
        }
        world
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Adds a job with the given steps.
    pub fn add_job(&mut self, id: u64, steps: Vec<Step>) {
        let spec = JobSpec {
            queue: "q".to_owned(),
            service: "s".to_owned(),
            max_attempts: 50,
            slack_percent: 200,
            extra_ms: 500,
            steps,
            token: 1,
            ..JobSpec::default()
        };
        let now = self.now();
        self.shard.add_job(JobId(id), spec, JobOrigin::New, now);
    }

    /// Returns whether a job has completed.
    pub fn is_completed(&self, id: u64) -> bool {
        self.shard.job_state(JobId(id)) == Some(JobState::Completed)
    }

    /// Returns the workers that get no tasks because of what their runs have shown.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        let now = self.now();
        self.shard.ejected_workers(now)
    }

    /// Changes how a worker behaves from now on.
    pub fn set_behaviour(&mut self, worker: &str, behaviour: Behaviour) {
        let worker = self.workers.get_mut(worker).expect("the worker exists");
        worker.behaviour = behaviour;
    }

    /// Returns how many runs workers have of a task.
    pub fn runs_of(&self, name: TaskName) -> usize {
        let runs = self.workers.values().flat_map(|w| &w.runs);
        runs.filter(|run| run.task == name).count()
    }

    /// Returns the largest number of runs that workers have of any task.
    pub fn most_runs(&self) -> usize {
        let mut counts = BTreeMap::new();
        for run in self.workers.values().flat_map(|w| &w.runs) {
            *counts.entry(run.task).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// Advances the simulation to `until_ms`, or until `is_over`.
    pub fn run(&mut self, until_ms: u64, is_over: impl Fn(&Self) -> bool) {
        while self.now_ms < until_ms && !is_over(self) {
            self.tick();
        }
    }

    /// Advances the simulation by one step.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in &ids {
            if self.advance(id) {
                self.report(id);
            }
        }
        for command in self.shard.poll(self.now(), self.now_ms) {
            self.carry_out(command);
        }
        if let Some(batch) = self.shard.take_batch(90, self.now()) {
            self.shard.on_batch_result(&batch, true, self.now());
        }
    }

    /// Advances the runs of a worker; returns whether it reports.
    fn advance(&mut self, id: &str) -> bool {
        let (now_ms, workers) = (self.now_ms, &mut self.workers);
        let worker = workers.get_mut(id).expect("the worker exists");
        let (from, until) = worker.behaviour.hangs;
        let mut reports = now_ms >= worker.next_report_ms;
        if !(from..until).contains(&now_ms) {
            for run in &mut worker.runs {
                run.done_ms += TICK_MS as f64 * worker.behaviour.speed;
            }
        }
        let has_ended = |run: &SimRun| {
            let work_ms = if run.fails { 0.5 } else { 1.0 } * run.work_ms;
            run.done_ms >= work_ms
        };
        let ended: Vec<_> = worker
            .runs
            .extract_if(.., |run| has_ended(run))
            .map(|run| (run.task, run.attempt, run.fails))
            .collect();
        for (task, attempt, fails) in ended {
            reports = true;
            let reason = if fails {
                EndReason::Failed
            } else {
                EndReason::Done
            };
            worker.end(task, attempt, reason);
            let event = Event {
                at_ms: now_ms,
                task,
                worker: id.to_owned(),
            };
            if fails {
                self.failed.push(event);
            } else {
                self.done.push(event);
            }
        }
        reports
    }

    fn report(&mut self, id: &str) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let request = self.shard.prepare_report_request(id, now);
        let (acked, _) = request.expect("the worker is known");
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.next_report_ms = now_ms + REPORT_MS;
        worker.finished.retain(|row| row.number > acked);
        let running = worker.runs.iter().map(|run| RunningRow {
            task: run.task,
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: (run.done_ms / run.work_ms * 100.0).floor().min(100.0),
            usage: None,
        });
        let report = Report {
            started_ms: 1,
            clock_ms: now_ms,
            running: running.collect(),
            finished: worker.finished.clone(),
        };
        let sent_at = now - Duration::from_millis(1);
        self.shard.on_report(id, &report, sent_at, now, now_ms);
    }

    fn carry_out(&mut self, command: Command) {
        let (now, now_ms) = (self.now(), self.now_ms);
        match command {
            Command::Start {
                worker: id,
                task,
                attempt,
                ..
            } => {
                let event = Event {
                    at_ms: now_ms,
                    task,
                    worker: id.clone(),
                };
                let worker = self.workers.get_mut(&id).expect("the worker exists");
                let reply = if worker.behaviour.refuses {
                    self.refused.push(event);
                    CommandReply::Unhealthy
                } else {
                    self.starts.push(event);
                    let fails_percent = worker.behaviour.fails_percent;
                    let is_poisoned = (self.poisoned)(task);
                    worker.runs.push(SimRun {
                        task,
                        attempt,
                        work_ms: (self.work_ms)(task, &mut self.rng).max(1.0),
                        done_ms: 0.0,
                        fails: is_poisoned || self.rng.random_range(0..100) < fails_percent,
                    });
                    CommandReply::Ok
                };
                self.shard.on_start_reply(&id, task, attempt, reply, now);
            }
            Command::Stop {
                worker: id,
                task,
                attempt,
                ..
            } => {
                let worker = self.workers.get_mut(&id).expect("the worker exists");
                let reply = CommandReply::Ok;
                self.shard.on_stop_reply(&id, task, attempt, reply, now);
                let before = worker.runs.len();
                worker
                    .runs
                    .retain(|run| run.task != task || run.attempt != attempt);
                if worker.runs.len() < before {
                    worker.end(task, attempt, EndReason::Stopped);
                    self.stops.push(Event {
                        at_ms: now_ms,
                        task,
                        worker: id,
                    });
                }
            }
            _ => {}
        }
    }
}

impl SimWorker {
    /// Records the end of a run, which the next report lists at once.
    fn end(&mut self, task: TaskName, attempt: u32, reason: EndReason) {
        self.last_number += 1;
        self.next_report_ms = 0;
        self.finished.push(FinishedRow {
            number: self.last_number,
            task,
            attempt,
            reason,
            checkpoint: String::new(),
        });
    }
}

fn worker_info(index: u64) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index:03}"),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{index}"),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 8_000,
            mem_mb: 100_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 0,
        remaining_ms: None,
    }
}

/// Returns a step of `count` tasks of `cpu` thousandths of a core, with the caller's estimate.
pub fn step(count: u32, cpu: i64, estimate_ms: u32) -> Step {
    Step {
        count,
        estimate_ms,
        request: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        image: "image".to_owned(),
        ..Step::default()
    }
}
