//! Exponential backoff with jitter.

use {rand::RngExt, std::time::Duration};

/// The upper limit of the first wait.
const INITIAL_LIMIT: Duration = Duration::from_millis(40);

/// The maximum wait.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The waits between retries of one operation.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next_limit: Duration,
}

impl Backoff {
    /// Creates a backoff whose first wait has the shortest limit.
    pub fn new() -> Self {
        Self {
            next_limit: INITIAL_LIMIT,
        }
    }

    /// Returns a random wait between half of the current limit and the whole limit, then doubles
    /// the limit up to a maximum.
    pub fn next(&mut self, rng: &mut impl rand::Rng) -> Duration {
        let wait = self.next_limit.mul_f64(rng.random_range(0.5..=1.0));
        self.next_limit = (self.next_limit * 2).min(MAX_WAIT);
        wait
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}
