//! Tail latencies of serving tasks, and what follows from them: interference estimates, headroom
//! (see [`interference`](crate::sched::interference)) and the throttles of best-effort tasks.

use {
    super::state::{Command, RunPhase, Shard, Worker},
    crate::{
        hash::HashMap,
        sched::{
            interference::{Group, Image},
            placement::MAX_TAIL,
            throttle,
            worker::Report,
        },
    },
    std::time::{Duration, Instant},
};

/// A serving task's tail latency counts once the startup progress that it reports has reached this,
/// in percent.
const STARTUP_DONE_PERCENT: f64 = 100.0;

/// How long a serving task may exceed its target before all best-effort tasks on its worker are
/// suspended, whatever the estimates say. The platform reports a violation after 4 s.
const OVER_TARGET_LIMIT: Duration = Duration::from_millis(1_000);

/// How far ahead the load of serving tasks is predicted for the placement of best-effort tasks.
const PLACEMENT_HORIZON: Duration = Duration::from_millis(1_000);

/// How far ahead the load of serving tasks is predicted for the throttles of best-effort tasks; the
/// next report arrives by then.
const THROTTLE_HORIZON: Duration = Duration::from_millis(400);

impl Shard {
    /// Returns the effect of placing a best-effort task that uses `cpu` thousandths of a core on a
    /// worker.
    ///
    /// The first value is the largest headroom that the task takes from any serving image of the
    /// worker; zero if there is none. The second is the smallest headroom that any serving image
    /// then has above the minimum of `1 / MAX_TAIL`; infinite if there is none.
    pub(super) fn headroom_effect(&self, worker: &Worker, image: Image, cpu: i64) -> (f64, f64) {
        let share = share_of(cpu, worker.info.capacity.cpu);
        let mut max_cost: f64 = 0.0;
        let mut min_headroom = f64::INFINITY;
        for (serving, headroom) in &worker.headroom {
            let cost = self.interference.cost(*serving, image) * share;
            max_cost = max_cost.max(cost);
            min_headroom = min_headroom.min(headroom - cost);
        }
        (max_cost, min_headroom)
    }

    /// Recomputes the headroom that each serving image of a worker has while all best-effort runs
    /// are at full speed.
    pub(super) fn update_headroom(&mut self, worker_id: &str, now: Instant) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.headroom.clear();
        if worker.serving_runs == 0 {
            return;
        }
        let shares = worker.best_effort_shares();
        for (task, run) in worker
            .runs
            .iter()
            .filter(|(_, run)| run.latency_target_ms > 0.0)
        {
            let group = (task.job, task.step);
            let predicted = self
                .interference
                .headroom_alone(group, now + PLACEMENT_HORIZON);
            let alone = self.interference.headroom_alone(group, now).min(predicted);
            let cost =
                |(image, share): &(Image, f64)| self.interference.cost(run.image, *image) * share;
            let headroom = alone - shares.iter().map(cost).sum::<f64>() - 1.0 / MAX_TAIL;
            match worker.headroom.iter_mut().find(|(i, _)| *i == run.image) {
                Some((_, lowest)) => *lowest = lowest.min(headroom),
                None => worker.headroom.push((run.image, headroom)),
            }
        }
    }

    /// Updates the interference estimates from the tail latencies in a worker's report, and adjusts
    /// the throttles of the worker's best-effort tasks.
    pub(super) fn observe_tails(&mut self, worker_id: &str, report: &Report, now: Instant) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        worker.update_pressure(report, now);
        let (tails, worst) = worker.tails(report);
        let mut serving: Vec<(Image, f64)> = Vec::new();
        for ((image, group), mut tails) in tails {
            // The median is used, since single tail latencies are sometimes far too high.
            tails.sort_by(f64::total_cmp);
            let tail = tails[(tails.len() - 1) / 2];
            self.interference
                .observe(image, group, tail, &worker.pressure, now);
            serving.push((
                image,
                self.interference
                    .headroom_alone(group, now + THROTTLE_HORIZON),
            ));
        }
        let suspend = worker.exceeds_target_too_long(worst, now);
        self.set_throttles(worker_id, &serving, suspend, now);
        self.queue_throttles(worker_id, now);
        self.update_headroom(worker_id, now);
    }

    /// Sets the throttle of each best-effort image of a worker; to zero percent if `suspend`.
    ///
    /// `serving` holds the worker's serving images and their predicted headroom.
    fn set_throttles(
        &mut self,
        worker_id: &str,
        serving: &[(Image, f64)],
        suspend: bool,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        if worker.serving_runs == 0 {
            worker.throttles.clear();
        }
        let full_shares = worker.best_effort_shares();
        for (image, percent) in throttle::best_throttles(&self.interference, serving, &full_shares)
        {
            let throttle = worker.throttles.entry(image).or_default();
            let previous = throttle.percent();
            let percent = if suspend { 0.0 } else { percent };
            if throttle.set(percent, now) {
                log::info!(
                    "jobs: worker={worker_id} image={} pace={} before={previous} serving={}.",
                    self.interference.name(image),
                    throttle.percent(),
                    worker.serving_runs,
                );
            }
        }
    }

    /// Queues commands for the throttles that have changed, and stops starved runs so that their
    /// tasks resume on another worker.
    fn queue_throttles(&mut self, worker_id: &str, now: Instant) {
        let token = self.worker_token(worker_id);
        let Some(worker) = self.workers.get_mut(worker_id) else {
            return;
        };
        let mut starved = Vec::new();
        for (task, run) in &mut worker.runs {
            let running = matches!(run.phase, RunPhase::Running(_));
            if run.best_effort_cpu == 0 || !running {
                continue;
            }
            let throttle = worker
                .throttles
                .get(&run.image)
                .copied()
                .unwrap_or_default();
            let percent = throttle.percent();
            if throttle.is_starved(now) {
                starved.push(*task);
            } else if run.speed_percent != percent {
                run.speed_percent = percent;
                run.progressed_at = now;
                self.commands.push(Command::Throttle {
                    worker: worker_id.to_owned(),
                    task: *task,
                    attempt: run.attempt,
                    percent,
                    token,
                });
            }
        }
        for task in starved {
            log::info!(
                "jobs: task={task} worker={worker_id} interferes with serving tasks, stopping it."
            );
            self.stop_run(worker_id, task);
        }
    }
}

/// Tail latencies of serving tasks, each divided by the task's target, by image and group.
type Tails = HashMap<(Image, Group), Vec<f64>>;

impl Worker {
    /// Records the CPU that best-effort images use according to the worker's report.
    fn update_pressure(&mut self, report: &Report, now: Instant) {
        let mut in_use: Vec<(Image, f64)> = Vec::new();
        for row in &report.running {
            if let (Some(run), Some(usage)) = (self.runs.get(&row.task), row.usage)
                && run.best_effort_cpu > 0
            {
                let share = share_of(usage as i64, self.info.capacity.cpu);
                add_share(&mut in_use, run.image, share);
            }
        }
        self.pressure.observe(&in_use, now);
    }

    /// Returns the tail latencies of the serving tasks that have completed their startup, and the
    /// highest of them as a share of its target; zero if there are none.
    fn tails(&self, report: &Report) -> (Tails, f64) {
        let mut tails = Tails::default();
        let mut worst: f64 = 0.0;
        for row in report
            .running
            .iter()
            .filter(|row| row.percent >= STARTUP_DONE_PERCENT)
        {
            if let (Some(run), Some(usage)) = (self.runs.get(&row.task), row.usage)
                && run.latency_target_ms > 0.0
            {
                let tail = usage / run.latency_target_ms;
                worst = worst.max(tail);
                let key = (run.image, (row.task.job, row.task.step));
                tails.entry(key).or_default().push(tail);
            }
        }
        (tails, worst)
    }

    /// Records the highest tail latency, as a share of its target, and returns whether serving
    /// tasks have exceeded their targets for [`OVER_TARGET_LIMIT`].
    fn exceeds_target_too_long(&mut self, worst: f64, now: Instant) -> bool {
        if worst <= 1.0 {
            self.over_target_since = None;
            return false;
        }
        let since = *self.over_target_since.get_or_insert(now);
        now.duration_since(since) >= OVER_TARGET_LIMIT
    }

    /// Returns the share of the worker's CPU that each best-effort image uses at full speed.
    fn best_effort_shares(&self) -> Vec<(Image, f64)> {
        let mut shares = Vec::new();
        for run in self.runs.values().filter(|run| run.best_effort_cpu > 0) {
            add_share(
                &mut shares,
                run.image,
                share_of(run.best_effort_cpu, self.info.capacity.cpu),
            );
        }
        shares
    }
}

/// Returns `cpu` as a share of `capacity`, both in thousandths of a core.
fn share_of(cpu: i64, capacity: i64) -> f64 {
    cpu as f64 / capacity.max(1) as f64
}

/// Adds `share` to the entry of an image, or adds an entry.
fn add_share(shares: &mut Vec<(Image, f64)>, image: Image, share: f64) {
    match shares.iter_mut().find(|(i, _)| *i == image) {
        Some((_, sum)) => *sum += share,
        None => shares.push((image, share)),
    }
}
