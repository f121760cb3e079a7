//! The stand-ins for the workers: each serves requests with simulated service times, and runs a
//! task agent.

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

/// The maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The time between two checks of the tasks for finished ones and expired leases.
const TASK_INTERVAL: Duration = Duration::from_millis(10);

/// How long after it was marked as leaving a worker may still receive requests; later ones are
/// counted in the record.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The distribution of the running times of requests without an `ms` query parameter.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The mean, in milliseconds.
    pub mean_ms: f64,
    /// The coefficient of variation of the lognormal distribution; zero for a constant.
    pub cv: f64,
    /// The relative slowdown for each other request or task on the worker; 0.02 adds 2 % each.
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

/// The injected faults of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every request is answered with 500 at once.
    pub fail: bool,
    /// Every request runs, but its connection fails after half of the response body.
    pub cut: bool,
    /// The factor by which service times are multiplied, if it is above zero.
    pub slow: f64,
    /// Every task fails as soon as it is started.
    pub fail_tasks: bool,
}

/// The settings that all workers of a process share.
#[derive(Clone, Debug)]
pub struct WorkersConfig {
    /// The id of the first worker; the others follow in sequence.
    pub first_id: u32,
    /// The number of workers in each domain.
    pub per_domain: u32,
    /// The numbers of the failure domains.
    pub domains: Vec<u16>,
    /// The name of the service that the workers run.
    pub service: String,
    /// The address that all workers listen on.
    pub ip: IpAddr,
    /// The distribution of the requests' running times.
    pub service_time: ServiceTime,
    /// The seed of the service times; each worker adds its id.
    pub seed: u64,
}

/// The state of one worker, shared by its connections.
struct Shared {
    id: u32,
    record: Record,
    requests: AtomicU32,
    connections: AtomicU32,
    /// The number of connections accepted so far; connections are numbered from one in the order in
    /// which they are accepted.
    accepted_connections: AtomicU64,
    /// The number of the last connection that no longer responds; neither do the earlier ones.
    silent_up_to: AtomicU64,
    /// When the worker was marked as leaving.
    leaving_since: Mutex<Option<Instant>>,
    killed: AtomicBool,
    faults: Mutex<WorkerFaults>,
    service_time: ServiceTime,
    rng: Mutex<StdRng>,
    agent: Mutex<TaskAgent>,
}

impl Shared {
    fn record_current_usage(&self) {
        let tasks = self.agent.lock().running();
        let slots = self.requests.load(Ordering::Acquire) + tasks;
        let connections = self.connections.load(Ordering::Acquire);
        self.record.record_usage(self.id, slots, connections);
    }
}

/// A handle to one running worker.
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

    /// Sets the faults of the worker.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.shared.agent.lock().fail_all = faults.fail_tasks;
        *self.shared.faults.lock() = faults;
    }

    /// Makes all open connections unresponsive until they are closed; later connections work.
    pub fn silence_connections(&self) {
        let newest = self.shared.accepted_connections.load(Ordering::Acquire);
        self.shared.silent_up_to.store(newest, Ordering::Release);
    }

    /// Marks the worker as leaving; the record counts requests that arrive more than 3 s later.
    pub fn leave(&self) {
        *self.shared.leaving_since.lock() = Some(Instant::now());
    }

    /// Ends the worker at once: requests in flight are aborted, connections are refused, and its
    /// tasks end unfinished.
    pub fn kill(&self) {
        self.shared.agent.lock().crash(Instant::now());
        self.shared.killed.store(true, Ordering::Release);
    }
}

/// The running workers of a process.
#[derive(Clone)]
pub struct Workers {
    /// The workers, in the order of their ids.
    pub handles: Vec<WorkerHandle>,
    /// The record of what ran on the workers.
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
        let mut id = cfg.first_id;
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

    /// Returns the worker with this id, if there is one.
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
        accepted_connections: AtomicU64::new(0),
        silent_up_to: AtomicU64::new(0),
        leaving_since: Mutex::new(None),
        killed: AtomicBool::new(false),
        faults: Mutex::default(),
        service_time: cfg.service_time,
        rng: Mutex::new(StdRng::seed_from_u64(cfg.seed.wrapping_add(id.into()))),
        agent: Mutex::new(TaskAgent::new(id, record.clone())),
    });
    tokio::spawn(accept_connections(upstream, shared.clone()));
    tokio::spawn(advance_tasks(shared.clone()));
    serve_agent(agent, shared.clone());
    Ok(WorkerHandle { shared, listed })
}

async fn advance_tasks(shared: Arc<Shared>) {
    let mut ticks = interval(TASK_INTERVAL);
    loop {
        ticks.tick().await;
        shared.agent.lock().advance(Instant::now());
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    while !shared.killed.load(Ordering::Acquire) {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_killed(&shared) => return,
        };
        if let Ok((stream, _)) = accepted {
            let number = shared.accepted_connections.fetch_add(1, Ordering::AcqRel) + 1;
            tokio::spawn(handle_connection(stream, number, shared.clone()));
        }
    }
}

async fn wait_until_killed(shared: &Shared) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    while !shared.killed.load(Ordering::Acquire) {
        sleep(POLL_INTERVAL).await;
    }
}

async fn handle_connection(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    // Without this option, small responses wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    shared.connections.fetch_add(1, Ordering::AcqRel);
    shared.record_current_usage();
    let service = service_fn(|req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle_request(&shared, number, req).await) }
    });
    let exchange = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors are ignored because the client notices the end of the connection.
        _ = exchange => {}
        () = wait_until_killed(&shared) => {}
    }
    shared.connections.fetch_sub(1, Ordering::AcqRel);
}

/// Counts a request as in progress until it is dropped.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.requests.fetch_add(1, Ordering::AcqRel);
        shared.record_current_usage();
        Self(shared.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

type ResponseBody = BoxBody<Bytes, io::Error>;

async fn handle_request(
    shared: &Arc<Shared>,
    number: u64,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    if number <= shared.silent_up_to.load(Ordering::Acquire) {
        // A silent connection never responds.
        pending::<()>().await;
    }
    let in_progress = InProgress::new(shared);
    let is_past_grace = |since: Instant| since.elapsed() > LEAVING_GRACE;
    if shared.leaving_since.lock().is_some_and(is_past_grace) {
        shared.record.record_request_after_leaving(shared.id);
    }
    let id = req.headers().get("x-request-id");
    let id = id.and_then(|v| v.to_str().ok()).map(str::to_owned);
    shared.record.record_request(shared.id, id.as_deref());
    let deadline = req.headers().get("marigoldbend-deadline-ms");
    let deadline = deadline.and_then(|v| v.to_str().ok()?.parse().ok());
    let deadline = deadline.map_or(Duration::MAX, Duration::from_millis);
    let query = req.uri().query().unwrap_or("").to_owned();
    let Ok(sent) = read_whole(req.into_body(), MAX_BODY_BYTES).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let faults = *shared.faults.lock();
    if faults.fail {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let run_time =
        query_parameter(&query, "ms").map_or_else(|| draw_service_time(shared, &faults), from_ms);
    if !run_time.is_zero() {
        // The work continues after its client disconnects, up to the deadline in the request.
        let work = tokio::spawn(async move {
            sleep(run_time.min(deadline)).await;
            drop(in_progress);
        });
        // The task can't panic.
        let _ = work.await;
    }
    let size = query_parameter(&query, "size").map_or(0, |size| size as usize);
    let body = expected_body(id.as_deref().unwrap_or(""), size, &sent);
    if faults.cut {
        return truncated_response(body);
    }
    let full_body = Full::new(body).map_err(|e| match e {});
    let mut response = Response::new(BoxBody::new(full_body));
    response.headers_mut().insert("x-worker", shared.id.into());
    response
}

/// Returns the response body for a request, so that a caller can check that it is complete.
///
/// `id` is the request's id, `size` the length of the padding in bytes, and `sent` the body of the
/// request.
pub fn expected_body(id: &str, size: usize, sent: &[u8]) -> Bytes {
    let mut body = format!("{id}:{}:", sent.len()).into_bytes();
    let padding = id
        .bytes()
        .cycle()
        .take(if id.is_empty() { 0 } else { size });
    body.extend(padding);
    body.extend_from_slice(b":end");
    body.into()
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let body = Full::new(Bytes::new()).map_err(|e| match e {});
    let mut response = Response::new(BoxBody::new(body));
    *response.status_mut() = status;
    response
}

/// Returns a response that declares the length of the whole body but fails after half of it.
fn truncated_response(body: Bytes) -> Response<ResponseBody> {
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

fn query_parameter(query: &str, name: &str) -> Option<f64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, 60.0))
}

/// Draws a service time from the worker's distribution.
fn draw_service_time(shared: &Shared, faults: &WorkerFaults) -> Duration {
    let time = shared.service_time;
    if time.mean_ms <= 0.0 {
        return Duration::ZERO;
    }
    let random_factor = if time.cv > 0.0 {
        lognormal(&mut shared.rng.lock(), time.cv)
    } else {
        1.0
    };
    let fault_factor = if faults.slow > 0.0 { faults.slow } else { 1.0 };
    let tasks = shared.agent.lock().running();
    let others = shared.requests.load(Ordering::Acquire).saturating_sub(1) + tasks;
    let contention_factor = 1.0 + time.slowdown * f64::from(others);
    from_ms(time.mean_ms * random_factor * fault_factor * contention_factor)
}

/// Draws from a lognormal distribution with mean one, by the Box-Muller transform.
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
        // The sender must outlive the server, which stops when the sender is dropped.
        drop(stop);
    });
}

async fn handle_agent_request(shared: &Shared, req: Request<Incoming>) -> HttpResponse {
    if shared.killed.load(Ordering::Acquire) {
        pending::<()>().await;
    }
    let path = req.uri().path().to_owned();
    let Ok(body) = read_whole(req.into_body(), MAX_BODY_BYTES).await else {
        return problem(
            StatusCode::BAD_REQUEST,
            "the request body could not be read",
        );
    };
    match run_agent_call(shared, &path, &body) {
        Ok(Some(response)) => response,
        Ok(None) => problem(StatusCode::NOT_FOUND, "the task agent has no such path"),
        Err(e) => problem(StatusCode::UNPROCESSABLE_ENTITY, &e.to_string()),
    }
}

fn run_agent_call(
    shared: &Shared,
    path: &str,
    body: &[u8],
) -> serde_json::Result<Option<HttpResponse>> {
    let now = Instant::now();
    let mut agent = shared.agent.lock();
    let response = match path {
        "/tasks/start" => {
            let start: StartTask = serde_json::from_slice(body)?;
            let status = agent.start(&start, now);
            drop(agent);
            shared.record_current_usage();
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
    Ok(Some(response))
}
