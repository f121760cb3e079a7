//! What really ran on the workers, by their own word.

use {
    marigoldbend_core::hash::HashMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One worker's extremes and sums.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// The most requests and tasks at once.
    pub peak_slots: u32,
    /// The most connections at once.
    pub peak_connections: u32,
    /// Requests that were run.
    pub requests: u64,
    /// Tasks that were started.
    pub tasks: u64,
    /// Requests that arrived after the worker was told that it leaves, and a grace.
    pub after_leaving: u64,
}

/// What really ran.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Summary {
    /// By worker.
    pub workers: std::collections::BTreeMap<u32, WorkerRecord>,
    /// Requests that were run more than once, with the number of runs.
    pub doubled: Vec<(String, u32)>,
    /// Tasks that ran in two places at once.
    pub overlaps: Vec<String>,
    /// Tasks by the number of attempts that finished them; more than one is an error.
    pub finished_twice: Vec<String>,
    /// Tasks that were finished.
    pub finished: usize,
}

#[derive(Default)]
struct State {
    workers: HashMap<u32, WorkerRecord>,
    runs: std::collections::HashMap<String, u32>,
    running_tasks: HashMap<String, u32>,
    overlaps: Vec<String>,
    finished: std::collections::HashMap<String, u32>,
}

/// The record that the workers of one process share.
#[derive(Clone, Default)]
pub struct Record {
    state: Arc<Mutex<State>>,
}

impl Record {
    /// Records a run of a request; a request without a name is only counted.
    pub fn record_request(&self, worker: u32, request: Option<&str>) {
        let mut state = self.state.lock();
        state.workers.entry(worker).or_default().requests += 1;
        if let Some(request) = request {
            *state.runs.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// Records a request that came although the worker is leaving.
    pub fn record_request_after_leaving(&self, worker: u32) {
        self.state
            .lock()
            .workers
            .entry(worker)
            .or_default()
            .after_leaving += 1;
    }

    /// Records how much of a worker is in use.
    pub fn record_usage(&self, worker: u32, slots: u32, connections: u32) {
        let mut state = self.state.lock();
        let record = state.workers.entry(worker).or_default();
        record.peak_slots = record.peak_slots.max(slots);
        record.peak_connections = record.peak_connections.max(connections);
    }

    /// Records the start of a task, and whether it runs elsewhere already.
    pub fn record_task_start(&self, worker: u32, task: &str) {
        let mut state = self.state.lock();
        state.workers.entry(worker).or_default().tasks += 1;
        let running = state.running_tasks.entry(task.to_owned()).or_default();
        *running += 1;
        if *running > 1 {
            state.overlaps.push(task.to_owned());
        }
    }

    /// Records the end of a task's run.
    pub fn record_task_end(&self, task: &str, finished: bool) {
        let mut state = self.state.lock();
        if let Some(running) = state.running_tasks.get_mut(task) {
            *running = running.saturating_sub(1);
        }
        if finished {
            *state.finished.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// Returns how often a request was run.
    pub fn runs_of(&self, request: &str) -> u32 {
        self.state.lock().runs.get(request).copied().unwrap_or(0)
    }

    /// Returns how many requests were run in all.
    pub fn requests(&self) -> u64 {
        self.state.lock().workers.values().map(|w| w.requests).sum()
    }

    /// Returns how many tasks run now.
    pub fn tasks_running(&self) -> u32 {
        self.state.lock().running_tasks.values().sum()
    }

    /// Returns the sums.
    pub fn summary(&self) -> Summary {
        let state = self.state.lock();
        let more = |(name, n): (&String, &u32)| (*n > 1).then(|| (name.clone(), *n));
        let mut doubled: Vec<_> = state.runs.iter().filter_map(more).collect();
        doubled.sort_unstable();
        let twice = state.finished.iter().filter_map(more);
        Summary {
            workers: state.workers.iter().map(|(id, w)| (*id, *w)).collect(),
            doubled,
            overlaps: state.overlaps.clone(),
            finished_twice: twice.map(|(name, _)| name).collect(),
            finished: state.finished.len(),
        }
    }
}
