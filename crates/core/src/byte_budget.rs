//! The budget of bytes that unfinished and unhandled messages may hold in a process.
//!
//! Two pools bound the bytes in memory. Short messages use the small pool and long ones the large
//! pool, so long messages can't keep ordinary short ones out. A message moves to the large pool
//! once it is longer than [`BudgetLimits::small_message`].
//!
//! If a pool is exhausted, unfinished messages in it are closed for a new one: first those with the
//! largest product of bytes held and age, since these take most from others. A message that is
//! complete is never closed. A message is closed only after a minimum age, but in the small pool at
//! any age for a message that is much shorter, so that a crowd that sends again at once can't keep
//! out the shortest messages.

use {
    crate::hash::HashMap,
    std::time::{Duration, Instant},
};

/// The limits of a [`ByteBudget`], in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// The size of the large pool.
    pub large_pool: usize,
    /// The size of the small pool.
    pub small_pool: usize,
    /// The maximum size of a message in the small pool.
    pub small_message: usize,
    /// The minimum age at which an unfinished message is closed for another one. It is above the
    /// time that a message of the maximum length takes on an ordinary link, so that messages that
    /// make progress don't close each other.
    pub min_close_age: Duration,
}

impl BudgetLimits {
    /// Limits that no message reaches.
    pub const UNLIMITED: Self = Self {
        large_pool: usize::MAX,
        small_pool: usize::MAX,
        small_message: 0,
        min_close_age: Duration::MAX,
    };
}

/// How many times longer than a new message in the small pool another one must be to be closed for
/// it before the minimum age.
const CLOSABLE_RATIO: usize = 4;

/// The identifier of a message in a [`ByteBudget`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MessageId(u64);

#[derive(Clone, Copy, Debug)]
struct Message {
    bytes: usize,
    since: Instant,
    is_complete: bool,
    is_large: bool,
}

impl Message {
    /// How much this message takes from others: bytes held times age.
    fn weight(&self, now: Instant) -> u128 {
        let age = now.saturating_duration_since(self.since);
        self.bytes as u128 * (age.as_millis() + 1)
    }
}

/// The bytes that messages hold, by pool, and the number of messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUse {
    /// Bytes in the large pool.
    pub large: usize,
    /// Bytes in the small pool.
    pub small: usize,
    /// Messages in both.
    pub messages: usize,
}

/// The result of a request for bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The bytes are reserved. These messages are closed for it and hold no bytes any more.
    Granted(Vec<MessageId>),
    /// The pool is exhausted, and closing messages would not suffice.
    Refused,
}

/// The bytes that the messages of a process hold.
#[derive(Debug)]
pub struct ByteBudget {
    limits: BudgetLimits,
    messages: HashMap<MessageId, Message>,
    next_id: u64,
    used: BudgetUse,
}

impl ByteBudget {
    /// Creates a budget that no message uses.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            messages: HashMap::default(),
            next_id: 0,
            used: BudgetUse::default(),
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> BudgetUse {
        BudgetUse {
            messages: self.messages.len(),
            ..self.used
        }
    }

    /// Adds a message that holds no bytes yet.
    pub fn open(&mut self, now: Instant) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        let message = Message {
            bytes: 0,
            since: now,
            is_complete: false,
            is_large: false,
        };
        self.messages.insert(id, message);
        id
    }

    /// Reserves bytes, so that a message holds `bytes` in all; it never holds fewer than before.
    ///
    /// A message that alone uses the large pool may exceed it, so that a single message of any
    /// allowed length is served. The request of a message that was closed is refused.
    pub fn reserve(&mut self, id: MessageId, bytes: usize, now: Instant) -> Grant {
        let Some(message) = self.messages.get(&id).copied() else {
            return Grant::Refused;
        };
        if bytes <= message.bytes {
            return Grant::Granted(Vec::new());
        }
        let is_large = bytes > self.limits.small_message;
        let own = if message.is_large == is_large {
            message.bytes
        } else {
            0
        };
        let (used, pool) = if is_large {
            (self.used.large, self.limits.large_pool)
        } else {
            (self.used.small, self.limits.small_pool)
        };
        let others = used - own;
        let mut excess = others.saturating_add(bytes).saturating_sub(pool);
        let mut victims = Vec::new();
        if excess > 0 && !(is_large && others == 0) {
            let mut closable: Vec<_> = self
                .messages
                .iter()
                .filter(|(other, m)| {
                    **other != id
                        && !m.is_complete
                        && m.is_large == is_large
                        && m.bytes > 0
                        && (now.saturating_duration_since(m.since) >= self.limits.min_close_age
                            || (!is_large && m.bytes >= bytes.saturating_mul(CLOSABLE_RATIO)))
                })
                .map(|(other, m)| (m.weight(now), *other, m.bytes))
                .collect();
            closable.sort_unstable_by(|a, b| b.cmp(a));
            let mut left = others;
            for (_, victim, victim_bytes) in closable {
                if excess == 0 || (is_large && left == 0) {
                    break;
                }
                victims.push(victim);
                left -= victim_bytes;
                excess = excess.saturating_sub(victim_bytes);
            }
            if excess > 0 && !(is_large && left == 0) {
                return Grant::Refused;
            }
        }
        for victim in &victims {
            self.release(*victim);
        }
        self.uncount(message);
        let message = Message {
            bytes,
            is_large,
            ..message
        };
        self.count(message);
        self.messages.insert(id, message);
        Grant::Granted(victims)
    }

    /// Marks a message as complete, so that it is not closed for others.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.is_complete = true;
        }
    }

    /// Removes a message and frees its bytes; has no effect if the message was closed.
    pub fn release(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.uncount(message);
        }
    }

    fn count(&mut self, message: Message) {
        if message.is_large {
            self.used.large += message.bytes;
        } else {
            self.used.small += message.bytes;
        }
    }

    fn uncount(&mut self, message: Message) {
        if message.is_large {
            self.used.large -= message.bytes;
        } else {
            self.used.small -= message.bytes;
        }
    }
}
