//! The current speed of a worker, relative to the others.
//!
//! Tasks of one step do about the same work. So a worker's speed is the median run time of a step
//! divided by that of its own run. The median of a worker's last such ratios counts: a task in thirty
//! takes several times as long as the others of its step wherever it runs, and must not count against
//! its worker.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The number of ratios that are kept.
const MAX_RATIOS: usize = 9;

/// The number of ratios from which on they count.
const MIN_RATIOS: usize = 4;

/// How long a ratio counts. A worker that got no work since is tried again.
const RATIO_AGE: Duration = Duration::from_secs(20);

/// The bounds of a speed.
const SPEED_RANGE: (f64, f64) = (0.1, 2.0);

/// Speeds that differ from the usual one by less than this don't count: tasks of one step differ as
/// much.
const TOLERANCE: f64 = 0.2;

/// The number of tasks of a step from which on they are compared.
const MIN_TASKS: usize = 4;

/// The speed of one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerSpeed {
    ratios: VecDeque<(f64, Instant)>,
}

impl WorkerSpeed {
    /// Records a ratio of the usual run time to that of a run that ended at `now`.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        if self.ratios.len() >= MAX_RATIOS {
            self.ratios.pop_front();
        }
        let (min, max) = SPEED_RANGE;
        self.ratios.push_back((ratio.clamp(min, max), now));
    }

    /// Returns the speed, where 1 is the usual one; 1 if it is unknown or differs little.
    pub fn value(&self, now: Instant) -> f64 {
        let recent = self.ratios.iter();
        let recent = recent.filter(|(_, at)| now.saturating_duration_since(*at) < RATIO_AGE);
        let mut ratios: Vec<_> = recent.map(|(ratio, _)| *ratio).collect();
        if ratios.len() < MIN_RATIOS {
            return 1.0;
        }
        ratios.sort_unstable_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        if (median - 1.0).abs() < TOLERANCE {
            1.0
        } else {
            median
        }
    }
}

/// Returns the ratio of the median of the run times of a step's tasks to each of them; nothing if there
/// are too few.
pub fn ratios(times: &[Duration]) -> Vec<f64> {
    if times.len() < MIN_TASKS {
        return Vec::new();
    }
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let median = sorted[sorted.len() / 2].as_secs_f64();
    let ratio = |time: &Duration| median / time.as_secs_f64().max(0.001);
    times.iter().map(ratio).collect()
}
