//! What a leader tells its successor of workers that do not answer.
//!
//! Nothing is known of a worker in the stored list that has not answered a new leader, so inherited work
//! waits until all leases that earlier leaders may have granted there have ended. If each leader began
//! that wait anew, work would wait for as long as leaders change. So a leader's heartbeat in the store
//! names the silent workers, and for each the time from the write on within which all its leases end.
//! It is a duration, since the clocks of two instances have nothing in common, and its count begins for
//! the successor with its lease row, which is later than the write. The rules:
//!
//! - A leader that has told of a worker grants it no lease, also if it answers, until a heartbeat that
//!   does not name it is stored. It writes one at once then.
//! - A heartbeat takes effect only if none was stored since the one that its sender knows, so a
//!   delayed one does not replace a newer one.
//! - A successor believes only its immediate predecessor: another leader in between may have granted
//!   leases before its first heartbeat.
//! - Without a write, a worker that is told of can't be used. So none is told of after a short silence,
//!   while most workers are silent, which is rather due to this leader, or while the store fails.
//! - A worker that has not answered this leader is told of only once all earlier leaders are known to
//!   have stopped, or if the predecessor has told of it.

use {
    super::state::{Shard, Worker},
    std::time::{Duration, Instant},
};

/// How long after a takeover earlier leaders may still grant leases, while this leader hears a majority:
/// an unconfirmed leader stops within 2 s, and others learn of the newer token from their peers earlier.
const EARLIER_LEADERS_LIMIT: Duration = Duration::from_millis(2_500);

/// How long a worker has been silent before it is told of.
const TELL_AFTER: Duration = Duration::from_millis(2_500);

/// The maximum number of workers that are told of.
const MAX_TOLD: usize = 500;

/// The silent workers that one heartbeat names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Silences {
    /// The number of the heartbeat, which grows with each of this leader.
    pub round: u64,
    /// The ids of the workers, and within what time from now on all their leases end.
    pub workers: Vec<(String, Duration)>,
}

impl Shard {
    /// Returns the silent workers for the next heartbeat, without new ones unless `may_add`. From now on,
    /// no lease is granted to them before a heartbeat without them is stored.
    pub fn tell_silences(&mut self, may_add: bool, now: Instant) -> Silences {
        self.silence_round += 1;
        let silent = self.workers.values().filter(|w| !w.is_responsive(now));
        let may_add = may_add && silent.count() * 2 <= self.workers.len();
        let silent = self.workers.iter().filter_map(|(id, worker)| {
            if !may_add && !worker.is_told_silent {
                return None;
            }
            let remaining = self.remaining_leases(worker, now)?;
            Some((id.clone(), remaining))
        });
        let workers: Vec<_> = silent.take(MAX_TOLD).collect();
        for (id, _) in &workers {
            self.told_silences.insert(id.clone(), self.silence_round);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.is_told_silent = true;
            }
        }
        Silences {
            round: self.silence_round,
            workers,
        }
    }

    /// Records that the heartbeat of a round is stored: the workers that only earlier ones named may be
    /// used again.
    pub fn on_silences_stored(&mut self, round: u64) {
        let is_released = |told_in: u64| told_in < round;
        for (id, told_in) in &self.told_silences {
            if is_released(*told_in)
                && let Some(worker) = self.workers.get_mut(id)
            {
                worker.is_told_silent = false;
            }
        }
        self.changed = true;
        self.told_silences
            .retain(|_, told_in| !is_released(*told_in));
    }

    /// Returns whether a worker answers that the stored heartbeat may name as silent, so that the next
    /// heartbeat is urgent.
    pub fn has_ended_silence(&self, now: Instant) -> bool {
        let mut told = self.told_silences.keys();
        told.any(|id| self.workers.get(id).is_some_and(|w| w.is_responsive(now)))
    }

    /// Adds what the immediate predecessor has told of the workers that it used; `leased_at` is when the
    /// reply arrived that showed the lease row of this leader.
    pub fn inherit_silences(&mut self, silences: &[(String, Duration)], leased_at: Instant) {
        for (id, remaining) in silences {
            let worker = self.workers.get_mut(id);
            let worker = worker.filter(|w| w.is_inherited && w.answered_at.is_none());
            if let Some(worker) = worker {
                worker.earlier_leases_until = Some(leased_at + *remaining);
            }
        }
    }

    /// Returns within what time all leases of a silent worker end that this leader and earlier ones have
    /// granted; `None` if it is not silent, or that is not known.
    fn remaining_leases(&self, worker: &Worker, now: Instant) -> Option<Duration> {
        let is_silent = |at| now.duration_since(at) > TELL_AFTER;
        let is_silent = worker.answered_at.is_none_or(is_silent);
        if !is_silent || !(worker.is_stored_in_use || worker.is_inherited) {
            return None;
        }
        let has_answered = worker.answered_at.is_some();
        let of_this_leader = match worker.clock.remaining(now) {
            Some(remaining) => remaining,
            None if has_answered => return None,
            // Without a reading of its clock no lease is granted.
            None => Duration::ZERO,
        };
        let are_earlier_gone = worker.earlier_leases_until.is_some()
            || now >= self.unknown_runs_since + EARLIER_LEADERS_LIMIT;
        if !has_answered && !are_earlier_gone {
            return None;
        }
        let may_have_earlier = worker.is_inherited || !worker.clock.has_sample();
        let of_earlier = if may_have_earlier {
            let until = worker.earlier_runs_until(self.unknown_runs_until());
            until.saturating_duration_since(now)
        } else {
            Duration::ZERO
        };
        Some(of_this_leader.max(of_earlier))
    }
}

impl Worker {
    /// Returns the time by which runs of earlier leaders have ended on the worker if it does not answer;
    /// `limit` is that time if the predecessor has told nothing of it.
    pub(super) fn earlier_runs_until(&self, limit: Instant) -> Instant {
        let told = self.earlier_leases_until;
        told.map_or(limit, |until| until.min(limit))
    }
}
