//! Binds the listening sockets of an instance.

use {
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
    },
};

/// The maximum number of ports that are tried to find one that is free for both TCP and UDP, if the
/// requested port is zero.
const MAX_PORT_TRIES: usize = 16;

/// A result of binding sockets.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Why a socket could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen for {purpose} on {address}: {source}"))]
pub struct ListenError {
    /// The socket's purpose, such as `callers`.
    purpose: &'static str,
    /// The requested address.
    address: SocketAddr,
    /// The operating system's error.
    source: io::Error,
}

/// Binds a non-blocking TCP socket; returns it and its local address.
///
/// # Errors
///
/// Returns an error that names the purpose and the address.
pub fn tcp(purpose: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        let local_address = listener.local_addr()?;
        Ok((listener, local_address))
    });
    bound.context(ListenSnafu { purpose, address })
}

/// Binds non-blocking sockets for TCP and UDP to the same port; returns them and their local
/// address. If the port is zero, several ports are tried.
///
/// # Errors
///
/// Returns an error that names the purpose and the address.
pub fn tcp_and_udp(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, UdpSocket, SocketAddr)> {
    let mut last_error = None;
    for _ in 0..MAX_PORT_TRIES {
        let (listener, local_address) = tcp(purpose, address)?;
        match UdpSocket::bind(local_address).and_then(|udp| udp.set_nonblocking(true).map(|()| udp))
        {
            Ok(udp) => return Ok((listener, udp, local_address)),
            Err(e) => last_error = Some(e),
        }
        if address.port() != 0 {
            break;
        }
    }
    let source = last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(source).context(ListenSnafu { purpose, address })
}
