//! One connection that carries one exchange at a time, and a small pool of them.
//!
//! A connection can go silent for good without a reset. So every exchange has a time limit,
//! a connection whose exchange failed is never used again, and unacknowledged bytes end it
//! (see `USER_TIMEOUT`).

use {
    crate::{body::read_whole, client::Reply},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpSocket, task::AbortHandle, time::timeout},
};

/// How long sent bytes may stay unacknowledged before the system ends the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time in which a connection must be made; well under every exchange's limit.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);

/// The longest reply that is read, in bytes.
const REPLY_LIMIT: usize = 16 << 20;

/// How long an idle connection of a [`ConnectionPool`] is used again.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Idle connections that a [`ConnectionPool`] keeps.
const MOST_IDLE: usize = 4;

/// A result of an exchange.
pub type Result<T, E = ConnectionError> = std::result::Result<T, E>;

/// An exchange without a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ConnectionError {
    /// No byte of it was sent.
    #[snafu(display("no connection could be made"))]
    Unsent,
    /// It may have been received.
    #[snafu(display("the connection failed before the reply"))]
    Lost,
    /// There was no reply in time; it may have been received.
    #[snafu(display("no reply in time"))]
    TimedOut,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// Header fields besides the host and the content type.
    pub headers: HeaderMap,
    /// The whole body, in JSON.
    pub body: Bytes,
}

impl Outgoing {
    /// Makes a request without further header fields.
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }
}

/// One connection, opened at the first exchange and again after a failure.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    host: header::HeaderValue,
    open: Option<Open>,
}

#[derive(Debug)]
struct Open {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    used: Instant,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Creates a lane to `peer` that is not connected yet.
    pub fn new(peer: SocketAddr) -> Self {
        let host = header::HeaderValue::from_str(&peer.to_string());
        Self {
            peer,
            host: host.unwrap_or_else(|_| header::HeaderValue::from_static("unknown")),
            open: None,
        }
    }

    /// Returns whether the next exchange will use the connection of the one before.
    pub fn is_connected(&mut self) -> bool {
        let stale = |open: &Open| open.sender.is_closed() || open.used.elapsed() > IDLE_LIMIT;
        if self.open.as_ref().is_some_and(stale) {
            self.open = None;
        }
        self.open.is_some()
    }

    /// Sends a request and reads its whole reply, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply; it tells whether the request was sent.
    pub async fn exchange(&mut self, out: Outgoing, limit: Duration) -> Result<Reply> {
        let result = timeout(limit, self.attempt(out)).await;
        let result = result.unwrap_or(Err(ConnectionError::TimedOut));
        match &result {
            Ok(_) => {
                if let Some(open) = &mut self.open {
                    open.used = Instant::now();
                }
            }
            Err(_) => self.open = None,
        }
        result
    }

    async fn attempt(&mut self, out: Outgoing) -> Result<Reply> {
        self.is_connected();
        let open = match &mut self.open {
            Some(open) => open,
            empty => {
                let connected = timeout(CONNECT_LIMIT, connect(self.peer)).await;
                let connected = connected.map_err(|_| ConnectionError::Unsent)?;
                empty.insert(connected.ok_or(ConnectionError::Unsent)?)
            }
        };
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
        let sent = open.sender.send_request(req).await;
        let (parts, body) = sent.map_err(|_| ConnectionError::Lost)?.into_parts();
        let body = read_whole(body, REPLY_LIMIT).await;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.map_err(|_| ConnectionError::Lost)?,
        })
    }
}

async fn connect(peer: SocketAddr) -> Option<Open> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let stream = socket.ok()?.connect(peer).await.ok()?;
    let options = socket2::SockRef::from(&stream);
    // A system without these options still has the time limits of the exchanges.
    let _ = options.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = stream.set_nodelay(true);
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        // A failed connection shows in its exchange.
        let _ = driver.await;
    });
    Some(Open {
        sender,
        driver: driver.abort_handle(),
        used: Instant::now(),
    })
}

/// Lanes to one peer for exchanges side by side.
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

    /// Sends a request on an idle lane or a new one.
    ///
    /// # Errors
    ///
    /// As [`Connection::exchange`]; a failure also drops the idle lanes, which may have gone
    /// silent too.
    pub async fn exchange(&self, out: Outgoing, limit: Duration) -> Result<Reply> {
        let idle = self.idle.lock().pop();
        let mut connection = idle.unwrap_or_else(|| Connection::new(self.peer));
        let result = connection.exchange(out, limit).await;
        let mut idle = self.idle.lock();
        if result.is_err() {
            idle.clear();
        } else if idle.len() < MOST_IDLE {
            idle.push(connection);
        }
        result
    }
}
