//! An instance that schedules jobs: its sockets, threads, and the order of its end.

use {
    crate::{
        listen::{self, ListenError},
        log_writer,
        reload::SettingsReloader,
    },
    arc_swap::ArcSwap,
    hyper::{Response, StatusCode},
    marigoldbend::{
        core::clock::{Clock, SystemClock},
        http::{
            body,
            server::{Limits, serve},
        },
        peer::{
            call::{Call, Reply},
            heartbeat::{self, Heartbeat},
        },
        platform::store::Store,
    },
    marigoldbend_scheduler::{
        control::{Control, Event, GetJobState, GetResigned, TICK, send_event},
        intake::Intake,
        metrics::{Metrics, MetricsError},
        settings::Settings as Scheduler,
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

/// How long a stopping instance still takes connections: the platform asks every second and
/// stops sending them after the second refusal.
const BALANCER_WAIT: Duration = Duration::from_millis(2_300);

/// How long leads may take to be given up.
const LEADS_LIMIT: Duration = Duration::from_millis(1_500);

/// What is left of the grace period when the process ends in any case.
const GRACE_RESERVE: Duration = Duration::from_millis(900);

/// The time between two looks at the settings file, which may change without a signal.
const SETTINGS_GAP: Duration = Duration::from_secs(2);

/// The time between two looks at whether a step of the end is done.
const END_STEP: Duration = Duration::from_millis(25);

/// A result of running an instance.
pub type Result<T, E = SchedulingError> = std::result::Result<T, E>;

/// An instance that could not be started.
#[derive(Debug, Snafu)]
pub enum SchedulingError {
    /// A socket could not be bound.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Which, and why.
        source: ListenError,
    },
    /// A thread, runtime or signal could not be set up.
    #[snafu(display("can't start: {source}"), context(false))]
    Start {
        /// The system's error.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The library's error.
        source: MetricsError,
    },
}

/// Runs an instance until it is told to end; returns whether it ended in time.
///
/// # Errors
///
/// Returns an error if it could not be started.
pub fn run(mut reload: SettingsReloader) -> Result<bool> {
    let settings = reload.settings().clone();
    let (callers, _) = listen::tcp("callers", settings.callers)?;
    let (readiness, _) = listen::tcp("readiness", settings.readiness)?;
    let (peers, datagrams, _) = listen::tcp_and_udp("peers", settings.scheduler.peers)?;
    let metrics_at = settings.metrics.map(|at| listen::tcp("metrics", at));
    let metrics_at = metrics_at.transpose()?.map(|(listener, _)| listener);
    let incarnation: u64 = rand::rng().random();
    log::info!(
        "entry: start name={} failure_domain={} run={incarnation:016x} callers={} peers={} store={}.",
        settings.scheduler.name,
        settings.scheduler.domain,
        settings.callers,
        settings.scheduler.peers,
        settings.scheduler.store,
    );
    let metrics = Arc::new(Metrics::new()?);
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
        let intake = Arc::new(Intake::new(
            settings.scheduler.clone(),
            store.clone(),
            view,
            actor.clone(),
            metrics.clone(),
        ));
        let (stop, stopped) = watch::channel(false);
        let (rest_stop, rest_stopped) = watch::channel(false);
        let listen = |listener: TcpListener| {
            let _entered = traffic_handle.enter();
            tokio::net::TcpListener::from_std(listener)
        };
        let limits = Limits {
            drain_timeout: settings.grace,
            ..Limits::default()
        };
        let of_callers = intake.clone();
        let callers = listen(callers)?;
        let callers = traffic_handle.spawn(serve(
            callers,
            limits,
            move |_, req| of_callers.clone().serve(req),
            stopped,
        ));
        let readiness = listen(readiness)?;
        traffic_handle.spawn(serve(
            readiness,
            limits,
            move |_, req| {
                let answer = intake.readiness(req.uri().path());
                async move { answer }
            },
            rest_stopped.clone(),
        ));
        if let Some(listener) = metrics_at {
            let listener = listen(listener)?;
            traffic_handle.spawn(serve(
                listener,
                limits,
                move |_, _| {
                    let answer = show(&metrics, &store);
                    async move { answer }
                },
                rest_stopped.clone(),
            ));
        }
        let peers = listen(peers)?;
        let of_peers = actor.clone();
        traffic_handle.spawn(marigoldbend::peer::server::serve(
            peers,
            move |call| answer_peer(call, of_peers.clone()),
            rest_stopped,
        ));
        wait_for_end(&mut reload, &actor).await?;
        let begin = Instant::now();
        let end = begin + reload.settings().grace.saturating_sub(GRACE_RESERVE);
        send_event(&actor, Event::End).await;
        let ended = wait_for_leads(&actor).await;
        sleep((begin + BALANCER_WAIT).saturating_duration_since(Instant::now())).await;
        stop.send_replace(true);
        let left = end.saturating_duration_since(Instant::now());
        let served = timeout(left, callers).await;
        rest_stop.send_replace(true);
        Ok::<_, SchedulingError>(ended && matches!(served, Ok(Ok(true))))
    })?;
    traffic.shutdown_background();
    log::info!(
        "entry: end name={} graceful={graceful}.",
        settings.scheduler.name
    );
    Ok(graceful)
}

async fn tick(actor: Address<Control>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // Beats must not wait behind a burst of reports.
        let _ = actor.send(Event::Tick).priority(1).detach().await;
    }
}

async fn receive(socket: tokio::net::UdpSocket, actor: Address<Control>) {
    let mut buf = [0; heartbeat::MAX_LEN];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, from)) => match Heartbeat::decode(&buf[..n]) {
                Ok(heartbeat) => send_event(&actor, Event::Heartbeat(heartbeat)).await,
                Err(e) => log::warn!("peers: datagram from {from}: {e}."),
            },
            // Errors of earlier sends come back here as well.
            Err(e) => log::debug!("peers: {e}."),
        }
    }
}

async fn answer_peer(call: Call, actor: Address<Control>) -> Reply {
    match call {
        Call::JobState { shard, job } => {
            let state = actor.send(GetJobState(shard, job)).await;
            Reply::JobState(state.ok().flatten())
        }
        Call::Offer(_) | Call::Snapshot(_) => Reply::NotRun {
            reason: "this instance schedules jobs only".to_owned(),
        },
    }
}

fn show(metrics: &Metrics, store: &Store) -> body::HttpResponse {
    metrics
        .log_dropped
        .set(i64::try_from(log_writer::dropped_lines()).unwrap_or(i64::MAX));
    match metrics.text(store) {
        Ok(text) => body::text(StatusCode::OK, &text),
        Err(e) => {
            log::error!("metrics: {e}.");
            let mut answer = Response::default();
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            answer
        }
    }
}

/// Waits for a signal that ends the process; meanwhile takes in what changes in the settings.
async fn wait_for_end(reload: &mut SettingsReloader, actor: &Address<Control>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut looks = interval(SETTINGS_GAP);
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("entry: SIGHUP."),
            _ = looks.tick() => {}
        }
        if reload.reload_if_changed() {
            let settings = reload.settings();
            log::set_max_level(settings.log_level);
            let Scheduler {
                max_lease,
                drain,
                keep,
                ..
            } = settings.scheduler;
            send_event(
                actor,
                Event::Limits {
                    max_lease,
                    drain,
                    keep,
                },
            )
            .await;
        }
    }
}

async fn wait_for_leads(actor: &Address<Control>) -> bool {
    let ended = timeout(LEADS_LIMIT, async {
        while !actor.send(GetResigned).await.unwrap_or(true) {
            sleep(END_STEP).await;
        }
    });
    ended.await.is_ok()
}
