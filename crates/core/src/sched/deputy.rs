//! An instance that renews leases under a loan while the shard's leader is silent.
//!
//! It starts, stops and acknowledges nothing. What the workers report is discarded: they list the ends
//! again until the leader acknowledges them.

use {
    super::loans::{LentWorker, Loan, LoanRequest, RenewedLease},
    crate::hash::HashMap,
    std::time::{Duration, Instant},
};

/// The number of instances of a failure domain that hold a loan at a time, so that one that is lost
/// together with the link to the leader is not missed.
pub const DEPUTIES: usize = 2;

/// How long the leader must be silent before leases are renewed in its place: five of its heartbeats.
pub const LEADER_SILENCE: Duration = Duration::from_millis(750);

/// The interval at which a worker's lease is renewed, less than a third of its length.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// The time after a call without a reply until the next one.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// The maximum number of calls that are made at once, so that a small instance does not stall.
const MAX_CALLS: usize = 32;

/// How long after a loan was received it is not used any more. The caps end its use earlier; this only
/// ends calls that have no effect.
const MAX_LOAN_USE: Duration = Duration::from_secs(12);

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewalCall {
    /// The worker.
    pub worker: String,
    /// The worker's address.
    pub address: String,
    /// The fencing token.
    pub token: u64,
    /// When the worker's incarnation that the call is for started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// The new end of the lease, in milliseconds on that incarnation's clock; `None` only to learn that
    /// clock and which incarnation answers.
    pub until_ms: Option<u64>,
}

/// What the calls under a loan have done since the leader fell silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RenewalCounts {
    /// Calls that renewed a lease.
    pub renewals: u64,
    /// Calls that asked for the clock.
    pub probes: u64,
    /// Workers whose lease is not renewed any more, since they have restarted or refused.
    pub refused: u64,
}

/// The state of the deputy of one shard's leader.
#[derive(Debug, Default)]
pub struct Deputy {
    /// The fencing token of the leadership that has issued the loan.
    token: u64,
    /// The number of the newest loan of that leadership; zero before the first.
    number: u64,
    received_at: Option<Instant>,
    workers: HashMap<String, HeldWorker>,
    /// The highest ends of renewed leases that the leader may not know.
    renewed: HashMap<String, RenewedLease>,
    /// Since when leases are renewed; `None` while the leader is heard.
    active_since: Option<Instant>,
    counts: RenewalCounts,
}

#[derive(Debug)]
struct HeldWorker {
    lent: LentWorker,
    /// The worker's clock, in milliseconds, and when it was received; `None` before the first reply
    /// since the leader fell silent.
    clock: Option<(u64, Instant)>,
    next_call_at: Option<Instant>,
}

impl Deputy {
    /// Adds what this instance holds to a request to the leader with `request.token`.
    pub fn fill_request(&self, request: &mut LoanRequest) {
        if request.token == self.token {
            request.held = self.number;
            request.renewed = self.renewed.values().cloned().collect();
        }
    }

    /// Replaces the loan by one that the leader has sent in reply to `request`.
    pub fn on_loan(&mut self, request: &LoanRequest, loan: Loan, now: Instant) {
        if request.token > self.token {
            *self = Self {
                token: request.token,
                ..Self::default()
            };
        }
        if request.token < self.token {
            return;
        }
        // The leader has recorded these.
        for lease in &request.renewed {
            if self.renewed.get(&lease.worker) == Some(lease) {
                self.renewed.remove(&lease.worker);
            }
        }
        if loan.number <= self.number {
            return;
        }
        self.number = loan.number;
        self.received_at = Some(now);
        let mut previous = std::mem::take(&mut self.workers);
        for lent in loan.workers {
            let same = previous.remove(&lent.worker);
            let same = same.filter(|w| w.lent.started_ms == lent.started_ms);
            let held = HeldWorker {
                clock: same.as_ref().and_then(|w| w.clock),
                next_call_at: same.and_then(|w| w.next_call_at),
                lent,
            };
            self.workers.insert(held.lent.worker.clone(), held);
        }
    }

    /// Gives the loan up, as when another leadership has begun. What was renewed stays known, for the
    /// next request.
    pub fn drop_loan(&mut self) {
        self.workers.clear();
        self.received_at = None;
        self.active_since = None;
    }

    /// Returns the calls that are due, a bounded number at a time.
    ///
    /// `leader_heard_at` is when the leader was last heard, and `newest_token` the highest fencing
    /// token that the lease row is known to have; `lease` is the length of a lease.
    pub fn due_calls(
        &mut self,
        leader_heard_at: Instant,
        newest_token: u64,
        lease: Duration,
        now: Instant,
    ) -> Vec<RenewalCall> {
        let is_over = |at: Instant| now.saturating_duration_since(at) > MAX_LOAN_USE;
        if newest_token > self.token || self.received_at.is_some_and(is_over) {
            self.drop_loan();
        }
        let is_silent = now.saturating_duration_since(leader_heard_at) >= LEADER_SILENCE;
        if !is_silent || self.workers.is_empty() {
            self.active_since = None;
            for held in self.workers.values_mut() {
                held.clock = None;
                held.next_call_at = None;
            }
            return Vec::new();
        }
        if self.active_since.is_none() {
            self.active_since = Some(now);
            self.counts = RenewalCounts::default();
        }
        let due = self.workers.values_mut();
        let due = due.filter(|held| held.next_call_at.is_none_or(|at| at <= now));
        let mut calls = Vec::new();
        for held in due.take(MAX_CALLS) {
            let until_ms = held.next_end(lease, now);
            held.next_call_at = Some(now + RETRY_DELAY);
            match until_ms {
                None => self.counts.probes += 1,
                Some(until_ms) => {
                    self.counts.renewals += 1;
                    held.next_call_at = Some(now + RENEWAL_INTERVAL);
                    let lease = RenewedLease {
                        worker: held.lent.worker.clone(),
                        started_ms: held.lent.started_ms,
                        until_ms,
                    };
                    let renewed = self.renewed.entry(lease.worker.clone());
                    let renewed = renewed.or_insert_with(|| lease.clone());
                    if renewed.started_ms != lease.started_ms || renewed.until_ms < until_ms {
                        *renewed = lease;
                    }
                }
            }
            calls.push(RenewalCall {
                worker: held.lent.worker.clone(),
                address: held.lent.address.clone(),
                token: held.lent.token,
                started_ms: held.lent.started_ms,
                until_ms,
            });
        }
        calls
    }

    /// Records a worker's reply to a call with `token`, which was sent at `sent_at`: the start of its
    /// incarnation and its clock, both in milliseconds.
    pub fn on_report(
        &mut self,
        worker: &str,
        token: u64,
        (started_ms, clock_ms): (u64, u64),
        sent_at: Instant,
        now: Instant,
    ) {
        let Some(held) = self.workers.get_mut(worker) else {
            return;
        };
        if held.lent.token != token || self.active_since.is_none_or(|at| sent_at < at) {
            return;
        }
        if held.lent.started_ms != started_ms {
            self.counts.refused += 1;
            self.workers.remove(worker);
            return;
        }
        if held.clock.is_none() {
            held.next_call_at = None;
        }
        held.clock = Some((clock_ms, now));
    }

    /// Records that a worker has refused a call with `token`, as when it has seen a higher one.
    pub fn on_refusal(&mut self, worker: &str, token: u64) {
        let is_same = |held: &HeldWorker| held.lent.token == token;
        if self.workers.get(worker).is_some_and(is_same) {
            self.counts.refused += 1;
            self.workers.remove(worker);
        }
    }

    /// Returns whether leases are renewed at present.
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Returns the fencing token of the loan, its number, and how many workers it has.
    pub fn loan(&self) -> (u64, u64, usize) {
        (self.token, self.number, self.workers.len())
    }

    /// Returns what the calls have done since the leader fell silent.
    pub fn counts(&self) -> RenewalCounts {
        self.counts
    }
}

impl HeldWorker {
    /// Returns the next lease end; `None` if the worker's clock must be learned first.
    fn next_end(&self, lease: Duration, now: Instant) -> Option<u64> {
        let (clock_ms, received_at) = self.clock?;
        let elapsed = now.saturating_duration_since(received_at);
        let until_ms = clock_ms + (elapsed + lease).as_millis() as u64;
        Some(until_ms.min(self.lent.cap_ms))
    }
}

/// Returns whether an instance is among the [`DEPUTIES`] instances of its failure domain that request
/// loans: those with the most processor time, and then the first by name. `others` has name and share of
/// the others that may.
pub fn is_deputy<'a>(own: (&str, u32), others: impl Iterator<Item = (&'a str, u32)>) -> bool {
    let is_before =
        |(name, share): &(&str, u32)| *share > own.1 || (*share == own.1 && *name < own.0);
    others.filter(is_before).count() < DEPUTIES
}
