//! What a shard knows of lost processes of workers, and of the tasks that ran on them.
//!
//! `crashes` records losses and acts on them.

use {
    super::state::{Job, Task},
    crate::{
        hash::HashMap,
        sched::{
            job::{JobId, TaskName},
            progress::{LossRecord, LostProcess},
        },
    },
    std::time::{Duration, Instant},
};

/// The number of workers that must have crashed under a task to give it up if the last one crashed
/// right after its start.
const MAX_BLAMED_CRASHES: usize = 2;

/// The number of workers that must have crashed under a task to give it up.
const MAX_CRASHES: usize = 3;

/// The same if the run may have ended before some of the crashes.
const MAX_LIKELY_CRASHES: usize = 4;

/// The same if the task may not have started on some of the crashed workers.
const MAX_POSSIBLE_CRASHES: usize = 5;

/// The delays of a start, in seconds, by the number of workers that the task has lost. A task that
/// lost a few by chance hardly waits; one that may have crashed them all soon stops to do so.
const RESTART_DELAYS_S: [u64; 5] = [0, 0, 1, 2, 8];

/// The delay of a start after more lost workers.
const MAX_RESTART_DELAY_S: u64 = 600;

/// The time between two polls above which this instance counts as stalled.
pub(super) const STALL: Duration = Duration::from_millis(500);

/// The workers that a task has lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    /// The processes that crashed.
    pub crashed: Vec<LostProcess>,
    /// The processes that may have crashed.
    pub unresolved: Vec<LostProcess>,
    /// The process that has, or is about to get, a run of the task; `None` if none or unknown.
    pub current: Option<LostProcess>,
    /// Whether `current` is stored.
    pub is_current_stored: bool,
}

impl Losses {
    /// Returns whether the task may be the reason why workers crash.
    pub(super) fn is_suspected(&self) -> bool {
        self.has_crashes() || self.unresolved.len() > 1
    }

    /// Returns whether a worker has crashed under the task, so that its starts are stored.
    pub(super) fn has_crashes(&self) -> bool {
        !self.crashed.is_empty()
    }

    /// Returns the delay of the next start.
    pub(super) fn restart_delay(&self) -> Duration {
        let count = self.crashed.len() + self.unresolved.len();
        let delay_s = RESTART_DELAYS_S.get(count).copied();
        Duration::from_secs(delay_s.unwrap_or(MAX_RESTART_DELAY_S))
    }

    /// Adds a lost process that has crashed, unless it was added before; returns whether the task
    /// is to be given up.
    fn add_crash(&mut self, process: LostProcess) -> bool {
        let is_same = |other: &LostProcess| {
            other.address == process.address && other.started_ms == process.started_ms
        };
        if self.crashed.iter().any(is_same) {
            return false;
        }
        let is_blamed = process.certain && process.blamed;
        self.crashed.push(process);
        let certain = self.crashed.iter().filter(|p| p.certain).count();
        let confirmed = self.crashed.iter().filter(|p| p.confirmed).count();
        (is_blamed && certain >= MAX_BLAMED_CRASHES)
            || certain >= MAX_CRASHES
            || confirmed >= MAX_LIKELY_CRASHES
            || (self.crashed.len() >= MAX_POSSIBLE_CRASHES && confirmed > 1)
    }

    /// Resolves the lost processes at the address of an observation: a newer process shows that a lost
    /// one has crashed; a report of the same process, that it has not.
    pub(super) fn resolve(&mut self, name: TaskName, observation: &Observation) -> Resolution {
        let mut resolution = Resolution::default();
        for process in std::mem::take(&mut self.unresolved) {
            if process.address != observation.address {
                self.unresolved.push(process);
            } else if process.started_ms < observation.started_ms {
                resolution.has_crashed = true;
                let has_run = observation.started_ms <= process.runs_until_ms;
                let process = LostProcess {
                    certain: process.confirmed && has_run,
                    ..process
                };
                log::warn!(
                    "jobs: task={name} address={} crashed under it: certain={} confirmed={} blamed={} earlier={}.",
                    process.address,
                    process.certain,
                    process.confirmed,
                    process.blamed,
                    self.crashed.len(),
                );
                resolution.is_given_up |= self.add_crash(process);
            } else if process.started_ms == observation.started_ms && observation.has_reported {
                resolution.is_alive = true;
            } else {
                resolution.is_incomplete = true;
                self.unresolved.push(process);
            }
        }
        resolution
    }
}

/// What an observation says of the processes that a task has lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Resolution {
    /// Whether one has crashed.
    pub has_crashed: bool,
    /// Whether the task is to be given up.
    pub is_given_up: bool,
    /// Whether one still runs.
    pub is_alive: bool,
    /// Whether one at the address remains unresolved.
    pub is_incomplete: bool,
}

/// Counts of losses, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LossCounts {
    /// Runs that were lost, for any reason.
    pub runs: u64,
    /// Pairs of a task and a worker that crashed while it had, or may have had, a run of the task.
    pub crashes: u64,
    /// Tasks that were given up because they crash workers.
    pub given_up: u64,
    /// Restarts of workers under their ids.
    pub restarts: u64,
}

/// A process of a worker, as it was listed or reported.
#[derive(Clone, Debug)]
pub(super) struct Process {
    /// The worker's id.
    pub worker: String,
    /// When the process started, in milliseconds of Unix time; zero if unknown.
    pub started_ms: u64,
}

/// A process that was observed at the address of a lost one.
#[derive(Clone, Debug)]
pub(super) struct Observation {
    pub address: String,
    /// When the process started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Whether it was observed by a report, not only in the list.
    pub has_reported: bool,
}

/// The processes of the workers, and those that were lost.
#[derive(Clone, Debug)]
pub(super) struct Processes {
    /// The newest process at each address.
    pub newest: HashMap<String, Process>,
    /// The tasks that have lost a process which may have crashed, by the address of that process.
    pub unresolved: HashMap<String, Vec<TaskName>>,
    /// The processes observed at such addresses since the last poll.
    pub observations: Vec<Observation>,
    /// When the shard was last polled, and the Unix time then, in milliseconds.
    pub polled: (Instant, u64),
    /// When the shard was last polled after a pause in which reports may have been missed.
    pub stalled_at: Option<Instant>,
    /// The counts since they were last taken.
    pub counts: LossCounts,
}

impl Processes {
    /// Creates the state of a leader that took over at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            newest: HashMap::default(),
            unresolved: HashMap::default(),
            observations: Vec::new(),
            polled: (now, 0),
            stalled_at: None,
            counts: LossCounts::default(),
        }
    }

    /// Adds an observation of a process, if one was lost at its address; see
    /// [`Shard::count_crashes`].
    pub(super) fn add_observation(&mut self, address: &str, started_ms: u64, has_reported: bool) {
        if self.unresolved.contains_key(address) {
            self.observations.push(Observation {
                address: address.to_owned(),
                started_ms,
                has_reported,
            });
        }
    }

    /// Records the time of a poll, and the Unix time in milliseconds.
    pub(super) fn note_poll(&mut self, now: Instant, unix_ms: u64) {
        let (polled_at, _) = self.polled;
        if now.duration_since(polled_at) > STALL {
            self.stalled_at = Some(now);
        }
        self.polled = (now, unix_ms);
    }

    /// Forgets the process at an address if it is that of a worker that was removed.
    pub(super) fn forget(&mut self, address: &str, worker_id: &str) {
        let newest = self.newest.get(address);
        if newest.is_some_and(|newest| newest.worker == worker_id) {
            self.newest.remove(address);
        }
    }

    /// Adds a task that has lost the process at an address.
    pub(super) fn add_unresolved(&mut self, address: &str, name: TaskName) {
        let names = self.unresolved.entry(address.to_owned()).or_default();
        names.push(name);
    }

    /// Makes the stored losses of an added job known to [`Shard::count_crashes`].
    pub(super) fn add_losses(&mut self, id: JobId, records: &[LossRecord]) {
        for record in records {
            for process in &record.unresolved {
                self.add_unresolved(&process.address, record.task(id));
            }
        }
    }

    /// Forgets the losses of a job that has finished.
    pub(super) fn forget_losses(&mut self, id: JobId) {
        self.unresolved.retain(|_, names| {
            names.retain(|name| name.job != id);
            !names.is_empty()
        });
    }
}

impl Task {
    /// Returns the stored losses of the task with the given name; `None` if it has none.
    fn loss_record(&self, name: TaskName) -> Option<LossRecord> {
        let losses = self.losses.as_ref()?;
        let unresolved = losses.unresolved.iter().chain(&losses.current);
        Some(LossRecord {
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
            crashed: losses.crashed.clone(),
            unresolved: unresolved.cloned().collect(),
        })
    }

    /// Restores the losses that an earlier leader stored.
    pub(super) fn restore_losses(&mut self, record: &LossRecord) {
        self.losses = Some(Box::new(Losses {
            crashed: record.crashed.clone(),
            unresolved: record.unresolved.clone(),
            current: None,
            is_current_stored: false,
        }));
    }
}

impl Job {
    /// Records that the progress of the job is stored as it is now.
    pub(super) fn on_stored(&mut self) {
        if !self.has_losses {
            return;
        }
        for occurrence in &mut self.occurrences {
            let tasks = occurrence.tasks.iter_mut().flatten();
            for losses in tasks.filter_map(|task| task.losses.as_mut()) {
                losses.is_current_stored = losses.current.is_some();
            }
        }
    }

    /// Returns the losses to store: those of the unfinished tasks of added occurrences, and the
    /// stored ones of the others.
    pub(super) fn loss_records(&self) -> Vec<LossRecord> {
        let mut records = self.stored_losses.clone();
        if !self.has_losses {
            return records;
        }
        for occurrence in &self.occurrences {
            for (step, tasks) in occurrence.tasks.iter().enumerate() {
                let tasks = tasks.iter().enumerate().filter(|(_, task)| !task.done);
                records.extend(tasks.filter_map(|(index, task)| {
                    task.loss_record(TaskName {
                        job: JobId(0),
                        occurrence: occurrence.number,
                        step: step as u16,
                        index: index as u32,
                    })
                }));
            }
        }
        records
    }
}
