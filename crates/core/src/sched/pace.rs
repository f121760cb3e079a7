//! Pacing of tasks that fill beside tasks that serve.
//!
//! The figures lag by half a second, so the pace is cut fast and raised slowly, and nothing is
//! raised while the tail is near its target.

use std::time::{Duration, Instant};

/// The tail, as a share of the target, above which the pace is cut in half.
const OVER: f64 = 0.95;

/// The share above which the pace is lowered a little.
const NEAR: f64 = 0.8;

/// The share below which the pace is raised.
const CALM: f64 = 0.65;

/// How long the tail may be over before the pace goes to zero.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// The time between two cuts: the lag of the figures.
const CUT_GAP: Duration = Duration::from_millis(400);

/// The time between two raises.
const RAISE_GAP: Duration = Duration::from_millis(500);

/// The pace of the filling tasks of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    percent: f64,
    over_since: Option<Instant>,
    changed: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: 100.0,
            over_since: None,
            changed: None,
        }
    }
}

impl Pace {
    /// Returns the share of their speed at which filling tasks may work, in percent.
    pub fn percent(&self) -> u8 {
        self.percent.round() as u8
    }

    /// Returns whether the tail has been over its target for longer than pacing takes.
    pub fn is_failing(&self, now: Instant) -> bool {
        let over = self.over_since.map(|since| now.duration_since(since));
        over.is_some_and(|over| over > PATIENCE * 2)
    }

    /// Takes in the worst tail of the worker's serving tasks, as a share of their targets.
    pub fn observe(&mut self, worst: f64, now: Instant) {
        let since = |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.duration_since(at));
        if worst <= OVER {
            self.over_since = None;
        }
        if worst > OVER {
            let over = *self.over_since.get_or_insert(now);
            if now.duration_since(over) >= PATIENCE {
                self.set(0.0, now);
            } else if since(self.changed) >= CUT_GAP {
                self.set(self.percent * 0.4, now);
            }
        } else if worst > NEAR {
            if since(self.changed) >= CUT_GAP {
                self.set(self.percent * 0.85, now);
            }
        } else if worst < CALM && self.percent < 100.0 && since(self.changed) >= RAISE_GAP {
            self.set((self.percent + 12.0).min(100.0), now);
        }
    }

    fn set(&mut self, percent: f64, now: Instant) {
        self.percent = percent;
        self.changed = Some(now);
    }
}
