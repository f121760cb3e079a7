//! An HTTP connection that carries one exchange at a time, and a small pool of connections.
//!
//! A connection can stop delivering data permanently without being reset. Therefore every
//! exchange has time limits, a connection is not reused after a failed exchange, and the system
//! closes a connection whose sent bytes stay unacknowledged (see `USER_TIMEOUT`).

use {
    crate::client::Reply,
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Method, Request, Response, body::Incoming, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpSocket, task::AbortHandle, time::timeout},
};

/// How long sent bytes may stay unacknowledged before the system closes the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time limit for connecting; well below the limit of every exchange.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The maximum length of a reply body, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// The idle time after which a connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum number of idle connections in a [`ConnectionPool`].
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A result of an exchange.
pub type Result<T, E = ConnectionError> = std::result::Result<T, E>;

/// Why an exchange ended without a complete reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ConnectionError {
    /// No byte of the request was sent.
    #[snafu(display("no connection could be made"))]
    Unsent,
    /// The connection failed; the peer may have received the request.
    #[snafu(display("the connection failed before the reply was complete"))]
    Lost,
    /// No reply came in time; the peer may have received the request.
    #[snafu(display("no reply in time"))]
    TimedOut,
}

/// The time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// From the start of the exchange to the head of the reply.
    pub head: Duration,
    /// From one piece of the reply to the next.
    pub progress: Duration,
    /// From the start of the exchange to its end.
    pub total: Duration,
}

impl TimeLimits {
    /// Creates limits for an exchange of bounded size: the whole exchange must end within `total`.
    pub fn total(total: Duration) -> Self {
        Self {
            head: total,
            progress: total,
            total,
        }
    }
}

/// A request that a [`Connection`] can send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Header fields other than `Host` and `Content-Type`, which the connection sets.
    pub headers: HeaderMap,
    /// The whole body, as JSON.
    pub body: Bytes,
}

impl Outgoing {
    /// Creates a request without additional header fields.
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }
}

/// A connection to one peer, opened at the first exchange and reopened after a failure or when
/// it has idled for too long.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    host: header::HeaderValue,
    open: Option<OpenConnection>,
}

/// The open state of a [`Connection`]; dropping it closes the connection.
#[derive(Debug)]
struct OpenConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    last_used: Instant,
    /// See [`Connection::set_label`].
    label: Option<u64>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Creates a connection to `peer` without opening it.
    pub fn new(peer: SocketAddr) -> Self {
        let host = header::HeaderValue::from_str(&peer.to_string());
        Self {
            peer,
            host: host.unwrap_or_else(|_| header::HeaderValue::from_static("unknown")),
            open: None,
        }
    }

    /// Returns whether the next exchange will reuse the open connection.
    ///
    /// Drops a connection that is closed or has idled for too long.
    pub fn is_connected(&mut self) -> bool {
        let is_stale = |open: &OpenConnection| {
            open.sender.is_closed() || open.last_used.elapsed() > IDLE_TIMEOUT
        };
        if self.open.as_ref().is_some_and(is_stale) {
            self.open = None;
        }
        self.open.is_some()
    }

    /// Closes the connection, if it is open.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Attaches a label to the open connection, such as the process of the peer that has answered on
    /// it. It is lost with the connection; without an open one nothing is attached.
    pub fn set_label(&mut self, label: u64) {
        if let Some(open) = &mut self.open {
            open.label = Some(label);
        }
    }

    /// Returns the label of the open connection; `None` if it has none, or is not open.
    pub fn label(&mut self) -> Option<u64> {
        self.is_connected();
        self.open.as_ref()?.label
    }

    /// Sends a request and reads its whole reply, both within `limits`.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time; its variant says whether the request
    /// may have been sent.
    pub async fn exchange(&mut self, out: Outgoing, limits: TimeLimits) -> Result<Reply> {
        self.run(out, limits, true).await
    }

    /// Does the same on the open connection only, so that the request reaches no other process of the
    /// peer than those before it on this connection.
    ///
    /// # Errors
    ///
    /// As [`Connection::exchange`], and [`ConnectionError::Unsent`] if the connection is not open.
    pub async fn exchange_open(&mut self, out: Outgoing, limits: TimeLimits) -> Result<Reply> {
        self.run(out, limits, false).await
    }

    async fn run(&mut self, out: Outgoing, limits: TimeLimits, may_open: bool) -> Result<Reply> {
        let result = timeout(limits.total, self.attempt(out, limits, may_open)).await;
        let result = result.unwrap_or(Err(ConnectionError::TimedOut));
        match &result {
            Ok(_) => {
                if let Some(open) = &mut self.open {
                    open.last_used = Instant::now();
                }
            }
            Err(_) => self.open = None,
        }
        result
    }

    async fn attempt(
        &mut self,
        out: Outgoing,
        limits: TimeLimits,
        may_open: bool,
    ) -> Result<Reply> {
        let response = timeout(limits.head, self.send(out, may_open)).await;
        let response = response.unwrap_or(Err(ConnectionError::TimedOut))?;
        let (parts, body) = response.into_parts();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: read_body(body, limits.progress).await?,
        })
    }

    /// Sends a request and waits for the head of the reply.
    async fn send(&mut self, out: Outgoing, may_open: bool) -> Result<Response<Incoming>> {
        if may_open && !self.is_connected() {
            let connected = timeout(CONNECT_TIMEOUT, connect(self.peer)).await;
            self.open = connected.map_err(|_| ConnectionError::Unsent)?;
        }
        let open = self.open.as_mut().ok_or(ConnectionError::Unsent)?;
        let mut req = Request::new(Full::new(out.body));
        *req.method_mut() = out.method;
        *req.uri_mut() = out.path.parse().map_err(|_| ConnectionError::Unsent)?;
        *req.headers_mut() = out.headers;
        req.headers_mut().insert(header::HOST, self.host.clone());
        let json = header::HeaderValue::from_static("application/json");
        req.headers_mut().insert(header::CONTENT_TYPE, json);
        open.sender
            .ready()
            .await
            .map_err(|_| ConnectionError::Unsent)?;
        let response = open.sender.send_request(req).await;
        response.map_err(|_| ConnectionError::Lost)
    }
}

/// Reads the whole body of a reply; each piece must arrive within `progress` after the one before.
async fn read_body(body: Incoming, progress: Duration) -> Result<Bytes> {
    let mut body = Limited::new(body, MAX_REPLY_BYTES);
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    loop {
        let frame = timeout(progress, body.frame()).await;
        let frame = match frame.map_err(|_| ConnectionError::TimedOut)? {
            Some(frame) => frame.map_err(|_| ConnectionError::Lost)?,
            None if all.is_empty() => return Ok(first),
            None => return Ok(all.freeze()),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        // Most replies come in one piece, which needs no copy.
        if first.is_empty() {
            first = data;
            continue;
        }
        if all.is_empty() {
            all.extend_from_slice(&first);
        }
        all.extend_from_slice(&data);
    }
}

async fn connect(peer: SocketAddr) -> Option<OpenConnection> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let stream = socket.ok()?.connect(peer).await.ok()?;
    let options = socket2::SockRef::from(&stream);
    // If the system lacks an option, the time limits of the exchanges still apply.
    let _ = options.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = stream.set_nodelay(true);
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        // The exchange in progress reports a failure of the connection.
        let _ = driver.await;
    });
    Some(OpenConnection {
        sender,
        driver: driver.abort_handle(),
        last_used: Instant::now(),
        label: None,
    })
}

/// A pool of connections to one peer, for concurrent exchanges.
#[derive(Debug)]
pub struct ConnectionPool {
    peer: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Connection::exchange`]. A failure also drops the
    /// idle connections, because they may have stopped delivering data too.
    pub async fn exchange(&self, out: Outgoing, limits: TimeLimits) -> Result<Reply> {
        let mut connection = self.take();
        let result = connection.exchange(out, limits).await;
        self.put_back(connection, result.is_err());
        result
    }

    /// Returns an idle connection or a new one, for exchanges by the caller.
    pub fn take(&self) -> Connection {
        let idle = self.idle.lock().pop();
        idle.unwrap_or_else(|| Connection::new(self.peer))
    }

    /// Takes a connection back; drops it and the idle ones if an exchange on it `has_failed`.
    pub fn put_back(&self, connection: Connection, has_failed: bool) {
        let mut idle = self.idle.lock();
        if has_failed {
            idle.clear();
        } else if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}
