//! Distributions of run times by the shape of tasks, learned from ends.
//!
//! A shape is an image with what a task of it requests. Callers estimate run times, and their
//! estimates may be off by ten; but tasks with a higher estimate may well take longer. So the run times
//! of a shape are kept once for each power of two of the estimate and once for all of them. The
//! narrower distribution counts once it has enough ends, then the wider one, and the caller's
//! estimate until then.
//!
//! Beside the run times, their ratios to the caller's estimates are kept. A caller that knows each
//! task gives better estimates than any median: then the ratios differ less than the run times do,
//! and the estimate times a ratio counts.

use {
    crate::{
        hash::HashMap,
        sched::job::{Resources, Step},
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
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

/// The number of ends after which the median is computed anew.
const UPDATE_ENDS: u64 = 8;

/// The maximum number of distributions; of more, the one that was used least recently is dropped.
/// Each takes about 1 KB.
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

/// The run times of a shape as they are stored for the next leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShapeTimes {
    /// The shape.
    pub shape: Shape,
    /// The run times in milliseconds and their counts, in ascending order.
    pub counts: Vec<(u32, u16)>,
    /// The ratios to the caller's estimates in thousandths and their counts, in ascending order.
    pub ratios: Vec<(u32, u16)>,
}

/// Counts of run times in milliseconds, or of ratios in thousandths.
#[derive(Clone, Debug)]
struct Counts(Histogram<u16>);

impl Counts {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_RUN_MS, DIGITS);
        histogram.ok().map(Self)
    }

    fn record(&mut self, value: u64, count: u16) {
        let value = value.clamp(1, MAX_RUN_MS);
        self.0.saturating_record_n(value, count);
        if self.0.len() < MAX_ENDS {
            return;
        }
        let counts: Vec<_> = self.iter().collect();
        self.0.reset();
        for (value, count) in counts {
            self.0
                .saturating_record_n(u64::from(value), count.div_ceil(2));
        }
    }

    fn iter(&self) -> impl Iterator<Item = (u32, u16)> {
        let values = self.0.iter_recorded();
        values.map(|v| (v.value_iterated_to() as u32, v.count_at_value()))
    }

    /// Returns by what factor the middle half of the values differ.
    fn spread(&self) -> f64 {
        let quartile = |q| self.0.value_at_quantile(q) as f64;
        quartile(0.75) / quartile(0.25).max(1.0)
    }
}

/// The run times of one shape.
#[derive(Clone, Debug)]
struct Times {
    times: Counts,
    /// The ratios of the run times to the callers' estimates.
    ratios: Counts,
    /// Whether the ratios are the better distribution; updated every few ends.
    by_ratio: bool,
    /// The median of the better distribution; updated with `by_ratio`.
    median: u64,
    /// The values of the better distribution, each with the number of those that are no greater;
    /// updated with `by_ratio`.
    cumulative: Arc<[(u32, u32)]>,
    /// When the distribution was last used; see [`RunTimes::clock`].
    used: u64,
}

impl Times {
    fn new() -> Option<Self> {
        Some(Self {
            times: Counts::new()?,
            ratios: Counts::new()?,
            by_ratio: false,
            median: 0,
            cumulative: Arc::default(),
            used: 0,
        })
    }

    /// Updates which distribution is better, and its median.
    fn update(&mut self) {
        self.by_ratio =
            self.ratios.0.len() >= MIN_ENDS && self.ratios.spread() < self.times.spread();
        let better = if self.by_ratio {
            &self.ratios
        } else {
            &self.times
        };
        self.median = better.0.value_at_quantile(0.5);
        let mut total = 0;
        let cumulative = better.iter().map(|(value, n)| {
            total += u32::from(n);
            (value, total)
        });
        self.cumulative = cumulative.collect();
    }

    /// Returns the median run time of tasks with an estimate.
    fn median(&self, estimate_ms: u32) -> Duration {
        if self.by_ratio && estimate_ms == 0 {
            return self.quantile(0.5, 0);
        }
        let (_, factor) = self.scaled(estimate_ms);
        Duration::from_millis((self.median as f64 * factor) as u64)
    }

    /// Returns the better distribution, and the factor that makes milliseconds of its values for
    /// tasks with an estimate.
    fn scaled(&self, estimate_ms: u32) -> (&Counts, f64) {
        if self.by_ratio && estimate_ms > 0 {
            (&self.ratios, f64::from(estimate_ms) / 1_000.0)
        } else {
            (&self.times, 1.0)
        }
    }

    fn quantile(&self, quantile: f64, estimate_ms: u32) -> Duration {
        let (counts, factor) = self.scaled(estimate_ms);
        let ms = counts.0.value_at_quantile(quantile) as f64 * factor;
        Duration::from_millis(ms as u64)
    }
}

/// The time that runs of a step have left, by the time that has passed.
#[derive(Clone, Debug)]
pub struct Remaining {
    /// Run times, each with the number of tasks that took no longer; empty if too few have ended.
    cumulative: Arc<[(u32, u32)]>,
    /// The factor that makes milliseconds of them.
    factor: f64,
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
        let time_of =
            |value: u32| Duration::from_secs_f64(f64::from(value) * self.factor / 1_000.0);
        let ended = self
            .cumulative
            .partition_point(|(value, _)| time_of(*value) <= elapsed);
        let before = ended.checked_sub(1).map_or(0, |i| self.cumulative[i].1);
        let middle = before + (total - before).div_ceil(2);
        let median = self.cumulative[ended..].iter().find(|(_, n)| *n >= middle);
        // A run that is longer than all others may be half done.
        let time = median.map_or(elapsed * 2, |(value, _)| time_of(*value));
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
        let ratio = (ms * 1_000).checked_div(u64::from(step.estimate_ms));
        for shape in [Shape::narrow(step), Shape::wide(step)] {
            if let Some(times) = self.times(shape) {
                times.times.record(ms, 1);
                if let Some(ratio) = ratio {
                    times.ratios.record(ratio, 1);
                }
                let ends = times.times.0.len();
                if ends <= MIN_ENDS || ends.is_multiple_of(UPDATE_ENDS) {
                    times.update();
                }
            }
        }
    }

    /// Returns the run times of a shape, which are now the last used; adds the shape if needed.
    fn times(&mut self, shape: Shape) -> Option<&mut Times> {
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
            self.shapes.insert(shape, Times::new()?);
        }
        let times = self.shapes.get_mut(&shape)?;
        times.used = self.clock;
        Some(times)
    }

    /// Returns the distribution for a step with at least `min_ends` ends, the narrower one if
    /// possible.
    fn find(&self, step: &Step, min_ends: u64) -> Option<&Times> {
        let mut shapes = [Shape::narrow(step), Shape::wide(step)].into_iter();
        shapes.find_map(|shape| {
            let times = self.shapes.get(&shape);
            times.filter(|t| t.times.0.len() >= min_ends)
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
        let times = self.find(step, min_ends)?;
        Some(times.quantile(quantile, step.estimate_ms))
    }

    /// Returns the usual run time of a step's tasks: the median, or the caller's estimate if too few
    /// have ended.
    pub fn usual(&self, step: &Step) -> Duration {
        let estimate = Duration::from_millis(u64::from(step.estimate_ms));
        let times = self.find(step, MIN_ENDS);
        times.map_or(estimate, |times| times.median(step.estimate_ms))
    }

    /// Returns the time that runs of a step have left.
    pub fn remaining(&self, step: &Step) -> Remaining {
        let times = self.find(step, MIN_ENDS);
        // Ratios are of no use without an estimate.
        let times = times.filter(|times| !times.by_ratio || step.estimate_ms > 0);
        Remaining {
            cumulative: times.map_or_else(Arc::default, |times| times.cumulative.clone()),
            factor: times.map_or(1.0, |times| times.scaled(step.estimate_ms).1),
            estimate: Duration::from_millis(u64::from(step.estimate_ms)),
        }
    }

    /// Returns the distributions to store for the next leader, at most `max_bytes` when encoded; those
    /// that were used last come first.
    pub fn records(&self, max_bytes: usize) -> Vec<ShapeTimes> {
        let enough = self
            .shapes
            .iter()
            .filter(|(_, t)| t.times.0.len() >= MIN_ENDS);
        let mut shapes: Vec<_> = enough.collect();
        shapes.sort_unstable_by_key(|(shape, t)| (std::cmp::Reverse(t.used), **shape));
        // The number of records.
        let mut bytes = 3;
        let mut records = Vec::new();
        for (shape, times) in shapes {
            let record = ShapeTimes {
                shape: *shape,
                counts: times.times.iter().collect(),
                ratios: times.ratios.iter().collect(),
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
            let Some(times) = self.times(record.shape) else {
                continue;
            };
            for (ms, count) in &record.counts {
                times.times.record(u64::from(*ms), *count);
            }
            for (ratio, count) in &record.ratios {
                times.ratios.record(u64::from(*ratio), *count);
            }
            times.update();
        }
    }
}
