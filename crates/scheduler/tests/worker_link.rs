//! Tests of the link to a worker that restarts under its address.

use {
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    marigoldbend_core::sched::{
        deputy::RenewalCall,
        job::{JobId, TaskName},
        shard::Command,
        worker::{CommandReply, Report},
    },
    marigoldbend_http::connection::ConnectionPool,
    marigoldbend_scheduler::{
        commands::{BoxFuture, CommandResult, ReportRequest, WorkerLink},
        metrics::Metrics,
        renewal::{RenewalResult, renew},
    },
    marigoldbend_wire::stand_in::{self as wire, WorkerAction, WorkerCall},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        task::AbortHandle,
        time::timeout,
    },
};

/// The time limit of a step of a test.
const LIMIT: Duration = Duration::from_secs(10);

/// A worker that carries out each call at once, and may restart.
struct Worker {
    address: SocketAddr,
    started_ms: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
    /// How many of the next calls are refused with status 503.
    refusals: Arc<AtomicU64>,
    /// The calls, each with the start of the process that carried it out.
    calls: UnboundedReceiver<(u64, WorkerCall)>,
}

impl Worker {
    async fn start() -> Self {
        Self::start_with(true).await
    }

    /// Starts a worker that closes each connection after one reply unless `keep_alive`.
    async fn start_with(keep_alive: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("binding a port failed");
        let address = listener.local_addr().expect("the listener has no address");
        let started_ms = Arc::new(AtomicU64::new(1));
        let connections = Arc::new(Mutex::new(Vec::<AbortHandle>::new()));
        let (tx, calls) = mpsc::unbounded_channel();
        let refusals = Arc::new(AtomicU64::new(0));
        let (process, open) = (started_ms.clone(), connections.clone());
        let refuse = refusals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let started_ms = process.load(Ordering::Relaxed);
                let tx = tx.clone();
                let (process, refuse) = (process.clone(), refuse.clone());
                let service = service_fn(move |req| {
                    carry_out(req, started_ms, process.clone(), refuse.clone(), tx.clone())
                });
                let mut http = hyper::server::conn::http1::Builder::new();
                http.keep_alive(keep_alive);
                let connection = http.serve_connection(TokioIo::new(stream), service);
                let connection = tokio::spawn(connection);
                let mut open = open.lock().expect("no thread panics");
                open.push(connection.abort_handle());
            }
        });
        Self {
            address,
            started_ms,
            connections,
            refusals,
            calls,
        }
    }

    /// Starts another process without a sign on the connections to the former one, as when the worker's
    /// machine lost power: they stay open at the caller, and nothing is answered on them.
    fn restart_silently(&self) {
        self.started_ms.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the process with its connections, and starts another one.
    fn restart(&self) {
        let mut connections = self.connections.lock().expect("no thread panics");
        self.started_ms.fetch_add(1, Ordering::Relaxed);
        connections.drain(..).for_each(|c| c.abort());
    }

    async fn next_call(&mut self) -> (u64, WorkerCall) {
        let call = timeout(LIMIT, self.calls.recv()).await;
        call.expect("no call in time").expect("the worker runs")
    }
}

async fn carry_out(
    req: Request<Incoming>,
    started_ms: u64,
    process: Arc<AtomicU64>,
    refusals: Arc<AtomicU64>,
    tx: UnboundedSender<(u64, WorkerCall)>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if process.load(Ordering::Relaxed) != started_ms {
        std::future::pending::<()>().await;
    }
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let call = wire::read_worker_call(&path, &body).expect("the call is valid");
    let body = match call.action {
        WorkerAction::Report { .. } => wire::write_report(&Report {
            started_ms,
            clock_ms: 1_000 * started_ms,
            ..Report::default()
        }),
        _ => wire::write_reply(CommandReply::Ok, 1_000 * started_ms).1,
    };
    // The receiver may be gone at the end of a test.
    let _ = tx.send((started_ms, call));
    let left = refusals.load(Ordering::Relaxed);
    if left > 0 {
        refusals.store(left - 1, Ordering::Relaxed);
        let mut refusal = Response::new(Full::new(Bytes::new()));
        *refusal.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        return Ok(refusal);
    }
    Ok(Response::new(Full::new(body)))
}

fn metrics() -> Arc<Metrics> {
    Arc::new(Metrics::new().expect("the metrics are valid"))
}

/// Returns a start for the process that started at `started_ms`.
fn start_command(started_ms: u64) -> Command {
    Command::Start {
        worker: "w".to_owned(),
        task: TaskName {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        attempt: 1,
        spec_text: "".into(),
        started_ms,
        until_ms: 5_000_000,
        token: 64,
        checkpoint: String::new(),
        approval: None,
    }
}

/// Sends a start for the process that started at `started_ms`; returns the reply.
async fn send_start(link: &WorkerLink, started_ms: u64) -> CommandReply {
    let (tx, mut rx) = mpsc::unbounded_channel();
    link.send(
        start_command(started_ms),
        metrics(),
        move |result: CommandResult| {
            Box::pin(async move {
                let _ = tx.send(result.reply);
            })
        },
    );
    let reply = timeout(LIMIT, rx.recv()).await;
    reply.expect("no reply in time").expect("there is a reply")
}

/// Opens a link that requests no reports.
fn open_link(worker: &Worker) -> WorkerLink {
    let next_request = || -> BoxFuture<Option<ReportRequest>> { Box::pin(async { None }) };
    let callback = |_, _| -> BoxFuture<()> { Box::pin(async {}) };
    let address = worker.address.to_string();
    let link = WorkerLink::open("w", &address, metrics(), next_request, callback);
    link.expect("the address is valid")
}

fn is_start(call: &WorkerCall) -> bool {
    matches!(call.action, WorkerAction::Start { .. })
}

/// Guards against a start that a worker's next process carries out with a lease end of the former clock.
#[tokio::test]
async fn a_start_for_the_former_process_reaches_the_present_one() {
    let mut worker = Worker::start().await;
    let link = open_link(&worker);
    assert_eq!(send_start(&link, 1).await, CommandReply::Ok);
    worker.restart();
    // The first copy may fail on the connection to the former process.
    let mut reply = send_start(&link, 1).await;
    if reply == CommandReply::Silent {
        reply = send_start(&link, 1).await;
    }
    assert_eq!(reply, CommandReply::OtherProcess);
    assert_eq!(send_start(&link, 2).await, CommandReply::Ok);
    worker.calls.close();
    let mut starts = Vec::new();
    while let Some((started_ms, call)) = worker.calls.recv().await {
        starts.extend(is_start(&call).then_some(started_ms));
    }
    assert_eq!(starts, [1, 2]);
}

/// Guards against a lease of the maximum length at a worker's next process, and a restart that is noticed late.
#[tokio::test]
async fn the_first_request_to_a_restarted_worker_renews_leases_by_the_former_clock() {
    let mut worker = Worker::start().await;
    let next_request = || -> BoxFuture<Option<ReportRequest>> {
        let request = ReportRequest {
            delay: Duration::ZERO,
            token: 64,
            acked_end: 5,
            until_ms: Some(5_000_000),
            wait: Duration::from_secs(1),
        };
        Box::pin(async move { Some(request) })
    };
    let callback = |_, _| -> BoxFuture<()> { Box::pin(async {}) };
    let address = worker.address.to_string();
    let link = WorkerLink::open("w", &address, metrics(), next_request, callback);
    let _link = link.expect("the address is valid");
    for process in [1, 2] {
        let (mut started_ms, mut call) = worker.next_call().await;
        while started_ms < process {
            (started_ms, call) = worker.next_call().await;
        }
        let WorkerAction::Report { acked, wait } = call.action else {
            panic!("{call:?}");
        };
        assert_eq!((call.until_ms, acked, wait), (None, 0, Duration::ZERO));
        let (_, call) = worker.next_call().await;
        assert_eq!(call.until_ms, Some(5_000_000));
        worker.restart();
    }
}

/// Opens a link that requests reports, each with the lease end and the acknowledgement of a known process.
fn polling_link(worker: &Worker) -> WorkerLink {
    let next_request = || -> BoxFuture<Option<ReportRequest>> {
        let request = ReportRequest {
            delay: Duration::ZERO,
            token: 64,
            acked_end: 5,
            until_ms: Some(5_000_000),
            wait: Duration::from_secs(1),
        };
        Box::pin(async move { Some(request) })
    };
    let callback = |_, _| -> BoxFuture<()> { Box::pin(async {}) };
    let address = worker.address.to_string();
    let link = WorkerLink::open("w", &address, metrics(), next_request, callback);
    link.expect("the address is valid")
}

/// Guards against a lease end and an acknowledgement for the former process at one that has refused the
/// first request on its connection, so that no report has shown which process it is.
#[tokio::test]
async fn a_request_after_a_refused_one_is_for_an_unknown_process() {
    let mut worker = Worker::start().await;
    worker.refusals.store(1, Ordering::Relaxed);
    let _link = polling_link(&worker);
    for request in 1..=2 {
        let (_, call) = worker.next_call().await;
        let WorkerAction::Report { acked, wait } = call.action else {
            panic!("{call:?}");
        };
        assert_eq!(
            (call.until_ms, acked, wait),
            (None, 0, Duration::ZERO),
            "request {request}"
        );
    }
}

/// Guards against starts that are held back while an idle connection to the former process seems open.
#[tokio::test]
async fn an_idle_connection_to_the_former_process_holds_up_no_start_for_the_present_one() {
    let worker = Worker::start().await;
    let link = open_link(&worker);
    assert_eq!(send_start(&link, 1).await, CommandReply::Ok);
    worker.restart_silently();
    let mut replies = Vec::new();
    for _ in 0..3 {
        replies.push(send_start(&link, 2).await);
    }
    assert!(replies.contains(&CommandReply::Ok), "{replies:?}");
}

/// Guards against a worker that closes each connection after a reply, and so gets no start or no lease.
#[tokio::test]
async fn a_worker_that_closes_connections_gets_starts() {
    let worker = Worker::start_with(false).await;
    let link = open_link(&worker);
    let mut replies = Vec::new();
    for _ in 0..3 {
        replies.push(send_start(&link, 1).await);
    }
    assert!(replies.contains(&CommandReply::Ok), "{replies:?}");
}

/// Guards against the same.
#[tokio::test]
async fn a_worker_that_closes_connections_gets_leases() {
    let mut worker = Worker::start_with(false).await;
    let _link = polling_link(&worker);
    let mut ends = Vec::new();
    for _ in 0..6 {
        ends.push(worker.next_call().await.1.until_ms);
    }
    assert!(ends.iter().any(Option::is_some), "{ends:?}");
}

/// Guards against a deputy that sets a lease of the maximum length at a worker's next process.
#[tokio::test]
async fn a_deputy_renews_a_lease_by_the_clock_of_the_former_process() {
    let mut worker = Worker::start().await;
    let pool = ConnectionPool::new(worker.address);
    let call = RenewalCall {
        worker: "w".to_owned(),
        address: worker.address.to_string(),
        token: 64,
        started_ms: 1,
        until_ms: Some(5_000_000),
    };
    assert_eq!(renew(&pool, &call).await, RenewalResult::Answered(1, 1_000));
    worker.restart();
    // The first call may fail on the connection to the former process.
    let mut result = renew(&pool, &call).await;
    if result == RenewalResult::Silent {
        result = renew(&pool, &call).await;
    }
    assert_eq!(result, RenewalResult::Answered(2, 2_000));
    worker.calls.close();
    let mut ends = Vec::new();
    while let Some((started_ms, call)) = worker.calls.recv().await {
        ends.push((started_ms, call.until_ms));
    }
    assert_eq!(ends, [(1, None), (1, Some(5_000_000)), (2, None)]);
}
