//! The way to one worker: reports on one connection, orders on others.

use {
    crate::metrics::Metrics,
    marigoldbend_core::sched::{
        shard::Command,
        worker::{CommandReply, Report},
    },
    marigoldbend_http::connection::{Connection, ConnectionPool, Outgoing},
    marigoldbend_wire::workers::{self, Start},
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::AbortHandle, time::sleep},
};

/// The time limit of an order; a worker answers within a few round trips.
const COMMAND_LIMIT: Duration = Duration::from_millis(400);

/// The time limit of a report, besides the wait that it asks for.
const REPORT_LIMIT: Duration = Duration::from_millis(500);

/// The wait after a report that failed.
const REPORT_RETRY: Duration = Duration::from_millis(150);

/// Orders to one worker at once.
const COMMANDS_AT_ONCE: usize = 2;

/// A future that may move between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// How a report is asked for.
#[derive(Clone, Copy, Debug)]
pub struct ReportRequest {
    /// The wait before it.
    pub delay: Duration,
    /// The fencing token.
    pub token: u64,
    /// The newest end that may be forgotten.
    pub acked_end: u64,
    /// The end of the lease, on the worker's clock.
    pub until_ms: Option<u64>,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// The answer to an order.
#[derive(Clone, Debug)]
pub struct CommandResult {
    /// The order.
    pub command: Command,
    /// The answer.
    pub reply: CommandReply,
}

/// The way to one worker.
#[derive(Debug)]
pub struct WorkerLink {
    /// Where the worker listens.
    pub address: String,
    worker: String,
    pool: Arc<ConnectionPool>,
    slots: Arc<Semaphore>,
    reports: AbortHandle,
}

impl Drop for WorkerLink {
    fn drop(&mut self) {
        self.reports.abort();
    }
}

impl WorkerLink {
    /// Opens the way and keeps asking for reports: `ask` says how, `sink` takes them in.
    ///
    /// Returns nothing if the address is not valid.
    pub fn open<A, S>(
        worker: &str,
        address: &str,
        metrics: Arc<Metrics>,
        ask: A,
        sink: S,
    ) -> Option<Self>
    where
        A: Fn() -> BoxFuture<Option<ReportRequest>> + Send + 'static,
        S: Fn(Report, Instant) -> BoxFuture<()> + Send + 'static,
    {
        let peer: SocketAddr = address.parse().ok()?;
        let reports = tokio::spawn(report(worker.to_owned(), peer, metrics, ask, sink));
        Some(Self {
            address: address.to_owned(),
            worker: worker.to_owned(),
            pool: Arc::new(ConnectionPool::new(peer)),
            slots: Arc::new(Semaphore::new(COMMANDS_AT_ONCE)),
            reports: reports.abort_handle(),
        })
    }

    /// Sends an order; the answer goes to `sink`.
    pub fn send<S>(&self, command: Command, metrics: Arc<Metrics>, sink: S)
    where
        S: FnOnce(CommandResult) -> BoxFuture<()> + Send + 'static,
    {
        let pool = self.pool.clone();
        let slots = self.slots.clone();
        let Some(out) = outgoing(&self.worker, &command) else {
            return;
        };
        tokio::spawn(async move {
            let Ok(_slot) = slots.acquire_owned().await else {
                return;
            };
            let begin = Instant::now();
            let response = pool.exchange(out, COMMAND_LIMIT).await;
            let reply = match response {
                Ok(response) => workers::read_reply(response.status, &response.body).0,
                Err(_) => CommandReply::Silent,
            };
            metrics
                .command_latency
                .observe(begin.elapsed().as_secs_f64());
            let labels = [kind(&command), &format!("{reply:?}")];
            metrics.commands.with_label_values(&labels).inc();
            if reply != CommandReply::Ok {
                log::info!(
                    "jobs: order={} worker={} answer={reply:?}.",
                    kind(&command),
                    worker_of(&command)
                );
            }
            sink(CommandResult { command, reply }).await;
        });
    }
}

fn kind(command: &Command) -> &'static str {
    match command {
        Command::Start { .. } => "start",
        Command::Stop { .. } => "stop",
        Command::Throttle { .. } => "pace",
        Command::RequestApprovals { .. } => "advise",
        Command::Move { .. } => "move",
    }
}

fn worker_of(command: &Command) -> &str {
    match command {
        Command::Start { worker, .. }
        | Command::Stop { worker, .. }
        | Command::Throttle { worker, .. } => worker,
        Command::RequestApprovals { .. } | Command::Move { .. } => "",
    }
}

fn outgoing(worker: &str, command: &Command) -> Option<Outgoing> {
    match command {
        Command::Start {
            task,
            attempt,
            text,
            until_ms,
            token,
            checkpoint,
            approval,
            ..
        } => Some(workers::start(
            worker,
            &Start {
                task: *task,
                attempt: *attempt,
                text,
                until_ms: *until_ms,
                token: *token,
                checkpoint,
                approval: approval.as_deref(),
            },
        )),
        Command::Stop {
            task,
            attempt,
            token,
            ..
        } => Some(workers::stop(worker, *task, *attempt, *token)),
        Command::Throttle {
            task,
            attempt,
            percent,
            token,
            ..
        } => Some(workers::throttle(worker, *task, *attempt, *percent, *token)),
        Command::RequestApprovals { .. } | Command::Move { .. } => None,
    }
}

async fn report<A, S>(worker: String, peer: SocketAddr, metrics: Arc<Metrics>, ask: A, sink: S)
where
    A: Fn() -> BoxFuture<Option<ReportRequest>>,
    S: Fn(Report, Instant) -> BoxFuture<()>,
{
    let mut connection = Connection::new(peer);
    let mut lost = false;
    while let Some(how) = ask().await {
        if !how.delay.is_zero() {
            sleep(how.delay).await;
            continue;
        }
        let wait_ms = how.wait.as_millis() as u64;
        // The other end of a new connection may be a new life of the worker, whose ends begin
        // at one again: nothing of it may be acknowledged before it was read.
        let acked_end = if connection.is_connected() {
            how.acked_end
        } else {
            0
        };
        let out = workers::request_report(&worker, how.token, acked_end, how.until_ms, wait_ms);
        let sent = Instant::now();
        let response = connection.exchange(out, how.wait + REPORT_LIMIT).await;
        let report = match &response {
            Ok(response) if response.status.is_success() => {
                workers::read_report(&response.body).ok()
            }
            _ => None,
        };
        let result = match (&report, &response) {
            (Some(_), _) => "ok",
            (None, Ok(_)) => "refused",
            (None, Err(_)) => "silent",
        };
        metrics.reports.with_label_values(&[result]).inc();
        match report {
            Some(report) => {
                if std::mem::take(&mut lost) {
                    log::info!("jobs: worker={worker} answers again.");
                }
                sink(report, sent).await;
            }
            None => {
                if !std::mem::replace(&mut lost, true) {
                    let status = response.as_ref().map(|r| r.status.as_u16()).unwrap_or(0);
                    log::warn!("jobs: worker={worker} gives no report: {result} status={status}.");
                }
                sleep(REPORT_RETRY).await;
            }
        }
    }
}
