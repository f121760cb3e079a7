//! Workers: each an upstream with slots and injected service times, and a task agent.

use {
    crate::{record::Record, tasks::TaskAgent},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    marigoldbend_core::ids::{Domain, WorkerId},
    marigoldbend_http::{
        body::{HttpResponse, json, problem, read_whole},
        server::{Limits, serve},
    },
    marigoldbend_platform::wire::{
        Liveness, RenewReply, RenewTasks, StartTask, StopTask, ThrottleTask, Usage, Worker,
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    std::{
        convert::Infallible,
        future::pending,
        io,
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{interval, sleep},
    },
};

/// The longest body that is read, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// The time between two looks at the tasks' leases.
const TASK_STEP: Duration = Duration::from_millis(10);

/// The time that a leaving worker still accepts requests without a mark in the record.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// How long a request runs when it does not say so itself.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The mean, in milliseconds.
    pub mean_ms: f64,
    /// The coefficient of variation of the lognormal distribution; zero for a constant.
    pub cv: f64,
    /// The slowdown by each further piece of work on the worker, as a share.
    pub slowdown: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_ms: 0.0,
            cv: 0.0,
            slowdown: 0.0,
        }
    }
}

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every request is answered with 500 at once.
    pub fail: bool,
    /// Every request runs, but its answer is cut in the middle.
    pub cut: bool,
    /// Service times are multiplied by this, if it is above zero.
    pub slow: f64,
    /// Every task that is started fails.
    pub fail_tasks: bool,
}

/// What all workers of a process have in common.
#[derive(Clone, Debug)]
pub struct WorkersConfig {
    /// The number of the first worker.
    pub first: u32,
    /// How many workers each domain has.
    pub per_domain: u32,
    /// The domains.
    pub domains: Vec<u16>,
    /// The service.
    pub service: String,
    /// The address that they listen on.
    pub ip: IpAddr,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// The seed of the service times.
    pub seed: u64,
}

struct Shared {
    id: u32,
    record: Record,
    requests: AtomicU32,
    connections: AtomicU32,
    accepted: AtomicU64,
    /// Connections up to this number have gone silent.
    silent_up_to: AtomicU64,
    leaving: Mutex<Option<Instant>>,
    closed: AtomicBool,
    faults: Mutex<WorkerFaults>,
    service_time: ServiceTime,
    rng: Mutex<StdRng>,
    agent: Mutex<TaskAgent>,
}

impl Shared {
    fn note_use(&self) {
        let tasks = self.agent.lock().running();
        let slots = self.requests.load(Ordering::Acquire) + tasks;
        let connections = self.connections.load(Ordering::Acquire);
        self.record.record_usage(self.id, slots, connections);
    }
}

/// One running worker.
#[derive(Clone)]
pub struct WorkerHandle {
    shared: Arc<Shared>,
    listed: Worker,
}

impl WorkerHandle {
    /// Returns the worker as the platform lists it.
    pub fn listed(&self) -> Worker {
        self.listed.clone()
    }

    /// Sets how the worker misbehaves.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.shared.agent.lock().fail_all = faults.fail_tasks;
        *self.shared.faults.lock() = faults;
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        let newest = self.shared.accepted.load(Ordering::Acquire);
        self.shared.silent_up_to.store(newest, Ordering::Release);
    }

    /// Marks the worker as leaving, so that late requests are noted in the record.
    pub fn leave(&self) {
        *self.shared.leaving.lock() = Some(Instant::now());
    }

    /// Ends the worker at once: requests in flight are cut, connections are refused, its tasks
    /// end unfinished.
    pub fn kill(&self) {
        self.shared.agent.lock().crash(Instant::now());
        self.shared.closed.store(true, Ordering::Release);
    }
}

/// The running workers of a process.
#[derive(Clone)]
pub struct Workers {
    /// The workers, in order of their numbers.
    pub handles: Vec<WorkerHandle>,
    /// What really ran.
    pub record: Record,
}

impl Workers {
    /// Starts the workers on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(cfg: &WorkersConfig) -> io::Result<Self> {
        let record = Record::default();
        let mut handles = Vec::new();
        let mut id = cfg.first;
        for &domain in &cfg.domains {
            for _ in 0..cfg.per_domain {
                handles.push(start_worker(cfg, id, domain, &record).await?);
                id += 1;
            }
        }
        Ok(Self { handles, record })
    }

    /// Returns the workers as the platform lists them.
    pub fn listed(&self) -> Vec<Worker> {
        self.handles.iter().map(WorkerHandle::listed).collect()
    }

    /// Returns a worker by its number.
    pub fn get(&self, id: u32) -> Option<&WorkerHandle> {
        self.handles.iter().find(|w| w.shared.id == id)
    }
}

async fn start_worker(
    cfg: &WorkersConfig,
    id: u32,
    domain: u16,
    record: &Record,
) -> io::Result<WorkerHandle> {
    let upstream = TcpListener::bind((cfg.ip, 0)).await?;
    let agent = TcpListener::bind((cfg.ip, 0)).await?;
    let listed = Worker {
        id: WorkerId(id),
        domain: Domain(domain),
        service: cfg.service.clone(),
        upstream: upstream.local_addr()?,
        agent: agent.local_addr()?,
        state: Liveness::Live,
    };
    let shared = Arc::new(Shared {
        id,
        record: record.clone(),
        requests: AtomicU32::new(0),
        connections: AtomicU32::new(0),
        accepted: AtomicU64::new(0),
        silent_up_to: AtomicU64::new(0),
        leaving: Mutex::new(None),
        closed: AtomicBool::new(false),
        faults: Mutex::default(),
        service_time: cfg.service_time,
        rng: Mutex::new(StdRng::seed_from_u64(cfg.seed.wrapping_add(id.into()))),
        agent: Mutex::new(TaskAgent::new(id, record.clone())),
    });
    tokio::spawn(accept(upstream, shared.clone()));
    tokio::spawn(advance_tasks(shared.clone()));
    serve_agent(agent, shared.clone());
    Ok(WorkerHandle { shared, listed })
}

async fn advance_tasks(shared: Arc<Shared>) {
    let mut steps = interval(TASK_STEP);
    loop {
        steps.tick().await;
        shared.agent.lock().advance(Instant::now());
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while !shared.closed.load(Ordering::Acquire) {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&shared) => return,
        };
        if let Ok((stream, _)) = accepted {
            let number = shared.accepted.fetch_add(1, Ordering::AcqRel) + 1;
            tokio::spawn(connection(stream, number, shared.clone()));
        }
    }
}

async fn closed(shared: &Shared) {
    const STEP: Duration = Duration::from_millis(5);
    while !shared.closed.load(Ordering::Acquire) {
        sleep(STEP).await;
    }
}

async fn connection(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    // Without the option, small answers wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    shared.connections.fetch_add(1, Ordering::AcqRel);
    shared.note_use();
    let service = service_fn(|req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle_request(&shared, number, req).await) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A connection that fails concerns nobody but its client, who sees it end.
        _ = served => {}
        () = closed(&shared) => {}
    }
    shared.connections.fetch_sub(1, Ordering::AcqRel);
}

/// A request in progress.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.requests.fetch_add(1, Ordering::AcqRel);
        shared.note_use();
        Self(shared.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

type AnswerBody = BoxBody<Bytes, io::Error>;

async fn handle_request(
    shared: &Arc<Shared>,
    number: u64,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    if number <= shared.silent_up_to.load(Ordering::Acquire) {
        // What is sent on a silent connection never arrives.
        pending::<()>().await;
    }
    let in_progress = InProgress::new(shared);
    let late = |since: Instant| since.elapsed() > LEAVING_GRACE;
    if shared.leaving.lock().is_some_and(late) {
        shared.record.record_request_after_leaving(shared.id);
    }
    let id = req.headers().get("x-request-id");
    let id = id.and_then(|v| v.to_str().ok()).map(str::to_owned);
    shared.record.record_request(shared.id, id.as_deref());
    let deadline = req.headers().get("marigoldbend-deadline-ms");
    let deadline = deadline.and_then(|v| v.to_str().ok()?.parse().ok());
    let deadline = deadline.map_or(Duration::MAX, Duration::from_millis);
    let query = req.uri().query().unwrap_or("").to_owned();
    let Ok(sent) = read_whole(req.into_body(), BODY_LIMIT).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let faults = *shared.faults.lock();
    if faults.fail {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let run = parameter(&query, "ms").map_or_else(|| drawn(shared, &faults), from_ms);
    if !run.is_zero() {
        // The work goes on when its client is gone, up to the deadline that was passed on.
        let work = tokio::spawn(async move {
            sleep(run.min(deadline)).await;
            drop(in_progress);
        });
        // The task can't panic.
        let _ = work.await;
    }
    let size = parameter(&query, "size").map_or(0, |size| size as usize);
    let body = expected_body(id.as_deref().unwrap_or(""), size, &sent);
    if faults.cut {
        return cut(body);
    }
    let whole = Full::new(body).map_err(|e| match e {});
    let mut response = Response::new(BoxBody::new(whole));
    response.headers_mut().insert("x-worker", shared.id.into());
    response
}

/// Returns the body that answers a request, so that a caller can tell whether it is whole.
pub fn expected_body(id: &str, size: usize, sent: &[u8]) -> Bytes {
    let mut body = format!("{id}:{}:", sent.len()).into_bytes();
    let filler = id
        .bytes()
        .cycle()
        .take(if id.is_empty() { 0 } else { size });
    body.extend(filler);
    body.extend_from_slice(b":end");
    body.into()
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let body = Full::new(Bytes::new()).map_err(|e| match e {});
    let mut response = Response::new(BoxBody::new(body));
    *response.status_mut() = status;
    response
}

/// Announces the whole body, sends half of it and fails.
fn cut(body: Bytes) -> Response<AnswerBody> {
    let length = body.len();
    let half = body.slice(..length / 2);
    let frames = futures_util::stream::iter([
        Ok(Frame::data(half)),
        Err(io::Error::from(io::ErrorKind::ConnectionReset)),
    ]);
    let mut response = Response::new(BoxBody::new(StreamBody::new(frames)));
    response
        .headers_mut()
        .insert("content-length", length.into());
    response
}

fn parameter(query: &str, name: &str) -> Option<f64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, 60.0))
}

/// Draws a service time from the worker's distribution.
fn drawn(shared: &Shared, faults: &WorkerFaults) -> Duration {
    let time = shared.service_time;
    if time.mean_ms <= 0.0 {
        return Duration::ZERO;
    }
    let factor = if time.cv > 0.0 {
        lognormal(&mut shared.rng.lock(), time.cv)
    } else {
        1.0
    };
    let slow = if faults.slow > 0.0 { faults.slow } else { 1.0 };
    let tasks = shared.agent.lock().running();
    let others = shared.requests.load(Ordering::Acquire).saturating_sub(1) + tasks;
    let crowded = 1.0 + time.slowdown * f64::from(others);
    from_ms(time.mean_ms * factor * slow * crowded)
}

/// Draws from a lognormal distribution with mean one.
fn lognormal(rng: &mut StdRng, cv: f64) -> f64 {
    let variance = (1.0 + cv * cv).ln();
    let (u, v): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (normal * variance.sqrt() - variance / 2.0).exp()
}

fn serve_agent(listener: TcpListener, shared: Arc<Shared>) {
    let (stop, stopped) = watch::channel(false);
    let handler = move |_, req| {
        let shared = shared.clone();
        async move { handle_agent_request(&shared, req).await }
    };
    tokio::spawn(async move {
        serve(listener, Limits::default(), handler, stopped).await;
        // The sender must outlive the server, which otherwise takes it for a stop.
        drop(stop);
    });
}

async fn handle_agent_request(shared: &Shared, req: Request<Incoming>) -> HttpResponse {
    if shared.closed.load(Ordering::Acquire) {
        pending::<()>().await;
    }
    let path = req.uri().path().to_owned();
    let Ok(body) = read_whole(req.into_body(), BODY_LIMIT).await else {
        return problem(StatusCode::BAD_REQUEST, "the body was cut");
    };
    match agent_call(shared, &path, &body) {
        Ok(Some(answer)) => answer,
        Ok(None) => problem(StatusCode::NOT_FOUND, "there is nothing at this path"),
        Err(e) => problem(StatusCode::UNPROCESSABLE_ENTITY, &e.to_string()),
    }
}

fn agent_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
) -> serde_json::Result<Option<HttpResponse>> {
    let now = Instant::now();
    let mut agent = shared.agent.lock();
    let answer = match path {
        "/tasks/start" => {
            let start: StartTask = serde_json::from_slice(body)?;
            let status = agent.start(&start, now);
            drop(agent);
            shared.note_use();
            json(StatusCode::OK, &status)
        }
        "/tasks/renew" => {
            let renew: RenewTasks = serde_json::from_slice(body)?;
            let lease = Duration::from_millis(renew.lease_ms);
            let tasks = renew.tasks.iter().map(|t| agent.renew(t, lease, now));
            let tasks = tasks.collect();
            json(StatusCode::OK, &RenewReply { tasks })
        }
        "/tasks/stop" => {
            let stop: StopTask = serde_json::from_slice(body)?;
            json(StatusCode::OK, &agent.stop(&stop.task, now))
        }
        "/tasks/throttle" => {
            let throttle: ThrottleTask = serde_json::from_slice(body)?;
            json(
                StatusCode::OK,
                &agent.throttle(&throttle.task, throttle.percent, now),
            )
        }
        "/usage" => {
            let usage = Usage {
                requests: shared.requests.load(Ordering::Acquire),
                tasks: agent.running(),
                cpu: 0.0,
                age_ms: 0,
            };
            json(StatusCode::OK, &usage)
        }
        _ => return Ok(None),
    };
    Ok(Some(answer))
}
