//! What a shard knows of lost processes of workers, and of the tasks that ran on them.
//!
//! `crashes` records losses and acts on them.

use {
    super::state::{Job, Task},
    crate::{
        hash::HashMap,
        sched::{
            crash_evidence::{Evidence, Exposure, RATE_MEMORY},
            job::{JobId, TaskName},
            progress::{LossRecord, LostProcess},
        },
    },
    std::time::{Duration, Instant},
};

/// The time between two polls above which this instance counts as stalled.
pub(super) const STALL: Duration = Duration::from_millis(500);

/// The number of workers that must have crashed while they certainly had a run of a task before it is
/// given up.
const MIN_CERTAIN_CRASHES: usize = 2;

/// The same if they may have had one.
const MIN_POSSIBLE_CRASHES: usize = 4;

/// How long a lost process is remembered.
const MAX_LOST_AGE: Duration = Duration::from_secs(3 * RATE_MEMORY.as_secs());

/// The workers that a task has lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    /// The processes that crashed soon after the task had started there, or whose crash speaks against it
    /// in another way, since it last ran for long.
    pub crashed: Vec<LostProcess>,
    /// The processes that may have crashed.
    pub unresolved: Vec<LostProcess>,
    /// The evidence that the task crashes its workers.
    pub evidence: Evidence,
    /// The process that has, or is about to get, a run of the task; `None` if none or unknown.
    pub current: Option<LostProcess>,
    /// Whether `current` is stored.
    pub is_current_stored: bool,
}

impl Losses {
    /// Returns whether the task may be the reason why workers crash, so that its starts are stored.
    pub(super) fn is_suspected(&self, unix_ms: u64) -> bool {
        self.evidence.is_suspected(unix_ms)
    }

    /// Returns whether the task is to be given up: the evidence is conclusive, and at least two workers
    /// certainly had a run of the task when they crashed, or so many may have had that two did.
    pub(super) fn is_given_up(&self, unix_ms: u64) -> bool {
        let certain = self.crashed.iter().filter(|p| p.certain).count();
        let confirmed = self.crashed.iter().filter(|p| p.confirmed).count();
        self.evidence.is_conclusive(confirmed, unix_ms)
            && (certain >= MIN_CERTAIN_CRASHES || self.crashed.len() >= MIN_POSSIBLE_CRASHES)
    }

    /// Adds the evidence of a lost process that has crashed, unless it was added before.
    fn add_crash(&mut self, process: LostProcess, log_ratio: f64, unix_ms: u64) {
        let is_same = |other: &LostProcess| {
            other.address == process.address && other.started_ms == process.started_ms
        };
        if self.crashed.iter().any(is_same) {
            return;
        }
        self.evidence.add(log_ratio, unix_ms);
        if process.blamed || log_ratio > 0.0 {
            self.crashed.push(process);
        } else if self.evidence.is_zero() {
            self.crashed.clear();
        }
    }

    /// Resolves the lost processes at the address of an observation: a newer process shows that a lost
    /// one has crashed; a report of the same process, that it has not.
    ///
    /// `log_ratio` returns the evidence of a crash; see [`crash_evidence`](crate::sched::crash_evidence).
    pub(super) fn resolve(
        &mut self,
        name: TaskName,
        observation: &Observation,
        log_ratio: impl Fn(&LostProcess) -> f64,
        crash_rate: f64,
        unix_ms: u64,
    ) -> Resolution {
        let mut resolution = Resolution::default();
        self.evidence.set_crash_rate(crash_rate);
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
                let log_ratio = log_ratio(&process);
                resolution.is_blamed |= process.blamed;
                let earlier = self.evidence.at(unix_ms);
                let line = format!(
                    "address={} certain={} confirmed={} evidence={log_ratio:.2} before={earlier:.2}",
                    process.address, process.certain, process.confirmed,
                );
                self.add_crash(process, log_ratio, unix_ms);
                let decision = if self.is_given_up(unix_ms) {
                    "give_up"
                } else if self.is_suspected(unix_ms) {
                    "suspect"
                } else {
                    "none"
                };
                log::warn!(
                    "jobs: task={name} crashed under it: {line} sum={:.2} crashes={} decision={decision}.",
                    self.evidence.at(unix_ms),
                    self.crashed.len(),
                );
            } else if process.started_ms == observation.started_ms && observation.has_reported {
                resolution.is_alive = true;
            } else {
                resolution.is_incomplete = true;
                self.unresolved.push(process);
            }
        }
        resolution.is_given_up = resolution.has_crashed && self.is_given_up(unix_ms);
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
    /// Whether one has crashed soon after the start.
    pub is_blamed: bool,
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
    /// When the process started, in milliseconds of Unix time; [`VANISHED`] if there is none.
    pub started_ms: u64,
    /// Whether it was observed by a report, not only in the list.
    pub has_reported: bool,
}

/// What stands for a newer process if a worker was silent until its leases ended and the platform has
/// stopped listing it.
pub(super) const VANISHED: u64 = u64::MAX;

/// A process of a worker that was lost.
#[derive(Clone, Debug)]
pub(super) struct LostWorker {
    pub address: String,
    pub started_ms: u64,
    pub domain: String,
    pub labels: Vec<String>,
    /// Between which times it was lost.
    pub lost_between: (Instant, Instant),
    /// What it ran, with the parts of the runs in which it was lost.
    pub runs: Vec<(TaskName, Exposure)>,
    /// Whether it has crashed; it may be cut off instead.
    pub has_crashed: bool,
    /// The evidence against `runs`, once the workers that were lost at the same time are known.
    pub log_ratios: Option<Vec<f64>>,
    /// The probability that a worker is lost then for another reason than what it runs.
    pub ordinary_probability: f64,
    /// Whether a task that ran there was given up, and may well have crashed it.
    pub is_explained: bool,
}

impl LostWorker {
    /// Returns the evidence against a task; `None` if it did not run there, or nothing is known yet.
    pub(super) fn log_ratio(&self, name: TaskName) -> Option<f64> {
        let index = self.runs.iter().position(|(task, _)| *task == name)?;
        self.log_ratios.as_ref()?.get(index).copied()
    }
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
    /// The processes that were lost lately.
    pub lost: Vec<LostWorker>,
    /// The rate at which workers crash for other reasons than what they run, per second.
    pub crash_rate: f64,
    /// The same as an earlier leader stored it last, and when, in milliseconds of Unix time.
    pub earlier_crash_rate: (u64, f64),
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
            lost: Vec::new(),
            crash_rate: 0.0,
            earlier_crash_rate: (0, 0.0),
            polled: (now, 0),
            stalled_at: None,
            counts: LossCounts::default(),
        }
    }

    /// Adds an observation of a process, if one was lost at its address; see
    /// [`Shard::count_crashes`].
    pub(super) fn add_observation(&mut self, address: &str, started_ms: u64, has_reported: bool) {
        let is_same = |o: &Observation| {
            o.address == address && o.started_ms == started_ms && o.has_reported == has_reported
        };
        if self.unresolved.contains_key(address) && !self.observations.iter().any(is_same) {
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
        let is_recent = |lost: &LostWorker| now.duration_since(lost.lost_between.1) < MAX_LOST_AGE;
        self.lost.retain(is_recent);
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
            if let Some(evidence) = record.evidence {
                let stored = evidence.crash_rate();
                if stored.0 > self.earlier_crash_rate.0 {
                    self.earlier_crash_rate = stored;
                }
            }
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
            evidence: Some(losses.evidence),
        })
    }

    /// Restores the losses that an earlier leader stored.
    pub(super) fn restore_losses(&mut self, record: &LossRecord) {
        let evidence = match record.evidence {
            Some(evidence) => evidence,
            None if record.crashed.is_empty() => Evidence::default(),
            None => Evidence::suspected(),
        };
        self.losses = Some(Box::new(Losses {
            evidence,
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
