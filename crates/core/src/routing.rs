//! Choosing a worker for one request or task.
//!
//! An owner counts the slots in use on its workers, so it can choose the worker with the fewest
//! slots in use, and among these the one with the lowest latency. Ties are broken at random, so
//! that equal workers share the work.

use {crate::ids::WorkerId, rand::RngExt, std::time::Duration};

/// One worker that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// How many slots are free now.
    pub free: u32,
    /// How many slots are in use.
    pub in_use: u32,
    /// The moving mean of the worker's latency; zero if unknown.
    pub latency: Duration,
    /// Whether only a probe may be sent to the worker.
    pub probe: bool,
}

/// Returns the index of the best candidate, or `None` if no candidate has a free slot.
///
/// A worker that is due for a probe comes first, because only a probe can make it healthy again;
/// the caller limits the number of probes. Otherwise the worker with the fewest slots in use is
/// chosen. If two such workers differ in latency by more than a quarter of the greater latency,
/// the one with the lower latency is chosen.
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

/// Compares two candidates; the better one is `Less`.
fn compare(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let by_probe = b.probe.cmp(&a.probe);
    let by_use = a.in_use.cmp(&b.in_use);
    by_probe.then(by_use).then_with(|| compare_latency(a, b))
}

fn compare_latency(a: &Candidate, b: &Candidate) -> std::cmp::Ordering {
    let (x, y) = (a.latency.as_secs_f64(), b.latency.as_secs_f64());
    let is_close = (x - y).abs() <= 0.25 * x.max(y);
    if is_close {
        std::cmp::Ordering::Equal
    } else {
        x.total_cmp(&y)
    }
}
