//! The choice of a worker for a task.

use {
    crate::sched::{
        job::{Room, Step},
        worker::WorkerInfo,
    },
    std::cmp::Ordering,
};

/// What a candidate looks like to the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub info: &'a WorkerInfo,
    /// What is left of its room.
    pub free: Room,
    /// The processor that its filling tasks ask for, in thousandths of a core.
    pub fill_cpu: i64,
    /// How many serving tasks run there.
    pub serving: u32,
    /// Tasks of the same step and round that run there.
    pub siblings: u32,
    /// The pace of its filling tasks, in percent.
    pub pace: u8,
}

/// The share of a filling task's processor that must be unused where it starts, in percent.
const LEAST_UNUSED: i64 = 60;

/// How much unused processor a serving neighbour is worth to a filling task, in thousandths.
const SERVING_COST: i64 = 3_000;

/// The least pace at which a worker gets further filling tasks, in percent.
const LEAST_PACE: u8 = 70;

impl Candidate<'_> {
    /// Returns whether a task of the step may and can start here.
    pub fn fits(&self, step: &Step) -> bool {
        let labelled = step.needs.as_ref();
        if labelled.is_some_and(|needs| !self.info.labels.contains(needs)) {
            return false;
        }
        if step.per_worker > 0 && self.siblings >= step.per_worker {
            return false;
        }
        if !self.free.holds(&taken(step)) {
            return false;
        }
        let unused = self.free.cpu - self.fill_cpu;
        !step.fills
            || (unused * 100 >= step.room.cpu * LEAST_UNUSED && self.pace >= LEAST_PACE)
    }

    fn score(&self, step: &Step) -> i64 {
        let unused = self.free.cpu - self.fill_cpu;
        let serving = i64::from(self.serving) * SERVING_COST;
        let near = step.near.as_ref();
        let near = near.is_some_and(|rack| self.info.labels.contains(rack));
        let near = if near { 1_000_000 } else { 0 };
        let own = if step.fills {
            unused - serving
        } else if step.target_ms > 0.0 {
            unused + serving / 2 - self.fill_cpu
        } else {
            unused
        };
        near + own
    }
}

/// Returns what a task of the step takes from a worker's room.
pub fn taken(step: &Step) -> Room {
    let mut room = step.room;
    if step.fills {
        room.cpu = 0;
    }
    room
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

/// Orders jobs for placement: urgent ones first, then by age.
pub fn order(a: (u8, u64), b: (u8, u64)) -> Ordering {
    a.cmp(&b)
}
