//! How much filling tasks disturb serving ones, learnt per pair of images.
//!
//! The tail latency of a serving task grows like that of a queue: it is a floor divided by what
//! is left of its occupancy. So the inverse of the tail is linear in whatever takes occupancy
//! away. That inverse, as a share of the target, is called headroom here: two means that the
//! tail is half of the target, one that it is at the target.
//!
//! The tasks of one step share one load, which swings; its headroom alone is tracked with its
//! trend from all workers together. Each pair of images has a cost, the headroom that the whole
//! of a worker in use by the filling image takes from the serving one. A Kalman filter estimates
//! both, so that a pair that is known to be harmless takes little blame for a high tail, and an
//! unknown one takes most.

use {
    crate::{hash::HashMap, sched::job::JobId},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How far back the figures of workers look.
const LAG: Duration = Duration::from_millis(500);

/// The headroom of a load that has not been seen, and its variance.
const FIRST_LEVEL: (f64, f64) = (2.5, 2.0);

/// The variance of the trend of a load that has not been seen, per second squared.
const FIRST_TREND: f64 = 0.3;

/// The least variance of a load and its trend.
const CERTAIN: f64 = 0.000_1;

/// The closest that a load and its trend may be tied; one would leave no variance.
const LARGEST_CORRELATION: f64 = 0.99;

/// How fast the trend of a load changes: its variance after a second.
const TREND_DRIFT: f64 = 0.25;

/// The longest time over which a trend is followed, in seconds.
const LONGEST_TREND: f64 = 1.2;

/// The cost of a pair that has not been seen, and its variance.
const FIRST_COST: (f64, f64) = (3.0, 36.0);

/// The least variance of a cost, so that a pair that changes is learnt again.
const LEAST_VARIANCE: f64 = 0.25;

/// The deviation of a figure as a share of it, and what is added to that.
const NOISE: (f64, f64) = (0.06, 0.05);

/// Deviations beyond this many times the expected one count as this many.
const OUTLIER: f64 = 3.0;

/// The headroom below which figures say only that there is less of it.
const SATURATED: f64 = 0.3;

/// The highest headroom that is told apart.
const HIGHEST: f64 = 40.0;

/// An image, numbered by [`Interference::image`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Image(u16);

/// Serving tasks that share one load: those of one step of a job.
pub type Group = (JobId, u16);

/// An estimate with its variance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Estimate {
    /// The most likely value.
    pub mean: f64,
    /// How far it may be off, squared.
    pub variance: f64,
}

impl From<(f64, f64)> for Estimate {
    fn from((mean, variance): (f64, f64)) -> Self {
        Self { mean, variance }
    }
}

/// What is known of a pair of images, by their names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PairEstimate {
    /// The serving image.
    pub serving: String,
    /// The filling image.
    pub best_effort: String,
    /// The headroom that a whole worker in use by the one takes from the other.
    pub cost: Estimate,
}

/// The headroom that the own load of a group leaves, and how it changes.
#[derive(Clone, Copy, Debug)]
struct Load {
    level: Estimate,
    trend: Estimate,
    covariance: f64,
    at: Instant,
}

impl Load {
    fn new(at: Instant) -> Self {
        Self {
            level: FIRST_LEVEL.into(),
            trend: (0.0, FIRST_TREND).into(),
            covariance: 0.0,
            at,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        let past = now.saturating_duration_since(self.at).as_secs_f64();
        let moved = self.trend.mean * past.min(LONGEST_TREND);
        (self.level.mean + moved).clamp(0.0, HIGHEST)
    }

    fn pass(&mut self, now: Instant) {
        let past = now.saturating_duration_since(self.at).as_secs_f64();
        self.level.mean = self.at(now);
        if past > LONGEST_TREND {
            self.trend.mean = 0.0;
        }
        let past = past.min(2.0 * LONGEST_TREND);
        self.level.variance += 2.0 * past * self.covariance
            + past * past * self.trend.variance
            + TREND_DRIFT * past.powi(3) / 3.0;
        self.covariance += past * self.trend.variance + TREND_DRIFT * past * past / 2.0;
        self.trend.variance += TREND_DRIFT * past;
        self.at = self.at.max(now);
        self.limit();
    }

    /// Corrects the estimates by an observation that is off by `error`, of which it and the load
    /// together have `variance`.
    fn correct(&mut self, error: f64, variance: f64) {
        let gain = self.level.variance / variance;
        let trend_gain = self.covariance / variance;
        self.level.mean = (self.level.mean + gain * error).clamp(0.0, HIGHEST);
        self.trend.mean += trend_gain * error;
        self.trend.variance -= trend_gain * self.covariance;
        self.covariance -= gain * self.covariance;
        self.level.variance -= gain * self.level.variance;
        self.limit();
    }

    /// Keeps the variances between certainty and ignorance, and the covariance within them.
    fn limit(&mut self) {
        self.level.variance = self.level.variance.clamp(CERTAIN, FIRST_LEVEL.1);
        self.trend.variance = self.trend.variance.clamp(CERTAIN, FIRST_TREND);
        let most = (self.level.variance * self.trend.variance).sqrt() * LARGEST_CORRELATION;
        self.covariance = self.covariance.clamp(-most, most);
    }
}

/// The share of one worker in use by filling images, over the time that its figures are of.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    shares: Vec<(Image, f64)>,
    at: Option<Instant>,
}

impl Pressure {
    /// Takes in the shares in use now, by image; what has ended counts on for a while.
    pub fn observe(&mut self, now_in_use: &[(Image, f64)], now: Instant) {
        let past = self.at.map_or(LAG, |at| now.duration_since(at));
        self.at = Some(now);
        let kept = 1.0 - (past.as_secs_f64() / LAG.as_secs_f64()).min(1.0);
        for (_, share) in &mut self.shares {
            *share *= kept;
        }
        for (image, share) in now_in_use {
            match self.shares.iter_mut().find(|(i, _)| i == image) {
                Some((_, known)) => *known = known.max(*share),
                None => self.shares.push((*image, *share)),
            }
        }
        self.shares.retain(|(_, share)| *share > 0.000_5);
    }

    /// Returns the shares in use, by image.
    pub fn shares(&self) -> &[(Image, f64)] {
        &self.shares
    }
}

/// What has been learnt.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: HashMap<String, Image>,
    loads: HashMap<Group, Load>,
    /// By serving image, then by filling image; nothing for a pair that was never seen.
    pairs: Vec<Vec<Option<Estimate>>>,
}

impl Interference {
    /// Returns the number of an image.
    pub fn image(&mut self, name: &str) -> Image {
        if let Some(image) = self.images.get(name) {
            return *image;
        }
        let image = Image(u16::try_from(self.images.len()).unwrap_or(u16::MAX));
        self.images.insert(name.to_owned(), image);
        image
    }

    /// Returns the number of an image, or that of no image if it has none yet.
    pub fn known_image(&self, name: &str) -> Image {
        self.images.get(name).copied().unwrap_or(Image(u16::MAX))
    }

    /// Returns the name of an image.
    pub fn name(&self, image: Image) -> &str {
        let found = self.images.iter().find(|(_, i)| **i == image);
        found.map_or("", |(name, _)| name)
    }

    /// Returns the headroom of a group with nothing beside it.
    pub fn headroom_alone(&self, group: Group, now: Instant) -> f64 {
        let load = self.loads.get(&group);
        load.map_or(FIRST_LEVEL.0, |load| load.at(now))
    }

    /// Returns the headroom that a whole worker in use by the filling image takes from the
    /// serving one.
    pub fn cost(&self, serving: Image, best_effort: Image) -> f64 {
        let of_serving = self.pairs.get(usize::from(serving.0));
        let known = of_serving.and_then(|row| row.get(usize::from(best_effort.0)));
        known.and_then(|c| *c).map_or(FIRST_COST.0, |c| c.mean)
    }

    /// Forgets the loads of a job that is over.
    pub fn remove_job(&mut self, job: JobId) {
        self.loads.retain(|(of, _), _| *of != job);
    }

    /// Returns what is known of the pairs, to be handed to the next leader.
    pub fn pairs(&self) -> Vec<PairEstimate> {
        let mut pairs = Vec::new();
        for (serving, row) in self.pairs.iter().enumerate() {
            for (best_effort, cost) in row.iter().enumerate() {
                if let Some(cost) = cost {
                    let name = |at: usize| self.name(Image(at as u16)).to_owned();
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

    /// Takes in what an earlier leader knew of the pairs.
    pub fn restore(&mut self, pairs: &[PairEstimate]) {
        for pair in pairs {
            let (serving, best_effort) = (self.image(&pair.serving), self.image(&pair.best_effort));
            *self.pair(serving, best_effort) = pair.cost;
        }
    }

    /// Takes in the tail of a group on one worker, as a share of its target, under the pressure
    /// there.
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
        let headroom = (1.0 / tail).min(HIGHEST);
        let mut load = self
            .loads
            .get(&group)
            .copied()
            .unwrap_or_else(|| Load::new(now));
        load.pass(now);
        let noise = NOISE.0 * headroom + NOISE.1;
        let mut expected = load.level.mean;
        let mut variance = noise * noise + load.level.variance;
        for (best_effort, share) in pressure.shares() {
            let cost = *self.pair(serving, *best_effort);
            expected -= cost.mean * share;
            variance += cost.variance * share * share;
        }
        let limit = OUTLIER * variance.sqrt();
        let error = (headroom - expected).clamp(-limit, limit);
        if headroom < SATURATED && error > 0.0 {
            self.loads.insert(group, load);
            return;
        }
        load.correct(error, variance);
        self.loads.insert(group, load);
        for (best_effort, share) in pressure.shares() {
            let cost = self.pair(serving, *best_effort);
            let gain = cost.variance * share / variance;
            cost.mean = (cost.mean - gain * error).max(0.0);
            cost.variance = (cost.variance * (1.0 - gain * share)).max(LEAST_VARIANCE);
        }
    }

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
        row[column].get_or_insert(FIRST_COST.into())
    }
}
