//! What callers ask for: to accept a job, tell its state, cancel it, or count those that wait.

use {
    crate::{
        control::{Control, GetJobState, unix_ms},
        keys,
        metrics::Metrics,
        settings::Settings,
        takeover::{StoreHeartbeat, read_lease, read_row},
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
            job::{JobId, JobSpec},
            progress::{JobOutcome, JobState, Progress},
            queues::Queue,
        },
    },
    marigoldbend_http::body::{BodyError, HttpResponse, read_whole},
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
    tokio::time::sleep,
    xtra::Address,
};

/// The longest time that a caller is taken to wait if it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// What must be left of a caller's time for the answer to reach it.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// How long a refused write is tried again before the caller is told to come back.
const WRITE_PATIENCE: Duration = Duration::from_millis(900);

/// How long a shard's leader may take to tell a job's state.
const STATE_LIMIT: Duration = Duration::from_millis(400);

/// When a refused caller may come back, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Jobs whose shard is remembered.
const REMEMBERED: usize = 50_000;

/// What serves callers.
pub struct Intake {
    settings: Settings,
    store: Arc<Store>,
    view: Arc<ArcSwap<View>>,
    control: Address<Control>,
    metrics: Arc<Metrics>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    jobs: Mutex<Remembered>,
}

#[derive(Default)]
struct Remembered {
    shards: HashMap<JobId, (String, Option<JobState>)>,
    order: VecDeque<JobId>,
}

/// Why a call could not be served.
enum Failure {
    /// Nothing was done.
    NotApplied,
    /// It may have been done.
    Unknown,
}

impl From<StoreError> for Failure {
    fn from(e: StoreError) -> Self {
        match e {
            StoreError::NotApplied => Self::NotApplied,
            _ => Self::Unknown,
        }
    }
}

impl Intake {
    /// Creates the part that serves callers.
    pub fn new(
        settings: Settings,
        store: Arc<Store>,
        view: Arc<ArcSwap<View>>,
        control: Address<Control>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            settings,
            store,
            view,
            control,
            metrics,
            links: Mutex::default(),
            jobs: Mutex::default(),
        }
    }

    /// Serves one request.
    pub async fn serve(self: Arc<Self>, req: Request<Incoming>) -> HttpResponse {
        let begin = Instant::now();
        let (parts, body) = req.into_parts();
        let view = self.view.load_full();
        let host = host_of(&parts.headers, parts.uri.authority().map(|a| a.as_str()));
        let path = parts.uri.path();
        let Some(queues) = &view.queues else {
            return self.done("none", begin, refused("no configuration yet"));
        };
        let Some((queue, rest)) = queues.find(host, path) else {
            log::info!(
                "intake: host={host} path={path} has no queue, config={}.",
                queues.version
            );
            let answer = answer(
                StatusCode::NOT_FOUND,
                wire::write_error("no such queue", None),
            );
            return self.done("none", begin, answer);
        };
        let deadline = wire::read_deadline(&parts.headers).map(Duration::from_millis);
        let deadline = deadline.unwrap_or(DEFAULT_DEADLINE);
        let due = begin + deadline;
        let end = begin + deadline.saturating_sub(ANSWER_RESERVE);
        if parts.method == Method::GET && rest.is_empty() {
            let answer = self.pending(&view, &queue.name, end).await;
            return self.done("pending", begin, answer);
        }
        let Ok(id) = rest.parse::<JobId>() else {
            let problem = "the job's identifier is not 16 lower-case hexadecimal digits";
            let answer = answer(StatusCode::BAD_REQUEST, wire::write_error(problem, None));
            return self.done("none", begin, answer);
        };
        match parts.method {
            Method::POST => {
                let body = read_whole(body, queues.body_limit).await;
                let answer = match body {
                    Ok(body) => self.submit(&view, queue, id, &body, (due, end)).await,
                    Err(BodyError::TooLong) => answer(
                        StatusCode::PAYLOAD_TOO_LARGE,
                        wire::write_error("the body is longer than the limit", None),
                    ),
                    Err(BodyError::Truncated) => answer(
                        StatusCode::BAD_REQUEST,
                        wire::write_error("the body was cut short", None),
                    ),
                };
                self.log("submit", queue, id, &answer, begin, queues.version);
                self.done("submit", begin, answer)
            }
            Method::GET => {
                let answer = self.state(id, end).await;
                if answer.status() != StatusCode::OK {
                    self.log("state", queue, id, &answer, begin, queues.version);
                }
                self.done("state", begin, answer)
            }
            Method::DELETE => {
                let answer = self.cancel(id, end).await;
                self.log("cancel", queue, id, &answer, begin, queues.version);
                self.done("cancel", begin, answer)
            }
            _ => {
                let body = wire::write_error("the method is not one of POST, GET, DELETE", None);
                self.done("none", begin, answer(StatusCode::METHOD_NOT_ALLOWED, body))
            }
        }
    }

    /// Answers the platform's question whether this instance takes connections.
    pub fn readiness(&self, path: &str) -> HttpResponse {
        let ready = self.view.load().ready;
        if path != wire::READY_PATH {
            return answer(StatusCode::NOT_FOUND, Bytes::new());
        }
        if ready {
            answer(StatusCode::OK, Bytes::new())
        } else {
            answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
    }

    fn log(
        &self,
        call: &str,
        queue: &Queue,
        id: JobId,
        answer: &HttpResponse,
        begin: Instant,
        ver: u64,
    ) {
        log::info!(
            "intake: call={call} job={id} queue={} status={} ms={} config={ver}.",
            queue.name,
            answer.status().as_u16(),
            begin.elapsed().as_millis(),
        );
    }

    fn done(&self, call: &str, begin: Instant, answer: HttpResponse) -> HttpResponse {
        let status = answer.status();
        let labels = [call, status.as_str()];
        self.metrics.requests.with_label_values(&labels).inc();
        let latency = self.metrics.latency.with_label_values(&[call]);
        latency.observe(begin.elapsed().as_secs_f64());
        answer
    }

    async fn submit(
        &self,
        view: &View,
        queue: &Queue,
        id: JobId,
        body: &[u8],
        (due, end): (Instant, Instant),
    ) -> HttpResponse {
        if self.shard_of(id).is_some() {
            return answer(StatusCode::OK, Bytes::new());
        }
        let job = match wire::read_job(body, queue, unix_ms()) {
            Ok(job) => job,
            Err(e) => {
                log::info!("intake: job={id} queue={} is not valid: {e}.", queue.name);
                let body = wire::write_error(&e.to_string(), None);
                return answer(StatusCode::BAD_REQUEST, body);
            }
        };
        if view.rejected_by_store {
            // The next try goes to another instance; waiting here would only cost its time.
            return refused("the store turns this instance away, others reach it");
        }
        let expected = self.store.write_time().unwrap_or_default();
        let left = due.saturating_duration_since(Instant::now());
        if expected >= left {
            log::info!(
                "intake: job={id} can't be stored in time: left_ms={} expected_ms={}.",
                left.as_millis(),
                expected.as_millis(),
            );
            return refused("the store is too slow for the caller's deadline");
        }
        let shard = view.choose_shard(self.own_shard(), &job);
        match self.store_job(view, &shard, id, &job, end).await {
            Ok(shard) => {
                log::info!("intake: job={id} stored shard={shard}.");
                self.remember(id, &shard, None);
                answer(StatusCode::OK, Bytes::new())
            }
            Err(Failure::NotApplied) => refused("the store does not take the job"),
            Err(Failure::Unknown) => {
                let body = wire::write_error("it is not known whether the job was stored", None);
                answer(StatusCode::GATEWAY_TIMEOUT, body)
            }
        }
    }

    /// Stores a job under its identifier, for the leader of a shard; returns the shard that it
    /// belongs to.
    ///
    /// The write depends on the lease row, so that a job is known to be new to the leader whose
    /// token it bears, and a leader that was replaced can tell from the token.
    async fn store_job(
        &self,
        view: &View,
        shard: &str,
        id: JobId,
        job: &JobSpec,
        end: Instant,
    ) -> Result<String, Failure> {
        let known = view.leaders.get(shard).map(|l| (l.token, l.ver));
        let (mut token, mut ver) = match known {
            Some(known) => known,
            None => self.read_lease(shard).await?,
        };
        loop {
            let job = JobSpec {
                token,
                ..job.clone()
            };
            let tx = Tx {
                expect: vec![(keys::id(id), 0), (keys::lease(shard), ver)],
                puts: vec![
                    (keys::id(id), shard.as_bytes().to_vec()),
                    // Plain data always encodes.
                    (
                        keys::job(shard, id),
                        postcard::to_stdvec(&job).unwrap_or_default(),
                    ),
                ],
                deletes: Vec::new(),
            };
            let rows = match self.write(&tx, end).await? {
                TxOutcome::Applied(_) => return Ok(shard.to_owned()),
                TxOutcome::Conflict(rows) => rows,
            };
            let own = keys::id(id);
            let there = rows.into_iter().find(|row| row.name == own && row.ver > 0);
            if let Some(there) = there.filter(|row| !row.deleted) {
                return String::from_utf8(there.value).map_err(|_| Failure::Unknown);
            }
            (token, ver) = self.read_lease(shard).await?;
            log::info!("intake: job={id} shard={shard} has another leader, token={token}.");
        }
    }

    async fn read_lease(&self, shard: &str) -> Result<(u64, u64), Failure> {
        let (row, ver) = read_lease(&self.store, shard).await?;
        Ok((row.token, ver))
    }

    /// Writes until the outcome is known.
    async fn write(&self, tx: &Tx, end: Instant) -> Result<TxOutcome, Failure> {
        let patience = Instant::now() + WRITE_PATIENCE;
        let mut backoff = Backoff::new();
        let mut unclear = false;
        loop {
            let e = match self.store.tx(tx).await {
                Ok(outcome) => return Ok(outcome),
                Err(e) => e,
            };
            unclear |= e != StoreError::NotApplied;
            let wait = backoff.next(&mut rand::rng());
            let limit = if unclear { end } else { end.min(patience) };
            if Instant::now() + wait >= limit {
                return Err(if unclear {
                    Failure::Unknown
                } else {
                    Failure::NotApplied
                });
            }
            sleep(wait).await;
        }
    }

    async fn pending(&self, view: &View, queue: &str, end: Instant) -> HttpResponse {
        let mut sum = 0;
        for shard in &self.settings.shards {
            if let Some(pending) = view.pending(&shard.name, queue) {
                sum += pending;
                continue;
            }
            // The leader is not heard here, but the store has what it wrote last.
            let Ok(row) = self.read_row(&keys::heartbeat(&shard.name), end).await else {
                return refused("it is not known how many jobs wait");
            };
            let heartbeat = row.map(|value| postcard::from_bytes::<StoreHeartbeat>(&value));
            let heartbeat = heartbeat.and_then(Result::ok).unwrap_or_default();
            let of_queue = heartbeat.pending.iter().filter(|(name, _)| name == queue);
            sum += of_queue.map(|(_, pending)| pending).sum::<u32>();
        }
        answer(StatusCode::OK, wire::write_pending(sum))
    }

    async fn state(&self, id: JobId, end: Instant) -> HttpResponse {
        match self.find_state(id, end).await {
            Ok(Some(state)) => answer(StatusCode::OK, wire::write_state(state)),
            Ok(None) => answer(wire::NO_SUCH_JOB, Bytes::new()),
            Err(_) => refused("the job's state is not known now"),
        }
    }

    async fn find_state(&self, id: JobId, end: Instant) -> Result<Option<JobState>, Failure> {
        let known = self.jobs.lock().shards.get(&id).cloned();
        if let Some((_, Some(state))) = known {
            return Ok(Some(state));
        }
        let shard = match known {
            Some((shard, _)) => shard,
            // With a single shard its leader knows, whether the store is in reach or not.
            None if self.settings.shards.len() == 1
                && let Some(state) = self.ask_leader(self.own_shard(), id).await =>
            {
                let over = !matches!(state, JobState::Queued | JobState::Running);
                let shard = self.own_shard().to_owned();
                self.remember(id, &shard, over.then_some(state));
                return Ok(Some(state));
            }
            None => match self.read_shard(id, end).await? {
                Some(shard) => shard,
                None => return Ok(None),
            },
        };
        let (shard, state) = match self.ask_leader(&shard, id).await {
            Some(state) => (shard, state),
            None => {
                // It may have been passed on, or the leader does not know it yet.
                let there = self.read_shard(id, end).await?;
                let there = there.unwrap_or(shard);
                let state = self.read_state(&there, id, end).await?;
                (there, state)
            }
        };
        let over = !matches!(state, JobState::Queued | JobState::Running);
        self.remember(id, &shard, over.then_some(state));
        Ok(Some(state))
    }

    async fn ask_leader(&self, shard: &str, id: JobId) -> Option<JobState> {
        let view = self.view.load_full();
        let leader = view.leaders.get(shard)?;
        if leader.name == self.settings.name {
            let ask = GetJobState(shard.to_owned(), id);
            return self.control.send(ask).await.ok().flatten();
        }
        let link = {
            let mut links = self.links.lock();
            let address = leader.address;
            let new = || Arc::new(Link::new(address, None));
            links.entry(address).or_insert_with(new).clone()
        };
        let call = Call::JobState {
            shard: shard.to_owned(),
            job: id,
        };
        match link.call(&call, STATE_LIMIT).await {
            Ok(Reply::JobState(state)) => state,
            Ok(_) => None,
            Err(e) => {
                log::info!(
                    "intake: job={id} shard={shard} leader={}: {e}.",
                    leader.name
                );
                None
            }
        }
    }

    /// Reads the shard of a job; `None` if there is no such job.
    async fn read_shard(&self, id: JobId, end: Instant) -> Result<Option<String>, Failure> {
        let row = self.read_row(&keys::id(id), end).await?;
        let shard = row.map(|value| String::from_utf8(value).map_err(|_| Failure::Unknown));
        shard.transpose()
    }

    /// Reads a job's state from the store.
    async fn read_state(&self, shard: &str, id: JobId, end: Instant) -> Result<JobState, Failure> {
        let row = self.read_row(&keys::progress(shard, id), end).await?;
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

    async fn read_row(&self, key: &RowKey, end: Instant) -> Result<Option<Vec<u8>>, Failure> {
        let mut backoff = Backoff::new();
        loop {
            let e = match read_row(&self.store, key).await {
                Ok(row) => return Ok(row),
                Err(e) => e,
            };
            let wait = backoff.next(&mut rand::rng());
            if Instant::now() + wait >= end {
                return Err(e.into());
            }
            sleep(wait).await;
        }
    }

    async fn cancel(&self, id: JobId, end: Instant) -> HttpResponse {
        // It may have been passed on since it was accepted, so that memory does not do.
        let shard = match self.read_shard(id, end).await {
            Ok(Some(shard)) => shard,
            Ok(None) => return answer(wire::NO_SUCH_JOB, Bytes::new()),
            Err(_) => return refused("the job is not known now"),
        };
        let tx = Tx {
            puts: vec![(keys::cancel(&shard, id), Vec::new())],
            ..Tx::default()
        };
        match self.write(&tx, end).await {
            Ok(_) => answer(StatusCode::OK, Bytes::new()),
            Err(Failure::NotApplied) => refused("the store does not take the cancellation"),
            Err(Failure::Unknown) => {
                let problem = "it is not known whether the cancellation was stored";
                let body = wire::write_error(problem, None);
                answer(StatusCode::GATEWAY_TIMEOUT, body)
            }
        }
    }

    fn own_shard(&self) -> &str {
        let own = self.settings.shard_of(&self.settings.domain);
        own.unwrap_or_default()
    }

    fn shard_of(&self, id: JobId) -> Option<String> {
        let jobs = self.jobs.lock();
        jobs.shards.get(&id).map(|(shard, _)| shard.clone())
    }

    fn remember(&self, id: JobId, shard: &str, over: Option<JobState>) {
        let mut jobs = self.jobs.lock();
        if jobs.shards.insert(id, (shard.to_owned(), over)).is_some() {
            return;
        }
        jobs.order.push_back(id);
        if jobs.order.len() > REMEMBERED
            && let Some(oldest) = jobs.order.pop_front()
        {
            jobs.shards.remove(&oldest);
        }
    }
}

fn host_of<'a>(headers: &'a HeaderMap, authority: Option<&'a str>) -> &'a str {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    host.or(authority).unwrap_or_default()
}

fn answer(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Says that nothing was done and when to come back.
fn refused(problem: &str) -> HttpResponse {
    let body = wire::write_error(problem, Some(RETRY_AFTER_S * 1_000));
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, body);
    answer
        .headers_mut()
        .insert(RETRY_AFTER, RETRY_AFTER_S.into());
    answer
}
