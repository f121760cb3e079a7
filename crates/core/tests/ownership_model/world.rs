//! The modelled domain: instances, a table and a network between them, step by step.

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

pub const SLOTS: u32 = 8;
pub const WORKERS: u32 = 3;
const STEP: Duration = Duration::from_millis(100);

/// What the model leaves out, to see that it would be missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sabotage {
    Nothing,
    /// A new holder does not wait for what the old one may still run.
    NoWait,
    /// A taker believes that it has every member's word.
    NoPromises,
    /// Owners never fall back.
    AlwaysConfirmed,
}

/// Something that happens to the domain.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Pause { at: usize, steps: u32 },
    Kill { at: usize, listed: bool },
    Restart { at: usize },
    CutPlatform { at: usize, cut: bool },
    CutPeers { a: usize, b: usize, cut: bool },
    Outage { steps: u32 },
    SlowCommits { steps: u32 },
    Heal,
}

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
    /// Ends of what is in flight, by worker.
    in_flight: HashMap<WorkerId, Vec<Instant>>,
    confirmed: Option<Instant>,
    /// The version over which a write of unknown outcome may still take effect.
    unclear: Option<Version>,
    last_read: Option<Instant>,
}

/// Where a message goes.
#[derive(Clone, Copy, Debug)]
enum To {
    Table,
    Instance(usize),
}

pub struct World {
    sabotage: Sabotage,
    rng: StdRng,
    pub now: Instant,
    pub version: Version,
    pub row: Arc<DomainRow>,
    pub instances: Vec<Instance>,
    queue: Vec<(Instant, To, Message)>,
    cut_peers: HashSet<(usize, usize)>,
    pub outage_until: Instant,
    pub slow_until: Instant,
    pub gone: Vec<String>,
    next_incarnation: u64,
}

fn timing() -> Timing {
    Timing::default()
}

impl World {
    fn new(seed: u64, sabotage: Sabotage) -> Self {
        let now = Instant::now();
        let mut world = Self {
            sabotage,
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
        let timing = match self.sabotage {
            Sabotage::NoWait => Timing {
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
            confirmed: None,
            unclear: None,
            last_read: None,
        });
    }

    fn runs(&self, at: usize) -> bool {
        self.instances[at].alive && self.instances[at].paused_until <= self.now
    }

    fn send(&mut self, to: To, message: Message) {
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
            self.send(To::Instance(to), message);
        }
    }

    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        let same = |i: &Instance| i.ownership.me().incarnation == incarnation;
        self.instances.iter().position(same)
    }

    /// Lets an event happen.
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
                // The address is free only once its last process has ended.
                let same_port = |i: &Instance| i.ownership.me().peer.port() == port && i.alive;
                if !self.instances.iter().any(same_port) {
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

    /// Lets a step of time pass.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.instances.len() {
            if self.runs(at) {
                self.tick(at);
            }
        }
        for at in 0..self.instances.len() {
            if self.runs(at) {
                self.admit(at);
            }
        }
    }

    fn deliver(&mut self) {
        self.queue.sort_by_key(|(at, ..)| *at);
        let mut held = Vec::new();
        while !self.queue.is_empty() && self.queue[0].0 <= self.now {
            let (at, to, message) = self.queue.remove(0);
            match to {
                To::Table => self.on_table(message),
                To::Instance(i) if self.runs(i) => self.on_message(i, message),
                // A paused process finds its messages when it goes on.
                To::Instance(i) if self.instances[i].alive => held.push((at, to, message)),
                To::Instance(_) => {}
            }
        }
        self.queue.extend(held);
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
            self.send(To::Instance(to), message);
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
                instance.last_read = instance.last_read.max(Some(sent));
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
        let settled = |base| instance.ownership.version() > base;
        if instance.unclear.is_some_and(settled) {
            instance.unclear = None;
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.now;
        for other in 0..self.instances.len() {
            let known = self.instances[other].ownership.me().incarnation;
            let member = self.instances[at].ownership.row().is_member(known);
            if other != at && member && self.rng.random_bool(0.5) {
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
                To::Table,
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

    fn change_ownership(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let fresh = |sent| now.duration_since(sent) < Duration::from_secs(2);
        if instance.platform_cut || !instance.last_read.is_some_and(fresh) {
            return;
        }
        if instance.unclear.is_none() {
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
                instance.unclear = Some(base);
                let row = Arc::new(row);
                self.send(
                    To::Table,
                    Message::Commit {
                        from: at,
                        base,
                        row,
                    },
                );
            }
            Some(Action::RequestPromises { request, members }) => {
                for member in members {
                    if self.sabotage == Sabotage::NoPromises {
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

    /// Fills every worker to the limit, as the heaviest load would.
    fn admit(&mut self, at: usize) {
        let now = self.now;
        let always = self.sabotage == Sabotage::AlwaysConfirmed;
        let instance = &mut self.instances[at];
        instance.confirmed = instance.confirmed.max(instance.ownership.confirmed_until());
        let confirmed = always || instance.confirmed.is_some_and(|until| now < until);
        for worker in (0..WORKERS).map(WorkerId) {
            let flights = instance.in_flight.entry(worker).or_default();
            flights.retain(|end| *end > now);
            let (whole, fallback) = instance.ownership.limits(worker, now);
            let limit = if confirmed { whole } else { fallback };
            while (flights.len() as u32) < limit {
                let ms = match self.rng.random_bool(0.3) {
                    true => self.rng.random_range(1..300),
                    false => self.rng.random_range(1..=5_000),
                };
                flights.push(now + Duration::from_millis(ms));
            }
        }
    }

    /// Returns the worker that has more in flight than its slots, if there is one.
    fn overloaded(&self) -> Option<(WorkerId, u32)> {
        (0..WORKERS).map(WorkerId).find_map(|worker| {
            let count = |i: &Instance| {
                let flights = i.in_flight.get(&worker).map_or(&[][..], Vec::as_slice);
                flights.iter().filter(|end| **end > self.now).count() as u32
            };
            let total: u32 = self.instances.iter().map(count).sum();
            (total > SLOTS).then_some((worker, total))
        })
    }

    /// Returns the slots that running instances may use.
    pub fn usable(&self) -> u32 {
        let mut usable = 0;
        for (at, instance) in self.instances.iter().enumerate() {
            let confirmed = instance.confirmed.is_some_and(|until| self.now < until);
            for worker in (0..WORKERS).map(WorkerId) {
                let (whole, fallback) = instance.ownership.limits(worker, self.now);
                if self.runs(at) {
                    usable += if confirmed { whole } else { fallback };
                }
            }
        }
        usable
    }
}

/// Runs the events, some steps apart; returns what went wrong.
pub fn run(seed: u64, events: &[(u32, Event)], sabotage: Sabotage) -> Result<World, String> {
    let mut world = World::new(seed, sabotage);
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
    for &(gap, event) in events {
        world.apply(event);
        steps(&mut world, gap)?;
    }
    Ok(world)
}
