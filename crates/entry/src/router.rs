//! Brings requests to workers: an own slot, a peer's slot, a place in the queue, or a refusal.
//!
//! A non-idempotent request is sent once; whatever happens after the first byte, its caller
//! learns that the outcome is unknown. An idempotent one is sent again to another worker, as
//! far as the retry budget allows.

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

/// The most tries of one idempotent request.
const MOST_TRIES: usize = 3;

/// The time between two looks for a token of the retry budget.
const TOKEN_STEP: Duration = Duration::from_millis(10);

/// The expected wait in the own queue from which a request is offered to another domain.
const CROSS_DOMAIN_WAIT: Duration = Duration::from_millis(20);

/// The time that is kept of a deadline to bring the answer back.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// How long after the deadline the reply of a peer is still waited for.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// What became of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The upstream answered.
    Answered(Response<Bytes>),
    /// It was not run.
    NotRun(String),
    /// It was not run, since there is too much work.
    Overloaded(String),
    /// It may have been run.
    Unknown(String),
    /// It may have been run, and its deadline has passed.
    DeadlineExceeded(String),
}

impl RequestOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) | Self::Overloaded(_) => "not-run",
            Self::Unknown(_) | Self::DeadlineExceeded(_) => "unknown",
        }
    }

    /// Makes the answer to the caller.
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

/// A request on its way, with what was tried so far.
struct Journey<'a> {
    id: &'a str,
    req: &'a ServiceRequest,
    service: &'a Service,
    pool: &'a Arc<ServicePool>,
    deadline: Instant,
    /// Workers that failed it.
    failed: Vec<WorkerId>,
    /// Peers that it was offered to.
    offered: Vec<Incarnation>,
    /// Why it may have been run, if it may.
    maybe_run: Option<String>,
}

/// Where a request can go next.
enum Place {
    Own(RequestSlot),
    Peer(Peer),
    Nowhere(RequestOutcome),
}

/// Routes requests by the published directory.
pub struct Router {
    directory: Arc<ArcSwap<Directory>>,
    metrics: Arc<Metrics>,
}

impl Router {
    /// Creates a router that follows `directory`.
    pub fn new(directory: Arc<ArcSwap<Directory>>, metrics: Arc<Metrics>) -> Self {
        Self { directory, metrics }
    }

    /// Returns the newest directory.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Brings a request to a worker and its answer back.
    pub async fn route(&self, id: &str, req: &ServiceRequest) -> RequestOutcome {
        let arrived = Instant::now();
        let directory = self.directory();
        let Some(config) = &directory.config else {
            return RequestOutcome::NotRun("no configuration is known yet".to_owned());
        };
        let found = (
            config.config.services.get(&req.service),
            directory.pools.get(&req.service),
        );
        let (Some(service), Some(pool)) = found else {
            return RequestOutcome::NotRun(format!("service {:?} has no workers yet", req.service));
        };
        let longest = Duration::from_millis(MAX_DEADLINE_MS);
        let granted = req
            .deadline
            .unwrap_or(Duration::from_millis(service.deadline_ms));
        let mut journey = Journey {
            id,
            req,
            service,
            pool,
            deadline: arrived + granted.min(longest),
            failed: Vec::new(),
            offered: Vec::new(),
            maybe_run: None,
        };
        pool.retry_budget.record_try();
        let outcome = self.travel(&directory, &mut journey).await;
        self.metrics
            .requests
            .with_label_values(&[outcome.label()])
            .inc();
        self.metrics
            .latency
            .observe(arrived.elapsed().as_secs_f64());
        outcome
    }

    async fn travel(&self, directory: &Directory, journey: &mut Journey<'_>) -> RequestOutcome {
        for turn in 0..MOST_TRIES {
            let outcome = loop {
                match self.place(directory, journey).await {
                    Place::Own(slot) => break self.run_here(journey, slot).await,
                    Place::Peer(peer) => {
                        if let Some(outcome) = self.offer(journey, &peer).await {
                            break outcome;
                        }
                    }
                    Place::Nowhere(outcome) => return outcome,
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
                journey.maybe_run = Some(reason);
                if !journey.req.is_idempotent() {
                    break;
                }
            }
            let last = turn + 1 == MOST_TRIES || Instant::now() >= journey.deadline;
            // A try that sent nothing added no load, so the next one is no retry.
            let token = !last && (!may_have_run || wait_for_token(journey).await);
            log::info!(
                "route: request={} try={} token={token} last={last} left_ms={}.",
                journey.id,
                turn + 1,
                journey
                    .deadline
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
            );
            if !token {
                break;
            }
            self.metrics.retries.inc();
        }
        give_up(journey, "the request could not be sent")
    }

    /// Finds the next place for a request, waiting in the queue if need be.
    async fn place(&self, directory: &Directory, journey: &mut Journey<'_>) -> Place {
        let now = Instant::now();
        if let Some(slot) = journey.pool.try_acquire(now, &journey.failed) {
            return Place::Own(slot);
        }
        let wait = journey.pool.expected_wait(now);
        // Without slots of its own, the instance has no queue to fall back on.
        let offers = match journey.pool.slots(now) {
            0 => directory.same_domain.len(),
            _ => 1,
        };
        if let Some(peer) = untried(&directory.same_domain, journey, offers) {
            return Place::Peer(peer);
        }
        if wait > CROSS_DOMAIN_WAIT
            && let Some(peer) = untried(&directory.other_domains, journey, offers + 1)
        {
            return Place::Peer(peer);
        }
        if wait == Duration::MAX
            && let Some(slot) = journey.pool.try_acquire_any(now, &journey.failed)
        {
            return Place::Own(slot);
        }
        let left = journey.deadline.saturating_duration_since(now);
        if wait.saturating_add(ANSWER_MARGIN) >= left {
            return Place::Nowhere(give_up(journey, "no slot is expected before the deadline"));
        }
        let until = journey.deadline - ANSWER_MARGIN;
        match journey
            .pool
            .wait_for_slot(until, journey.service.queue)
            .await
        {
            Some(slot) => Place::Own(slot),
            None => Place::Nowhere(give_up(journey, "the queue is full")),
        }
    }

    async fn run_here(&self, journey: &mut Journey<'_>, slot: RequestSlot) -> RequestOutcome {
        let worker = slot.worker.id;
        log::info!(
            "route: request={} service={} worker={worker} epoch={} why={} try={}.",
            journey.id,
            journey.req.service,
            slot.worker.epoch(),
            if journey.failed.is_empty() {
                "own-slot"
            } else {
                "retry"
            },
            journey.failed.len() + 1,
        );
        let outcome = self.exchange(journey, slot).await;
        journey.failed.push(worker);
        outcome
    }

    async fn exchange(&self, journey: &Journey<'_>, slot: RequestSlot) -> RequestOutcome {
        let RequestSlot { worker, permit } = slot;
        let start = Instant::now();
        let left = journey.deadline.saturating_duration_since(start);
        if left.is_zero() {
            return RequestOutcome::NotRun("the deadline passed before a slot was free".to_owned());
        }
        let request = match upstream_request(journey.req, left) {
            Ok(request) => request,
            Err(_) => return RequestOutcome::NotRun("the target is not valid".to_owned()),
        };
        // A non-idempotent request gains nothing from giving up early.
        let first_byte_timeout = match journey.req.is_idempotent() {
            true => journey.pool.first_byte_timeout().min(left),
            false => left,
        };
        let exchange = Exchange {
            request,
            permit,
            first_byte_timeout,
            deadline: journey.deadline,
            typical_latency: worker.typical_latency(),
        };
        match worker.upstream.exchange(exchange).await {
            Ok(response) => {
                self.record_answer(journey, &worker, response.status(), start.elapsed());
                RequestOutcome::Answered(response)
            }
            Err(e) => {
                self.record_error(journey, &worker, e);
                outcome_of(e, journey.deadline)
            }
        }
    }

    fn record_answer(
        &self,
        journey: &Journey<'_>,
        worker: &crate::worker::Worker,
        status: StatusCode,
        latency: Duration,
    ) {
        if !status.is_server_error() {
            worker.record_success(latency);
            journey.pool.record_latency(latency);
        } else if worker.record_failure(Instant::now()) {
            self.ejected(worker.id, status.as_str());
        }
    }

    fn record_error(
        &self,
        journey: &Journey<'_>,
        worker: &crate::worker::Worker,
        error: ExchangeError,
    ) {
        log::warn!(
            "route: request={} service={} worker={} failed: {error}.",
            journey.id,
            journey.req.service,
            worker.id,
        );
        if error.counts_against_worker() && worker.record_failure(Instant::now()) {
            self.ejected(worker.id, &error.to_string());
        }
    }

    fn ejected(&self, worker: WorkerId, why: &str) {
        self.metrics.ejections.inc();
        log::warn!("route: worker={worker} ejected after {why}.");
    }

    /// Offers a request to a peer; `None` if the peer did not run it.
    async fn offer(&self, journey: &mut Journey<'_>, peer: &Peer) -> Option<RequestOutcome> {
        journey.offered.push(peer.incarnation);
        let left = journey.deadline.saturating_duration_since(Instant::now());
        let granted = left.checked_sub(ANSWER_MARGIN)?;
        let offer = convert::to_offer(journey.id, journey.req, granted);
        let reply = peer
            .link
            .call(&Call::Offer(offer), left + REPLY_MARGIN)
            .await;
        let (label, outcome) = match reply {
            Ok(Reply::Answered(answer)) => match convert::from_peer_response(answer) {
                Some(response) => ("answered", Some(RequestOutcome::Answered(response))),
                None => ("unknown", Some(lost("the peer's answer was not valid"))),
            },
            Ok(Reply::NotRun { .. }) => ("not-run", None),
            Ok(Reply::Unknown { reason }) => ("unknown", Some(RequestOutcome::Unknown(reason))),
            Ok(Reply::Snapshot(_) | Reply::JobState(_)) => {
                ("unknown", Some(lost("the peer's reply was not valid")))
            }
            Err(CallError::Unsent) => ("not-run", None),
            Err(e) => ("unknown", Some(lost(&format!("peer {}: {e}", peer.name)))),
        };
        self.metrics.offers.with_label_values(&[label]).inc();
        log::info!(
            "route: request={} service={} peer={} domain={} result={label}.",
            journey.id,
            journey.req.service,
            peer.name,
            peer.domain,
        );
        outcome
    }

    /// Serves a request that a peer has no slot for, if a slot is free now.
    pub async fn serve_offer(&self, offer: Offer) -> Reply {
        let directory = self.directory();
        let not_run = |reason: &str| Reply::NotRun {
            reason: reason.to_owned(),
        };
        let Some(pool) = directory.pools.get(&offer.service) else {
            return not_run("the service is not known here");
        };
        let Some(config) = &directory.config else {
            return not_run("no configuration is known yet");
        };
        let Some(service) = config.config.services.get(&offer.service) else {
            return not_run("the service is not known here");
        };
        let now = Instant::now();
        let Some(slot) = pool.try_acquire(now, &[]) else {
            return not_run("no slot is free");
        };
        let Some((id, req, granted)) = convert::from_offer(offer) else {
            return not_run("the offer is not valid");
        };
        let mut journey = Journey {
            id: &id,
            req: &req,
            service,
            pool,
            deadline: now + granted.min(Duration::from_millis(MAX_DEADLINE_MS)),
            failed: Vec::new(),
            offered: Vec::new(),
            maybe_run: None,
        };
        match self.run_here(&mut journey, slot).await {
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

/// Picks a peer at random that the request was not offered to, up to `most` offers in all.
fn untried(peers: &[Peer], journey: &Journey<'_>, most: usize) -> Option<Peer> {
    if journey.offered.len() >= most {
        return None;
    }
    let fresh = |p: &&Peer| !journey.offered.contains(&p.incarnation);
    let fresh: Vec<&Peer> = peers.iter().filter(fresh).collect();
    if fresh.is_empty() {
        return None;
    }
    let at = rand::rng().random_range(0..fresh.len());
    Some(fresh[at].clone())
}

fn upstream_request(
    req: &ServiceRequest,
    left: Duration,
) -> hyper::http::Result<Request<http_body_util::Full<Bytes>>> {
    let builder = Request::builder()
        .method(req.method.clone())
        .uri(&req.target);
    let mut request = builder.body(http_body_util::Full::new(req.body.clone()))?;
    *request.headers_mut() = req.headers.clone();
    let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    request.headers_mut().insert(DEADLINE_MS, ms.into());
    Ok(request)
}

fn outcome_of(error: ExchangeError, deadline: Instant) -> RequestOutcome {
    let reason = error.to_string();
    if error.is_unsent() {
        RequestOutcome::NotRun(reason)
    } else if Instant::now() >= deadline {
        RequestOutcome::DeadlineExceeded(reason)
    } else {
        RequestOutcome::Unknown(reason)
    }
}

fn lost(reason: &str) -> RequestOutcome {
    RequestOutcome::Unknown(reason.to_owned())
}

/// Ends a journey without an answer, truthfully: an earlier try may have been run.
/// Waits for a token of the retry budget; returns whether there was one in time.
///
/// A failure that hits all requests of a moment spends the budget at once. Waiting spreads
/// their retries over the time that they have, at the rate that the budget allows.
async fn wait_for_token(journey: &Journey<'_>) -> bool {
    let until = journey.deadline.checked_sub(ANSWER_MARGIN);
    loop {
        if journey.pool.retry_budget.try_retry() {
            return true;
        }
        if until.is_none_or(|until| Instant::now() + TOKEN_STEP >= until) {
            return false;
        }
        sleep(TOKEN_STEP).await;
    }
}

fn give_up(journey: &Journey<'_>, reason: &str) -> RequestOutcome {
    match &journey.maybe_run {
        Some(earlier) if Instant::now() >= journey.deadline => {
            RequestOutcome::DeadlineExceeded(earlier.clone())
        }
        Some(earlier) => RequestOutcome::Unknown(earlier.clone()),
        None => {
            log::info!("route: request={} refused: {reason}.", journey.id);
            RequestOutcome::Overloaded(reason.to_owned())
        }
    }
}
