//! What batch work costs the services that share its worker.
//!
//! Usage is reported late and the effect depends on the pair, so the slowdown of a service by
//! a batch class is learnt from the service's own latency on workers with and without tasks of
//! that class. Old observations fade, since the effect shifts with load.

use {crate::hash::HashMap, std::time::Duration};

/// How fast an estimate follows a new observation.
const GAIN: f64 = 0.1;

/// The slowdown that is assumed of a pair before it has been observed.
const PRIOR_SLOWDOWN: f64 = 0.05;

/// A service and a batch class that share a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pair {
    service: String,
    class: String,
}

/// Learns the slowdown of each service by each batch class.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    baseline: HashMap<String, f64>,
    slowdown: HashMap<Pair, f64>,
}

impl Interference {
    /// Records a request's latency on a worker that ran `tasks` tasks of one `class`, or none.
    pub fn record(&mut self, service: &str, class: &str, tasks: u32, latency: Duration) {
        let seconds = latency.as_secs_f64();
        if tasks == 0 {
            let base = self.baseline.entry(service.to_owned()).or_insert(seconds);
            *base += GAIN * (seconds - *base);
            return;
        }
        let Some(&base) = self.baseline.get(service) else {
            return;
        };
        let per_task = (seconds / base.max(1e-9) - 1.0) / f64::from(tasks);
        let pair = Pair {
            service: service.to_owned(),
            class: class.to_owned(),
        };
        let known = self.slowdown.entry(pair).or_insert(PRIOR_SLOWDOWN);
        *known += GAIN * (per_task - *known);
    }

    /// Returns the predicted slowdown of `service` by one task of `class`, as a share of its
    /// undisturbed latency; never negative.
    pub fn slowdown(&self, service: &str, class: &str) -> f64 {
        let pair = Pair {
            service: service.to_owned(),
            class: class.to_owned(),
        };
        let known = self.slowdown.get(&pair).copied();
        known.unwrap_or(PRIOR_SLOWDOWN).max(0.0)
    }
}
