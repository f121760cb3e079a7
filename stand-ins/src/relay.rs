//! A relay in front of one instance's peer port, through which its peers can be cut off.

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

/// The longest datagram that is passed on, in bytes.
const LONGEST: usize = 2_048;

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    cut: Arc<Mutex<Vec<IpAddr>>>,
    /// Changes whenever `cut` does, so that open connections are looked at again.
    changed: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay on the current runtime; it drops everything until it has a target.
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
            cut: Arc::default(),
            changed: watch::Sender::new(0),
        };
        tokio::spawn(relay.clone().datagrams(Arc::new(udp)));
        tokio::spawn(relay.clone().connections(tcp));
        Ok(relay)
    }

    /// Returns the address to advertise.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the instance behind the relay.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = Some(target);
    }

    /// Cuts off the instances at these addresses: datagrams are dropped and connections hang.
    pub fn set_cut(&self, cut: Vec<IpAddr>) {
        *self.cut.lock() = cut;
        self.changed.send_modify(|n| *n += 1);
    }

    fn is_cut(&self, from: IpAddr) -> bool {
        self.cut.lock().contains(&from)
    }

    async fn datagrams(self, socket: Arc<UdpSocket>) {
        let mut buf = [0; LONGEST];
        let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::default();
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            let target = *self.target.lock();
            let (Some(target), false) = (target, self.is_cut(from.ip())) else {
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
            // A datagram may be lost like any other.
            let _ = sender.send_to(&buf[..n], target).await;
        }
    }

    async fn connections(self, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().connection(stream, from.ip()));
        }
    }

    /// Passes bytes on; while cut it holds the connection without a word.
    async fn connection(self, mut stream: TcpStream, from: IpAddr) {
        let mut changed = self.changed.subscribe();
        let Some(target) = *self.target.lock() else {
            return;
        };
        while self.is_cut(from) {
            if changed.changed().await.is_err() {
                return;
            }
        }
        let Ok(mut onward) = TcpStream::connect(target).await else {
            return;
        };
        // Without the option, small frames wait for the acknowledgement of earlier ones.
        let _ = onward.set_nodelay(true);
        let _ = stream.set_nodelay(true);
        loop {
            tokio::select! {
                _ = copy_bidirectional(&mut stream, &mut onward) => return,
                _ = changed.changed() => {}
            }
            while self.is_cut(from) {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
