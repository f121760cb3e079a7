//! How much filling tasks disturb serving ones, learnt per pair of images.
//!
//! The tail of a serving task, as a share of its target, is taken to be a base of its image
//! plus a sum over the filling images beside it: a coefficient of the pair times the cores in
//! use. The coefficients are estimated by a Kalman filter with one variance each, so that a
//! pair that is known to be harmless takes little blame for a tail that is high, and an
//! unknown one takes most. The figures lag, so the cores in use are averaged over as long.

use {
    crate::hash::HashMap,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The lag of the figures.
const LAG: Duration = Duration::from_millis(500);

/// The base of an image that has not been seen alone, as a share of the target.
const FIRST_BASE: f64 = 0.4;

/// The coefficient of a pair that has not been seen, per core.
const FIRST_COEFFICIENT: f64 = 0.03;

/// The variance of a coefficient that has not been seen.
const FIRST_VARIANCE: f64 = 0.09;

/// The least variance, so that a pair that changes is learnt again.
const LEAST_VARIANCE: f64 = 0.000_4;

/// The variance of a figure: load moves the tail by about a quarter of the target.
const NOISE: f64 = 0.06;

/// What the share above the target counts at most; far above it tails grow out of proportion.
const HIGHEST: f64 = 3.0;

/// The weight of a new figure in the base of an image.
const BASE_WEIGHT: f64 = 0.05;

/// An image's name.
pub type Image = Arc<str>;

/// The filling images on one worker, with the cores that they have used lately.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    cores: HashMap<Image, f64>,
    at: Option<Instant>,
}

impl Pressure {
    /// Takes in the cores in use now, by image.
    pub fn observe(&mut self, cores: &HashMap<Image, f64>, now: Instant) {
        let past = self.at.map_or(Duration::MAX, |at| now.duration_since(at));
        self.at = Some(now);
        let weight = 1.0 - (-past.as_secs_f64() / LAG.as_secs_f64()).exp();
        for (image, used) in &mut self.cores {
            let new = cores.get(image).copied().unwrap_or(0.0);
            *used += weight * (new - *used);
        }
        for (image, used) in cores {
            self.cores
                .entry(image.clone())
                .or_insert(weight * *used);
        }
        self.cores.retain(|_, used| *used > 0.01);
    }

    /// Returns the cores in use, by image.
    pub fn cores(&self) -> &HashMap<Image, f64> {
        &self.cores
    }
}

#[derive(Clone, Copy, Debug)]
struct Coefficient {
    mean: f64,
    variance: f64,
}

impl Default for Coefficient {
    fn default() -> Self {
        Self {
            mean: FIRST_COEFFICIENT,
            variance: FIRST_VARIANCE,
        }
    }
}

/// What has been learnt.
#[derive(Clone, Debug, Default)]
pub struct Disturbance {
    bases: HashMap<Image, f64>,
    pairs: HashMap<(Image, Image), Coefficient>,
}

impl Disturbance {
    /// Returns the tail to expect, as a share of the target, with `cores` in use beside it.
    pub fn expect<'a>(
        &self,
        serving: &Image,
        cores: impl Iterator<Item = (&'a Image, f64)>,
    ) -> f64 {
        let base = self.bases.get(serving).copied().unwrap_or(FIRST_BASE);
        base + cores.map(|(f, c)| c * self.per_core(serving, f)).sum::<f64>()
    }

    /// Returns what a core in use by the filling image adds to the serving one's tail.
    pub fn per_core(&self, serving: &Image, filling: &Image) -> f64 {
        let pair = (serving.clone(), filling.clone());
        self.pairs.get(&pair).map_or(FIRST_COEFFICIENT, |c| c.mean)
    }

    /// Takes in a tail, as a share of the target, under the pressure beside it.
    pub fn observe(&mut self, serving: &Image, tail: f64, pressure: &Pressure) {
        let tail = tail.min(HIGHEST);
        if pressure.cores.is_empty() {
            let base = self.bases.entry(serving.clone()).or_insert(FIRST_BASE);
            *base += BASE_WEIGHT * (tail - *base);
            return;
        }
        let expected = self.expect(serving, pressure.cores.iter().map(|(f, c)| (f, *c)));
        let error = tail - expected.min(HIGHEST);
        let mut spread = NOISE;
        for (filling, cores) in &pressure.cores {
            let pair = (serving.clone(), filling.clone());
            let c = self.pairs.entry(pair).or_default();
            spread += c.variance * cores * cores;
        }
        for (filling, cores) in &pressure.cores {
            let pair = (serving.clone(), filling.clone());
            let c = self.pairs.entry(pair).or_default();
            let gain = c.variance * cores / spread;
            c.mean = (c.mean + gain * error).max(0.0);
            c.variance = (c.variance * (1.0 - gain * cores)).max(LEAST_VARIANCE);
        }
    }
}
