//! What instances that schedule jobs tell each other several times a second, over UDP.

use {
    crate::frame,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// The first bytes of a beat: the protocol and its version.
const MAGIC: &[u8; 4] = b"mgh1";

/// The longest beat that is sent, in bytes; it fits an unfragmented packet.
pub const MAX_LEN: usize = 1_300;

/// The most queues whose waiting jobs one beat tells of.
pub const MAX_QUEUES: usize = 40;

/// A result of coding a beat.
pub type Result<T, E = HeartbeatError> = std::result::Result<T, E>;

/// A beat that can't be sent or was not understood.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// It does not begin with the protocol's mark, or is damaged.
    #[snafu(display("damaged beat"))]
    Damaged,
    /// It is longer than [`MAX_LEN`].
    #[snafu(display("the beat is too long"))]
    TooLong,
}

/// A shard that the sender leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedShard {
    /// The shard.
    pub shard: String,
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row in the store.
    pub ver: u64,
    /// Services and how much of their processor is asked for, in thousandths: by tasks that keep
    /// it, and by tasks that fill.
    pub loads: Vec<(String, u32, u32)>,
    /// Queues and how many of their jobs have not begun.
    pub pending: Vec<(String, u32)>,
}

/// A beat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its run.
    pub incarnation: u64,
    /// Where peers reach it, over UDP and TCP.
    pub address: SocketAddr,
    /// The version of the configuration that it has in force.
    pub config: u64,
    /// Whether it reaches the store.
    pub store_ok: bool,
    /// Whether it is ending.
    pub ending: bool,
    /// Shards that it is taking over.
    pub taking_over: Vec<String>,
    /// What it leads.
    pub led_shards: Vec<LedShard>,
}

impl Heartbeat {
    /// Encodes the beat.
    ///
    /// # Errors
    ///
    /// Returns an error if it is longer than [`MAX_LEN`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        frame::encode(MAGIC, MAX_LEN, self).ok_or(HeartbeatError::TooLong)
    }

    /// Decodes a beat.
    ///
    /// # Errors
    ///
    /// Returns an error if it is of another protocol or damaged.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let body = buf.strip_prefix(MAGIC).ok_or(HeartbeatError::Damaged)?;
        postcard::from_bytes(body).map_err(|_| HeartbeatError::Damaged)
    }
}
