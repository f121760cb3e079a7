//! Counts of refused and closed messages and connections, shared by the listeners of a process.

use std::sync::atomic::{AtomicU64, Ordering};

/// A count or a level.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Subtracts `n`.
    pub fn subtract(&self, n: u64) {
        self.0.fetch_sub(n, Ordering::Relaxed);
    }

    /// Sets the value.
    pub fn set(&self, n: u64) {
        self.0.store(n, Ordering::Relaxed);
    }

    /// Returns the value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the listeners of a process hold, refused and closed.
#[derive(Debug, Default)]
pub struct Counters {
    /// Open connections.
    pub connections_open: Counter,
    /// Connections closed for lack of a request.
    pub connections_idle: Counter,
    /// Connections closed for new ones, since a listener was full.
    pub connections_displaced: Counter,
    /// Failed accepts, usually for lack of descriptors.
    pub accepts_failed: Counter,
    /// Bytes reserved for messages in flight.
    pub bytes_in_flight: Counter,
    /// Messages in flight.
    pub messages_in_flight: Counter,
    /// Messages refused since the budget was exhausted.
    pub messages_refused: Counter,
    /// Unfinished messages closed for others.
    pub messages_displaced: Counter,
    /// Messages closed since they arrived too slowly.
    pub messages_slow: Counter,
}

impl Counters {
    /// Returns the name and the value of each; the first three are levels, the others counts.
    pub fn values(&self) -> [(&'static str, u64); 9] {
        [
            ("connections_open", self.connections_open.get()),
            ("bytes_in_flight", self.bytes_in_flight.get()),
            ("messages_in_flight", self.messages_in_flight.get()),
            ("connections_idle", self.connections_idle.get()),
            ("connections_displaced", self.connections_displaced.get()),
            ("accepts_failed", self.accepts_failed.get()),
            ("messages_refused", self.messages_refused.get()),
            ("messages_displaced", self.messages_displaced.get()),
            ("messages_slow", self.messages_slow.get()),
        ]
    }

    /// Returns how often something was refused or closed.
    pub fn refusals(&self) -> u64 {
        self.values()[3..].iter().map(|(_, value)| value).sum()
    }
}
