//! Batch jobs and the life of their tasks.
//!
//! The attempt number is the fencing token: it grows with every claim, and a worker refuses a
//! start, a renewal or a result of any attempt but the newest. A task returns to the queue only
//! once its stop is confirmed or its lease has surely lapsed, so two attempts never run at once.

use {
    crate::ids::{Incarnation, WorkerId},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// A result of a transition.
pub type Result<T, E = TransitionError> = std::result::Result<T, E>;

/// Starts that fail before a task counts as one that can never run.
const FAILURES_TO_PARK: u32 = 5;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits for a slot.
    Queued,
    /// Has been given to a worker, and may be running there.
    Claimed {
        /// The worker.
        worker: WorkerId,
        /// The entry instance that holds its lease.
        owner: Incarnation,
    },
    /// Has finished.
    Done,
    /// Was cancelled.
    Cancelled,
    /// Can't run; see [`Task::reason`].
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
    /// Where it stands.
    pub phase: Phase,
    /// The number of the newest claim; zero before the first.
    pub attempt: u32,
    /// Work done up to the newest checkpoint, in milliseconds of undisturbed running.
    pub progress_ms: u64,
    /// Attempts that failed.
    pub failures: u32,
    /// Times that the system itself stopped the task to make room.
    pub evictions: u32,
    /// Why the task is parked.
    pub reason: Option<String>,
}

/// A transition that the task's present state does not allow.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("task is {phase:?} at attempt {attempt}, which does not allow this step"))]
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

    /// Gives a queued task to a worker; returns the new attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the task is not queued.
    pub fn claim(&mut self, worker: WorkerId, owner: Incarnation) -> Result<u32> {
        if self.phase != Phase::Queued {
            return Err(self.refused());
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

    /// Queues the task again after the given attempt is known to have stopped.
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

    /// Records that the given attempt failed; the task is queued again, or parked after too
    /// many failures. Returns whether it was parked.
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

    /// Parks a task that can't run.
    pub fn mark_parked(&mut self, reason: &str) {
        self.phase = Phase::Parked;
        self.reason = Some(reason.to_owned());
    }

    /// Cancels a task that is not claimed; returns whether it is final now.
    ///
    /// A claimed task must be stopped first.
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
        Err(self.refused())
    }

    fn refused(&self) -> TransitionError {
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

/// What a caller asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota it counts against.
    pub team: String,
    /// The batch class, from the configuration.
    pub class: String,
    /// How many equal tasks it has.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// The declared running time of one task, in milliseconds.
    pub run_ms: u64,
    /// Whether it goes before all work that is not urgent.
    #[serde(default)]
    pub urgent: bool,
}

fn one_task() -> u32 {
    1
}

/// A job, as its row in the table holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Unique; begins with the domain that runs it.
    pub id: String,
    /// What was asked for.
    pub spec: JobSpec,
    /// The entry instance that drives it.
    pub home: Incarnation,
    /// Whether a caller has cancelled it.
    pub cancelled: bool,
    /// Its tasks, by index.
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
