//! The stored progress of a job.
//!
//! Each job has one progress row, which is small and written whole at each change. The row doesn't
//! say which tasks run where, because the workers report that.

use {
    crate::sched::job::TaskName,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// The result of decoding a row.
pub type Result<T, E = ProgressError> = std::result::Result<T, E>;

/// An error from decoding a damaged row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("damaged progress row"))]
pub struct ProgressError;

/// The outcome of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// The job is not finished.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task reached the maximum number of failed attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// The state of a job, as shown to callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task reached the maximum number of failed attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// The stored progress of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The occurrence of the job, from zero.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
    /// Whether an attempt has completed.
    pub done: bool,
    /// The numbers of the attempts that failed. They are kept because a worker reports an ended
    /// attempt until it is acknowledged, and a failure must not count twice.
    pub failed: Vec<u32>,
    /// The checkpoint to resume from, empty if none.
    pub checkpoint: String,
}

impl TaskRecord {
    /// Returns whether this is the record of `task`.
    pub fn matches(&self, task: &TaskName) -> bool {
        self.occurrence == task.occurrence && self.step == task.step && self.index == task.index
    }
}

/// The stored progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The outcome; [`JobOutcome::Open`] until the job finishes.
    pub outcome: JobOutcome,
    /// When the job finished, in milliseconds of Unix time; zero before that.
    pub finished_ms: u64,
    /// Whether a task has ever started.
    pub started: bool,
    /// The occurrences whose tasks are all done; `tasks` has no records of them.
    pub occurrences_done: Vec<u32>,
    /// The records of the tasks that are done, have failed attempts or have a checkpoint.
    pub tasks: Vec<TaskRecord>,
}

impl Progress {
    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a growing buffer can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        postcard::from_bytes(buf).map_err(|_| ProgressError)
    }
}
