//! Loans of the right to renew leases; see [`loans`](crate::sched::loans).

use {
    super::state::Shard,
    crate::sched::loans::{LentWorker, Loan, LoanRequest, MAX_LOAN},
    std::time::Instant,
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
        let length = self.params.loaned_max_lease.map(|max| max.min(MAX_LOAN));
        let loan = length
            .filter(|_| may_lend && !self.resigning)
            .and_then(|length| {
                let mut lent = Vec::new();
                for (id, worker) in &self.workers {
                    let is_lendable = worker.info.domain == request.domain
                        && worker.is_responsive(now)
                        && worker.connection_lost_at.is_none();
                    let cap_ms = worker.clock.end_of(length, now).filter(|_| is_lendable);
                    if let Some(cap_ms) = cap_ms {
                        lent.push(LentWorker {
                            worker: id.clone(),
                            address: worker.info.address.clone(),
                            token: self.worker_token(id),
                            started_ms: worker.info.started_ms,
                            cap_ms,
                        });
                    }
                }
                self.loans.issue(request, lent, now)
            });
        let lent = loan.iter().flat_map(|loan| &loan.workers);
        changed.extend(lent.map(|w| w.worker.clone()));
        for id in changed {
            if let Some(worker) = self.workers.get_mut(&id) {
                let cap_ms = self.loans.cap_ms(&id, worker.info.started_ms);
                worker.clock.set_lent_until(cap_ms);
                worker.was_lent = true;
            }
        }
        loan
    }

    /// Returns how many loans may be in use.
    pub fn loans_in_use(&self) -> usize {
        self.loans.len()
    }
}
