//! A fleet whose workers crash at a given rate, with tasks that crash their workers among others.
//!
//! Names that end in `_ms` are simulated times or durations in milliseconds.

use {
    marigoldbend_core::{
        hash::{HashMap, HashSet},
        sched::{
            job::{JobId, JobSpec, Resources, Step, TaskName},
            progress::{JobState, Progress},
            shard::{Command, JobOrigin, Params, Shard},
            worker::{
                Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
            },
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The reasons for which workers crash, other than by what they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Every 2.2 s each worker crashes with this probability.
    Waves(f64),
    /// All workers of a failure domain crash, at three times.
    Domains,
}

const STEP_MS: u64 = 50;

/// The time between two reports of a worker whose runs change.
const REPORT_MS: u64 = 100;

/// The same if they don't.
const IDLE_REPORT_MS: u64 = 1_000;

const WORKERS: usize = 24;

const DOMAINS: usize = 3;

const LENGTH_MS: u64 = 60_000;

/// From when to when jobs arrive.
const ARRIVALS_MS: std::ops::Range<u64> = 100..45_000;

const WAVES_MS: std::ops::Range<u64> = 3_000..50_000;

const WAVE_INTERVAL_MS: u64 = 2_200;

const DOMAIN_CRASHES_MS: [u64; 3] = [5_000, 19_000, 33_000];

/// How long the entry of a vanished worker stays listed.
const LISTED_MS: u64 = 1_500;

/// The time from a crash to the end of the worker's leases, with the time to notice it.
const LEASE_END_MS: u64 = 6_100;

/// The delay of a start that is counted as long.
const LONG_DELAY_MS: u64 = 3_000;

const LONG_RUNNING_JOBS: u64 = 12;

const CRASHING_JOBS: u64 = 3;

/// What happened in a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Runs of other tasks that were lost in crashes.
    pub losses: u64,
    /// How many of them started again only after a long delay.
    pub long_delays: u64,
    /// The longest delay of such a start.
    pub max_delay_ms: u64,
    /// Jobs without a crashing task that failed.
    pub innocent_given_up: u64,
    /// The number of workers that each crashing task has crashed.
    pub crashed_by: Vec<u64>,
    /// Crashing tasks whose jobs did not fail.
    pub not_given_up: u64,
}

struct Machine {
    id: String,
    started_ms: u64,
    /// When it crashed, and when it returns; `None` while it runs.
    away: Option<(u64, u64)>,
    /// The attempts, the ends of the runs, and when they crash the worker.
    runs: BTreeMap<TaskName, (u32, u64, u64)>,
    finished: Vec<FinishedRow>,
    ends: u64,
    /// When the next report is due at the latest.
    report_ms: u64,
}

/// A leader, its workers and what it has stored.
pub struct World {
    rng: SmallRng,
    trouble: Trouble,
    /// Whether crashed workers return under their old ids.
    keeps_id: bool,
    /// Whether connections fail as a worker crashes; they turn silent otherwise.
    closes: bool,
    away_ms: u64,
    /// When the leader is replaced.
    takeover_ms: Option<u64>,
    shard: Shard,
    token: u64,
    base: Instant,
    now_ms: u64,
    machines: Vec<Machine>,
    specs: BTreeMap<JobId, JobSpec>,
    rows: HashMap<JobId, Vec<u8>>,
    workers_in_use: Vec<(String, String)>,
    crashing: HashMap<JobId, u64>,
    failed: HashSet<JobId>,
    /// When lost tasks could start again.
    lost_ms: HashMap<TaskName, u64>,
    outcome: Outcome,
}

fn info(index: usize, machine: &Machine) -> WorkerInfo {
    WorkerInfo {
        id: machine.id.clone(),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{index}"),
        domain: format!("z{}", index % DOMAINS),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 4_000,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: vec![format!("rack{}", index / 4)],
        started_ms: machine.started_ms,
        remaining_ms: None,
    }
}

impl World {
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let base = Instant::now();
        let machines = (0..WORKERS).map(|i| Machine {
            id: format!("w{i}"),
            started_ms: 1,
            away: None,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            report_ms: 0,
        });
        Self {
            trouble,
            keeps_id: rng.random_bool(0.5),
            closes: rng.random_bool(0.5),
            away_ms: rng.random_range(800..4_000),
            takeover_ms: rng
                .random_bool(0.3)
                .then(|| rng.random_range(5_000..30_000)),
            shard: Shard::new(Params::default(), 1, base),
            token: 1,
            base,
            now_ms: 50,
            machines: machines.collect(),
            specs: BTreeMap::new(),
            rows: HashMap::default(),
            workers_in_use: Vec::new(),
            crashing: HashMap::default(),
            failed: HashSet::default(),
            lost_ms: HashMap::default(),
            outcome: Outcome::default(),
            rng,
        }
    }

    pub fn run(mut self) -> Outcome {
        self.list();
        for _ in 0..LONG_RUNNING_JOBS {
            self.add_job(true);
        }
        let crashing_ms: Vec<u64> = (0..CRASHING_JOBS)
            .map(|_| self.rng.random_range(2_000..25_000))
            .collect();
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if ARRIVALS_MS.contains(&self.now_ms) && self.rng.random_bool(0.25) {
                self.add_job(false);
            }
            let now = self.now_ms / STEP_MS;
            for _ in crashing_ms.iter().filter(|ms| **ms / STEP_MS == now) {
                let id = self.add_job(false);
                self.crashing.insert(id, 0);
            }
            self.step();
        }
        let late = self.lost_ms.iter().filter(|(task, at)| {
            !self.crashing.contains_key(&task.job) && **at + LONG_DELAY_MS < LENGTH_MS
        });
        let late: Vec<_> = late.map(|(_, at)| LENGTH_MS - at).collect();
        self.outcome.long_delays += late.len() as u64;
        let max_delay_ms = late.into_iter().max().unwrap_or(0);
        self.outcome.max_delay_ms = self.outcome.max_delay_ms.max(max_delay_ms);
        let is_innocent = |id: &&JobId| !self.crashing.contains_key(id);
        self.outcome.innocent_given_up = self.failed.iter().filter(is_innocent).count() as u64;
        self.outcome.crashed_by = self.crashing.values().copied().collect();
        let is_open = |id: &&JobId| !self.failed.contains(*id);
        self.outcome.not_given_up = self.crashing.keys().filter(is_open).count() as u64;
        self.outcome
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn add_job(&mut self, long_running: bool) -> JobId {
        let id = JobId(self.specs.len() as u64 + 1);
        let step = Step {
            count: self.rng.random_range(1..4),
            request: Resources {
                cpu: 500,
                mem_mb: 100,
                gpu: 0,
            },
            estimate_ms: self.rng.random_range(500..6_000),
            long_running,
            ..Step::default()
        };
        let spec = JobSpec {
            queue: "q".to_owned(),
            service: "s".to_owned(),
            max_attempts: 2,
            slack_percent: 150,
            extra_ms: 300,
            steps: vec![step],
            token: self.token,
            ..JobSpec::default()
        };
        self.specs.insert(id, spec.clone());
        let now = self.now();
        self.shard.add_job(id, spec, JobOrigin::New, now);
        id
    }

    fn list(&mut self) {
        let now = self.now();
        let is_listed = |m: &Machine| m.away.is_none_or(|(at, _)| self.now_ms < at + LISTED_MS);
        for (i, machine) in self.machines.iter().enumerate() {
            if is_listed(machine) {
                self.shard.worker_listed(&info(i, machine), now);
            }
        }
        let ids = self.shard.worker_addresses().map(|(id, _)| id.to_owned());
        for id in ids.collect::<Vec<_>>() {
            if !self.machines.iter().any(|m| m.id == id && is_listed(m)) {
                self.shard.worker_unlisted(&id, now);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let now = self.now();
        let now_ms = self.now_ms;
        let machine = &mut self.machines[index];
        if machine.away.is_some() {
            return;
        }
        let returns_ms = now_ms + self.away_ms;
        machine.away = Some((now_ms, returns_ms));
        machine.finished.clear();
        for task in std::mem::take(&mut machine.runs).into_keys() {
            self.add_loss(task, now_ms, returns_ms);
        }
        if self.closes {
            let id = self.machines[index].id.clone();
            self.shard.on_connection_lost(&id, now);
        }
    }

    /// Records that a task was lost in a crash.
    fn add_loss(&mut self, task: TaskName, crashed_ms: u64, returns_ms: u64) {
        if !self.crashing.contains_key(&task.job) {
            self.outcome.losses += 1;
        }
        let noticed_ms = if self.keeps_id {
            (crashed_ms + LEASE_END_MS).min(returns_ms + 2 * REPORT_MS)
        } else {
            crashed_ms + LEASE_END_MS
        };
        self.lost_ms.insert(task, noticed_ms.max(self.now_ms));
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        for (i, machine) in self.machines.iter_mut().enumerate() {
            if machine.away.is_some_and(|(_, until)| until <= now_ms) {
                machine.away = None;
                machine.started_ms = now_ms;
                machine.ends = 0;
                machine.report_ms = now_ms;
                if !self.keeps_id {
                    machine.id = format!("w{i}-{now_ms}");
                }
            }
            let ended = machine
                .runs
                .iter()
                .filter(|(_, (_, end, _))| *end <= now_ms);
            for (task, (attempt, ..)) in ended.map(|(t, r)| (*t, *r)).collect::<Vec<_>>() {
                machine.runs.remove(&task);
                machine.ends += 1;
                machine.report_ms = now_ms;
                machine.finished.push(FinishedRow {
                    number: machine.ends,
                    task,
                    attempt,
                    reason: EndReason::Done,
                    checkpoint: String::new(),
                });
            }
        }
        self.inject_crashes();
        if self.takeover_ms.is_some_and(|at| at <= now_ms) {
            self.takeover_ms = None;
            self.replace_leader();
        }
        if now_ms.is_multiple_of(REPORT_MS) {
            self.list();
            self.report();
        }
        let now = self.now();
        self.shard.confirm(now);
        for command in self.shard.poll(now, now_ms) {
            self.execute(command);
        }
        while let Some(batch) = self.shard.take_batch(100, now) {
            self.rows.extend(batch.rows.iter().cloned());
            if let Some(workers_in_use) = &batch.workers_in_use {
                self.workers_in_use.clone_from(workers_in_use);
            }
            self.shard.on_batch_result(&batch, true, now);
        }
        let shard = &self.shard;
        let is_failed = |id: &&JobId| shard.job_state(**id) == Some(JobState::Failed);
        self.failed.extend(self.specs.keys().filter(is_failed));
        let is_over = |id: JobId| {
            matches!(
                shard.job_state(id),
                Some(JobState::Failed | JobState::Completed)
            )
        };
        self.lost_ms.retain(|task, _| !is_over(task.job));
    }

    fn report(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let is_due = |m: &&mut Machine| m.away.is_none() && m.report_ms <= now_ms;
        for machine in self.machines.iter_mut().filter(is_due) {
            machine.report_ms = now_ms + IDLE_REPORT_MS;
            let running = machine.runs.iter().map(|(task, (attempt, ..))| RunningRow {
                task: *task,
                attempt: *attempt,
                checkpoint: String::new(),
                percent: now_ms as f64,
                usage: None,
            });
            let report = Report {
                started_ms: machine.started_ms,
                clock_ms: now_ms,
                running: running.collect(),
                finished: machine.finished.clone(),
            };
            let sent_at = now - Duration::from_millis(1);
            self.shard
                .on_report(&machine.id, &report, sent_at, now, now_ms);
            if let Some((acked, _)) = self.shard.prepare_report_request(&machine.id, now) {
                machine.finished.retain(|end| end.number > acked);
            }
            if self.shard.awaits_fence(&machine.id) {
                // This request does not wait at the worker.
                machine.report_ms = now_ms;
            }
        }
    }

    fn inject_crashes(&mut self) {
        let now_ms = self.now_ms;
        let mut crashes: Vec<usize> = Vec::new();
        for (i, machine) in self.machines.iter().enumerate() {
            if let Some((task, _)) = machine.runs.iter().find(|(_, run)| run.2 <= now_ms) {
                *self.crashing.entry(task.job).or_default() += 1;
                crashes.push(i);
            }
        }
        match self.trouble {
            Trouble::Waves(share) => {
                if WAVES_MS.contains(&now_ms)
                    && (now_ms - WAVES_MS.start) % WAVE_INTERVAL_MS < STEP_MS
                {
                    for i in 0..WORKERS {
                        if self.rng.random_bool(share) {
                            crashes.push(i);
                        }
                    }
                }
            }
            Trouble::Domains => {
                if DOMAIN_CRASHES_MS.contains(&now_ms) {
                    let domain = self.rng.random_range(0..DOMAINS);
                    crashes.extend((0..WORKERS).filter(|i| i % DOMAINS == domain));
                }
            }
        }
        for i in crashes {
            self.crash(i);
        }
    }

    fn execute(&mut self, command: Command) {
        let now = self.now();
        let now_ms = self.now_ms;
        match command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => {
                if let Some(at) = self.lost_ms.remove(&task)
                    && !self.crashing.contains_key(&task.job)
                {
                    let delay_ms = now_ms.saturating_sub(at);
                    self.outcome.max_delay_ms = self.outcome.max_delay_ms.max(delay_ms);
                    self.outcome.long_delays += u64::from(delay_ms > LONG_DELAY_MS);
                }
                let index = self.machines.iter().position(|m| m.id == worker);
                let reply = match index.map(|i| &mut self.machines[i]) {
                    Some(machine) if machine.away.is_none() => {
                        let step = &self.specs[&task.job].steps[0];
                        let end_ms = if step.long_running {
                            u64::MAX
                        } else {
                            now_ms + u64::from(step.estimate_ms)
                        };
                        let is_crashing = self.crashing.contains_key(&task.job) && task.index == 0;
                        let crash_ms = if is_crashing {
                            now_ms + self.rng.random_range(10..400)
                        } else {
                            u64::MAX
                        };
                        machine.report_ms = now_ms;
                        machine
                            .runs
                            .insert(task, (attempt, end_ms.max(now_ms + 1), crash_ms));
                        CommandReply::Ok
                    }
                    Some(machine) => {
                        let (crashed_ms, returns_ms) = machine.away.unwrap_or((now_ms, now_ms));
                        self.add_loss(task, crashed_ms, returns_ms);
                        CommandReply::Silent
                    }
                    None => CommandReply::Silent,
                };
                self.shard
                    .on_start_reply(&worker, task, attempt, reply, now);
            }
            Command::Stop {
                worker,
                task,
                attempt,
                ..
            } => {
                let machine = self.machines.iter_mut().find(|m| m.id == worker);
                let reply = match machine.filter(|m| m.away.is_none()) {
                    Some(machine) => {
                        machine.runs.remove(&task);
                        CommandReply::Ok
                    }
                    None => CommandReply::Silent,
                };
                self.shard.on_stop_reply(&worker, task, attempt, reply, now);
            }
            _ => {}
        }
    }

    /// Replaces the leader by one that knows only what is stored.
    fn replace_leader(&mut self) {
        self.token += 1;
        let now = self.now();
        self.shard = Shard::new(Params::default(), self.token, now);
        for (id, address) in &self.workers_in_use {
            self.shard.add_worker_in_use(id, address, now);
        }
        for (id, spec) in &self.specs {
            let row = self.rows.get(id).map(|row| Progress::decode(row));
            let progress = row.map_or_else(Progress::default, |row| row.expect("a valid row"));
            self.shard
                .add_job(*id, spec.clone(), JobOrigin::Stored(progress), now);
        }
        // Inherited work waits for workers that are away.
        for at in self.lost_ms.values_mut() {
            *at = (*at).max(self.now_ms + Params::default().unknown_run_limit.as_millis() as u64);
        }
        self.list();
    }
}
