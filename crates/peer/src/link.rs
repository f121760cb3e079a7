//! The client side: one connection to each peer, shared by many calls.
//!
//! A connection can stop delivering data permanently without an error. If a call gets no reply in
//! time, its connection is therefore retired: the next call opens a new one, while calls in flight
//! on the old one may still get their replies.

use {
    crate::call::{Call, Frame, Reply, codec},
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    marigoldbend_core::hash::HashMap,
    parking_lot::Mutex,
    snafu::Snafu,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        sync::{Mutex as AsyncMutex, mpsc, oneshot},
        time::timeout,
    },
    tokio_util::codec::Framed,
};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of calls that wait to be written to one connection.
const MAX_QUEUED_CALLS: usize = 256;

/// A result of a call.
pub type Result<T, E = CallError> = std::result::Result<T, E>;

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CallError {
    /// The call was not sent.
    #[snafu(display("the call was not sent"))]
    Unsent,
    /// The connection failed; the call may have reached the peer.
    #[snafu(display("the connection failed before the reply was complete"))]
    ConnectionLost,
    /// No reply came in time; the call may have reached the peer.
    #[snafu(display("no reply in time"))]
    TimedOut,
}

/// The calls without a reply yet, by id.
type Waiters = Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>>;

#[derive(Clone, Debug)]
struct Connection {
    tx: mpsc::Sender<Bytes>,
    waiters: Waiters,
}

/// A link to one peer.
#[derive(Debug)]
pub struct Link {
    peer: SocketAddr,
    local_ip: Option<IpAddr>,
    next_id: AtomicU64,
    connection: AsyncMutex<Option<Connection>>,
}

impl Link {
    /// Creates a link that connects at its first call.
    ///
    /// `local_ip` is the source address of connections; if it is `None`, the system chooses one.
    pub fn new(peer: SocketAddr, local_ip: Option<IpAddr>) -> Self {
        Self {
            peer,
            local_ip,
            next_id: AtomicU64::new(1),
            connection: AsyncMutex::new(None),
        }
    }

    /// Returns the peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a call and waits up to `time_limit` for its reply.
    ///
    /// Opening a connection has a time limit of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply came; its variant says whether the call may have reached the
    /// peer.
    pub async fn call(&self, call: &Call, time_limit: Duration) -> Result<Reply> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = Frame { id, body: call }.encode();
        let frame = frame.map_err(|_| CallError::Unsent)?;
        let connection = self.connect().await?;
        let (tx, rx) = oneshot::channel();
        connection.waiters.lock().insert(id, tx);
        if connection.tx.send(frame).await.is_err() {
            connection.waiters.lock().remove(&id);
            self.retire(&connection).await;
            return Err(CallError::Unsent);
        }
        match timeout(time_limit, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => {
                self.retire(&connection).await;
                Err(CallError::ConnectionLost)
            }
            Err(_) => {
                connection.waiters.lock().remove(&id);
                self.retire(&connection).await;
                Err(CallError::TimedOut)
            }
        }
    }

    async fn connect(&self) -> Result<Connection> {
        let mut slot = self.connection.lock().await;
        if let Some(connection) = &*slot
            && !connection.tx.is_closed()
        {
            return Ok(connection.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, open_stream(self.peer, self.local_ip)).await;
        let stream = stream.map_err(|_| CallError::Unsent)?;
        let stream = stream.map_err(|_| CallError::Unsent)?;
        let connection = start_io(stream);
        *slot = Some(connection.clone());
        Ok(connection)
    }

    /// Makes the next call open a new connection, unless `connection` was replaced already.
    async fn retire(&self, connection: &Connection) {
        let mut slot = self.connection.lock().await;
        let is_same = |c: &Connection| c.tx.same_channel(&connection.tx);
        if slot.as_ref().is_some_and(is_same) {
            *slot = None;
        }
    }
}

async fn open_stream(peer: SocketAddr, local_ip: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(ip) = local_ip {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Starts the task that writes calls to a connection and reads the replies. It ends when the
/// connection fails, or when the link has retired the connection and no call waits for a reply.
fn start_io(stream: TcpStream) -> Connection {
    let (tx, mut rx) = mpsc::channel::<Bytes>(MAX_QUEUED_CALLS);
    let waiters = Waiters::default();
    let pending = waiters.clone();
    tokio::spawn(async move {
        let (mut sink, mut frames) = Framed::new(stream, codec()).split();
        let write = async {
            while let Some(frame) = rx.recv().await {
                if sink.send(frame).await.is_err() {
                    break;
                }
            }
        };
        let read = async {
            while let Some(Ok(buf)) = frames.next().await {
                let Ok(frame) = Frame::<Reply>::decode(&buf) else {
                    break;
                };
                if let Some(waiter) = pending.lock().remove(&frame.id) {
                    // The caller may have given up in the meantime.
                    let _ = waiter.send(frame.body);
                }
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
        }
        rx.close();
        pending.lock().clear();
    });
    Connection { tx, waiters }
}
