//! Loans of the right to renew leases; see [`loans`](crate::sched::loans).

use {
    super::state::{Shard, Worker},
    crate::sched::loans::{LentWorker, Loan, LoanRequest, MAX_LOAN},
    std::time::{Duration, Instant},
};

impl Shard {
    /// Records what an instance has done under earlier loans, and lends it the right to renew the
    /// leases of the workers of its failure domain.
    ///
    /// Workers that are unresponsive are left out, so that their leases are not renewed for longer than
    /// this leader would. Returns `None` if `may_lend` is false, leases are not lent, or the request is
    /// for another leadership.
    pub fn lend(&mut self, request: &LoanRequest, may_lend: bool, now: Instant) -> Option<Loan> {
        if request.token != self.token {
            return None;
        }
        for lease in &request.renewed {
            let worker = self.workers.get_mut(&lease.worker);
            if let Some(worker) = worker.filter(|w| w.info.started_ms == lease.started_ms) {
                worker.clock.record_grant(lease.until_ms);
            }
        }
        let mut changed = self.loans.prune(request, now);
        let length = self.params.max_lease.min(MAX_LOAN);
        let may_lend = may_lend && self.params.lends_leases && !self.resigning;
        let loan = may_lend.then(|| self.lent_workers(&request.domain, length, now));
        let loan = loan.and_then(|lent| self.loans.issue(request, lent, now));
        let lent = loan.iter().flat_map(|loan| &loan.workers);
        changed.extend(lent.map(|w| w.worker.clone()));
        for id in changed {
            if let Some(worker) = self.workers.get_mut(&id) {
                let cap_ms = self.loans.cap_ms(&id, worker.info.started_ms);
                worker.clock.set_lent_until(cap_ms);
            }
        }
        loan
    }

    /// Returns the workers of a failure domain that may be lent, each with a cap `length` ahead.
    fn lent_workers(&self, domain: &str, length: Duration, now: Instant) -> Vec<LentWorker> {
        let is_lendable = |worker: &Worker| {
            worker.info.domain == domain
                && worker.is_responsive(now)
                && !worker.is_told_silent
                && worker.connection_lost_at.is_none()
        };
        let workers = self.workers.iter();
        let lendable = workers.filter(|(_, worker)| is_lendable(worker));
        let lent = lendable.filter_map(|(id, worker)| {
            Some(LentWorker {
                worker: id.clone(),
                address: worker.info.address.clone(),
                token: self.worker_token(id),
                started_ms: worker.info.started_ms,
                cap_ms: worker.clock.end_of(length, now)?,
            })
        });
        lent.collect()
    }

    /// Returns how many loans may be in use.
    pub fn loans_in_use(&self) -> usize {
        self.loans.len()
    }
}
