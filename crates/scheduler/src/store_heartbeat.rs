//! The heartbeat row that the leader of a shard writes into the store at least every second.
//!
//! It shows instances that hear few others whether the leader lives, has the numbers of waiting jobs for
//! instances that hear no leader, and tells the next leader of silent workers.

use {
    marigoldbend_core::sched::shard::Silences,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// The maximum length of the names and numbers of queues, and of the silent workers, in bytes: together
/// less than a row of the store may have.
const MAX_LIST_BYTES: usize = 24_000;

/// The result of decoding a row.
pub type Result<T, E = HeartbeatRowError> = std::result::Result<T, E>;

/// An error from decoding a damaged row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("damaged heartbeat row"))]
pub struct HeartbeatRowError;

/// The value of the row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreHeartbeat {
    /// The leader's incarnation.
    pub incarnation: u64,
    /// Grows with each heartbeat, so that each changes the row.
    pub number: u64,
    /// Name of each queue with jobs that have not started, and the number of these jobs.
    pub pending: Vec<(String, u32)>,
    /// What follows these parts; the default in rows of earlier versions.
    #[serde(skip)]
    pub details: Details,
}

/// The parts of a heartbeat row that earlier versions don't read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Details {
    /// Whether queues are left out of [`StoreHeartbeat::pending`], since the row would be too long.
    pub omits_pending: bool,
    /// The leader's fencing token; zero in rows of earlier versions.
    pub token: u64,
    /// The ids of silent workers, and within how many milliseconds from the write on all their leases
    /// end; see [`Silences`].
    pub silent: Vec<(String, u32)>,
}

impl StoreHeartbeat {
    /// Creates the heartbeat of a leader with `token`. Leaves out queues and silent workers for which
    /// a row has no room.
    pub fn new(
        incarnation: u64,
        token: u64,
        number: u64,
        mut pending: Vec<(String, u32)>,
        silences: &Silences,
    ) -> Self {
        pending.sort();
        let fitting = count_fitting(&pending);
        let omits_pending = fitting < pending.len();
        pending.truncate(fitting);
        let silent = silences.workers.iter().map(|(id, remaining)| {
            // A longer time only makes a successor wait longer.
            let ms = remaining.as_millis().saturating_add(1);
            (id.clone(), u32::try_from(ms).unwrap_or(u32::MAX))
        });
        let mut silent: Vec<_> = silent.collect();
        silent.truncate(count_fitting(&silent));
        Self {
            incarnation,
            number,
            pending,
            details: Details {
                omits_pending,
                token,
                silent,
            },
        }
    }

    /// Returns the number of waiting jobs of a queue; `None` if the row may leave the queue out.
    pub fn pending_of(&self, queue: &str) -> Option<u32> {
        let listed = self.pending.iter().find(|(name, _)| name == queue);
        match listed {
            Some((_, pending)) => Some(*pending),
            None => (!self.details.omits_pending).then_some(0),
        }
    }

    /// Returns what the leader has told of silent workers, for its immediate successor, which has
    /// `successor_token`; nothing for another one.
    pub fn silences_for(&self, successor_token: u64) -> Vec<(String, Duration)> {
        if self.details.token == 0 || self.details.token + 1 != successor_token {
            return Vec::new();
        }
        let silent = self.details.silent.iter();
        silent
            .map(|(id, ms)| (id.clone(), Duration::from_millis(u64::from(*ms))))
            .collect()
    }

    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data can't fail.
        postcard::to_stdvec(&(self, &self.details)).unwrap_or_default()
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is damaged.
    pub fn decode(buf: &[u8]) -> Result<Self> {
        let decoded = postcard::take_from_bytes::<Self>(buf);
        let (mut heartbeat, rest) = decoded.map_err(|_| HeartbeatRowError)?;
        if !rest.is_empty() {
            heartbeat.details = postcard::from_bytes(rest).map_err(|_| HeartbeatRowError)?;
        }
        Ok(heartbeat)
    }
}

/// Returns how many of the first entries have at most [`MAX_LIST_BYTES`].
fn count_fitting(entries: &[(String, u32)]) -> usize {
    let mut room = MAX_LIST_BYTES;
    let fits = |entry: &&(String, u32)| {
        let len = postcard::to_stdvec(entry).map_or(usize::MAX, |buf| buf.len());
        let rest = room.checked_sub(len);
        room = rest.unwrap_or(0);
        rest.is_some()
    };
    entries.iter().take_while(fits).count()
}
