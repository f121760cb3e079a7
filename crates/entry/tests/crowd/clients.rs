//! Clients that begin requests and never finish them.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        Request,
        body::{Body, Frame, SizeHint},
        client::conn::http2,
        header::HOST,
    },
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{
        convert::Infallible,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout},
};

/// How long one client tries to connect and to send; what it can't send by then stays unsent.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How a client sends a body.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// In one write.
    Whole,
    /// In pieces of this many bytes, each in a write of its own.
    Pieces(usize),
}

/// Open connections with unfinished requests; dropping it closes them.
#[derive(Default)]
pub struct Clients {
    streams: Vec<TcpStream>,
    http2: JoinSet<()>,
}

impl Clients {
    /// Opens `count` connections at the same time; each sends `head` and `body_bytes` bytes and
    /// stays open.
    pub async fn send_http1(
        &mut self,
        address: SocketAddr,
        count: usize,
        head: &[u8],
        body_bytes: usize,
        pace: Pace,
    ) {
        let mut opening = JoinSet::new();
        for _ in 0..count {
            let message = [head, &vec![b' '; body_bytes]].concat();
            opening.spawn(async move {
                let connected = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await;
                let mut stream = connected.ok()?.ok()?;
                let piece_bytes = match pace {
                    Pace::Whole => message.len().max(1),
                    Pace::Pieces(bytes) => bytes,
                };
                let send = async {
                    for piece in message.chunks(piece_bytes) {
                        // The process may close the connection at any time.
                        if stream.write_all(piece).await.is_err() {
                            return;
                        }
                    }
                };
                let _ = timeout(SEND_TIMEOUT, send).await;
                Some(stream)
            });
        }
        while let Some(opened) = opening.join_next().await {
            self.streams
                .extend(opened.expect("the client does not panic"));
        }
    }

    /// Opens a connection over HTTP/2 with `count` submissions, each of which stops one byte short
    /// of its body's length.
    pub async fn send_http2(&mut self, address: SocketAddr, count: usize, body_bytes: usize) {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
        let (sender, connection) = handshake.expect("the preface is sent");
        self.http2.spawn(async move {
            let _ = connection.await;
        });
        let (sent, mut all_sent) = tokio::sync::mpsc::channel::<()>(1);
        for number in 0..count {
            let mut sender = sender.clone();
            let path = crate::process::submission_path(number + 1);
            let request = Request::post(format!("http://{address}{path}"))
                .header(HOST, crate::process::HOST_NAME)
                .body(UnfinishedBody {
                    length: body_bytes,
                    sent: 0,
                    not_all_sent: Some(sent.clone()),
                })
                .expect("a valid request");
            self.http2.spawn(async move {
                if sender.ready().await.is_err() {
                    return;
                }
                // The process may refuse the request.
                if let Ok(response) = sender.send_request(request).await {
                    let _ = response.into_body().collect().await;
                }
            });
        }
        drop(sent);
        let _ = timeout(SEND_TIMEOUT, all_sent.recv()).await;
    }

    /// Returns the number of connections that were opened over HTTP/1.1.
    pub fn opened(&self) -> usize {
        self.streams.len()
    }
}

/// A body that stops one byte short of its length and stays open.
struct UnfinishedBody {
    length: usize,
    sent: usize,
    /// Dropped when all but the last byte has been handed over.
    not_all_sent: Option<tokio::sync::mpsc::Sender<()>>,
}

impl Body for UnfinishedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        const PIECE_BYTES: usize = 16 << 10;
        let bytes = PIECE_BYTES.min(self.length - 1 - self.sent);
        if bytes == 0 {
            self.not_all_sent = None;
            return Poll::Pending;
        }
        self.sent += bytes;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b' '; bytes])))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.length - self.sent) as u64)
    }
}
