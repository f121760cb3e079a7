//! What one instance knows of its domain's ownership, and what it may do.
//!
//! The rules that keep two holders from exceeding a worker's capacity:
//!
//! 1. A read of the row confirms its holder for [`Timing::confirmation_validity`] from the moment
//!    that the read was *sent*; an acknowledgement does so from the moment that its probe was
//!    sent.
//! 2. Confirmation by peers needs every other member of the row that the instance knows, and at
//!    least one. An acknowledgement from a newer row than the instance knows does not count.
//! 3. A member that gave its word against an instance, or wants to take over from it, sends it
//!    no acknowledgement until it has seen a row newer than the one the word was given for.
//! 4. Whoever takes over after silence holds the word of every other member, and uses the
//!    reserve share only after [`Timing::takeover_wait`] from seeing its own write.

use {
    super::{
        plan,
        row::{DomainRow, Holding, Member, fallback_share, reserve_share},
    },
    crate::{
        hash::{HashMap, HashSet},
        ids::{Domain, Incarnation, Version, WorkerId},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The intervals that the ownership rules are built on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long one confirmation holds.
    pub confirmation_validity: Duration,
    /// How long a member must be unheard before it counts as silent.
    pub silence_timeout: Duration,
    /// The longest time that a request may run on an upstream after its dispatch.
    pub max_request_duration: Duration,
    /// Allowance for clock drift and for the last steps of a dispatch.
    pub margin: Duration,
}

impl Timing {
    /// Returns how long a new holder waits before it uses what was not drained.
    pub fn takeover_wait(&self) -> Duration {
        self.confirmation_validity + self.max_request_duration + self.margin
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            confirmation_validity: Duration::from_millis(1_500),
            silence_timeout: Duration::from_millis(2_000),
            max_request_duration: Duration::from_secs(5),
            margin: Duration::from_millis(500),
        }
    }
}

/// An acknowledgement of a probe: the sender confirms the probing instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The version of the row that the sender knows.
    pub version: Version,
}

/// A request for a member's word that it no longer confirms `target`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromiseRequest {
    /// The silent member.
    pub target: Incarnation,
    /// The version that the takeover will be written over.
    pub base: Version,
}

/// What this instance has in flight on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotUsage {
    /// Slots in use, by requests and tasks.
    pub in_use: u32,
    /// Slots in use by batch tasks.
    pub tasks: u32,
}

/// The next step that the instance should take.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write this row over the given version.
    Commit {
        /// The version that the row was computed from.
        base: Version,
        /// The new row.
        row: DomainRow,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Ask these members for their word.
    RequestPromises {
        /// What to ask for.
        request: PromiseRequest,
        /// Whom to ask.
        members: Vec<Member>,
    },
}

#[derive(Clone, Copy, Debug)]
struct TakeoverWait {
    until: Instant,
    /// Slots of this worker that may be used until then.
    interim: u32,
}

/// One instance's view of the ownership in its domain.
#[derive(Debug)]
pub struct Ownership {
    me: Member,
    timing: Timing,
    version: Version,
    row: Arc<DomainRow>,
    waiting: HashMap<WorkerId, TakeoverWait>,
    releasing: HashSet<WorkerId>,
    /// What was being released before the present step, so that a choice is kept to.
    releasing_before: HashSet<WorkerId>,
    read_sent: Option<Instant>,
    acks: HashMap<Incarnation, (Instant, Version)>,
    heard: HashMap<Incarnation, Instant>,
    withheld: HashMap<Incarnation, Version>,
    promises: HashMap<PromiseRequest, HashSet<Incarnation>>,
    slots: u32,
}

impl Ownership {
    /// Creates the view of an instance that has not seen a row of `domain` yet; each worker of
    /// the domain has `slots` slots.
    pub fn new(me: Member, domain: Domain, timing: Timing, slots: u32) -> Self {
        let row = DomainRow {
            domain,
            ..DomainRow::default()
        };
        Self {
            me,
            timing,
            slots,
            version: Version(0),
            row: Arc::new(row),
            waiting: HashMap::default(),
            releasing: HashSet::default(),
            releasing_before: HashSet::default(),
            read_sent: None,
            acks: HashMap::default(),
            heard: HashMap::default(),
            withheld: HashMap::default(),
            promises: HashMap::default(),
        }
    }

    /// Returns this instance as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the version of the newest row that is known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the newest row that is known.
    pub fn row(&self) -> &Arc<DomainRow> {
        &self.row
    }

    /// Sets the slots that each worker declares.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes in a row, from the table or from a peer; returns whether it was newer.
    pub fn observe_row(&mut self, version: Version, row: Arc<DomainRow>, now: Instant) -> bool {
        if version <= self.version {
            return false;
        }
        let previous = std::mem::replace(&mut self.row, row);
        self.version = version;
        self.update_waiting(&previous, now);
        let me = self.me.incarnation;
        let row = &self.row;
        self.releasing.retain(|&w| {
            let held = row.worker(w);
            held.is_some_and(|w| w.holding.holders().any(|h| h == me))
        });
        for member in &row.members {
            self.heard.entry(member.incarnation).or_insert(now);
        }
        self.heard.retain(|&i, _| row.is_member(i));
        self.acks.retain(|&i, _| row.is_member(i));
        self.withheld.retain(|_, base| *base >= version);
        self.promises.retain(|request, _| request.base >= version);
        true
    }

    /// Takes in a read of the row that was sent at `sent`.
    ///
    /// A read that is older than the row which is already known confirms nothing.
    pub fn observe_read(
        &mut self,
        sent: Instant,
        version: Version,
        row: Arc<DomainRow>,
        now: Instant,
    ) {
        self.observe_row(version, row, now);
        self.confirm_read(sent, version);
    }

    /// Takes in the word of the table that the row had this version, by a read sent at `sent`.
    ///
    /// A version older than the one that is already known confirms nothing.
    pub fn confirm_read(&mut self, sent: Instant, version: Version) {
        if version == self.version {
            self.read_sent = self.read_sent.max(Some(sent));
        }
    }

    fn update_waiting(&mut self, previous: &DomainRow, now: Instant) {
        let me = self.me.incarnation;
        let until = now + self.timing.takeover_wait();
        let mut waiting = HashMap::default();
        for w in &self.row.workers {
            if !w.holding.holders().any(|h| h == me) {
                continue;
            }
            let before = previous.worker(w.worker).map(|w| w.holding);
            let earlier = self.waiting.get(&w.worker).copied();
            let earlier = earlier.filter(|wait| now < wait.until);
            if before == Some(w.holding) {
                if let Some(earlier) = earlier {
                    waiting.insert(w.worker, earlier);
                }
                continue;
            }
            let was_whole = before.is_some_and(|held| held.whole_owner() == Some(me));
            let is_primary = matches!(w.holding, Holding::Split { primary, .. } if primary == me);
            if is_primary && was_whole {
                // A worker that was not free of its former holder's work is not so now either.
                if let Some(earlier) = earlier {
                    waiting.insert(w.worker, earlier);
                }
                continue;
            }
            if w.drained {
                continue;
            }
            let interim = match (before, earlier) {
                (_, Some(earlier)) => earlier.interim,
                (Some(held), None) => {
                    share_of(&held, me, self.slots).min(fallback_share(self.slots))
                }
                (None, None) => 0,
            };
            waiting.insert(w.worker, TakeoverWait { until, interim });
        }
        self.waiting = waiting;
    }

    /// Returns whether the wait for earlier holders of a worker is over.
    fn is_settled(&self, worker: WorkerId, now: Instant) -> bool {
        let wait = self.waiting.get(&worker);
        wait.is_none_or(|wait| now >= wait.until)
    }

    /// Returns the slots of a worker that may be used while confirmed, and while not.
    pub fn limits(&self, worker: WorkerId, now: Instant) -> (u32, u32) {
        if self.releasing.contains(&worker) {
            return (0, 0);
        }
        let Some(w) = self.row.worker(worker) else {
            return (0, 0);
        };
        let share = share_of(&w.holding, self.me.incarnation, self.slots);
        let share = match self.waiting.get(&worker) {
            Some(wait) if now < wait.until => share.min(wait.interim),
            _ => share,
        };
        (share, share.min(fallback_share(self.slots)))
    }

    /// Returns until when the ownerships are confirmed, if they are at all.
    pub fn confirmed_until(&self) -> Option<Instant> {
        if !self.row.is_member(self.me.incarnation) {
            return None;
        }
        let by_read = self
            .read_sent
            .map(|sent| sent + self.timing.confirmation_validity);
        by_read.max(self.confirmed_by_peers())
    }

    fn confirmed_by_peers(&self) -> Option<Instant> {
        let mut earliest: Option<Instant> = None;
        for member in &self.row.members {
            if member.incarnation == self.me.incarnation {
                continue;
            }
            let &(sent, version) = self.acks.get(&member.incarnation)?;
            if version > self.version {
                return None;
            }
            earliest = Some(earliest.map_or(sent, |e| e.min(sent)));
        }
        earliest.map(|sent| sent + self.timing.confirmation_validity)
    }

    /// Records that `from` was heard at `now`.
    pub fn record_heard(&mut self, from: Incarnation, now: Instant) {
        self.heard.insert(from, now);
    }

    /// Answers the probe of `from`, unless its confirmation is withheld.
    pub fn acknowledge(&mut self, from: Incarnation, now: Instant) -> Option<Ack> {
        self.record_heard(from, now);
        if !self.row.is_member(from) || self.withheld.contains_key(&from) {
            return None;
        }
        Some(Ack {
            version: self.version,
        })
    }

    /// Takes in the acknowledgement of a probe that was sent at `sent`.
    pub fn observe_ack(&mut self, from: Incarnation, sent: Instant, ack: Ack, now: Instant) {
        self.record_heard(from, now);
        let newest = self.acks.entry(from).or_insert((sent, ack.version));
        if sent >= newest.0 {
            *newest = (sent, ack.version);
        }
    }

    /// Gives the word that `request.target` is not confirmed any more, if that may be given.
    pub fn give_promise(&mut self, request: PromiseRequest, now: Instant) -> bool {
        let mine = request.target == self.me.incarnation;
        if mine || self.version > request.base || !self.is_silent(request.target, now) {
            return false;
        }
        self.withheld.insert(request.target, request.base);
        true
    }

    /// Takes in the word of `from`.
    pub fn observe_promise(&mut self, from: Incarnation, request: PromiseRequest) {
        if request.base == self.version {
            self.promises.entry(request).or_default().insert(from);
        }
    }

    fn is_silent(&self, incarnation: Incarnation, now: Instant) -> bool {
        match self.heard.get(&incarnation) {
            // An instance that was paused has not heard itself either.
            _ if incarnation == self.me.incarnation => false,
            Some(&at) => now.saturating_duration_since(at) > self.timing.silence_timeout,
            None => false,
        }
    }

    /// Returns the members that have been heard of late, this instance among them.
    pub fn live_members(&self, now: Instant) -> Vec<&Member> {
        let live = |m: &&Member| !self.is_silent(m.incarnation, now);
        self.row.members.iter().filter(live).collect()
    }

    /// Lets workers be used again whose release was not written; [`Ownership::next_action`]
    /// picks those up again that are still to be released.
    ///
    /// Call it only when no write of a release can still take effect.
    pub fn cancel_releases(&mut self) {
        self.releasing_before = std::mem::take(&mut self.releasing);
    }

    /// Returns the next step towards a sound and even ownership, if there is one.
    ///
    /// `gone` names instances that the platform lists as ended, `slot_usage` tells what is in
    /// flight.
    pub fn next_action(
        &mut self,
        now: Instant,
        workers: &[WorkerId],
        gone: &[String],
        slot_usage: impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        if !self.row.is_member(me) {
            return self.commit(plan::join(&self.row, &self.me, workers), "join");
        }
        self.action_on_gone(gone)
            .or_else(|| self.action_on_new_workers(workers))
            .or_else(|| self.action_on_orphans(now))
            .or_else(|| self.action_on_returned(now, &slot_usage))
            .or_else(|| self.action_on_withheld(now))
            .or_else(|| self.action_on_silent(now))
            .or_else(|| self.action_on_imbalance(now, &slot_usage))
    }

    /// Returns the row without this instance, once it has nothing in flight.
    pub fn leave_action(
        &mut self,
        now: Instant,
        slot_usage: impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        let mut in_use = 0;
        for w in &self.row.workers {
            if w.holding.holders().any(|h| h == me) {
                self.releasing.insert(w.worker);
                in_use += slot_usage(w.worker).in_use;
            }
        }
        if in_use > 0 {
            return None;
        }
        let live = self.live_members(now);
        let heirs: Vec<_> = live.iter().map(|m| m.incarnation).collect();
        let heirs: Vec<_> = heirs.into_iter().filter(|&i| i != me).collect();
        let next = plan::leave(&self.row, me, &heirs, |w| self.is_settled(w, now));
        self.commit(next, "leave")
    }

    fn commit(&self, row: DomainRow, reason: &'static str) -> Option<Action> {
        let base = self.version;
        (row != *self.row).then_some(Action::Commit { base, row, reason })
    }

    fn action_on_gone(&self, gone: &[String]) -> Option<Action> {
        let named = |m: &&Member| m.incarnation != self.me.incarnation && gone.contains(&m.name);
        let gone: Vec<_> = self.row.members.iter().filter(named).collect();
        let gone: Vec<_> = gone.into_iter().map(|m| m.incarnation).collect();
        self.commit(plan::remove_members(&self.row, &gone), "member-gone")
    }

    fn action_on_new_workers(&self, workers: &[WorkerId]) -> Option<Action> {
        let mut next = (*self.row).clone();
        plan::add_workers(&mut next, workers);
        self.commit(next, "new-workers")
    }

    fn action_on_orphans(&self, now: Instant) -> Option<Action> {
        let me = self.me.incarnation;
        let live = self.live_members(now).len().max(1);
        let fair = self.row.workers.len().div_ceil(live);
        let limit = fair.saturating_sub(self.row.whole_count(me));
        self.commit(plan::claim(&self.row, me, limit), "claim")
    }

    /// Gives reserve shares back once their primary is heard again.
    fn action_on_returned(
        &mut self,
        now: Instant,
        slot_usage: &impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        let mut drained = Vec::new();
        for w in &self.row.workers {
            let Holding::Split { primary, reserve } = w.holding else {
                continue;
            };
            if reserve != me || self.is_silent(primary, now) {
                continue;
            }
            self.releasing.insert(w.worker);
            if slot_usage(w.worker).in_use == 0 {
                drained.push(w.worker);
            }
        }
        let settled = |w| self.is_settled(w, now);
        let next = plan::release_reserves(&self.row, me, &drained, settled);
        self.commit(next, "return-reserve")
    }

    /// Rewrites the row when confirmation was withheld from a member that is heard again, so
    /// that a takeover still on its way cannot take effect and the member is confirmed anew.
    fn action_on_withheld(&self, now: Instant) -> Option<Action> {
        let heard_again = |(&target, &base): (&Incarnation, &Version)| {
            base == self.version && self.row.is_member(target) && !self.is_silent(target, now)
        };
        self.withheld
            .iter()
            .any(|(t, b)| heard_again((t, b)))
            .then(|| Action::Commit {
                base: self.version,
                row: (*self.row).clone(),
                reason: "confirm-again",
            })
    }

    fn action_on_silent(&mut self, now: Instant) -> Option<Action> {
        let me = self.me.incarnation;
        let holds = |i| self.row.whole_count(i) > 0;
        let silent = |m: &&Member| self.is_silent(m.incarnation, now) && holds(m.incarnation);
        let target = self.row.members.iter().find(silent)?.incarnation;
        let request = PromiseRequest {
            target,
            base: self.version,
        };
        let given = self.promises.get(&request);
        let missing = |m: &&Member| {
            let other = m.incarnation != me && m.incarnation != target;
            other && !given.is_some_and(|g| g.contains(&m.incarnation))
        };
        let members: Vec<_> = self.row.members.iter().filter(missing).cloned().collect();
        self.withheld.insert(target, request.base);
        if !members.is_empty() {
            return Some(Action::RequestPromises { request, members });
        }
        self.commit(plan::take_reserve(&self.row, me, target), "take-reserve")
    }

    /// Hands one worker to a member that has clearly fewer.
    fn action_on_imbalance(
        &mut self,
        now: Instant,
        slot_usage: &impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        let counts = |m: &&Member| (self.row.whole_count(m.incarnation), m.incarnation);
        let least = self.live_members(now).into_iter().map(|m| counts(&m)).min();
        let (fewest, to) = least?;
        let mine = self.row.whole_count(me);
        if to == me || mine < fewest + 2 {
            return None;
        }
        let owned = self.row.workers.iter();
        let owned = owned.filter(|w| w.holding.whole_owner() == Some(me));
        let idle = owned.filter(|w| slot_usage(w.worker).tasks == 0);
        let idle = idle.filter(|w| self.is_settled(w.worker, now));
        let picked = idle.min_by_key(|w| (!self.releasing_before.contains(&w.worker), w.worker))?;
        let worker = picked.worker;
        self.releasing.insert(worker);
        if slot_usage(worker).in_use > 0 {
            return None;
        }
        self.commit(plan::hand_over(&self.row, me, worker, to), "hand-over")
    }
}

/// Returns the slots that a holding gives to `me`.
fn share_of(holding: &Holding, me: Incarnation, slots: u32) -> u32 {
    match *holding {
        Holding::Whole { owner } if owner == me => slots,
        Holding::Split { primary, .. } if primary == me => fallback_share(slots),
        Holding::Split { reserve, .. } if reserve == me => reserve_share(slots),
        _ => 0,
    }
}
