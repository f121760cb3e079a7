//! Ejection of workers that fail, and probing for their return.
//!
//! A worker that fails fast looks idle and would draw all the work. After a few failures in a
//! row it receives nothing but single probes, whose spacing grows up to a limit.

use std::time::{Duration, Instant};

/// Failures in a row after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// The wait before the first probe.
const FIRST_PROBE: Duration = Duration::from_millis(500);

/// The longest wait between two probes.
const LONGEST_PROBE: Duration = Duration::from_secs(5);

/// What may be sent to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Work as usual.
    Healthy,
    /// One probe may be sent now.
    Probe,
    /// Nothing may be sent.
    Ejected,
}

/// Follows the failures of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejector {
    failures: u32,
    backoff: Duration,
    probe_at: Option<Instant>,
}

impl Ejector {
    /// Returns what may be sent at `now`.
    pub fn health(&self, now: Instant) -> Health {
        match self.probe_at {
            None => Health::Healthy,
            Some(at) if now >= at => Health::Probe,
            Some(_) => Health::Ejected,
        }
    }

    /// Records that a probe was sent at `now`, so that no second one follows at once.
    pub fn probe_sent(&mut self, now: Instant) {
        self.probe_at = Some(now + self.backoff.max(FIRST_PROBE));
    }

    /// Records a success: the worker is healthy.
    pub fn success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`; returns whether this one ejected the worker.
    pub fn failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let newly = self.probe_at.is_none();
        self.backoff = (self.backoff * 2).clamp(FIRST_PROBE, LONGEST_PROBE);
        self.probe_at = Some(now + self.backoff);
        newly
    }
}
