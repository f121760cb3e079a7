//! Heartbeats that the instances that schedule jobs send to each other several times a second,
//! over UDP.

use {
    crate::frame,
    marigoldbend_core::sched::admission::Outlook,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// The first bytes of a heartbeat: the protocol and its version.
const MAGIC: &[u8; 4] = b"mgh1";

/// The maximum length of a heartbeat, in bytes; a packet of this length is not fragmented.
pub const MAX_BYTES: usize = 1_300;

/// The maximum number of queues in the [`LedShard::pending`] lists of one heartbeat, taken
/// together.
pub const MAX_QUEUES: usize = 40;

/// A result of encoding or decoding a heartbeat.
pub type Result<T, E = HeartbeatError> = std::result::Result<T, E>;

/// Why a heartbeat could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum HeartbeatError {
    /// The bytes are damaged, or belong to another protocol or another version of this one.
    #[snafu(display("damaged heartbeat"))]
    Damaged,
    /// The heartbeat is longer than [`MAX_BYTES`].
    #[snafu(display("the heartbeat is too long"))]
    TooLong,
}

/// A shard that the sender leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedShard {
    /// The shard.
    pub shard: String,
    /// The fencing token of the sender's leadership.
    pub token: u64,
    /// The version of the lease row in the store.
    pub lease_version: u64,
    /// For each service: its name, the CPU that its tasks with reserved CPU request, and the CPU
    /// that its best-effort tasks request, both in thousandths of a core.
    pub loads: Vec<(String, u32, u32)>,
    /// For each queue: its name and the number of its jobs that have not started.
    pub pending: Vec<(String, u32)>,
}

/// What new jobs in a shard have to expect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardOutlook {
    /// The shard, which the sender leads.
    pub shard: String,
    /// How long before the heartbeat the outlooks were computed, in milliseconds.
    pub age_ms: u32,
    /// The outlooks of the services for which jobs wait.
    pub services: Vec<Outlook>,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: String,
    /// The sender's failure domain.
    pub domain: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The address at which peers reach the sender, over UDP and TCP.
    pub address: SocketAddr,
    /// The version of the configuration that the sender uses.
    pub config_version: u64,
    /// Whether the sender reaches the store.
    pub store_reachable: bool,
    /// Whether the sender is shutting down.
    pub shutting_down: bool,
    /// The shards that the sender is taking over.
    pub taking_over: Vec<String>,
    /// The shards that the sender leads.
    pub led_shards: Vec<LedShard>,
    /// The processor time that the sender may use, in thousandths of a core; zero if it is unknown,
    /// as from a sender of an earlier version.
    #[serde(skip)]
    pub cpu_share: u32,
    /// How long before this heartbeat the sender sent its newest call that the store has served, in
    /// whole milliseconds; `None` if the store has served none, or from a sender of an earlier version.
    #[serde(skip)]
    pub store_age: Option<Duration>,
    /// The newest fencing token that the sender knows of each shard whose lease row has changed
    /// lately, also if its holder does not lead yet; empty from a sender of an earlier version.
    #[serde(skip)]
    pub newest_tokens: Vec<(String, u64)>,
    /// Whether the sender, as a leader, waits for loans that earlier leaders have made; false from a
    /// sender of an earlier version.
    #[serde(skip)]
    pub waits_for_loans: bool,
    /// The outlooks of the shards that the sender leads; empty from a sender of an earlier version,
    /// and for a shard whose outlooks are not known.
    #[serde(skip)]
    pub outlooks: Vec<ShardOutlook>,
}

impl Heartbeat {
    /// Leaves out outlooks until the heartbeat is no longer than [`MAX_BYTES`], or none is left;
    /// returns how many services have none any more. Instances accept jobs without an outlook.
    pub fn leave_out_outlooks(&mut self) -> usize {
        let mut left_out = 0;
        while !self.outlooks.is_empty() && self.encode().is_err() {
            let longest = self.outlooks.iter_mut().max_by_key(|o| o.services.len());
            match longest.and_then(|o| o.services.pop()) {
                Some(_) => left_out += 1,
                None => self.outlooks.clear(),
            }
        }
        left_out
    }

    /// Encodes the heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the heartbeat is longer than [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let store_age_ms = self
            .store_age
            .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        let message = (
            self,
            self.cpu_share,
            store_age_ms,
            &self.newest_tokens,
            self.waits_for_loans,
            &self.outlooks,
        );
        frame::encode(MAGIC, MAX_BYTES, &message).ok_or(HeartbeatError::TooLong)
    }

    /// Decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` is damaged, or belongs to another protocol or version.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let body = buf.strip_prefix(MAGIC).ok_or(HeartbeatError::Damaged)?;
        let decoded = postcard::take_from_bytes::<Self>(body);
        let (heartbeat, rest) = decoded.map_err(|_| HeartbeatError::Damaged)?;
        // Earlier versions end after any of the parts.
        let (cpu_share, rest) = take_or_default::<u32>(rest)?;
        let (store_age_ms, rest) = take_or_default::<Option<u32>>(rest)?;
        let (newest_tokens, rest) = take_or_default(rest)?;
        let (waits_for_loans, rest) = take_or_default(rest)?;
        let (outlooks, _) = take_or_default(rest)?;
        Ok(Self {
            cpu_share,
            newest_tokens,
            waits_for_loans,
            outlooks,
            store_age: store_age_ms.map(|ms| Duration::from_millis(ms.into())),
            ..heartbeat
        })
    }
}

/// Decodes the next part of a heartbeat, which is absent if the sender has an earlier version;
/// returns the rest as well.
fn take_or_default<'de, T: Default + Deserialize<'de>>(buf: &'de [u8]) -> Result<(T, &'de [u8])> {
    if buf.is_empty() {
        return Ok((T::default(), buf));
    }
    postcard::take_from_bytes(buf).map_err(|_| HeartbeatError::Damaged)
}
