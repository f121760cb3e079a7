//! Connections to one upstream.

use {
    crate::{
        error::{Kind, Result},
        guard::{GuardedStream, WriteGuard},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    socket2::{SockRef, TcpKeepalive},
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpSocket, time::timeout},
};

/// Connections to one upstream at once; well below half of what the upstream allows.
const MOST_CONNECTIONS: u32 = 16;

/// How long a connection may idle and still be used again.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// The time in which a connection must be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Requests without an answer from which an upstream counts as quiet.
const QUIET_REQUESTS: u32 = 3;

/// How many times the typical latency a quiet upstream has said nothing.
const QUIET_FACTOR: u32 = 2;

/// The time after which the kernel gives up on unacknowledged bytes.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// The idle time after which the kernel probes a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// An open connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) guard: Arc<WriteGuard>,
    opened: Instant,
    idle_since: Instant,
    _count: Count,
}

impl Connection {
    /// Returns whether the connection has carried a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.idle_since > self.opened
    }
}

/// One of the connections that the limit counts.
struct Count(Arc<AtomicU32>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The connections to one upstream.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    local: Option<IpAddr>,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicU32>,
    /// Connections opened before this instant are not used again.
    doubted: Mutex<Instant>,
    quiet: Mutex<Quiet>,
}

/// How long the upstream has been quiet although answers are due.
struct Quiet {
    /// Requests without an answer.
    outstanding: u32,
    /// The newest answer, or the moment when a first request was sent after none.
    since: Instant,
}

/// Counts a request as outstanding until it is dropped.
pub(crate) struct OutstandingRequest(Arc<ConnectionPool>);

impl OutstandingRequest {
    pub(crate) fn new(pool: &Arc<ConnectionPool>, now: Instant) -> Self {
        let mut quiet = pool.quiet.lock();
        if quiet.outstanding == 0 {
            quiet.since = now;
        }
        quiet.outstanding += 1;
        Self(pool.clone())
    }

    /// Records that the upstream gave a sign of life.
    pub(crate) fn record_response(&self, now: Instant) {
        self.0.quiet.lock().since = now;
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        self.0.quiet.lock().outstanding -= 1;
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self {
            address,
            local,
            idle: Mutex::new(Vec::new()),
            open: Arc::new(AtomicU32::new(0)),
            doubted: Mutex::new(Instant::now()),
            quiet: Mutex::new(Quiet {
                outstanding: 0,
                since: Instant::now(),
            }),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection, or opens one.
    ///
    /// If several answers are due for longer than usual and none has come, all open connections
    /// may have gone silent: a new one finds out before more requests are lost on old ones.
    pub(crate) async fn take(&self, now: Instant, typical_latency: Duration) -> Result<Connection> {
        if self.is_quiet(now, typical_latency) {
            self.retire_connections(now);
        }
        if let Some(connection) = self.take_idle(now) {
            return Ok(connection);
        }
        self.open_new().await
    }

    fn is_quiet(&self, now: Instant, typical_latency: Duration) -> bool {
        let quiet = self.quiet.lock();
        let silence = now.saturating_duration_since(quiet.since);
        let due = quiet.outstanding >= QUIET_REQUESTS;
        due && !typical_latency.is_zero() && silence > typical_latency * QUIET_FACTOR
    }

    fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.lock();
        // The newest one comes first, so that the others grow old and are closed.
        while let Some(connection) = idle.pop() {
            let fresh = now.saturating_duration_since(connection.idle_since) < IDLE_LIMIT;
            if !fresh {
                // Those below it are older still.
                idle.clear();
                return None;
            }
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open_new(&self) -> Result<Connection> {
        let count = self.count()?;
        let connected = timeout(CONNECT_LIMIT, self.connect()).await;
        let stream = connected.map_err(|_| Kind::NoConnection)?;
        let stream = stream.map_err(|_| Kind::NoConnection)?;
        let guard = Arc::new(WriteGuard::default());
        let io = TokioIo::new(GuardedStream {
            stream,
            guard: guard.clone(),
        });
        let shaken = http1::Builder::new().handshake(io).await;
        let (sender, connection) = shaken.map_err(|_| Kind::NoConnection)?;
        tokio::spawn(async move {
            // Its end reaches whoever waits for an answer on it.
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            guard,
            opened: now,
            idle_since: now,
            _count: count,
        })
    }

    fn count(&self) -> Result<Count> {
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (n < MOST_CONNECTIONS).then_some(n + 1)
            })
            .map_err(|_| Kind::TooManyConnections)?;
        Ok(Count(self.open.clone()))
    }

    async fn connect(&self) -> std::io::Result<tokio::net::TcpStream> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(local) = self.local {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(self.address).await?;
        stream.set_nodelay(true)?;
        let options = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(Duration::from_secs(1))
            .with_retries(2);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }

    /// Returns a connection whose answer has been read whole.
    pub(crate) fn put_back(&self, mut connection: Connection, now: Instant) {
        if connection.opened <= *self.doubted.lock() {
            return;
        }
        connection.idle_since = now;
        self.idle.lock().push(connection);
    }

    /// Stops using the connections that were opened up to `now`.
    pub(crate) fn retire_connections(&self, now: Instant) {
        *self.doubted.lock() = now;
        self.idle.lock().clear();
    }

    /// Closes connections that have idled for too long.
    pub(crate) fn close_idle(&self, now: Instant) {
        let fresh = |c: &Connection| now.saturating_duration_since(c.idle_since) < IDLE_LIMIT;
        self.idle.lock().retain(fresh);
    }
}
