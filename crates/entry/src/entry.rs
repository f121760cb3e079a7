//! One entry instance: its sockets, threads, and the order of its end.

use {
    crate::{
        callers::CallerApi,
        control::{AnnounceShutdown, Control, ControlConfig, DatagramReceived, Leave, Tick},
        directory::Directory,
        idempotency::IdempotencyRouter,
        jobs::{self, Jobs, JobsConfig},
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
        http::server::{Limits, serve},
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

/// How long tasks may take to be checkpointed and given back.
const JOBS_LIMIT: Duration = Duration::from_secs(10);

/// How long the release of the ownerships may take.
const LEAVE_LIMIT: Duration = Duration::from_secs(12);

/// How long offers are still refused after the ownerships were released.
const LAST_OFFERS: Duration = Duration::from_millis(300);

/// How long offers that were accepted may take to be answered.
const PEERS_LIMIT: Duration = Duration::from_secs(6);

/// The time between two looks at whether a step of the end is done.
const END_STEP: Duration = Duration::from_millis(50);

/// A result of starting an instance.
pub type Result<T, E = EntryError> = std::result::Result<T, E>;

/// An instance that could not be started.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Which, and why.
        source: ListenError,
    },
    /// A thread or runtime could not be started.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The library's error.
        source: MetricsError,
    },
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
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
        let control = Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let parts = Parts {
            settings,
            addresses,
            metrics,
            stop: stop.clone(),
        };
        let thread = thread::Builder::new().name("control".to_owned());
        let control = thread
            .spawn(move || run(parts, sockets, &control, traffic))
            .context(ThreadSnafu)?;
        Ok(Self {
            addresses,
            stop,
            control,
        })
    }

    /// Returns where the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a graceful end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits for the end; returns whether it was graceful in every step.
    pub fn join(self) -> bool {
        self.control.join().unwrap_or(false)
    }

    /// Waits until the end has begun, by [`Entry::stop`] or by an operator.
    pub async fn wait_for_stop(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the instance.
        let _ = stop.wait_for(|&stop| stop).await;
    }
}

fn bind(settings: &Settings) -> Result<(Sockets, Addresses)> {
    let (callers, callers_at) = listen::tcp("callers", settings.callers)?;
    let (operators, operators_at) = listen::tcp("operators", settings.operators)?;
    let (peers, datagrams, peers_at) = listen::tcp_and_udp("peers", settings.peers)?;
    let sockets = Sockets {
        callers,
        operators,
        peers,
        datagrams,
    };
    let addresses = Addresses {
        callers: callers_at,
        operators: operators_at,
        peers: peers_at,
    };
    Ok((sockets, addresses))
}

struct Parts {
    settings: Settings,
    addresses: Addresses,
    metrics: Arc<Metrics>,
    stop: watch::Sender<bool>,
}

/// The control thread, from start to end.
fn run(parts: Parts, sockets: Sockets, control: &Runtime, traffic: Runtime) -> bool {
    let graceful = control.block_on(async {
        match wire_up(&parts, sockets, traffic.handle()) {
            Ok(running) => running.until_end(&parts).await,
            Err(e) => {
                log::error!("entry: can't start: {e}.");
                false
            }
        }
    });
    traffic.shutdown_timeout(Duration::from_secs(1));
    log::info!(
        "entry: {} has ended, graceful={graceful}.",
        parts.settings.name
    );
    graceful
}

/// What is running, to be ended in order.
struct Running {
    control: Address<Control>,
    jobs: Address<Jobs>,
    callers_stop: watch::Sender<bool>,
    callers: tokio::task::JoinHandle<bool>,
    rest_stop: watch::Sender<bool>,
    peers: tokio::task::JoinHandle<()>,
}

fn wire_up(parts: &Parts, sockets: Sockets, traffic: &Handle) -> io::Result<Running> {
    let settings = &parts.settings;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let directory = Arc::new(ArcSwap::<Directory>::default());
    let confirmation = Arc::new(OwnershipConfirmation::new(Instant::now()));
    let me = Member {
        incarnation: Incarnation(rand::rng().random()),
        name: settings.name.clone(),
        peer: settings.peer_advertise.unwrap_or(parts.addresses.peers),
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
            parts.metrics.clone(),
        ),
        Mailbox::unbounded(),
    );
    let jobs = xtra::spawn_tokio(
        Jobs::new(
            jobs_config(settings, me.incarnation),
            clock,
            directory.clone(),
            parts.metrics.clone(),
        ),
        Mailbox::unbounded(),
    );
    spawn_ticks(control.clone(), crate::control::TICK, || Tick);
    spawn_ticks(jobs.clone(), jobs::TICK, || jobs::Tick);
    tokio::spawn(receive(datagrams, control.clone(), parts.metrics.clone()));

    let router = Arc::new(Router::new(directory, parts.metrics.clone()));
    let (callers_stop, callers_stopped) = watch::channel(false);
    let (rest_stop, rest_stopped) = watch::channel(false);
    let operators = Arc::new(OperatorApi::new(
        router.clone(),
        control.clone(),
        table(settings),
        parts.metrics.clone(),
        parts.stop.clone(),
    ));
    let listener = tokio::net::TcpListener::from_std(sockets.operators)?;
    let handler = move |_, req| {
        let operators = operators.clone();
        async move { operators.handle(req).await }
    };
    tokio::spawn(serve(
        listener,
        Limits::default(),
        handler,
        rest_stopped.clone(),
    ));

    let inside = traffic.enter();
    let writer = GroupWriter::start(table(settings));
    let callers = Arc::new(CallerApi::new(
        router.clone(),
        IdempotencyRouter::new(table(settings), writer, router.clone()),
        table(settings),
        jobs.clone(),
        parts.metrics.clone(),
    ));
    let listener = tokio::net::TcpListener::from_std(sockets.callers)?;
    let handler = move |_, req| {
        let callers = callers.clone();
        async move { callers.handle(req).await }
    };
    let callers = traffic.spawn(serve(listener, Limits::default(), handler, callers_stopped));
    let listener = tokio::net::TcpListener::from_std(sockets.peers)?;
    let handler = move |call| handle_peer_call(router.clone(), call);
    let peers = marigoldbend::peer::server::serve(listener, handler, rest_stopped);
    let peers = traffic.spawn(peers);
    drop(inside);
    Ok(Running {
        control,
        jobs,
        callers_stop,
        callers,
        rest_stop,
        peers,
    })
}

fn table(settings: &Settings) -> Table {
    let limit = settings.platform_timeout;
    Table::new(&settings.platform_url, limit, settings.local_ip)
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

/// Sends a tick to an actor at each interval, until the actor ends.
fn spawn_ticks<A, M>(address: Address<A>, every: Duration, tick: impl Fn() -> M + Send + 'static)
where
    A: Handler<M>,
    M: Send + 'static,
{
    tokio::spawn(async move {
        let mut interval = interval(every);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if address.send(tick()).await.is_err() {
                return;
            }
        }
    });
}

/// Hands datagrams to the control actor; what is not understood is counted and dropped.
async fn receive(
    socket: Arc<tokio::net::UdpSocket>,
    control: Address<Control>,
    metrics: Arc<Metrics>,
) {
    let mut buf = [0; datagram::MAX_BYTES + 1];
    loop {
        // An error concerns an earlier send, such as one to a port that is closed.
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
        // The shards of jobs belong to the scheduling part.
        Call::JobState { .. } => Reply::JobState(None),
        Call::Snapshot(domain) => {
            let directory = router.directory();
            let (version, row) = &directory.row;
            let known = row.domain == domain && version.0 > 0;
            let config = directory.config.as_ref();
            Reply::Snapshot(Box::new(Snapshot {
                config: config.map(|c| (c.version, (*c.config).clone())),
                row: known.then(|| (*version, (**row).clone())),
                list: serde_json::to_string(&*directory.list).ok(),
            }))
        }
    }
}

impl Running {
    /// Runs until the end is asked for, then ends in order; returns whether all was graceful.
    async fn until_end(self, parts: &Parts) -> bool {
        let mut stop = parts.stop.subscribe();
        // The sender lives as long as the instance.
        let _ = stop.wait_for(|&stop| stop).await;
        log::info!("entry: {} is ending.", parts.settings.name);
        // The actor ends only with the process.
        let _ = self.control.send(AnnounceShutdown).await;
        sleep(parts.settings.balancer_wait).await;
        self.callers_stop.send_replace(true);
        let callers = self.callers.await.unwrap_or(false);
        log::info!("entry: requests in flight ended={callers}.");
        let jobs = &self.jobs;
        let stopped = until(JOBS_LIMIT, || async {
            jobs.send(jobs::Stop).await.unwrap_or(true)
        });
        let stopped = stopped.await;
        log::info!("entry: tasks given back={stopped}.");
        let control = &self.control;
        let left = until(LEAVE_LIMIT, || async {
            control.send(Leave).await.unwrap_or(true)
        });
        let left = left.await;
        log::info!("entry: ownerships released={left}.");
        // Offers that were on their way are refused, rather than lost.
        sleep(LAST_OFFERS).await;
        self.rest_stop.send_replace(true);
        let peers = timeout(PEERS_LIMIT, self.peers).await.is_ok();
        log::info!("entry: offers ended={peers}.");
        callers && stopped && left
    }
}

/// Asks again and again until the answer is true, for at most `limit`.
async fn until<F: Future<Output = bool>>(limit: Duration, ask: impl Fn() -> F) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if ask().await {
            return true;
        }
        sleep(END_STEP).await;
    }
    false
}
