//! The stored progress of a job.
//!
//! Each job has one progress row, which is small and written whole at each change. The row says only
//! of long-running tasks where they run; the workers report the rest.

use {
    crate::sched::{
        crash_evidence::Evidence,
        job::{JobId, TaskName},
        number_set::NumberSet,
    },
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
    /// A task reached the maximum number of failed attempts, or crashed too many workers.
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
    /// A task reached the maximum number of failed attempts, or crashed too many workers.
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
    /// attempt until it is acknowledged, and a failure must not count twice. For a long-running task,
    /// whose failures don't count, the highest number that its attempts may have, if that is above
    /// those of the leader's token.
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

/// A process of a worker that was lost together with a run of a task, or that has the run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostProcess {
    /// The address of the worker.
    pub address: String,
    /// When the process started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// The time before which the run can't have ended without the process, in milliseconds of Unix
    /// time.
    pub runs_until_ms: u64,
    /// Whether the worker had confirmed that it started the run.
    pub confirmed: bool,
    /// Whether the run was certainly still running when the process crashed.
    pub certain: bool,
    /// Whether a task that crashes its workers may well have done so at that age of its run.
    pub blamed: bool,
}

/// The workers that were lost together with runs of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LossRecord {
    /// The occurrence of the job, from zero.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
    /// The processes that crashed.
    pub crashed: Vec<LostProcess>,
    /// The processes that may have crashed.
    pub unresolved: Vec<LostProcess>,
    /// The evidence that the task crashes its workers; `None` in rows of earlier versions, which
    /// counted `crashed`.
    #[serde(skip)]
    pub evidence: Option<Evidence>,
}

/// Where a long-running task runs: on the named worker or nowhere.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRecord {
    /// The occurrence of the job, from zero.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
    /// The id of the worker.
    pub worker: String,
}

impl LossRecord {
    /// Returns the name of the task, which is one of the job `id`.
    pub fn task(&self, id: JobId) -> TaskName {
        TaskName {
            job: id,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
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
    pub occurrences_done: NumberSet,
    /// The records of the tasks that are done, have failed attempts or have a checkpoint.
    pub tasks: Vec<TaskRecord>,
    /// The losses of the tasks that are not done. They follow the other fields in the row, and
    /// only if there are any, so that earlier versions of this program can read it.
    #[serde(skip)]
    pub losses: Vec<LossRecord>,
    /// Where long-running tasks run. They follow the losses in the row, and only if there are any. The
    /// evidence in the losses follows them, and then the ranges of `occurrences_done` if those are too
    /// many for a list. Earlier versions don't read the ranges.
    #[serde(skip)]
    pub placements: Vec<PlacementRecord>,
}

impl Progress {
    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a growing buffer can't fail.
        let row = postcard::to_stdvec(self).unwrap_or_default();
        let has_ranges = self.occurrences_done.is_unlisted();
        if self.losses.is_empty() && self.placements.is_empty() && !has_ranges {
            return row;
        }
        let row = postcard::to_extend(&self.losses, row).unwrap_or_default();
        let evidence: Vec<_> = self.losses.iter().map(|losses| losses.evidence).collect();
        let has_evidence = evidence.iter().any(Option::is_some);
        if self.placements.is_empty() && !has_evidence && !has_ranges {
            return row;
        }
        let row = postcard::to_extend(&self.placements, row).unwrap_or_default();
        if !has_evidence && !has_ranges {
            return row;
        }
        let row = postcard::to_extend(&evidence, row).unwrap_or_default();
        if !has_ranges {
            return row;
        }
        let ranges = self.occurrences_done.gaps_and_lengths();
        postcard::to_extend(&ranges, row).unwrap_or_default()
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let (mut progress, rest): (Self, _) =
            postcard::take_from_bytes(buf).map_err(|_| ProgressError)?;
        // A row ends after any of the parts.
        let (losses, rest) = take_or_default(rest)?;
        progress.losses = losses;
        let (placements, rest) = take_or_default(rest)?;
        progress.placements = placements;
        let (evidence, rest) = take_or_default::<Vec<Option<Evidence>>>(rest)?;
        for (losses, evidence) in progress.losses.iter_mut().zip(evidence) {
            losses.evidence = evidence;
        }
        if !rest.is_empty() {
            let (ranges, _) = take_or_default::<Vec<(u32, u32)>>(rest)?;
            let done = NumberSet::from_gaps_and_lengths(&ranges);
            progress.occurrences_done = done.map_err(|_| ProgressError)?;
        }
        Ok(progress)
    }
}

/// Decodes the next part of a row, which is empty if the row ends before it; returns the rest as well.
fn take_or_default<'de, T: Default + Deserialize<'de>>(buf: &'de [u8]) -> Result<(T, &'de [u8])> {
    if buf.is_empty() {
        return Ok((T::default(), buf));
    }
    postcard::take_from_bytes(buf).map_err(|_| ProgressError)
}
