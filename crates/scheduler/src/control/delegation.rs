//! Loans of the right to renew leases: a leader lends, and the deputies of each failure domain request
//! loans and use them while the leader is silent.

use {
    super::*,
    crate::renewal::{RenewalResult, renew},
    marigoldbend_core::sched::{
        deputy::{Deputy, RenewalCall, is_deputy},
        leadership::PEER_TIMEOUT,
        loans::{Loan, LoanRequest, MIN_MAX_LEASE},
    },
    marigoldbend_peer::{
        call::{Call, Reply},
        link::Link,
    },
};

/// The interval at which a deputy requests a loan: an unresponsive worker is certainly not lent any more
/// two requests after it was missed (1.7 s), before the lease that the leader has granted ends (4 s).
const REQUEST_INTERVAL: Duration = Duration::from_millis(800);

/// The time limit of a request for a loan.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// How long after its last heartbeat a peer counts among the possible successors, all of which must wait
/// for loans.
const SUCCESSOR_WINDOW: Duration = Duration::from_secs(30);

/// The state of this instance as a deputy, and what it needs as a leader that lends.
#[derive(Default)]
pub(super) struct Delegation {
    /// The maximum duration of a lease while leases were lent; `None` if they never were since the start.
    /// Loans of earlier leaders may be in use after the setting has changed, so it is kept.
    pub(super) max_lease: Option<Duration>,
    /// The holders to which this instance has lent, for the log.
    logged_holders: HashSet<(String, u64)>,
    deputy: Deputy,
    requested_at: Option<Instant>,
    /// Whether a request has no reply yet.
    is_requesting: bool,
    link: Option<Arc<Link>>,
    /// The connections to workers, by address; empty while the leader is heard.
    pools: HashMap<String, Arc<ConnectionPool>>,
    was_active: bool,
}

impl Control {
    /// Returns whether leases are lent under the current settings.
    pub(super) fn lends_leases(&self) -> bool {
        self.settings.features.delegated_renewal && self.settings.max_lease >= MIN_MAX_LEASE
    }

    /// Applies the settings to the limits that take loans of earlier leaders into account.
    pub(super) fn update_delegation(&mut self) {
        if self.lends_leases() {
            self.delegation.max_lease =
                self.delegation.max_lease.max(Some(self.settings.max_lease));
        }
    }

    /// Answers a deputy's request; `None` if this instance lends nothing.
    ///
    /// It lends only while each instance that may succeed it waits for loans, and while it need not resign:
    /// a leader that resumes after a pause handles waiting requests before it resigns.
    pub(super) fn lend(&mut self, request: &LoanRequest, now: Instant) -> Option<Loan> {
        let may_succeed = |p: &&Peer| {
            p.last_heard
                .is_some_and(|at| now.saturating_duration_since(at) < SUCCESSOR_WINDOW)
        };
        let all_wait = self
            .peers
            .values()
            .filter(may_succeed)
            .all(|p| p.waits_for_loans);
        let in_minority = is_minority(&self.peer_views, now);
        let lends = self.lends_leases() && all_wait;
        let leader = self.led_shards.get_mut(&request.shard)?;
        let is_confirmed = !is_unconfirmed(leader.shard.confirmed_at(), in_minority, now);
        let loan = leader.shard.lend(request, lends && is_confirmed, now);
        let result = if loan.is_some() { "lent" } else { "not_lent" };
        self.metrics.loans.with_label_values(&[result]).inc();
        if !request.renewed.is_empty() {
            log::info!(
                "lead: shard={} holder={} has renewed the leases of {} workers, returned up to loan={}.",
                request.shard,
                request.holder,
                request.renewed.len(),
                request.held
            );
        }
        let holder = (request.holder.clone(), request.incarnation);
        if let Some(loan) = &loan
            && self.delegation.logged_holders.insert(holder)
        {
            log::info!(
                "lead: shard={} lends leases to holder={} failure_domain={} loan={} workers={} in_use={}.",
                request.shard,
                request.holder,
                request.domain,
                loan.number,
                loan.workers.len(),
                leader.shard.loans_in_use()
            );
        }
        loan
    }

    /// Requests a loan if this instance is a deputy, and renews leases while the leader is silent.
    pub(super) fn run_deputy(&mut self, now: Instant) {
        let shard = self.settings.shard_of(&self.settings.domain);
        let shard = shard.unwrap_or_default().to_owned();
        let Some(leadership) = self.leadership.get(&shard) else {
            return;
        };
        let newest_token = leadership.newest_token();
        let view = leadership.view.clone();
        let leads = self.led_shards.contains_key(&shard) || self.restoring.contains_key(&shard);
        if !self.lends_leases() || leads || self.shutting_down {
            self.delegation.deputy.drop_loan();
        }
        let Some(view) = view.filter(|_| self.lends_leases() && !leads) else {
            return self.log_deputy(&shard, "it leads or lends nothing");
        };
        let lease = self.params().lease;
        // A leader that has resigned sends heartbeats that don't name it, and is silent as a leader.
        let heard_at = view.last_heard;
        let calls = self
            .delegation
            .deputy
            .due_calls(heard_at, newest_token, lease, now);
        self.log_deputy(&shard, "the leader is heard, or the loan is over");
        for call in calls {
            self.send_renewal(call, now);
        }
        if now.saturating_duration_since(view.last_heard) < PEER_TIMEOUT {
            self.request_loan(&shard, &view, now);
        }
    }

    /// Logs when this instance begins or ceases to renew leases; `reason` is for the latter.
    fn log_deputy(&mut self, shard: &str, reason: &str) {
        let delegation = &mut self.delegation;
        let is_active = delegation.deputy.is_active();
        if is_active == std::mem::replace(&mut delegation.was_active, is_active) {
            return;
        }
        let (token, number, workers) = delegation.deputy.loan();
        if is_active {
            return log::info!(
                "deputy: shard={shard} the leader is silent, renewing leases: token={token} loan={number} workers={workers}."
            );
        }
        delegation.pools.clear();
        let counts = delegation.deputy.counts();
        log::info!(
            "deputy: shard={shard} renews no leases any more, {reason}: loan={number} renewals={} probes={} refused={}.",
            counts.renewals,
            counts.probes,
            counts.refused
        );
    }

    /// Requests a loan from the leader if one is due and this instance is a deputy.
    fn request_loan(&mut self, shard: &str, leader: &LeaderView, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REQUEST_INTERVAL;
        if self.delegation.is_requesting || self.delegation.requested_at.is_some_and(is_recent) {
            return;
        }
        if !self
            .peers
            .get(&leader.name)
            .is_some_and(|p| p.waits_for_loans)
        {
            return;
        }
        let others = self.peer_views.iter().filter(|(name, p)| {
            p.domain == self.settings.domain
                && **name != leader.name
                && !p.shutting_down
                && now.saturating_duration_since(p.last_heard) < PEER_TIMEOUT
                && self.peers.get(*name).is_some_and(|p| p.waits_for_loans)
        });
        let others = others.map(|(name, p)| (name.as_str(), p.cpu_share));
        if !is_deputy((&self.settings.name, self.settings.cpu_share), others) {
            return;
        }
        let Some(to) = self.address.clone() else {
            return;
        };
        let delegation = &mut self.delegation;
        delegation.requested_at = Some(now);
        delegation.is_requesting = true;
        let mut request = LoanRequest {
            shard: shard.to_owned(),
            token: leader.token,
            holder: self.settings.name.clone(),
            incarnation: self.incarnation,
            domain: self.settings.domain.clone(),
            ..LoanRequest::default()
        };
        delegation.deputy.fill_request(&mut request);
        let link = delegation.link.take();
        let link = link.filter(|link| link.peer() == leader.address);
        let link = link.unwrap_or_else(|| Arc::new(Link::new(leader.address, None)));
        delegation.link = Some(link.clone());
        tokio::spawn(async move {
            let reply = link
                .call(&Call::Loan(request.clone()), REQUEST_TIMEOUT)
                .await;
            let loan = match reply {
                Ok(Reply::Loan(loan)) => loan,
                Ok(_) => None,
                Err(e) => {
                    log::debug!("deputy: no reply to a request for a loan: {e}.");
                    None
                }
            };
            send_event(&to, Event::Loan(request, loan)).await;
        });
    }

    /// Applies the reply to a request for a loan.
    pub(super) fn on_loan(&mut self, request: &LoanRequest, loan: Option<Loan>, now: Instant) {
        let delegation = &mut self.delegation;
        delegation.is_requesting = false;
        if let Some(loan) = loan {
            delegation.deputy.on_loan(request, loan, now);
        }
    }

    /// Sends a call to a worker under a loan; [`Event::Renewal`] delivers the result.
    fn send_renewal(&mut self, call: RenewalCall, now: Instant) {
        let (Some(to), Ok(peer)) = (self.address.clone(), call.address.parse()) else {
            return;
        };
        let pool = self.delegation.pools.entry(call.address.clone());
        let pool = pool.or_insert_with(|| Arc::new(ConnectionPool::new(peer)));
        let pool = pool.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let result = renew(&pool, &call).await;
            let label = match result {
                RenewalResult::Answered(started_ms, _) if started_ms != call.started_ms => {
                    "restarted"
                }
                RenewalResult::Answered(..) if call.until_ms.is_none() => "probe",
                RenewalResult::Answered(..) => "renewed",
                RenewalResult::Refused => "refused",
                RenewalResult::Silent => "silent",
            };
            metrics.deputy_calls.with_label_values(&[label]).inc();
            send_event(&to, Event::Renewal(call, now, result)).await;
        });
    }

    /// Applies a worker's answer to a call of this instance as a deputy, which was sent at `sent_at`.
    pub(super) fn on_renewal(
        &mut self,
        call: &RenewalCall,
        sent_at: Instant,
        result: RenewalResult,
        now: Instant,
    ) {
        let deputy = &mut self.delegation.deputy;
        match result {
            RenewalResult::Answered(started_ms, clock_ms) => {
                let report = (started_ms, clock_ms);
                deputy.on_report(&call.worker, call.token, report, sent_at, now);
            }
            RenewalResult::Refused => deputy.on_refusal(&call.worker, call.token),
            RenewalResult::Silent => {}
        }
    }
}

impl Handler<GetLoan> for Control {
    type Return = Option<Loan>;

    async fn handle(&mut self, request: GetLoan, _: &mut xtra::Context<Self>) -> Option<Loan> {
        let now = self.clock.now();
        self.lend(&request.0, now)
    }
}
