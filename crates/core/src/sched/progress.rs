//! What is stored of a job besides its specification.
//!
//! The row is small and written whole at each change; what runs where is not in it, since the
//! workers tell.

use {
    crate::sched::job::TaskName,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// A result of reading a row.
pub type Result<T, E = ProgressError> = std::result::Result<T, E>;

/// A row that can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("damaged progress row"))]
pub struct ProgressError;

/// What became of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// It is not over.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// What is stored of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The round.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// The task within the step.
    pub index: u32,
    /// Whether a run ended well.
    pub done: bool,
    /// The attempts that failed; workers list an end again until it is acknowledged, and it
    /// must not count twice.
    pub failed: Vec<u32>,
    /// The checkpoint to resume from, if any.
    pub checkpoint: String,
}

impl TaskRecord {
    /// Returns whether this is the record of `task`.
    pub fn matches(&self, task: &TaskName) -> bool {
        self.occurrence == task.occurrence && self.step == task.step && self.index == task.index
    }
}

/// What is stored of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// What became of it.
    pub outcome: JobOutcome,
    /// When it was over, in milliseconds of Unix time.
    pub finished_ms: u64,
    /// Whether a task has ever started.
    pub started: bool,
    /// Rounds whose tasks are all done; they have no records.
    pub occurrences_done: Vec<u32>,
    /// Tasks with anything to tell.
    pub tasks: Vec<TaskRecord>,
}

impl Progress {
    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        // Plain data of known types always encodes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if it is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        postcard::from_bytes(buf).map_err(|_| ProgressError)
    }
}
