//! Exact admission of work to one worker.
//!
//! Only the owner of a worker admits work to that worker, so the owner counts the slots in use
//! exactly instead of relying on load reports. The limit is lower while the ownership is not
//! confirmed; see [`ownership`](crate::ownership). The check reads the monotonic clock, so a
//! process that resumes after a long pause finds its confirmation expired and falls back to the
//! lower limit.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Instant,
};

/// The instant until which the ownerships of this process are confirmed.
///
/// The control thread extends it and the traffic threads read it, without locks.
#[derive(Debug)]
pub struct OwnershipConfirmation {
    origin: Instant,
    /// The end of the confirmation, in nanoseconds after `origin`.
    until_nanos: AtomicU64,
}

impl OwnershipConfirmation {
    /// Creates a confirmation that has already expired at `origin`.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            until_nanos: AtomicU64::new(0),
        }
    }

    /// Extends the confirmation to `until`; has no effect if the confirmation already lasts longer.
    pub fn extend(&self, until: Instant) {
        let nanos = until.saturating_duration_since(self.origin).as_nanos();
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.until_nanos.fetch_max(nanos, Ordering::AcqRel);
    }

    /// Returns whether the ownerships are confirmed at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        let nanos = now.saturating_duration_since(self.origin).as_nanos();
        nanos < u128::from(self.until_nanos.load(Ordering::Acquire))
    }
}

/// A function that a [`Gate`] calls after it has freed a slot.
pub type ReleaseCallback = Box<dyn Fn() + Send + Sync>;

/// Limits and counts the slots of one worker that this process has in use.
pub struct Gate {
    confirmation: Arc<OwnershipConfirmation>,
    confirmed_limit: AtomicU32,
    fallback_limit: AtomicU32,
    in_use: AtomicU32,
    /// The highest value of `in_use` so far.
    peak: AtomicU32,
    on_release: Option<ReleaseCallback>,
}

impl Gate {
    /// Creates a gate that admits nothing until [`Gate::set_limits`] is called.
    pub fn new(confirmation: Arc<OwnershipConfirmation>) -> Arc<Self> {
        Self::build(confirmation, None)
    }

    /// Creates a gate that calls `on_release` after each slot that is freed.
    pub fn with_release_callback(
        confirmation: Arc<OwnershipConfirmation>,
        on_release: ReleaseCallback,
    ) -> Arc<Self> {
        Self::build(confirmation, Some(on_release))
    }

    fn build(
        confirmation: Arc<OwnershipConfirmation>,
        on_release: Option<ReleaseCallback>,
    ) -> Arc<Self> {
        Arc::new(Self {
            on_release,
            confirmation,
            confirmed_limit: AtomicU32::new(0),
            fallback_limit: AtomicU32::new(0),
            in_use: AtomicU32::new(0),
            peak: AtomicU32::new(0),
        })
    }

    /// Sets how many slots may be used while the ownership is confirmed, and while it is not.
    pub fn set_limits(&self, confirmed: u32, fallback: u32) {
        self.confirmed_limit.store(confirmed, Ordering::Release);
        self.fallback_limit.store(fallback, Ordering::Release);
    }

    /// Returns how many slots may be used at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        if self.confirmation.is_valid(now) {
            self.confirmed_limit.load(Ordering::Acquire)
        } else {
            self.fallback_limit.load(Ordering::Acquire)
        }
    }

    /// Returns how many slots are in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Acquire)
    }

    /// Returns the highest number of slots that were ever in use at once.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Acquire)
    }

    /// Returns how many slots are free at `now`.
    pub fn free(&self, now: Instant) -> u32 {
        self.limit(now).saturating_sub(self.in_use())
    }

    /// Acquires a slot; returns `None` if no slot is free at `now`.
    pub fn try_acquire(self: &Arc<Self>, now: Instant) -> Option<Permit> {
        let limit = self.limit(now);
        let previous = self
            .in_use
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (n < limit).then_some(n + 1)
            })
            .ok()?;
        self.peak.fetch_max(previous + 1, Ordering::AcqRel);
        Some(Permit { gate: self.clone() })
    }

    /// Counts a slot that is already in use, regardless of the limit, such as the slot of a task
    /// that was read from the table.
    pub fn acquire_beyond_limit(self: &Arc<Self>) -> Permit {
        let previous = self.in_use.fetch_add(1, Ordering::AcqRel);
        self.peak.fetch_max(previous + 1, Ordering::AcqRel);
        Permit { gate: self.clone() }
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("confirmed_limit", &self.confirmed_limit)
            .field("fallback_limit", &self.fallback_limit)
            .field("in_use", &self.in_use)
            .finish_non_exhaustive()
    }
}

/// One slot in use; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
}

impl Permit {
    /// Returns whether the slot may still be used for a dispatch at `now`.
    ///
    /// Call it right before the dispatch: the limit may have dropped since the slot was acquired.
    pub fn may_dispatch(&self, now: Instant) -> bool {
        self.gate.in_use() <= self.gate.limit(now)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.in_use.fetch_sub(1, Ordering::AcqRel);
        if let Some(on_release) = &self.gate.on_release {
            on_release();
        }
    }
}
