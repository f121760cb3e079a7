//! The server side: serves the calls of each connection concurrently.

use {
    crate::call::{Call, Frame, Reply, codec},
    futures_util::{SinkExt, StreamExt},
    std::{future::Future, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc, watch},
        time::sleep,
    },
    tokio_util::{codec::Framed, task::TaskTracker},
};

/// The maximum number of calls in flight on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 512;

/// The maximum number of open connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;

/// The delay after a failed accept, which avoids a busy loop while accepting keeps failing.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves connections until `stop` becomes true, then waits for the calls in flight.
pub async fn serve<H, F>(listener: TcpListener, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stop| stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let handler = handler.clone();
                let stop = stop.clone();
                tracker.spawn(async move {
                    serve_connection(stream, handler, stop).await;
                    drop(slot);
                });
            }
            Err(e) => {
                log::warn!("peer: accept failed: {e}.");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Without this option, small replies wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let (mut sink, mut frames) = Framed::new(stream, codec()).split();
    let (tx, mut rx) = mpsc::channel::<Frame<Reply>>(MAX_CALLS_PER_CONNECTION);
    let read = async move {
        loop {
            let next = tokio::select! {
                next = frames.next() => next,
                _ = stop.wait_for(|&stop| stop) => break,
            };
            let Some(Ok(buf)) = next else { break };
            let Ok(frame) = Frame::<Call>::decode(&buf) else {
                log::warn!("peer: connection closed after a damaged frame.");
                break;
            };
            let Ok(permit) = tx.clone().reserve_owned().await else {
                break;
            };
            let reply = handler(frame.body);
            tokio::spawn(async move {
                let body = reply.await;
                permit.send(Frame { id: frame.id, body });
            });
        }
    };
    let write = async move {
        while let Some(frame) = rx.recv().await {
            let Ok(buf) = frame.encode() else { break };
            if sink.send(buf).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(read, write);
}
