//! Moving jobs to less loaded shards before they start.

use {
    super::state::{Command, RunPhase, Shard},
    crate::sched::job::{JobId, JobSpec, TaskName},
    std::time::{Duration, Instant},
};

/// How many times a job may be moved.
const MAX_MOVES: u8 = 2;

/// How much lower the load of the other shard must be for a move, in thousandths of the CPU
/// capacity of the service's workers (see [`ServiceLoad`](super::ServiceLoad)).
const MOVE_MARGIN: u32 = 100;

/// The minimum time since a job was accepted before it may be moved. Jobs with a long-running step
/// may be moved without this delay.
const MOVE_DELAY: Duration = Duration::from_millis(600);

impl Shard {
    /// Returns whether a job should move to another shard. All of these must hold:
    ///
    /// - The job has not started and has no runs.
    /// - It has been moved fewer than [`MAX_MOVES`] times, and is not waiting to retry a move.
    /// - The lowest load of any other shard is lower than the load here by [`MOVE_MARGIN`]. The
    ///   reserved loads are compared, or the best-effort loads if all steps are best-effort and
    ///   none is long-running.
    /// - If it has a long-running step, the tasks of that step don't all fit here; if not, it was
    ///   accepted at least [`MOVE_DELAY`] ago.
    pub(super) fn should_move(&mut self, id: JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let waited = now.duration_since(job.accepted_at);
        let awaits_retry = job.move_retry_at.is_some_and(|at| now < at);
        if job.started
            || awaits_retry
            || job.spec.move_count >= MAX_MOVES
            || job.runs(id).next().is_some()
        {
            return false;
        }
        let spec = job.spec.clone();
        let Some(least_other_load) = self.other_shard_loads.get(&spec.service).copied() else {
            return false;
        };
        let own_load = self.loads().get(&spec.service).copied().unwrap_or_default();
        let long_running = spec.steps.iter().any(|step| step.long_running);
        if long_running {
            return own_load.reserved >= least_other_load.reserved + MOVE_MARGIN
                && !self.long_running_step_fits(id, &spec, now);
        }
        let (own_load, least_other_load) = if spec.steps.iter().all(|step| step.best_effort) {
            (own_load.best_effort, least_other_load.best_effort)
        } else {
            (own_load.reserved, least_other_load.reserved)
        };
        waited >= MOVE_DELAY && own_load >= least_other_load + MOVE_MARGIN
    }

    /// Returns whether all tasks of a job's first long-running step fit on the workers now; true if
    /// the job has no such step.
    ///
    /// To find out, it places the tasks one by one, adds a run for each to reserve its resources,
    /// and removes these runs before it returns.
    pub(super) fn long_running_step_fits(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Instant,
    ) -> bool {
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
            let Some(worker) = self.find_worker(name, &spec.service, step, |_| true, false, now)
            else {
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

    /// Queues the command to move a job. The job does not start before
    /// [`on_move_result`](Shard::on_move_result) reports the result.
    pub(super) fn queue_move(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.moving = true;
            let spec = job.spec.clone();
            self.commands.push(Command::Move { job: id, spec });
        }
    }
}
