//! Jobs that have not begun and had better go to a shard with more room.

use {
    super::state::{Command, RunPhase, Shard},
    crate::sched::job::{JobId, JobSpec, TaskName},
    std::time::{Duration, Instant},
};

/// How often a job may be passed on.
const MOST_MOVES: u8 = 2;

/// How much less, in thousandths, must be asked for in another shard for a job to go there.
const MOVE_MARGIN: u32 = 100;

/// How long a job waits for its first start before it is passed on.
const MOVE_PATIENCE: Duration = Duration::from_millis(600);

impl Shard {
    /// Returns whether a job that has not begun had better go to another shard.
    pub(super) fn should_move(&mut self, id: JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let waits = now.duration_since(job.accepted_at);
        let early = job.move_after.is_some_and(|at| now < at);
        if job.started || early || job.spec.moves >= MOST_MOVES || job.runs(id).next().is_some() {
            return false;
        }
        let spec = job.spec.clone();
        let Some(there) = self.other_shard_loads.get(&spec.service).copied() else {
            return false;
        };
        let here = self.loads().get(&spec.service).copied().unwrap_or_default();
        let long_running = spec.steps.iter().any(|step| step.long_running);
        if long_running {
            return here.reserved >= there.reserved + MOVE_MARGIN
                && !self.fits_whole(id, &spec, now);
        }
        let (here, there) = if spec.steps.iter().all(|step| step.best_effort) {
            (here.best_effort, there.best_effort)
        } else {
            (here.reserved, there.reserved)
        };
        waits >= MOVE_PATIENCE && here >= there + MOVE_MARGIN
    }

    /// Returns whether all tasks of a job's first lasting step find room at once.
    pub(super) fn fits_whole(&mut self, id: JobId, spec: &JobSpec, now: Instant) -> bool {
        let long_running = spec.steps.iter().position(|step| step.long_running);
        let Some(at) = long_running else {
            return true;
        };
        let step = &spec.steps[at];
        let mut placed = Vec::new();
        for index in 0..step.count {
            let name = TaskName {
                job: id,
                occurrence: 0,
                step: at as u16,
                index,
            };
            let Some(worker) = self.find_worker(name, &spec.service, step, None, false, now) else {
                break;
            };
            self.add_run(&worker, name, 0, RunPhase::Sent, now);
            placed.push((worker, name));
        }
        let whole = placed.len() == step.count as usize;
        for (worker, name) in placed {
            self.remove_run(&worker, name, now);
        }
        whole
    }

    pub(super) fn send_move(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.moving = true;
            let spec = job.spec.clone();
            self.commands.push(Command::Move { job: id, spec });
        }
    }
}
