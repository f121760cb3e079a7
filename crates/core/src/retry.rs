//! A retry budget, which limits retries to a small share of the load.
//!
//! Each first try adds a fraction of a token and each retry takes a whole one, so retries cannot
//! multiply the load when all requests fail. The number of tokens is bounded, which limits a
//! burst of retries after a long time without any.

use std::sync::atomic::{AtomicU64, Ordering};

/// One token in the unit of balances, thousandths of a token, in which fractions are exact.
const TOKEN: u64 = 1_000;

/// A token bucket that first tries fill and retries empty; a new bucket is full.
#[derive(Debug)]
pub struct RetryBudget {
    /// Thousandths of a token that a first try adds.
    earned_per_try: u64,
    /// The maximum balance, in thousandths of a token.
    capacity: u64,
    /// The balance, in thousandths of a token.
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per hundred first tries, and at most
    /// `burst` retries at once.
    pub fn new(percent: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * TOKEN;
        Self {
            earned_per_try: u64::from(percent) * TOKEN / 100,
            capacity,
            tokens: AtomicU64::new(capacity),
        }
    }

    /// Records the first try of a request.
    pub fn record_try(&self) {
        let update = |tokens: u64| Some((tokens + self.earned_per_try).min(self.capacity));
        let _ = self
            .tokens
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, update);
    }

    /// Takes a token for one retry; returns `false` if there is none.
    pub fn try_retry(&self) -> bool {
        self.tokens
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |tokens| {
                tokens.checked_sub(TOKEN)
            })
            .is_ok()
    }
}
