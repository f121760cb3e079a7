//! What a shard's leader records about a worker: its resources, reports, clock and leases.

use {
    crate::sched::job::{Resources, TaskName},
    std::time::{Duration, Instant},
};

/// How much slower than real time a worker's clock may run, in thousandths.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// How long after its end a lease still counts as valid, because the worker's own timers may fire
/// late.
const EXPIRY_MARGIN_MS: u64 = 100;

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The worker accepts new tasks.
    Ready,
    /// The worker accepts no new tasks because it is about to leave.
    Draining,
}

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// The worker's name.
    pub id: String,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The address that the worker listens on.
    pub address: String,
    /// The worker's failure domain.
    pub domain: String,
    /// Whether the worker accepts new tasks.
    pub availability: Availability,
    /// The worker's total resources.
    pub capacity: Resources,
    /// The worker's labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// When this incarnation of the worker started, in milliseconds of Unix time; zero if
    /// unknown.
    pub started_ms: u64,
    /// The minimum time until the worker leaves, in milliseconds; `None` if the list gives none.
    pub remaining_ms: Option<u64>,
}

/// An attempt that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: u32,
    /// The latest checkpoint, empty if none.
    pub checkpoint: String,
    /// The progress, in percent; for a serving task, the progress of its startup.
    pub percent: f64,
    /// For a serving task, its tail latency in milliseconds; for any other task, the CPU that it
    /// uses, in thousandths of a core. `None` if not measured.
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
    /// Another task of its gang ended.
    Broken,
    /// The other tasks of its gang did not start.
    Alone,
}

/// An attempt that a worker reports as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRow {
    /// The sequence number of the entry, starting at one in each incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the attempt.
    pub attempt: u32,
    /// Why the attempt ended.
    pub reason: EndReason,
    /// The last checkpoint, empty if none.
    pub checkpoint: String,
}

/// A worker's report of its running and ended attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// When this incarnation of the worker started, in milliseconds of Unix time; zero if not
    /// reported.
    pub started_ms: u64,
    /// The reading of the worker's clock, in milliseconds.
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
    /// An equal or newer attempt of the task has already ended on the worker.
    Old,
    /// The lease in the command had already expired.
    Late,
    /// The worker's free resources are too small.
    Full,
    /// The start command lacks a valid approval.
    Unapproved,
    /// Another worker listens at the address now, by its own words.
    Reborn,
    /// The worker has restarted: another process answers than the one that the command is for. The command
    /// was not sent, or was refused for its token.
    OtherProcess,
    /// No connection could be made, so the command was not sent.
    Unsent,
    /// The worker is unhealthy and did not carry out the command.
    Unhealthy,
    /// The worker rejected the command as invalid.
    Refused,
    /// There was no reply; the command may still be carried out.
    Silent,
}

/// What is still to show that a worker's process refuses calls for its former process and calls of earlier
/// leaders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Unfenced {
    /// The first report, since it is requested with a token that the process has not seen before.
    #[default]
    UntilFirstReport,
    /// The first report that is requested after this time, with such a token.
    UntilReportSentAfter(Instant),
    /// Nothing can show it, since the leader has no higher token.
    ForGood,
    /// Nothing, since it is shown.
    No,
}

/// An estimate of the clock of a worker's process from its reports, and the latest end of the leases
/// that the process may have.
///
/// The clock of each process of a worker begins anew. A call that was meant for the former process, or
/// that an earlier leader sent, may set a lease of up to the maximum length. Once the process has
/// received a higher fencing token, it refuses such calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseClock {
    /// The last recorded clock reading, in milliseconds, and when it was received.
    sample: Option<(u64, Instant)>,
    /// The latest end of a granted lease, on the worker's clock.
    granted_until_ms: u64,
    /// The latest end to which another instance may still renew a lease under a loan; zero if none may.
    lent_until_ms: u64,
    /// By how much leases may end after `granted_until_ms`, in milliseconds, since the process may still
    /// carry out calls for the former one; zero if it refuses them.
    unfenced_ms: u64,
    /// What is still to show that it refuses them.
    unfenced: Unfenced,
    /// When a report after a restart has shown that it refuses them; `None` if none has.
    fenced_at: Option<Instant>,
}

impl LeaseClock {
    /// Creates the state of a process whose first report, which arrived at `now`, shows that the worker
    /// has restarted. Its leases last at most `max_lease`. The leader calls it with a higher token from now
    /// on, unless it has none left.
    pub fn after_restart(max_lease: Duration, has_higher_token: bool, now: Instant) -> Self {
        Self {
            unfenced_ms: ms(max_lease),
            unfenced: if has_higher_token {
                Unfenced::UntilReportSentAfter(now)
            } else {
                Unfenced::ForGood
            },
            ..Self::default()
        }
    }

    /// Records the clock reading of a report of the process, which was requested at `sent_at` and arrived
    /// at `now`. Leases last at most `max_lease`.
    pub fn on_report(
        &mut self,
        clock_ms: u64,
        sent_at: Instant,
        now: Instant,
        max_lease: Duration,
    ) {
        let is_fenced = match self.unfenced {
            Unfenced::UntilFirstReport => true,
            Unfenced::UntilReportSentAfter(restarted_at) => sent_at > restarted_at,
            Unfenced::ForGood | Unfenced::No => false,
        };
        if is_fenced {
            if self.unfenced != Unfenced::UntilFirstReport {
                self.fenced_at = Some(now);
            }
            self.unfenced = Unfenced::No;
            self.unfenced_ms = 0;
            self.record_grant(clock_ms.saturating_add(ms(max_lease)));
        }
        // Without a grant, leases count from the reading on.
        self.record_grant(clock_ms);
        self.sample(clock_ms, now);
    }

    /// Records a clock reading that was received at `now`.
    ///
    /// A reading that has advanced by less than 98 % of the time since the last recorded one is
    /// ignored, because its report was delayed on the way.
    fn sample(&mut self, clock_ms: u64, now: Instant) {
        let is_current = |(last_ms, received_at): (u64, Instant)| {
            clock_ms >= last_ms.saturating_add(ms(now.duration_since(received_at)) * 98 / 100)
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
    /// `None` if the worker has not reported its clock.
    pub fn grant(&mut self, length: Duration, now: Instant) -> Option<u64> {
        let (clock_ms, received_at) = self.sample?;
        let ahead = now.duration_since(received_at) + length;
        let until_ms = clock_ms.saturating_add(ms(ahead));
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Returns the end of a lease of `length` on the worker's clock, in milliseconds, without a grant;
    /// `None` if the worker has not reported its clock.
    pub fn end_of(&self, length: Duration, now: Instant) -> Option<u64> {
        let (clock_ms, received_at) = self.sample?;
        let ahead = now.duration_since(received_at) + length;
        Some(clock_ms.saturating_add(ms(ahead)))
    }

    /// Records that leases up to `until_ms` on the worker's clock may have been granted.
    pub fn record_grant(&mut self, until_ms: u64) {
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
    }

    /// Sets the latest end to which another instance may still renew a lease, in milliseconds on the
    /// worker's clock; zero if none may.
    pub fn set_lent_until(&mut self, until_ms: u64) {
        self.lent_until_ms = until_ms;
    }

    /// Returns whether a report requested with a higher token is awaited after a restart.
    pub fn awaits_fence(&self) -> bool {
        matches!(self.unfenced, Unfenced::UntilReportSentAfter(_))
    }

    /// Returns whether tasks may start on the process, of a leader that the store has confirmed by a call
    /// sent at `confirmed_at`.
    ///
    /// A successor whose lease row was written before the process refused other calls would not wait for
    /// the leases that these may have set.
    pub fn is_settled(&self, confirmed_at: Instant) -> bool {
        !self.awaits_fence() && self.fenced_at.is_none_or(|at| at < confirmed_at)
    }

    /// Returns the earliest present reading of the worker's clock, and the reading until which leases may
    /// last, both in milliseconds; `None` if the worker has not reported its clock.
    pub fn lease_bounds(&self, now: Instant) -> Option<(u64, u64)> {
        let (clock_ms, received_at) = self.sample?;
        let min_elapsed_ms =
            ms(now.duration_since(received_at)) * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000;
        let granted_ms = self.granted_until_ms.max(self.lent_until_ms);
        let until_ms = granted_ms.saturating_add(self.unfenced_ms);
        Some((clock_ms.saturating_add(min_elapsed_ms), until_ms))
    }

    /// Returns the time from `now` on after which every granted lease has certainly ended, even if the
    /// worker's clock runs slow; `None` if the worker has not reported its clock.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let (clock_ms, until_ms) = self.lease_bounds(now)?;
        let end_ms = until_ms.saturating_add(EXPIRY_MARGIN_MS + 1);
        let on_clock_ms = end_ms.saturating_sub(clock_ms);
        let ms = on_clock_ms.saturating_mul(1_000) / (1_000 - CLOCK_DRIFT_PER_MILLE) + 1;
        Some(Duration::from_millis(ms))
    }

    /// Returns whether every granted lease has certainly ended, even if the worker's clock runs
    /// slow.
    ///
    /// Returns `false` if the worker has not reported its clock.
    pub fn has_expired(&self, now: Instant) -> bool {
        let bounds = self.lease_bounds(now);
        bounds.is_some_and(|(clock_ms, until_ms)| {
            clock_ms > until_ms.saturating_add(EXPIRY_MARGIN_MS)
        })
    }
}

fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}
