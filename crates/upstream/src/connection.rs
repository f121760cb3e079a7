//! The pool of connections to one upstream, and the rules for reusing them.

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

/// The maximum number of open connections to one upstream; well below half of the number that the
/// upstream allows.
const MAX_CONNECTIONS: u32 = 16;

/// The idle time after which a connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The minimum number of outstanding requests at which an upstream can count as unresponsive.
const UNRESPONSIVE_MIN_REQUESTS: u32 = 3;

/// The multiple of the typical latency after which a silent upstream counts as unresponsive.
const UNRESPONSIVE_LATENCY_FACTOR: u32 = 2;

/// The time after which the kernel closes a connection whose sent bytes are unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// The idle time after which the kernel sends keepalive probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// An open connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) guard: Arc<WriteGuard>,
    opened_at: Instant,
    idle_since: Instant,
    _count: ConnectionCount,
}

impl Connection {
    /// Returns whether the connection has carried a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.idle_since > self.opened_at
    }
}

/// Counts a connection towards [`MAX_CONNECTIONS`] until it is dropped.
struct ConnectionCount(Arc<AtomicU32>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The connections to one upstream.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    local_ip: Option<IpAddr>,
    idle: Mutex<Vec<Connection>>,
    open_connections: Arc<AtomicU32>,
    /// Connections opened at or before this instant are not reused.
    retired_until: Mutex<Instant>,
    silence: Mutex<Silence>,
}

/// Measures how long outstanding requests have gone without a response from the upstream.
struct Silence {
    /// The number of requests that wait for the head of their response.
    outstanding: u32,
    /// When the last response began or the number of outstanding requests last rose from zero,
    /// whichever is later.
    since: Instant,
}

/// Counts a request as outstanding until this value is dropped.
pub(crate) struct OutstandingRequest(Arc<ConnectionPool>);

impl OutstandingRequest {
    pub(crate) fn new(pool: &Arc<ConnectionPool>, now: Instant) -> Self {
        let mut silence = pool.silence.lock();
        if silence.outstanding == 0 {
            silence.since = now;
        }
        silence.outstanding += 1;
        Self(pool.clone())
    }

    /// Records that the head of a response arrived.
    pub(crate) fn record_response(&self, now: Instant) {
        self.0.silence.lock().since = now;
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        self.0.silence.lock().outstanding -= 1;
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, local_ip: Option<IpAddr>) -> Self {
        Self {
            address,
            local_ip,
            idle: Mutex::new(Vec::new()),
            open_connections: Arc::new(AtomicU32::new(0)),
            retired_until: Mutex::new(Instant::now()),
            silence: Mutex::new(Silence {
                outstanding: 0,
                since: Instant::now(),
            }),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection out of the pool, or opens a new one.
    ///
    /// If several requests are outstanding and no response has come for longer than usual, the open
    /// connections may have failed without a reset. They are then no longer reused, so that no
    /// further requests are lost on them.
    pub(crate) async fn take(&self, now: Instant, typical_latency: Duration) -> Result<Connection> {
        if self.is_unresponsive(now, typical_latency) {
            self.retire_connections(now);
        }
        if let Some(connection) = self.take_idle(now) {
            return Ok(connection);
        }
        self.open_new().await
    }

    fn is_unresponsive(&self, now: Instant, typical_latency: Duration) -> bool {
        let silence = self.silence.lock();
        let duration = now.saturating_duration_since(silence.since);
        let has_enough_requests = silence.outstanding >= UNRESPONSIVE_MIN_REQUESTS;
        has_enough_requests
            && !typical_latency.is_zero()
            && duration > typical_latency * UNRESPONSIVE_LATENCY_FACTOR
    }

    fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.lock();
        // The most recently used connection comes first, so that the others idle out.
        while let Some(connection) = idle.pop() {
            let is_fresh = now.saturating_duration_since(connection.idle_since) < IDLE_TIMEOUT;
            if !is_fresh {
                // The remaining connections have idled for longer.
                idle.clear();
                return None;
            }
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection, unless [`MAX_CONNECTIONS`] are open.
    pub(crate) async fn open_new(&self) -> Result<Connection> {
        let count = self.count_connection()?;
        let connected = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let stream = connected.map_err(|_| Kind::NoConnection)?;
        let stream = stream.map_err(|_| Kind::NoConnection)?;
        let guard = Arc::new(WriteGuard::default());
        let io = TokioIo::new(GuardedStream {
            stream,
            guard: guard.clone(),
        });
        let handshake = http1::Builder::new().handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| Kind::NoConnection)?;
        tokio::spawn(async move {
            // The exchange in progress reports a failure of the connection.
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            guard,
            opened_at: now,
            idle_since: now,
            _count: count,
        })
    }

    fn count_connection(&self) -> Result<ConnectionCount> {
        self.open_connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (n < MAX_CONNECTIONS).then_some(n + 1)
            })
            .map_err(|_| Kind::TooManyConnections)?;
        Ok(ConnectionCount(self.open_connections.clone()))
    }

    async fn connect(&self) -> std::io::Result<tokio::net::TcpStream> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(ip) = self.local_ip {
            socket.bind(SocketAddr::new(ip, 0))?;
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

    /// Returns a connection to the pool after its response has been read whole.
    pub(crate) fn put_back(&self, mut connection: Connection, now: Instant) {
        if connection.opened_at <= *self.retired_until.lock() {
            return;
        }
        connection.idle_since = now;
        self.idle.lock().push(connection);
    }

    /// Prevents the reuse of all connections that were opened at or before `now`.
    pub(crate) fn retire_connections(&self, now: Instant) {
        *self.retired_until.lock() = now;
        self.idle.lock().clear();
    }

    /// Closes connections that have idled for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self, now: Instant) {
        let is_fresh = |c: &Connection| now.saturating_duration_since(c.idle_since) < IDLE_TIMEOUT;
        self.idle.lock().retain(is_fresh);
    }
}
