//! A leader's view of one worker: its resources, its reports, its clock and its leases.

use {
    crate::sched::job::{Resources, TaskName},
    std::time::{Duration, Instant},
};

/// How much slower than real time a worker's clock may run, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// Added to the end of a lease, as the worker's own timers may fire late.
const EXPIRY_MARGIN_MS: u64 = 100;

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The worker accepts new tasks.
    Ready,
    /// The worker is about to leave.
    Draining,
}

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// The worker's name.
    pub id: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// The address that it listens on.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it accepts new tasks.
    pub availability: Availability,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// When this incarnation of the worker started, in milliseconds of Unix time; zero if
    /// unknown.
    pub started_ms: u64,
    /// The minimum time until it leaves, in milliseconds; `None` if it gives no such time.
    pub remaining_ms: Option<u64>,
}

/// An attempt that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// The latest checkpoint, empty if none.
    pub checkpoint: String,
    /// The progress, in percent; of a serving task, that of its startup.
    pub percent: f64,
    /// The tail latency of a serving task, in milliseconds, or the processor in use by another
    /// task, in thousandths of a core; `None` if not measured.
    pub usage: Option<f64>,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// The task completed.
    Done,
    /// The task or the worker failed.
    Failed,
    /// A command stopped it.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// An attempt that a worker reports as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRow {
    /// The number of the entry; counts from one in each incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// The last checkpoint, empty if none.
    pub checkpoint: String,
}

/// A worker's report of what it runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// When this incarnation of the worker started, in milliseconds of Unix time; zero if not
    /// reported.
    pub started_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The running attempts.
    pub running: Vec<RunningRow>,
    /// The ended attempts that the leader has not acknowledged.
    pub finished: Vec<FinishedRow>,
}

/// A worker's reply to a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandReply {
    /// The command was carried out.
    Ok,
    /// The worker has seen a higher token.
    Fenced,
    /// The attempt is not newer than one of the task that has ended on the worker.
    Old,
    /// The lease in the command had already expired.
    Late,
    /// The worker's free resources are too small.
    Full,
    /// The start lacks a valid approval.
    Unapproved,
    /// The worker has restarted; another incarnation replied.
    Reborn,
    /// The worker is unhealthy and did not carry out the command.
    Unhealthy,
    /// The worker did not understand the command.
    Refused,
    /// There was no reply; the command may still be carried out.
    Silent,
}

/// An estimate of a worker's clock from its reports, and the end of the leases granted to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseClock {
    sample: Option<(u64, Instant)>,
    granted_until_ms: u64,
}

impl LeaseClock {
    /// Records the clock reading of a report that was received at `now`.
    ///
    /// A reading that has advanced by less than 98 % of the time since the last recorded one was
    /// delayed on its way and is ignored.
    pub fn sample(&mut self, clock_ms: u64, now: Instant) {
        let is_current = |(last_ms, at): (u64, Instant)| {
            clock_ms >= last_ms + ms(now.duration_since(at)) * 98 / 100
        };
        if self.sample.is_none_or(is_current) {
            self.sample = Some((clock_ms, now));
        }
    }

    /// Returns whether the worker has ever reported its clock.
    pub fn has_sample(&self) -> bool {
        self.sample.is_some()
    }

    /// Grants a lease of `length`; returns its end on the worker's clock, in milliseconds, or
    /// `None` if the clock is unknown.
    pub fn grant(&mut self, length: Duration, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.sample?;
        let until_ms = clock_ms + ms(now.duration_since(at)) + ms(length);
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Returns whether every granted lease has ended even if the worker's clock runs slow.
    ///
    /// Returns `false` while the clock is unknown.
    pub fn has_expired(&self, now: Instant) -> bool {
        let Some((clock_ms, at)) = self.sample else {
            return false;
        };
        let min_elapsed_ms = ms(now.duration_since(at)) * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000;
        clock_ms + min_elapsed_ms > self.granted_until_ms + EXPIRY_MARGIN_MS
    }
}

fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}
