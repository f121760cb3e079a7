//! Throttling of best-effort tasks that run beside serving tasks.
//!
//! A throttle is the share of full speed at which the best-effort tasks of one image may work on
//! one worker, in percent. It is computed from the interference estimates: the
//! [headroom](crate::sched::interference) of each serving task is shared by the images that
//! interfere with it. An image that takes almost no headroom runs at full speed, since slowing it
//! down would not help.

use {
    crate::sched::interference::{Image, Interference},
    std::time::{Duration, Instant},
};

/// The tail latency, as a share of the target, below which throttling keeps serving tasks.
const TARGET_TAIL: f64 = 0.85;

/// The minimum headroom that an image must take from a serving task to be throttled.
const MIN_COST: f64 = 0.2;

/// The minimum change of a throttle, in percentage points; a smaller change is made only to 0 or
/// 100 percent.
const MIN_CHANGE: f64 = 8.0;

/// The minimum time after a change before the throttle may be raised, because the measurements lag
/// by half a second.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(450);

/// The throttle below which tasks count as starved, in percent.
const STARVED_PERCENT: f64 = 15.0;

/// How long tasks may be starved before they should move to another worker.
const STARVED_LIMIT: Duration = Duration::from_millis(1_000);

/// The throttle of the best-effort tasks of one image on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    percent: f64,
    /// When `percent` last changed; `None` if it never did.
    changed_at: Option<Instant>,
    /// When the percentage passed to [`Throttle::set`] fell below [`STARVED_PERCENT`]; `None` if
    /// it was last at least that.
    starved_since: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            percent: 100.0,
            changed_at: None,
            starved_since: None,
        }
    }
}

impl Throttle {
    /// Returns the share of full speed at which the tasks may work, in percent.
    pub fn percent(&self) -> u8 {
        self.percent.round() as u8
    }

    /// Returns whether the tasks have been starved for so long that they should move.
    pub fn is_starved(&self, now: Instant) -> bool {
        let starved_for = self.starved_since.map(|at| now.duration_since(at));
        starved_for.is_some_and(|starved_for| starved_for > STARVED_LIMIT)
    }

    /// Sets the throttle to `percent` unless the change is too small or a raise comes too early;
    /// returns whether it has changed.
    pub fn set(&mut self, percent: f64, now: Instant) -> bool {
        if percent >= STARVED_PERCENT {
            self.starved_since = None;
        } else {
            self.starved_since.get_or_insert(now);
        }
        let is_raise = percent > self.percent;
        let is_early = self
            .changed_at
            .is_some_and(|at| now.duration_since(at) < MIN_RAISE_INTERVAL);
        let is_small = (percent - self.percent).abs() < MIN_CHANGE;
        let is_zero_or_full = percent == 0.0 || percent == 100.0;
        if percent == self.percent || (is_small && !is_zero_or_full) || (is_raise && is_early) {
            return false;
        }
        self.percent = percent;
        self.changed_at = Some(now);
        true
    }
}

/// Returns the best throttles, in percent, for the best-effort images on a worker.
///
/// `shares` lists, for each best-effort image, the share of the worker's CPU that the image would
/// use at full speed. `serving` lists, for each serving task on the worker, its image and its
/// headroom when nothing runs beside it.
pub fn best_throttles(
    interference: &Interference,
    serving: &[(Image, f64)],
    shares: &[(Image, f64)],
) -> Vec<(Image, f64)> {
    let mut throttles: Vec<_> = shares.iter().map(|(image, _)| (*image, 100.0)).collect();
    for (image, headroom_alone) in serving {
        let cost =
            |(best_effort, share): &(Image, f64)| share * interference.cost(*image, *best_effort);
        let throttled_cost = shares.iter().map(cost).filter(|cost| *cost >= MIN_COST);
        let throttled_cost: f64 = throttled_cost.sum();
        if throttled_cost == 0.0 {
            continue;
        }
        let other_cost = shares.iter().map(cost).filter(|cost| *cost < MIN_COST);
        let other_cost: f64 = other_cost.sum();
        let free_headroom = headroom_alone - other_cost - 1.0 / TARGET_TAIL;
        let percent = (free_headroom / throttled_cost * 100.0).clamp(0.0, 100.0);
        for (throttle, share) in throttles.iter_mut().zip(shares) {
            if cost(share) >= MIN_COST {
                throttle.1 = percent.min(throttle.1);
            }
        }
    }
    throttles
}
