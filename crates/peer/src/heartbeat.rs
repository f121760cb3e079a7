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
/// together. A sender of an earlier version does not say that it has left others out.
pub const MAX_QUEUES: usize = 40;

/// How many bytes the lengths of a heartbeat's lists may grow by as entries are added, with those of
/// its [`Omissions`].
const LENGTH_MARGIN: usize = 16;

/// The room in bytes that is left for loads and queues if a heartbeat is divided: two entries with the
/// longest names that the platform allows.
const DETAILS_ROOM: usize = 440;

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

/// What a heartbeat leaves out, since its datagram would be too long.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Omissions {
    /// Whether there are queues with jobs that have not started in no [`LedShard::pending`] list.
    pub pending: bool,
    /// Whether there are services in no [`LedShard::loads`] list. The next heartbeats have others.
    pub loads: bool,
    /// Whether it continues another heartbeat, which has as many shards as fit and was sent just
    /// before.
    pub continues: bool,
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
    /// What the heartbeat leaves out.
    #[serde(skip)]
    pub omissions: Omissions,
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

    /// Divides the heartbeat into ones that are no longer than [`MAX_BYTES`], nearly always one.
    ///
    /// Which shards the sender leads and takes over, and the tokens that it knows, are told in any
    /// case, in further heartbeats if need be: an instance that misses them counts the sender as
    /// silent. Names of services and queues, of which a configuration may hold any number, take the
    /// room that is left; [`Omissions`] says so if that is too little. The loads begin with another
    /// service in each `round`, so that the receivers learn all of them in turn.
    pub fn into_parts(mut self, round: usize) -> Vec<Self> {
        let led_shards = std::mem::take(&mut self.led_shards);
        let mut outlooks = std::mem::take(&mut self.outlooks);
        let taking_over = std::mem::take(&mut self.taking_over);
        let newest_tokens = std::mem::take(&mut self.newest_tokens);
        let mut parts = Parts::new(self);
        let (bare, details): (Vec<_>, Vec<_>) = led_shards.into_iter().map(LedShard::split).unzip();
        let mut places = Vec::with_capacity(bare.len());
        for shard in bare {
            places.push(parts.make_room(&shard));
            parts.last().led_shards.push(shard);
        }
        for shard in taking_over {
            parts.make_room(&shard);
            parts.last().taking_over.push(shard);
        }
        for token in newest_tokens {
            parts.make_room(&token);
            parts.last().newest_tokens.push(token);
        }
        let mut parts = parts.parts;
        let max_queues = MAX_QUEUES / places.len().max(1);
        for ((part, shard), details) in places.into_iter().zip(details) {
            let (heartbeat, room) = &mut parts[part];
            heartbeat.add_details(shard, details, max_queues, round, room);
            let name = heartbeat.led_shards[shard].shard.as_str();
            if let Some(index) = outlooks.iter().position(|o| o.shard == name) {
                heartbeat.outlooks.push(outlooks.swap_remove(index));
            }
        }
        parts.into_iter().map(|(heartbeat, _)| heartbeat).collect()
    }

    /// Adds the loads and queues of the shard with this index that fit into `room`, in bytes, the loads
    /// into half of it.
    fn add_details(
        &mut self,
        shard: usize,
        (mut loads, mut pending): Details,
        max_queues: usize,
        round: usize,
        room: &mut usize,
    ) {
        let shard = &mut self.led_shards[shard];
        let mut loads_room = *room / 2;
        if loads.iter().map(encoded_len).sum::<usize>() > loads_room {
            let first = round % loads.len();
            loads.rotate_left(first);
        }
        *room -= loads_room;
        let fitting = count_fitting(&loads, &mut loads_room);
        *room += loads_room;
        self.omissions.loads |= fitting < loads.len();
        loads.truncate(fitting);
        shard.loads = loads;
        let listed = &pending[..pending.len().min(max_queues)];
        let fitting = count_fitting(listed, room);
        self.omissions.pending |= fitting < pending.len();
        pending.truncate(fitting);
        shard.pending = pending;
    }

    /// Returns whether queues with jobs that have not started may be in none of the lists.
    pub fn may_omit_pending(&self) -> bool {
        let max_queues = MAX_QUEUES / self.led_shards.len().max(1);
        let mut shards = self.led_shards.iter();
        self.omissions.pending || shards.any(|shard| shard.pending.len() >= max_queues)
    }

    /// Encodes the heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the heartbeat is longer than [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let message = self.message();
        let buf = if self.omissions == Omissions::default() {
            frame::encode(MAGIC, MAX_BYTES, &message)
        } else {
            frame::encode(MAGIC, MAX_BYTES, &(message, self.omissions))
        };
        buf.ok_or(HeartbeatError::TooLong)
    }

    /// Returns the parts in the order in which they were added to the protocol.
    fn message(&self) -> impl Serialize {
        let store_age_ms = self
            .store_age
            .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        (
            self,
            self.cpu_share,
            store_age_ms,
            &self.newest_tokens,
            self.waits_for_loans,
            &self.outlooks,
        )
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
        let (outlooks, rest) = take_or_default(rest)?;
        let (omissions, _) = take_or_default(rest)?;
        Ok(Self {
            cpu_share,
            newest_tokens,
            waits_for_loans,
            outlooks,
            omissions,
            store_age: store_age_ms.map(|ms| Duration::from_millis(ms.into())),
            ..heartbeat
        })
    }
}

/// The loads and the queues of a led shard; see [`LedShard`].
type Details = (Vec<(String, u32, u32)>, Vec<(String, u32)>);

impl LedShard {
    /// Separates what is of bounded length from the lists of names.
    fn split(mut self) -> (Self, Details) {
        let loads = std::mem::take(&mut self.loads);
        let pending = std::mem::take(&mut self.pending);
        (self, (loads, pending))
    }
}

/// The heartbeats that one is divided into, each with the room that it has left, in bytes.
struct Parts {
    parts: Vec<(Heartbeat, usize)>,
    /// A heartbeat without lists, and its room.
    empty: (Heartbeat, usize),
}

impl Parts {
    fn new(empty: Heartbeat) -> Self {
        let used = MAGIC.len() + encoded_len(&empty.message()) + LENGTH_MARGIN;
        let room = MAX_BYTES.saturating_sub(used);
        Self {
            parts: vec![(empty.clone(), room)],
            empty: (empty, room),
        }
    }

    fn last(&mut self) -> &mut Heartbeat {
        let last = self.parts.len() - 1;
        &mut self.parts[last].0
    }

    /// Makes room for an entry in the last heartbeat, or in a new one if it does not fit there;
    /// returns the indices of that heartbeat and of its next led shard.
    fn make_room(&mut self, entry: &impl Serialize) -> (usize, usize) {
        let len = encoded_len(entry);
        let is_full = |(heartbeat, room): &(Heartbeat, usize)| {
            let has_entries = !heartbeat.led_shards.is_empty()
                || !heartbeat.taking_over.is_empty()
                || !heartbeat.newest_tokens.is_empty();
            has_entries && *room < len + DETAILS_ROOM
        };
        if self.parts.last().is_some_and(is_full) {
            let (mut heartbeat, room) = self.empty.clone();
            heartbeat.omissions.continues = true;
            self.parts.push((heartbeat, room));
        }
        let last = self.parts.len() - 1;
        let (heartbeat, room) = &mut self.parts[last];
        *room = room.saturating_sub(len);
        (last, heartbeat.led_shards.len())
    }
}

/// Returns how many of the first entries fit into `room`, in bytes, and takes it from there.
fn count_fitting(entries: &[impl Serialize], room: &mut usize) -> usize {
    let mut count = 0;
    for entry in entries {
        let Some(rest) = room.checked_sub(encoded_len(entry)) else {
            break;
        };
        *room = rest;
        count += 1;
    }
    count
}

/// Returns the encoded length of plain data, in bytes.
fn encoded_len(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).map_or(usize::MAX, |buf| buf.len())
}

/// Decodes the next part of a heartbeat, which is absent if the sender has an earlier version;
/// returns the rest as well.
fn take_or_default<'de, T: Default + Deserialize<'de>>(buf: &'de [u8]) -> Result<(T, &'de [u8])> {
    if buf.is_empty() {
        return Ok((T::default(), buf));
    }
    postcard::take_from_bytes(buf).map_err(|_| HeartbeatError::Damaged)
}
