//! The choice of a worker for a task.

use crate::sched::{
    job::{Resources, Step},
    worker::WorkerInfo,
};

/// What a candidate looks like to the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub info: &'a WorkerInfo,
    /// What is left of its room.
    pub free: Resources,
    /// The processor that its filling tasks ask for, in thousandths of a core.
    pub best_effort_cpu: i64,
    /// The processor that its serving tasks ask for, in thousandths of a core.
    pub serving_cpu: i64,
    /// How many serving tasks run there.
    pub serving: u32,
    /// How many of them run the same image as the step.
    pub same_image: u32,
    /// The headroom that a task of the step takes from the serving task that it disturbs most.
    pub cost: f64,
    /// The least headroom that is then left to a serving task, above that of the highest tail.
    pub headroom: f64,
    /// Whether the step must start somewhere, even if it may then hardly work.
    pub forced: bool,
    /// Tasks of the same step and round that run there.
    pub siblings: u32,
}

/// The share of a filling task's processor that must be unused where it starts, in percent.
const LEAST_UNUSED: i64 = 80;

/// The share of their processor that serving tasks use, in percent; the rest is for others.
const SERVING_USE: i64 = 55;

/// The tail, as a share of the target, up to which filling tasks are added.
pub const MAX_TAIL: f64 = 0.85;

/// What headroom is worth in unused processor, in thousandths of the worker.
const HEADROOM_WORTH: f64 = 600.0;

/// What a serving neighbour of the same image is worth to a serving task, in the same unit.
const IMAGE_WORTH: i64 = 20_000;

/// What it is worth to be on the rack of the data, above all else.
const NEAR_WORTH: i64 = 10_000_000;

impl Candidate<'_> {
    /// Returns whether a task of the step may and can start here.
    pub fn fits(&self, step: &Step) -> bool {
        let labelled = step.required_label.as_ref();
        if labelled.is_some_and(|required_label| !self.info.labels.contains(required_label)) {
            return false;
        }
        if step.max_per_worker > 0 && self.siblings >= step.max_per_worker {
            return false;
        }
        if !self.free.contains(&reserved(step)) {
            return false;
        }
        !step.best_effort
            || self.forced
            || (self.unused() * 100 >= step.request.cpu * LEAST_UNUSED && self.headroom >= 0.0)
    }

    /// Returns the processor that nobody uses, as far as can be told.
    fn unused(&self) -> i64 {
        self.free.cpu + self.serving_cpu * (100 - SERVING_USE) / 100 - self.best_effort_cpu
    }

    fn score(&self, step: &Step) -> i64 {
        let near = step.preferred_rack.as_ref();
        let near = near.is_some_and(|rack| self.info.labels.contains(rack));
        let near = if near { NEAR_WORTH } else { 0 };
        let own = if step.best_effort {
            {
                let unused = self.unused() * 1_000 / self.info.capacity.cpu.max(1);
                unused - (self.cost * HEADROOM_WORTH) as i64
            }
        } else if step.target_ms > 0.0 {
            // Fewer images on a worker leave more filling images that don't disturb it.
            let same = i64::from(self.same_image);
            let others = i64::from(self.serving) - same;
            (same - others) * IMAGE_WORTH - self.best_effort_cpu
        } else {
            self.unused()
        };
        near + own
    }
}

/// Returns what a task of the step takes from a worker's room.
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
