//! The state of a shard: its jobs, its workers, and the changes that wait to be stored.
//!
//! The leader feeds this state with jobs, reports and replies. It sends the commands and stores
//! the batches that the state returns. No method does network I/O or reads a clock.

use {
    super::dispatch::MIN_DISPATCH_INTERVAL,
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

/// Attempt numbers reserved per leader token, so that a later leader starts above all earlier ones.
const ATTEMPTS_PER_TOKEN: u32 = 100;

/// Fencing tokens per leader and worker; each incarnation of the worker gets its own.
const TOKENS_PER_LEADER: u64 = 64;

/// The delay before a failed move of a job to another shard is retried.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Durations set by the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// The length of a worker's lease. Report requests renew it; when it expires, the worker stops
    /// its runs.
    pub lease: Duration,
    /// How long after a takeover unknown runs of an earlier leader may continue on an unresponsive
    /// worker.
    pub unknown_run_limit: Duration,
    /// The minimum time for which a draining worker stays.
    pub drain: Duration,
    /// How long a change may wait to be stored, unless it is urgent.
    pub commit_delay: Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            unknown_run_limit: Duration::from_millis(6_200),
            drain: Duration::from_secs(2),
            commit_delay: Duration::from_millis(150),
        }
    }
}

/// A command that the leader sends: to a worker, to another shard, or to the approval service.
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
        /// The text that each task of the job is started with ([`JobSpec::spec`]).
        spec_text: Arc<str>,
        /// The end of the lease, in milliseconds on the worker's clock.
        until_ms: u64,
        /// The fencing token.
        token: u64,
        /// The checkpoint to resume from, empty if none.
        checkpoint: String,
        /// The approval, if the queue needs one.
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
    /// Limit a task to a share of its full speed.
    Throttle {
        /// The worker.
        worker: String,
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The share of full speed, in percent.
        percent: u8,
        /// The fencing token.
        token: u64,
    },
    /// Move a job that has not started to a less loaded shard.
    Move {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: Arc<JobSpec>,
    },
    /// Request approvals for the workers that may run a step.
    RequestApprovals {
        /// A task of the step; its index has no meaning here.
        task: TaskName,
        /// The workers that need approval.
        workers: Vec<String>,
    },
}

/// Where a job comes from when it is added to a [`Shard`].
#[derive(Clone, Debug, PartialEq)]
pub enum JobOrigin {
    /// It was accepted by this leader.
    New,
    /// It was accepted by an earlier leader; the progress is the stored one, the default if none
    /// is stored.
    Stored(Progress),
}

/// Rows to be stored in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Encoded [`Progress`] rows.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Ids and addresses of all workers in use; `None` if they have not changed.
    pub workers_in_use: Option<Vec<(String, String)>>,
    /// Interference estimates; `None` except at intervals.
    pub interference: Option<Vec<PairEstimate>>,
    /// Worker, its `started_ms` and the number of its newest run end that may be acknowledged
    /// once the batch is stored.
    pub(super) acks: Vec<(String, u64, u64)>,
    /// The outcome that each row stores.
    pub(super) outcomes: Vec<(JobId, JobOutcome)>,
}

/// The CPU that open jobs request of a service, in thousandths of its workers' capacity;
/// `u32::MAX` if the service has no worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// Requests of tasks with reserved CPU.
    pub reserved: u32,
    /// Requests of best-effort tasks, which get CPU that others leave unused.
    pub best_effort: u32,
}

/// The phase of a run, by the replies and reports received so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start command has no reply yet.
    Sent,
    /// It was confirmed at this time, by the reply to the start or by a report.
    Running(Instant),
    /// A stop was requested; the worker acknowledged it at this time.
    Stopping(Option<Instant>),
}

/// An attempt of a task that is present, or may be present, on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub attempt: u32,
    pub phase: RunPhase,
    /// Resources that the run takes from the worker's free ones.
    pub reserved: Resources,
    /// CPU requested by a best-effort task, in thousandths of a core; zero for other tasks.
    pub best_effort_cpu: i64,
    /// Tail-latency target of a serving task, in milliseconds; zero for other tasks.
    pub latency_target_ms: f64,
    pub image: Image,
    /// When the run was placed or was first seen in a report.
    pub added_at: Instant,
    /// When to resend an unanswered start or stop; equal to `added_at` if none is due.
    pub resend_at: Instant,
    /// Whether a start command got no reply, so that the worker may still execute it.
    pub in_doubt: bool,
    /// Progress by the last report, in percent; -1 before the first.
    pub progress_percent: f64,
    /// When the progress or the throttle last changed; initially `added_at`.
    pub progressed_at: Instant,
    /// The last throttle sent, in percent of full speed; 100 if none was sent.
    pub throttle_percent: u8,
    /// The newest checkpoint by the worker's reports, empty if none.
    pub checkpoint: String,
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub info: WorkerInfo,
    /// Whether the platform lists it.
    pub listed: bool,
    /// When the platform stopped listing it.
    pub unlisted_at: Option<Instant>,
    pub draining_since: Option<Instant>,
    /// Restarts observed by this leader; part of the fencing token.
    pub incarnations: u64,
    pub clock: LeaseClock,
    /// When all its leases were first seen to have expired; `None` while it responds.
    pub leases_expired_at: Option<Instant>,
    /// When its last report arrived; `None` before the first.
    pub answered_at: Option<Instant>,
    pub runs: HashMap<TaskName, Run>,
    /// Capacity less the reservations of `runs`.
    pub free: Resources,
    /// CPU requested by its best-effort runs, in thousandths of a core.
    pub best_effort_cpu: i64,
    /// CPU reserved by its serving runs, in thousandths of a core.
    pub serving_cpu: i64,
    /// The number of its serving runs.
    pub serving_runs: u32,
    /// The number of the newest run end that this incarnation reported.
    pub last_reported_end: u64,
    /// The number of the newest run end that the worker may forget, as its effect is stored.
    pub last_acked_end: u64,
    /// The throttles of its best-effort tasks, by image.
    pub throttles: HashMap<Image, Throttle>,
    /// The CPU in use by its best-effort images.
    pub pressure: Pressure,
    /// The headroom of each serving image beside all best-effort runs at full speed, less the
    /// minimum that corresponds to `MAX_TAIL`.
    pub headroom: Vec<(Image, f64)>,
    /// Since when a serving task has exceeded its target; `None` if none does.
    pub over_target_since: Option<Instant>,
    /// Failed runs since the last one that was done.
    pub consecutive_failures: u32,
    /// It gets no new tasks until then, after failures or while unhealthy.
    pub ejected_until: Option<Instant>,
    /// It gets no new tasks until then, after it refused one for lack of resources.
    pub full_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    /// The numbers of the attempts that failed.
    pub failed_attempts: Vec<u32>,
    /// The highest attempt number used so far; zero if none.
    pub attempt: u32,
    /// The checkpoint to resume from, empty if none.
    pub checkpoint: String,
    /// The workers that have a run of it.
    pub workers: Vec<String>,
    /// The worker on which it last failed, was stuck or was lost; it starts there only if no other
    /// fits.
    pub avoid_worker: Option<String>,
    /// The earliest time of the next start.
    pub not_before: Option<Instant>,
}

#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// Its number, from zero.
    pub number: u32,
    /// The number of tasks that are not done, by step.
    pub remaining: Vec<u32>,
    /// The tasks, by step and index.
    pub tasks: Vec<Vec<Task>>,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: Arc<JobSpec>,
    /// A copy of [`JobSpec::spec`] that start commands share.
    pub spec_text: Arc<str>,
    /// Whether a task has ever started.
    pub started: bool,
    /// Whether an earlier leader may have started its tasks.
    pub inherited: bool,
    pub outcome: JobOutcome,
    /// When it finished, in milliseconds of Unix time; zero while it is open.
    pub finished_ms: u64,
    /// The outcome that the store holds.
    pub stored_outcome: JobOutcome,
    /// Occurrences that are due and still have open tasks or runs.
    pub occurrences: Vec<Occurrence>,
    /// The numbers of occurrences whose tasks are all done.
    pub occurrences_done: Vec<u32>,
    /// The number of the first occurrence that has not been added yet.
    pub next_occurrence: u32,
    /// Stored records of occurrences that have not been added yet.
    pub records: Vec<TaskRecord>,
    /// When it was accepted; approximate for jobs of earlier leaders.
    pub accepted_at: Instant,
    /// Whether it is being moved to another shard.
    pub moving: bool,
    /// Since when it has had no run; `None` while it has one.
    pub idle_since: Option<Instant>,
    /// The earliest time of the next move, set after a failed one.
    pub move_after: Option<Instant>,
}

/// The approvals of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approvals {
    /// The approval and the worker's `started_ms` at its receipt, by worker.
    pub by_worker: HashMap<String, (String, u64)>,
    /// When the approvals end; `None` if none were received.
    pub until: Option<Instant>,
    /// When an unanswered request was sent.
    pub requested_at: Option<Instant>,
}

/// The state of a shard at its leader.
#[derive(Debug)]
pub struct Shard {
    pub(super) params: Params,
    /// The fencing token of this leader.
    pub(super) token: u64,
    /// When this instance became leader.
    pub(super) leader_since: Instant,
    pub(super) jobs: HashMap<JobId, Job>,
    /// Outcomes of finished jobs and when they finished, in milliseconds of Unix time.
    pub(super) finished: HashMap<JobId, (JobOutcome, u64)>,
    pub(super) workers: HashMap<String, Worker>,
    pub(super) interference: Interference,
    /// Approvals by job, occurrence and step.
    pub(super) approvals: HashMap<(JobId, u32, u16), Approvals>,
    /// Workers reserved for long-running tasks in this dispatch.
    pub(super) reserved_workers: HashSet<String>,
    /// Best-effort images and required labels for which no worker was found in this dispatch,
    /// with the resources that did not fit.
    pub(super) unplaceable: HashMap<(String, Option<String>), Resources>,
    pub(super) dispatched_at: Option<Instant>,
    /// The minimum time between two dispatches, by the duration of the last one.
    pub(super) dispatch_interval: Duration,
    /// When leases, resends, draining and stuck runs were last checked.
    pub(super) checked_at: Option<Instant>,
    /// Whether the listed workers are mostly free, so that idle jobs may force a start.
    pub(super) mostly_free: bool,
    /// Cancelled jobs that have not been added yet.
    pub(super) early_cancels: HashSet<JobId>,
    /// Jobs whose progress has changed since it was handed out for storing.
    pub(super) dirty: HashSet<JobId>,
    pub(super) dirty_since: Option<Instant>,
    /// Whether the dirty jobs are stored without delay.
    pub(super) urgent: bool,
    /// Whether a batch was handed out whose result is not known yet.
    pub(super) storing: bool,
    pub(super) workers_in_use_dirty: bool,
    /// When interference estimates were last handed out for storing.
    pub(super) interference_stored_at: Instant,
    /// Commands for the next [`Shard::poll`] to return.
    pub(super) commands: Vec<Command>,
    /// Whether anything that may allow a start has changed since the last dispatch.
    pub(super) changed: bool,
    /// Whether this instance is about to resign; nothing starts any more.
    pub(super) resigning: bool,
    /// The send time of the last call to which the store confirmed the leadership.
    pub(super) confirmed_at: Instant,
    /// Whether runs with expired leases wait for a confirmation before they restart.
    pub(super) awaits_confirmation: bool,
    /// Loads of the least loaded other shard, by service.
    pub(super) other_shard_loads: HashMap<String, ServiceLoad>,
    /// Whether a worker has seen a higher token, so that another instance leads.
    pub(super) fenced: bool,
}

impl Shard {
    /// Creates the state of a leader that has held `token` since `now`.
    pub fn new(params: Params, token: u64, now: Instant) -> Self {
        Self {
            params,
            token,
            leader_since: now,
            jobs: HashMap::default(),
            finished: HashMap::default(),
            workers: HashMap::default(),
            interference: Interference::default(),
            approvals: HashMap::default(),
            reserved_workers: HashSet::default(),
            unplaceable: HashMap::default(),
            dispatched_at: None,
            dispatch_interval: MIN_DISPATCH_INTERVAL,
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
            resigning: false,
            confirmed_at: now,
            awaits_confirmation: false,
            other_shard_loads: HashMap::default(),
            fenced: false,
        }
    }

    /// Replaces the durations set by the deployment.
    pub fn set_params(&mut self, params: Params) {
        self.params = params;
    }

    /// Restores the interference estimates of an earlier leader.
    pub fn restore_interference(&mut self, pairs: &[PairEstimate]) {
        self.interference.restore(pairs);
    }

    /// Adds a job that was accepted at `accepted`; does nothing if the shard has it already.
    pub fn add_job(&mut self, id: JobId, spec: JobSpec, origin: JobOrigin, accepted: Instant) {
        if self.jobs.contains_key(&id) || self.finished.contains_key(&id) {
            return;
        }
        let (inherited, progress) = match origin {
            JobOrigin::New => (false, Progress::default()),
            JobOrigin::Stored(progress) => (true, progress),
        };
        if progress.outcome != JobOutcome::Open {
            self.finished
                .insert(id, (progress.outcome, progress.finished_ms));
            return;
        }
        let spec_text = Arc::from(spec.spec.as_str());
        let job = Job {
            spec: Arc::new(spec),
            spec_text,
            started: progress.started,
            inherited,
            outcome: JobOutcome::Open,
            finished_ms: 0,
            stored_outcome: JobOutcome::Open,
            occurrences: Vec::new(),
            occurrences_done: progress.occurrences_done,
            next_occurrence: 0,
            records: progress.tasks,
            accepted_at: accepted,
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

    /// Cancels a job; one that has not been added yet is cancelled when it is added.
    ///
    /// `unix_ms` is the time at which the job finished.
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

    /// Sets the loads of the least loaded other shard, by service.
    pub fn set_other_shard_loads(&mut self, loads: HashMap<String, ServiceLoad>) {
        self.other_shard_loads = loads;
    }

    /// Records whether another shard accepted a job from [`Command::Move`].
    pub fn on_move_result(&mut self, id: JobId, moved: bool, now: Instant) {
        if moved {
            self.jobs.remove(&id);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.moving = false;
            job.move_after = Some(now + MOVE_RETRY_DELAY);
            self.changed = true;
        }
    }

    /// Records that the store returned this leader's lease row unchanged to a call sent at
    /// `sent`.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Returns the send time of the last call to which the store confirmed the leadership.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    /// Stops starting tasks, before this instance resigns.
    pub fn stop_starting(&mut self) {
        self.resigning = true;
    }

    /// Returns whether the shard has a job, open or finished.
    pub fn contains_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns whether a worker has rejected this leader's fencing token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns a job's state; a final state is reported only once it is stored.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        if let Some((outcome, _)) = self.finished.get(&id) {
            return Some(state_of(*outcome, true));
        }
        let job = self.jobs.get(&id)?;
        Some(state_of(job.stored_outcome, job.started))
    }

    /// Returns how many jobs of each queue have not started, without scheduled jobs.
    pub fn pending(&self) -> HashMap<String, u32> {
        let mut pending = HashMap::default();
        for job in self.jobs.values() {
            if !job.started && job.outcome == JobOutcome::Open && job.spec.occurrences == 0 {
                *pending.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// Returns the load of each service.
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
        let load = |(capacity, reserved, best_effort): (i64, i64, i64)| {
            let share = |requested: i64| match capacity {
                0 => u32::MAX,
                _ => u32::try_from(requested * 1_000 / capacity).unwrap_or(u32::MAX),
            };
            ServiceLoad {
                reserved: share(reserved),
                best_effort: share(best_effort),
            }
        };
        let loads = sums.into_iter();
        loads.map(|(s, sum)| (s.to_owned(), load(sum))).collect()
    }

    /// Returns the fencing token for commands to a worker.
    pub fn worker_token(&self, id: &str) -> u64 {
        let incarnations = self.workers.get(id).map_or(0, |w| w.incarnations);
        self.token * TOKENS_PER_LEADER + incarnations.min(TOKENS_PER_LEADER - 1)
    }

    /// Returns the lowest attempt number of this leader for jobs of earlier leaders.
    pub(super) fn first_attempt(&self) -> u32 {
        u32::try_from(self.token).unwrap_or(u32::MAX / ATTEMPTS_PER_TOKEN) * ATTEMPTS_PER_TOKEN
    }

    /// Ends a job: its runs are stopped and no task starts any more.
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
        self.dirty_since.get_or_insert(self.leader_since);
        self.urgent = true;
        self.changed = true;
    }

    /// Moves a job to the finished ones if its outcome is stored and it has no runs.
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
