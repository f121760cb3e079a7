//! The pace of tasks that fill beside tasks that serve.
//!
//! The pace follows from what has been learnt of the pairs: the headroom that is left to each
//! serving task is shared by the images that disturb it. An image that adds next to nothing
//! keeps its pace, since slowing it down would not help.

use {
    crate::sched::interference::{Image, Interference},
    std::time::{Duration, Instant},
};

/// The tail, as a share of the target, that paces aim at.
const AIM: f64 = 0.85;

/// The headroom that an image must take from a serving task to be paced for it.
const LEAST_PART: f64 = 0.2;

/// The change, in percent, from which a worker is told of another pace.
const LEAST_CHANGE: f64 = 8.0;

/// The time between two raises of one pace; the figures lag by half a second.
const RAISE_GAP: Duration = Duration::from_millis(450);

/// The pace below which a task had better go elsewhere, in percent.
const CRAWL: f64 = 15.0;

/// How long a task may crawl.
const CRAWL_LIMIT: Duration = Duration::from_millis(1_000);

/// The pace of one image's filling tasks on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    percent: f64,
    changed: Option<Instant>,
    crawls: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            percent: 100.0,
            changed: None,
            crawls: None,
        }
    }
}

impl Throttle {
    /// Returns the share of their speed at which the tasks may work, in percent.
    pub fn percent(&self) -> u8 {
        self.percent.round() as u8
    }

    /// Returns whether the tasks have been next to standing for too long.
    pub fn is_starved(&self, now: Instant) -> bool {
        let since = self.crawls.map(|at| now.duration_since(at));
        since.is_some_and(|since| since > CRAWL_LIMIT)
    }

    /// Sets the pace that is best now; returns whether it has changed.
    pub fn set(&mut self, percent: f64, now: Instant) -> bool {
        if percent >= CRAWL {
            self.crawls = None;
        } else {
            self.crawls.get_or_insert(now);
        }
        let raises = percent > self.percent;
        let early = self
            .changed
            .is_some_and(|at| now.duration_since(at) < RAISE_GAP);
        let small = (percent - self.percent).abs() < LEAST_CHANGE;
        let last = percent == 0.0 || percent == 100.0;
        if percent == self.percent || (small && !last) || (raises && early) {
            return false;
        }
        self.percent = percent;
        self.changed = Some(now);
        true
    }
}

/// Returns the best paces, in percent, for filling images that would use `shares` of a worker
/// at full speed; `serving` gives the images that serve there and their headroom alone.
pub fn best_throttles(
    interference: &Interference,
    serving: &[(Image, f64)],
    shares: &[(Image, f64)],
) -> Vec<(Image, f64)> {
    let mut paces: Vec<_> = shares.iter().map(|(image, _)| (*image, 100.0)).collect();
    for (image, alone) in serving {
        let part = |(f, share): &(Image, f64)| share * interference.cost(*image, *f);
        let heavy = shares.iter().map(part).filter(|p| *p >= LEAST_PART);
        let heavy: f64 = heavy.sum();
        if heavy == 0.0 {
            continue;
        }
        let light = shares.iter().map(part).filter(|p| *p < LEAST_PART);
        let light: f64 = light.sum();
        let left = alone - light - 1.0 / AIM;
        let percent = (left / heavy * 100.0).clamp(0.0, 100.0);
        for (pace, in_use) in paces.iter_mut().zip(shares) {
            if part(in_use) >= LEAST_PART {
                pace.1 = percent.min(pace.1);
            }
        }
    }
    paces
}
