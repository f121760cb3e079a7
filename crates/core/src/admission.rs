//! Exact admission of work to one worker.
//!
//! The owner of a worker is the only process that gives it work, so it can count exactly
//! instead of trusting a load report. The limit depends on whether the ownership is confirmed
//! right now: the check reads the monotonic clock at the moment of dispatch, so a process that
//! was paused for a while stops by itself.

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
/// The control thread extends it, traffic threads read it; neither waits for the other.
#[derive(Debug)]
pub struct OwnershipConfirmation {
    base: Instant,
    until_nanos: AtomicU64,
}

impl OwnershipConfirmation {
    /// Creates a confirmation that has already lapsed at `base`.
    pub fn new(base: Instant) -> Self {
        Self {
            base,
            until_nanos: AtomicU64::new(0),
        }
    }

    /// Confirms until `until`; an earlier instant than the present one changes nothing.
    pub fn extend(&self, until: Instant) {
        let nanos = until.saturating_duration_since(self.base).as_nanos();
        let nanos = u64::try_from(nanos).unwrap_or(u64::MAX);
        self.until_nanos.fetch_max(nanos, Ordering::AcqRel);
    }

    /// Returns whether the ownerships are confirmed at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        let nanos = now.saturating_duration_since(self.base).as_nanos();
        nanos < u128::from(self.until_nanos.load(Ordering::Acquire))
    }
}

/// What is called after a slot was freed.
pub type ReleaseCallback = Box<dyn Fn() + Send + Sync>;

/// Counts the slots of one worker that this process has in use.
pub struct Gate {
    confirmation: Arc<OwnershipConfirmation>,
    confirmed_limit: AtomicU32,
    fallback_limit: AtomicU32,
    in_use: AtomicU32,
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

    /// Sets the slots that may be used while confirmed, and while not.
    pub fn set_limits(&self, confirmed: u32, fallback: u32) {
        self.confirmed_limit.store(confirmed, Ordering::Release);
        self.fallback_limit.store(fallback, Ordering::Release);
    }

    /// Returns the slots that may be used at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        if self.confirmation.is_valid(now) {
            self.confirmed_limit.load(Ordering::Acquire)
        } else {
            self.fallback_limit.load(Ordering::Acquire)
        }
    }

    /// Returns the slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::Acquire)
    }

    /// Returns the most slots that were ever in use at once.
    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::Acquire)
    }

    /// Returns the slots free at `now`.
    pub fn free(&self, now: Instant) -> u32 {
        self.limit(now).saturating_sub(self.in_use())
    }

    /// Takes a slot if one is free at `now`.
    pub fn try_acquire(self: &Arc<Self>, now: Instant) -> Option<Permit> {
        let limit = self.limit(now);
        let taken = self
            .in_use
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
                (n < limit).then_some(n + 1)
            })
            .ok()?;
        self.peak.fetch_max(taken + 1, Ordering::AcqRel);
        Some(Permit { gate: self.clone() })
    }

    /// Counts a slot that is in use whatever the limit, such as a task learnt from the table.
    pub fn acquire_beyond_limit(self: &Arc<Self>) -> Permit {
        let taken = self.in_use.fetch_add(1, Ordering::AcqRel);
        self.peak.fetch_max(taken + 1, Ordering::AcqRel);
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
    /// Call it right before the dispatch: time may have passed since the slot was taken.
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
