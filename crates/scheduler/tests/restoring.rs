//! Tests what a new leader does for the workers while it reads the rows of the shard, through the
//! control thread, a stand-in for the store and one for a worker.

use {
    arc_swap::ArcSwap,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming},
    marigoldbend_core::{
        clock::SystemClock,
        sched::{
            job::{JobId, JobSpec, Resources, Step, TaskName},
            leadership::LeaseRow,
            loans::LoanRequest,
            progress::{JobOutcome, Progress},
            worker::{Availability, CommandReply, Report, RunningRow, WorkerInfo},
        },
    },
    marigoldbend_http::{
        body::{HttpResponse, read_whole},
        connection::{ConnectionPool, Outgoing, TimeLimits},
        server::{Limits, serve},
    },
    marigoldbend_peer::heartbeat::{Heartbeat, Omissions},
    marigoldbend_platform::{rows::RowKey, store::Store},
    marigoldbend_scheduler::{
        commands::BoxFuture,
        control::{Control, Event, GetLoan, TICK, deliver_urgent_event},
        keys,
        metrics::Metrics,
        settings::{Features, Settings, ShardSettings},
        takeover::{KnownTokens, take_over},
        view::View,
    },
    marigoldbend_wire::{
        stand_in::{self as wire, WorkerAction, WorkerCall},
        store::{WIRE, WORKERS_TABLE},
    },
    stand_ins::rows::RowStore,
    std::{
        future::pending,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
    xtra::Mailbox,
};

const SHARD: &str = "all";

/// The token of the previous leader, and what the next leader sends to workers.
const PREVIOUS_TOKEN: u64 = 3;
const WORKER_TOKEN: u64 = 64 * (PREVIOUS_TOKEN + 1);

/// How long the test waits for anything; reached only if it fails.
const LIMIT: Duration = Duration::from_secs(20);

/// A job that waits, and one that runs on the worker but is not stored any more.
const WAITING: JobId = JobId(7);
const UNKNOWN: JobId = JobId(8);

/// What the store does with reads of the tables.
struct TableReads {
    /// The table whose reads are held up or fail.
    table: String,
    /// Reads of that table wait until this is true.
    open: watch::Sender<bool>,
    /// How many reads of that table still fail.
    failures: AtomicU32,
    /// Whether calls that wait for changes of the job table get no reply.
    is_watch_silent: bool,
    /// Whether the store has deleted the changes of the job table.
    is_history_deleted: bool,
    /// How many pages of the job table were read.
    job_pages: watch::Sender<u32>,
    /// Whether all calls are refused.
    is_down: AtomicBool,
    /// When the worker's process started, on its clock.
    worker_started_ms: AtomicU64,
}

impl Default for TableReads {
    fn default() -> Self {
        Self {
            table: keys::jobs_table(SHARD),
            open: watch::Sender::new(false),
            failures: AtomicU32::new(0),
            is_watch_silent: false,
            is_history_deleted: false,
            job_pages: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            worker_started_ms: AtomicU64::new(1),
        }
    }
}

fn reply(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Starts a server on a free port.
async fn start<F>(
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        let (_stop, stopped) = watch::channel(false);
        serve(
            listener,
            Limits::default(),
            move |_, req| handler(req),
            stopped,
        )
        .await;
    });
    address
}

/// Starts a proxy before the store that holds up or fails reads.
async fn start_proxy(store: SocketAddr, reads: Arc<TableReads>) -> SocketAddr {
    let pool = Arc::new(ConnectionPool::new(store));
    start(move |req| {
        let (pool, reads) = (pool.clone(), reads.clone());
        async move {
            if reads.is_down.load(Ordering::Relaxed) {
                return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            let uri = req.uri().clone();
            let path = uri.path_and_query().map_or("", |p| p.as_str()).to_owned();
            if path.starts_with("/v1/rows-get") && path.contains(&reads.table) {
                let relaxed = Ordering::Relaxed;
                let count_down = |left: u32| left.checked_sub(1);
                if reads
                    .failures
                    .fetch_update(relaxed, relaxed, count_down)
                    .is_ok()
                {
                    return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                }
                let mut open = reads.open.subscribe();
                if open.wait_for(|open| *open).await.is_err() {
                    return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                }
            }
            let jobs_table = keys::jobs_table(SHARD);
            let is_job_call = path.contains(&jobs_table);
            if is_job_call && path.starts_with("/v1/rows-feed") {
                if reads.is_watch_silent && !path.ends_with("wait_ms=0") {
                    return pending().await;
                }
                if reads.is_history_deleted {
                    return reply(StatusCode::GONE, Bytes::new());
                }
            }
            let method = req.method().clone();
            let Ok(body) = read_whole(req.into_body(), 1 << 20).await else {
                return reply(StatusCode::BAD_REQUEST, Bytes::new());
            };
            let is_job_page = is_job_call && path.starts_with("/v1/rows-get");
            let outgoing = Outgoing::new(method, path, body);
            match pool.exchange(outgoing, TimeLimits::total(LIMIT)).await {
                Ok(r) => {
                    if is_job_page {
                        reads.job_pages.send_modify(|pages| *pages += 1);
                    }
                    reply(r.status, r.body)
                }
                Err(_) => reply(StatusCode::BAD_GATEWAY, Bytes::new()),
            }
        }
    })
    .await
}

/// Starts a worker that passes each call to `calls`, reports a run if it `is_busy`, and refuses lower
/// fencing tokens than the highest that its process has seen.
async fn start_worker(
    calls: mpsc::UnboundedSender<WorkerCall>,
    is_busy: bool,
    reads: Arc<TableReads>,
) -> SocketAddr {
    let epoch = Instant::now();
    let highest = Arc::new(Mutex::new((0, 0)));
    start(move |req| {
        let calls = calls.clone();
        let (reads, highest) = (reads.clone(), highest.clone());
        async move {
            let path = req.uri().path().to_owned();
            let body = read_whole(req.into_body(), 1 << 20)
                .await
                .unwrap_or_default();
            let clock_ms = epoch.elapsed().as_millis() as u64;
            let Some(call) = wire::read_worker_call(&path, &body) else {
                let (status, body) = wire::write_reply(CommandReply::Refused, clock_ms);
                return reply(status, body);
            };
            let is_report = matches!(call.action, WorkerAction::Report { .. });
            let token = call.token;
            // The test may have ended.
            let _ = calls.send(call);
            let started_ms = reads.worker_started_ms.load(Ordering::Relaxed);
            let is_fenced = {
                let mut highest = highest.lock().expect("no thread panics");
                if highest.0 != started_ms {
                    *highest = (started_ms, 0);
                }
                highest.1 = highest.1.max(token);
                token < highest.1
            };
            if is_fenced {
                let (status, body) = wire::write_reply(CommandReply::Fenced, clock_ms);
                return reply(status, body);
            }
            if is_report {
                let run = RunningRow {
                    task: task(UNKNOWN),
                    attempt: 300,
                    checkpoint: String::new(),
                    percent: 10.0,
                    usage: None,
                };
                let report = Report {
                    started_ms,
                    clock_ms,
                    running: is_busy.then_some(run).into_iter().collect(),
                    ..Report::default()
                };
                return reply(StatusCode::OK, wire::write_report(&report));
            }
            let (status, body) = wire::write_reply(CommandReply::Ok, clock_ms);
            reply(status, body)
        }
    })
    .await
}

fn task(job: JobId) -> TaskName {
    TaskName {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data can be encoded")
}

/// An instance that takes the shard of a silent leader over.
struct Deployment {
    store: RowStore,
    reads: Arc<TableReads>,
    calls: mpsc::UnboundedReceiver<WorkerCall>,
    control: xtra::Address<Control>,
}

impl Deployment {
    /// Starts the instance, its worker and the store.
    async fn start(reads: TableReads, is_worker_listed: bool, is_worker_busy: bool) -> Self {
        let reads = Arc::new(reads);
        let store = RowStore::start(Duration::ZERO)
            .await
            .expect("starting the store failed");
        let (to_test, calls) = mpsc::unbounded_channel();
        let worker = start_worker(to_test, is_worker_busy, reads.clone())
            .await
            .to_string();
        let step = Step {
            count: 1,
            request: Resources {
                cpu: 1_000,
                mem_mb: 100,
                gpu: 0,
            },
            ..Step::default()
        };
        let spec = JobSpec {
            queue: "q".to_owned(),
            service: "s".to_owned(),
            max_attempts: 2,
            spec: "text".to_owned(),
            steps: vec![step],
            token: PREVIOUS_TOKEN,
            ..JobSpec::default()
        };
        let previous = LeaseRow {
            holder: "previous".to_owned(),
            incarnation: 1,
            token: PREVIOUS_TOKEN,
        };
        store.put(keys::lease(SHARD), encode(&previous));
        store.put(keys::job(SHARD, WAITING), encode(&spec));
        let in_use = vec![("w1".to_owned(), worker.clone())];
        store.put(keys::workers_in_use(SHARD), encode(&in_use));
        if is_worker_listed {
            let info = WorkerInfo {
                id: "w1".to_owned(),
                service: "s".to_owned(),
                address: worker,
                domain: "z".to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: 4_000,
                    mem_mb: 10_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                started_ms: 1,
                remaining_ms: None,
            };
            store.put(
                RowKey::new(WORKERS_TABLE, "", "w1"),
                wire::write_entry(&info, 1),
            );
        }
        let address = start_proxy(store.address(), reads.clone()).await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("binding a port failed");
        let settings = Settings {
            name: "next".to_owned(),
            domain: "z".to_owned(),
            shards: vec![ShardSettings {
                name: SHARD.to_owned(),
                domains: vec!["z".to_owned()],
            }],
            cpu_share: 500,
            peers: socket.local_addr().expect("the socket has no address"),
            store: address,
            advice: None,
            max_lease: Duration::from_secs(4),
            drain: Duration::from_secs(2),
            keep: Duration::from_secs(60),
            config_max_age: Duration::from_secs(3),
            evacuation_max_age: None,
            features: Features::default(),
        };
        let clock = Arc::new(SystemClock);
        let control = Control::new(
            settings,
            7,
            clock.clone(),
            Arc::new(Store::new(address, WIRE, clock)),
            socket,
            Arc::new(Metrics::new().expect("the metrics are valid")),
            Arc::new(ArcSwap::<View>::default()),
        );
        let control = xtra::spawn_tokio(control, Mailbox::unbounded());
        let to_control = control.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK);
            loop {
                ticks.tick().await;
                deliver_urgent_event(&to_control, Event::Tick).await;
            }
        });
        Self {
            store,
            reads,
            calls,
            control,
        }
    }

    /// Returns the next call to the worker that `is_wanted`, and whether any call before it was not
    /// a report request.
    async fn call_until(&mut self, is_wanted: impl Fn(&WorkerCall) -> bool) -> (WorkerCall, bool) {
        let mut has_commands = false;
        let wanted = async {
            loop {
                let call = self.calls.recv().await.expect("the worker stays");
                if is_wanted(&call) {
                    return call;
                }
                has_commands |= !matches!(call.action, WorkerAction::Report { .. });
            }
        };
        let call = timeout(LIMIT, wanted).await.expect("no such call");
        (call, has_commands)
    }
}

fn renews_leases(call: &WorkerCall) -> bool {
    matches!(call.action, WorkerAction::Report { .. }) && call.until_ms.is_some()
}

/// Guards against long-running tasks that all lapse whenever the leader changes, since nobody renews
/// leases until the rows are read.
#[test_case::test_case(true; "a listed worker")]
#[test_case::test_case(false; "a worker that only the previous leader has used")]
#[tokio::test]
async fn leases_are_renewed_before_the_rows_are_read(is_worker_listed: bool) {
    let mut deployment = Deployment::start(TableReads::default(), is_worker_listed, true).await;
    let (call, has_commands) = deployment.call_until(renews_leases).await;
    assert_eq!(call.token, WORKER_TOKEN);
    assert!(
        !has_commands,
        "a command was sent before the rows were read"
    );
    let lease = deployment.store.row(&keys::lease(SHARD)).expect("a lease");
    let lease: LeaseRow = postcard::from_bytes(&lease.value).expect("a lease");
    assert_eq!(lease.token, PREVIOUS_TOKEN + 1);
    let heartbeat = deployment.store.row(&keys::heartbeat(SHARD));
    assert_eq!(heartbeat, None, "counts were stored before they were known");

    // The report that was kept meanwhile shows a run that no stored job needs.
    deployment.reads.open.send_replace(true);
    let is_stop = |call: &WorkerCall| matches!(call.action, WorkerAction::Stop { .. });
    let (call, _) = deployment.call_until(is_stop).await;
    let stop = WorkerAction::Stop {
        task: task(UNKNOWN),
        attempt: 300,
    };
    assert_eq!(call.action, stop);
}

/// Guards against a shard that nobody leads and whose leases nobody renews, after a takeover that
/// failed once its lease row was written.
#[tokio::test]
async fn leases_are_renewed_until_the_next_takeover_by_the_same_instance() {
    let mut deployment = Deployment::start(
        TableReads {
            failures: AtomicU32::new(u32::MAX),
            ..TableReads::default()
        },
        true,
        true,
    )
    .await;
    deployment.reads.open.send_replace(true);
    // A takeover repeats a failed read three times, so the fifth is that of the next takeover.
    let failed = |deployment: &Deployment| {
        let left = deployment.reads.failures.load(Ordering::Relaxed);
        u32::MAX - left
    };
    while failed(&deployment) < 5 {
        let (call, _) = deployment.call_until(renews_leases).await;
        assert_eq!(call.token, WORKER_TOKEN);
    }
    deployment.reads.failures.store(0, Ordering::Relaxed);
    let is_stop = |call: &WorkerCall| matches!(call.action, WorkerAction::Stop { .. });
    let (call, _) = deployment.call_until(is_stop).await;
    assert_eq!(call.token, WORKER_TOKEN);
}

/// Guards against an instance that renews leases with the token of a lease row that another one has
/// replaced, while it still reads.
#[tokio::test]
async fn leases_are_not_renewed_under_a_replaced_lease_row() {
    let mut deployment = Deployment::start(TableReads::default(), true, true).await;
    deployment.call_until(renews_leases).await;
    let successor = LeaseRow {
        holder: "successor".to_owned(),
        incarnation: 1,
        token: PREVIOUS_TOKEN + 2,
    };
    deployment.store.put(keys::lease(SHARD), encode(&successor));
    // The worker replies at once, so that requests follow each other until they end. Without a look
    // at the lease row they would end only with the reading, which fails after more than 4 s.
    let end = async {
        let silence = Duration::from_millis(1_000);
        while let Ok(Some(_)) = timeout(silence, deployment.calls.recv()).await {}
    };
    timeout(Duration::from_secs(4), end)
        .await
        .expect("report requests don't end");
    drop(deployment.control);
}

/// Guards against a second leadership with the token of the first, whose writes and commands may
/// still be on their way.
#[test_case::test_case(PREVIOUS_TOKEN, PREVIOUS_TOKEN + 1; "a token with which it has led")]
#[test_case::test_case(PREVIOUS_TOKEN - 1, PREVIOUS_TOKEN; "a token with which it has not led yet")]
#[tokio::test]
async fn an_instance_leads_once_with_a_token(led_token: u64, expected: u64) {
    let store = RowStore::start(Duration::ZERO)
        .await
        .expect("starting the store failed");
    let own = LeaseRow {
        holder: "next".to_owned(),
        incarnation: 7,
        token: PREVIOUS_TOKEN,
    };
    store.put(keys::lease(SHARD), encode(&own));
    let client = Store::new(store.address(), WIRE, Arc::new(SystemClock));
    let ignore_steps = |_| -> BoxFuture<()> { Box::pin(async {}) };
    let known = KnownTokens {
        led: led_token,
        newest: PREVIOUS_TOKEN,
    };
    let state = take_over(&client, SHARD, ("next", 7), known, false, &ignore_steps)
        .await
        .expect("the takeover failed");
    assert_eq!(state.lease.token, expected);
}

/// Guards against tasks that start seconds after the cancellation of their job was acknowledged,
/// since it was stored between the reading of the jobs and the first dispatch (UNASKED).
#[test_case::test_case(false; "read as a change")]
#[test_case::test_case(true; "read with all rows")]
#[tokio::test]
async fn a_cancellation_during_a_takeover_precedes_the_first_dispatch(is_history_deleted: bool) {
    let reads = TableReads {
        table: keys::progress_table(SHARD),
        is_watch_silent: true,
        is_history_deleted,
        ..TableReads::default()
    };
    let mut deployment = Deployment::start(reads, true, false).await;
    deployment.call_until(renews_leases).await;
    let mut job_pages = deployment.reads.job_pages.subscribe();
    let read = timeout(LIMIT, job_pages.wait_for(|pages| *pages > 0)).await;
    read.expect("the jobs are not read").expect("a page");
    deployment
        .store
        .put(keys::cancel(SHARD, WAITING), Vec::new());
    deployment.reads.open.send_replace(true);
    let is_cancelled = |store: &RowStore| {
        let row = store.row(&keys::progress(SHARD, WAITING));
        let progress = row.and_then(|row| Progress::decode(&row.value).ok());
        progress.is_some_and(|progress| progress.outcome == JobOutcome::Cancelled)
    };
    while !is_cancelled(&deployment.store) {
        let is_any = |_: &WorkerCall| true;
        let (call, _) = deployment.call_until(is_any).await;
        let is_start = matches!(call.action, WorkerAction::Start { .. });
        assert!(!is_start, "a task of the cancelled job has started");
    }
}

/// Guards against a worker that refuses every report request of a leader, since the leader has forgotten
/// the higher fencing token that it used after the worker's restart: it dropped its state while the store
/// rejected it, and its lease row is still in force.
#[tokio::test]
async fn a_takeover_that_continues_uses_no_lower_fencing_token() {
    let mut deployment = Deployment::start(TableReads::default(), true, true).await;
    deployment.call_until(renews_leases).await;
    let reads = deployment.reads.clone();
    reads.worker_started_ms.store(2, Ordering::Relaxed);
    let (call, _) = deployment
        .call_until(|call| call.token == WORKER_TOKEN + 1)
        .await;
    assert!(matches!(call.action, WorkerAction::Report { .. }));
    reads.is_down.store(true, Ordering::Relaxed);
    let rejected_at = Instant::now();
    while rejected_at.elapsed() < Duration::from_secs(6) {
        let heartbeat = peer_heartbeat(false);
        deliver_urgent_event(&deployment.control, Event::Heartbeat(heartbeat)).await;
        sleep(Duration::from_millis(150)).await;
    }
    while deployment.calls.try_recv().is_ok() {}
    let is_any = |_: &WorkerCall| true;
    let silent = timeout(Duration::from_millis(500), deployment.calls.recv()).await;
    assert!(silent.is_err(), "the leases are still renewed");
    reads.is_down.store(false, Ordering::Relaxed);
    reads.open.send_replace(true);
    let (call, _) = deployment.call_until(is_any).await;
    let lease = deployment.store.row(&keys::lease(SHARD)).expect("a lease");
    let lease: LeaseRow = postcard::from_bytes(&lease.value).expect("a lease");
    assert!(
        call.token > WORKER_TOKEN,
        "token={} lease={lease:?}, the worker has seen {}",
        call.token,
        WORKER_TOKEN + 1
    );
}

/// Returns the heartbeat of a peer that reaches the store.
fn peer_heartbeat(waits_for_loans: bool) -> Heartbeat {
    Heartbeat {
        name: "peer".to_owned(),
        domain: "z".to_owned(),
        incarnation: 5,
        address: "127.0.0.1:1".parse().expect("an address"),
        config_version: 0,
        store_reachable: true,
        shutting_down: false,
        taking_over: Vec::new(),
        led_shards: Vec::new(),
        cpu_share: 69,
        newest_tokens: Vec::new(),
        waits_for_loans,
        outlooks: Vec::new(),
        omissions: Omissions::default(),
        store_age: Some(Duration::from_millis(100)),
    }
}

/// Guards against loans that a successor does not wait for, as it has an earlier version or other settings,
/// and against loans by a deployment that does not ask for them.
#[tokio::test]
async fn leases_are_lent_only_while_every_possible_successor_waits_for_loans() {
    let deployment = Deployment::start(TableReads::default(), true, true).await;
    deployment.reads.open.send_replace(true);
    let request = LoanRequest {
        shard: SHARD.to_owned(),
        token: PREVIOUS_TOKEN + 1,
        holder: "peer".to_owned(),
        incarnation: 5,
        domain: "z".to_owned(),
        ..LoanRequest::default()
    };
    let lend = async || {
        let loan = deployment.control.send(GetLoan(request.clone())).await;
        loan.expect("the actor lives")
    };
    let hear = async |waits_for_loans| {
        let heartbeat = Event::Heartbeat(peer_heartbeat(waits_for_loans));
        deliver_urgent_event(&deployment.control, heartbeat).await;
    };
    hear(true).await;
    let started = async {
        while deployment
            .store
            .row(&keys::heartbeat(SHARD))
            .is_none_or(|row| row.value.is_empty())
        {
            sleep(TICK).await;
        }
    };
    timeout(LIMIT, started).await.expect("no takeover");
    assert_eq!(lend().await, None);
    let limits = |max_lease, delegated_renewal| Event::Limits {
        max_lease,
        drain: Duration::from_secs(2),
        keep: Duration::from_secs(60),
        config_max_age: Duration::from_secs(3),
        evacuation_max_age: None,
        features: Features {
            delegated_renewal,
            ..Features::default()
        },
    };
    let short = limits(Duration::from_secs(7), true);
    deliver_urgent_event(&deployment.control, short).await;
    assert_eq!(lend().await, None);
    let long = limits(Duration::from_secs(10), true);
    deliver_urgent_event(&deployment.control, long).await;
    let lent = async {
        loop {
            if let Some(loan) = lend().await
                && !loan.workers.is_empty()
            {
                return loan;
            }
            sleep(TICK).await;
        }
    };
    let loan = timeout(LIMIT, lent).await.expect("nothing is lent");
    assert_eq!(loan.workers[0].token, WORKER_TOKEN);
    hear(false).await;
    assert_eq!(lend().await, None);
    hear(true).await;
    assert!(lend().await.is_some());
}
