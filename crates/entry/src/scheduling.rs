//! An instance that schedules jobs: its sockets, its threads and its graceful shutdown.

use {
    crate::{
        limits::{self, InstanceLimits},
        listen::{self, ListenError},
        log_writer,
        reload::SettingsReloader,
    },
    arc_swap::ArcSwap,
    hyper::{Request, Response, StatusCode, body::Incoming},
    marigoldbend::{
        core::clock::{Clock, SystemClock},
        http::{
            body,
            budget::JOB_HANDLING_FACTOR,
            counters::Counters,
            server::{Limits, serve},
        },
        peer::{
            call::{Call, Reply},
            heartbeat::{self, Heartbeat},
        },
        platform::store::Store,
    },
    marigoldbend_scheduler::{
        control::{
            Control, Event, GetEvacuations, GetJobState, GetLoan, GetPending, HasResignedAll, TICK,
            deliver_urgent_event, send_event,
        },
        intake::Intake,
        metrics::{Metrics, MetricsError},
        operators::OperatorApi,
        settings::Settings as SchedulerSettings,
        view::View,
    },
    rand::RngExt,
    snafu::Snafu,
    std::{
        io,
        net::TcpListener,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
    xtra::{Address, Mailbox},
};

/// How long an instance that shuts down still accepts connections. The platform probes its
/// readiness every second and stops sending connections after the second refusal.
const BALANCER_WAIT: Duration = Duration::from_millis(2_300);

/// How long a shutdown waits until the instance has resigned as the leader of its shards.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long before the end of the grace period the process stops waiting for requests in flight.
const GRACE_RESERVE: Duration = Duration::from_millis(900);

/// The interval at which the settings file is checked, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum length of a call by a peer, in bytes. Peers ask for the state of one job.
const MAX_CALL_BYTES: usize = 64 << 10;

/// The interval at which a shutdown checks whether the instance has resigned.
const RESIGN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A result of running an instance.
pub type Result<T, E = SchedulingError> = std::result::Result<T, E>;

/// Why an instance could not be started.
#[derive(Debug, Snafu)]
pub enum SchedulingError {
    /// A socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Names the socket's purpose and address.
        source: ListenError,
    },
    /// A thread, runtime or signal could not be set up.
    #[snafu(display("can't start: {source}"), context(false))]
    Start {
        /// The operating system's error.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The error of the metrics library.
        source: MetricsError,
    },
}

/// Runs an instance until SIGTERM or SIGINT; returns whether the instance resigned as leader and
/// completed the requests in flight in time.
///
/// # Errors
///
/// Returns an error if the instance could not be started.
pub fn run(mut reloader: SettingsReloader) -> Result<bool> {
    let settings = reloader.settings().clone();
    let (callers, _) = listen::tcp("callers", settings.callers)?;
    let (readiness, _) = listen::tcp("readiness", settings.readiness)?;
    let (peers, datagrams, _) = listen::tcp_and_udp("peers", settings.scheduler.peers)?;
    let metrics_listener = settings
        .metrics
        .map(|address| listen::tcp("metrics", address));
    let metrics_listener = metrics_listener.transpose()?.map(|(listener, _)| listener);
    let operators = settings
        .operators
        .map(|address| listen::tcp("operators", address));
    let operators = operators.transpose()?.map(|(listener, _)| listener);
    let incarnation: u64 = rand::rng().random();
    log::info!(
        "entry: start name={} failure_domain={} cpu_share={} run={incarnation:016x} callers={} peers={} store={}.",
        settings.scheduler.name,
        settings.scheduler.domain,
        settings.scheduler.cpu_share,
        settings.callers,
        settings.scheduler.peers,
        settings.scheduler.store,
    );
    let metrics = Arc::new(Metrics::new()?);
    let limits = InstanceLimits::new(
        settings.memory_mb,
        settings.max_fds,
        MAX_CALL_BYTES,
        JOB_HANDLING_FACTOR,
    );
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let wire = marigoldbend_wire::store::WIRE;
    let view = Arc::new(ArcSwap::<View>::default());
    let traffic = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = Builder::new_current_thread().enable_all().build()?;
    let traffic_handle = traffic.handle().clone();
    let graceful = control.block_on(async {
        let store = Arc::new(Store::new(settings.scheduler.store, wire, clock.clone()));
        let actor = Control::new(
            settings.scheduler.clone(),
            incarnation,
            clock,
            store.clone(),
            datagrams.try_clone()?,
            metrics.clone(),
            view.clone(),
        );
        let actor = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(receive(
            tokio::net::UdpSocket::from_std(datagrams)?,
            actor.clone(),
        ));
        tokio::spawn(tick(actor.clone()));
        let operator_api = Arc::new(OperatorApi::new(
            settings.scheduler.clone(),
            store.clone(),
            view.clone(),
            actor.clone(),
        ));
        let intake = Arc::new(Intake::new(
            settings.scheduler.clone(),
            store.clone(),
            view,
            actor.clone(),
            metrics.clone(),
            limits.budget.clone(),
        ));
        tokio::spawn(limits::report(limits.counters.clone()));
        let (stop, stopped) = watch::channel(false);
        let (internal_stop, internal_stopped) = watch::channel(false);
        let listen = |listener: TcpListener| {
            let _runtime_guard = traffic_handle.enter();
            tokio::net::TcpListener::from_std(listener)
        };
        let internal = Limits {
            drain_timeout: settings.grace,
            ..limits.internal
        };
        let caller_limits = Limits {
            drain_timeout: settings.grace,
            ..limits.callers
        };
        let caller_intake = intake.clone();
        let callers = listen(callers)?;
        let callers = traffic_handle.spawn(serve(
            callers,
            caller_limits,
            move |_, req| caller_intake.clone().serve(req),
            stopped,
        ));
        let readiness = listen(readiness)?;
        traffic_handle.spawn(serve(
            readiness,
            internal.clone(),
            move |_, req| {
                let response = intake.readiness(req.uri().path());
                async move { response }
            },
            internal_stopped.clone(),
        ));
        if let Some(listener) = metrics_listener {
            let listener = listen(listener)?;
            let counters = limits.counters.clone();
            traffic_handle.spawn(serve(
                listener,
                internal.clone(),
                move |_, _| {
                    let response = metrics_response(&metrics, &store, &counters);
                    async move { response }
                },
                internal_stopped.clone(),
            ));
        }
        if let Some(listener) = operators {
            let listener = listen(listener)?;
            traffic_handle.spawn(serve(
                listener,
                internal.clone(),
                move |_, req: Request<Incoming>| {
                    let api = operator_api.clone();
                    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
                    async move { api.serve(method, &path).await }
                },
                internal_stopped.clone(),
            ));
        }
        let peers = listen(peers)?;
        let peer_actor = actor.clone();
        traffic_handle.spawn(marigoldbend::peer::server::serve(
            peers,
            limits.peers,
            move |call| respond_to_peer(call, peer_actor.clone()),
            internal_stopped,
        ));
        wait_for_end(&mut reloader, &actor).await?;
        let shutdown_started = Instant::now();
        let deadline = shutdown_started + reloader.settings().grace.saturating_sub(GRACE_RESERVE);
        send_event(&actor, Event::End).await;
        let resigned = wait_until_resigned(&actor).await;
        sleep((shutdown_started + BALANCER_WAIT).saturating_duration_since(Instant::now())).await;
        stop.send_replace(true);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let completed = timeout(remaining, callers).await;
        internal_stop.send_replace(true);
        Ok::<_, SchedulingError>(resigned && matches!(completed, Ok(Ok(true))))
    })?;
    traffic.shutdown_background();
    log::info!(
        "entry: end name={} graceful={graceful}.",
        settings.scheduler.name
    );
    Ok(graceful)
}

/// Sends a tick to the actor once per [`TICK`], until the process ends.
async fn tick(actor: Address<Control>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        deliver_urgent_event(&actor, Event::Tick).await;
    }
}

/// Passes peers' heartbeats to the actor.
async fn receive(socket: tokio::net::UdpSocket, actor: Address<Control>) {
    let mut buf = [0; heartbeat::MAX_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, from)) => match Heartbeat::decode(&buf[..n]) {
                Ok(heartbeat) => deliver_urgent_event(&actor, Event::Heartbeat(heartbeat)).await,
                Err(e) => log::warn!("peers: dropped a datagram from {from}: {e}."),
            },
            // A UDP socket reports errors of earlier sends here as well.
            Err(e) => log::debug!("peers: the socket reported an error: {e}."),
        }
    }
}

async fn respond_to_peer(call: Call, actor: Address<Control>) -> Reply {
    match call {
        Call::JobState { shard, job } => {
            let state = actor.send(GetJobState(shard, job)).await;
            Reply::JobState(state.ok().flatten())
        }
        Call::Evacuations { shard } => {
            let evacuations = actor.send(GetEvacuations(shard)).await;
            Reply::Evacuations(evacuations.ok().flatten())
        }
        Call::Loan(request) => {
            let loan = actor.send(GetLoan(request)).await;
            Reply::Loan(loan.ok().flatten())
        }
        Call::Pending { shard, queue } => {
            let pending = actor.send(GetPending(shard, queue)).await;
            Reply::Pending(pending.ok().flatten())
        }
        Call::Offer(_) | Call::Snapshot(_) => Reply::NotRun {
            reason: "this instance schedules jobs only".to_owned(),
        },
    }
}

/// Updates the count of dropped log lines and returns all metrics as a response.
fn metrics_response(metrics: &Metrics, store: &Store, counters: &Counters) -> body::HttpResponse {
    metrics.set_limits(&counters.values());
    metrics
        .log_dropped
        .set(i64::try_from(log_writer::dropped_lines()).unwrap_or(i64::MAX));
    match metrics.text(store) {
        Ok(text) => body::text(StatusCode::OK, &text),
        Err(e) => {
            log::error!("metrics: can't be written: {e}.");
            let mut response = Response::default();
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Waits for a signal to shut down, and applies changes of the settings file in the meantime.
async fn wait_for_end(reloader: &mut SettingsReloader, actor: &Address<Control>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut settings_poll = interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("entry: received SIGHUP; checking the settings file."),
            _ = settings_poll.tick() => {}
        }
        if reloader.reload_if_changed() {
            let settings = reloader.settings();
            log::set_max_level(settings.log_level);
            let SchedulerSettings {
                max_lease,
                drain,
                keep,
                config_max_age,
                evacuation_max_age,
                features,
                ..
            } = settings.scheduler;
            send_event(
                actor,
                Event::Limits {
                    max_lease,
                    drain,
                    keep,
                    config_max_age,
                    evacuation_max_age,
                    features,
                },
            )
            .await;
        }
    }
}

/// Waits until the instance leads no shard any more; returns whether that happened within
/// [`RESIGN_TIMEOUT`].
async fn wait_until_resigned(actor: &Address<Control>) -> bool {
    let resigned = timeout(RESIGN_TIMEOUT, async {
        while !actor.send(HasResignedAll).await.unwrap_or(true) {
            sleep(RESIGN_POLL_INTERVAL).await;
        }
    });
    resigned.await.is_ok()
}
