//! A moving latency estimate, from which first-byte timeouts are derived.
//!
//! The estimate consists of a moving mean and the 99th percentile. Each sample moves the percentile
//! up by a large step or down by a small one, so no histogram buckets are needed.

use std::time::Duration;

/// The quantile that is estimated, as the fraction of samples below it.
const QUANTILE: f64 = 0.99;

/// The weight of a new sample in the moving mean.
const MEAN_GAIN: f64 = 0.05;

/// The latency estimate of one service or worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    mean_us: f64,
    p99_us: f64,
    samples: u64,
}

impl LatencyEstimate {
    /// Adds one latency sample.
    pub fn record(&mut self, latency: Duration) {
        let us = latency.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_us = us;
            self.p99_us = us * 2.0;
            return;
        }
        self.mean_us += MEAN_GAIN * (us - self.mean_us);
        let step = self.mean_us.max(1.0) * 0.1;
        if us > self.p99_us {
            self.p99_us += step * QUANTILE;
        } else {
            self.p99_us -= step * (1.0 - QUANTILE);
        }
        self.p99_us = self.p99_us.max(self.mean_us);
    }

    /// Returns the moving mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_us / 1e6)
    }

    /// Returns the estimate of the 99th percentile; zero before the first sample.
    pub fn p99(&self) -> Duration {
        Duration::from_secs_f64(self.p99_us / 1e6)
    }

    /// Returns how long to wait for the first byte of a response.
    ///
    /// The timeout is four times the 99th percentile, clamped to `floor` and `ceiling`. Before
    /// 32 samples it is `ceiling`.
    pub fn first_byte_timeout(&self, floor: Duration, ceiling: Duration) -> Duration {
        const MIN_SAMPLES: u64 = 32;
        if self.samples < MIN_SAMPLES {
            return ceiling;
        }
        (self.p99() * 4).clamp(floor, ceiling.max(floor))
    }
}
