//! One request and its whole answer.

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

/// The longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// How long after its deadline an unanswered request still counts as running.
const LINGER_LIMIT: Duration = Duration::from_secs(5);

/// A request that has been admitted.
pub struct Exchange {
    /// The request; its target is in origin form.
    pub request: Request<Full<Bytes>>,
    /// The slot that it uses.
    pub permit: Permit,
    /// The time in which the answer must begin.
    pub first_byte_timeout: Duration,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// How long the upstream's answers usually take; zero if unknown.
    pub typical_latency: Duration,
}

/// One upstream and the connections to it.
#[derive(Clone)]
pub struct Upstream {
    pool: Arc<ConnectionPool>,
}

impl Upstream {
    /// Creates an upstream without connections; they are made from `local` if given.
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(address, local)),
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

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole answer in time; it tells whether the request may
    /// have been run. The slot stays in use until the upstream must have ended.
    pub async fn exchange(&self, exchange: Exchange) -> Result<Response<Bytes>> {
        let Exchange {
            request,
            permit,
            first_byte_timeout,
            deadline,
            typical_latency,
        } = exchange;
        let begun = Arc::new(AtomicBool::new(false));
        let run = Run {
            pool: self.pool.clone(),
            begun: begun.clone(),
            deadline,
            typical_latency,
        };
        let mut task = tokio::spawn(run.run(request, permit));
        let whole = timeout(first_byte_timeout, &mut task).await;
        if let Ok(joined) = whole {
            return joined.unwrap_or(Err(Kind::Truncated.into()));
        }
        if begun.load(Ordering::Acquire) || Instant::now() + first_byte_timeout >= deadline {
            return self.wait_whole(task, deadline).await;
        }
        self.pool.retire_connections(Instant::now());
        Err(Kind::NoFirstByte.into())
    }

    async fn wait_whole(
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

/// The part of an exchange that goes on after its caller has given up.
struct Run {
    pool: Arc<ConnectionPool>,
    begun: Arc<AtomicBool>,
    deadline: Instant,
    typical_latency: Duration,
}

impl Run {
    async fn run(self, request: Request<Full<Bytes>>, permit: Permit) -> Result<Response<Bytes>> {
        let permit = Arc::new(permit);
        let end = self.deadline + LINGER_LIMIT;
        let sent = timeout_at(end.into(), self.send(request, permit.clone())).await;
        let result = sent.unwrap_or(Err(Kind::DeadlineExceeded.into()));
        if let Err(e) = &result
            && !e.is_unsent()
        {
            // The upstream may still be at work, although nothing more is heard of it.
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
        let reused = connection.is_reused();
        let kept = reused.then(|| copy(&request));
        match self.send_on(connection, request, permit.clone()).await {
            Err(e) if e.kind == Kind::ClosedBeforeRequest && reused => {
                // The upstream closed an idle connection just as it was to be used.
                let Some(request) = kept else { return Err(e) };
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
            Err(_) if guard.blocked() => return Err(Kind::Unconfirmed.into()),
            Err(e) if e.message().is_some() || guard.unwritten() => {
                return Err(Kind::ClosedBeforeRequest.into());
            }
            Err(_) => return Err(Kind::Truncated.into()),
        };
        self.begun.store(true, Ordering::Release);
        outstanding.record_response(Instant::now());
        drop(outstanding);
        let (parts, body) = response.into_parts();
        let body = read_whole(body, ANSWER_LIMIT).await.map_err(|e| match e {
            BodyError::TooLong => Kind::TooLong,
            BodyError::Truncated => Kind::Truncated,
        })?;
        self.put_back(connection).await;
        Ok(Response::from_parts(parts, body))
    }

    /// Keeps the connection if the upstream lets it be used again.
    async fn put_back(&self, mut connection: Connection) {
        const SETTLE_LIMIT: Duration = Duration::from_millis(5);
        let ready = timeout(SETTLE_LIMIT, connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            self.pool.put_back(connection, Instant::now());
        }
    }
}

fn copy(request: &Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
