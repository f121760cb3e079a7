//! A retry budget: retries may add only a small share to the load.
//!
//! Each first try earns a fraction of a token and each retry spends one, so a failure that
//! hits everything cannot multiply the load. The bucket is bounded, so quiet hours do not save
//! up a burst.

use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens are counted in thousandths, so that shares under one are exact.
const TOKEN: u64 = 1_000;

/// A token bucket that is filled by first tries and emptied by retries.
#[derive(Debug)]
pub struct RetryBudget {
    earned: u64,
    cap: u64,
    level: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per hundred first tries, and at most
    /// `burst` retries at once.
    pub fn new(percent: u32, burst: u32) -> Self {
        let cap = u64::from(burst) * TOKEN;
        Self {
            earned: u64::from(percent) * TOKEN / 100,
            cap,
            level: AtomicU64::new(cap),
        }
    }

    /// Records a first try.
    pub fn record_try(&self) {
        let update = |level: u64| Some((level + self.earned).min(self.cap));
        let _ = self
            .level
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update);
    }

    /// Takes a token for one retry; false when the budget is spent.
    pub fn try_retry(&self) -> bool {
        self.level
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |level| {
                level.checked_sub(TOKEN)
            })
            .is_ok()
    }
}
