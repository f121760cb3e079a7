//! Exchanges: sending one request, reading its response, and accounting of the slot in use.

use {
    crate::{
        connection::{Connection, ConnectionPool, OutstandingRequest},
        error::{Kind, Result},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response},
    marigoldbend_core::admission::Permit,
    marigoldbend_http::body::{BodyError, read_whole},
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinHandle,
        time::{sleep_until, timeout, timeout_at},
    },
};

/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The time after its deadline for which a request without a response keeps its slot.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// An admitted request, with the slot and the time limits for its exchange.
pub struct Exchange {
    /// The request; its URI consists of path and query only (origin form).
    pub request: Request<Full<Bytes>>,
    /// The slot that the request uses.
    pub permit: Permit,
    /// The time limit for the first byte of the response.
    pub first_byte_timeout: Duration,
    /// When the response must be complete.
    pub deadline: Instant,
    /// The usual latency of the upstream's responses; zero if unknown.
    pub typical_latency: Duration,
}

/// An upstream and the connections to it.
#[derive(Clone)]
pub struct Upstream {
    pool: Arc<ConnectionPool>,
}

impl Upstream {
    /// Creates an upstream without connections.
    ///
    /// `local_ip` is the source address of connections; if it is `None`, the system chooses one.
    pub fn new(address: SocketAddr, local_ip: Option<IpAddr>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(address, local_ip)),
        }
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Closes connections that have idled for too long.
    pub fn close_idle(&self, now: Instant) {
        self.pool.close_idle(now);
    }

    /// Sends a request and reads its whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response came in time. Unless
    /// [`ExchangeError::is_unsent`](crate::ExchangeError::is_unsent), the request may have been
    /// run. Its slot then stays in use until a response arrives or, without one, at least until the
    /// deadline.
    pub async fn exchange(&self, exchange: Exchange) -> Result<Response<Bytes>> {
        let Exchange {
            request,
            permit,
            first_byte_timeout,
            deadline,
            typical_latency,
        } = exchange;
        let response_started = Arc::new(AtomicBool::new(false));
        let running = RunningExchange {
            pool: self.pool.clone(),
            response_started: response_started.clone(),
            deadline,
            typical_latency,
        };
        let mut task = tokio::spawn(running.run(request, permit));
        let finished = timeout(first_byte_timeout, &mut task).await;
        if let Ok(joined) = finished {
            return joined.unwrap_or(Err(Kind::Truncated.into()));
        }
        if response_started.load(Ordering::Acquire)
            || Instant::now() + first_byte_timeout >= deadline
        {
            return self.wait_until_deadline(task, deadline).await;
        }
        self.pool.retire_connections(Instant::now());
        Err(Kind::NoFirstByte.into())
    }

    async fn wait_until_deadline(
        &self,
        task: JoinHandle<Result<Response<Bytes>>>,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        match timeout_at(deadline.into(), task).await {
            Ok(joined) => joined.unwrap_or(Err(Kind::Truncated.into())),
            Err(_) => Err(Kind::DeadlineExceeded.into()),
        }
    }
}

/// The part of an exchange that continues after the caller has given up.
struct RunningExchange {
    pool: Arc<ConnectionPool>,
    response_started: Arc<AtomicBool>,
    deadline: Instant,
    typical_latency: Duration,
}

impl RunningExchange {
    async fn run(self, request: Request<Full<Bytes>>, permit: Permit) -> Result<Response<Bytes>> {
        let permit = Arc::new(permit);
        let give_up_at = self.deadline + MAX_LINGER;
        let response = timeout_at(give_up_at.into(), self.send(request, permit.clone())).await;
        let result = response.unwrap_or(Err(Kind::DeadlineExceeded.into()));
        if let Err(e) = &result
            && !e.is_unsent()
        {
            // The upstream may still be processing the request, so the slot stays in use until the
            // deadline.
            let deadline = self.deadline;
            tokio::spawn(async move {
                sleep_until(deadline.into()).await;
                drop(permit);
            });
        }
        result
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        permit: Arc<Permit>,
    ) -> Result<Response<Bytes>> {
        let connection = self.pool.take(Instant::now(), self.typical_latency).await?;
        let is_reused = connection.is_reused();
        let copy = is_reused.then(|| clone_request(&request));
        match self.send_on(connection, request, permit.clone()).await {
            Err(e) if e.kind == Kind::ClosedBeforeRequest && is_reused => {
                // The upstream closed the idle connection before the request was written to it.
                let Some(request) = copy else { return Err(e) };
                let connection = self.pool.open_new().await?;
                self.send_on(connection, request, permit).await
            }
            result => result,
        }
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        permit: Arc<Permit>,
    ) -> Result<Response<Bytes>> {
        let outstanding = OutstandingRequest::new(&self.pool, Instant::now());
        let guard = connection.guard.clone();
        guard.arm(Box::new(move || permit.may_dispatch(Instant::now())));
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(_) if guard.is_blocked() => return Err(Kind::Unconfirmed.into()),
            Err(e) if e.message().is_some() || guard.is_unwritten() => {
                return Err(Kind::ClosedBeforeRequest.into());
            }
            Err(_) => return Err(Kind::Truncated.into()),
        };
        self.response_started.store(true, Ordering::Release);
        outstanding.record_response(Instant::now());
        drop(outstanding);
        let (parts, body) = response.into_parts();
        let body = read_whole(body, MAX_RESPONSE_BYTES)
            .await
            .map_err(|e| match e {
                BodyError::TooLong => Kind::TooLong,
                BodyError::Truncated | BodyError::TooSlow | BodyError::Overloaded => {
                    Kind::Truncated
                }
            })?;
        self.put_back(connection).await;
        Ok(Response::from_parts(parts, body))
    }

    /// Returns the connection to the pool if it is soon ready for another request.
    async fn put_back(&self, mut connection: Connection) {
        const READY_TIMEOUT: Duration = Duration::from_millis(5);
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            self.pool.put_back(connection, Instant::now());
        }
    }
}

fn clone_request(request: &Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let mut clone = Request::new(request.body().clone());
    *clone.method_mut() = request.method().clone();
    *clone.uri_mut() = request.uri().clone();
    *clone.headers_mut() = request.headers().clone();
    clone
}
