//! Whether a heartbeat that is read from the store was written recently.
//!
//! A heartbeat row has no time that clocks of two machines agree on. It counts as recent only if
//! reads in close succession have returned different numbers.

use std::time::{Duration, Instant};

/// The maximum age of a recent heartbeat, and the maximum time between two reads of which the
/// second shows when the number changed; more than two intervals of a leader's heartbeats.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// How long the number must stay the same before the leader counts as silent; more than one
/// interval of a leader's heartbeats.
const SILENT_AFTER: Duration = Duration::from_millis(1_400);

/// What the reads so far say about the writer of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The heartbeat was written recently.
    Recent,
    /// The heartbeat has not changed for a while.
    Silent,
    /// Another read is needed.
    Unknown,
}

/// The reads of one heartbeat row.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatAge {
    last: Option<LastRead>,
    /// When a read has last shown that the number had just changed; `None` if none has.
    changed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct LastRead {
    number: u64,
    at: Instant,
    /// When reads in close succession have begun to return this number.
    same_since: Instant,
}

impl HeartbeatAge {
    /// Records a read that returned the heartbeat with this number.
    pub fn record(&mut self, number: u64, now: Instant) -> Freshness {
        let previous = self
            .last
            .filter(|last| now.duration_since(last.at) <= MAX_AGE);
        let same_since = match previous {
            Some(last) if last.number == number => last.same_since,
            Some(_) => {
                self.changed_at = Some(now);
                now
            }
            None => {
                self.changed_at = None;
                now
            }
        };
        self.last = Some(LastRead {
            number,
            at: now,
            same_since,
        });
        let is_recent = |at: Instant| now.duration_since(at) <= MAX_AGE;
        if now.duration_since(same_since) >= SILENT_AFTER {
            Freshness::Silent
        } else if self.changed_at.is_some_and(is_recent) {
            Freshness::Recent
        } else {
            Freshness::Unknown
        }
    }
}
