//! The record of the attempts that ran on the stand-ins for the workers of jobs, and checks of it.

use {
    marigoldbend_core::sched::{
        job::{JobId, TaskName},
        worker::EndReason,
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Instant,
    },
};

/// One attempt of a task.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    /// The task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: String,
    /// When the attempt started.
    pub start: Instant,
    /// When and why the attempt ended; `None` while it runs.
    pub end: Option<(Instant, EndReason)>,
}

impl RecordedRun {
    fn is_done(&self) -> bool {
        matches!(self.end, Some((_, EndReason::Done)))
    }
}

/// The record of all attempts, in the order of their starts.
#[derive(Clone, Default)]
pub struct JobRecord {
    runs: Arc<Mutex<Vec<RecordedRun>>>,
}

impl JobRecord {
    pub(crate) fn start(&self, worker: &str, task: TaskName, attempt: u32, start: Instant) {
        self.runs.lock().push(RecordedRun {
            task,
            attempt,
            worker: worker.to_owned(),
            start,
            end: None,
        });
    }

    pub(crate) fn end(
        &self,
        worker: &str,
        task: TaskName,
        attempt: u32,
        reason: EndReason,
        at: Instant,
    ) {
        let mut runs = self.runs.lock();
        let mut latest_first = runs.iter_mut().rev();
        let run = latest_first.find(|r| {
            r.end.is_none() && (r.task, r.attempt) == (task, attempt) && r.worker == worker
        });
        if let Some(run) = run {
            run.end = Some((at, reason));
        }
    }

    /// Returns all attempts so far.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.runs.lock().clone()
    }

    /// Returns the jobs of which a task has started.
    pub fn begun_jobs(&self) -> HashSet<JobId> {
        self.runs.lock().iter().map(|run| run.task.job).collect()
    }

    /// Returns the number of distinct tasks of each job that are done.
    pub fn done_tasks(&self) -> HashMap<JobId, usize> {
        let runs = self.runs.lock();
        let done: HashSet<TaskName> = runs
            .iter()
            .filter(|r| r.is_done())
            .map(|r| r.task)
            .collect();
        let mut counts = HashMap::new();
        for task in done {
            *counts.entry(task.job).or_default() += 1;
        }
        counts
    }

    /// Returns the attempts that ended because their lease expired.
    pub fn lapsed(&self) -> Vec<RecordedRun> {
        let is_lapsed = |run: &RecordedRun| matches!(run.end, Some((_, EndReason::Lapsed)));
        let mut runs = self.runs();
        runs.retain(is_lapsed);
        runs
    }

    /// Returns a description of each violation of the rules that no task runs twice at once, that
    /// none starts again after it was done, and that each attempt has a number of its own.
    pub fn violations(&self) -> Vec<String> {
        let mut by_task: BTreeMap<TaskName, Vec<RecordedRun>> = BTreeMap::new();
        for run in self.runs() {
            by_task.entry(run.task).or_default().push(run);
        }
        let mut violations = Vec::new();
        for runs in by_task.values() {
            for (i, later) in runs.iter().enumerate() {
                for earlier in &runs[..i] {
                    let overlaps = earlier.end.is_none_or(|(at, _)| at > later.start);
                    for (is_violated, rule) in [
                        (overlaps, "ran twice at once"),
                        (earlier.is_done(), "started after it was done"),
                        (earlier.attempt == later.attempt, "reused an attempt number"),
                    ] {
                        if is_violated {
                            violations.push(format!("{rule}: {earlier:?}, {later:?}"));
                        }
                    }
                }
            }
        }
        violations
    }
}
