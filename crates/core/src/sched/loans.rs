//! Loans: the right, lent by a shard's leader to an instance of a failure domain, to renew the leases
//! of the domain's workers up to a fixed end.
//!
//! A loan names for each worker a *cap*, an absolute lease end on the worker's own clock. Whatever the
//! holder's clock, pauses and late calls do, no lease that it renews ends after the cap. So the leader
//! counts the cap as granted as long as a loan may be used, and starts nothing elsewhere before.
//!
//! A worker that the leader misses is left out of the next loan. The holder's next request names the
//! loan that it holds; lower numbers are then certainly dropped, and the request has the ends of all
//! leases that the holder has renewed. From then on only these count.

use {
    crate::hash::HashMap,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// The maximum length of a loan: a cut of 6 s, the age of the loan when the cut begins (0.9 s), and the
/// time that the leader needs afterwards to reach the workers again (2 s).
pub const MAX_LOAN: Duration = Duration::from_secs(9);

/// The minimum value of the maximum lease for which leases are lent: a shorter loan would not outlast
/// the cuts that it is for.
pub const MIN_MAX_LEASE: Duration = Duration::from_secs(8);

/// How long after a loan was issued all its caps have passed: [`MAX_LOAN`] on a clock that is 2% slow,
/// the error of the clock's estimate (under 0.1 s) and a margin.
const MAX_LOAN_AGE: Duration = Duration::from_millis(9_800);

/// The maximum number of loans of one holder that may be in use. With a request each 0.8 s of which no
/// reply arrives, the oldest has expired before.
const MAX_LOANS: usize = 14;

/// The maximum number of holders of one failure domain. Instances that choose different deputies for
/// a while, as after a restart, add to the two that are wanted.
const MAX_HOLDERS: usize = 4;

/// A request for a loan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoanRequest {
    /// The shard.
    pub shard: String,
    /// The fencing token of the leadership from which the loan is requested.
    pub token: u64,
    /// The name of the instance that requests the loan.
    pub holder: String,
    /// The incarnation of that instance.
    pub incarnation: u64,
    /// The failure domain of that instance.
    pub domain: String,
    /// The highest number of a loan of this leadership that the holder has received, all lower ones
    /// being dropped; zero if none.
    pub held: u64,
    /// The leases that the holder has renewed under loans of this leadership, unless an answered
    /// request had the same entry.
    pub renewed: Vec<RenewedLease>,
}

/// The highest end to which the holder of loans has renewed the lease of a worker, also by calls without
/// a reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewedLease {
    /// The worker.
    pub worker: String,
    /// When the incarnation of the worker started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// The end, in milliseconds on the worker's clock.
    pub until_ms: u64,
}

/// A loan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loan {
    /// The number of the loan, unique in the leadership and higher than those of earlier loans.
    pub number: u64,
    /// The workers whose leases may be renewed.
    pub workers: Vec<LentWorker>,
}

/// A worker of a loan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LentWorker {
    /// The worker's name.
    pub worker: String,
    /// The worker's address.
    pub address: String,
    /// The leader's fencing token for the worker.
    pub token: u64,
    /// When the incarnation of the worker started, in milliseconds of Unix time. No other incarnation's
    /// lease may be renewed.
    pub started_ms: u64,
    /// The latest end to which the lease may be renewed, in milliseconds on the worker's clock.
    pub cap_ms: u64,
}

/// The loans of one leadership that may still be in use.
#[derive(Debug, Default)]
pub struct LoanLedger {
    last_number: u64,
    /// By name and incarnation of the holder.
    holders: HashMap<(String, u64), Holder>,
}

#[derive(Debug, Default)]
struct Holder {
    domain: String,
    loans: Vec<IssuedLoan>,
}

#[derive(Debug)]
struct IssuedLoan {
    number: u64,
    issued_at: Instant,
    /// By worker: the start of its incarnation and the cap.
    caps: HashMap<String, (u64, u64)>,
}

impl LoanLedger {
    /// Removes the loans that the sender of a request has dropped, and those of all holders whose caps
    /// have passed. Returns the workers of the removed loans.
    pub fn prune(&mut self, request: &LoanRequest, now: Instant) -> Vec<String> {
        let key = (request.holder.clone(), request.incarnation);
        let held = request.held.min(self.last_number);
        let mut workers = Vec::new();
        for (holder, Holder { loans, .. }) in &mut self.holders {
            let has_passed = |loan: &IssuedLoan| now.duration_since(loan.issued_at) > MAX_LOAN_AGE;
            loans.retain(|loan| {
                let is_dropped = *holder == key && loan.number < held;
                if is_dropped || has_passed(loan) {
                    workers.extend(loan.caps.keys().cloned());
                    return false;
                }
                true
            });
        }
        self.holders.retain(|_, holder| !holder.loans.is_empty());
        workers
    }

    /// Adds a loan of `workers` to the sender of a request; `None` if too many may be in use.
    pub fn issue(
        &mut self,
        request: &LoanRequest,
        workers: Vec<LentWorker>,
        now: Instant,
    ) -> Option<Loan> {
        let key = (request.holder.clone(), request.incarnation);
        let in_domain = self.holders.iter();
        let others = in_domain.filter(|(k, holder)| **k != key && holder.domain == request.domain);
        let has_room = others.count() < MAX_HOLDERS
            && self
                .holders
                .get(&key)
                .is_none_or(|h| h.loans.len() < MAX_LOANS);
        if !has_room {
            return None;
        }
        self.last_number += 1;
        let holder = self.holders.entry(key).or_default();
        holder.domain.clone_from(&request.domain);
        let caps = workers.iter();
        let caps = caps.map(|w| (w.worker.clone(), (w.started_ms, w.cap_ms)));
        holder.loans.push(IssuedLoan {
            number: self.last_number,
            issued_at: now,
            caps: caps.collect(),
        });
        Some(Loan {
            number: self.last_number,
            workers,
        })
    }

    /// Returns the highest cap of a worker's incarnation in the loans that may be in use; zero if there
    /// is none.
    pub fn cap_ms(&self, worker: &str, started_ms: u64) -> u64 {
        let loans = self.holders.values().flat_map(|holder| &holder.loans);
        let caps = loans.filter_map(|loan| loan.caps.get(worker));
        let caps = caps.filter(|(started, _)| *started == started_ms);
        caps.map(|(_, cap_ms)| *cap_ms).max().unwrap_or(0)
    }

    /// Returns how many loans may be in use.
    pub fn len(&self) -> usize {
        self.holders.values().map(|holder| holder.loans.len()).sum()
    }

    /// Returns whether no loan may be in use.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
