//! Claims queued tasks: the order of jobs, the quotas of teams and the choice of a worker's slot.

use {
    super::{
        actor::Jobs,
        running::{RunningAttempt, TaskKey},
    },
    crate::{directory::Directory, worker::TaskSlot},
    marigoldbend::{
        core::{ids::Version, ownership::row::fallback_share, task::Phase},
        platform::wire::TaskRef,
    },
    std::time::Instant,
};

/// The number of slots on each worker that non-urgent tasks leave free for requests and urgent
/// tasks.
const RESERVED_SLOTS: u32 = 2;

impl Jobs {
    /// Claims queued tasks for workers with free slots: urgent jobs first, then older ones first.
    pub(super) fn claim_tasks(&mut self, directory: &Directory, now: Instant) {
        let Some(config) = directory.config.as_ref().map(|c| c.config.clone()) else {
            return;
        };
        let members = directory.row.1.members.len().max(1);
        for id in self.claim_order() {
            let Some(stored) = self.store.get(&id) else {
                continue;
            };
            let spec = stored.job.spec.clone();
            let Some(class) = config.classes.get(&spec.class) else {
                self.park(&id, "its batch class is not in the configuration");
                continue;
            };
            let Some(team) = config.teams.get(&spec.team) else {
                self.park(&id, "its team is not in the configuration");
                continue;
            };
            // Each member of the domain enforces an equal part of the quota.
            let quota = (team.running_tasks as usize).div_ceil(members);
            let remaining_quota = quota.saturating_sub(self.count_team_tasks(&spec.team));
            let max_tasks = if spec.urgent {
                // Urgent tasks may use as many slots as an owner may use while its ownership is not
                // confirmed.
                fallback_share(config.worker.slots)
            } else {
                class.slots_per_worker
            };
            let reserved = if spec.urgent { 0 } else { RESERVED_SLOTS };
            for task_index in self.queued_tasks(&id).into_iter().take(remaining_quota) {
                let Some(slot) = acquire_slot(directory, max_tasks, reserved, now) else {
                    return;
                };
                self.claim(&id, task_index, slot, now);
            }
        }
    }

    /// Returns the ids of jobs that may have queued tasks, in the order of claims.
    fn claim_order(&self) -> Vec<String> {
        let claimable = self.store.iter().filter(|s| {
            let is_written = s.version > Version(0);
            is_written && !s.job.cancelled && !s.job.is_final()
        });
        let mut order: Vec<(bool, String)> = claimable
            .map(|s| (!s.job.spec.urgent, s.job.id.clone()))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the indices of a job's queued tasks.
    fn queued_tasks(&self, id: &str) -> Vec<usize> {
        let tasks = self.store.get(id).map_or(&[][..], |s| &s.job.tasks);
        let queued = tasks.iter().enumerate();
        let queued = queued.filter(|(_, t)| t.phase == Phase::Queued);
        queued.map(|(task_index, _)| task_index).collect()
    }

    /// Returns how many tasks of a team this home has claimed and not ended.
    fn count_team_tasks(&self, team: &str) -> usize {
        let of_team = |(id, _): &&TaskKey| {
            let stored = self.store.get(id);
            stored.is_some_and(|s| s.job.spec.team == team)
        };
        self.running.keys().filter(of_team).count()
    }

    /// Claims a task for the worker of `slot`; the attempt starts once the claim is written.
    fn claim(&mut self, id: &str, task_index: usize, slot: TaskSlot, now: Instant) {
        let Some(stored) = self.store.get_mut(id) else {
            return;
        };
        let worker = slot.worker.id;
        let Ok(attempt) = stored.job.tasks[task_index].claim(worker, self.cfg.me) else {
            return;
        };
        stored.dirty = true;
        log::info!(
            "place: task={id}/{task_index} attempt={attempt} worker={worker} epoch={} why=free-slot.",
            slot.worker.epoch(),
        );
        let running = RunningAttempt {
            task: TaskRef {
                task: format!("{id}/{task_index}"),
                attempt,
            },
            agent: slot.worker.agent,
            worker,
            slot: Some(slot),
            last_sent: now,
            last_reply: now,
            claim_op: None,
            started: false,
            call_pending: false,
            stop_reason: None,
        };
        self.running.insert((id.to_owned(), task_index), running);
    }

    /// Parks the queued tasks of a job: they are not run any more, and `reason` is stored
    /// with them.
    fn park(&mut self, id: &str, reason: &str) {
        let Some(stored) = self.store.get_mut(id) else {
            return;
        };
        for task in &mut stored.job.tasks {
            if task.phase == Phase::Queued {
                log::warn!("place: job={id} parked: {reason}.");
                task.mark_parked(reason);
                stored.dirty = true;
            }
        }
    }
}

/// Acquires a slot on the worker with the fewest tasks, among the workers that run fewer than
/// `max_tasks` tasks and keep at least `reserved` slots free.
fn acquire_slot(
    directory: &Directory,
    max_tasks: u32,
    reserved: u32,
    now: Instant,
) -> Option<TaskSlot> {
    let mut workers: Vec<_> = directory.workers.values().collect();
    workers.sort_unstable_by_key(|w| (w.tasks(), w.gate.in_use(), w.id));
    let mut slots = workers
        .into_iter()
        .map(|w| w.try_acquire_for_task(max_tasks, reserved, now));
    slots.find_map(|slot| slot)
}
