//! What filling tasks do to serving ones: what is learnt, what is left, and the paces.

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

/// The share of its startup, in percent, from which a serving task's tail counts.
const AT_WORK: f64 = 100.0;

/// How long a serving task may be over its target before all that fills beside it is halted,
/// whatever has been learnt; the platform allows it four seconds.
const OVER_LIMIT: Duration = Duration::from_millis(1_000);

/// How far ahead the load of serving tasks is looked at when filling tasks are placed.
const PLACEMENT_SIGHT: Duration = Duration::from_millis(1_000);

/// How far ahead it is looked at when they are paced; the next report comes by then.
const PACE_SIGHT: Duration = Duration::from_millis(400);

impl Shard {
    /// Returns the headroom that a filling task takes from the serving task that it disturbs
    /// most, and the least headroom that is then left above the lowest one.
    pub(super) fn headroom_effect(&self, worker: &Worker, image: Image, cpu: i64) -> (f64, f64) {
        let share = share_of(cpu, worker.info.capacity.cpu);
        let mut most: f64 = 0.0;
        let mut least = f64::INFINITY;
        for (serving, headroom) in &worker.headroom {
            let taken = self.interference.cost(*serving, image) * share;
            most = most.max(taken);
            least = least.min(headroom - taken);
        }
        (most, least)
    }

    /// Works out anew which headroom is left to each serving image of a worker.
    pub(super) fn update_headroom(&mut self, id: &str, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.headroom.clear();
        if worker.serving == 0 {
            return;
        }
        let shares = worker.shares();
        for (task, run) in worker.runs.iter().filter(|(_, run)| run.target_ms > 0.0) {
            let group = (task.job, task.step);
            let soon = self
                .interference
                .headroom_alone(group, now + PLACEMENT_SIGHT);
            let alone = self.interference.headroom_alone(group, now).min(soon);
            let cost =
                |(image, share): &(Image, f64)| self.interference.cost(run.image, *image) * share;
            let headroom = alone - shares.iter().map(cost).sum::<f64>() - 1.0 / MAX_TAIL;
            match worker.headroom.iter_mut().find(|(i, _)| *i == run.image) {
                Some((_, known)) => *known = known.min(headroom),
                None => worker.headroom.push((run.image, headroom)),
            }
        }
    }

    /// Learns from the tails of a worker's serving tasks, and paces its filling tasks by them.
    pub(super) fn watch_tails(&mut self, id: &str, report: &Report, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.note_pressure(report, now);
        let (tails, worst) = worker.tails(report);
        let mut serving: Vec<(Image, f64)> = Vec::new();
        for ((image, group), mut tails) in tails {
            // Single figures are far too high now and then.
            tails.sort_by(f64::total_cmp);
            let tail = tails[(tails.len() - 1) / 2];
            self.interference
                .observe(image, group, tail, &worker.pressure, now);
            serving.push((
                image,
                self.interference.headroom_alone(group, now + PACE_SIGHT),
            ));
        }
        let halt = worker.is_over_for_long(worst, now);
        self.set_throttles(id, &serving, halt, now);
        self.send_throttles(id, now);
        self.update_headroom(id, now);
    }

    /// Sets the pace of each filling image of a worker; `halt` stops them all for now.
    fn set_throttles(&mut self, id: &str, serving: &[(Image, f64)], halt: bool, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.serving == 0 {
            worker.throttles.clear();
        }
        let full = worker.shares();
        for (image, percent) in throttle::best_throttles(&self.interference, serving, &full) {
            let throttle = worker.throttles.entry(image).or_default();
            let before = throttle.percent();
            let percent = if halt { 0.0 } else { percent };
            if throttle.set(percent, now) {
                log::info!(
                    "jobs: worker={id} image={} pace={} before={before} serving={}.",
                    self.interference.name(image),
                    throttle.percent(),
                    worker.serving,
                );
            }
        }
    }

    /// Orders the paces that have changed; what has crawled for too long goes elsewhere.
    fn send_throttles(&mut self, id: &str, now: Instant) {
        let token = self.worker_token(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut stop = Vec::new();
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
                stop.push(*task);
            } else if run.throttle_percent != percent {
                run.throttle_percent = percent;
                run.progressed_at = now;
                self.commands.push(Command::Throttle {
                    worker: id.to_owned(),
                    task: *task,
                    attempt: run.attempt,
                    percent,
                    token,
                });
            }
        }
        for task in stop {
            log::info!("jobs: task={task} worker={id} disturbs serving tasks, stopping it.");
            self.stop_run(id, task);
        }
    }
}

/// Tails as shares of their targets, by serving image and the tasks that share a load.
type Tails = HashMap<(Image, Group), Vec<f64>>;

impl Worker {
    /// Notes what filling images use of the worker by its report.
    fn note_pressure(&mut self, report: &Report, now: Instant) {
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

    /// Returns the tails in a report of tasks that are at work, and the worst of them.
    fn tails(&self, report: &Report) -> (Tails, f64) {
        let mut tails = Tails::default();
        let mut worst: f64 = 0.0;
        for row in report.running.iter().filter(|row| row.percent >= AT_WORK) {
            if let (Some(run), Some(usage)) = (self.runs.get(&row.task), row.usage)
                && run.target_ms > 0.0
            {
                let tail = usage / run.target_ms;
                worst = worst.max(tail);
                let of = (run.image, (row.task.job, row.task.step));
                tails.entry(of).or_default().push(tail);
            }
        }
        (tails, worst)
    }

    /// Takes in the worst tail; returns whether one has been over its target for too long.
    fn is_over_for_long(&mut self, worst: f64, now: Instant) -> bool {
        if worst <= 1.0 {
            self.over_target_since = None;
            return false;
        }
        let since = *self.over_target_since.get_or_insert(now);
        now.duration_since(since) >= OVER_LIMIT
    }

    /// Returns the shares of the worker that its filling images use at full speed.
    fn shares(&self) -> Vec<(Image, f64)> {
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

fn share_of(cpu: i64, capacity: i64) -> f64 {
    cpu as f64 / capacity.max(1) as f64
}

fn add_share(shares: &mut Vec<(Image, f64)>, image: Image, more: f64) {
    match shares.iter_mut().find(|(i, _)| *i == image) {
        Some((_, known)) => *known += more,
        None => shares.push((image, more)),
    }
}
