//! What a leader knows of one worker: its room, its clock, and until when it may run work.

use {
    crate::sched::job::{Resources, TaskName},
    std::time::{Duration, Instant},
};

/// How slow a worker's clock may run, in thousandths of the time.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// What is added to a lapse for the worker's own timers.
const EXPIRY_MARGIN_MS: u64 = 100;

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Its name.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes work.
    pub availability: Availability,
    /// All that it has.
    pub capacity: Resources,
    /// Its kind, its rack and other labels.
    pub labels: Vec<String>,
    /// The start of this life, in milliseconds of Unix time; zero if unknown.
    pub started_ms: u64,
    /// The least time before it leaves, in milliseconds, if it says so.
    pub remaining_ms: Option<u64>,
}

/// A run that a worker lists as present.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// The newest checkpoint, empty if none.
    pub checkpoint: String,
    /// How far it is.
    pub percent: f64,
    /// The tail latency of a task that serves, or the processor in use of any other.
    pub usage: Option<f64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// Well.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRow {
    /// Grows from one in each life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub reason: EndReason,
    /// The checkpoint, empty if none.
    pub checkpoint: String,
}

/// A worker's report of what it runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The start of this life; zero if not told.
    pub started_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What ended and was not acknowledged.
    pub finished: Vec<FinishedRow>,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandReply {
    /// It was carried out.
    Ok,
    /// A higher token was seen.
    Fenced,
    /// The attempt is not newer than one that ended there.
    Old,
    /// The lease that it gave had passed.
    Late,
    /// There is no room.
    Full,
    /// It lacks a valid approval.
    Unapproved,
    /// Another life of the worker answered.
    Reborn,
    /// The worker did nothing and is not healthy.
    Unhealthy,
    /// The order was not understood.
    Refused,
    /// There was no answer; it may still be carried out.
    Silent,
}

/// The clock of a worker, as far as its answers tell, and the leases that it was given.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseClock {
    sample: Option<(u64, Instant)>,
    granted_ms: u64,
}

impl LeaseClock {
    /// Notes the clock in an answer that was received at `now`.
    pub fn sample(&mut self, clock_ms: u64, now: Instant) {
        let newer =
            |(known, at): (u64, Instant)| clock_ms >= known + ms(now.duration_since(at)) * 98 / 100;
        if self.sample.is_none_or(newer) {
            self.sample = Some((clock_ms, now));
        }
    }

    /// Returns whether the worker has ever answered.
    pub fn is_known(&self) -> bool {
        self.sample.is_some()
    }

    /// Returns the end of a lease of `length` in the worker's time, and counts it as given.
    pub fn grant(&mut self, length: Duration, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.sample?;
        let until = clock_ms + ms(now.duration_since(at)) + ms(length);
        self.granted_ms = self.granted_ms.max(until);
        Some(until)
    }

    /// Returns whether every lease that was given has surely ended.
    pub fn has_expired(&self, now: Instant) -> bool {
        let Some((clock_ms, at)) = self.sample else {
            return false;
        };
        let least = ms(now.duration_since(at)) * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000;
        clock_ms + least > self.granted_ms + EXPIRY_MARGIN_MS
    }
}

fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}
