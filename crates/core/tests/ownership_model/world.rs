//! A model of one failure domain: instances, a table and a network, simulated in time steps.

use {
    marigoldbend_core::{
        hash::{HashMap, HashSet},
        ids::{Domain, Incarnation, Version, WorkerId},
        ownership::{Ack, Action, DomainRow, Member, Ownership, PromiseRequest, SlotUsage, Timing},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The number of slots of each worker.
pub const SLOTS: u32 = 8;
/// The number of workers of the domain.
pub const WORKERS: u32 = 3;
/// The simulated time of one step.
const STEP: Duration = Duration::from_millis(100);

/// An ownership rule that the model leaves out, so that a test can show that the rule is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisabledRule {
    Nothing,
    /// A new holder does not wait until the work of the previous holder has ended.
    TakeoverWait,
    /// A takeover does not need the promises of the other members.
    Promises,
    /// An owner uses all slots although it is not confirmed.
    Fallback,
}

/// A disturbance of the domain.
///
/// `at`, `a` and `b` are indices of instances, modulo the number of instances. `cut` tells whether
/// the connection is cut or restored.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An instance stops running for a number of steps.
    Pause { at: usize, steps: u32 },
    /// Ends an instance; `listed` tells whether the platform then lists it as ended.
    Kill { at: usize, listed: bool },
    /// Ends an instance and starts another one at its address.
    Restart { at: usize },
    /// Cuts or restores the connection of an instance to the table.
    CutPlatform { at: usize, cut: bool },
    /// Cuts or restores the connection between two instances.
    CutPeers { a: usize, b: usize, cut: bool },
    /// The table handles no messages.
    Outage { steps: u32 },
    /// Writes take 0.1 to 9 s to reach the table.
    SlowCommits { steps: u32 },
    /// Restores all connections and ends all pauses.
    Heal,
}

/// A message of the network.
///
/// In a request, `from` is the index of the sending instance; in a reply of an instance, `from` is
/// its incarnation. `sent` is when the request was sent, also in the reply.
#[derive(Clone, Debug)]
enum Message {
    Probe {
        from: usize,
        sent: Instant,
    },
    ProbeReply {
        from: Incarnation,
        sent: Instant,
        ack: Option<Ack>,
    },
    RequestPromise {
        from: usize,
        request: PromiseRequest,
    },
    Promise {
        from: Incarnation,
        request: PromiseRequest,
    },
    Read {
        from: usize,
        sent: Instant,
    },
    ReadReply {
        sent: Instant,
        version: Version,
        row: Arc<DomainRow>,
    },
    Commit {
        from: usize,
        base: Version,
        row: Arc<DomainRow>,
    },
    CommitReply {
        base: Version,
        row: Arc<DomainRow>,
        applied: bool,
    },
}

pub struct Instance {
    pub ownership: Ownership,
    pub alive: bool,
    paused_until: Instant,
    platform_cut: bool,
    /// When each request in flight ends, by worker.
    in_flight: HashMap<WorkerId, Vec<Instant>>,
    /// The latest instant until which the instance was ever confirmed.
    confirmed_until: Option<Instant>,
    /// The base version of a write whose outcome is not yet known; `None` if there is none.
    pending_commit: Option<Version>,
    /// When the newest read with a reply was sent.
    last_read_sent: Option<Instant>,
}

/// The destination of a message.
#[derive(Clone, Copy, Debug)]
enum Destination {
    Table,
    Instance(usize),
}

pub struct World {
    disabled: DisabledRule,
    rng: StdRng,
    pub now: Instant,
    pub version: Version,
    pub row: Arc<DomainRow>,
    pub instances: Vec<Instance>,
    /// Messages in flight, with the time of their arrival.
    queue: Vec<(Instant, Destination, Message)>,
    /// The pairs of instances whose connection is cut, with the smaller index first.
    cut_peers: HashSet<(usize, usize)>,
    /// Until when the table handles no messages.
    pub outage_until: Instant,
    /// Until when writes are slow to reach the table.
    pub slow_until: Instant,
    /// Names of the instances that the platform lists as ended.
    pub gone: Vec<String>,
    next_incarnation: u64,
}

fn timing() -> Timing {
    Timing::default()
}

impl World {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        let now = Instant::now();
        let mut world = Self {
            disabled,
            rng: StdRng::seed_from_u64(seed),
            now,
            version: Version(0),
            row: Arc::default(),
            instances: Vec::new(),
            queue: Vec::new(),
            cut_peers: HashSet::default(),
            outage_until: now,
            slow_until: now,
            gone: Vec::new(),
            next_incarnation: 1,
        };
        for port in 1..=3 {
            world.add_instance(port);
        }
        world
    }

    fn add_instance(&mut self, port: u16) {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        let me = Member {
            incarnation,
            name: format!("i{}", incarnation.0),
            peer: SocketAddr::from(([127, 0, 0, 1], port)),
        };
        let timing = match self.disabled {
            DisabledRule::TakeoverWait => Timing {
                max_request_duration: Duration::ZERO,
                margin: Duration::ZERO,
                ..timing()
            },
            _ => timing(),
        };
        self.instances.push(Instance {
            ownership: Ownership::new(me, Domain(1), timing, SLOTS),
            alive: true,
            paused_until: self.now,
            platform_cut: false,
            in_flight: HashMap::default(),
            confirmed_until: None,
            pending_commit: None,
            last_read_sent: None,
        });
    }

    fn is_running(&self, at: usize) -> bool {
        self.instances[at].alive && self.instances[at].paused_until <= self.now
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    fn send(&mut self, to: Destination, message: Message) {
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(0.05) {
                continue;
            }
            let mut delay = Duration::from_millis(self.rng.random_range(1..60));
            let slow = matches!(message, Message::Commit { .. }) && self.now < self.slow_until;
            if slow || self.rng.random_bool(0.02) {
                delay = Duration::from_millis(self.rng.random_range(100..9_000));
            }
            self.queue.push((self.now + delay, to, message.clone()));
        }
    }

    fn send_peer(&mut self, from: usize, to: usize, message: Message) {
        let pair = (from.min(to), from.max(to));
        if !self.cut_peers.contains(&pair) {
            self.send(Destination::Instance(to), message);
        }
    }

    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        let is_same = |i: &Instance| i.ownership.me().incarnation == incarnation;
        self.instances.iter().position(is_same)
    }

    /// Applies an event.
    pub fn apply(&mut self, event: Event) {
        let n = self.instances.len();
        match event {
            Event::Pause { at, steps } => {
                let until = self.now + STEP * steps;
                self.instances[at % n].paused_until = until;
            }
            Event::Kill { at, listed } => self.kill(at % n, listed),
            Event::Restart { at } => {
                let at = at % n;
                self.kill(at, false);
                let port = self.instances[at].ownership.me().peer.port();
                // No instance can start while another one is still bound to the address.
                let is_bound = |i: &Instance| i.ownership.me().peer.port() == port && i.alive;
                if !self.instances.iter().any(is_bound) {
                    self.add_instance(port);
                }
            }
            Event::CutPlatform { at, cut } => self.instances[at % n].platform_cut = cut,
            Event::CutPeers { a, b, cut } => {
                let (a, b) = (a % n, b % n);
                let pair = (a.min(b), a.max(b));
                if cut {
                    self.cut_peers.insert(pair);
                } else {
                    self.cut_peers.remove(&pair);
                }
            }
            Event::Outage { steps } => self.outage_until = self.now + STEP * steps,
            Event::SlowCommits { steps } => self.slow_until = self.now + STEP * steps,
            Event::Heal => {
                self.cut_peers.clear();
                for instance in &mut self.instances {
                    instance.platform_cut = false;
                    instance.paused_until = self.now;
                }
            }
        }
    }

    fn kill(&mut self, at: usize, listed: bool) {
        let instance = &mut self.instances[at];
        instance.alive = false;
        if listed {
            self.gone.push(instance.ownership.me().name.clone());
        }
    }

    /// Advances the model by one time step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.instances.len() {
            if self.is_running(at) {
                self.tick(at);
            }
        }
        for at in 0..self.instances.len() {
            if self.is_running(at) {
                self.admit(at);
            }
        }
    }

    /// Delivers the messages that have arrived.
    fn deliver(&mut self) {
        self.queue.sort_by_key(|(at, ..)| *at);
        let mut postponed = Vec::new();
        while !self.queue.is_empty() && self.queue[0].0 <= self.now {
            let (at, to, message) = self.queue.remove(0);
            match to {
                Destination::Table => self.on_table(message),
                Destination::Instance(i) if self.is_running(i) => self.on_message(i, message),
                // A paused process receives its messages when it resumes.
                Destination::Instance(i) if self.instances[i].alive => {
                    postponed.push((at, to, message))
                }
                Destination::Instance(_) => {}
            }
        }
        self.queue.extend(postponed);
    }

    fn on_table(&mut self, message: Message) {
        if self.now < self.outage_until {
            return;
        }
        match message {
            Message::Read { from, sent } => {
                let (version, row) = (self.version, self.row.clone());
                self.reply(from, Message::ReadReply { sent, version, row });
            }
            Message::Commit { from, base, row } => {
                let applied = self.version == base;
                if applied {
                    self.version = Version(base.0 + 1);
                    self.row = row.clone();
                }
                self.reply(from, Message::CommitReply { base, row, applied });
            }
            _ => {}
        }
    }

    fn reply(&mut self, to: usize, message: Message) {
        if !self.instances[to].platform_cut {
            self.send(Destination::Instance(to), message);
        }
    }

    fn on_message(&mut self, at: usize, message: Message) {
        let now = self.now;
        let me = self.instances[at].ownership.me().incarnation;
        match message {
            Message::Probe { from, sent } => {
                let other = self.instances[from].ownership.me().incarnation;
                let ack = self.instances[at].ownership.acknowledge(other, now);
                self.send_peer(
                    at,
                    from,
                    Message::ProbeReply {
                        from: me,
                        sent,
                        ack,
                    },
                );
            }
            Message::ProbeReply { from, sent, ack } => {
                let ownership = &mut self.instances[at].ownership;
                ownership.record_heard(from, now);
                if let Some(ack) = ack {
                    ownership.observe_ack(from, sent, ack, now);
                }
            }
            Message::RequestPromise { from, request } => {
                if self.instances[at].ownership.give_promise(request, now) {
                    self.send_peer(at, from, Message::Promise { from: me, request });
                }
            }
            Message::Promise { from, request } => {
                self.instances[at].ownership.observe_promise(from, request);
            }
            Message::ReadReply { sent, version, row } => {
                let instance = &mut self.instances[at];
                instance.ownership.observe_read(sent, version, row, now);
                instance.last_read_sent = instance.last_read_sent.max(Some(sent));
            }
            Message::CommitReply { base, row, applied } => {
                let instance = &mut self.instances[at];
                if applied {
                    let version = Version(base.0 + 1);
                    instance.ownership.observe_row(version, row, now);
                }
            }
            Message::Read { .. } | Message::Commit { .. } => {}
        }
        let instance = &mut self.instances[at];
        let is_resolved = |base| instance.ownership.version() > base;
        if instance.pending_commit.is_some_and(is_resolved) {
            instance.pending_commit = None;
        }
    }

    /// Sends the periodic probes and reads of an instance, and lets it change the ownership.
    fn tick(&mut self, at: usize) {
        let now = self.now;
        for other in 0..self.instances.len() {
            let incarnation = self.instances[other].ownership.me().incarnation;
            let is_member = self.instances[at].ownership.row().is_member(incarnation);
            if other != at && is_member && self.rng.random_bool(0.5) {
                self.send_peer(
                    at,
                    other,
                    Message::Probe {
                        from: at,
                        sent: now,
                    },
                );
            }
        }
        if !self.instances[at].platform_cut && self.rng.random_bool(0.4) {
            self.send(
                Destination::Table,
                Message::Read {
                    from: at,
                    sent: now,
                },
            );
        }
        if self.rng.random_bool(0.5) {
            self.change_ownership(at);
        }
    }

    /// Performs the next ownership action of an instance that has recently read the table.
    fn change_ownership(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let is_recent = |sent| now.duration_since(sent) < Duration::from_secs(2);
        if instance.platform_cut || !instance.last_read_sent.is_some_and(is_recent) {
            return;
        }
        if instance.pending_commit.is_none() {
            instance.ownership.cancel_releases();
        }
        let in_flight = instance.in_flight.clone();
        let slot_usage = |worker: WorkerId| SlotUsage {
            in_use: in_flight.get(&worker).map_or(0, |v| v.len() as u32),
            tasks: 0,
        };
        let workers: Vec<WorkerId> = (0..WORKERS).map(WorkerId).collect();
        match instance
            .ownership
            .next_action(now, &workers, &self.gone, slot_usage)
        {
            Some(Action::Commit { base, row, .. }) => {
                instance.pending_commit = Some(base);
                let row = Arc::new(row);
                self.send(
                    Destination::Table,
                    Message::Commit {
                        from: at,
                        base,
                        row,
                    },
                );
            }
            Some(Action::RequestPromises { request, members }) => {
                for member in members {
                    if self.disabled == DisabledRule::Promises {
                        let ownership = &mut self.instances[at].ownership;
                        ownership.observe_promise(member.incarnation, request);
                    } else if let Some(to) = self.index_of(member.incarnation) {
                        self.send_peer(at, to, Message::RequestPromise { from: at, request });
                    }
                }
            }
            None => {}
        }
    }

    /// Dispatches requests from an instance to every worker up to the limit, as under maximum load.
    fn admit(&mut self, at: usize) {
        let now = self.now;
        let always_confirmed = self.disabled == DisabledRule::Fallback;
        let instance = &mut self.instances[at];
        instance.confirmed_until = instance
            .confirmed_until
            .max(instance.ownership.confirmed_until());
        let confirmed =
            always_confirmed || instance.confirmed_until.is_some_and(|until| now < until);
        for worker in (0..WORKERS).map(WorkerId) {
            let request_ends = instance.in_flight.entry(worker).or_default();
            request_ends.retain(|end| *end > now);
            let (confirmed_limit, fallback_limit) = instance.ownership.limits(worker, now);
            let limit = if confirmed {
                confirmed_limit
            } else {
                fallback_limit
            };
            while (request_ends.len() as u32) < limit {
                let ms = match self.rng.random_bool(0.3) {
                    true => self.rng.random_range(1..300),
                    false => self.rng.random_range(1..=5_000),
                };
                request_ends.push(now + Duration::from_millis(ms));
            }
        }
    }

    /// Returns a worker with more requests in flight than slots and the number of these requests,
    /// or `None` if there is no such worker.
    fn overloaded(&self) -> Option<(WorkerId, u32)> {
        (0..WORKERS).map(WorkerId).find_map(|worker| {
            let count = |i: &Instance| {
                let request_ends = i.in_flight.get(&worker).map_or(&[][..], Vec::as_slice);
                request_ends.iter().filter(|end| **end > self.now).count() as u32
            };
            let total: u32 = self.instances.iter().map(count).sum();
            (total > SLOTS).then_some((worker, total))
        })
    }

    /// Returns how many slots the running instances may use together.
    pub fn usable(&self) -> u32 {
        let mut usable = 0;
        for (at, instance) in self.instances.iter().enumerate() {
            let confirmed = instance
                .confirmed_until
                .is_some_and(|until| self.now < until);
            for worker in (0..WORKERS).map(WorkerId) {
                let (confirmed_limit, fallback_limit) = instance.ownership.limits(worker, self.now);
                if self.is_running(at) {
                    usable += if confirmed {
                        confirmed_limit
                    } else {
                        fallback_limit
                    };
                }
            }
        }
        usable
    }
}

/// Runs 100 steps, then applies each event and runs the number of steps given with it.
///
/// # Errors
///
/// Returns an error that names the first overloaded worker.
pub fn run(seed: u64, events: &[(u32, Event)], disabled: DisabledRule) -> Result<World, String> {
    let mut world = World::new(seed, disabled);
    let steps = |world: &mut World, n: u32| -> Result<(), String> {
        for _ in 0..n {
            world.step();
            if let Some((worker, in_flight)) = world.overloaded() {
                return Err(format!("{worker} has {in_flight} in flight"));
            }
        }
        Ok(())
    };
    steps(&mut world, 100)?;
    for &(steps_after, event) in events {
        world.apply(event);
        steps(&mut world, steps_after)?;
    }
    Ok(world)
}
