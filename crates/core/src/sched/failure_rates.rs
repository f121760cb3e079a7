//! Whether a worker fails more of its runs than others do of the same steps.
//!
//! Some tasks fail wherever they run. So each end on a worker is compared with the ends of the same
//! step on other workers, and of all steps there. A worker is at fault if it has more failures than
//! these make likely.

use {
    crate::{hash::HashMap, sched::job::JobId},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// A step of a job.
pub type StepId = (JobId, u16);

/// The number of ends of a worker that count.
const MAX_ENDS: usize = 64;

/// How long an end counts.
const END_AGE: Duration = Duration::from_secs(60);

/// The least number of failures of a worker at fault.
const MIN_FAILURES: usize = 3;

/// The failures that remain on record when a worker is tried again: the next one counts in full.
const KEPT_FAILURES: usize = 2;

/// By how many standard deviations the failures must exceed those expected. With 350 workers and
/// 0.5% of runs failing by chance, less than one worker in a thousand is found at fault by mistake.
const MIN_DEVIATIONS: f64 = 4.0;

/// The variance that is added, since the expected share is an estimate.
const SPREAD: f64 = 0.25;

/// The bounds of the share of all runs that are expected to fail on any worker.
const BASE_RATE: (f64, f64) = (0.005, 0.3);

/// How many ends elsewhere weigh as much as the share of all steps.
const PRIOR_ENDS: f64 = 2.0;

/// The share of a step's runs elsewhere that must not fail for its failures to speak of a worker, if
/// they are all of one step.
const MAX_OWN_FAULT: f64 = 0.3;

/// The maximum number of steps that are counted.
const MAX_STEPS: usize = 4_096;

/// The number of ends at which the counts of all steps are halved.
const MAX_TOTAL: f64 = 4_000.0;

/// An end of a run.
#[derive(Clone, Copy, Debug)]
struct End {
    step: StepId,
    failed: bool,
    at: Instant,
}

/// The last ends on a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerEnds {
    ends: VecDeque<End>,
}

impl WorkerEnds {
    /// Records an end.
    pub fn record(&mut self, step: StepId, failed: bool, now: Instant) {
        if self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
        let is_old = |end: &End| now.saturating_duration_since(end.at) > END_AGE;
        while self.ends.front().is_some_and(is_old) {
            self.ends.pop_front();
        }
        self.ends.push_back(End {
            step,
            failed,
            at: now,
        });
    }

    /// Forgets all ends but the last failures, when the worker is taken out.
    pub fn start_over(&mut self) {
        self.ends.retain(|end| end.failed);
        let excess = self.ends.len().saturating_sub(KEPT_FAILURES);
        self.ends.drain(..excess);
    }

    /// Returns the number of ends and of failures among those that `is_counted` admits.
    fn count(&self, is_counted: impl Fn(&End) -> bool) -> (f64, f64) {
        let counted = self.ends.iter().filter(|end| is_counted(end));
        counted.fold((0.0, 0.0), |(ends, failures), end| {
            (ends + 1.0, failures + if end.failed { 1.0 } else { 0.0 })
        })
    }
}

/// The ends and failures on all workers.
#[derive(Clone, Debug, Default)]
pub struct FailureRates {
    steps: HashMap<StepId, (f64, f64)>,
    /// The steps in the order of their first end.
    order: VecDeque<StepId>,
    total: (f64, f64),
}

impl FailureRates {
    /// Records an end on any worker.
    pub fn record(&mut self, step: StepId, failed: bool) {
        let order = &mut self.order;
        let count = self.steps.entry(step).or_insert_with(|| {
            order.push_back(step);
            (0.0, 0.0)
        });
        let failures = if failed { 1.0 } else { 0.0 };
        *count = (count.0 + 1.0, count.1 + failures);
        self.total = (self.total.0 + 1.0, self.total.1 + failures);
        if self.total.0 >= MAX_TOTAL {
            self.total = (self.total.0 / 2.0, self.total.1 / 2.0);
        }
        if self.order.len() > MAX_STEPS
            && let Some(oldest) = self.order.pop_front()
        {
            self.steps.remove(&oldest);
        }
    }

    /// Returns the share of a step's runs that are expected to fail, without those on a worker.
    fn expected(&self, worker: &WorkerEnds, step: StepId) -> f64 {
        let (own_ends, own_failures) = worker.count(|_| true);
        let ends = (self.total.0 - own_ends).max(1.0);
        let (min, max) = BASE_RATE;
        let base = ((self.total.1 - own_failures) / ends).clamp(min, max);
        let (ends, failures) = self.elsewhere(worker, step);
        (failures + PRIOR_ENDS * base) / (ends + PRIOR_ENDS)
    }

    /// Returns the ends and failures of a step without those on a worker.
    fn elsewhere(&self, worker: &WorkerEnds, step: StepId) -> (f64, f64) {
        let (own_ends, own_failures) = worker.count(|end| end.step == step);
        let (ends, failures) = self.steps.get(&step).copied().unwrap_or_default();
        (
            (ends - own_ends).max(0.0),
            (failures - own_failures).max(0.0),
        )
    }

    /// Returns the failures on a worker and those expected, if the worker is at fault.
    pub fn fault(&self, worker: &WorkerEnds) -> Option<(usize, f64)> {
        let failed = worker.ends.iter().filter(|end| end.failed);
        let failures = failed.clone().count();
        if failures < MIN_FAILURES {
            return None;
        }
        let mut rates: HashMap<StepId, f64> = HashMap::default();
        let (mut expected, mut variance) = (0.0, SPREAD);
        for end in &worker.ends {
            let rate = rates.entry(end.step);
            let rate = *rate.or_insert_with(|| self.expected(worker, end.step));
            expected += rate;
            variance += rate * (1.0 - rate);
        }
        // Failures of a single step speak of the worker only if the step's runs are done elsewhere.
        let mut steps = failed.map(|end| end.step);
        let first = steps.next()?;
        if steps.all(|step| step == first) {
            let (ends, failures) = self.elsewhere(worker, first);
            if ends < 2.0 || failures / ends > MAX_OWN_FAULT {
                return None;
            }
        }
        let is_at_fault = failures as f64 - expected > MIN_DEVIATIONS * variance.sqrt();
        is_at_fault.then_some((failures, expected))
    }
}
