//! Choosing a worker for a task.

use crate::sched::{
    job::{Resources, Step},
    worker::WorkerInfo,
};

/// A worker on which a task of a step may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub info: &'a WorkerInfo,
    /// The worker's resources that no task has reserved.
    pub free: Resources,
    /// The CPU that the worker's best-effort tasks request, in thousandths of a core.
    pub best_effort_cpu: i64,
    /// The CPU that the worker's serving tasks reserve, in thousandths of a core.
    pub serving_cpu: i64,
    /// The number of attempts of serving tasks on the worker.
    pub serving_runs: u32,
    /// The number of those attempts that run the step's image; zero if the step's tasks are not
    /// serving tasks.
    pub same_image_runs: u32,
    /// The headroom that a best-effort task of the step would take from the serving task that it
    /// interferes with most; see [`interference`](crate::sched::interference).
    pub interference_cost: f64,
    /// The smallest headroom that a serving task on the worker would have left with that task
    /// beside it, minus the headroom at [`MAX_TAIL`]; negative if a tail latency would exceed
    /// [`MAX_TAIL`].
    pub headroom: f64,
    /// Whether a best-effort task may be placed even if unused CPU or headroom is short, so that it
    /// may make little progress.
    pub forced: bool,
    /// Whether a task that is suspected of crashing workers has just started on the worker.
    pub on_probation: bool,
    /// The worker's current speed, where 1 is the usual one.
    pub speed: f64,
    /// Whether a run on the worker stood still a short time ago, so that it may hang.
    pub doubted: bool,
    /// The number of attempts on the worker from the same step and occurrence; counted only if
    /// [`Step::max_per_worker`] sets a limit.
    pub sibling_runs: u32,
}

/// The share of a best-effort task's requested CPU that must be unused on the worker, in percent.
pub(crate) const MIN_UNUSED_PERCENT: i64 = 80;

/// The share of their reserved CPU that serving tasks are assumed to use, in percent; best-effort
/// tasks may use the rest.
pub(crate) const SERVING_USE_PERCENT: i64 = 55;

/// The tail latency of a serving task, as a share of its target, up to which best-effort tasks are
/// placed beside it.
pub const MAX_TAIL: f64 = 0.85;

/// What each unit of interference cost subtracts from the score of a best-effort task, in
/// thousandths of the worker's CPU.
const HEADROOM_SCORE: f64 = 600.0;

/// What each serving task of the same image on the worker adds to the score of a serving task, and
/// each one of another image subtracts, in thousandths of a core.
const SAME_IMAGE_SCORE: i64 = 20_000;

/// What the preferred rack adds to the score; it outweighs all other parts but [`PROBATION_SCORE`].
const PREFERRED_RACK_SCORE: i64 = 10_000_000;

/// What is subtracted from the score while a suspected task may crash the worker; it outweighs all
/// other parts of the score.
const PROBATION_SCORE: i64 = 100_000_000;

/// What the worker's speed adds to the score of a task that reserves CPU, for each unit above the usual
/// speed; a worker at two thirds of that speed comes after one of 64 cores that is empty.
const SPEED_SCORE: f64 = 200_000.0;

/// The same for a best-effort task.
const BEST_EFFORT_SPEED_SCORE: f64 = 2_000.0;

/// What is subtracted from the score of a worker that may hang; it outweighs the preferred rack.
const DOUBT_SCORE: i64 = 40_000_000;

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
            || (self.unused_cpu() * 100 >= step.request.cpu * MIN_UNUSED_PERCENT
                && self.headroom >= 0.0)
    }

    /// Returns the score of the worker for a task of the step, `None` if the task does not fit; the
    /// highest score wins, and of equal ones that of the worker with the greatest id.
    pub fn rating(&self, step: &Step) -> Option<i64> {
        self.fits(step).then(|| self.score(step))
    }

    /// Returns the estimated unused CPU of the worker, in thousandths of a core.
    fn unused_cpu(&self) -> i64 {
        self.free.cpu + self.serving_cpu * (100 - SERVING_USE_PERCENT) / 100 - self.best_effort_cpu
    }

    /// Returns the score of the worker for a task of the step; the highest score wins.
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
                let unused_per_mille = self.unused_cpu() * 1_000 / self.info.capacity.cpu.max(1);
                unused_per_mille - (self.interference_cost * HEADROOM_SCORE) as i64
            }
        } else if step.latency_target_ms > 0.0 {
            // The fewer serving images run on a worker, the more best-effort images can run there
            // without interference.
            let same_image_runs = i64::from(self.same_image_runs);
            let other_image_runs = i64::from(self.serving_runs) - same_image_runs;
            (same_image_runs - other_image_runs) * SAME_IMAGE_SCORE - self.best_effort_cpu
        } else {
            self.unused_cpu()
        };
        let probation_score = if self.on_probation {
            PROBATION_SCORE
        } else {
            0
        };
        let doubt_score = if self.doubted { DOUBT_SCORE } else { 0 };
        let per_unit = if step.best_effort {
            BEST_EFFORT_SPEED_SCORE
        } else {
            SPEED_SCORE
        };
        let speed_score = ((self.speed - 1.0) * per_unit) as i64;
        rack_score + own_score + speed_score - probation_score - doubt_score
    }
}

/// Returns the resources that a task of the step reserves: its request, without CPU if the task is
/// best-effort.
pub fn reserved(step: &Step) -> Resources {
    let mut request = step.request;
    if step.best_effort {
        request.cpu = 0;
    }
    request
}

/// Returns the key of the best candidate that fits, or `None` if none fits.
pub fn choose<'a, K: Copy>(
    candidates: impl Iterator<Item = (K, Candidate<'a>)>,
    step: &Step,
) -> Option<K> {
    let fitting =
        candidates.filter_map(|(key, c)| Some((c.rating(step)?, c.info.id.as_str(), key)));
    let best = fitting.max_by_key(|(rating, id, _)| (*rating, *id));
    best.map(|(_, _, key)| key)
}
