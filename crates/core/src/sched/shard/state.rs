//! Jobs, workers and what is to be stored.

use {
    super::dispatch::DISPATCH_GAP,
    crate::{
        hash::{HashMap, HashSet},
        sched::{
            interference::{Image, Interference, PairEstimate, Pressure},
            job::{JobId, JobSpec, Resources, TaskName},
            progress::{JobOutcome, JobState, Progress, TaskRecord},
            throttle::Throttle,
            worker::{LeaseClock, WorkerInfo},
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Attempts that one leader may use before the numbers of the next begin.
const ATTEMPTS_PER_TOKEN: u32 = 100;

/// Tokens of one leader for one worker; each life of the worker gets another.
const TOKENS_PER_LEADER: u64 = 64;

/// The wait before a job that could not be passed on is passed on again.
const MOVE_RETRY: Duration = Duration::from_secs(1);

/// Figures that a deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// How long a worker may run work without hearing from the leader.
    pub lease: Duration,
    /// How long after a takeover work may run on a worker that does not answer.
    pub orphan_limit: Duration,
    /// How long a draining worker surely stays.
    pub drain: Duration,
    /// How long an end may wait to be stored.
    pub commit_delay: Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            orphan_limit: Duration::from_millis(6_200),
            drain: Duration::from_secs(2),
            commit_delay: Duration::from_millis(150),
        }
    }
}

/// Something that a worker is to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a task.
    Start {
        /// The worker.
        worker: String,
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The job's text.
        text: Arc<str>,
        /// The end of the lease, on the worker's clock.
        until_ms: u64,
        /// The fencing token.
        token: u64,
        /// The checkpoint to resume from, empty if none.
        checkpoint: String,
        /// The approval, where the queue needs one.
        approval: Option<String>,
    },
    /// Stop a task.
    Stop {
        /// The worker.
        worker: String,
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The fencing token.
        token: u64,
    },
    /// Let a task work at a share of its speed.
    Throttle {
        /// The worker.
        worker: String,
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The share.
        percent: u8,
        /// The fencing token.
        token: u64,
    },
    /// Pass a job that has not begun on to a shard with more room.
    Move {
        /// The job.
        job: JobId,
        /// What it is.
        spec: Arc<JobSpec>,
    },
    /// Ask which workers may run a step.
    RequestApprovals {
        /// Any task of the step.
        task: TaskName,
        /// The workers to ask about.
        workers: Vec<String>,
    },
}

/// How a leader comes to know a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobOrigin {
    /// It was accepted under this leader.
    New,
    /// It was there before this leader, with this progress.
    Stored(Progress),
}

/// Rows to be stored in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Progress of jobs.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// The names and addresses of the workers that may run work, if they have changed.
    pub workers_in_use: Option<Vec<(String, String)>>,
    /// What has been learnt of the images that disturb each other, now and then.
    pub interference: Option<Vec<PairEstimate>>,
    pub(super) acks: Vec<(String, u64, u64)>,
    pub(super) outcomes: Vec<(JobId, JobOutcome)>,
}

/// How much of a service's processor is asked for, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// By tasks that keep what they ask for.
    pub reserved: u32,
    /// By tasks that get what others leave unused.
    pub best_effort: u32,
}

/// What a run is doing, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start was sent and not answered.
    Sent,
    /// It was there at this time, by the answer to the start or by a report.
    Running(Instant),
    /// It is to be stopped; answered at this time.
    Stopping(Option<Instant>),
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub attempt: u32,
    pub phase: RunPhase,
    pub reserved: Resources,
    pub best_effort_cpu: i64,
    pub target_ms: f64,
    pub image: Image,
    pub since: Instant,
    pub resend_at: Instant,
    /// Whether an order of it got no answer, so that it may be carried out later.
    pub in_doubt: bool,
    pub percent: f64,
    pub progressed_at: Instant,
    pub throttle_percent: u8,
    pub checkpoint: String,
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub info: WorkerInfo,
    /// Whether the platform lists it.
    pub listed: bool,
    /// When the platform ceased to list it.
    pub unlisted_at: Option<Instant>,
    pub draining_since: Option<Instant>,
    pub incarnations: u64,
    pub clock: LeaseClock,
    /// Since when its leases have surely ended.
    pub leases_expired_at: Option<Instant>,
    pub answered_at: Option<Instant>,
    pub runs: HashMap<TaskName, Run>,
    pub free: Resources,
    pub best_effort_cpu: i64,
    pub serving_cpu: i64,
    pub serving: u32,
    pub seen_end: u64,
    pub acked_end: u64,
    /// The pace of its filling tasks, by image.
    pub throttles: HashMap<Image, Throttle>,
    pub pressure: Pressure,
    /// The headroom that is left to each serving image.
    pub headroom: Vec<(Image, f64)>,
    /// Since when a serving task has been over its target.
    pub over_target_since: Option<Instant>,
    pub failures: u32,
    pub ejected_until: Option<Instant>,
    pub full_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    /// The attempts that failed.
    pub failed: Vec<u32>,
    pub attempt: u32,
    pub checkpoint: String,
    /// The workers that have a run of it.
    pub workers: Vec<String>,
    pub avoid: Option<String>,
    pub not_before: Option<Instant>,
}

#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub number: u32,
    /// Tasks that are not done, by step.
    pub remaining: Vec<u32>,
    pub tasks: Vec<Vec<Task>>,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: Arc<JobSpec>,
    pub text: Arc<str>,
    pub started: bool,
    /// Whether an earlier leader may have started its tasks.
    pub inherited: bool,
    pub outcome: JobOutcome,
    pub finished_ms: u64,
    pub stored_outcome: JobOutcome,
    pub occurrences: Vec<Occurrence>,
    pub occurrences_done: Vec<u32>,
    /// The first round that has not been made yet.
    pub next_occurrence: u32,
    pub records: Vec<TaskRecord>,
    pub accepted_at: Instant,
    /// Whether it is being passed on to another shard.
    pub moving: bool,
    /// Since when nothing of it has been running.
    pub idle_since: Option<Instant>,
    /// When it may be passed on.
    pub move_after: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Approvals {
    pub by_worker: HashMap<String, (String, u64)>,
    pub until: Option<Instant>,
    pub requested_at: Option<Instant>,
}

/// The state of a shard at its leader.
#[derive(Debug)]
pub struct Shard {
    pub(super) params: Params,
    pub(super) token: u64,
    pub(super) since: Instant,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) finished: HashMap<JobId, (JobOutcome, u64)>,
    pub(super) workers: HashMap<String, Worker>,
    pub(super) interference: Interference,
    pub(super) approvals: HashMap<(JobId, u32, u16), Approvals>,
    /// Workers that are kept for lasting tasks in this pass.
    pub(super) reserved_workers: HashSet<String>,
    /// Filling images and labels for which no worker was found in this pass, and the room.
    pub(super) unplaceable: HashMap<(String, Option<String>), Resources>,
    pub(super) dispatched_at: Option<Instant>,
    pub(super) dispatch_gap: Duration,
    pub(super) checked_at: Option<Instant>,
    /// Whether most of the workers' processor is not kept by anybody.
    pub(super) mostly_free: bool,
    pub(super) early_cancels: HashSet<JobId>,
    pub(super) dirty: HashSet<JobId>,
    pub(super) dirty_since: Option<Instant>,
    pub(super) urgent: bool,
    /// Whether rows were handed out whose fate is not known yet.
    pub(super) storing: bool,
    pub(super) workers_in_use_dirty: bool,
    /// When it was last stored what has been learnt.
    pub(super) interference_stored_at: Instant,
    pub(super) commands: Vec<Command>,
    pub(super) changed: bool,
    pub(super) stopping: bool,
    pub(super) confirmed: Instant,
    /// Whether work waits for a confirmation to start again.
    pub(super) awaits_confirmation: bool,
    /// Loads of the least loaded other shard, by service.
    pub(super) other_shard_loads: HashMap<String, ServiceLoad>,
    pub(super) fenced: bool,
}

impl Shard {
    /// Creates the state of a leader that holds `token` since `now`.
    pub fn new(params: Params, token: u64, now: Instant) -> Self {
        Self {
            params,
            token,
            since: now,
            jobs: HashMap::default(),
            finished: HashMap::default(),
            workers: HashMap::default(),
            interference: Interference::default(),
            approvals: HashMap::default(),
            reserved_workers: HashSet::default(),
            unplaceable: HashMap::default(),
            dispatched_at: None,
            dispatch_gap: DISPATCH_GAP,
            checked_at: None,
            mostly_free: false,
            early_cancels: HashSet::default(),
            dirty: HashSet::default(),
            dirty_since: None,
            urgent: false,
            storing: false,
            workers_in_use_dirty: true,
            interference_stored_at: now,
            commands: Vec::new(),
            changed: true,
            stopping: false,
            confirmed: now,
            awaits_confirmation: false,
            other_shard_loads: HashMap::default(),
            fenced: false,
        }
    }

    /// Takes in other figures of the deployment.
    pub fn set_params(&mut self, params: Params) {
        self.params = params;
    }

    /// Takes in what an earlier leader has learnt of the images.
    pub fn restore_interference(&mut self, pairs: &[PairEstimate]) {
        self.interference.restore(pairs);
    }

    /// Takes in a job: a new one, or one that an earlier leader may have begun.
    pub fn add_job(&mut self, id: JobId, spec: JobSpec, found: JobOrigin, now: Instant) {
        if self.jobs.contains_key(&id) || self.finished.contains_key(&id) {
            return;
        }
        let (inherited, progress) = match found {
            JobOrigin::New => (false, Progress::default()),
            JobOrigin::Stored(progress) => (true, progress),
        };
        if progress.outcome != JobOutcome::Open {
            self.finished
                .insert(id, (progress.outcome, progress.finished_ms));
            return;
        }
        let text = Arc::from(spec.spec.as_str());
        let job = Job {
            spec: Arc::new(spec),
            text,
            started: progress.started,
            inherited,
            outcome: JobOutcome::Open,
            finished_ms: 0,
            stored_outcome: JobOutcome::Open,
            occurrences: Vec::new(),
            occurrences_done: progress.occurrences_done,
            next_occurrence: 0,
            records: progress.tasks,
            accepted_at: now,
            moving: false,
            idle_since: None,
            move_after: None,
        };
        self.jobs.insert(id, job);
        self.changed = true;
        if self.early_cancels.remove(&id) {
            self.cancel(id, 0);
        }
    }

    /// Cancels a job; one that is not known yet is cancelled when it comes.
    pub fn cancel(&mut self, id: JobId, unix_ms: u64) {
        if self.finished.contains_key(&id) {
            return;
        }
        match self.jobs.get(&id) {
            Some(job) if job.outcome == JobOutcome::Open => {
                self.end_job(id, JobOutcome::Cancelled, unix_ms)
            }
            Some(_) => {}
            None => {
                self.early_cancels.insert(id);
            }
        }
    }

    /// Takes in the least loads of other shards, by service.
    pub fn set_other_shard_loads(&mut self, loads: HashMap<String, ServiceLoad>) {
        self.other_shard_loads = loads;
    }

    /// Takes in whether a job was passed on.
    pub fn on_move_result(&mut self, id: JobId, moved: bool, now: Instant) {
        if moved {
            self.jobs.remove(&id);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.moving = false;
            job.move_after = Some(now + MOVE_RETRY);
            self.changed = true;
        }
    }

    /// Takes in that the store showed this leader's lease row unchanged to a call that was sent
    /// at `sent`.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Returns when the store was last asked and showed that this instance leads.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed
    }

    /// Stops starting work, before the lead is given up.
    pub fn stop_starting(&mut self) {
        self.stopping = true;
    }

    /// Returns whether a job is known here.
    pub fn contains_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns whether a worker has refused this leader's token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns a job's state; an end is told only once it is stored.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        if let Some((outcome, _)) = self.finished.get(&id) {
            return Some(state_of(*outcome, true));
        }
        let job = self.jobs.get(&id)?;
        Some(state_of(job.stored_outcome, job.started))
    }

    /// Returns how many jobs of each queue have not begun, timed ones left out.
    pub fn pending(&self) -> HashMap<String, u32> {
        let mut pending = HashMap::default();
        for job in self.jobs.values() {
            if !job.started && job.outcome == JobOutcome::Open && job.spec.occurrences == 0 {
                *pending.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// Returns for each service the processor that is asked for.
    pub fn loads(&self) -> HashMap<String, ServiceLoad> {
        let mut sums: HashMap<&str, (i64, i64, i64)> = HashMap::default();
        for worker in self.workers.values().filter(|w| w.listed) {
            let sum = sums.entry(&worker.info.service).or_default();
            sum.0 += worker.info.capacity.cpu;
        }
        for job in self.jobs.values().filter(|j| j.outcome == JobOutcome::Open) {
            let sum = sums.entry(&job.spec.service).or_default();
            let (reserved, best_effort) = job.demand();
            sum.1 += reserved;
            sum.2 += best_effort;
        }
        let load = |(there, reserved, best_effort): (i64, i64, i64)| {
            let share = |asked: i64| match there {
                0 => u32::MAX,
                _ => u32::try_from(asked * 1_000 / there).unwrap_or(u32::MAX),
            };
            ServiceLoad {
                reserved: share(reserved),
                best_effort: share(best_effort),
            }
        };
        let loads = sums.into_iter();
        loads.map(|(s, sum)| (s.to_owned(), load(sum))).collect()
    }

    /// Returns the token for orders to a worker.
    pub fn worker_token(&self, id: &str) -> u64 {
        let incarnations = self.workers.get(id).map_or(0, |w| w.incarnations);
        self.token * TOKENS_PER_LEADER + incarnations.min(TOKENS_PER_LEADER - 1)
    }

    pub(super) fn first_attempt(&self) -> u32 {
        u32::try_from(self.token).unwrap_or(u32::MAX / ATTEMPTS_PER_TOKEN) * ATTEMPTS_PER_TOKEN
    }

    /// Ends a job: nothing of it starts any more, what runs is stopped.
    pub(super) fn end_job(&mut self, id: JobId, outcome: JobOutcome, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.outcome = outcome;
        job.finished_ms = unix_ms;
        log::info!("jobs: job={id} over as {outcome:?} token={}.", self.token);
        let runs: Vec<_> = job.runs(id).collect();
        for (worker, task) in runs {
            self.stop_run(&worker, task);
        }
        self.dirty.insert(id);
        self.dirty_since.get_or_insert(self.since);
        self.urgent = true;
        self.changed = true;
    }

    /// Forgets a job whose end is stored, once nothing of it runs.
    pub(super) fn retire(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.stored_outcome == JobOutcome::Open || job.runs(id).next().is_some() {
            return;
        }
        self.finished
            .insert(id, (job.stored_outcome, job.finished_ms));
        self.jobs.remove(&id);
        self.approvals.retain(|(job, _, _), _| *job != id);
        self.interference.remove_job(id);
    }
}

fn state_of(outcome: JobOutcome, started: bool) -> JobState {
    match outcome {
        JobOutcome::Open if started => JobState::Running,
        JobOutcome::Open => JobState::Queued,
        JobOutcome::Completed => JobState::Completed,
        JobOutcome::Failed => JobState::Failed,
        JobOutcome::Cancelled => JobState::Cancelled,
    }
}
