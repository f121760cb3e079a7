//! A server loop for HTTP/1.1 and cleartext HTTP/2 with graceful shutdown.

use {
    crate::{
        body::HttpResponse,
        connections::{Connections, OpenConnection},
        counters::Counters,
    },
    hyper::{Request, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    marigoldbend_core::connection_table::IdleLimits,
    std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// The age at which a connection without a request is closed for a new one when the maximum is
    /// reached; `None` to close none.
    pub close_age: Option<Duration>,
    /// The maximum length of a request's header section, in bytes; for HTTP/1.1, a smaller value
    /// than 8 KiB is raised to 8 KiB.
    pub header_bytes: usize,
    /// The time limit for receiving the header section of an HTTP/1.1 request, and for the first
    /// request of a connection.
    pub header_timeout: Duration,
    /// How long a connection over HTTP/2 may be without a request after an earlier one.
    pub idle_timeout: Duration,
    /// The limits of connections over HTTP/2; `None` for the library's.
    pub http2: Option<Http2Limits>,
    /// The limits of the system's buffers; `None` for the system's choice.
    pub sockets: Option<SocketLimits>,
    /// How long [`serve`] waits for open connections to finish after it was told to stop.
    pub drain_timeout: Duration,
    /// What the listener counts.
    pub counters: Arc<Counters>,
}

/// Limits of a connection over HTTP/2.
#[derive(Clone, Copy, Debug)]
pub struct Http2Limits {
    /// The maximum number of requests in flight.
    pub streams: u32,
    /// The maximum number of bytes of one request that have been received and not read.
    pub stream_window: u32,
    /// The same, for all requests of the connection.
    pub connection_window: u32,
}

/// Limits of the bytes that the system holds for a listener.
#[derive(Clone, Copy, Debug)]
pub struct SocketLimits {
    /// The size of the receive buffer of each connection, in bytes.
    pub receive_buffer: usize,
    /// The maximum number of connections that have not been accepted yet.
    pub backlog: i32,
}

impl SocketLimits {
    /// Applies the limits to a listening socket; its connections inherit the size of the buffer.
    pub fn apply(&self, listener: &TcpListener) {
        let socket = socket2::SockRef::from(listener);
        // If the system refuses, its own limits apply.
        let _ = socket.set_recv_buffer_size(self.receive_buffer);
        let _ = socket.listen(self.backlog);
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            close_age: None,
            header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            http2: None,
            sockets: None,
            drain_timeout: Duration::from_secs(20),
            counters: Arc::default(),
        }
    }
}

/// How often and how long a client over HTTP/2 is probed that sends nothing.
const HTTP2_PROBE_INTERVAL: Duration = Duration::from_secs(20);

/// The delay after a failed accept. The usual cause of a failure is a lack of file descriptors;
/// without the delay, the loop would be busy until one is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves connections until `stop` becomes true, then lets requests in flight finish.
///
/// Returns whether all connections ended within [`Limits::drain_timeout`].
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) -> bool
where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let idle = IdleLimits {
        first: limits.header_timeout,
        next: limits.idle_timeout,
    };
    let connections = Connections::new(
        limits.connections,
        limits.close_age,
        idle,
        limits.counters.clone(),
    );
    let builder = builder(&limits);
    if let Some(sockets) = limits.sockets {
        sockets.apply(&listener);
    }
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &limits, &connections) => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        let Some((stream, peer, open)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let handler = handler.clone();
        let activity = open.activity();
        let service = service_fn(move |mut req: Request<Incoming>| {
            let serving = activity.serve();
            req.extensions_mut().insert(activity.clone());
            let response = handler(peer, req);
            async move {
                let response = response.await;
                drop(serving);
                Ok::<_, Infallible>(response)
            }
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // An error is ignored because only the client is affected, and it sees its connection
            // end.
            tokio::select! {
                _ = connection => {}
                () = open.closed() => {}
            }
            drop(open);
        });
    }
    drop(listener);
    timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_ok()
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 << 10));
    let mut http2 = builder.http2();
    http2
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(HTTP2_PROBE_INTERVAL)
        .keep_alive_timeout(HTTP2_PROBE_INTERVAL);
    if let Some(own) = limits.http2 {
        http2
            .max_concurrent_streams(own.streams)
            .initial_stream_window_size(own.stream_window)
            .initial_connection_window_size(own.connection_window);
    }
    builder
}

/// A connection, the client's address, and what counts the connection as open.
type Accepted = (tokio::net::TcpStream, SocketAddr, OpenConnection);

async fn accept(
    listener: &TcpListener,
    limits: &Limits,
    connections: &Arc<Connections>,
) -> Option<Accepted> {
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Without this option, small responses wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            let open = connections.admit(peer.ip()).await;
            Some((stream, peer, open))
        }
        Err(e) => {
            // A line for each would fill the log while descriptors are lacking.
            limits.counters.accepts_failed.add(1);
            log::debug!("http: accept failed: {e}.");
            None
        }
    }
}
