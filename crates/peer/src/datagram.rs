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

/// The longest datagram that is sent, in bytes; it fits an unfragmented packet.
pub const MAX_BYTES: usize = 1_200;

/// The most workers whose leaving one datagram tells of.
pub const MAX_LEAVING: usize = 64;

/// A result of coding a datagram.
pub type Result<T, E = DatagramError> = std::result::Result<T, E>;

/// A datagram that can't be sent or was not understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum DatagramError {
    /// It does not begin with the protocol's mark.
    #[snafu(display("not a datagram of this protocol"))]
    UnknownProtocol,
    /// It is damaged or of another version.
    #[snafu(display("damaged datagram"))]
    Damaged,
    /// It is longer than [`MAX_BYTES`].
    #[snafu(display("the datagram is too long"))]
    TooLong,
}

/// Who sent a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
    /// Its name in the platform's instance list.
    pub name: String,
    /// Where it is reached by its peers.
    pub peer: SocketAddr,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Datagram {
    /// Who sent it.
    pub sender: Sender,
    /// The version of the configuration that the sender has in force.
    pub config: Version,
    /// The version of its domain's ownership row that the sender knows.
    pub row: Version,
    /// Whether the sender is ending and takes no more offers.
    pub ending: bool,
    /// Workers that the sender knows to be leaving.
    pub leaving: Vec<WorkerId>,
    /// What it says.
    pub message: Message,
}

/// What a datagram says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks for an acknowledgement.
    Probe {
        /// Comes back in the answer.
        nonce: u64,
    },
    /// Answers a probe.
    ProbeReply {
        /// The probe's.
        nonce: u64,
        /// The version at which the sender confirms the probing instance, if it does.
        confirms: Option<Version>,
    },
    /// Asks for a word against a silent member.
    RequestPromise {
        /// The member and the version.
        request: PromiseRequestWire,
    },
    /// Gives that word.
    Promise {
        /// The member and the version.
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
    /// Returns an error if it is longer than [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        frame::encode(MAGIC, MAX_BYTES, self).ok_or(DatagramError::TooLong)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is of another protocol, damaged, or has bytes left over.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        if buf.len() > MAX_BYTES {
            return Err(DatagramError::TooLong);
        }
        let body = buf
            .strip_prefix(MAGIC)
            .ok_or(DatagramError::UnknownProtocol)?;
        let decoded = postcard::take_from_bytes::<Self>(body);
        let (datagram, rest) = decoded.map_err(|_| DatagramError::Damaged)?;
        if !rest.is_empty() || datagram.leaving.len() > MAX_LEAVING {
            return Err(DatagramError::Damaged);
        }
        Ok(datagram)
    }
}
