//! Messages that may be lost, each in one UDP datagram.

use {
    crate::frame,
    marigoldbend_core::{
        ids::{Domain, Incarnation, Version, WorkerId},
        ownership::PromiseRequest,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// The first bytes of a datagram: the protocol and its version.
const MAGIC: &[u8; 4] = b"mgb1";

/// The maximum length of a datagram, in bytes; a packet of this length is not fragmented.
pub const MAX_BYTES: usize = 1_200;

/// The maximum number of workers in [`Datagram::leaving_workers`].
pub const MAX_LEAVING: usize = 64;

/// A result of encoding or decoding a datagram.
pub type Result<T, E = DatagramError> = std::result::Result<T, E>;

/// Why a datagram could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum DatagramError {
    /// The first bytes are not those of this protocol and version.
    #[snafu(display("not a datagram of this protocol"))]
    UnknownProtocol,
    /// The datagram is damaged, or its contents have another format.
    #[snafu(display("damaged datagram"))]
    Damaged,
    /// The datagram is longer than [`MAX_BYTES`].
    #[snafu(display("the datagram is too long"))]
    TooLong,
}

/// The sender of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    pub domain: Domain,
    /// The sender's name in the platform's instance list.
    pub name: String,
    /// The address at which peers reach the sender.
    pub peer_address: SocketAddr,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// The sender.
    pub sender: Sender,
    /// The version of the configuration that the sender uses.
    pub config_version: Version,
    /// The newest version of its domain's ownership row that the sender has seen.
    pub row_version: Version,
    /// Whether the sender is shutting down and accepts no more offers.
    pub shutting_down: bool,
    /// The workers that the sender has learned to be leaving.
    pub leaving_workers: Vec<WorkerId>,
    /// The message.
    pub message: Message,
}

/// The message in a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// A request for an acknowledgement.
    Probe {
        /// A number that the reply repeats.
        nonce: u64,
    },
    /// The reply to a probe.
    ProbeReply {
        /// The nonce of the probe.
        nonce: u64,
        /// The version of the ownership row at which the sender confirms the probing instance;
        /// `None` if the sender does not confirm it.
        confirms: Option<Version>,
    },
    /// Asks the receiver to promise that it no longer confirms the ownership of a silent member.
    RequestPromise {
        /// The silent member, and the version of the ownership row that the takeover will replace.
        request: PromiseRequestWire,
    },
    /// The sender's promise that it no longer confirms the ownership of a silent member.
    Promise {
        /// The silent member, and the version of the ownership row that the takeover will replace.
        request: PromiseRequestWire,
    },
}

/// A [`PromiseRequest`] on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromiseRequestWire {
    target: Incarnation,
    base: Version,
}

impl From<PromiseRequest> for PromiseRequestWire {
    fn from(request: PromiseRequest) -> Self {
        Self {
            target: request.target,
            base: request.base,
        }
    }
}

impl From<PromiseRequestWire> for PromiseRequest {
    fn from(wire: PromiseRequestWire) -> Self {
        Self {
            target: wire.target,
            base: wire.base,
        }
    }
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is longer than [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        frame::encode(MAGIC, MAX_BYTES, self).ok_or(DatagramError::TooLong)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` is too long, is damaged, belongs to another protocol or version,
    /// or has bytes after the datagram.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        if buf.len() > MAX_BYTES {
            return Err(DatagramError::TooLong);
        }
        let body = buf
            .strip_prefix(MAGIC)
            .ok_or(DatagramError::UnknownProtocol)?;
        let decoded = postcard::take_from_bytes::<Self>(body);
        let (datagram, rest) = decoded.map_err(|_| DatagramError::Damaged)?;
        if !rest.is_empty() || datagram.leaving_workers.len() > MAX_LEAVING {
            return Err(DatagramError::Damaged);
        }
        Ok(datagram)
    }
}
