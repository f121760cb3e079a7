//! A relay in front of the peer port of one instance, which can block the traffic from chosen
//! peers.

use {
    marigoldbend_core::hash::HashMap,
    parking_lot::Mutex,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream, UdpSocket},
        sync::watch,
    },
};

/// The maximum length of a forwarded datagram, in bytes; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    blocked: Arc<Mutex<Vec<IpAddr>>>,
    /// Notifies open connections of each change of `blocked`, so that they stop or resume.
    blocked_changed: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay on the current runtime; until it has a target, it drops all traffic.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(ip: IpAddr) -> io::Result<Self> {
        let tcp = TcpListener::bind((ip, 0)).await?;
        let address = tcp.local_addr()?;
        let udp = UdpSocket::bind(address).await?;
        let relay = Self {
            address,
            target: Arc::default(),
            blocked: Arc::default(),
            blocked_changed: watch::Sender::new(0),
        };
        tokio::spawn(relay.clone().forward_datagrams(Arc::new(udp)));
        tokio::spawn(relay.clone().accept_connections(tcp));
        Ok(relay)
    }

    /// Returns the relay's address, which the instance advertises to its peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the instance behind the relay.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = Some(target);
    }

    /// Blocks the traffic from these addresses and from no others: datagrams are dropped, and
    /// connections stay open without forwarding anything.
    pub fn set_blocked(&self, blocked: Vec<IpAddr>) {
        *self.blocked.lock() = blocked;
        self.blocked_changed.send_modify(|n| *n += 1);
    }

    fn is_blocked(&self, from: IpAddr) -> bool {
        self.blocked.lock().contains(&from)
    }

    async fn forward_datagrams(self, socket: Arc<UdpSocket>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::default();
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            let target = *self.target.lock();
            let (Some(target), false) = (target, self.is_blocked(from.ip())) else {
                continue;
            };
            let sender = match senders.get(&from) {
                Some(sender) => sender.clone(),
                None => {
                    let Ok(sender) = UdpSocket::bind((self.address.ip(), 0)).await else {
                        continue;
                    };
                    senders.entry(from).or_insert(Arc::new(sender)).clone()
                }
            };
            // Errors are ignored because datagrams may be lost anyway.
            let _ = sender.send_to(&buf[..n], target).await;
        }
    }

    async fn accept_connections(self, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().forward_connection(stream, from.ip()));
        }
    }

    /// Forwards the bytes of a connection; while its sender is blocked, keeps it open without
    /// forwarding.
    async fn forward_connection(self, mut stream: TcpStream, from: IpAddr) {
        let mut block_changes = self.blocked_changed.subscribe();
        let Some(target) = *self.target.lock() else {
            return;
        };
        while self.is_blocked(from) {
            if block_changes.changed().await.is_err() {
                return;
            }
        }
        let Ok(mut outgoing) = TcpStream::connect(target).await else {
            return;
        };
        // Without this option, small frames wait for the acknowledgement of earlier ones.
        let _ = outgoing.set_nodelay(true);
        let _ = stream.set_nodelay(true);
        loop {
            tokio::select! {
                _ = copy_bidirectional(&mut stream, &mut outgoing) => return,
                _ = block_changes.changed() => {}
            }
            while self.is_blocked(from) {
                if block_changes.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
