//! The server side: serves the calls of each connection concurrently.

use {
    crate::call::{Call, Frame, MAX_FRAME_BYTES, Reply, codec},
    bytes::Bytes,
    futures_util::SinkExt,
    marigoldbend_core::{byte_budget::BudgetLimits, connection_table::IdleLimits},
    marigoldbend_http::{
        budget::{Budget, MessageTimes},
        connections::{Connections, OpenConnection},
        server::SocketLimits,
    },
    std::{future::Future, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, BufReader},
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
    tokio_util::{codec::FramedWrite, task::TaskTracker},
};

/// The maximum number of calls in flight on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 512;

/// The delay after a failed accept, which avoids a busy loop while accepting keeps failing.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The size of a connection's read buffer, in bytes; most calls are shorter.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// The length of the field with a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Limits of the listener for peers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// The age at which a connection without a call is closed for a new one when the maximum is
    /// reached; `None` to close none.
    pub close_age: Option<Duration>,
    /// How long a connection may be without a call. The second limit is long, because peers keep
    /// their connections, and a call that meets the end of its connection has no reply.
    pub idle: IdleLimits,
    /// The time limit for receiving one call.
    pub call_timeout: Duration,
    /// The maximum length of a call's frame, in bytes.
    pub max_call_bytes: usize,
    /// The budget for calls in flight.
    pub budget: Arc<Budget>,
    /// The limits of the system's buffers; `None` for the system's choice.
    pub sockets: Option<SocketLimits>,
}

impl Default for Limits {
    fn default() -> Self {
        let times = MessageTimes::default();
        Self {
            connections: 1_024,
            close_age: None,
            idle: IdleLimits {
                first: Duration::from_secs(10),
                next: Duration::from_secs(600),
            },
            call_timeout: Duration::from_secs(10),
            max_call_bytes: MAX_FRAME_BYTES,
            budget: Budget::new(BudgetLimits::UNLIMITED, times, 0, Arc::default()),
            sockets: None,
        }
    }
}

/// Serves connections until `stop` becomes true, then waits for the calls in flight.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let counters = limits.budget.counters().clone();
    let connections = Connections::new(
        limits.connections,
        limits.close_age,
        limits.idle,
        counters.clone(),
    );
    if let Some(sockets) = limits.sockets {
        sockets.apply(&listener);
    }
    let limits = Arc::new(limits);
    loop {
        let accept = async {
            let (stream, peer) = listener.accept().await?;
            Ok::<_, std::io::Error>((stream, connections.admit(peer.ip()).await))
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        match accepted {
            Ok((stream, open)) => {
                let handler = handler.clone();
                let stop = stop.clone();
                let limits = limits.clone();
                tracker.spawn(async move {
                    serve_connection(stream, open, &limits, handler, stop).await;
                });
            }
            Err(e) => {
                // A line for each would fill the log while descriptors are lacking.
                counters.accepts_failed.add(1);
                log::debug!("peer: accept failed: {e}.");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    open: OpenConnection,
    limits: &Limits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Without this option, small replies wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    let mut sink = FramedWrite::new(writer, codec());
    let (tx, mut rx) = mpsc::channel::<Frame<Reply>>(MAX_CALLS_PER_CONNECTION);
    let activity = open.activity();
    let read = async move {
        loop {
            let next = tokio::select! {
                next = read_frame(&mut reader, limits) => next,
                () = open.closed() => break,
                _ = stop.wait_for(|&stop| stop) => break,
            };
            let Some(buf) = next else { break };
            let Ok(frame) = Frame::<Call>::decode(&buf) else {
                log::debug!("peer: connection closed after a damaged frame.");
                break;
            };
            let serving = activity.serve();
            let Ok(permit) = tx.clone().reserve_owned().await else {
                break;
            };
            let reply = handler(frame.body);
            tokio::spawn(async move {
                let body = reply.await;
                // The bytes of the call are reserved until its reply is known.
                drop(buf);
                drop(serving);
                permit.send(Frame { id: frame.id, body });
            });
        }
        open
    };
    let write = async move {
        while let Some(frame) = rx.recv().await {
            let Ok(buf) = frame.encode() else { break };
            if sink.send(buf).await.is_err() {
                break;
            }
        }
    };
    // The connection counts as open until its last reply is written.
    let (_open, ()) = tokio::join!(read, write);
}

/// Reads the next frame; `None` if the connection has ended, or the frame is too long, arrives too
/// slowly or exceeds the budget.
async fn read_frame(reader: &mut BufReader<OwnedReadHalf>, limits: &Limits) -> Option<Bytes> {
    // The time without a call is limited by the caller.
    if reader.fill_buf().await.ok()?.is_empty() {
        return None;
    }
    match timeout(limits.call_timeout, receive_frame(reader, limits)).await {
        Ok(frame) => frame,
        Err(_) => {
            limits.budget.counters().messages_slow.add(1);
            None
        }
    }
}

async fn receive_frame(reader: &mut BufReader<OwnedReadHalf>, limits: &Limits) -> Option<Bytes> {
    let mut length = [0; LENGTH_BYTES];
    reader.read_exact(&mut length).await.ok()?;
    let length = usize::try_from(u32::from_be_bytes(length)).ok()?;
    if length > limits.max_call_bytes {
        log::debug!("peer: connection closed after a call of {length} bytes.");
        return None;
    }
    let message = limits.budget.open(0).ok()?;
    let mut left = length;
    while left > 0 {
        let buf = tokio::select! {
            buf = reader.fill_buf() => buf.ok()?,
            () = message.closed() => return None,
        };
        if buf.is_empty() {
            return None;
        }
        let bytes = buf.len().min(left);
        message.extend(&buf[..bytes], length, length).ok()?;
        reader.consume(bytes);
        left -= bytes;
    }
    message.finish().ok()
}
