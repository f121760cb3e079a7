//! Waiting longer after each failure, with jitter.

use {rand::RngExt, std::time::Duration};

/// The wait after the first failure.
const FIRST: Duration = Duration::from_millis(40);

/// The longest wait.
const LONGEST: Duration = Duration::from_secs(1);

/// The waits between tries of one operation.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
}

impl Backoff {
    /// Starts with the shortest wait.
    pub fn new() -> Self {
        Self { next: FIRST }
    }

    /// Returns the next wait, between half and all of a doubling limit.
    pub fn next(&mut self, rng: &mut impl rand::Rng) -> Duration {
        let wait = self.next.mul_f64(rng.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(LONGEST);
        wait
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}
