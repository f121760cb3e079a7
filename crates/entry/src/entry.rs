//! One entry instance: its sockets, its threads and its graceful shutdown.

use {
    crate::{
        callers::CallerApi,
        control::{AnnounceShutdown, Control, ControlConfig, DatagramReceived, Leave, Tick},
        directory::Directory,
        idempotency::IdempotencyRouter,
        jobs::{self, Jobs, JobsConfig},
        limits::{self, InstanceLimits},
        listen::{self, ListenError},
        metrics::{Metrics, MetricsError},
        operators::OperatorApi,
        router::Router,
        settings::Settings,
    },
    arc_swap::ArcSwap,
    marigoldbend::{
        core::{
            admission::OwnershipConfirmation,
            clock::{Clock, SystemClock},
            ids::Incarnation,
            ownership::{Member, Timing},
        },
        http::server::serve,
        peer::{
            call::{Call, Reply, Snapshot},
            datagram::{self, Datagram},
        },
        platform::{group::GroupWriter, table::Table},
    },
    rand::RngExt,
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Handle, Runtime},
        sync::watch,
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
    xtra::prelude::*,
};

/// How long a shutdown waits until its tasks are checkpointed and returned to the queue.
const JOBS_STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a shutdown waits until this instance has released its ownerships of workers.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long an instance that has released its ownerships still refuses peers' offers before it
/// stops listening for peers.
const OFFER_REFUSAL_PERIOD: Duration = Duration::from_millis(300);

/// How long a shutdown waits until the offers that it accepted are answered.
const PEER_CALLS_TIMEOUT: Duration = Duration::from_secs(6);

/// How often a shutdown checks whether its current step is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum length of a call by a peer, in bytes: an offer with the longest body, and its header.
const MAX_CALL_BYTES: usize = 2 << 20;

/// How many times its length a long body takes in addition while it is handled: the copy in an
/// offer to a peer.
const HANDLING_FACTOR: usize = 1;

/// A result of starting an instance.
pub type Result<T, E = EntryError> = std::result::Result<T, E>;

/// Why an instance could not be started.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Names the socket's purpose and address.
        source: ListenError,
    },
    /// A thread or runtime could not be started.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The error of the metrics library.
        source: MetricsError,
    },
}

/// The addresses on which an instance listens, with the ports that were bound.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers, over UDP and TCP.
    pub peers: SocketAddr,
}

/// A running entry instance.
pub struct Entry {
    addresses: Addresses,
    stop: watch::Sender<bool>,
    control: thread::JoinHandle<bool>,
}

struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
}

impl Entry {
    /// Binds the sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be bound or a thread can't be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let (sockets, addresses) = bind(&settings)?;
        log::info!(
            "entry: {} listens callers={} operators={} peers={}.",
            settings.name,
            addresses.callers,
            addresses.operators,
            addresses.peers,
        );
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let (stop, _) = watch::channel(false);
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let control_runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let ctx = InstanceContext {
            settings,
            addresses,
            metrics,
            stop: stop.clone(),
        };
        let thread = thread::Builder::new().name("control".to_owned());
        let control = thread
            .spawn(move || run(ctx, sockets, &control_runtime, traffic))
            .context(ThreadSnafu)?;
        Ok(Self {
            addresses,
            stop,
            control,
        })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts a graceful shutdown and returns immediately.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Blocks until the instance has ended; returns whether, in time, all requests completed, all
    /// tasks returned to the queue and all ownerships were released.
    pub fn join(self) -> bool {
        self.control.join().unwrap_or(false)
    }

    /// Waits until a shutdown is started by [`Entry::stop`] or by an operator's drain.
    pub async fn wait_for_stop(&self) {
        let mut stop = self.stop.subscribe();
        // An error would mean that the sender was dropped, but `self` holds one.
        let _ = stop.wait_for(|&stop| stop).await;
    }
}

/// Binds all sockets of an instance; also returns the addresses that they are bound to.
fn bind(settings: &Settings) -> Result<(Sockets, Addresses)> {
    let (callers, callers_address) = listen::tcp("callers", settings.callers)?;
    let (operators, operators_address) = listen::tcp("operators", settings.operators)?;
    let (peers, datagrams, peers_address) = listen::tcp_and_udp("peers", settings.peers)?;
    let sockets = Sockets {
        callers,
        operators,
        peers,
        datagrams,
    };
    let addresses = Addresses {
        callers: callers_address,
        operators: operators_address,
        peers: peers_address,
    };
    Ok((sockets, addresses))
}

/// What the control thread needs to run an instance.
struct InstanceContext {
    settings: Settings,
    addresses: Addresses,
    metrics: Arc<Metrics>,
    stop: watch::Sender<bool>,
}

/// Runs an instance on the control thread until it has ended; returns whether its shutdown was
/// graceful.
fn run(ctx: InstanceContext, sockets: Sockets, runtime: &Runtime, traffic: Runtime) -> bool {
    let graceful = runtime.block_on(async {
        match wire_up(&ctx, sockets, traffic.handle()) {
            Ok(running) => running.run_until_stopped(&ctx).await,
            Err(e) => {
                log::error!("entry: can't start: {e}.");
                false
            }
        }
    });
    traffic.shutdown_timeout(Duration::from_secs(1));
    log::info!(
        "entry: {} has ended, graceful={graceful}.",
        ctx.settings.name
    );
    graceful
}

/// The actors and servers of an instance, and the channels that stop them.
struct RunningInstance {
    control: Address<Control>,
    jobs: Address<Jobs>,
    callers_stop: watch::Sender<bool>,
    callers: tokio::task::JoinHandle<bool>,
    /// Stops the servers for operators and peers.
    internal_stop: watch::Sender<bool>,
    peers: tokio::task::JoinHandle<()>,
}

/// Creates the actors and servers of an instance and starts them.
fn wire_up(
    ctx: &InstanceContext,
    sockets: Sockets,
    traffic: &Handle,
) -> io::Result<RunningInstance> {
    let settings = &ctx.settings;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let directory = Arc::new(ArcSwap::<Directory>::default());
    let confirmation = Arc::new(OwnershipConfirmation::new(Instant::now()));
    let me = Member {
        incarnation: Incarnation(rand::rng().random()),
        name: settings.name.clone(),
        peer: settings.peer_advertise.unwrap_or(ctx.addresses.peers),
    };
    log::info!("entry: {} is incarnation {}.", me.name, me.incarnation);
    let datagrams = Arc::new(tokio::net::UdpSocket::from_std(sockets.datagrams)?);
    let control = xtra::spawn_tokio(
        Control::new(
            control_config(settings, me.clone()),
            clock.clone(),
            datagrams.clone(),
            directory.clone(),
            confirmation,
            ctx.metrics.clone(),
        ),
        Mailbox::unbounded(),
    );
    let jobs = xtra::spawn_tokio(
        Jobs::new(
            jobs_config(settings, me.incarnation),
            clock,
            directory.clone(),
            ctx.metrics.clone(),
        ),
        Mailbox::unbounded(),
    );
    spawn_ticks(control.clone(), crate::control::TICK, || Tick);
    spawn_ticks(jobs.clone(), jobs::TICK, || jobs::Tick);
    tokio::spawn(receive(datagrams, control.clone(), ctx.metrics.clone()));

    let limits = InstanceLimits::new(
        settings.memory_mb,
        settings.max_fds,
        MAX_CALL_BYTES,
        HANDLING_FACTOR,
    );
    tokio::spawn(limits::report(limits.counters.clone()));
    let router = Arc::new(Router::new(directory, ctx.metrics.clone()));
    let (callers_stop, callers_stopped) = watch::channel(false);
    let (internal_stop, internal_stopped) = watch::channel(false);
    let operators = Arc::new(OperatorApi::new(
        router.clone(),
        control.clone(),
        table(settings),
        ctx.metrics.clone(),
        limits.budget.clone(),
        ctx.stop.clone(),
    ));
    let listener = tokio::net::TcpListener::from_std(sockets.operators)?;
    let handler = move |_, req| {
        let operators = operators.clone();
        async move { operators.handle(req).await }
    };
    tokio::spawn(serve(
        listener,
        limits.internal,
        handler,
        internal_stopped.clone(),
    ));

    let runtime_guard = traffic.enter();
    let writer = GroupWriter::start(table(settings));
    let callers = Arc::new(CallerApi::new(
        router.clone(),
        IdempotencyRouter::new(table(settings), writer, router.clone()),
        table(settings),
        jobs.clone(),
        ctx.metrics.clone(),
        limits.budget,
    ));
    let listener = tokio::net::TcpListener::from_std(sockets.callers)?;
    let handler = move |_, req| {
        let callers = callers.clone();
        async move { callers.handle(req).await }
    };
    let callers = traffic.spawn(serve(listener, limits.callers, handler, callers_stopped));
    let listener = tokio::net::TcpListener::from_std(sockets.peers)?;
    let handler = move |call| handle_peer_call(router.clone(), call);
    let peers =
        marigoldbend::peer::server::serve(listener, limits.peers, handler, internal_stopped);
    let peers = traffic.spawn(peers);
    drop(runtime_guard);
    Ok(RunningInstance {
        control,
        jobs,
        callers_stop,
        callers,
        internal_stop,
        peers,
    })
}

fn table(settings: &Settings) -> Table {
    let platform_timeout = settings.platform_timeout;
    Table::new(&settings.platform_url, platform_timeout, settings.local_ip)
}

fn control_config(settings: &Settings, me: Member) -> ControlConfig {
    ControlConfig {
        me,
        domain: settings.domain,
        seeds: settings.seeds.clone(),
        local_ip: settings.local_ip,
        platform_url: settings.platform_url.clone(),
        platform_timeout: settings.platform_timeout,
        timing: Timing::default(),
    }
}

fn jobs_config(settings: &Settings, me: Incarnation) -> JobsConfig {
    JobsConfig {
        me,
        domain: settings.domain,
        local_ip: settings.local_ip,
        platform_url: settings.platform_url.clone(),
        platform_timeout: settings.platform_timeout,
    }
}

/// Sends a tick to an actor once per `period`, until the actor ends.
fn spawn_ticks<A, M>(address: Address<A>, period: Duration, tick: impl Fn() -> M + Send + 'static)
where
    A: Handler<M>,
    M: Send + 'static,
{
    tokio::spawn(async move {
        let mut interval = interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if address.send(tick()).await.is_err() {
                return;
            }
        }
    });
}

/// Passes peers' datagrams to the control actor; datagrams that can't be decoded are counted and
/// dropped.
async fn receive(
    socket: Arc<tokio::net::UdpSocket>,
    control: Address<Control>,
    metrics: Arc<Metrics>,
) {
    let mut buf = [0; datagram::MAX_BYTES + 1];
    loop {
        // A UDP socket reports errors of earlier sends here, such as a closed port.
        let Ok((n, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(datagram) = Datagram::decode(&buf[..n]) else {
            metrics.datagrams_dropped.inc();
            continue;
        };
        if control.send(DatagramReceived(datagram)).await.is_err() {
            return;
        }
    }
}

async fn handle_peer_call(router: Arc<Router>, call: Call) -> Reply {
    match call {
        Call::Offer(offer) => router.serve_offer(offer).await,
        // Only instances that schedule jobs (module `scheduling`) have shards.
        Call::JobState { .. } => Reply::JobState(None),
        Call::Evacuations { .. } => Reply::Evacuations(None),
        Call::Loan(_) => Reply::Loan(None),
        Call::Pending { .. } => Reply::Pending(None),
        Call::Snapshot(domain) => {
            let directory = router.directory();
            let (version, row) = &directory.row;
            let has_row = row.domain == domain && version.0 > 0;
            let config = directory.config.as_ref();
            Reply::Snapshot(Box::new(Snapshot {
                config: config.map(|c| (c.version, (*c.config).clone())),
                row: has_row.then(|| (*version, (**row).clone())),
                list: serde_json::to_string(&*directory.list).ok(),
            }))
        }
    }
}

impl RunningInstance {
    /// Waits for a stop, then shuts down step by step; returns whether, in time, callers' requests
    /// completed, tasks returned to the queue and ownerships were released.
    async fn run_until_stopped(self, ctx: &InstanceContext) -> bool {
        let mut stop = ctx.stop.subscribe();
        // An error would mean that the sender was dropped, but `ctx` holds one.
        let _ = stop.wait_for(|&stop| stop).await;
        log::info!("entry: {} is shutting down.", ctx.settings.name);
        // The actor ends only with the process.
        let _ = self.control.send(AnnounceShutdown).await;
        sleep(ctx.settings.balancer_wait).await;
        self.callers_stop.send_replace(true);
        let callers = self.callers.await.unwrap_or(false);
        log::info!("entry: requests in flight ended={callers}.");
        let jobs = &self.jobs;
        let tasks_stopped = poll_until_true(JOBS_STOP_TIMEOUT, || async {
            jobs.send(jobs::Stop).await.unwrap_or(true)
        });
        let tasks_stopped = tasks_stopped.await;
        log::info!("entry: tasks given back={tasks_stopped}.");
        let control = &self.control;
        let released = poll_until_true(LEAVE_TIMEOUT, || async {
            control.send(Leave).await.unwrap_or(true)
        });
        let released = released.await;
        log::info!("entry: ownerships released={released}.");
        // Offers that are still in transit are refused, so that the peers that sent them learn that
        // the requests were not run.
        sleep(OFFER_REFUSAL_PERIOD).await;
        self.internal_stop.send_replace(true);
        let peers = timeout(PEER_CALLS_TIMEOUT, self.peers).await.is_ok();
        log::info!("entry: offers ended={peers}.");
        callers && tasks_stopped && released
    }
}

/// Polls `check` until it returns true or `time_limit` has passed; returns whether it returned
/// true.
async fn poll_until_true<F: Future<Output = bool>>(
    time_limit: Duration,
    check: impl Fn() -> F,
) -> bool {
    let deadline = Instant::now() + time_limit;
    while Instant::now() < deadline {
        if check().await {
            return true;
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    false
}
