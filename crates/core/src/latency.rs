//! A decaying latency estimate, from which first-byte limits follow.
//!
//! Two moving quantities are enough on the request path: a mean, and a high quantile that is
//! tracked by unequal steps up and down, which needs no buckets.

use std::time::Duration;

/// The share of samples that should lie under the tracked high quantile, in hundredths.
const HIGH_QUANTILE: f64 = 0.99;

/// How fast the mean follows new samples.
const MEAN_GAIN: f64 = 0.05;

/// Tracks the latency of one service or worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    mean_us: f64,
    high_us: f64,
    samples: u64,
}

impl LatencyEstimate {
    /// Adds one observed latency.
    pub fn record(&mut self, latency: Duration) {
        let us = latency.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = us;
            self.high_us = us * 2.0;
            return;
        }
        self.mean_us += MEAN_GAIN * (us - self.mean_us);
        let step = self.mean_us.max(1.0) * 0.1;
        if us > self.high_us {
            self.high_us += step * HIGH_QUANTILE;
        } else {
            self.high_us -= step * (1.0 - HIGH_QUANTILE);
        }
        self.high_us = self.high_us.max(self.mean_us);
    }

    /// Returns the moving mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us / 1e6)
    }

    /// Returns the estimate of the 99th percentile; zero before the first sample.
    pub fn p99(&self) -> Duration {
        Duration::from_secs_f64(self.high_us / 1e6)
    }

    /// Returns how long to wait for a first byte before the connection is doubted.
    ///
    /// The limit is four times the high quantile, within `floor` and `ceiling`; with few
    /// samples it is the ceiling.
    pub fn first_byte_timeout(&self, floor: Duration, ceiling: Duration) -> Duration {
        const ENOUGH_SAMPLES: u64 = 32;
        if self.samples < ENOUGH_SAMPLES {
            return ceiling;
        }
        (self.p99() * 4).clamp(floor, ceiling.max(floor))
    }
}
