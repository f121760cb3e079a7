//! The leaders' heartbeats in the store, which name silent workers.

use {
    super::{Mutant, World, network::Message},
    marigoldbend_core::sched::shard::Silences,
    rand::RngExt,
    std::time::Duration,
};

/// How long a leader waits for the result of a heartbeat, in milliseconds.
const TIMEOUT_MS: u64 = 400;

/// A leader's heartbeat.
#[derive(Clone, Debug)]
pub(super) struct Beat {
    token: u64,
    silences: Silences,
    /// The version that the stored heartbeat must have.
    expected_version: u64,
    /// Whether the leader's wait for the result times out before the heartbeat arrives.
    timed_out: bool,
}

/// The stored heartbeat.
#[derive(Debug, Default)]
pub(super) struct StoredBeat {
    pub(super) version: u64,
    token: u64,
    workers: Vec<(String, Duration)>,
}

impl World {
    /// Lets the leader at index `i` send a heartbeat, unless one has no result yet. One in eight is lost,
    /// and as many arrive late; results are lost as well.
    pub(super) fn send_beat(&mut self, i: usize) {
        let now = self.instant_at(self.now_ms);
        let leader = &mut self.leaders[i];
        if leader.beat_in_flight.is_some() {
            return;
        }
        let silences = leader.shard.tell_silences(true, now);
        let round = silences.round;
        leader.beat_in_flight = Some(round);
        if self.mutant == Mutant::UseToldWorkers {
            leader.shard.on_silences_stored(round + 1);
        }
        let (token, expected_version) = (leader.token, leader.beat_version);
        let fate = self.beat_rng.random_range(0..8);
        let delay_ms = self.beat_rng.random_range(1..60);
        let (is_lost, timed_out) = (fate == 0, fate == 1);
        if is_lost || timed_out {
            let timeout = Message::BeatResult(token, round, None);
            self.messages.push((self.now_ms + TIMEOUT_MS, timeout));
        }
        if is_lost {
            return;
        }
        let extra_ms = if timed_out {
            self.beat_rng.random_range(500..6_000)
        } else {
            0
        };
        let beat = Beat {
            token,
            silences,
            expected_version,
            timed_out,
        };
        let at_ms = self.now_ms + delay_ms + extra_ms;
        self.messages.push((at_ms, Message::Beat(beat)));
    }

    /// Applies a heartbeat in the store and sends the result.
    pub(super) fn handle_beat(&mut self, beat: Beat) {
        // A leader that was replaced learns it by its other calls.
        if beat.token != self.lease_token || self.is_leader_cut_off(beat.token) {
            let timeout = Message::BeatResult(beat.token, beat.silences.round, None);
            self.messages.push((self.now_ms + TIMEOUT_MS, timeout));
            return;
        }
        let is_applied = beat.expected_version == self.beat.version
            || self.mutant == Mutant::UnconditionalHeartbeats;
        if is_applied {
            self.store_version += 1;
            self.beat = StoredBeat {
                version: self.store_version,
                token: beat.token,
                workers: beat.silences.workers,
            };
        }
        let is_lost = self.beat_rng.random_range(0..8) == 0;
        let result = (!is_lost).then_some((is_applied, self.beat.version));
        if !beat.timed_out {
            let delay_ms = if is_lost { TIMEOUT_MS } else { 10 };
            let result = Message::BeatResult(beat.token, beat.silences.round, result);
            self.messages.push((self.now_ms + delay_ms, result));
        }
    }

    /// Passes the result of a heartbeat to the leader with this token.
    pub(super) fn handle_beat_result(
        &mut self,
        token: u64,
        round: u64,
        result: Option<(bool, u64)>,
    ) {
        let Some(leader) = self.active_leader(token) else {
            return;
        };
        leader
            .beat_in_flight
            .take_if(|in_flight| *in_flight == round);
        if let Some((is_applied, version)) = result {
            leader.beat_version = version;
            if is_applied {
                leader.shard.on_silences_stored(round);
            }
        }
    }

    /// Passes what the predecessor has told of silent workers to the leader at index `i`.
    pub(super) fn inherit_silences(&mut self, i: usize) {
        let leader = &mut self.leaders[i];
        leader.beat_version = self.beat.version;
        let is_predecessor = self.beat.token + 1 == leader.token;
        if is_predecessor || self.mutant == Mutant::BelieveAnyLeader {
            let leased_at = self.base + Duration::from_millis(leader.leased_ms);
            leader.shard.inherit_silences(&self.beat.workers, leased_at);
        }
    }
}
