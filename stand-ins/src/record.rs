//! The record of the requests and tasks that ran on the stand-ins for the workers, written by these
//! stand-ins.
//!
//! Tests compare it with what the entry instances and the callers report.

use {
    marigoldbend_core::hash::HashMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The peaks and counts of one worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// The highest number of slots in use at once, by requests and tasks.
    pub peak_slots: u32,
    /// The highest number of connections open at once.
    pub peak_connections: u32,
    /// The number of requests that the worker received.
    pub requests: u64,
    /// The number of attempts of tasks that the worker started.
    pub tasks: u64,
    /// The number of requests that arrived more than 3 s after the worker was marked as leaving.
    pub after_leaving: u64,
}

/// A summary of what ran on all workers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Summary {
    /// The peaks and counts by worker id.
    pub workers: std::collections::BTreeMap<u32, WorkerRecord>,
    /// The ids of the requests that ran more than once, with the number of runs.
    pub doubled: Vec<(String, u32)>,
    /// Tasks that were started while another attempt was running; each one is an error.
    pub overlaps: Vec<String>,
    /// Tasks that more than one attempt finished; each one is an error.
    pub finished_twice: Vec<String>,
    /// The number of tasks that were finished.
    pub finished: usize,
}

#[derive(Default)]
struct State {
    workers: HashMap<u32, WorkerRecord>,
    /// The number of runs by request id.
    runs: std::collections::HashMap<String, u32>,
    /// The number of running attempts by task.
    running_tasks: HashMap<String, u32>,
    overlaps: Vec<String>,
    /// The number of finished attempts by task.
    finished: std::collections::HashMap<String, u32>,
}

/// The record that the workers of one process share.
#[derive(Clone, Default)]
pub struct Record {
    state: Arc<Mutex<State>>,
}

impl Record {
    /// Records a run of a request. A request without an id is counted only in the worker's total.
    pub fn record_request(&self, worker: u32, request: Option<&str>) {
        let mut state = self.state.lock();
        state.workers.entry(worker).or_default().requests += 1;
        if let Some(request) = request {
            *state.runs.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// Records a request that arrived after the grace time of a leaving worker.
    pub fn record_request_after_leaving(&self, worker: u32) {
        self.state
            .lock()
            .workers
            .entry(worker)
            .or_default()
            .after_leaving += 1;
    }

    /// Updates the peaks of a worker from the slots and connections in use now.
    pub fn record_usage(&self, worker: u32, slots: u32, connections: u32) {
        let mut state = self.state.lock();
        let record = state.workers.entry(worker).or_default();
        record.peak_slots = record.peak_slots.max(slots);
        record.peak_connections = record.peak_connections.max(connections);
    }

    /// Records the start of an attempt, and an overlap if another attempt of the task runs.
    pub fn record_task_start(&self, worker: u32, task: &str) {
        let mut state = self.state.lock();
        state.workers.entry(worker).or_default().tasks += 1;
        let running = state.running_tasks.entry(task.to_owned()).or_default();
        *running += 1;
        if *running > 1 {
            state.overlaps.push(task.to_owned());
        }
    }

    /// Records the end of an attempt and whether it finished the task.
    pub fn record_task_end(&self, task: &str, finished: bool) {
        let mut state = self.state.lock();
        if let Some(running) = state.running_tasks.get_mut(task) {
            *running = running.saturating_sub(1);
        }
        if finished {
            *state.finished.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// Returns how many times a request ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.state.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns the number of requests that all workers received.
    pub fn requests(&self) -> u64 {
        self.state.lock().workers.values().map(|w| w.requests).sum()
    }

    /// Returns the number of attempts that run now.
    pub fn tasks_running(&self) -> u32 {
        self.state.lock().running_tasks.values().sum()
    }

    /// Returns a summary of everything recorded so far.
    pub fn summary(&self) -> Summary {
        let state = self.state.lock();
        let more_than_once = |(name, n): (&String, &u32)| (*n > 1).then(|| (name.clone(), *n));
        let mut doubled: Vec<_> = state.runs.iter().filter_map(more_than_once).collect();
        doubled.sort_unstable();
        let finished_twice = state.finished.iter().filter_map(more_than_once);
        Summary {
            workers: state.workers.iter().map(|(id, w)| (*id, *w)).collect(),
            doubled,
            overlaps: state.overlaps.clone(),
            finished_twice: finished_twice.map(|(name, _)| name).collect(),
            finished: state.finished.len(),
        }
    }
}
