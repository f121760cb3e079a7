//! What one instance has observed of its domain's ownership, and what it may use and write.
//!
//! An instance is *silent* to a member that has not heard from it for longer than
//! [`Timing::silence_timeout`]. A *promise* is a member's statement that it no longer acknowledges
//! the probes of a silent member, so that the silent member can't be confirmed by its peers while
//! another member takes over its reserve shares.
//!
//! Four rules keep two holders of a worker from exceeding its capacity together:
//!
//! 1. A read of the row confirms the reader for [`Timing::confirmation_validity`] from the moment
//!    at which the read was *sent*. An acknowledgement counts from the moment at which its probe
//!    was sent.
//! 2. Confirmation by peers requires an acknowledgement from every other member of the newest row
//!    that the instance has seen, and at least one such member. An acknowledgement whose sender
//!    has seen a newer row does not count.
//! 3. A member that gave a promise about an instance, or wants to take over from it, withholds
//!    acknowledgements from it until it sees a row newer than [`PromiseRequest::base`], the
//!    version that the takeover replaces.
//! 4. A member takes over from a silent owner only with the promises of all other members, and
//!    uses the reserve share only after [`Timing::takeover_wait`], counted from when it observes
//!    the row that it wrote.

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

/// The intervals of the ownership rules.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long one confirmation is valid.
    pub confirmation_validity: Duration,
    /// How long a member may go unheard before it counts as silent.
    pub silence_timeout: Duration,
    /// The longest time that a request may run on an upstream after its dispatch.
    pub max_request_duration: Duration,
    /// An allowance for clock drift, and for the time between the check of the confirmation and the
    /// dispatch.
    pub margin: Duration,
}

impl Timing {
    /// Returns how long a new holder waits before it uses a share that was not drained.
    ///
    /// After this time every confirmation of the previous holder has expired, and every request
    /// that it dispatched while confirmed has ended.
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

/// An acknowledgement of a probe, by which the sender confirms the probing instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The newest version of the row that the sender has seen.
    pub version: Version,
}

/// A request for a member's promise not to confirm `target` any more.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromiseRequest {
    /// The silent member.
    pub target: Incarnation,
    /// The version of the row that the takeover will replace.
    pub base: Version,
}

/// The slots of one worker that this instance has in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotUsage {
    /// Slots in use, by requests and tasks.
    pub in_use: u32,
    /// Slots in use by batch tasks.
    pub tasks: u32,
}

/// The next step that an instance should take.
#[derive(Clone, Debug)]
pub enum Action {
    /// Write a row by compare-and-set.
    Commit {
        /// The version of the row that the new row was computed from and replaces.
        base: Version,
        /// The new row.
        row: DomainRow,
        /// The name of the transition, for the log.
        reason: &'static str,
    },
    /// Ask members for their promises.
    RequestPromises {
        /// The request to send.
        request: PromiseRequest,
        /// The members whose promises are missing.
        members: Vec<Member>,
    },
}

/// A new holder's wait for the work of the previous holders of a worker.
#[derive(Clone, Copy, Debug)]
struct TakeoverWait {
    /// When the wait ends.
    until: Instant,
    /// How many slots of the worker this instance may use until then.
    interim_slots: u32,
}

/// One instance's view of the ownership in its failure domain.
#[derive(Debug)]
pub struct Ownership {
    /// This instance.
    me: Member,
    timing: Timing,
    /// The version of `row`; zero before the first.
    version: Version,
    /// The newest row that this instance has seen.
    row: Arc<DomainRow>,
    /// The takeover waits that were running when the row last changed.
    takeover_waits: HashMap<WorkerId, TakeoverWait>,
    /// Workers to which this instance admits nothing more, because it is giving up its share.
    releasing: HashSet<WorkerId>,
    /// The releases that [`Ownership::cancel_releases`] cancelled last. A hand-over prefers these
    /// workers, so that successive steps drain the same one.
    cancelled_releases: HashSet<WorkerId>,
    /// When the newest read that confirmed this instance was sent.
    last_read_sent: Option<Instant>,
    /// For each member, when its newest acknowledged probe was sent, and the version of the row
    /// in the acknowledgement.
    acks: HashMap<Incarnation, (Instant, Version)>,
    /// When each member was last heard; a new member counts as heard when its row is adopted.
    last_heard: HashMap<Incarnation, Instant>,
    /// Members to which acknowledgements are withheld, with [`PromiseRequest::base`] of the
    /// takeover. An entry is dropped when a newer row is seen.
    withheld_acks: HashMap<Incarnation, Version>,
    /// The members whose promises have arrived, by request.
    received_promises: HashMap<PromiseRequest, HashSet<Incarnation>>,
    /// How many slots each worker has.
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
            takeover_waits: HashMap::default(),
            releasing: HashSet::default(),
            cancelled_releases: HashSet::default(),
            last_read_sent: None,
            acks: HashMap::default(),
            last_heard: HashMap::default(),
            withheld_acks: HashMap::default(),
            received_promises: HashMap::default(),
        }
    }

    /// Returns this instance as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the version of the newest row that this instance has seen; zero before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the newest row that this instance has seen; without members before the first.
    pub fn row(&self) -> &Arc<DomainRow> {
        &self.row
    }

    /// Sets how many slots each worker has.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Adopts a row from the table or from a peer if the row is newer than the current one; returns
    /// whether it was.
    pub fn observe_row(&mut self, version: Version, row: Arc<DomainRow>, now: Instant) -> bool {
        if version <= self.version {
            return false;
        }
        let previous = std::mem::replace(&mut self.row, row);
        self.version = version;
        self.update_takeover_waits(&previous, now);
        let me = self.me.incarnation;
        let row = &self.row;
        self.releasing.retain(|&w| {
            let worker = row.worker(w);
            worker.is_some_and(|w| w.holding.holders().any(|h| h == me))
        });
        for member in &row.members {
            self.last_heard.entry(member.incarnation).or_insert(now);
        }
        self.last_heard.retain(|&i, _| row.is_member(i));
        self.acks.retain(|&i, _| row.is_member(i));
        self.withheld_acks.retain(|_, base| *base >= version);
        self.received_promises
            .retain(|request, _| request.base >= version);
        true
    }

    /// Records the result of a read of the row that was sent at `sent`.
    ///
    /// A read that returns a version older than [`Ownership::version`] confirms nothing.
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

    /// Records that a read sent at `sent` found the row at `version`.
    ///
    /// A version older than [`Ownership::version`] confirms nothing.
    pub fn confirm_read(&mut self, sent: Instant, version: Version) {
        if version == self.version {
            self.last_read_sent = self.last_read_sent.max(Some(sent));
        }
    }

    /// Starts, keeps and ends the takeover waits after the row has changed from `previous`.
    fn update_takeover_waits(&mut self, previous: &DomainRow, now: Instant) {
        let me = self.me.incarnation;
        let until = now + self.timing.takeover_wait();
        let mut waits = HashMap::default();
        for w in &self.row.workers {
            if !w.holding.holders().any(|h| h == me) {
                continue;
            }
            let previous_holding = previous.worker(w.worker).map(|w| w.holding);
            let previous_wait = self.takeover_waits.get(&w.worker).copied();
            let previous_wait = previous_wait.filter(|wait| now < wait.until);
            if previous_holding == Some(w.holding) {
                if let Some(previous_wait) = previous_wait {
                    waits.insert(w.worker, previous_wait);
                }
                continue;
            }
            let was_owner =
                previous_holding.is_some_and(|holding| holding.whole_owner() == Some(me));
            let is_primary = matches!(w.holding, Holding::Split { primary, .. } if primary == me);
            if is_primary && was_owner {
                // A running wait continues: the work of earlier holders may still be in flight.
                if let Some(previous_wait) = previous_wait {
                    waits.insert(w.worker, previous_wait);
                }
                continue;
            }
            if w.drained {
                continue;
            }
            let interim_slots = match (previous_holding, previous_wait) {
                (_, Some(previous_wait)) => previous_wait.interim_slots,
                (Some(holding), None) => {
                    share_of(&holding, me, self.slots).min(fallback_share(self.slots))
                }
                (None, None) => 0,
            };
            waits.insert(
                w.worker,
                TakeoverWait {
                    until,
                    interim_slots,
                },
            );
        }
        self.takeover_waits = waits;
    }

    /// Returns whether no takeover wait is running for a worker.
    fn is_wait_over(&self, worker: WorkerId, now: Instant) -> bool {
        let wait = self.takeover_waits.get(&worker);
        wait.is_none_or(|wait| now >= wait.until)
    }

    /// Returns how many slots of a worker this instance may use while it is confirmed, and how
    /// many while it is not.
    pub fn limits(&self, worker: WorkerId, now: Instant) -> (u32, u32) {
        if self.releasing.contains(&worker) {
            return (0, 0);
        }
        let Some(w) = self.row.worker(worker) else {
            return (0, 0);
        };
        let share = share_of(&w.holding, self.me.incarnation, self.slots);
        let share = match self.takeover_waits.get(&worker) {
            Some(wait) if now < wait.until => share.min(wait.interim_slots),
            _ => share,
        };
        (share, share.min(fallback_share(self.slots)))
    }

    /// Returns the time until which this instance is confirmed, or `None` if this instance is no
    /// member or was never confirmed.
    pub fn confirmed_until(&self) -> Option<Instant> {
        if !self.row.is_member(self.me.incarnation) {
            return None;
        }
        let by_read = self
            .last_read_sent
            .map(|sent| sent + self.timing.confirmation_validity);
        by_read.max(self.confirmed_by_peers())
    }

    /// Returns the time until which acknowledgements of all other members confirm this instance.
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

    /// Records that a message of `from` was received at `now`.
    pub fn record_heard(&mut self, from: Incarnation, now: Instant) {
        self.last_heard.insert(from, now);
    }

    /// Acknowledges a probe of `from`, unless `from` is no member or acknowledgements are withheld
    /// from it.
    pub fn acknowledge(&mut self, from: Incarnation, now: Instant) -> Option<Ack> {
        self.record_heard(from, now);
        if !self.row.is_member(from) || self.withheld_acks.contains_key(&from) {
            return None;
        }
        Some(Ack {
            version: self.version,
        })
    }

    /// Records the acknowledgement of a probe that was sent at `sent`.
    pub fn observe_ack(&mut self, from: Incarnation, sent: Instant, ack: Ack, now: Instant) {
        self.record_heard(from, now);
        let newest = self.acks.entry(from).or_insert((sent, ack.version));
        if sent >= newest.0 {
            *newest = (sent, ack.version);
        }
    }

    /// Promises not to confirm `request.target` any more; returns whether the promise was given.
    ///
    /// A promise is refused if the target is this instance or is not silent, or if this instance
    /// has seen a row newer than the request's base.
    pub fn give_promise(&mut self, request: PromiseRequest, now: Instant) -> bool {
        let is_me = request.target == self.me.incarnation;
        if is_me || self.version > request.base || !self.is_silent(request.target, now) {
            return false;
        }
        self.withheld_acks.insert(request.target, request.base);
        true
    }

    /// Records a promise of `from`, unless the base of the request is not the current version.
    pub fn observe_promise(&mut self, from: Incarnation, request: PromiseRequest) {
        if request.base == self.version {
            self.received_promises
                .entry(request)
                .or_default()
                .insert(from);
        }
    }

    fn is_silent(&self, incarnation: Incarnation, now: Instant) -> bool {
        match self.last_heard.get(&incarnation) {
            // An instance receives no messages from itself, but is never silent to itself, not even
            // after a pause.
            _ if incarnation == self.me.incarnation => false,
            Some(&at) => now.saturating_duration_since(at) > self.timing.silence_timeout,
            None => false,
        }
    }

    /// Returns the members that are not silent, this instance included.
    pub fn live_members(&self, now: Instant) -> Vec<&Member> {
        let is_live = |m: &&Member| !self.is_silent(m.incarnation, now);
        self.row.members.iter().filter(is_live).collect()
    }

    /// Cancels all releases of workers that the row does not show yet, so that the workers can be
    /// used again; [`Ownership::next_action`] restarts the releases that are still needed.
    ///
    /// Call it only when no write of a release can still take effect.
    pub fn cancel_releases(&mut self) {
        self.cancelled_releases = std::mem::take(&mut self.releasing);
    }

    /// Returns the next step towards a row in which every worker has a live owner and the numbers
    /// of workers per member differ by at most one, or `None` if no step is possible now.
    ///
    /// `workers` lists the workers of the domain, `gone` the names of instances that the platform
    /// lists as ended, and `slot_usage` returns what this instance has in flight on a worker.
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
            .or_else(|| self.action_on_claimable(now))
            .or_else(|| self.action_on_returned_primary(now, &slot_usage))
            .or_else(|| self.action_on_withheld_acks(now))
            .or_else(|| self.action_on_silent_owner(now))
            .or_else(|| self.action_on_imbalance(now, &slot_usage))
    }

    /// Stops the use of all workers; once this instance has nothing in flight, returns the write
    /// that removes it from the row.
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
        let successors: Vec<_> = live.iter().map(|m| m.incarnation).collect();
        let successors: Vec<_> = successors.into_iter().filter(|&i| i != me).collect();
        let next = plan::leave(&self.row, me, &successors, |w| self.is_wait_over(w, now));
        self.commit(next, "leave")
    }

    /// Returns the action that writes `row`, or `None` if `row` equals the current row.
    fn commit(&self, row: DomainRow, reason: &'static str) -> Option<Action> {
        let base = self.version;
        (row != *self.row).then_some(Action::Commit { base, row, reason })
    }

    /// Removes members whose instances the platform lists as ended.
    fn action_on_gone(&self, gone: &[String]) -> Option<Action> {
        let is_gone = |m: &&Member| m.incarnation != self.me.incarnation && gone.contains(&m.name);
        let gone: Vec<_> = self.row.members.iter().filter(is_gone).collect();
        let gone: Vec<_> = gone.into_iter().map(|m| m.incarnation).collect();
        self.commit(plan::remove_members(&self.row, &gone), "member-gone")
    }

    fn action_on_new_workers(&self, workers: &[WorkerId]) -> Option<Action> {
        let mut next = (*self.row).clone();
        plan::add_workers(&mut next, workers);
        self.commit(next, "new-workers")
    }

    /// Claims workers without a live holder, up to this instance's fair share of all workers.
    fn action_on_claimable(&self, now: Instant) -> Option<Action> {
        let me = self.me.incarnation;
        let live_count = self.live_members(now).len().max(1);
        let fair_share = self.row.workers.len().div_ceil(live_count);
        let limit = fair_share.saturating_sub(self.row.whole_count(me));
        self.commit(plan::claim(&self.row, me, limit), "claim")
    }

    /// Returns reserve shares to silent owners that are heard again.
    fn action_on_returned_primary(
        &mut self,
        now: Instant,
        slot_usage: &impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        let mut idle = Vec::new();
        for w in &self.row.workers {
            let Holding::Split { primary, reserve } = w.holding else {
                continue;
            };
            if reserve != me || self.is_silent(primary, now) {
                continue;
            }
            self.releasing.insert(w.worker);
            if slot_usage(w.worker).in_use == 0 {
                idle.push(w.worker);
            }
        }
        let is_wait_over = |w| self.is_wait_over(w, now);
        let next = plan::release_reserves(&self.row, me, &idle, is_wait_over);
        self.commit(next, "return-reserve")
    }

    /// Writes the unchanged row under a new version if a member from which acknowledgements are
    /// withheld is heard again.
    ///
    /// A write of the takeover that is still in flight then fails its compare-and-set, and the new
    /// version lets all members acknowledge that member again.
    fn action_on_withheld_acks(&self, now: Instant) -> Option<Action> {
        let is_heard_again = |(&target, &base): (&Incarnation, &Version)| {
            base == self.version && self.row.is_member(target) && !self.is_silent(target, now)
        };
        self.withheld_acks
            .iter()
            .any(|(t, b)| is_heard_again((t, b)))
            .then(|| Action::Commit {
                base: self.version,
                row: (*self.row).clone(),
                reason: "confirm-again",
            })
    }

    /// Requests the missing promises about a silent owner, and takes over its reserve shares once
    /// all have arrived.
    fn action_on_silent_owner(&mut self, now: Instant) -> Option<Action> {
        let me = self.me.incarnation;
        let owns_workers = |i| self.row.whole_count(i) > 0;
        let is_silent_owner =
            |m: &&Member| self.is_silent(m.incarnation, now) && owns_workers(m.incarnation);
        let target = self.row.members.iter().find(is_silent_owner)?.incarnation;
        let request = PromiseRequest {
            target,
            base: self.version,
        };
        let received = self.received_promises.get(&request);
        let is_missing = |m: &&Member| {
            let is_other = m.incarnation != me && m.incarnation != target;
            is_other && !received.is_some_and(|r| r.contains(&m.incarnation))
        };
        let members: Vec<_> = self
            .row
            .members
            .iter()
            .filter(is_missing)
            .cloned()
            .collect();
        self.withheld_acks.insert(target, request.base);
        if !members.is_empty() {
            return Some(Action::RequestPromises { request, members });
        }
        self.commit(plan::take_reserve(&self.row, me, target), "take-reserve")
    }

    /// Hands one worker to the member that owns the fewest workers, if that member owns at least
    /// two fewer than this instance.
    fn action_on_imbalance(
        &mut self,
        now: Instant,
        slot_usage: &impl Fn(WorkerId) -> SlotUsage,
    ) -> Option<Action> {
        let me = self.me.incarnation;
        let count_and_id = |m: &&Member| (self.row.whole_count(m.incarnation), m.incarnation);
        let fewest = self
            .live_members(now)
            .into_iter()
            .map(|m| count_and_id(&m))
            .min();
        let (min_count, recipient) = fewest?;
        let my_count = self.row.whole_count(me);
        if recipient == me || my_count < min_count + 2 {
            return None;
        }
        let owned = self.row.workers.iter();
        let owned = owned.filter(|w| w.holding.whole_owner() == Some(me));
        let candidates = owned.filter(|w| slot_usage(w.worker).tasks == 0);
        let candidates = candidates.filter(|w| self.is_wait_over(w.worker, now));
        let picked =
            candidates.min_by_key(|w| (!self.cancelled_releases.contains(&w.worker), w.worker))?;
        let worker = picked.worker;
        self.releasing.insert(worker);
        if slot_usage(worker).in_use > 0 {
            return None;
        }
        self.commit(
            plan::hand_over(&self.row, me, worker, recipient),
            "hand-over",
        )
    }
}

/// Returns how many of a worker's `slots` the holding gives to `me`.
fn share_of(holding: &Holding, me: Incarnation, slots: u32) -> u32 {
    match *holding {
        Holding::Whole { owner } if owner == me => slots,
        Holding::Split { primary, .. } if primary == me => fallback_share(slots),
        Holding::Split { reserve, .. } if reserve == me => reserve_share(slots),
        _ => 0,
    }
}
