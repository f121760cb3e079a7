//! Moves of jobs that have not started to less loaded shards.

use {
    super::state::{Command, RunPhase, Shard},
    crate::sched::job::{JobId, JobSpec, TaskName},
    std::time::{Duration, Instant},
};

/// The maximum number of moves of a job.
const MAX_MOVES: u8 = 2;

/// How much lower the load of another shard must be for a move, in thousandths of capacity.
const MOVE_MARGIN: u32 = 100;

/// How long a job waits for its first start before it is moved.
const MOVE_DELAY: Duration = Duration::from_millis(600);

impl Shard {
    /// Returns whether a job that has not started should move to another shard.
    pub(super) fn should_move(&mut self, id: JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let waited = now.duration_since(job.accepted_at);
        let too_early = job.move_after.is_some_and(|at| now < at);
        if job.started
            || too_early
            || job.spec.move_count >= MAX_MOVES
            || job.runs(id).next().is_some()
        {
            return false;
        }
        let spec = job.spec.clone();
        let Some(other_load) = self.other_shard_loads.get(&spec.service).copied() else {
            return false;
        };
        let own_load = self.loads().get(&spec.service).copied().unwrap_or_default();
        let long_running = spec.steps.iter().any(|step| step.long_running);
        if long_running {
            return own_load.reserved >= other_load.reserved + MOVE_MARGIN
                && !self.all_tasks_fit(id, &spec, now);
        }
        let (own_load, other_load) = if spec.steps.iter().all(|step| step.best_effort) {
            (own_load.best_effort, other_load.best_effort)
        } else {
            (own_load.reserved, other_load.reserved)
        };
        waited >= MOVE_DELAY && own_load >= other_load + MOVE_MARGIN
    }

    /// Returns whether all tasks of a job's first long-running step fit on the workers now.
    ///
    /// The runs that it adds to find out are removed again.
    pub(super) fn all_tasks_fit(&mut self, id: JobId, spec: &JobSpec, now: Instant) -> bool {
        let long_running = spec.steps.iter().position(|step| step.long_running);
        let Some(step_index) = long_running else {
            return true;
        };
        let step = &spec.steps[step_index];
        let mut placed = Vec::new();
        for index in 0..step.count {
            let name = TaskName {
                job: id,
                occurrence: 0,
                step: step_index as u16,
                index,
            };
            let Some(worker) = self.find_worker(name, &spec.service, step, None, false, now) else {
                break;
            };
            self.add_run(&worker, name, 0, RunPhase::Sent, now);
            placed.push((worker, name));
        }
        let all_placed = placed.len() == step.count as usize;
        for (worker, name) in placed {
            self.remove_run(&worker, name, now);
        }
        all_placed
    }

    /// Sends the command to move a job, and keeps it from starting until the result is known.
    pub(super) fn send_move(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.moving = true;
            let spec = job.spec.clone();
            self.commands.push(Command::Move { job: id, spec });
        }
    }
}
