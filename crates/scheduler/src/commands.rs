//! The link to one worker: report requests on one connection, commands on other connections.

use {
    crate::metrics::Metrics,
    hyper::header,
    marigoldbend_core::sched::{
        shard::Command,
        worker::{CommandReply, Report},
    },
    marigoldbend_http::{
        client::Reply,
        connection::{Connection, ConnectionError, ConnectionPool, Outgoing, TimeLimits},
    },
    marigoldbend_wire::workers::{self, Start},
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Semaphore,
        task::AbortHandle,
        time::{sleep, timeout},
    },
};

/// The time limit of a command, which a worker answers within a few round trips.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a report request waits for the reply beyond [`ReportRequest::wait`].
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failed report request before the next one.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The maximum number of commands in flight to one worker.
const MAX_CONCURRENT_COMMANDS: usize = 2;

/// A future that may move between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The parameters of a report request.
#[derive(Clone, Copy, Debug)]
pub struct ReportRequest {
    /// If not zero, no report is requested with these parameters; after this delay, new parameters
    /// are asked for.
    pub delay: Duration,
    /// The fencing token.
    pub token: u64,
    /// The number of the last ended attempt that the worker need not report again.
    pub acked_end: u64,
    /// The new end of the worker's leases, in milliseconds of the worker's clock; `None` to renew
    /// no lease, as while that clock is unknown.
    pub until_ms: Option<u64>,
    /// How long the worker may delay the report until an attempt ends.
    pub wait: Duration,
}

/// The result of a command.
#[derive(Clone, Debug)]
pub struct CommandResult {
    /// The command.
    pub command: Command,
    /// The worker's reply, or [`CommandReply::Silent`] if there was none.
    pub reply: CommandReply,
}

/// The link to one worker.
#[derive(Debug)]
pub struct WorkerLink {
    /// The address that the worker listens on.
    pub address: String,
    worker: String,
    pool: Arc<ConnectionPool>,
    permits: Arc<Semaphore>,
    report_task: AbortHandle,
}

impl Drop for WorkerLink {
    fn drop(&mut self) {
        self.report_task.abort();
    }
}

impl WorkerLink {
    /// Opens the link and requests reports, with the parameters that `next_request` returns, until
    /// it returns `None`. `callback` receives each report, or `None` if the connection failed,
    /// and when the report was requested.
    ///
    /// Returns `None` if the address is not valid.
    pub fn open<A, S>(
        worker: &str,
        address: &str,
        metrics: Arc<Metrics>,
        next_request: A,
        callback: S,
    ) -> Option<Self>
    where
        A: Fn() -> BoxFuture<Option<ReportRequest>> + Send + 'static,
        S: Fn(Option<Report>, Instant) -> BoxFuture<()> + Send + 'static,
    {
        let peer: SocketAddr = address.parse().ok()?;
        let report_task = tokio::spawn(poll_reports(
            worker.to_owned(),
            peer,
            metrics,
            next_request,
            callback,
        ));
        Some(Self {
            address: address.to_owned(),
            worker: worker.to_owned(),
            pool: Arc::new(ConnectionPool::new(peer)),
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_COMMANDS)),
            report_task: report_task.abort_handle(),
        })
    }

    /// Sends a command in the background; `callback` receives the result. Commands that are not for
    /// workers are ignored.
    pub fn send<S>(&self, command: Command, metrics: Arc<Metrics>, callback: S)
    where
        S: FnOnce(CommandResult) -> BoxFuture<()> + Send + 'static,
    {
        let pool = self.pool.clone();
        let permits = self.permits.clone();
        let Some(outgoing) = encode(&self.worker, &command) else {
            return;
        };
        tokio::spawn(async move {
            let Ok(_permit) = permits.acquire_owned().await else {
                return;
            };
            let start = Instant::now();
            let mut connection = pool.take();
            let limits = TimeLimits::total(COMMAND_TIMEOUT);
            let reply = match &command {
                Command::Start {
                    worker,
                    started_ms,
                    token,
                    ..
                } => {
                    let probe = workers::request_report(worker, *token, 0, None, 0);
                    let reply =
                        exchange_with_process(&mut connection, *started_ms, probe, outgoing);
                    let reply = timeout(COMMAND_TIMEOUT, reply).await;
                    reply.unwrap_or(Err(ConnectionError::TimedOut))
                }
                _ => {
                    let reply = connection.exchange(outgoing, limits).await;
                    reply.map(|reply| workers::read_reply(reply.status, &reply.body).0)
                }
            };
            pool.put_back(connection, reply.is_err());
            let reply = reply.unwrap_or_else(|e| match e {
                ConnectionError::Unsent => CommandReply::Unsent,
                ConnectionError::Lost | ConnectionError::TimedOut => CommandReply::Silent,
            });
            metrics
                .command_latency
                .observe(start.elapsed().as_secs_f64());
            let labels = [kind(&command), &format!("{reply:?}")];
            metrics.commands.with_label_values(&labels).inc();
            if reply != CommandReply::Ok {
                log::info!(
                    "jobs: order={} worker={} answer={reply:?}.",
                    kind(&command),
                    worker_of(&command)
                );
            }
            callback(CommandResult { command, reply }).await;
        });
    }
}

/// Returns the value of the metric label `kind`.
fn kind(command: &Command) -> &'static str {
    match command {
        Command::Start { .. } => "start",
        Command::Stop { .. } => "stop",
        Command::Throttle { .. } => "pace",
        Command::RequestApprovals { .. } => "advise",
        Command::Move { .. } => "move",
    }
}

/// Returns the worker that a command is for; empty if it is not for a worker.
fn worker_of(command: &Command) -> &str {
    match command {
        Command::Start { worker, .. }
        | Command::Stop { worker, .. }
        | Command::Throttle { worker, .. } => worker,
        Command::RequestApprovals { .. } | Command::Move { .. } => "",
    }
}

/// Builds the request for a command; `None` if it is not for a worker.
fn encode(worker: &str, command: &Command) -> Option<Outgoing> {
    match command {
        Command::Start {
            task,
            attempt,
            spec_text,
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
                spec_text,
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

/// Sends a command to the process of a worker that started at `started_ms`, and returns its reply.
///
/// A worker that restarts under its address would take the command for its own, and the lease end in it
/// for one on its own clock. So the process is asked for by `probe`, a report request, at the first such
/// command on each connection; a connection doesn't outlive the process. Only at a worker that closes its
/// connections the command follows on another one.
async fn exchange_with_process(
    connection: &mut Connection,
    started_ms: u64,
    probe: Outgoing,
    command: Outgoing,
) -> Result<CommandReply, ConnectionError> {
    let limits = TimeLimits::total(COMMAND_TIMEOUT);
    let mut closes = false;
    if connection.label() != Some(started_ms) {
        // A connection to the former process may seem open although that is gone.
        if connection.label().is_some() {
            connection.close();
        }
        let reply = connection.exchange(probe, limits).await;
        let reply = reply.map_err(|_| ConnectionError::Unsent)?;
        if !reply.status.is_success() {
            return Ok(workers::read_reply(reply.status, &reply.body).0);
        }
        let report = workers::read_report(&reply.body);
        let report = report.map_err(|_| ConnectionError::Unsent)?;
        connection.set_label(report.started_ms);
        if report.started_ms != started_ms {
            return Ok(CommandReply::OtherProcess);
        }
        closes = is_last(&reply);
    }
    let reply = if closes {
        connection.exchange(command, limits).await?
    } else {
        connection.exchange_open(command, limits).await?
    };
    Ok(workers::read_reply(reply.status, &reply.body).0)
}

/// Returns whether the peer closes the connection after a reply.
fn is_last(reply: &Reply) -> bool {
    let value = reply.headers.get(header::CONNECTION);
    value.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Requests reports until `next_request` returns `None`.
async fn poll_reports<A, S>(
    worker: String,
    peer: SocketAddr,
    metrics: Arc<Metrics>,
    next_request: A,
    callback: S,
) where
    A: Fn() -> BoxFuture<Option<ReportRequest>>,
    S: Fn(Option<Report>, Instant) -> BoxFuture<()>,
{
    let mut connection = Connection::new(peer);
    let mut is_unresponsive = false;
    let mut closes_connections = false;
    while let Some(request) = next_request().await {
        if !request.delay.is_zero() {
            sleep(request.delay).await;
            continue;
        }
        // Until a report has been read on a connection, the worker behind it may have restarted. A restarted
        // worker numbers its ended attempts from 1 again, and has another clock. So nothing is acknowledged
        // and no lease renewed, unless the worker closes each connection, and the report must not wait.
        let is_known = connection.label().is_some();
        let (acked_end, until_ms, wait) = if is_known {
            (request.acked_end, request.until_ms, request.wait)
        } else if closes_connections {
            (0, request.until_ms, request.wait)
        } else {
            (0, None, Duration::ZERO)
        };
        let wait_ms = wait.as_millis() as u64;
        let outgoing =
            workers::request_report(&worker, request.token, acked_end, until_ms, wait_ms);
        let sent = Instant::now();
        let limits = TimeLimits::total(wait + REPORT_TIMEOUT);
        let response = if is_known {
            connection.exchange_open(outgoing, limits).await
        } else {
            connection.exchange(outgoing, limits).await
        };
        if is_known && matches!(response, Err(ConnectionError::Unsent)) {
            // The connection was closed meanwhile.
            continue;
        }
        let report = match &response {
            Ok(response) if response.status.is_success() => {
                closes_connections = is_last(response);
                workers::read_report(&response.body).ok()
            }
            _ => None,
        };
        if let Some(report) = &report {
            connection.set_label(report.started_ms);
        }
        let result = match (&report, &response) {
            (Some(_), _) => "ok",
            (None, Ok(_)) => "refused",
            (None, Err(_)) => "silent",
        };
        metrics.reports.with_label_values(&[result]).inc();
        match report {
            Some(report) => {
                if std::mem::take(&mut is_unresponsive) {
                    log::info!("jobs: worker={worker} responds again.");
                }
                callback(Some(report), sent).await;
            }
            None => {
                if !std::mem::replace(&mut is_unresponsive, true) {
                    let status = response.as_ref().map(|r| r.status.as_u16()).unwrap_or(0);
                    let answer = response.as_ref().ok();
                    let answer = answer.map(|r| workers::read_reply(r.status, &r.body).0);
                    log::warn!(
                        "jobs: worker={worker} report request failed: {result} status={status} answer={answer:?} token={}.",
                        request.token,
                    );
                }
                if matches!(response, Err(ConnectionError::Lost)) {
                    callback(None, sent).await;
                }
                sleep(REPORT_RETRY_DELAY).await;
            }
        }
    }
}
