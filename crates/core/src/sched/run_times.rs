//! Distributions of run times by the shape of tasks, learned from ends.
//!
//! A shape is an image with what a task of it requests. Callers estimate run times, and their
//! estimates may be off by ten; but tasks with a higher estimate may well take longer. So the run times
//! of a shape are kept once for each power of two of the estimate and once for all of them. The
//! narrower distribution counts once it has enough ends, then the wider one, and the caller's
//! estimate until then.

use {
    crate::{
        hash::HashMap,
        sched::job::{Resources, Step},
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// The number of ends from which on a distribution counts: those of several jobs, since the tasks of
/// one are alike.
const MIN_ENDS: u64 = 50;

/// The number of ends from which on the highest quantiles count.
const MIN_TAIL_ENDS: u64 = 100;

/// The number of ends at which all counts are halved, so that a distribution follows changes.
const MAX_ENDS: u64 = 600;

/// The maximum number of distributions; of more, the one that was used least recently is dropped.
const MAX_SHAPES: usize = 256;

/// The longest run time that is told apart, in milliseconds: 12 hours.
const MAX_RUN_MS: u64 = 43_200_000;

/// The digits of a run time that are told apart: values are off by 5% at most.
const DIGITS: u8 = 1;

/// What the tasks of a distribution have in common: a hash of the image, the request and the
/// estimate's power of two.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Shape(u64);

impl Shape {
    /// Returns the shape of a step's tasks with similar estimates.
    fn narrow(step: &Step) -> Self {
        Self::new(step, Some(step.estimate_ms.max(1).ilog2()))
    }

    /// Returns the shape of a step's tasks with any estimate.
    fn wide(step: &Step) -> Self {
        Self::new(step, None)
    }

    fn new(step: &Step, estimate: Option<u32>) -> Self {
        let Resources { cpu, mem_mb, gpu } = step.request;
        let mut hasher = DefaultHasher::new();
        (&step.image, cpu, mem_mb, gpu, step.best_effort, estimate).hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The run times of a shape as they are stored for the next leader: each time in milliseconds with
/// the number of ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShapeTimes {
    /// The shape.
    pub shape: Shape,
    /// The run times and their counts, in ascending order.
    pub counts: Vec<(u32, u16)>,
}

/// The run times of one shape.
#[derive(Clone, Debug)]
struct Times {
    histogram: Histogram<u16>,
    /// When the distribution was last used; see [`RunTimes::clock`].
    used: u64,
}

impl Times {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_RUN_MS, DIGITS).ok()?;
        Some(Self { histogram, used: 0 })
    }

    fn record(&mut self, ms: u64, count: u16) {
        self.histogram
            .saturating_record_n(ms.clamp(1, MAX_RUN_MS), count);
        if self.histogram.len() < MAX_ENDS {
            return;
        }
        let counts: Vec<_> = self.counts().collect();
        self.histogram.reset();
        for (ms, count) in counts {
            self.histogram
                .saturating_record_n(u64::from(ms), count.div_ceil(2));
        }
    }

    fn counts(&self) -> impl Iterator<Item = (u32, u16)> {
        let values = self.histogram.iter_recorded();
        values.map(|v| (v.value_iterated_to() as u32, v.count_at_value()))
    }

    fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.histogram.value_at_quantile(quantile))
    }
}

/// The time that runs of a step have left, by the time that has passed.
#[derive(Clone, Debug)]
pub struct Remaining {
    /// Run times in milliseconds, each with the number of tasks that took no longer; empty if too few
    /// have ended.
    cumulative: Vec<(u32, u32)>,
    /// The caller's estimate.
    estimate: Duration,
}

impl Remaining {
    /// Returns the time that a run has left after `elapsed`: the median of the run times that are
    /// longer, or the rest of the caller's estimate if too few tasks have ended.
    pub fn after(&self, elapsed: Duration) -> Duration {
        let Some((_, total)) = self.cumulative.last() else {
            return self.estimate.saturating_sub(elapsed);
        };
        let ended = self
            .cumulative
            .partition_point(|(ms, _)| Duration::from_millis(u64::from(*ms)) <= elapsed);
        let before = ended.checked_sub(1).map_or(0, |i| self.cumulative[i].1);
        let middle = before + (total - before).div_ceil(2);
        let median = self.cumulative[ended..].iter().find(|(_, n)| *n >= middle);
        // A run that is longer than all others may be half done.
        let time = median.map_or(elapsed * 2, |(ms, _)| Duration::from_millis(u64::from(*ms)));
        time.saturating_sub(elapsed)
    }
}

/// The run times that a leader has learned.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    shapes: HashMap<Shape, Times>,
    /// The number of recorded ends, by which uses are ordered.
    clock: u64,
}

impl RunTimes {
    /// Records that a task of a step was done after running for `time` at full speed.
    pub fn record(&mut self, step: &Step, time: Duration) {
        let ms = time.as_millis() as u64;
        self.clock += 1;
        for shape in [Shape::narrow(step), Shape::wide(step)] {
            self.record_shape(shape, ms, 1);
        }
    }

    fn record_shape(&mut self, shape: Shape, ms: u64, count: u16) {
        if !self.shapes.contains_key(&shape) {
            if self.shapes.len() >= MAX_SHAPES {
                let oldest = self
                    .shapes
                    .iter()
                    .min_by_key(|(shape, t)| (t.used, **shape));
                if let Some(oldest) = oldest.map(|(shape, _)| *shape) {
                    self.shapes.remove(&oldest);
                }
            }
            let Some(times) = Times::new() else {
                return;
            };
            self.shapes.insert(shape, times);
        }
        if let Some(times) = self.shapes.get_mut(&shape) {
            times.used = self.clock;
            times.record(ms, count);
        }
    }

    /// Returns the distribution for a step with at least `min_ends` ends, the narrower one if
    /// possible.
    fn find(&self, step: &Step, min_ends: u64) -> Option<&Times> {
        let mut shapes = [Shape::narrow(step), Shape::wide(step)].into_iter();
        shapes.find_map(|shape| {
            let times = self.shapes.get(&shape);
            times.filter(|t| t.histogram.len() >= min_ends)
        })
    }

    /// Returns the run time that a share of a step's tasks does not exceed; `None` if too few have
    /// ended. The `quantile` is between 0 and 1.
    pub fn quantile(&self, step: &Step, quantile: f64) -> Option<Duration> {
        let min_ends = if quantile > 0.9 {
            MIN_TAIL_ENDS
        } else {
            MIN_ENDS
        };
        self.find(step, min_ends).map(|t| t.quantile(quantile))
    }

    /// Returns the usual run time of a step's tasks: the median, or the caller's estimate if too few
    /// have ended.
    pub fn usual(&self, step: &Step) -> Duration {
        let estimate = Duration::from_millis(u64::from(step.estimate_ms));
        self.quantile(step, 0.5).unwrap_or(estimate)
    }

    /// Returns the time that runs of a step have left.
    pub fn remaining(&self, step: &Step) -> Remaining {
        let mut total = 0;
        let times = self.find(step, MIN_ENDS);
        let cumulative = times.into_iter().flat_map(Times::counts).map(|(ms, n)| {
            total += u32::from(n);
            (ms, total)
        });
        Remaining {
            cumulative: cumulative.collect(),
            estimate: Duration::from_millis(u64::from(step.estimate_ms)),
        }
    }

    /// Returns the distributions to store for the next leader, at most `max_bytes` when encoded; those
    /// that were used last come first.
    pub fn records(&self, max_bytes: usize) -> Vec<ShapeTimes> {
        let enough = self
            .shapes
            .iter()
            .filter(|(_, t)| t.histogram.len() >= MIN_ENDS);
        let mut shapes: Vec<_> = enough.collect();
        shapes.sort_unstable_by_key(|(shape, t)| (std::cmp::Reverse(t.used), **shape));
        // The number of records.
        let mut bytes = 3;
        let mut records = Vec::new();
        for (shape, times) in shapes {
            let record = ShapeTimes {
                shape: *shape,
                counts: times.counts().collect(),
            };
            bytes += postcard::to_stdvec(&record).map_or(max_bytes, |encoded| encoded.len());
            if bytes > max_bytes {
                break;
            }
            records.push(record);
        }
        records
    }

    /// Restores the distributions that an earlier leader stored.
    pub fn restore(&mut self, records: &[ShapeTimes]) {
        for record in records.iter().rev().take(MAX_SHAPES) {
            self.clock += 1;
            for (ms, count) in &record.counts {
                self.record_shape(record.shape, u64::from(*ms), *count);
            }
        }
    }
}
