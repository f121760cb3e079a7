//! Batch jobs and the state machine of their tasks.
//!
//! The attempt number is the fencing token: it grows with every claim, and a worker refuses a
//! start, a renewal or a result of any attempt but the newest. A task returns to the queue only
//! once its stop is confirmed or its lease has certainly expired, so two attempts never run at
//! once.

use {
    crate::ids::{Incarnation, WorkerId},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// The result of a task's transition.
pub type Result<T, E = TransitionError> = std::result::Result<T, E>;

/// The number of failed attempts after which a task is parked, so that it runs no more.
const FAILURES_TO_PARK: u32 = 5;

/// The state of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The task waits for a slot.
    Queued,
    /// The task is assigned to a worker and may be running there.
    Claimed {
        /// The worker.
        worker: WorkerId,
        /// The entry instance that holds the task's lease.
        owner: Incarnation,
    },
    /// The task has finished.
    Done,
    /// The task was cancelled.
    Cancelled,
    /// The task can't run, for the reason in [`Task::reason`].
    Parked,
}

impl Phase {
    /// Returns whether the task will never run again.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Parked)
    }
}

/// One task of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The state of the task.
    pub phase: Phase,
    /// The number of the newest claim; zero before the first.
    pub attempt: u32,
    /// The work done up to the newest checkpoint, in milliseconds of running time without
    /// interference.
    pub progress_ms: u64,
    /// The number of failed attempts.
    pub failures: u32,
    /// The number of times that the scheduler stopped the task to free its slot.
    pub evictions: u32,
    /// Why the task is parked; `None` in every other phase.
    pub reason: Option<String>,
}

/// An error from a transition that the task's phase or attempt does not allow.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("task is {phase:?} at attempt {attempt}, which does not allow this transition"))]
pub struct TransitionError {
    phase: Phase,
    attempt: u32,
}

impl Task {
    /// Creates a queued task.
    pub fn new() -> Self {
        Self {
            phase: Phase::Queued,
            attempt: 0,
            progress_ms: 0,
            failures: 0,
            evictions: 0,
            reason: None,
        }
    }

    /// Assigns a queued task to a worker; returns the new attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the task is not queued.
    pub fn claim(&mut self, worker: WorkerId, owner: Incarnation) -> Result<u32> {
        if self.phase != Phase::Queued {
            return Err(self.transition_error());
        }
        self.attempt += 1;
        self.phase = Phase::Claimed { worker, owner };
        Ok(self.attempt)
    }

    /// Records that the given attempt has finished the task.
    ///
    /// # Errors
    ///
    /// Returns an error unless this attempt is the claimed one.
    pub fn finish(&mut self, attempt: u32) -> Result<()> {
        self.check_claimed(attempt)?;
        self.phase = Phase::Done;
        Ok(())
    }

    /// Queues the task again after the given attempt has stopped.
    ///
    /// `progress_ms` is the work done up to the attempt's newest checkpoint; `evicted` tells
    /// whether the scheduler stopped the attempt to free its slot.
    ///
    /// # Errors
    ///
    /// Returns an error unless this attempt is the claimed one.
    pub fn requeue(&mut self, attempt: u32, progress_ms: u64, evicted: bool) -> Result<()> {
        self.check_claimed(attempt)?;
        self.progress_ms = self.progress_ms.max(progress_ms);
        self.evictions += u32::from(evicted);
        self.phase = Phase::Queued;
        Ok(())
    }

    /// Records that the given attempt failed; returns whether the task was parked.
    ///
    /// The task is queued again, or parked after too many failed attempts.
    ///
    /// # Errors
    ///
    /// Returns an error unless this attempt is the claimed one.
    pub fn fail(&mut self, attempt: u32, reason: &str) -> Result<bool> {
        self.check_claimed(attempt)?;
        self.failures += 1;
        self.phase = Phase::Queued;
        if self.failures >= FAILURES_TO_PARK {
            self.mark_parked(reason);
        }
        Ok(self.phase == Phase::Parked)
    }

    /// Parks a task that can't run; `reason` tells why.
    pub fn mark_parked(&mut self, reason: &str) {
        self.phase = Phase::Parked;
        self.reason = Some(reason.to_owned());
    }

    /// Cancels the task if it is queued; returns whether its phase is final now.
    ///
    /// A claimed task must be stopped first; see [`Task::cancel_stopped`].
    pub fn cancel(&mut self) -> bool {
        if self.phase == Phase::Queued {
            self.phase = Phase::Cancelled;
        }
        self.phase.is_final()
    }

    /// Cancels a claimed task whose stop is confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error unless this attempt is the claimed one.
    pub fn cancel_stopped(&mut self, attempt: u32) -> Result<()> {
        self.check_claimed(attempt)?;
        self.phase = Phase::Cancelled;
        Ok(())
    }

    fn check_claimed(&self, attempt: u32) -> Result<()> {
        let claimed = matches!(self.phase, Phase::Claimed { .. });
        if claimed && self.attempt == attempt {
            return Ok(());
        }
        Err(self.transition_error())
    }

    fn transition_error(&self) -> TransitionError {
        TransitionError {
            phase: self.phase,
            attempt: self.attempt,
        }
    }
}

impl Default for Task {
    fn default() -> Self {
        Self::new()
    }
}

/// The description of a job that a caller submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota the job counts against.
    pub team: String,
    /// The name of a batch class of the configuration.
    pub class: String,
    /// How many identical tasks the job has; 1 if absent.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// The declared running time of one task, in milliseconds.
    pub run_ms: u64,
    /// Whether the job is scheduled before all jobs that are not urgent; `false` if absent.
    #[serde(default)]
    pub urgent: bool,
}

fn one_task() -> u32 {
    1
}

/// A job as it is stored in its row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The unique id, which begins with the failure domain that runs the job.
    pub id: String,
    /// The description that the caller submitted.
    pub spec: JobSpec,
    /// The entry instance that coordinates the job.
    pub home: Incarnation,
    /// Whether a caller has cancelled the job.
    pub cancelled: bool,
    /// The tasks of the job, by index.
    pub tasks: Vec<Task>,
}

impl Job {
    /// Creates a job whose tasks are all queued.
    pub fn new(id: String, spec: JobSpec, home: Incarnation) -> Self {
        let tasks = (0..spec.tasks).map(|_| Task::new()).collect();
        Self {
            id,
            spec,
            home,
            cancelled: false,
            tasks,
        }
    }

    /// Returns whether every task is final.
    pub fn is_final(&self) -> bool {
        self.tasks.iter().all(|t| t.phase.is_final())
    }
}
