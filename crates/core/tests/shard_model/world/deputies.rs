//! The simulated deputies in the domain `z`, which may be cut off from the leaders.

use {
    super::{Mutant, STEP_MS, World, leaders::worker_index, long_running_spec, network::Message},
    marigoldbend_core::sched::{
        deputy::{Deputy, RenewalCall},
        job::JobId,
        leadership::is_unconfirmed,
        loans::{LentWorker, Loan, LoanRequest},
    },
    rand::RngExt,
    std::time::Duration,
};

/// The maximum duration of a lease on a worker while leases are lent.
pub(super) const LOANED_MAX_LEASE: Duration = Duration::from_secs(10);

/// The time between two requests of a deputy for a loan, in milliseconds.
const REQUEST_MS: u64 = 800;

/// By how much deputies exceed the cap of a loan if they ignore it, in milliseconds.
const IGNORED_CAP_MS: u64 = 8_000;

/// A cut between the leaders and the domain of the deputies.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cut {
    from_ms: u64,
    /// When the cut ends; zero if there is none.
    pub(super) until_ms: u64,
    /// Whether messages to the domain are lost.
    to_domain: bool,
    /// Whether messages from the domain are lost.
    from_domain: bool,
}

/// An instance in the domain of some workers.
pub(super) struct SimulatedDeputy {
    index: u64,
    deputy: Deputy,
    /// The token of the newest leader that was heard, and when one was last heard.
    leader: (u64, u64),
    next_request_ms: u64,
    /// The workers of the last loan, only for a mutant.
    last_loan: Vec<LentWorker>,
    /// The deputy does nothing until this time; zero if it was never paused.
    pub(super) paused_until_ms: u64,
}

impl SimulatedDeputy {
    pub(super) fn new(index: u64) -> Self {
        Self {
            index,
            deputy: Deputy::default(),
            leader: (0, 0),
            next_request_ms: 0,
            last_loan: Vec::new(),
            paused_until_ms: 0,
        }
    }
}

/// Returns the failure domain of a worker.
pub(super) fn worker_domain(index: usize) -> &'static str {
    if index < 2 { "z" } else { "y" }
}

impl World {
    /// Returns whether messages from the leaders to a worker are lost.
    pub(super) fn is_cut_to(&self, worker_index: usize) -> bool {
        worker_domain(worker_index) == "z" && self.cut.to_domain && self.is_cut()
    }

    /// Returns whether messages from a worker to the leaders are lost.
    pub(super) fn is_cut_from(&self, worker_index: usize) -> bool {
        worker_domain(worker_index) == "z" && self.cut.from_domain && self.is_cut()
    }

    fn is_cut(&self) -> bool {
        self.cut.from_ms <= self.now_ms && self.now_ms < self.cut.until_ms
    }

    /// Runs long-running jobs through a cut both ways of `cut_ms`, which begins 3 s after their start.
    pub fn run_through_cut(&mut self, cut_ms: u64) {
        for _ in 0..3 {
            let id = JobId(self.jobs.len() as u64 + 1);
            self.jobs.push((id, long_running_spec(self.lease_token, 2)));
        }
        let from_ms = self.now_ms + 3_000;
        self.cut = Cut {
            from_ms,
            until_ms: from_ms + cut_ms,
            to_domain: true,
            from_domain: true,
        };
        while self.violation.is_none() && self.now_ms < self.cut.until_ms + 5_000 {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    /// Begins a cut or a pause of a deputy, each with a small probability.
    pub(super) fn inject_cuts(&mut self) {
        if self.cut.until_ms <= self.now_ms && self.chance_per_mille(2) {
            let ways = self.rng.random_range(0..4);
            // The link to one worker may fail before the others, and return after them.
            let is_early = self.chance_per_mille(500);
            let early_ms = if is_early { 2_000..3_500 } else { 0..1 };
            let from_ms = self.now_ms + self.rng.random_range(early_ms);
            self.cut = Cut {
                from_ms,
                until_ms: from_ms + self.rng.random_range(1_000..9_000),
                to_domain: ways != 1,
                from_domain: ways != 2,
            };
            if is_early {
                let until_ms = self.cut.until_ms + self.rng.random_range(0..5_000);
                let worker = self.rng.random_range(0..2);
                let unreachable = &mut self.workers[worker].unreachable_until_ms;
                unreachable.insert(self.lease_token, until_ms);
            }
        }
        if self.chance_per_mille(1) {
            let pause_ms = self.rng.random_range(300..6_000);
            let i = self.rng.random_range(0..self.deputies.len());
            self.deputies[i].paused_until_ms = self.now_ms + pause_ms;
        }
    }

    /// Lets a deputy do the work of one step, unless it is paused.
    pub(super) fn run_deputy(&mut self, i: usize) {
        if self.deputies[i].paused_until_ms > self.now_ms {
            return;
        }
        let now = self.instant_at(self.now_ms);
        let is_heard = !self.is_cut() || !self.cut.to_domain;
        let now_ms = self.now_ms;
        let speaking = self
            .leaders
            .iter()
            .filter(|l| l.alive && l.restoring.is_none() && l.paused_until_ms <= now_ms);
        if is_heard && let Some(token) = speaking.map(|l| l.token).max() {
            let leader = &mut self.deputies[i].leader;
            if token >= leader.0 {
                *leader = (token, now_ms);
            }
        }
        let heard_at = self.instant_at(self.deputies[i].leader.1);
        let simulated = &mut self.deputies[i];
        let newest_token = simulated.leader.0;
        let lease = Duration::from_secs(4);
        let calls = simulated
            .deputy
            .due_calls(heard_at, newest_token, lease, now);
        let mut request = None;
        if simulated.next_request_ms <= now_ms && newest_token > 0 {
            simulated.next_request_ms = now_ms + REQUEST_MS;
            let mut new = LoanRequest {
                shard: "all".to_owned(),
                token: newest_token,
                holder: format!("d{}", simulated.index),
                incarnation: 1,
                domain: "z".to_owned(),
                ..LoanRequest::default()
            };
            simulated.deputy.fill_request(&mut new);
            request = Some(new);
        }
        if let Some(request) = request {
            self.send(Message::LoanRequest(i, request), true);
        }
        for call in calls {
            self.send(Message::RenewalCall(i, call, now_ms), true);
        }
    }

    /// Answers a deputy's request at the leader.
    pub(super) fn handle_loan_request(&mut self, deputy: usize, mut request: LoanRequest) {
        if self.is_cut() && self.cut.from_domain {
            return;
        }
        let now = self.instant_at(self.now_ms);
        match self.mutant {
            Mutant::ForgetLoans => request.held = u64::MAX,
            Mutant::HideRenewals => request.renewed.clear(),
            _ => {}
        }
        let Some(leader) = self.active_leader(request.token) else {
            return;
        };
        if leader.restoring.is_some() {
            return;
        }
        let is_late = is_unconfirmed(leader.shard.confirmed_at(), true, now);
        let may_lend = !is_late;
        if let Some(loan) = leader.shard.lend(&request, may_lend, now) {
            self.send(Message::Loan(deputy, request, loan), true);
        }
    }

    /// Passes a loan to a deputy.
    pub(super) fn handle_loan(&mut self, deputy: usize, request: &LoanRequest, mut loan: Loan) {
        let paused_until_ms = self.deputies[deputy].paused_until_ms;
        if paused_until_ms > self.now_ms {
            let message = Message::Loan(deputy, request.clone(), loan);
            return self.messages.push((paused_until_ms, message));
        }
        if self.is_cut() && self.cut.to_domain {
            return;
        }
        if self.mutant == Mutant::IgnoreCaps {
            let workers = loan.workers.iter_mut();
            workers.for_each(|w| w.cap_ms += IGNORED_CAP_MS);
        }
        if self.mutant == Mutant::KeepOldLoans {
            // The number of the loan tells the leader that the earlier one is dropped.
            let is_left_out =
                |w: &LentWorker| !loan.workers.iter().any(|lent| lent.worker == w.worker);
            let last_loan = std::mem::take(&mut self.deputies[deputy].last_loan);
            let kept: Vec<_> = last_loan.into_iter().filter(is_left_out).collect();
            loan.workers.extend(kept);
            self.deputies[deputy].last_loan.clone_from(&loan.workers);
        }
        let now = self.instant_at(self.now_ms);
        self.deputies[deputy].deputy.on_loan(request, loan, now);
    }

    /// Carries out a deputy's call at a worker, which is never cut off from it.
    pub(super) fn handle_renewal(&mut self, deputy: usize, call: RenewalCall, sent_ms: u64) {
        let worker_index = worker_index(&call.worker);
        let is_fencing = self.mutant != Mutant::NoFencing;
        let max_lease = self.max_lease();
        let worker = &mut self.workers[worker_index];
        if !worker.up {
            return;
        }
        let reply = if is_fencing && call.token < worker.highest_token {
            None
        } else {
            worker.highest_token = worker.highest_token.max(call.token);
            if let Some(until_ms) = call.until_ms {
                worker.renew(until_ms, max_lease, self.now_ms);
            }
            Some((worker.started_ms, worker.clock.reading_ms(self.now_ms)))
        };
        self.send(Message::RenewalReply(deputy, call, sent_ms, reply), true);
    }

    /// Passes a worker's reply to a deputy.
    pub(super) fn handle_renewal_reply(
        &mut self,
        deputy: usize,
        call: &RenewalCall,
        sent_ms: u64,
        reply: Option<(u64, u64)>,
    ) {
        let (now, sent_at) = (self.instant_at(self.now_ms), self.instant_at(sent_ms));
        let deputy = &mut self.deputies[deputy].deputy;
        let Some((started_ms, clock_ms)) = reply else {
            return deputy.on_refusal(&call.worker, call.token);
        };
        let report = (started_ms, clock_ms);
        deputy.on_report(&call.worker, call.token, report, sent_at, now);
    }
}
