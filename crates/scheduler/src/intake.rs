//! Serves the calls of the HTTP API for callers: submit a job, read its state, cancel it, and count
//! the pending jobs of a queue.

mod admission;
mod pending;

use {
    self::admission::{MAX_LOOK_UPS, OpenSubmission, OpenSubmissions},
    crate::{
        control::{Control, GetJobState, unix_ms},
        keys,
        metrics::Metrics,
        settings::Settings,
        takeover::{read_lease, read_row},
        view::View,
    },
    arc_swap::ArcSwap,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER},
    },
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            heartbeat_age::HeartbeatAge,
            job::{JobId, JobSpec},
            progress::{JobOutcome, JobState, Progress},
            queues::Queue,
        },
    },
    marigoldbend_http::{
        body::{BodyError, HttpResponse},
        budget::Budget,
    },
    marigoldbend_peer::{
        call::{Call, Reply},
        link::Link,
    },
    marigoldbend_platform::{
        backoff::Backoff,
        rows::{RowKey, Tx, TxOutcome},
        store::{Store, StoreError},
    },
    marigoldbend_wire::callers as wire,
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Semaphore,
        time::{sleep, timeout},
    },
    xtra::Address,
};

/// The deadline of a request without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// How long before a caller's deadline the response is sent, so that it arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// How long a write is retried while the store rejects it or is unreachable; after that the request
/// is refused.
const MAX_WRITE_RETRY_TIME: Duration = Duration::from_millis(900);

/// How long this instance waits for the leader of a shard to return a job's state.
const STATE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a request waits for a configuration that is not out of date; after that it is refused.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(400);

/// The interval at which a request that waits looks at the configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The delay that the response to a refused request suggests before a retry, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The maximum number of jobs in the cache.
const MAX_CACHED_JOBS: usize = 50_000;

/// The handler of callers' requests.
pub struct Intake {
    settings: Settings,
    store: Arc<Store>,
    view: Arc<ArcSwap<View>>,
    control: Address<Control>,
    metrics: Arc<Metrics>,
    budget: Arc<Budget>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    job_cache: Mutex<JobCache>,
    /// The reads of the leaders' heartbeats in the store, by shard.
    heartbeat_ages: Mutex<HashMap<String, HeartbeatAge>>,
    /// Submissions whose result is not known.
    open_submissions: Mutex<OpenSubmissions>,
    /// Permits for look-ups of identifiers before refusals.
    look_ups: Semaphore,
}

/// The jobs that this instance has stored or looked up most recently.
#[derive(Default)]
struct JobCache {
    /// The shard of each job, and its state if it has finished.
    shards: HashMap<JobId, (String, Option<JobState>)>,
    /// The jobs in the order in which they were cached, oldest first.
    order: VecDeque<JobId>,
}

/// Why a call could not be served.
enum CallError {
    /// The call had no effect.
    NotApplied,
    /// The call may have had an effect.
    Unknown,
}

impl From<StoreError> for CallError {
    fn from(e: StoreError) -> Self {
        match e {
            StoreError::NotApplied => Self::NotApplied,
            _ => Self::Unknown,
        }
    }
}

impl Intake {
    /// Creates the handler; the actor `control` publishes its snapshots in `view`, and `budget`
    /// bounds the bodies in flight.
    pub fn new(
        settings: Settings,
        store: Arc<Store>,
        view: Arc<ArcSwap<View>>,
        control: Address<Control>,
        metrics: Arc<Metrics>,
        budget: Arc<Budget>,
    ) -> Self {
        Self {
            settings,
            store,
            view,
            control,
            metrics,
            budget,
            links: Mutex::default(),
            job_cache: Mutex::default(),
            heartbeat_ages: Mutex::default(),
            open_submissions: Mutex::default(),
            look_ups: Semaphore::new(MAX_LOOK_UPS),
        }
    }

    /// Serves one request.
    pub async fn serve(self: Arc<Self>, req: Request<Incoming>) -> HttpResponse {
        let start = Instant::now();
        let (parts, body) = req.into_parts();
        let host = host_of(&parts.headers, parts.uri.authority().map(|a| a.as_str()));
        let path = parts.uri.path();
        let view = self.view_for(&parts.method, host, path).await;
        let Some(queues) = &view.queues else {
            return self.finish("none", start, unavailable("no configuration yet"));
        };
        let age = view.config_age(Instant::now());
        let found = queues.find(host, path);
        if age > view.config_max_age && depends_on_config(&parts.method, found) {
            log::info!(
                "intake: host={host} path={path} is refused, config={} is out of date: age_ms={}.",
                queues.version,
                age.as_millis()
            );
            return self.finish(
                "none",
                start,
                unavailable("the configuration is out of date"),
            );
        }
        let Some((queue, rest)) = found else {
            log::info!(
                "intake: host={host} path={path} has no queue, config={} age_ms={}.",
                queues.version,
                age.as_millis()
            );
            let response = respond(
                StatusCode::NOT_FOUND,
                wire::write_error("no such queue", None),
            );
            return self.finish("none", start, response);
        };
        // A request with a body reserves its bytes when it reads the body.
        let held = (parts.method != Method::POST).then(|| self.budget.hold(&parts.headers));
        if let Some(Err(e)) = held {
            return self.finish("none", start, unavailable(&e.to_string()));
        }
        let deadline = wire::read_deadline(&parts.headers).map(Duration::from_millis);
        let deadline = deadline.unwrap_or(DEFAULT_DEADLINE);
        let deadline_at = start + deadline;
        let respond_by = start + deadline.saturating_sub(RESPONSE_MARGIN);
        if parts.method == Method::GET && rest.is_empty() {
            let response = self.pending(&view, &queue.name, respond_by).await;
            return self.finish("pending", start, response);
        }
        let Ok(id) = rest.parse::<JobId>() else {
            let problem = "the job's identifier is not 16 lower-case hexadecimal digits";
            let response = respond(StatusCode::BAD_REQUEST, wire::write_error(problem, None));
            return self.finish("none", start, response);
        };
        match parts.method {
            Method::POST => {
                let body = self.budget.read(&parts, body, queues.body_limit).await;
                let response = match body {
                    Ok(body) => {
                        self.submit(&view, queue, id, &body, (deadline_at, respond_by))
                            .await
                    }
                    // These are counted with the limits and not logged one by one, so that many
                    // of them don't displace other lines.
                    Err(e @ BodyError::Overloaded) => {
                        return self.finish("submit", start, unavailable(&e.to_string()));
                    }
                    Err(e @ BodyError::TooSlow) => {
                        let body = wire::write_error(&e.to_string(), None);
                        let response = respond(StatusCode::REQUEST_TIMEOUT, body);
                        return self.finish("submit", start, response);
                    }
                    Err(BodyError::TooLong) => respond(
                        StatusCode::PAYLOAD_TOO_LARGE,
                        wire::write_error("the body is longer than the limit", None),
                    ),
                    Err(BodyError::Truncated) => respond(
                        StatusCode::BAD_REQUEST,
                        wire::write_error("the body was cut short", None),
                    ),
                };
                self.log_call("submit", queue, id, &response, start, queues.version);
                self.finish("submit", start, response)
            }
            Method::GET => {
                let response = self.state(id, respond_by).await;
                if response.status() != StatusCode::OK {
                    self.log_call("state", queue, id, &response, start, queues.version);
                }
                self.finish("state", start, response)
            }
            Method::DELETE => {
                let response = self.cancel(id, respond_by).await;
                self.log_call("cancel", queue, id, &response, start, queues.version);
                self.finish("cancel", start, response)
            }
            _ => {
                let body = wire::write_error("the method is not one of POST, GET, DELETE", None);
                self.finish("none", start, respond(StatusCode::METHOD_NOT_ALLOWED, body))
            }
        }
    }

    /// Returns the present view for a request. If the request depends on the configuration, that is
    /// out of date and the store is reachable, waits a short time for a newer view.
    async fn view_for(&self, method: &Method, host: &str, path: &str) -> Arc<View> {
        let give_up_at = Instant::now() + MAX_CONFIG_WAIT;
        loop {
            let view = self.view.load_full();
            let now = Instant::now();
            let is_usable = view.config_age(now) <= view.config_max_age
                || view
                    .queues
                    .as_ref()
                    .is_none_or(|queues| !depends_on_config(method, queues.find(host, path)));
            if is_usable || !view.ready || now >= give_up_at {
                return view;
            }
            sleep(CONFIG_POLL_INTERVAL).await;
        }
    }

    /// Serves the platform's readiness probe.
    pub fn readiness(&self, path: &str) -> HttpResponse {
        let ready = self.view.load().ready;
        if path != wire::READY_PATH {
            return respond(StatusCode::NOT_FOUND, Bytes::new());
        }
        if ready {
            respond(StatusCode::OK, Bytes::new())
        } else {
            respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
    }

    /// Logs a call about a job.
    fn log_call(
        &self,
        call: &str,
        queue: &Queue,
        id: JobId,
        response: &HttpResponse,
        start: Instant,
        config_version: u64,
    ) {
        log::info!(
            "intake: call={call} job={id} queue={} status={} ms={} config={config_version}.",
            queue.name,
            response.status().as_u16(),
            start.elapsed().as_millis(),
        );
    }

    /// Counts a call in the metrics and returns its response.
    fn finish(&self, call: &str, start: Instant, response: HttpResponse) -> HttpResponse {
        let status = response.status();
        let labels = [call, status.as_str()];
        self.metrics.requests.with_label_values(&labels).inc();
        let latency = self.metrics.latency.with_label_values(&[call]);
        latency.observe(start.elapsed().as_secs_f64());
        response
    }

    async fn submit(
        &self,
        view: &View,
        queue: &Queue,
        id: JobId,
        body: &[u8],
        (deadline_at, respond_by): (Instant, Instant),
    ) -> HttpResponse {
        if self.cached_shard(id).is_some() {
            return respond(StatusCode::OK, Bytes::new());
        }
        let job = match wire::read_job(body, queue, unix_ms()) {
            Ok(job) => job,
            Err(e) => {
                log::info!("intake: job={id} queue={} is not valid: {e}.", queue.name);
                let body = wire::write_error(&e.to_string(), None);
                return respond(StatusCode::BAD_REQUEST, body);
            }
        };
        if view.rejected_by_store {
            // The caller can retry at another instance; a retry here would only use up its
            // deadline.
            return unavailable("the store rejects this instance but serves others");
        }
        if view.cut_off {
            log::info!("intake: job={id} is refused, this instance is cut off.");
            return unavailable("this instance is cut off from the store and from most others");
        }
        let expected_write_time = self.store.write_time().unwrap_or_default();
        let remaining = deadline_at.saturating_duration_since(Instant::now());
        if expected_write_time >= remaining {
            log::info!(
                "intake: job={id} can't be stored in time: left_ms={} expected_ms={}.",
                remaining.as_millis(),
                expected_write_time.as_millis(),
            );
            return unavailable("the store is too slow for the caller's deadline");
        }
        let shard = view.choose_shard(self.own_shard(), &job);
        if let Some(response) = self.refuse(view, &shard, id, &job).await {
            return response;
        }
        let submission = OpenSubmission::begin(self, id);
        let result = self.store_job(view, &shard, id, &job, respond_by).await;
        if let Ok(shard) = &result {
            self.cache_job(id, shard, None);
        }
        submission.end(!matches!(result, Err(CallError::Unknown)));
        match result {
            Ok(shard) => {
                log::info!("intake: job={id} stored shard={shard}.");
                respond(StatusCode::OK, Bytes::new())
            }
            Err(CallError::NotApplied) => unavailable("the store did not accept the job"),
            Err(CallError::Unknown) => {
                let body = wire::write_error("it is not known whether the job was stored", None);
                respond(StatusCode::GATEWAY_TIMEOUT, body)
            }
        }
    }

    /// Stores a job in a shard and returns the shard; if a job with this identifier is stored
    /// already, returns the shard of that job.
    ///
    /// The job is stored with the fencing token of the shard's leader, in a transaction that
    /// expects the lease row unchanged. So no earlier leader has started a job with the token of
    /// the current leader, and a leader that reads a job with a higher token has been replaced.
    async fn store_job(
        &self,
        view: &View,
        shard: &str,
        id: JobId,
        job: &JobSpec,
        respond_by: Instant,
    ) -> Result<String, CallError> {
        let leader = view.leaders.get(shard).map(|l| (l.token, l.lease_version));
        let (mut token, mut lease_version) = match leader {
            Some(leader) => leader,
            None => self.read_lease(shard).await?,
        };
        loop {
            let job = JobSpec {
                token,
                ..job.clone()
            };
            let tx = Tx {
                expect: vec![(keys::id(id), 0), (keys::lease(shard), lease_version)],
                puts: vec![
                    (keys::id(id), shard.as_bytes().to_vec()),
                    // Encoding plain data can't fail.
                    (
                        keys::job(shard, id),
                        postcard::to_stdvec(&job).unwrap_or_default(),
                    ),
                ],
                deletes: Vec::new(),
            };
            let rows = match self.write(&tx, respond_by).await? {
                TxOutcome::Applied(_) => return Ok(shard.to_owned()),
                TxOutcome::Conflict(rows) => rows,
            };
            let id_key = keys::id(id);
            let id_row = rows
                .into_iter()
                .find(|row| row.name == id_key && row.version > 0);
            if let Some(id_row) = id_row.filter(|row| !row.deleted) {
                return String::from_utf8(id_row.value).map_err(|_| CallError::Unknown);
            }
            (token, lease_version) = self.read_lease(shard).await?;
            log::info!(
                "intake: job={id} shard={shard} has a new leader, retrying with token={token}."
            );
        }
    }

    async fn read_lease(&self, shard: &str) -> Result<(u64, u64), CallError> {
        let (row, lease_version) = read_lease(&self.store, shard).await?;
        Ok((row.token, lease_version))
    }

    /// Writes a transaction, with retries until the outcome is known or the time is up: at
    /// `respond_by`, after [`MAX_WRITE_RETRY_TIME`] if it certainly had no effect, or as soon as this
    /// instance is cut off, as the caller can retry at another one.
    async fn write(&self, tx: &Tx, respond_by: Instant) -> Result<TxOutcome, CallError> {
        let retry_until = Instant::now() + MAX_WRITE_RETRY_TIME;
        let mut backoff = Backoff::new();
        let mut may_be_applied = false;
        loop {
            let e = match self.store.tx(tx).await {
                Ok(outcome) => return Ok(outcome),
                Err(e) => e,
            };
            may_be_applied |= e != StoreError::NotApplied;
            let wait = backoff.next(&mut rand::rng());
            let give_up_at = if self.view.load().cut_off {
                Instant::now()
            } else if may_be_applied {
                respond_by
            } else {
                respond_by.min(retry_until)
            };
            if Instant::now() + wait >= give_up_at {
                return Err(if may_be_applied {
                    CallError::Unknown
                } else {
                    CallError::NotApplied
                });
            }
            sleep(wait).await;
        }
    }

    async fn state(&self, id: JobId, respond_by: Instant) -> HttpResponse {
        match self.find_state(id, respond_by).await {
            Ok(Some(state)) => respond(StatusCode::OK, wire::write_state(state)),
            Ok(None) => respond(wire::NO_SUCH_JOB, Bytes::new()),
            Err(_) => unavailable("the job's state can't be read now"),
        }
    }

    /// Returns a job's state; `None` if there is no such job.
    async fn find_state(
        &self,
        id: JobId,
        respond_by: Instant,
    ) -> Result<Option<JobState>, CallError> {
        let cached = self.job_cache.lock().shards.get(&id).cloned();
        if let Some((_, Some(state))) = cached {
            return Ok(Some(state));
        }
        let shard = match cached {
            Some((shard, _)) => shard,
            // The leader of the only shard has every job, even while the store is unreachable.
            None if self.settings.shards.len() == 1
                && let Some(state) = self.request_state(self.own_shard(), id).await =>
            {
                let is_finished = !matches!(state, JobState::Queued | JobState::Running);
                let shard = self.own_shard().to_owned();
                self.cache_job(id, &shard, is_finished.then_some(state));
                return Ok(Some(state));
            }
            None => match self.read_shard(id, respond_by).await? {
                Some(shard) => shard,
                None => return Ok(None),
            },
        };
        let (shard, state) = match self.request_state(&shard, id).await {
            Some(state) => (shard, state),
            None => {
                // The job may have been moved, the leader may not have read it yet, or the leader
                // may be unreachable; the store has the state in each case.
                let job_shard = self.read_shard(id, respond_by).await?;
                let job_shard = job_shard.unwrap_or(shard);
                let state = self.read_state(&job_shard, id, respond_by).await?;
                (job_shard, state)
            }
        };
        let is_finished = !matches!(state, JobState::Queued | JobState::Running);
        self.cache_job(id, &shard, is_finished.then_some(state));
        Ok(Some(state))
    }

    /// Asks the leader of a shard for a job's state; `None` if there is no answer, or the leader
    /// does not have the job.
    async fn request_state(&self, shard: &str, id: JobId) -> Option<JobState> {
        let view = self.view.load_full();
        let leader = view.leaders.get(shard)?;
        if leader.name == self.settings.name {
            let request = GetJobState(shard.to_owned(), id);
            let state = timeout(STATE_TIMEOUT, self.control.send(request)).await;
            return state.ok()?.ok().flatten();
        }
        let link = self.link(leader.address);
        let call = Call::JobState {
            shard: shard.to_owned(),
            job: id,
        };
        match link.call(&call, STATE_TIMEOUT).await {
            Ok(Reply::JobState(state)) => state,
            Ok(_) => None,
            Err(e) => {
                log::info!(
                    "intake: job={id} shard={shard} leader={} did not return the job's state: {e}.",
                    leader.name
                );
                None
            }
        }
    }

    /// Returns the connection to a peer.
    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let new = || Arc::new(Link::new(address, None));
        let mut links = self.links.lock();
        links.entry(address).or_insert_with(new).clone()
    }

    /// Reads the shard of a job; `None` if there is no such job.
    async fn read_shard(
        &self,
        id: JobId,
        respond_by: Instant,
    ) -> Result<Option<String>, CallError> {
        let row = self.read_row(&keys::id(id), respond_by).await?;
        let shard = row.map(|value| String::from_utf8(value).map_err(|_| CallError::Unknown));
        shard.transpose()
    }

    /// Reads a job's state from the store.
    async fn read_state(
        &self,
        shard: &str,
        id: JobId,
        respond_by: Instant,
    ) -> Result<JobState, CallError> {
        let row = self
            .read_row(&keys::progress(shard, id), respond_by)
            .await?;
        let progress = row.and_then(|value| Progress::decode(&value).ok());
        let progress = progress.unwrap_or_default();
        Ok(match progress.outcome {
            JobOutcome::Open if progress.started => JobState::Running,
            JobOutcome::Open => JobState::Queued,
            JobOutcome::Completed => JobState::Completed,
            JobOutcome::Failed => JobState::Failed,
            JobOutcome::Cancelled => JobState::Cancelled,
        })
    }

    /// Reads the value of a row, with retries until `respond_by`; `None` if there is no such row.
    async fn read_row(
        &self,
        key: &RowKey,
        respond_by: Instant,
    ) -> Result<Option<Vec<u8>>, CallError> {
        let mut backoff = Backoff::new();
        loop {
            let e = match read_row(&self.store, key).await {
                Ok(row) => return Ok(row),
                Err(e) => e,
            };
            let wait = backoff.next(&mut rand::rng());
            if Instant::now() + wait >= respond_by {
                return Err(e.into());
            }
            sleep(wait).await;
        }
    }

    async fn cancel(&self, id: JobId, respond_by: Instant) -> HttpResponse {
        // The cached shard may be out of date: the job may have been moved.
        let shard = match self.read_shard(id, respond_by).await {
            Ok(Some(shard)) => shard,
            Ok(None) => return respond(wire::NO_SUCH_JOB, Bytes::new()),
            Err(_) => return unavailable("the job can't be looked up now"),
        };
        let tx = Tx {
            puts: vec![(keys::cancel(&shard, id), Vec::new())],
            ..Tx::default()
        };
        match self.write(&tx, respond_by).await {
            Ok(_) => respond(StatusCode::OK, Bytes::new()),
            Err(CallError::NotApplied) => unavailable("the store did not accept the cancellation"),
            Err(CallError::Unknown) => {
                let problem = "it is not known whether the cancellation was stored";
                let body = wire::write_error(problem, None);
                respond(StatusCode::GATEWAY_TIMEOUT, body)
            }
        }
    }

    /// Returns the own shard: the one of this instance's failure domain.
    fn own_shard(&self) -> &str {
        let own = self.settings.shard_of(&self.settings.domain);
        own.unwrap_or_default()
    }

    fn cached_shard(&self, id: JobId) -> Option<String> {
        let job_cache = self.job_cache.lock();
        job_cache.shards.get(&id).map(|(shard, _)| shard.clone())
    }

    fn cache_job(&self, id: JobId, shard: &str, final_state: Option<JobState>) {
        let mut job_cache = self.job_cache.lock();
        if job_cache
            .shards
            .insert(id, (shard.to_owned(), final_state))
            .is_some()
        {
            return;
        }
        job_cache.order.push_back(id);
        if job_cache.order.len() > MAX_CACHED_JOBS
            && let Some(oldest) = job_cache.order.pop_front()
        {
            job_cache.shards.remove(&oldest);
        }
    }
}

/// Returns whether the response depends on which version of the configuration is in force; `found`
/// is the queue of the request and the rest of its path. The state and the cancellation of an
/// accepted job don't depend on it.
fn depends_on_config(method: &Method, found: Option<(&Queue, &str)>) -> bool {
    match found {
        Some((_, rest)) => *method == Method::POST || rest.is_empty(),
        None => true,
    }
}

fn host_of<'a>(headers: &'a HeaderMap, authority: Option<&'a str>) -> &'a str {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    host.or(authority).unwrap_or_default()
}

fn respond(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns the response to a call that had no effect and may be retried after
/// [`RETRY_AFTER_S`].
fn unavailable(problem: &str) -> HttpResponse {
    unavailable_for(problem, RETRY_AFTER_S)
}

/// Returns the response to a call that had no effect and may be retried after `retry_after_s`
/// seconds.
fn unavailable_for(problem: &str, retry_after_s: u64) -> HttpResponse {
    let body = wire::write_error(problem, Some(retry_after_s.saturating_mul(1_000)));
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, body);
    response
        .headers_mut()
        .insert(RETRY_AFTER, retry_after_s.into());
    response
}
