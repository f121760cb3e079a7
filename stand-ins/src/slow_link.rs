//! A link of limited bandwidth in front of a server, which all connections through it share.

use {
    parking_lot::Mutex,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::sleep,
    },
};

/// The maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4 << 10;

/// A running link. It limits what the server sends; requests pass without a limit.
#[derive(Clone)]
pub struct SlowLink {
    address: SocketAddr,
    server: SocketAddr,
    bytes_per_s: u32,
    /// When everything that was sent so far has passed the link.
    free_at: Arc<Mutex<Instant>>,
}

impl SlowLink {
    /// Starts a link to `server` on the current runtime, at a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(server: SocketAddr, bytes_per_s: u32) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            address: listener.local_addr()?,
            server,
            bytes_per_s,
            free_at: Arc::new(Mutex::new(Instant::now())),
        };
        tokio::spawn(link.clone().accept_connections(listener));
        Ok(link)
    }

    /// Returns the address of the client's side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn accept_connections(self, listener: TcpListener) {
        loop {
            if let Ok((client, _)) = listener.accept().await {
                tokio::spawn(self.clone().forward(client));
            }
        }
    }

    /// Forwards a connection until either side closes it.
    async fn forward(self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server).await else {
            return;
        };
        // Without this option, small requests wait for the acknowledgement of earlier ones.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut from_client, to_client) = client.into_split();
        let (from_server, mut to_server) = server.into_split();
        tokio::select! {
            _ = tokio::io::copy(&mut from_client, &mut to_server) => {}
            _ = self.forward_slowly(from_server, to_client) => {}
        }
    }

    async fn forward_slowly(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(n @ 1..) = from.read(&mut buf).await {
            let passed_at = self.reserve(n);
            sleep(passed_at.saturating_duration_since(Instant::now())).await;
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Reserves the link for `n` bytes; returns when they have passed it.
    fn reserve(&self, n: usize) -> Instant {
        let mut free_at = self.free_at.lock();
        let duration = Duration::from_secs_f64(n as f64 / f64::from(self.bytes_per_s));
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}
