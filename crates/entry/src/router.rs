//! Routes requests to workers.
//!
//! A request gets a free slot of this instance. If there is none, it is *offered* to a peer, which
//! runs it at once or refuses the offer. If no peer runs it, the request waits in this instance's
//! queue. A request that can't get a slot before its deadline is refused.
//!
//! A non-idempotent request is not sent again once its first byte was sent: if it fails then, the
//! caller receives the outcome "unknown". An idempotent request is retried on another worker. Each
//! such retry takes a token from the service's retry budget.

use {
    crate::{
        convert,
        directory::{Directory, Peer},
        metrics::Metrics,
        pool::{RequestSlot, ServicePool},
    },
    arc_swap::ArcSwap,
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    marigoldbend::{
        caller::{headers::DEADLINE_MS, request::ServiceRequest, response},
        core::{
            config::{MAX_DEADLINE_MS, Service},
            ids::{Incarnation, WorkerId},
        },
        http::body::HttpResponse,
        peer::{
            call::{Call, Offer, Reply},
            link::CallError,
        },
        upstream::{Exchange, ExchangeError},
    },
    rand::RngExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The maximum number of tries of one request.
const MAX_TRIES: usize = 3;

/// The interval at which a request that waits for a token polls the retry budget.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The expected wait in this instance's queue above which a request is offered to peers of other
/// failure domains.
const CROSS_DOMAIN_MIN_WAIT: Duration = Duration::from_millis(20);

/// The time before a request's deadline that is reserved for returning the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// How long after a request's deadline this instance still waits for a peer's reply.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// The result of routing a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The upstream sent a response.
    Answered(Response<Bytes>),
    /// The request was not run, for this reason.
    NotRun(String),
    /// The request was not run because no slot was available in time; the text says why.
    Overloaded(String),
    /// The request may have been run, but there is no response, for this reason.
    Unknown(String),
    /// The request may have been run, but its deadline passed without a response; the text says why
    /// the last try failed.
    DeadlineExceeded(String),
}

impl RequestOutcome {
    /// Returns the outcome's label in the metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) | Self::Overloaded(_) => "not-run",
            Self::Unknown(_) | Self::DeadlineExceeded(_) => "unknown",
        }
    }

    /// Builds the response to the caller.
    pub fn into_response(self) -> HttpResponse {
        match self {
            Self::Answered(response) => convert::to_caller_response(response),
            Self::NotRun(reason) => response::unavailable(&reason),
            Self::Overloaded(reason) => response::too_many_requests(&reason),
            Self::Unknown(reason) => response::outcome_unknown(&reason),
            Self::DeadlineExceeded(reason) => response::deadline_exceeded(&reason),
        }
    }
}

/// A request without an outcome, and the tries so far.
struct PendingRequest<'a> {
    /// The request id, which appears in the log.
    id: &'a str,
    req: &'a ServiceRequest,
    service: &'a Service,
    pool: &'a Arc<ServicePool>,
    deadline: Instant,
    /// Workers on which the request was tried; they are not tried again.
    tried_workers: Vec<WorkerId>,
    /// Peers to which the request was offered; it is not offered to them again.
    offered_to: Vec<Incarnation>,
    /// Why the last try that may have run the request failed; `None` if no try may have run it.
    unknown_reason: Option<String>,
}

/// Where a request is sent next.
enum Destination {
    /// A slot of this instance.
    OwnSlot(RequestSlot),
    /// A peer, which may refuse the offer.
    Peer(Peer),
    /// No slot is available before the deadline; the request ends with this outcome.
    Unavailable(RequestOutcome),
}

/// Routes requests to the workers and peers of the newest directory.
pub struct Router {
    directory: Arc<ArcSwap<Directory>>,
    metrics: Arc<Metrics>,
}

impl Router {
    /// Creates a router; the control thread replaces the contents of `directory` while the instance
    /// runs.
    pub fn new(directory: Arc<ArcSwap<Directory>>, metrics: Arc<Metrics>) -> Self {
        Self { directory, metrics }
    }

    /// Returns the newest directory.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Tries a request until there is a response or no further try is possible.
    pub async fn route(&self, id: &str, req: &ServiceRequest) -> RequestOutcome {
        let arrived = Instant::now();
        let directory = self.directory();
        let Some(config) = &directory.config else {
            return RequestOutcome::NotRun("the instance has no configuration yet".to_owned());
        };
        let service_and_pool = (
            config.config.services.get(&req.service),
            directory.pools.get(&req.service),
        );
        let (Some(service), Some(pool)) = service_and_pool else {
            return RequestOutcome::NotRun(format!("service {:?} has no workers yet", req.service));
        };
        let max_deadline = Duration::from_millis(MAX_DEADLINE_MS);
        let time_limit = req
            .deadline
            .unwrap_or(Duration::from_millis(service.deadline_ms));
        let mut pending = PendingRequest {
            id,
            req,
            service,
            pool,
            deadline: arrived + time_limit.min(max_deadline),
            tried_workers: Vec::new(),
            offered_to: Vec::new(),
            unknown_reason: None,
        };
        pool.retry_budget.record_try();
        let outcome = self.try_until_done(&directory, &mut pending).await;
        self.metrics
            .requests
            .with_label_values(&[outcome.label()])
            .inc();
        self.metrics
            .latency
            .observe(arrived.elapsed().as_secs_f64());
        outcome
    }

    /// Tries a request up to [`MAX_TRIES`] times; returns its outcome.
    async fn try_until_done(
        &self,
        directory: &Directory,
        pending: &mut PendingRequest<'_>,
    ) -> RequestOutcome {
        for i in 0..MAX_TRIES {
            let outcome = loop {
                match self.next_destination(directory, pending).await {
                    Destination::OwnSlot(slot) => break self.run_on_own_slot(pending, slot).await,
                    Destination::Peer(peer) => {
                        if let Some(outcome) = self.offer(pending, &peer).await {
                            break outcome;
                        }
                    }
                    Destination::Unavailable(outcome) => return outcome,
                }
            };
            let (reason, may_have_run) = match outcome {
                RequestOutcome::Answered(_) => return outcome,
                RequestOutcome::NotRun(reason) | RequestOutcome::Overloaded(reason) => {
                    (reason, false)
                }
                RequestOutcome::Unknown(reason) => (reason, true),
                RequestOutcome::DeadlineExceeded(_) => return outcome,
            };
            if may_have_run {
                pending.unknown_reason = Some(reason);
                if !pending.req.is_idempotent() {
                    break;
                }
            }
            let is_last = i + 1 == MAX_TRIES || Instant::now() >= pending.deadline;
            // A try that certainly did not run added no load, so its retry needs no token.
            let may_retry = !is_last && (!may_have_run || wait_for_token(pending).await);
            log::info!(
                "route: request={} try={} token={may_retry} last={is_last} left_ms={}.",
                pending.id,
                i + 1,
                pending
                    .deadline
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
            );
            if !may_retry {
                break;
            }
            self.metrics.retries.inc();
        }
        final_outcome(pending, "the request could not be sent to a worker")
    }

    /// Chooses where a request is sent next, and waits in the queue if no slot is free.
    async fn next_destination(
        &self,
        directory: &Directory,
        pending: &mut PendingRequest<'_>,
    ) -> Destination {
        let now = Instant::now();
        if let Some(slot) = pending.pool.try_acquire(now, &pending.tried_workers) {
            return Destination::OwnSlot(slot);
        }
        let wait = pending.pool.expected_wait(now);
        // An instance without slots can't queue the request, so it may offer the request to every
        // peer of its failure domain.
        let max_offers = match pending.pool.slots(now) {
            0 => directory.same_domain.len(),
            _ => 1,
        };
        if let Some(peer) = pick_peer(&directory.same_domain, pending, max_offers) {
            return Destination::Peer(peer);
        }
        if wait > CROSS_DOMAIN_MIN_WAIT
            && let Some(peer) = pick_peer(&directory.other_domains, pending, max_offers + 1)
        {
            return Destination::Peer(peer);
        }
        if wait == Duration::MAX
            && let Some(slot) = pending.pool.try_acquire_any(now, &pending.tried_workers)
        {
            return Destination::OwnSlot(slot);
        }
        let remaining = pending.deadline.saturating_duration_since(now);
        if wait.saturating_add(RESPONSE_MARGIN) >= remaining {
            return Destination::Unavailable(final_outcome(
                pending,
                "no slot is expected to be free before the deadline",
            ));
        }
        let queue_deadline = pending.deadline - RESPONSE_MARGIN;
        match pending
            .pool
            .wait_for_slot(queue_deadline, pending.service.queue)
            .await
        {
            Some(slot) => Destination::OwnSlot(slot),
            None => Destination::Unavailable(final_outcome(
                pending,
                "the queue is full or no slot became free in time",
            )),
        }
    }

    async fn run_on_own_slot(
        &self,
        pending: &mut PendingRequest<'_>,
        slot: RequestSlot,
    ) -> RequestOutcome {
        let worker = slot.worker.id;
        log::info!(
            "route: request={} service={} worker={worker} epoch={} why={} try={}.",
            pending.id,
            pending.req.service,
            slot.worker.epoch(),
            if pending.tried_workers.is_empty() {
                "own-slot"
            } else {
                "retry"
            },
            pending.tried_workers.len() + 1,
        );
        let outcome = self.exchange(pending, slot).await;
        pending.tried_workers.push(worker);
        outcome
    }

    async fn exchange(&self, pending: &PendingRequest<'_>, slot: RequestSlot) -> RequestOutcome {
        let RequestSlot { worker, permit } = slot;
        let start = Instant::now();
        let remaining = pending.deadline.saturating_duration_since(start);
        if remaining.is_zero() {
            return RequestOutcome::NotRun(
                "the deadline passed before a slot became free".to_owned(),
            );
        }
        let request = match upstream_request(pending.req, remaining) {
            Ok(request) => request,
            Err(_) => return RequestOutcome::NotRun("the request target is not valid".to_owned()),
        };
        // A non-idempotent request can't be retried, so an early timeout would only lose its
        // response.
        let first_byte_timeout = match pending.req.is_idempotent() {
            true => pending.pool.first_byte_timeout().min(remaining),
            false => remaining,
        };
        let exchange = Exchange {
            request,
            permit,
            first_byte_timeout,
            deadline: pending.deadline,
            typical_latency: worker.typical_latency(),
        };
        match worker.upstream.exchange(exchange).await {
            Ok(response) => {
                self.record_response(pending, &worker, response.status(), start.elapsed());
                RequestOutcome::Answered(response)
            }
            Err(e) => {
                self.record_error(pending, &worker, e);
                outcome_of_error(e, pending.deadline)
            }
        }
    }

    fn record_response(
        &self,
        pending: &PendingRequest<'_>,
        worker: &crate::worker::Worker,
        status: StatusCode,
        latency: Duration,
    ) {
        if !status.is_server_error() {
            worker.record_success(latency);
            pending.pool.record_latency(latency);
        } else if worker.record_failure(Instant::now()) {
            self.report_ejection(worker.id, status.as_str());
        }
    }

    fn record_error(
        &self,
        pending: &PendingRequest<'_>,
        worker: &crate::worker::Worker,
        error: ExchangeError,
    ) {
        log::warn!(
            "route: request={} service={} worker={} failed: {error}.",
            pending.id,
            pending.req.service,
            worker.id,
        );
        if error.counts_against_worker() && worker.record_failure(Instant::now()) {
            self.report_ejection(worker.id, &error.to_string());
        }
    }

    fn report_ejection(&self, worker: WorkerId, cause: &str) {
        self.metrics.ejections.inc();
        log::warn!("route: worker={worker} ejected after {cause}.");
    }

    /// Offers a request to a peer and returns the outcome; `None` if the peer did not run it.
    async fn offer(&self, pending: &mut PendingRequest<'_>, peer: &Peer) -> Option<RequestOutcome> {
        pending.offered_to.push(peer.incarnation);
        let remaining = pending.deadline.saturating_duration_since(Instant::now());
        let time_limit = remaining.checked_sub(RESPONSE_MARGIN)?;
        let offer = convert::to_offer(pending.id, pending.req, time_limit);
        let reply = peer
            .link
            .call(&Call::Offer(offer), remaining + REPLY_MARGIN)
            .await;
        let (label, outcome) = match reply {
            Ok(Reply::Answered(received)) => match convert::from_peer_response(received) {
                Some(response) => ("answered", Some(RequestOutcome::Answered(response))),
                None => (
                    "unknown",
                    Some(unknown("the peer returned an invalid upstream response")),
                ),
            },
            Ok(Reply::NotRun { .. }) => ("not-run", None),
            Ok(Reply::Unknown { reason }) => ("unknown", Some(RequestOutcome::Unknown(reason))),
            Ok(
                Reply::Snapshot(_)
                | Reply::JobState(_)
                | Reply::Evacuations(_)
                | Reply::Loan(_)
                | Reply::Pending(_),
            ) => (
                "unknown",
                Some(unknown("the peer sent a reply that does not fit an offer")),
            ),
            Err(CallError::Unsent) => ("not-run", None),
            Err(e) => (
                "unknown",
                Some(unknown(&format!("peer {}: {e}", peer.name))),
            ),
        };
        self.metrics.offers.with_label_values(&[label]).inc();
        log::info!(
            "route: request={} service={} peer={} domain={} result={label}.",
            pending.id,
            pending.req.service,
            peer.name,
            peer.domain,
        );
        outcome
    }

    /// Runs a request that a peer offers if a slot is free now; the request is never queued here.
    pub async fn serve_offer(&self, offer: Offer) -> Reply {
        let directory = self.directory();
        let not_run = |reason: &str| Reply::NotRun {
            reason: reason.to_owned(),
        };
        let Some(pool) = directory.pools.get(&offer.service) else {
            return not_run("this instance has no such service");
        };
        let Some(config) = &directory.config else {
            return not_run("the instance has no configuration yet");
        };
        let Some(service) = config.config.services.get(&offer.service) else {
            return not_run("this instance has no such service");
        };
        let now = Instant::now();
        let Some(slot) = pool.try_acquire(now, &[]) else {
            return not_run("no slot is free");
        };
        let Some((id, req, time_limit)) = convert::from_offer(offer) else {
            return not_run("the offer is not valid");
        };
        let mut pending = PendingRequest {
            id: &id,
            req: &req,
            service,
            pool,
            deadline: now + time_limit.min(Duration::from_millis(MAX_DEADLINE_MS)),
            tried_workers: Vec::new(),
            offered_to: Vec::new(),
            unknown_reason: None,
        };
        match self.run_on_own_slot(&mut pending, slot).await {
            RequestOutcome::Answered(response) => {
                Reply::Answered(convert::to_peer_response(response))
            }
            RequestOutcome::NotRun(reason) | RequestOutcome::Overloaded(reason) => {
                Reply::NotRun { reason }
            }
            RequestOutcome::Unknown(reason) | RequestOutcome::DeadlineExceeded(reason) => {
                Reply::Unknown { reason }
            }
        }
    }
}

/// Picks a random peer to which the request was not offered yet; `None` if there is no such peer,
/// or if the request was already offered to `max_offers` peers.
fn pick_peer(peers: &[Peer], pending: &PendingRequest<'_>, max_offers: usize) -> Option<Peer> {
    if pending.offered_to.len() >= max_offers {
        return None;
    }
    let is_untried = |p: &&Peer| !pending.offered_to.contains(&p.incarnation);
    let untried: Vec<&Peer> = peers.iter().filter(is_untried).collect();
    if untried.is_empty() {
        return None;
    }
    let index = rand::rng().random_range(0..untried.len());
    Some(untried[index].clone())
}

fn upstream_request(
    req: &ServiceRequest,
    remaining: Duration,
) -> hyper::http::Result<Request<http_body_util::Full<Bytes>>> {
    let builder = Request::builder()
        .method(req.method.clone())
        .uri(&req.target);
    let mut request = builder.body(http_body_util::Full::new(req.body.clone()))?;
    *request.headers_mut() = req.headers.clone();
    let ms = u64::try_from(remaining.as_millis())
        .unwrap_or(u64::MAX)
        .max(1);
    request.headers_mut().insert(DEADLINE_MS, ms.into());
    Ok(request)
}

/// Returns the outcome of a try that failed with `error`.
fn outcome_of_error(error: ExchangeError, deadline: Instant) -> RequestOutcome {
    let reason = error.to_string();
    if error.is_unsent() {
        RequestOutcome::NotRun(reason)
    } else if Instant::now() >= deadline {
        RequestOutcome::DeadlineExceeded(reason)
    } else {
        RequestOutcome::Unknown(reason)
    }
}

fn unknown(reason: &str) -> RequestOutcome {
    RequestOutcome::Unknown(reason.to_owned())
}

/// Waits for a token of the retry budget; returns whether one was available before the deadline.
///
/// A failure that affects many requests at once uses up the budget immediately. Waiting for a token
/// spreads the retries of these requests over the time until their deadlines, at the rate that the
/// budget allows.
async fn wait_for_token(pending: &PendingRequest<'_>) -> bool {
    let deadline = pending.deadline.checked_sub(RESPONSE_MARGIN);
    loop {
        if pending.pool.retry_budget.try_retry() {
            return true;
        }
        if deadline.is_none_or(|deadline| Instant::now() + TOKEN_POLL_INTERVAL >= deadline) {
            return false;
        }
        sleep(TOKEN_POLL_INTERVAL).await;
    }
}

/// Returns the outcome of a request that is not tried again: unknown if an earlier try may have run
/// the request; otherwise the request is refused for `reason`.
fn final_outcome(pending: &PendingRequest<'_>, reason: &str) -> RequestOutcome {
    match &pending.unknown_reason {
        Some(earlier_reason) if Instant::now() >= pending.deadline => {
            RequestOutcome::DeadlineExceeded(earlier_reason.clone())
        }
        Some(earlier_reason) => RequestOutcome::Unknown(earlier_reason.clone()),
        None => {
            log::info!("route: request={} refused: {reason}.", pending.id);
            RequestOutcome::Overloaded(reason.to_owned())
        }
    }
}
