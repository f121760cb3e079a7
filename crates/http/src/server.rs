//! A server loop for HTTP/1.1 and cleartext HTTP/2 with graceful shutdown.

use {
    crate::body::HttpResponse,
    hyper::{Request, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{Semaphore, watch},
        time::{sleep, timeout},
    },
};

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// The maximum length of a request's header section, in bytes; for HTTP/1.1, a smaller value
    /// than 8 KiB is raised to 8 KiB.
    pub header_bytes: usize,
    /// The time limit for receiving the header section of an HTTP/1.1 request.
    pub header_timeout: Duration,
    /// How long [`serve`] waits for open connections to finish after it was told to stop.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(20),
        }
    }
}

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
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        let Some((stream, peer, permit)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let response = handler(peer, req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes.max(8 << 10));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(limits.header_bytes as u32);
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // The error is ignored because only the client is affected, and it sees its connection
            // end.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_ok()
}

/// A connection, the client's address, and the permit that counts the connection as open.
type Accepted = (
    tokio::net::TcpStream,
    SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
);

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Without this option, small responses wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            Some((stream, peer, permit))
        }
        Err(e) => {
            log::warn!("http: accept failed: {e}.");
            None
        }
    }
}
