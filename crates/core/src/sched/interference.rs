//! Estimates of how much best-effort tasks interfere with serving tasks, per pair of images.
//!
//! *Headroom* is the target of a serving task divided by its tail latency: two means that the
//! tail latency is half of the target, one that it is at the target. The tail latency grows like
//! that of a queue, as a minimum divided by the unoccupied share of the server. So headroom is
//! linear in the occupancy, and the effects of several tasks on it add up.
//!
//! The tasks of one step share one load, which varies. The headroom that this load leaves when
//! nothing runs beside the tasks is estimated, with its trend, from the reports of all workers.
//! Each pair of images has a cost: the headroom that the serving image loses when the best-effort
//! image uses all CPUs of its worker. A Kalman filter estimates loads and costs together, so a high
//! tail latency is attributed mostly to pairs whose cost is uncertain, and little to pairs that are
//! known to be harmless.

use {
    crate::{hash::HashMap, sched::job::JobId},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// The time over which workers measure the tail latency and the CPU in use.
const MEASUREMENT_PERIOD: Duration = Duration::from_millis(500);

/// The headroom that a load is initially estimated to leave, and the variance of this estimate.
const INITIAL_LEVEL: (f64, f64) = (2.5, 2.0);

/// The initial variance of a load's trend, per second squared.
const INITIAL_TREND_VARIANCE: f64 = 0.3;

/// The minimum variance of a load and of its trend.
const MIN_LOAD_VARIANCE: f64 = 0.000_1;

/// The maximum correlation of a load and its trend; one would leave no variance.
const MAX_CORRELATION: f64 = 0.99;

/// The growth of the variance of a load's trend per second.
const TREND_VARIANCE_GROWTH: f64 = 0.25;

/// The maximum time over which a trend is extrapolated, in seconds.
const MAX_TREND_S: f64 = 1.2;

/// The initial estimate of the cost of a pair, and its variance.
const INITIAL_COST: (f64, f64) = (3.0, 36.0);

/// The minimum variance of a cost, so that the estimate can follow a pair that changes.
const MIN_COST_VARIANCE: f64 = 0.25;

/// The standard deviation of a measured headroom: a share of the headroom, and a constant that is
/// added to this share.
const NOISE: (f64, f64) = (0.06, 0.05);

/// The maximum error of a measurement, in standard deviations; greater errors are clamped to it.
const MAX_DEVIATIONS: f64 = 3.0;

/// The headroom below which measurements are only upper bounds: they lower estimates but don't
/// raise them.
const SATURATION_HEADROOM: f64 = 0.3;

/// The maximum headroom; greater measurements count as this.
const MAX_HEADROOM: f64 = 40.0;

/// An image, numbered by [`Interference::image`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Image(u16);

/// The serving tasks of one step, which share one load: the job and the index of the step.
pub type Group = (JobId, u16);

/// An estimate with its variance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// The estimated value.
    pub mean: f64,
    /// The variance of the estimation error.
    pub variance: f64,
}

impl From<(f64, f64)> for Estimate {
    fn from((mean, variance): (f64, f64)) -> Self {
        Self { mean, variance }
    }
}

/// The estimate for a pair of images, by their names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PairEstimate {
    /// The serving image.
    pub serving: String,
    /// The best-effort image.
    pub best_effort: String,
    /// The headroom that the serving image loses when the best-effort image uses all CPUs of a
    /// worker.
    pub cost: Estimate,
}

/// The headroom of a group when nothing runs beside it (`level`), and its change per second
/// (`trend`).
#[derive(Clone, Copy, Debug)]
struct Load {
    level: Estimate,
    trend: Estimate,
    /// The covariance of the errors of `level` and `trend`.
    covariance: f64,
    /// The time for which `level` holds.
    at: Instant,
}

impl Load {
    fn new(at: Instant) -> Self {
        Self {
            level: INITIAL_LEVEL.into(),
            trend: (0.0, INITIAL_TREND_VARIANCE).into(),
            covariance: 0.0,
            at,
        }
    }

    /// Returns the level extrapolated to `now` by the trend.
    fn level_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let change = self.trend.mean * elapsed.min(MAX_TREND_S);
        (self.level.mean + change).clamp(0.0, MAX_HEADROOM)
    }

    /// Extrapolates the estimates to `now`; their variances grow with the elapsed time.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level.mean = self.level_at(now);
        if elapsed > MAX_TREND_S {
            self.trend.mean = 0.0;
        }
        let elapsed = elapsed.min(2.0 * MAX_TREND_S);
        self.level.variance += 2.0 * elapsed * self.covariance
            + elapsed * elapsed * self.trend.variance
            + TREND_VARIANCE_GROWTH * elapsed.powi(3) / 3.0;
        self.covariance +=
            elapsed * self.trend.variance + TREND_VARIANCE_GROWTH * elapsed * elapsed / 2.0;
        self.trend.variance += TREND_VARIANCE_GROWTH * elapsed;
        self.at = self.at.max(now);
        self.clamp_variances();
    }

    /// Corrects the estimates by a measurement that differs from the expectation by `error`.
    ///
    /// `variance` is the variance of `error`, which sums the variances of the measurement and of
    /// all estimates in the expectation.
    fn correct(&mut self, error: f64, variance: f64) {
        let gain = self.level.variance / variance;
        let trend_gain = self.covariance / variance;
        self.level.mean = (self.level.mean + gain * error).clamp(0.0, MAX_HEADROOM);
        self.trend.mean += trend_gain * error;
        self.trend.variance -= trend_gain * self.covariance;
        self.covariance -= gain * self.covariance;
        self.level.variance -= gain * self.level.variance;
        self.clamp_variances();
    }

    /// Keeps the variances between their minimum and initial values, and the correlation at most
    /// [`MAX_CORRELATION`].
    fn clamp_variances(&mut self) {
        self.level.variance = self
            .level
            .variance
            .clamp(MIN_LOAD_VARIANCE, INITIAL_LEVEL.1);
        self.trend.variance = self
            .trend
            .variance
            .clamp(MIN_LOAD_VARIANCE, INITIAL_TREND_VARIANCE);
        let max_covariance = (self.level.variance * self.trend.variance).sqrt() * MAX_CORRELATION;
        self.covariance = self.covariance.clamp(-max_covariance, max_covariance);
    }
}

/// The share of one worker's CPU that each best-effort image used during the period of the
/// worker's latest measurements.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    shares: Vec<(Image, f64)>,
    at: Option<Instant>,
}

impl Pressure {
    /// Records the CPU shares in use now, by image. Greater shares recorded earlier decay over half
    /// a second.
    pub fn observe(&mut self, in_use: &[(Image, f64)], now: Instant) {
        let elapsed = self
            .at
            .map_or(MEASUREMENT_PERIOD, |at| now.duration_since(at));
        self.at = Some(now);
        let retained = 1.0 - (elapsed.as_secs_f64() / MEASUREMENT_PERIOD.as_secs_f64()).min(1.0);
        for (_, share) in &mut self.shares {
            *share *= retained;
        }
        for (image, share) in in_use {
            match self.shares.iter_mut().find(|(i, _)| i == image) {
                Some((_, current)) => *current = current.max(*share),
                None => self.shares.push((*image, *share)),
            }
        }
        self.shares.retain(|(_, share)| *share > 0.000_5);
    }

    /// Returns the CPU shares in use, by image.
    pub fn shares(&self) -> &[(Image, f64)] {
        &self.shares
    }
}

/// The interference estimates of one shard.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: HashMap<String, Image>,
    loads: HashMap<Group, Load>,
    /// Costs by serving image, then by best-effort image; `None` for a pair without an estimate.
    pairs: Vec<Vec<Option<Estimate>>>,
}

impl Interference {
    /// Returns the number of an image; assigns one if it has none.
    pub fn image(&mut self, name: &str) -> Image {
        if let Some(image) = self.images.get(name) {
            return *image;
        }
        let image = Image(u16::try_from(self.images.len()).unwrap_or(u16::MAX));
        self.images.insert(name.to_owned(), image);
        image
    }

    /// Returns the number of an image; an image without one gets a number that no image has.
    pub fn find_image(&self, name: &str) -> Image {
        self.images.get(name).copied().unwrap_or(Image(u16::MAX))
    }

    /// Returns the name of an image, empty if it is unknown.
    pub fn name(&self, image: Image) -> &str {
        let found = self.images.iter().find(|(_, i)| **i == image);
        found.map_or("", |(name, _)| name)
    }

    /// Returns the estimated headroom of a group when nothing runs beside it.
    pub fn headroom_alone(&self, group: Group, now: Instant) -> f64 {
        let load = self.loads.get(&group);
        load.map_or(INITIAL_LEVEL.0, |load| load.level_at(now))
    }

    /// Returns the estimated headroom that the serving image loses when the best-effort image uses
    /// all CPUs of a worker.
    pub fn cost(&self, serving: Image, best_effort: Image) -> f64 {
        let serving_costs = self.pairs.get(usize::from(serving.0));
        let cost = serving_costs.and_then(|row| row.get(usize::from(best_effort.0)));
        cost.and_then(|c| *c).map_or(INITIAL_COST.0, |c| c.mean)
    }

    /// Removes the loads of a finished job.
    pub fn remove_job(&mut self, job: JobId) {
        self.loads.retain(|(load_job, _), _| *load_job != job);
    }

    /// Returns the estimates of all pairs, to be stored for the next leader.
    pub fn pairs(&self) -> Vec<PairEstimate> {
        let mut pairs = Vec::new();
        for (serving, row) in self.pairs.iter().enumerate() {
            for (best_effort, cost) in row.iter().enumerate() {
                if let Some(cost) = cost {
                    let name = |index: usize| self.name(Image(index as u16)).to_owned();
                    pairs.push(PairEstimate {
                        serving: name(serving),
                        best_effort: name(best_effort),
                        cost: *cost,
                    });
                }
            }
        }
        pairs
    }

    /// Restores the estimates that an earlier leader stored.
    pub fn restore(&mut self, pairs: &[PairEstimate]) {
        for pair in pairs {
            let (serving, best_effort) = (self.image(&pair.serving), self.image(&pair.best_effort));
            *self.pair(serving, best_effort) = pair.cost;
        }
    }

    /// Updates the estimates from a measurement on one worker: the tail latency of `group` there,
    /// as a share of its target, and the pressure there.
    pub fn observe(
        &mut self,
        serving: Image,
        group: Group,
        tail: f64,
        pressure: &Pressure,
        now: Instant,
    ) {
        if tail.is_nan() || tail <= 0.0 {
            return;
        }
        let headroom = (1.0 / tail).min(MAX_HEADROOM);
        let mut load = self
            .loads
            .get(&group)
            .copied()
            .unwrap_or_else(|| Load::new(now));
        load.advance(now);
        let noise = NOISE.0 * headroom + NOISE.1;
        let mut expected = load.level.mean;
        let mut variance = noise * noise + load.level.variance;
        for (best_effort, share) in pressure.shares() {
            let cost = *self.pair(serving, *best_effort);
            expected -= cost.mean * share;
            variance += cost.variance * share * share;
        }
        let max_error = MAX_DEVIATIONS * variance.sqrt();
        let error = (headroom - expected).clamp(-max_error, max_error);
        if headroom < SATURATION_HEADROOM && error > 0.0 {
            self.loads.insert(group, load);
            return;
        }
        load.correct(error, variance);
        self.loads.insert(group, load);
        for (best_effort, share) in pressure.shares() {
            let cost = self.pair(serving, *best_effort);
            let gain = cost.variance * share / variance;
            cost.mean = (cost.mean - gain * error).max(0.0);
            cost.variance = (cost.variance * (1.0 - gain * share)).max(MIN_COST_VARIANCE);
        }
    }

    /// Returns the cost of a pair; inserts the initial estimate if there is none.
    fn pair(&mut self, serving: Image, best_effort: Image) -> &mut Estimate {
        let row = usize::from(serving.0);
        if self.pairs.len() <= row {
            self.pairs.resize(row + 1, Vec::new());
        }
        let row = &mut self.pairs[row];
        let column = usize::from(best_effort.0);
        if row.len() <= column {
            row.resize(column + 1, None);
        }
        row[column].get_or_insert(INITIAL_COST.into())
    }
}
