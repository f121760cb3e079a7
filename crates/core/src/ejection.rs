//! Ejection of failing workers, and probes that detect their recovery.
//!
//! A worker that fails fast has few slots in use, so routing would send it most of the work.
//! After a few consecutive failures the worker is ejected: it receives only single probes until
//! one succeeds. The delay before the next probe doubles with each failure, up to a maximum.

use std::time::{Duration, Instant};

/// The number of consecutive failures after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// The delay between the ejection and the first probe, and the minimum delay between two probes.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);

/// The maximum delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Whether a worker may be used, which determines what may be sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Any work may be sent.
    Healthy,
    /// One probe may be sent now.
    Probe,
    /// Nothing may be sent.
    Ejected,
}

/// Tracks the consecutive failures of one worker, and ejects it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejector {
    /// The number of consecutive failures.
    failures: u32,
    /// The delay before the next probe; zero while the worker is healthy.
    backoff: Duration,
    /// When the next probe may be sent; `None` while the worker is healthy.
    probe_at: Option<Instant>,
}

impl Ejector {
    /// Returns the worker's health at `now`.
    pub fn health(&self, now: Instant) -> Health {
        match self.probe_at {
            None => Health::Healthy,
            Some(at) if now >= at => Health::Probe,
            Some(_) => Health::Ejected,
        }
    }

    /// Records that a probe was sent at `now`, which delays the next one.
    pub fn record_probe(&mut self, now: Instant) {
        self.probe_at = Some(now + self.backoff.max(INITIAL_PROBE_DELAY));
    }

    /// Records a success, after which the worker is healthy.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`; returns whether this failure ejected the worker.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let was_healthy = self.probe_at.is_none();
        self.backoff = (self.backoff * 2).clamp(INITIAL_PROBE_DELAY, MAX_PROBE_DELAY);
        self.probe_at = Some(now + self.backoff);
        was_healthy
    }
}
