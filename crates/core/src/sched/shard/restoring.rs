//! What a new leader knows and does before it has dispatched the work of earlier leaders.

use {super::state::Shard, std::time::Instant};

impl Shard {
    /// Returns whether work that an earlier leader may have started still waits, since a worker
    /// that has not reported to this leader may run it.
    pub fn awaits_unknown_runs(&self, now: Instant) -> bool {
        self.may_have_unknown_runs(now)
    }
}
