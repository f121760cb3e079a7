//! Evacuated failure domains: nothing starts on their workers, and long-running tasks move away if the
//! domain is to be emptied.
//!
//! Tasks that end by themselves finish where they are: a stop would cost their callers the work done.
//! Long-running tasks move as fast as there is room for them elsewhere, so that each is away only for
//! the time of a stop and a start:
//!
//! - A task is stopped only if a worker elsewhere can take it now, and no other stopped task is meant
//!   for that room. While short work waits, that room is its own: moving costs nobody anything if it
//!   happens later, and while an evacuated domain's room is gone short work has too little.
//! - At most [`MAX_MOVES`] are on their way at a time.
//! - Of one step as many are away as its limit allows, one if it has none; see the module
//!   `disruption`. Gangs, whose members end together, stay until their worker leaves.
//! - Tasks with a checkpoint go first, since they lose least.

use {
    super::state::{Job, RunPhase, Shard, Task, Worker},
    crate::{
        hash::{HashMap, HashSet},
        sched::{
            job::{Resources, TaskName},
            placement::reserved,
            progress::JobOutcome,
        },
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The maximum number of long-running tasks that are on their way out of evacuated domains. Each
/// stop and start takes a few commands and a write, which must not delay those of other work.
const MAX_MOVES: usize = 8;

/// The time between two choices of tasks to move; the commands of the one before are answered by
/// then.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a stopped task counts as on its way if it finds no room after all.
const MOVE_TIMEOUT: Duration = Duration::from_secs(4);

/// What still runs in an evacuated failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationStatus {
    /// Whether long-running tasks move away.
    pub is_emptied: bool,
    /// The listed workers of the domain.
    pub workers: u32,
    /// The runs of tasks that end by themselves.
    pub short_runs: u32,
    /// The runs of long-running tasks.
    pub long_running_runs: u32,
}

/// The evacuation of failure domains at the leader.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    domains: HashSet<String>,
    /// Those from which long-running tasks move away.
    emptied: HashSet<String>,
    /// Whether starts are held back everywhere because an evacuation may be unknown.
    starts_held: bool,
    /// The tasks that were stopped to move, and when.
    moving: HashMap<TaskName, Instant>,
    /// When tasks to move were last chosen; `None` before the first time.
    chosen_at: Option<Instant>,
}

impl Shard {
    /// Sets the evacuated failure domains, and those of them from which long-running tasks move away.
    pub fn set_evacuations(&mut self, domains: &[&str], emptied: &[&str]) {
        let owned = |domains: &[&str]| domains.iter().map(|d| (*d).to_owned()).collect();
        self.evacuation.emptied = owned(emptied);
        let domains: HashSet<String> = owned(domains);
        if domains == self.evacuation.domains {
            return;
        }
        self.evacuation.domains = domains;
        for worker in self.workers.values_mut() {
            worker.is_evacuated = self.evacuation.domains.contains(&worker.info.domain);
        }
        self.changed = true;
    }

    /// Sets whether starts are held back everywhere because an evacuation may be unknown; see
    /// [`must_hold_starts`](crate::sched::evacuation::must_hold_starts).
    pub fn hold_starts(&mut self, is_held: bool) {
        if std::mem::replace(&mut self.evacuation.starts_held, is_held) == is_held {
            return;
        }
        self.changed = true;
        if is_held {
            log::warn!("jobs: no starts, the copy of the evacuations may be out of date.");
        } else {
            log::info!("jobs: starts again, the copy of the evacuations is up to date.");
        }
    }

    /// Returns whether starts are held back everywhere.
    pub(super) fn starts_are_held(&self) -> bool {
        self.evacuation.starts_held
    }

    /// Returns whether workers of a failure domain get no new tasks.
    pub(super) fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuation.domains.contains(domain)
    }

    /// Returns what still runs in each evacuated failure domain.
    pub fn evacuation_status(&self) -> BTreeMap<String, EvacuationStatus> {
        let domains = self.evacuation.domains.iter();
        let mut statuses: BTreeMap<_, _> = domains
            .map(|domain| {
                let status = EvacuationStatus {
                    is_emptied: self.evacuation.emptied.contains(domain),
                    ..EvacuationStatus::default()
                };
                (domain.clone(), status)
            })
            .collect();
        for worker in self.workers.values() {
            let Some(status) = statuses.get_mut(&worker.info.domain) else {
                continue;
            };
            status.workers += u32::from(worker.listed);
            for run in worker.runs.values() {
                if run.is_long_running {
                    status.long_running_runs += 1;
                } else {
                    status.short_runs += 1;
                }
            }
        }
        statuses
    }

    /// Stops long-running tasks in domains that are to be emptied for which there is room elsewhere.
    pub(super) fn move_evacuated_runs(&mut self, now: Instant) {
        if self.evacuation.emptied.is_empty() || self.has_waiting_short_work() {
            return;
        }
        let last = self.evacuation.chosen_at;
        if last.is_some_and(|at| now.duration_since(at) < MOVE_INTERVAL) {
            return;
        }
        self.evacuation.chosen_at = Some(now);
        self.forget_moved_tasks(now);
        let mut budget = MAX_MOVES.saturating_sub(self.evacuation.moving.len());
        // Tasks on their way take this room.
        let mut claimed: HashMap<String, Resources> = HashMap::default();
        let on_their_way: Vec<_> = self.evacuation.moving.keys().copied().collect();
        for name in on_their_way {
            self.claim_room(name, &mut claimed, now);
        }
        for (worker_id, name) in self.evacuated_long_runs() {
            if budget == 0 {
                return;
            }
            if !self.may_be_stopped(name, now) || !self.claim_room(name, &mut claimed, now) {
                continue;
            }
            log::info!(
                "jobs: task={name} worker={worker_id} moves, its failure domain is evacuated."
            );
            self.evacuation.moving.insert(name, now);
            self.stop_run(&worker_id, name);
            budget -= 1;
        }
    }

    /// Returns whether a task waits that ends by itself and reserves CPU.
    fn has_waiting_short_work(&self) -> bool {
        let open = |job: &&Job| job.outcome == JobOutcome::Open && !job.is_long_running();
        self.jobs.values().filter(open).any(|job| {
            job.occurrences.iter().any(|occurrence| {
                let steps = job.spec.steps.iter().enumerate();
                let mut ready = steps.filter(|(i, step)| occurrence.is_ready(*i, step));
                ready.any(|(i, step)| {
                    let is_waiting = |t: &Task| !t.done && t.workers.is_empty();
                    !step.best_effort && occurrence.tasks[i].iter().any(is_waiting)
                })
            })
        })
    }

    /// Forgets the tasks that run again, have ended or have found no room for long.
    fn forget_moved_tasks(&mut self, now: Instant) {
        let jobs = &mut self.jobs;
        let workers = &self.workers;
        self.evacuation.moving.retain(|name, since| {
            if now.duration_since(*since) >= MOVE_TIMEOUT {
                return false;
            }
            let job = jobs.get_mut(&name.job);
            let job = job.filter(|j| j.outcome == JobOutcome::Open);
            let Some(task) = job.and_then(|j| j.task(name)) else {
                return false;
            };
            let is_elsewhere = |id: &String| workers.get(id).is_some_and(|w| !w.is_evacuated);
            !task.workers.iter().any(is_elsewhere)
        });
    }

    /// Returns the workers and names of the confirmed long-running tasks that are to move, in the
    /// order in which they move.
    fn evacuated_long_runs(&self) -> Vec<(String, TaskName)> {
        let is_emptied = |w: &&Worker| self.evacuation.emptied.contains(&w.info.domain);
        let workers = self.workers.values().filter(is_emptied);
        let mut runs: Vec<_> = workers
            .flat_map(|w| w.runs.iter().map(move |(name, run)| (w, name, run)))
            .filter(|(_, _, run)| run.is_long_running && matches!(run.phase, RunPhase::Running(_)))
            .map(|(w, name, run)| (run.checkpoint.is_empty(), *name, w.info.id.clone()))
            .collect();
        runs.sort_unstable();
        runs.into_iter().map(|(_, name, id)| (id, name)).collect()
    }

    /// Finds room for a task outside of the evacuated domains, and adds it to `claimed`; returns
    /// whether there is any.
    fn claim_room(
        &self,
        name: TaskName,
        claimed: &mut HashMap<String, Resources>,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let Some(step) = job.spec.steps.get(usize::from(name.step)) else {
            return false;
        };
        let request = reserved(step);
        let has_room = |w: &Worker| {
            let mut free = w.free;
            if let Some(claimed) = claimed.get(&w.info.id) {
                free.subtract(claimed);
            }
            free.covers(&request)
        };
        let found = self.find_worker(name, &job.spec.service, step, has_room, false, now);
        let Some(id) = found else {
            return false;
        };
        claimed.entry(id).or_default().add(&request);
        true
    }
}
