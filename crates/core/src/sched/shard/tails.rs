//! What filling tasks do to serving ones: what is learnt, what is left, and the paces.

use {
    super::state::{Order, Phase, Shard, Worker},
    crate::sched::{
        disturb::{Image, Load},
        pace,
        place::HIGHEST_TAIL,
        worker::Report,
    },
    std::time::{Duration, Instant},
};

/// The share of its startup, in percent, from which a serving task's tail counts.
const AT_WORK: f64 = 100.0;

/// How long a serving task may be over its target before all that fills beside it is halted,
/// whatever has been learnt; the platform allows it four seconds.
const OVER_LIMIT: Duration = Duration::from_millis(1_000);

impl Shard {
    /// Returns the occupancy that a filling task adds to the serving task that it disturbs
    /// most, and the least occupancy that is then left below the highest tail.
    pub(super) fn effect(&self, worker: &Worker, image: Image, cpu: i64) -> (f64, f64) {
        let mut most: f64 = 0.0;
        let mut least = f64::INFINITY;
        for (serving, left) in &worker.left {
            let added = self.disturbance.per_core(*serving, image) * cores_of(cpu);
            most = most.max(added);
            least = least.min(left - added);
        }
        (most, least)
    }

    /// Works out anew which occupancy is left to each serving image of a worker.
    pub(super) fn update_left(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.left.clear();
        if worker.serving == 0 {
            return;
        }
        let mut cores = Vec::new();
        for run in worker.runs.values().filter(|run| run.fill_cpu > 0) {
            add_cores(&mut cores, run.image, cores_of(run.fill_cpu));
        }
        for run in worker.runs.values().filter(|run| run.target_ms > 0.0) {
            let limit = self.disturbance.occupancy(run.image, HIGHEST_TAIL);
            let left = limit - self.disturbance.expect(run.image, &run.load, &cores);
            match worker.left.iter_mut().find(|(i, _)| *i == run.image) {
                Some((_, known)) => *known = known.min(left),
                None => worker.left.push((run.image, left)),
            }
        }
    }

    /// Learns from the tails of a worker's serving tasks, and paces its filling tasks by them.
    pub(super) fn watch_tails(&mut self, id: &str, report: &Report, now: Instant) {
        let token = self.worker_token(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut cores: Vec<(Image, f64)> = Vec::new();
        for row in &report.running {
            if let (Some(run), Some(usage)) = (worker.runs.get(&row.task), row.usage)
                && run.fill_cpu > 0
            {
                add_cores(&mut cores, run.image, usage / 1_000.0);
            }
        }
        worker.pressure.observe(&cores, now);
        let mut serving: Vec<(Image, Load)> = Vec::new();
        let mut worst: f64 = 0.0;
        for row in report.running.iter().filter(|row| row.percent >= AT_WORK) {
            if let (Some(run), Some(usage)) = (worker.runs.get_mut(&row.task), row.usage)
                && run.target_ms > 0.0
            {
                let tail = usage / run.target_ms;
                worst = worst.max(tail);
                let load = &mut run.load;
                let pressure = &worker.pressure;
                self.disturbance
                    .observe(run.image, load, tail, pressure, now);
                serving.push((run.image, *load));
            }
        }
        if worker.serving == 0 {
            worker.paces.clear();
        }
        if worst > 1.0 {
            worker.over_since.get_or_insert(now);
        } else {
            worker.over_since = None;
        }
        let over = worker.over_since.map(|since| now.duration_since(since));
        let over = over.is_some_and(|over| over >= OVER_LIMIT);
        let mut full: Vec<(Image, f64)> = Vec::new();
        for run in worker.runs.values().filter(|run| run.fill_cpu > 0) {
            add_cores(&mut full, run.image, cores_of(run.fill_cpu));
        }
        for (image, percent) in pace::best(&self.disturbance, &serving, &full) {
            let pace = worker.paces.entry(image).or_default();
            let before = pace.percent();
            let percent = if over { 0.0 } else { percent };
            if pace.set(percent, now) {
                log::info!(
                    "jobs: worker={id} image={} pace={} before={before} serving={}.",
                    self.disturbance.name(image),
                    pace.percent(),
                    worker.serving,
                );
            }
        }
        let mut stop = Vec::new();
        for (task, run) in &mut worker.runs {
            let running = matches!(run.phase, Phase::Running(_));
            if run.fill_cpu == 0 || !running {
                continue;
            }
            let pace = worker.paces.get(&run.image).copied().unwrap_or_default();
            let percent = pace.percent();
            if pace.is_crawling(now) {
                stop.push(*task);
            } else if run.pace != percent {
                run.pace = percent;
                run.moved = now;
                self.orders.push(Order::Pace {
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
        self.update_left(id);
    }
}

pub(super) fn cores_of(cpu: i64) -> f64 {
    cpu as f64 / 1_000.0
}

fn add_cores(cores: &mut Vec<(Image, f64)>, image: Image, more: f64) {
    match cores.iter_mut().find(|(i, _)| *i == image) {
        Some((_, known)) => *known += more,
        None => cores.push((image, more)),
    }
}
