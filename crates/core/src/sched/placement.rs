//! The choice of a worker for a task.

use crate::sched::{
    job::{Resources, Step},
    worker::WorkerInfo,
};

/// A worker on which a task of a step may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub info: &'a WorkerInfo,
    /// Its resources that no task has reserved.
    pub free: Resources,
    /// The processor that its best-effort tasks ask for, in thousandths of a core.
    pub best_effort_cpu: i64,
    /// The processor that its serving tasks reserve, in thousandths of a core.
    pub serving_cpu: i64,
    /// The number of its serving runs.
    pub serving_runs: u32,
    /// The number of its serving runs with the image of the step; zero if the step doesn't serve.
    pub same_image_runs: u32,
    /// The headroom that a best-effort task of the step takes from the serving task that it
    /// interferes with most; see [`interference`](crate::sched::interference).
    pub interference_cost: f64,
    /// The smallest headroom that a serving task then has left, less the headroom at
    /// [`MAX_TAIL`]; negative if a tail would exceed that.
    pub headroom: f64,
    /// Whether the step must be placed even where its tasks may make little progress.
    pub forced: bool,
    /// The number of its runs of the same step and occurrence; counted only if the step limits
    /// the tasks per worker.
    pub sibling_runs: u32,
}

/// The share of a best-effort task's processor that must be unused on its worker, in percent.
const MIN_UNUSED_PERCENT: i64 = 80;

/// The share of their reserved processor that serving tasks are assumed to use, in percent.
/// Best-effort tasks may use the rest.
const SERVING_USE_PERCENT: i64 = 55;

/// The tail latency, as a share of the target, up to which best-effort tasks are added.
pub const MAX_TAIL: f64 = 0.85;

/// The weight of a headroom of one in the score, in thousandths of a worker's processor.
const HEADROOM_SCORE: f64 = 600.0;

/// The score of each serving task of the same image on the worker, for a serving task, in
/// thousandths of a core.
const SAME_IMAGE_SCORE: i64 = 20_000;

/// The score of the preferred rack, which outweighs the rest of the score.
const PREFERRED_RACK_SCORE: i64 = 10_000_000;

impl Candidate<'_> {
    /// Returns whether a task of the step may be placed on this worker.
    pub fn fits(&self, step: &Step) -> bool {
        let required_label = step.required_label.as_ref();
        if required_label.is_some_and(|required_label| !self.info.labels.contains(required_label)) {
            return false;
        }
        if step.max_per_worker > 0 && self.sibling_runs >= step.max_per_worker {
            return false;
        }
        if !self.free.covers(&reserved(step)) {
            return false;
        }
        !step.best_effort
            || self.forced
            || (self.unused() * 100 >= step.request.cpu * MIN_UNUSED_PERCENT
                && self.headroom >= 0.0)
    }

    /// Returns the estimated unused processor, in thousandths of a core.
    fn unused(&self) -> i64 {
        self.free.cpu + self.serving_cpu * (100 - SERVING_USE_PERCENT) / 100 - self.best_effort_cpu
    }

    fn score(&self, step: &Step) -> i64 {
        let preferred_rack = step.preferred_rack.as_ref();
        let on_preferred_rack = preferred_rack.is_some_and(|rack| self.info.labels.contains(rack));
        let rack_score = if on_preferred_rack {
            PREFERRED_RACK_SCORE
        } else {
            0
        };
        let own_score = if step.best_effort {
            {
                let unused = self.unused() * 1_000 / self.info.capacity.cpu.max(1);
                unused - (self.interference_cost * HEADROOM_SCORE) as i64
            }
        } else if step.latency_target_ms > 0.0 {
            // With fewer serving images on a worker, more best-effort images can run there
            // without interference.
            let same_image_runs = i64::from(self.same_image_runs);
            let other_image_runs = i64::from(self.serving_runs) - same_image_runs;
            (same_image_runs - other_image_runs) * SAME_IMAGE_SCORE - self.best_effort_cpu
        } else {
            self.unused()
        };
        rack_score + own_score
    }
}

/// Returns the resources that a task of the step reserves: no processor if it is best-effort.
pub fn reserved(step: &Step) -> Resources {
    let mut request = step.request;
    if step.best_effort {
        request.cpu = 0;
    }
    request
}

/// Returns the best of the candidates that fit.
pub fn choose<'a, K: Copy>(
    candidates: impl Iterator<Item = (K, Candidate<'a>)>,
    step: &Step,
) -> Option<K> {
    let fitting = candidates.filter(|(_, c)| c.fits(step));
    let best = fitting.max_by(|(_, a), (_, b)| {
        let order = a.score(step).cmp(&b.score(step));
        order.then_with(|| a.info.id.cmp(&b.info.id))
    });
    best.map(|(key, _)| key)
}
