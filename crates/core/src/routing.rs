//! Choice of a worker for one piece of work.
//!
//! The owner knows the exact occupancy of its workers, so it takes the one with the least
//! expected slowdown; ties are broken at random, so that equal workers share the work.

use {crate::ids::WorkerId, rand::RngExt, std::time::Duration};

/// What is known of one worker at the moment of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Slots that may be taken now.
    pub free: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Moving mean of its latency, zero if unknown.
    pub latency: Duration,
    /// Whether only a probe may be sent to it.
    pub probe: bool,
}

/// Returns the best candidate, or `None` if none has a free slot.
///
/// A worker that waits for a probe comes first, since a probe is the only way back for it; the
/// caller bounds their number. Otherwise the least occupied worker wins, and latency decides
/// between equally occupied ones when they differ by more than a quarter.
pub fn choose(candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
    let mut best: Option<usize> = None;
    let mut ties = 0u32;
    for (i, c) in candidates.iter().enumerate() {
        if c.free == 0 {
            continue;
        }
        let Some(b) = best else {
            best = Some(i);
            ties = 1;
            continue;
        };
        match compare(c, &candidates[b]) {
            std::cmp::Ordering::Less => {
                best = Some(i);
                ties = 1;
            }
            std::cmp::Ordering::Equal => {
                ties += 1;
                // Reservoir sampling keeps every tied candidate equally likely.
                if rng.random_range(0..ties) == 0 {
                    best = Some(i);
                }
            }
            std::cmp::Ordering::Greater => {}
        }
    }
    best
}

/// Orders candidates; the lesser one is better.
fn compare(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let by_probe = b.probe.cmp(&a.probe);
    let by_use = a.in_use.cmp(&b.in_use);
    by_probe.then(by_use).then_with(|| compare_latency(a, b))
}

fn compare_latency(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let (x, y) = (a.latency.as_secs_f64(), b.latency.as_secs_f64());
    let close = (x - y).abs() <= 0.25 * x.max(y);
    if close {
        std::cmp::Ordering::Equal
    } else {
        x.total_cmp(&y)
    }
}
