//! The state of a shard: its jobs, its workers, and the changes that wait to be stored.
//!
//! The leader passes jobs, reports and replies to [`Shard`], sends the commands that it returns and
//! stores the batches that it returns. No method does network I/O or reads a clock.

use {
    super::{
        delay_cost::OverdueJobs,
        dispatch::{MIN_DISPATCH_INTERVAL, PlacementKey},
        displacement::Displacement,
        estimates::JobEstimates,
        evacuations::Evacuation,
        losses::{Losses, Processes},
        outlook::OutlookState,
        stalls::Stall,
        trust::TrustCounts,
    },
    crate::{
        hash::{HashMap, HashSet},
        sched::{
            failure_rates::{FailureRates, WorkerEnds},
            interference::{Image, Interference, PairEstimate, Pressure},
            job::{JobId, JobSpec, Resources, TaskName},
            loans::{LoanLedger, MAX_LOAN},
            number_set::NumberSet,
            progress::{JobOutcome, LossRecord, PlacementRecord, Progress, TaskRecord},
            run_times::{RunTimes, ShapeTimes},
            size_fairness::SizeFairness,
            stuck::Pace,
            throttle::Throttle,
            worker::{LeaseClock, WorkerInfo},
            worker_speed::WorkerSpeed,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The number of attempt numbers per leader token, so that a later leader's attempts have higher
/// numbers than those of all earlier leaders. A long-running task that needs more reserves them, see
/// [`Task::reserve_attempts`].
const ATTEMPTS_PER_TOKEN: u32 = 100;

/// With how many attempt numbers left more of them are reserved. A long-running task that fails at once
/// starts 20 times a second, and a write takes less than a second.
const MIN_ATTEMPTS_LEFT: u32 = 50;

/// The number of attempt numbers that are reserved at a time.
const RESERVED_ATTEMPTS: u32 = 1_000;

/// The number of fencing tokens per leader token. Each incarnation of a worker that the leader
/// observes gets its own fencing token, and one that it may not have observed.
pub(super) const TOKENS_PER_LEADER: u64 = 64;

/// The delay before a failed move of a job to another shard is retried.
const MOVE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a loan's caps may pass late by, besides the drift of clocks: the same margin as for leases.
const LOAN_MARGIN: Duration = Duration::from_millis(100);

/// Durations and limits set by the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// The length of a worker's lease. Report requests renew it; when it expires, the worker stops
    /// its runs.
    pub lease: Duration,
    /// How long after a takeover runs of an earlier leader, which this leader does not know, may
    /// continue on an unresponsive worker.
    pub unknown_run_limit: Duration,
    /// The minimum time that a worker keeps running after its drain has begun.
    pub drain: Duration,
    /// How long a change may wait to be stored, unless it is urgent.
    pub commit_delay: Duration,
    /// The maximum number of ended attempts in a worker's report, which has the oldest ones. A report
    /// with as many may leave out newer ones.
    pub max_listed_ends: usize,
    /// Whether long-running tasks are stopped to make room for short work that can be in time.
    pub displace_long_running: bool,
    /// Whether waiting jobs are served by their cost of delay.
    pub cost_of_delay: bool,
    /// The maximum length of a lease, which workers enforce.
    pub max_lease: Duration,
    /// Whether this leader lends the right to renew leases, or an earlier one may have.
    pub lends_leases: bool,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(4),
            unknown_run_limit: Duration::from_millis(6_200),
            drain: Duration::from_secs(2),
            commit_delay: Duration::from_millis(150),
            max_listed_ends: 500,
            displace_long_running: false,
            cost_of_delay: false,
            max_lease: Duration::from_secs(6),
            lends_leases: false,
        }
    }
}

impl Params {
    /// Adds loans of the right to renew leases, on workers whose leases last at most `max_lease`; see
    /// [`loans`](crate::sched::loans).
    ///
    /// Runs of an earlier leader may then continue until its last loan has passed, on a clock that is 2%
    /// slow and whose estimate may be ahead by that share of the age of the last report.
    #[must_use]
    pub fn with_loans(self, max_lease: Duration) -> Self {
        let extra = max_lease.min(MAX_LOAN).saturating_sub(self.lease);
        Self {
            unknown_run_limit: self.unknown_run_limit + extra * 103 / 100 + LOAN_MARGIN,
            max_lease: self.max_lease.max(max_lease),
            lends_leases: true,
            ..self
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
        /// The worker's process that the command is for: when it started, in milliseconds of Unix time;
        /// zero if unknown.
        started_ms: u64,
        /// The end of the worker's lease, in milliseconds on the clock of that process.
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
    /// Limit a best-effort task to a share of its full speed.
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
        /// Names the job, occurrence and step; the task's index has no meaning here.
        task: TaskName,
        /// The ids of the workers that need approval.
        workers: Vec<String>,
    },
}

/// Where a job comes from when it is added to a [`Shard`].
#[derive(Clone, Debug, PartialEq)]
pub enum JobOrigin {
    /// It was accepted by this leader.
    New,
    /// It was accepted by an earlier leader. Holds the stored progress, or the default if none is
    /// stored.
    Stored(Progress),
}

/// Rows to be stored in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Job ids and their encoded [`Progress`] rows.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Ids and addresses of all workers that may have runs or get some; `None` if they have not
    /// changed.
    pub workers_in_use: Option<Vec<(String, String)>>,
    /// Interference estimates; `None` if none are due to be stored.
    pub interference: Option<Vec<PairEstimate>>,
    /// Run times, stored in the same row as the interference estimates.
    pub run_times: Vec<ShapeTimes>,
    /// Run ends that may be acknowledged once the batch is stored: worker id, the worker's
    /// `started_ms`, and the number of its newest run end.
    pub(super) acks: Vec<(String, u64, u64)>,
    /// The tasks whose workers `rows` name.
    pub(super) placed: HashSet<TaskName>,
    /// The outcome in each of `rows`, by job id.
    pub(super) outcomes: Vec<(JobId, JobOutcome)>,
}

impl Batch {
    /// Returns the finished jobs among [`Batch::rows`], whose specifications are not needed any
    /// more once the batch is stored.
    pub fn finished_jobs(&self) -> impl Iterator<Item = JobId> {
        let finished = self.outcomes.iter();
        let finished = finished.filter(|(_, outcome)| *outcome != JobOutcome::Open);
        finished.map(|(id, _)| *id)
    }
}

/// The CPU that open jobs request of a service, in thousandths of its workers' capacity;
/// `u32::MAX` if the service has no worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// The CPU requested by tasks that reserve it, which are all but best-effort tasks.
    pub reserved: u32,
    /// The CPU requested by best-effort tasks, which run on CPU that other tasks leave unused.
    pub best_effort: u32,
}

/// The phase of a run according to the replies and reports received so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The start command has no reply yet.
    Sent,
    /// The worker has the run. The time is when that was confirmed, by the reply to the start
    /// command or by a report.
    Running(Instant),
    /// A stop command was queued. The time is when the worker acknowledged it; `None` until then.
    Stopping(Option<Instant>),
}

/// An attempt of a task that is present, or may be present, on a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub attempt: u32,
    pub phase: RunPhase,
    /// The resources that the run reserves; they are not part of the worker's `free` resources.
    pub reserved: Resources,
    /// The CPU requested by a best-effort task, in thousandths of a core; zero for other tasks.
    pub best_effort_cpu: i64,
    /// The tail-latency target of a serving task, in milliseconds; zero for other tasks.
    pub latency_target_ms: f64,
    /// Whether the task's step is long-running.
    pub is_long_running: bool,
    pub image: Image,
    /// When the run was placed or was first seen in a report.
    pub added_at: Instant,
    /// When to resend the start or stop command; equal to `added_at` if no resend is scheduled.
    pub resend_at: Instant,
    /// Whether a start command got no reply, so that the worker may still execute it.
    pub in_doubt: bool,
    /// Whether any copy of the start command got no reply, also if another one did. It may be executed
    /// late, by a later process of the worker.
    pub has_stray_start: bool,
    /// Whether the run was lost with its process, which is recorded, and is stopped only because it may
    /// start late.
    pub is_recorded_loss: bool,
    /// Whether the last report leaves out ended attempts and does not list the run, which may thus
    /// have ended in any way.
    pub has_unlisted_end: bool,
    /// Whether an earlier leader may have started the run.
    pub is_inherited: bool,
    /// When the worker's process at the time of the start had started, in milliseconds of Unix time.
    pub process_started_ms: u64,
    /// Whether the run was started by this leader and does the whole task, so that the time until its
    /// end is the run time of the task.
    pub is_whole: bool,
    /// The progress in the last report, in percent; -1 before the first report.
    pub progress_percent: f64,
    /// When the progress or the throttle last changed; initially `added_at`.
    pub progressed_at: Instant,
    /// The progress that the run has shown.
    pub pace: Pace,
    /// The last throttle sent: the share of full speed at which the run may work, in percent; 100
    /// if none was sent.
    pub speed_percent: u8,
    /// The newest checkpoint that the worker reported, empty if none.
    pub checkpoint: String,
}

#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub info: WorkerInfo,
    /// Whether the platform lists the worker.
    pub listed: bool,
    /// When the incarnation that the list describes started, in milliseconds of Unix time; zero if
    /// unknown.
    pub listed_started_ms: u64,
    /// Whether the worker's failure domain is evacuated, so that it gets no new tasks.
    pub is_evacuated: bool,
    /// Whether the stored list of workers in use certainly contains the worker with its current
    /// address. No task starts on the worker before.
    pub is_stored_in_use: bool,
    /// Whether an earlier leader may have started tasks on the worker.
    pub is_inherited: bool,
    /// When the platform stopped listing the worker; `None` while it lists it.
    pub unlisted_at: Option<Instant>,
    /// By when all leases of earlier leaders have ended, as the predecessor has told; `None` if it has
    /// not, or the worker has answered.
    pub earlier_leases_until: Option<Instant>,
    /// Whether a stored heartbeat may name the worker as silent, so that it gets no lease; see the module
    /// `silences`.
    pub is_told_silent: bool,
    /// Since when the worker counts as draining; `None` while the platform lists it as ready.
    pub draining_since: Option<Instant>,
    /// The number of restarts that this leader has observed, and of those that it may have missed
    /// while starts had no reply; part of the fencing token.
    pub incarnations: u64,
    /// The worker's clock as estimated from its reports, and the end of its leases.
    pub clock: LeaseClock,
    /// Whether tasks may start on the worker's present incarnation; see [`LeaseClock::is_settled`].
    pub is_settled: bool,
    /// When the leader first found the worker's leases expired; `None` while the worker responds.
    pub leases_expired_at: Option<Instant>,
    /// When the worker's last report arrived; `None` before the first.
    pub answered_at: Option<Instant>,
    /// When the connection failed on which the next report was requested; `None` if it did not.
    pub connection_lost_at: Option<Instant>,
    pub runs: HashMap<TaskName, Run>,
    /// The capacity less the resources that `runs` reserve.
    pub free: Resources,
    /// The CPU requested by best-effort runs, in thousandths of a core.
    pub best_effort_cpu: i64,
    /// The CPU reserved by serving runs, in thousandths of a core.
    pub serving_cpu: i64,
    /// The CPU reserved by long-running runs, in thousandths of a core.
    pub long_running_cpu: i64,
    /// How many of `runs` are of serving tasks, which have a tail-latency target.
    pub serving_runs: u32,
    /// The number of the newest run end that the current incarnation reported; zero if none.
    pub last_reported_end: u64,
    /// The number of the newest run end that the worker may forget, because its effect is stored;
    /// zero if none.
    pub last_acked_end: u64,
    /// The throttles of the worker's best-effort tasks, by image.
    pub throttles: HashMap<Image, Throttle>,
    /// The CPU that best-effort images use, as shares of the worker's capacity.
    pub pressure: Pressure,
    /// The headroom that each serving image has while all best-effort runs are at full speed, less
    /// the headroom at a tail latency of `MAX_TAIL`.
    pub headroom: Vec<(Image, f64)>,
    /// Since when any serving task has exceeded its tail-latency target; `None` if none does.
    pub over_target_since: Option<Instant>,
    /// The last ends of runs.
    pub ends: WorkerEnds,
    /// The speed of the last runs.
    pub speed: WorkerSpeed,
    /// The speed by which the worker is ranked, where 1 is the usual one.
    pub current_speed: f64,
    /// How often the worker was ejected, each time shortly after the last.
    pub ejections: u32,
    /// The number of starts refused as unhealthy since the last that was not.
    pub refusals: u32,
    /// The worker gets no new tasks before this time, after it refused one as unhealthy.
    pub refused_until: Option<Instant>,
    /// The worker gets no new tasks before this time, because of failed or stuck runs.
    pub ejected_until: Option<Instant>,
    /// The worker comes last in the ranking before this time, after a stuck run.
    pub doubted_until: Option<Instant>,
    /// When a run on the worker last showed progress or was done; `None` if none has.
    pub progressed_at: Option<Instant>,
    /// The runs that were recently stopped as stuck.
    pub stalls: Vec<Stall>,
    /// Whether the last report may leave out ended attempts; see [`Params::max_listed_ends`].
    pub omits_ends: bool,
    /// Whether all reports to this leader may leave out ended attempts, so that those of an earlier
    /// leader may be unknown.
    pub omits_inherited_ends: bool,
    /// Whether the last report has runs that are not in `runs`, since they are only stopped. What they
    /// take up is unknown, so the worker gets no new tasks meanwhile.
    pub has_unaccounted_runs: bool,
    /// The worker gets no new tasks before this time, after it refused one for lack of resources.
    pub full_until: Option<Instant>,
    /// Other tasks preferably start elsewhere before this time, after the start of a suspected
    /// task.
    pub probation_until: Option<Instant>,
}

impl Run {
    /// Returns whether the worker has confirmed that it started the attempt.
    pub(super) fn is_confirmed(&self) -> bool {
        self.phase != RunPhase::Sent && !self.in_doubt
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub done: bool,
    /// The numbers of the attempts that failed; see [`TaskRecord::failed`].
    pub failed_attempts: Vec<u32>,
    /// The highest attempt number used so far; zero if none.
    pub attempt: u32,
    /// The checkpoint to resume from, empty if none.
    pub checkpoint: String,
    /// The ids of the workers that have a run of the task.
    pub workers: Vec<String>,
    /// The id of the worker on which the task last failed, was stuck or was lost; the task starts
    /// there only if it fits on no other worker.
    pub avoid_worker: Option<String>,
    /// The earliest time of the next start; `None` if there is no limit.
    pub not_before: Option<Instant>,
    /// When the task's last run was removed; `None` while it has one or before its first.
    pub idle_since: Option<Instant>,
    /// The worker that the stored row may name; see [`PlacementRecord`]. The task starts only while
    /// there is none.
    pub placement: Option<String>,
    /// Whether the row that this leader read at its takeover named a worker.
    pub is_located: bool,
    /// Whether that worker may still have a run of an earlier leader.
    pub awaits_worker: bool,
    /// The worker that has confirmed a run of a long-running task; `None` if there is none.
    pub confirmed_on: Option<String>,
    /// The workers that the task has lost; `None` if none.
    pub losses: Option<Box<Losses>>,
    /// How often the task was stopped as stuck without its worker being at fault.
    pub stuck_stops: u32,
}

impl Task {
    /// Reserves attempt numbers in the row of a long-running task if few are left after `attempt`, below
    /// those of the next leader, which begins with `next_first`. Returns whether the row has changed.
    fn reserve_attempts(&mut self, attempt: u32, next_first: u32) -> bool {
        let reserved = self.failed_attempts.iter().copied().max();
        let last = next_first.saturating_sub(1).max(reserved.unwrap_or(0));
        if attempt.saturating_add(MIN_ATTEMPTS_LEFT) <= last {
            return false;
        }
        self.failed_attempts = vec![attempt.saturating_add(RESERVED_ATTEMPTS)];
        true
    }
}

#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// The number of the occurrence, from zero.
    pub number: u32,
    /// The number of tasks that are not done, for each step.
    pub remaining: Vec<u32>,
    /// The tasks, by step and by their index in the step; none of a step before it is ready or one of
    /// its tasks is named by a report or a stored record.
    pub tasks: Vec<Vec<Task>>,
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub spec: Arc<JobSpec>,
    /// A copy of [`JobSpec::spec`] that start commands share.
    pub spec_text: Arc<str>,
    /// Whether a task has ever started.
    pub started: bool,
    /// Whether the job was accepted by an earlier leader, which may have started its tasks.
    pub inherited: bool,
    pub outcome: JobOutcome,
    /// When the job finished, in milliseconds of Unix time; zero while it is open.
    pub finished_ms: u64,
    /// The outcome in the stored row.
    pub stored_outcome: JobOutcome,
    /// The occurrences that were added and still have open tasks or runs, by ascending number. Of the
    /// due ones only so many are added as may start soon; see the module `occurrences`.
    pub occurrences: Vec<Occurrence>,
    /// The numbers of occurrences whose tasks are all done.
    pub occurrences_done: NumberSet,
    /// The numbers of those that are still in `occurrences`, since tasks had other runs.
    pub done_with_runs: Vec<u32>,
    /// How many occurrences were due at the last check.
    pub due_occurrences: u32,
    /// The lowest number that an occurrence may have that was neither added nor done.
    pub next_occurrence: u32,
    /// The stored records of tasks whose occurrences have not been added yet.
    pub records: Vec<TaskRecord>,
    /// The stored losses of tasks whose occurrences have not been added yet.
    pub stored_losses: Vec<LossRecord>,
    /// The stored placements of tasks whose occurrences have not been added yet.
    pub stored_placements: Vec<PlacementRecord>,
    /// Whether any task may await the worker that its stored placement names.
    pub has_awaiting_tasks: bool,
    /// Whether any task may have lost a worker.
    pub has_losses: bool,
    /// When the job was accepted; approximate for jobs of earlier leaders.
    pub accepted_at: Instant,
    /// Whether the job is being moved to another shard; its tasks don't start meanwhile.
    pub moving: bool,
    /// Since when the job has been idle; `None` while it has a run.
    pub idle_since: Option<Instant>,
    /// When the job first held back workers after its last start; `None` if it has not since.
    pub held_since: Option<Instant>,
    /// Whether [`Shard::size_fairness`] has counted the job.
    pub is_counted: bool,
    /// The run times of the last tasks that were done, by occurrence and step, with their workers.
    pub step_times: HashMap<(u32, u16), Vec<(String, Duration)>>,
    /// How long its tasks take.
    pub estimates: JobEstimates,
    /// The earliest time of the next move; `None` unless a move has failed.
    pub move_retry_at: Option<Instant>,
}

/// The approvals of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approvals {
    /// By worker id: the approval, and the worker's `started_ms` when the approval arrived.
    pub by_worker: HashMap<String, (String, u64)>,
    /// When the approvals become invalid; `None` if none were received.
    pub valid_until: Option<Instant>,
    /// When the request that still has no answer was queued; `None` if there is none.
    pub requested_at: Option<Instant>,
}

/// The state of a shard at its leader.
#[derive(Debug)]
pub struct Shard {
    pub(super) params: Params,
    /// The token of this leader, from its lease row; higher than those of all earlier leaders.
    pub(super) token: u64,
    /// When this instance became leader.
    pub(super) leader_since: Instant,
    /// Since when no earlier leader renews leases, but for the time that it may take to resign.
    pub(super) unknown_runs_since: Instant,
    pub(super) jobs: HashMap<JobId, Job>,
    /// The outcome of each finished job, and when it finished, in milliseconds of Unix time.
    pub(super) finished: HashMap<JobId, (JobOutcome, u64)>,
    /// The workers, by id.
    pub(super) workers: HashMap<String, Worker>,
    /// The workers' processes, and those that were lost.
    pub(super) processes: Processes,
    pub(super) interference: Interference,
    /// The run times of tasks that were done.
    pub(super) run_times: RunTimes,
    /// The ends and failures of runs on all workers.
    pub(super) failure_rates: FailureRates,
    /// The counts since they were last taken.
    pub(super) counts: TrustCounts,
    /// When the estimates of the jobs were last computed.
    pub(super) estimated_at: Option<Instant>,
    /// The evacuated failure domains.
    pub(super) evacuation: Evacuation,
    /// The long-running tasks that were stopped to make room for short work.
    pub(super) displacement: Displacement,
    /// The loans that may be in use.
    pub(super) loans: LoanLedger,
    /// The expected waits of new jobs, and the measurements that they need.
    pub(super) outlook: OutlookState,
    /// Approvals by job, occurrence and step.
    pub(super) approvals: HashMap<(JobId, u32, u16), Approvals>,
    /// The ids of workers that this dispatch holds back; see the module `waiting`.
    pub(super) held_back_workers: HashSet<String>,
    /// The job for which this dispatch holds back workers; `None` if there is none.
    pub(super) held_back_for: Option<JobId>,
    /// Since when each dispatch has held back workers; `None` if the last one held back none.
    pub(super) holding_since: Option<Instant>,
    /// How often the short jobs of each queue are served, by their size.
    pub(super) size_fairness: HashMap<String, SizeFairness>,
    /// The useless jobs that come first; see the module `delay_cost`.
    pub(super) overdue_jobs: OverdueJobs,
    /// The resources requested by tasks that found no worker in this dispatch.
    pub(super) unplaceable: HashMap<PlacementKey, Resources>,
    /// The time of the last dispatch; `None` before the first.
    pub(super) dispatched_at: Option<Instant>,
    /// The minimum time between two dispatches, set from the duration of the last one.
    pub(super) dispatch_interval: Duration,
    /// When leases, resends, draining and stuck runs were last checked.
    pub(super) checked_at: Option<Instant>,
    /// Whether the listed workers are mostly free, so that tasks of idle jobs may start despite
    /// interference.
    pub(super) mostly_free: bool,
    /// Jobs that were cancelled before they were added, and when, in milliseconds of Unix time.
    pub(super) early_cancels: HashMap<JobId, u64>,
    /// Jobs whose progress has changed since it was last part of a batch.
    pub(super) dirty: HashSet<JobId>,
    /// Since when a job has been dirty; `None` if none is.
    pub(super) dirty_since: Option<Instant>,
    /// Whether the dirty jobs are stored without delay.
    pub(super) urgent: bool,
    /// Whether the last batch has no result yet.
    pub(super) storing: bool,
    /// Whether any worker may have runs of an earlier leader that this one does not know, as of the
    /// last dispatch.
    pub(super) has_unknown_runs: bool,
    /// Whether the list of workers in use has changed since it was last part of a batch.
    pub(super) workers_in_use_dirty: bool,
    /// Whether workers were added or removed, or their addresses changed, since the last call of
    /// [`Shard::take_worker_addresses_changed`].
    pub(super) worker_addresses_changed: bool,
    /// When interference estimates were last part of a batch.
    pub(super) interference_stored_at: Instant,
    /// Commands for the next [`Shard::poll`] to return.
    pub(super) commands: Vec<Command>,
    /// Whether anything that may allow a start has changed since the last dispatch.
    pub(super) changed: bool,
    /// Whether this instance is about to resign as leader; no task starts any more.
    pub(super) resigning: bool,
    /// The send time of the last store call that confirmed the leadership.
    pub(super) confirmed_at: Instant,
    /// Whether runs with expired leases wait until the store confirms the leadership; only then do
    /// their tasks restart.
    pub(super) awaits_confirmation: bool,
    /// Whether a worker has restarted since the last call of [`Shard::take_awaits_entry`] that the list
    /// does not describe yet.
    pub(super) awaits_entry: bool,
    /// The next number of incarnations of workers that were removed, by id: the tokens of a worker that comes
    /// back are higher than all that it may have seen.
    pub(super) removed_incarnations: HashMap<String, u64>,
    /// The lowest load of any other shard, by service.
    pub(super) other_shard_loads: HashMap<String, ServiceLoad>,
    /// Whether a worker has rejected this leader's fencing token, because another instance leads.
    pub(super) fenced: bool,
    /// The number of the last heartbeat that was prepared; see [`Silences`](super::Silences).
    pub(super) silence_round: u64,
    /// By worker id: the last heartbeat that named the worker as silent. Without those that the stored
    /// one does not name.
    pub(super) told_silences: HashMap<String, u64>,
}

impl Shard {
    /// Creates the state of a leader with `token` that became leader at `now`.
    pub fn new(params: Params, token: u64, now: Instant) -> Self {
        Self {
            params,
            token,
            leader_since: now,
            unknown_runs_since: now,
            jobs: HashMap::default(),
            finished: HashMap::default(),
            workers: HashMap::default(),
            processes: Processes::new(now),
            interference: Interference::default(),
            run_times: RunTimes::default(),
            failure_rates: FailureRates::default(),
            counts: TrustCounts::default(),
            estimated_at: None,
            evacuation: Evacuation::default(),
            displacement: Displacement::default(),
            loans: LoanLedger::default(),
            outlook: OutlookState::default(),
            approvals: HashMap::default(),
            held_back_workers: HashSet::default(),
            held_back_for: None,
            holding_since: None,
            size_fairness: HashMap::default(),
            overdue_jobs: OverdueJobs::default(),
            unplaceable: HashMap::default(),
            dispatched_at: None,
            dispatch_interval: MIN_DISPATCH_INTERVAL,
            checked_at: None,
            mostly_free: false,
            early_cancels: HashMap::default(),
            dirty: HashSet::default(),
            dirty_since: None,
            urgent: false,
            storing: false,
            has_unknown_runs: true,
            workers_in_use_dirty: true,
            worker_addresses_changed: true,
            interference_stored_at: now,
            commands: Vec::new(),
            changed: true,
            resigning: false,
            confirmed_at: now,
            awaits_confirmation: false,
            awaits_entry: false,
            removed_incarnations: HashMap::default(),
            other_shard_loads: HashMap::default(),
            fenced: false,
            silence_round: 0,
            told_silences: HashMap::default(),
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

    /// Adds a job that was accepted at `accepted`; does nothing if the shard has the job already.
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
            estimates: JobEstimates::new(&spec),
            step_times: HashMap::default(),
            spec: Arc::new(spec),
            spec_text,
            started: progress.started,
            inherited,
            outcome: JobOutcome::Open,
            finished_ms: 0,
            stored_outcome: JobOutcome::Open,
            occurrences: Vec::new(),
            occurrences_done: progress.occurrences_done,
            done_with_runs: Vec::new(),
            due_occurrences: 0,
            next_occurrence: 0,
            records: progress.tasks,
            has_losses: !progress.losses.is_empty(),
            stored_losses: progress.losses,
            has_awaiting_tasks: !progress.placements.is_empty(),
            stored_placements: progress.placements,
            accepted_at: accepted,
            moving: false,
            idle_since: None,
            held_since: None,
            is_counted: false,
            move_retry_at: None,
        };
        self.processes.add_losses(id, &job.stored_losses);
        if !job.inherited {
            self.outlook.count_arrival(&job.spec);
        }
        if !job.is_long_running() {
            let fairness = self.size_fairness.entry(job.spec.queue.clone());
            fairness.or_default().add_job(job.total_work());
        }
        self.jobs.insert(id, job);
        self.changed = true;
        if let Some(unix_ms) = self.early_cancels.remove(&id) {
            self.cancel(id, unix_ms);
        }
    }

    /// Adds a job that finished under an earlier leader, at `finished_ms` in milliseconds of Unix
    /// time, and whose specification is not stored any more.
    pub fn add_finished_job(&mut self, id: JobId, outcome: JobOutcome, finished_ms: u64) {
        self.finished.insert(id, (outcome, finished_ms));
    }

    /// Cancels a job; a job that has not been added yet is cancelled when it is added.
    ///
    /// `unix_ms` is the current Unix time in milliseconds, at which the job finishes.
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
                self.early_cancels.insert(id, unix_ms);
            }
        }
    }

    /// Sets the lowest load of any other shard, by service.
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
            job.move_retry_at = Some(now + MOVE_RETRY_DELAY);
            self.changed = true;
        }
    }

    /// Records that a store call sent at `sent_at` confirmed the leadership: the store still has
    /// this leader's lease row unchanged.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns the send time of the last store call that confirmed the leadership.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    /// Stops starting tasks, before this instance resigns.
    pub fn stop_starting_tasks(&mut self) {
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

    /// Returns the fencing token for commands to a worker.
    pub fn worker_token(&self, worker_id: &str) -> u64 {
        let removed = self.removed_incarnations.get(worker_id).copied();
        let worker = self.workers.get(worker_id);
        let incarnations = worker.map_or(removed.unwrap_or(0), |w| w.incarnations);
        self.token * TOKENS_PER_LEADER + incarnations.min(TOKENS_PER_LEADER - 1)
    }

    /// Returns the lowest attempt number that this leader uses for jobs of earlier leaders.
    pub(super) fn first_attempt(&self) -> u32 {
        let token = u32::try_from(self.token).unwrap_or(u32::MAX);
        token.min(u32::MAX / ATTEMPTS_PER_TOKEN) * ATTEMPTS_PER_TOKEN
    }

    /// Has the row of a long-running task tell the next leader that this attempt was used, unless it
    /// begins with a higher one anyway. Other tasks have a limit of attempts.
    pub(super) fn reserve_attempts(&mut self, name: TaskName, attempt: u32, now: Instant) {
        let next_first = self.first_attempt().saturating_add(ATTEMPTS_PER_TOKEN);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let step = job.spec.steps.get(usize::from(name.step));
        let is_long_running = step.is_some_and(|step| step.long_running);
        if is_long_running
            && let Some(task) = job.task(&name)
            && task.reserve_attempts(attempt, next_first)
        {
            self.mark_dirty(name.job, true, now);
        }
    }

    /// Ends a job at `unix_ms`, in milliseconds of Unix time: its runs are stopped and none of its
    /// tasks starts any more.
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

    /// Removes a job from the open ones and records it as finished, if its outcome is stored and it
    /// has no runs.
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
        self.processes.forget_losses(id);
        self.approvals.retain(|(job, _, _), _| *job != id);
        self.interference.remove_job(id);
    }
}
