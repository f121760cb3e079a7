//! The evidence that a task crashes the workers on which it starts.
//!
//! Each crash of a worker compares two hypotheses for each task on it: the task crashes its workers
//! soon after it starts, or workers crash for other reasons. The logarithms of the likelihood ratios
//! add up, and never fall below zero (Page's test), since a task may begin to crash workers at any time.
//! `docs/design/crash-evidence.md` has the derivation and the error rates.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The share of the crashing tasks that crash their worker soon after the start, and their mean
/// time until then.
const FAST: (f64, Duration) = (0.99, Duration::from_millis(350));

/// The same for the other crashing tasks.
const SLOW: (f64, Duration) = (0.01, Duration::from_secs(10));

/// The odds that a task crashes its workers, before any evidence.
const PRIOR_ODDS: f64 = 0.001;

/// The evidence, as a natural logarithm of a likelihood ratio, from which on a task is given up: by
/// Wald's bound, a task without fault reaches it with a probability of at most 1e-5.
const GIVE_UP: f64 = 11.5;

/// The same after this many confirmed crashes that may speak against the task, since the platform does
/// not allow many more: the test is truncated.
const TRUNCATED_GIVE_UP: [(usize, f64); 2] = [(4, 7.5), (5, 5.0)];

/// The most that one crash adds to the evidence: three coincidences are needed, however rare a crash
/// seems to be, since the rate is an estimate.
const MAX_LOG_RATIO: f64 = 3.9;

/// The evidence from which on a task starts apart from others: the likelihood ratio is ten.
const SUSPECT: f64 = 2.3;

/// The time in which evidence decays by a factor of e.
const DECAY: Duration = Duration::from_secs(600);

/// The crashes of each worker, per second, that are expected before any was seen, and the time in
/// which as many observations weigh as much.
const PRIOR_RATE: (f64, Duration) = (0.01, Duration::from_secs(10));

/// The time in which crashes lose weight by a factor of e in the rate at which workers crash.
pub const RATE_MEMORY: Duration = Duration::from_secs(60);

/// The part of a run in which its worker has crashed, as ages of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exposure {
    /// The age at the worker's last sign of life.
    pub from: Duration,
    /// The age by which the worker had certainly crashed.
    pub to: Duration,
}

impl Exposure {
    /// Returns the probability that a task which crashes its workers runs until this part of a run.
    pub fn survival(&self) -> f64 {
        survival(self.from)
    }

    /// Returns the probability that a task which crashes its workers, and runs until this part of a run,
    /// does so in it.
    pub fn crash_probability(&self) -> f64 {
        1.0 - survival(self.to.max(self.from)) / survival(self.from).max(f64::MIN_POSITIVE)
    }

    /// Returns the probability that a task which crashes its workers does so in this part of a run.
    pub fn blame(&self) -> f64 {
        self.survival() * self.crash_probability()
    }
}

/// Returns the probability that a run of a task which crashes its workers reaches an age.
fn survival(age: Duration) -> f64 {
    let of =
        |(share, mean): (f64, Duration)| share * (-age.as_secs_f64() / mean.as_secs_f64()).exp();
    of(FAST) + of(SLOW)
}

/// Returns the rate at which each of `workers` crashes, per second, from the crashes that were seen
/// within `observed`, each weighted by [`crash_weight`], and the rate that was seen before.
pub fn crash_rate(crashes: f64, workers: usize, observed: Duration, earlier: f64) -> f64 {
    let memory_s = RATE_MEMORY.as_secs_f64();
    let observed_s = memory_s * (1.0 - (-observed.as_secs_f64() / memory_s).exp());
    let (prior_rate, prior_time) = PRIOR_RATE;
    let prior_rate = prior_rate.max(earlier);
    let prior_s = prior_time.as_secs_f64();
    let workers = workers.max(1) as f64;
    (workers * prior_s * prior_rate + crashes) / (workers * (prior_s + observed_s))
}

/// Returns the weight of a crash of the given age in [`crash_rate`].
pub fn crash_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp()
}

/// A task that was running, or may have been, on a worker when it crashed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The part of its run in which the worker crashed.
    pub exposure: Exposure,
    /// The evidence against the task before this run.
    pub evidence: f64,
}

impl Candidate {
    /// Returns the probability that the task did not crash the worker.
    fn acquittal(&self) -> f64 {
        let odds = PRIOR_ODDS * self.evidence.exp() * self.exposure.survival();
        1.0 - self.exposure.crash_probability() * odds / (1.0 + odds)
    }
}

/// Returns the evidence of a crash against each of the tasks on the worker, as natural logarithms of
/// likelihood ratios, if a worker crashes for other reasons than what it runs with the given
/// `probability` at that time.
pub fn weigh_crash(candidates: &[Candidate], probability: f64) -> Vec<f64> {
    let acquittals: Vec<_> = candidates.iter().map(Candidate::acquittal).collect();
    let all: f64 = acquittals.iter().product();
    let evidence = candidates
        .iter()
        .zip(&acquittals)
        .map(|(candidate, acquittal)| {
            let exposure = &candidate.exposure;
            // The probability that neither another reason nor another task crashes the worker.
            let spared = (1.0 - probability) * all / acquittal;
            let guilty = 1.0 - spared * (1.0 - exposure.crash_probability());
            let innocent = (1.0 - spared).max(f64::EPSILON);
            let log_ratio = (exposure.survival() * guilty / innocent).max(f64::MIN_POSITIVE);
            log_ratio.ln().min(MAX_LOG_RATIO)
        });
    evidence.collect()
}

/// Returns the probability that one of the tasks on a worker crashes it.
pub fn task_probability(candidates: &[Candidate]) -> f64 {
    1.0 - candidates.iter().map(Candidate::acquittal).product::<f64>()
}

/// Returns the probability that crashes at the same time had a reason in common, or a crash another
/// reason than its tasks, if that has the given probability and all together may as well be explained
/// by tasks with `by_tasks`.
pub fn ordinary_share(probability: f64, by_tasks: f64) -> f64 {
    let any = probability + (1.0 - probability) * by_tasks;
    if any > 0.0 { probability / any } else { 1.0 }
}

/// The evidence that a task crashes its workers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The natural logarithm of the likelihood ratio, in thousandths.
    milli: u32,
    /// When it was last updated, in milliseconds of Unix time; zero if unknown.
    updated_ms: u64,
    /// The rate at which workers crashed then for other reasons than what they ran, in crashes of each
    /// worker in a million seconds. A later leader begins with it.
    rate_micro: u32,
}

impl Evidence {
    /// Returns evidence against a task of which it is only known that workers have crashed under it: it
    /// starts apart. It does not decay before more is added.
    pub fn suspected() -> Self {
        Self {
            milli: (SUSPECT * 1_000.0) as u32,
            updated_ms: 0,
            rate_micro: 0,
        }
    }

    /// Returns the evidence at a time in milliseconds of Unix time, as a natural logarithm of a
    /// likelihood ratio.
    pub fn at(&self, unix_ms: u64) -> f64 {
        let age_ms = match self.updated_ms {
            0 => 0,
            updated_ms => unix_ms.saturating_sub(updated_ms),
        };
        let age_s = age_ms as f64 / 1_000.0;
        f64::from(self.milli) / 1_000.0 * (-age_s / DECAY.as_secs_f64()).exp()
    }

    /// Adds the natural logarithm of a likelihood ratio.
    pub fn add(&mut self, log_ratio: f64, unix_ms: u64) {
        let sum = (self.at(unix_ms) + log_ratio).clamp(0.0, 1_000.0);
        self.milli = (sum * 1_000.0) as u32;
        self.updated_ms = unix_ms;
    }

    /// Records the rate at which workers crash for other reasons than what they run, per second.
    pub fn set_crash_rate(&mut self, rate: f64) {
        self.rate_micro = (rate * 1e6) as u32;
    }

    /// Returns when it was last updated, in milliseconds of Unix time, and the rate that was recorded.
    pub fn crash_rate(&self) -> (u64, f64) {
        (self.updated_ms, f64::from(self.rate_micro) / 1e6)
    }

    /// Returns whether there is none.
    pub fn is_zero(&self) -> bool {
        self.milli == 0
    }

    /// Returns whether the task may crash its workers, so that it starts apart.
    pub fn is_suspected(&self, unix_ms: u64) -> bool {
        self.at(unix_ms) >= SUSPECT
    }

    /// Returns whether the task certainly enough crashes its workers, after so many confirmed
    /// crashes that may speak against it.
    pub fn is_conclusive(&self, crashes: usize, unix_ms: u64) -> bool {
        let truncated = TRUNCATED_GIVE_UP.iter().rev();
        let mut truncated = truncated.filter(|(count, _)| crashes >= *count);
        let threshold = truncated
            .next()
            .map_or(GIVE_UP, |(_, threshold)| *threshold);
        self.at(unix_ms) >= threshold
    }
}
