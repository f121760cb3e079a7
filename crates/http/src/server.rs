//! A server loop for HTTP/1.1 and HTTP/2 cleartext that ends gracefully.

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

/// What one listener allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; further ones wait to be accepted.
    pub connections: usize,
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The time in which a header section must arrive.
    pub header_timeout: Duration,
    /// The time that connections have to end after a shutdown.
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

/// The wait after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves connections until `stop` becomes true and every request in flight has been answered.
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
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        let Some((stream, peer, slot)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let answer = handler(peer, req);
            async move { Ok::<_, Infallible>(answer.await) }
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
            // A connection that fails concerns nobody but its caller, who sees it end.
            let _ = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_ok()
}

type Accepted = (
    tokio::net::TcpStream,
    SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
);

async fn accept(listener: &TcpListener, slots: &Arc<Semaphore>) -> Option<Accepted> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Without the option, small answers wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            Some((stream, peer, slot))
        }
        Err(e) => {
            log::warn!("http: accept failed: {e}.");
            None
        }
    }
}
