//! The control thread: peers, leads, the configuration and the list of workers.

use {
    crate::{
        leading::{Leading, Sinks},
        metrics::Metrics,
        names,
        orders::{Answered, Ask},
        settings::Settings,
        takeover::{self, Taken, TakeoverError},
        view::{LeaderView, View},
        watch::{self, Seen, Watched},
    },
    arc_swap::ArcSwap,
    marigoldbend_core::{
        clock::Clock,
        hash::HashMap,
        sched::{
            job::{JobId, JobSpec, TaskName},
            lead::{PeerView, Situation, should_take},
            progress::JobState,
            queues::Queues,
            shard::{Batch, Order, Params, ServiceLoad},
            worker::{Answer, Report, WorkerInfo},
        },
    },
    marigoldbend_http::lane::Pool,
    marigoldbend_peer::beat::{Beat, Lead, MOST_QUEUES},
    marigoldbend_platform::{
        backoff::Backoff,
        rows::{Outcome, Range, Row, RowKey, Tx},
        store::{Store, StoreError},
    },
    marigoldbend_wire::{operator, store as wire, workers as worker_wire},
    serde::{Deserialize, Serialize},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
    xtra::prelude::*,
};

/// The time between two looks at everything that depends on time.
pub const TICK: Duration = Duration::from_millis(50);

/// The time between beats to the own failure domain; a silent leader is noticed after five.
const LOCAL_BEAT: Duration = Duration::from_millis(150);

/// The time between beats to other failure domains, which are dearer and less urgent.
const REMOTE_BEAT: Duration = Duration::from_millis(450);

/// How long a leader of another domain is believed in without a beat.
const LEADER_MEMORY: Duration = Duration::from_millis(2_500);

/// How long peers that are not heard get beats as often as others.
const PEER_MEMORY: Duration = Duration::from_secs(30);

/// The wait of one call for changes of the configuration, which must be in force within 2 s.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// The wait of one call for changes of the list of workers or the jobs of a shard.
const LIST_WAIT: Duration = Duration::from_millis(1_500);

/// The time between two looks at the list of workers, whose entries change with every heartbeat.
const LIST_GAP: Duration = Duration::from_millis(800);

/// The time between two ticks from which this process counts as having stood still.
const STANDSTILL: Duration = Duration::from_millis(450);

/// The time between two beats of a leader in the store.
const STORE_BEAT: Duration = Duration::from_secs(1);

/// The time between two looks at a leader's beat in the store.
const BEAT_LOOK: Duration = Duration::from_millis(400);

/// The time between two lines that sum a led shard up.
const SUMMARY: Duration = Duration::from_secs(2);

/// The time between two removals of jobs that are over.
const EXPIRY: Duration = Duration::from_secs(5);

/// What the state of a job that is over is kept longer than it must be.
const EXPIRY_RESERVE: Duration = Duration::from_secs(20);

/// The time limit of a question to the advice service.
const ADVICE_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a takeover by a peer is let alone: reading all rows of a busy shard takes as long.
const RIVAL_PAUSE: Duration = Duration::from_millis(700);

/// How long a failed takeover is not tried again.
const TAKE_PAUSE: Duration = Duration::from_millis(250);

/// How long a leader from another domain leads before the shard's own instances get it back.
const HANDBACK: Duration = Duration::from_secs(4);

/// What an instance writes of itself into the store.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    zone: String,
    address: SocketAddr,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer told of itself.
    Beat(Beat),
    /// The configuration was read.
    Config(Queues),
    /// The list of workers was read: whole, or some entries of it.
    Workers {
        /// Whether others than these are gone.
        whole: bool,
        /// The entries; `None` for one that is gone or not valid.
        entries: Vec<(String, Option<WorkerInfo>)>,
    },
    /// The instances and leases that the store knows, read at the start.
    Known {
        /// Names, failure domains and addresses.
        instances: Vec<(String, String, SocketAddr)>,
        /// Shards with their leader and its run.
        leases: Vec<(String, String, u64)>,
    },
    /// A takeover has ended.
    Taken(String, Result<Taken, TakeoverError>),
    /// Jobs of a led shard were read.
    Jobs(String, u64, Vec<Row>),
    /// A worker of a led shard reported.
    Report(String, u64, String, Report, Instant),
    /// A worker of a led shard answered an order.
    Answered(String, u64, Answered),
    /// The advice service answered.
    Advised(String, u64, TaskName, Vec<(String, String)>, Duration),
    /// The store shows that another instance leads a shard.
    Replaced(String, u64),
    /// It is time to place tasks of a led shard.
    Wake(String, u64),
    /// The beat of a shard's leader was read in the store.
    StoreBeat(String, Vec<u8>),
    /// A job of a led shard was passed on, or not.
    Moved(String, u64, JobId, bool),
    /// A write of a led shard has ended.
    Written(String, u64, Batch, Result<Outcome, StoreError>),
    /// The end of the process has begun.
    End,
}

/// Asks how a worker's next report is to be asked for.
#[derive(Debug)]
pub struct AskReport(pub String, pub u64, pub String);

/// Asks for the state of a job of a shard.
#[derive(Debug)]
pub struct AskState(pub String, pub JobId);

/// Asks whether all leads were given up.
#[derive(Clone, Copy, Debug)]
pub struct AskEnded;

#[derive(Debug)]
struct Peer {
    zone: String,
    address: SocketAddr,
    heard: Option<Instant>,
    known: Instant,
    beaten: Option<Instant>,
}

#[derive(Debug, Default)]
struct Lease {
    leader: Option<(String, u64)>,
    led: Option<Instant>,
    view: Option<LeaderView>,
    token: u64,
    trying: bool,
    not_before: Option<Instant>,
    /// The contents of the leader's beat in the store, and when it was seen to change.
    beat: Vec<u8>,
    store_beat: Option<Instant>,
    looked: Option<Instant>,
}

/// The control actor.
pub struct Control {
    settings: Settings,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    store: Arc<Store>,
    socket: UdpSocket,
    metrics: Arc<Metrics>,
    view: Arc<ArcSwap<View>>,
    address: Option<Address<Self>>,
    since: Instant,
    peers: HashMap<String, Peer>,
    heard: HashMap<String, PeerView>,
    leases: HashMap<String, Lease>,
    leading: HashMap<String, Leading>,
    led_since: HashMap<String, Instant>,
    queues: Option<Arc<Queues>>,
    workers: HashMap<String, WorkerInfo>,
    labels: Arc<HashMap<String, HashMap<String, Vec<String>>>>,
    advice: Option<Arc<Pool>>,
    ending: bool,
    expired: Instant,
    summed: Instant,
    store_beat: Instant,
    beats: u64,
    ticked: Instant,
    /// When silence of others last said nothing of them.
    deaf: Option<Instant>,
}

impl Actor for Control {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        if let Some(address) = mailbox.address().try_upgrade() {
            self.address = Some(address.clone());
            self.watch(&address);
        }
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Control {
    /// Creates the actor; `socket` is bound to the peers' address and does not block.
    pub fn new(
        settings: Settings,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        store: Arc<Store>,
        socket: UdpSocket,
        metrics: Arc<Metrics>,
        view: Arc<ArcSwap<View>>,
    ) -> Self {
        let now = clock.now();
        let leases = settings.shards.iter();
        let leases = leases.map(|s| (s.name.clone(), Lease::default()));
        Self {
            leases: leases.collect(),
            advice: settings.advice.map(|a| Arc::new(Pool::new(a))),
            settings,
            incarnation,
            clock,
            store,
            socket,
            metrics,
            view,
            address: None,
            since: now,
            peers: HashMap::default(),
            heard: HashMap::default(),
            leading: HashMap::default(),
            led_since: HashMap::default(),
            queues: None,
            workers: HashMap::default(),
            labels: Arc::default(),
            ending: false,
            expired: now,
            summed: now,
            store_beat: now,
            beats: 0,
            ticked: now,
            deaf: None,
        }
    }

    /// Starts the tasks that follow the store.
    fn watch(&self, address: &Address<Self>) {
        let op = Watched {
            table: wire::OPERATOR_TABLE.to_owned(),
            part: String::new(),
            wait: CONFIG_WAIT,
            gap: Duration::ZERO,
        };
        let to = address.clone();
        tokio::spawn(watch::follow(self.store.clone(), op, None, move |seen| {
            let events = config_events(seen);
            let to = to.clone();
            Box::pin(async move {
                for event in events {
                    tell(&to, event).await;
                }
            })
        }));
        let list = Watched {
            table: wire::WORKERS_TABLE.to_owned(),
            part: String::new(),
            wait: LIST_WAIT,
            gap: LIST_GAP,
        };
        let to = address.clone();
        tokio::spawn(watch::follow(self.store.clone(), list, None, move |seen| {
            let to = to.clone();
            Box::pin(async move { tell(&to, worker_event(seen)).await })
        }));
        let store = self.store.clone();
        let to = address.clone();
        let settings = self.settings.clone();
        tokio::spawn(async move { introduce(&store, &settings, &to).await });
    }

    fn unix_ms(&self) -> u64 {
        unix_ms()
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let gap = now.duration_since(self.ticked);
        if gap > STANDSTILL {
            log::warn!("entry: stood still for {} ms.", gap.as_millis());
            self.deaf = Some(now);
        }
        self.ticked = now;
        self.beat(now, false);
        self.check_leads(now);
        self.write_beats(now);
        let shards: Vec<_> = self.leading.keys().cloned().collect();
        for shard in shards {
            self.drive(&shard, now);
        }
        if now.duration_since(self.summed) >= SUMMARY {
            self.summed = now;
            for leading in self.leading.values() {
                log::info!(
                    "lead: shard={} {}.",
                    leading.name,
                    leading.shard.summary(now)
                );
            }
        }
        if now.duration_since(self.expired) >= EXPIRY {
            self.expired = now;
            self.expire();
        }
        self.publish(now);
    }

    /// Gives up leads that can't be held, and takes those that are vacant.
    fn check_leads(&mut self, now: Instant) {
        let store_ok = self.store.is_in_reach();
        let helped = self
            .heard
            .values()
            .any(|p| now.duration_since(p.heard) < LEADER_MEMORY && p.store_ok && !p.ending);
        if !store_ok && helped && !self.leading.is_empty() {
            log::warn!("lead: giving up, peers reach the store and this instance does not.");
            self.give_up_all(now);
        }
        self.hand_back(now);
        if self.ending {
            let stored: Vec<_> = self
                .leading
                .values()
                .filter(|l| l.is_stored())
                .map(|l| l.name.clone())
                .collect();
            for shard in stored {
                self.give_up(&shard, "the process ends");
            }
            return;
        }
        let shards: Vec<_> = self.leases.keys().cloned().collect();
        let mut unheard = Vec::new();
        let mut deaf = false;
        for shard in shards {
            if self.leading.contains_key(&shard) {
                continue;
            }
            let Some(lease) = self.leases.get(&shard) else {
                continue;
            };
            if lease.trying || lease.not_before.is_some_and(|at| now < at) {
                continue;
            }
            let situation = Situation {
                me: &self.settings.name,
                incarnation: self.incarnation,
                zone: &self.settings.zone,
                shard: &shard,
                zones: self.settings.zones_of(&shard),
                store_ok,
                peers: &self.heard,
                since: self.since,
                leader: lease
                    .leader
                    .as_ref()
                    .map(|(name, run)| (name.as_str(), *run)),
                led: lease.led,
                deaf: self.deaf,
                store_beat: lease.store_beat,
            };
            if situation.is_minority(now) {
                deaf = true;
                if situation.is_silent(now) {
                    unheard.push(shard.clone());
                }
            }
            if should_take(&situation, now) {
                self.take(&shard);
            }
        }
        if deaf {
            self.deaf = Some(now);
        }
        for shard in unheard {
            self.look_for_beat(&shard, now);
        }
    }

    /// Looks into the store whether a leader that is not heard is alive.
    fn look_for_beat(&mut self, shard: &str, now: Instant) {
        let Some(lease) = self.leases.get_mut(shard) else {
            return;
        };
        if lease
            .looked
            .is_some_and(|at| now.duration_since(at) < BEAT_LOOK)
        {
            return;
        }
        lease.looked = Some(now);
        let Some(to) = self.address.clone() else {
            return;
        };
        let store = self.store.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            if let Ok(beat) = takeover::read_row(&store, &names::beat(&shard)).await {
                tell(&to, Event::StoreBeat(shard, beat.unwrap_or_default())).await;
            }
        });
    }

    /// Shows in the store that this leader is alive.
    fn write_beats(&mut self, now: Instant) {
        if now.duration_since(self.store_beat) < STORE_BEAT {
            return;
        }
        self.store_beat = now;
        for leading in self.leading.values() {
            self.beats += 1;
            // Plain data always encodes below.
            let pending: Vec<_> = leading.shard.pending().into_iter().collect();
            let beat = takeover::StoreBeat {
                incarnation: self.incarnation,
                number: self.beats,
                pending,
            };
            let value = postcard::to_stdvec(&beat).unwrap_or_default();
            let Some(to) = self.address.clone() else {
                continue;
            };
            // It depends on the lease row, so that a leader that was replaced learns of it.
            let tx = Tx {
                expect: vec![(names::lease(&leading.name), leading.ver)],
                puts: vec![(names::beat(&leading.name), value)],
                ..Tx::default()
            };
            let store = self.store.clone();
            let (shard, token) = (leading.name.clone(), leading.token);
            tokio::spawn(async move {
                match store.tx(&tx).await {
                    Ok(Outcome::Applied(_)) => {}
                    Ok(Outcome::Conflict(_)) => tell(&to, Event::Replaced(shard, token)).await,
                    Err(e) => log::debug!("lead: the beat is not written: {e}."),
                }
            });
        }
    }

    fn take(&mut self, shard: &str) {
        let Some(address) = self.address.clone() else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.trying = true;
        }
        log::info!("lead: shard={shard} taking it.");
        self.beat(self.clock.now(), true);
        let store = self.store.clone();
        let name = self.settings.name.clone();
        let incarnation = self.incarnation;
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let taken = takeover::take(&store, &shard, &name, incarnation).await;
            tell(&address, Event::Taken(shard, taken)).await;
        });
    }

    fn taken(&mut self, shard: &str, result: Result<Taken, TakeoverError>, now: Instant) {
        let name = self.settings.name.clone();
        let Some(lease) = self.leases.get_mut(shard) else {
            return;
        };
        lease.trying = false;
        lease.not_before = Some(now + TAKE_PAUSE);
        let taken = match result {
            Ok(taken) => taken,
            Err(e) => {
                log::info!("lead: shard={shard} not taken: {e}.");
                if let TakeoverError::Lost { holder, token } = e {
                    lease.leader = Some((holder, 0));
                    lease.token = token;
                    lease.led = Some(now);
                }
                return;
            }
        };
        log::info!(
            "lead: shard={shard} taken token={} jobs={} workers={}.",
            taken.token,
            taken.jobs.len(),
            taken.roster.len(),
        );
        lease.leader = Some((name, self.incarnation));
        lease.token = taken.token;
        lease.led = Some(now);
        let token = taken.token;
        let from = taken.from;
        let Some(sinks) = self.sinks(shard, token) else {
            return;
        };
        let params = Params {
            lease: Params::default().lease.min(self.settings.max_lease),
            drain: self.settings.drain,
            ..Params::default()
        };
        let cancelled = taken.cancelled.clone();
        let Some(of) = self.settings.shards.iter().find(|s| s.name == shard) else {
            return;
        };
        let mut leading = Leading::new(
            of,
            taken,
            params,
            sinks,
            self.metrics.clone(),
            now,
            unix_ms(),
        );
        for job in cancelled
            .into_iter()
            .filter(|job| !leading.shard.knows(*job))
        {
            self.forward_cancel(shard, job);
        }
        leading.list(&self.workers, now);
        leading.feed = self.follow_jobs(shard, token, from);
        self.leading.insert(shard.to_owned(), leading);
        self.led_since.insert(shard.to_owned(), now);
        self.metrics.leads.set(self.leading.len() as i64);
        self.drive(shard, now);
        self.beat(now, true);
    }

    fn follow_jobs(&self, shard: &str, token: u64, from: u64) -> Option<tokio::task::AbortHandle> {
        let address = self.address.clone()?;
        let watched = Watched {
            table: names::jobs_table(shard),
            part: shard.to_owned(),
            wait: LIST_WAIT,
            gap: Duration::ZERO,
        };
        let shard = shard.to_owned();
        let sink = move |seen| -> crate::orders::Boxed<()> {
            let (Seen::All(rows) | Seen::Changed(rows)) = seen;
            let event = Event::Jobs(shard.clone(), token, rows);
            let address = address.clone();
            Box::pin(async move { tell(&address, event).await })
        };
        let follow = watch::follow(self.store.clone(), watched, Some(from), sink);
        Some(tokio::spawn(follow).abort_handle())
    }

    fn sinks(&self, shard: &str, token: u64) -> Option<Sinks> {
        let address = self.address.clone()?;
        let to = address.clone();
        let name = shard.to_owned();
        let ask = move |worker: String| -> crate::orders::Boxed<Option<Ask>> {
            let message = AskReport(name.clone(), token, worker);
            let to = to.clone();
            Box::pin(async move { to.send(message).await.ok().flatten() })
        };
        let to = address.clone();
        let name = shard.to_owned();
        let report = move |worker: String, r: Report, sent| -> crate::orders::Boxed<()> {
            let event = Event::Report(name.clone(), token, worker, r, sent);
            let to = to.clone();
            Box::pin(async move { tell(&to, event).await })
        };
        let name = shard.to_owned();
        let answer = move |answered| -> crate::orders::Boxed<()> {
            let event = Event::Answered(name.clone(), token, answered);
            let to = address.clone();
            Box::pin(async move { tell(&to, event).await })
        };
        Some(Sinks {
            ask: Arc::new(ask),
            report: Arc::new(report),
            answer: Arc::new(answer),
        })
    }

    /// Lets a shard of another domain go once that domain can lead it again.
    fn hand_back(&mut self, now: Instant) {
        let foreign = self.leading.keys().filter(|shard| {
            let zones = self.settings.zones_of(shard);
            !zones.contains(&self.settings.zone)
        });
        let able = |shard: &str| {
            let zones = self.settings.zones_of(shard);
            self.heard.values().any(|p| {
                zones.contains(&p.zone)
                    && p.store_ok
                    && !p.ending
                    && now.duration_since(p.heard) < LEADER_MEMORY
            })
        };
        let old = |shard: &str| {
            let since = self.led_since.get(shard);
            since.is_some_and(|since| now.duration_since(*since) > HANDBACK)
        };
        let back: Vec<_> = foreign.filter(|s| old(s) && able(s)).cloned().collect();
        for shard in back {
            self.give_up(&shard, "its own domain can lead it");
        }
    }

    fn give_up_all(&mut self, _now: Instant) {
        let shards: Vec<_> = self.leading.keys().cloned().collect();
        for shard in shards {
            self.give_up(&shard, "the store is out of reach");
        }
    }

    fn give_up(&mut self, shard: &str, why: &str) {
        let now = self.clock.now();
        if self.leading.remove(shard).is_none() {
            return;
        }
        log::info!("lead: shard={shard} given up: {why}.");
        if let Some(lease) = self.leases.get_mut(shard) {
            lease.view = None;
            lease.led = Some(now);
            lease.not_before = Some(now + LEADER_MEMORY);
        }
        self.metrics.leads.set(self.leading.len() as i64);
        self.beat(now, true);
    }

    /// Polls a led shard, sends its orders and writes its rows.
    fn drive(&mut self, shard: &str, now: Instant) {
        let unix_ms = self.unix_ms();
        let Some(leading) = self.leading.get_mut(shard) else {
            return;
        };
        let token = leading.token;
        let rest = leading.drive(now, unix_ms);
        let write = leading.next_write(now);
        let Some(address) = self.address.clone() else {
            return;
        };
        if leading.shard.has_changed() && !leading.waking {
            leading.waking = true;
            let wait = leading.shard.dispatch_at().saturating_duration_since(now);
            let to = address.clone();
            let shard = shard.to_owned();
            tokio::spawn(async move {
                sleep(wait).await;
                tell(&to, Event::Wake(shard, token)).await;
            });
        }
        if let Some((batch, tx)) = write {
            let store = self.store.clone();
            let to = address.clone();
            let shard = shard.to_owned();
            tokio::spawn(async move {
                let result = store.tx(&tx).await;
                tell(&to, Event::Written(shard, token, batch, result)).await;
            });
        }
        for order in rest {
            match order {
                Order::Advise { task, workers } => {
                    self.advise(shard, token, task, workers, &address);
                }
                Order::Move { job, spec } => self.pass_on(shard, token, job, &spec, &address),
                // Workers have got theirs.
                Order::Start { .. } | Order::Stop { .. } | Order::Pace { .. } => {}
            }
        }
    }

    /// Passes a job on to the shard where least is asked for.
    fn pass_on(
        &self,
        shard: &str,
        token: u64,
        job: JobId,
        spec: &JobSpec,
        address: &Address<Self>,
    ) {
        let view = self.view.load();
        let target = view.choose_shard("", spec);
        let ver = self.leading.get(shard).map(|l| l.ver);
        let to = address.clone();
        let from = shard.to_owned();
        let there = view.leaders.get(&target).filter(|_| target != shard);
        let (Some(ver), Some(there)) = (ver, there) else {
            tokio::spawn(async move { tell(&to, Event::Moved(from, token, job, false)).await });
            return;
        };
        let tx = names::pass_on((&from, ver), (&target, there.token, there.ver), job, spec);
        let store = self.store.clone();
        let mut unclear = false;
        tokio::spawn(async move {
            // A write without a reply may still take effect: only an answer settles it.
            let mut backoff = Backoff::new();
            let result = loop {
                match store.tx(&tx).await {
                    Ok(outcome) => break Ok(outcome),
                    Err(StoreError::Undone) if !unclear => break Err(StoreError::Undone),
                    Err(e) => unclear |= e != StoreError::Undone,
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            };
            log::info!("lead: job={job} shard={from} passed on to {target}: {result:?}.");
            let moved = matches!(result, Ok(Outcome::Applied(_)));
            tell(&to, Event::Moved(from, token, job, moved)).await;
        });
    }

    /// Passes the cancellation of a job on, which was itself passed on to another shard.
    fn forward_cancel(&self, shard: &str, job: JobId) {
        let store = self.store.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let mut backoff = Backoff::new();
            loop {
                let forwarded = takeover::forward_cancel(&store, &shard, job).await;
                match forwarded {
                    Ok(to) => {
                        break log::info!("lead: job={job} shard={shard} cancel goes to {to:?}.");
                    }
                    Err(e) => log::warn!("lead: job={job} cancel is not passed on yet: {e}."),
                }
                let wait = backoff.next(&mut rand::rng());
                sleep(wait).await;
            }
        });
    }

    fn advise(
        &self,
        shard: &str,
        token: u64,
        task: TaskName,
        workers: Vec<String>,
        address: &Address<Self>,
    ) {
        let Some(advice) = self.advice.clone() else {
            log::warn!("jobs: task={task} needs an approval, and no service is set that gives it.");
            return;
        };
        let to = address.clone();
        let shard = shard.to_owned();
        tokio::spawn(async move {
            let out = worker_wire::advise(task, &workers);
            let sent = Instant::now();
            let reply = advice.exchange(out, ADVICE_LIMIT).await;
            let Ok(reply) = reply.inspect_err(|e| log::info!("jobs: task={task} advice: {e}."))
            else {
                return;
            };
            match worker_wire::read_advice(&reply.body) {
                Ok((rows, valid_ms)) if reply.status.is_success() => {
                    let valid = Duration::from_millis(valid_ms).saturating_sub(sent.elapsed());
                    tell(&to, Event::Advised(shard, token, task, rows, valid)).await;
                }
                _ => log::info!("jobs: task={task} advice: status={}.", reply.status),
            }
        });
    }

    fn written(
        &mut self,
        shard: &str,
        batch: Batch,
        result: &Result<Outcome, StoreError>,
        now: Instant,
    ) {
        let Some(leading) = self.leading.get_mut(shard) else {
            return;
        };
        if !leading.written(batch, result, now) {
            self.give_up(shard, "another instance leads it");
            if let Some(lease) = self.leases.get_mut(shard) {
                lease.leader = None;
            }
        }
    }

    fn expire(&mut self) {
        let keep = self.settings.keep + EXPIRY_RESERVE;
        let before = self.unix_ms().saturating_sub(keep.as_millis() as u64);
        for leading in self.leading.values_mut() {
            if let Some(tx) = leading.expired(before) {
                let store = self.store.clone();
                tokio::spawn(async move {
                    if let Err(e) = store.tx(&tx).await {
                        log::warn!("lead: old rows are not dropped: {e}.");
                    }
                });
            }
        }
    }

    /// Tells peers of this instance, if it is time or if `now_all`.
    fn beat(&mut self, now: Instant, now_all: bool) {
        let leads = !self.leading.is_empty();
        let due = |peer: &Peer, zone: &str| {
            // Whoever follows must notice the silence of a leader soon, wherever it is.
            let gap = if leads || peer.zone == zone {
                LOCAL_BEAT
            } else {
                REMOTE_BEAT
            };
            let lost = now.duration_since(peer.heard.unwrap_or(peer.known)) > PEER_MEMORY;
            let gap = if lost { PEER_MEMORY / 6 } else { gap };
            peer.beaten.is_none_or(|at| now.duration_since(at) >= gap)
        };
        let zone = &self.settings.zone;
        if !now_all && !self.peers.values().any(|p| due(p, zone)) {
            return;
        }
        let leads = self.leading.values().map(|leading| {
            let mut pending: Vec<_> = leading.shard.pending().into_iter().collect();
            pending.sort();
            let loads = leading.shard.loads().into_iter();
            pending.truncate(MOST_QUEUES / self.leading.len().max(1));
            Lead {
                shard: leading.name.clone(),
                token: leading.token,
                ver: leading.ver,
                loads: loads.map(|(s, l)| (s, l.kept, l.filling)).collect(),
                pending,
            }
        });
        let taking = self.leases.iter().filter(|(_, lease)| lease.trying);
        let beat = Beat {
            name: self.settings.name.clone(),
            zone: zone.clone(),
            incarnation: self.incarnation,
            address: self.settings.peers,
            config: self.queues.as_ref().map_or(0, |q| q.version),
            store_ok: self.store.is_in_reach(),
            ending: self.ending,
            taking: taking.map(|(shard, _)| shard.clone()).collect(),
            leads: leads.collect(),
        };
        let buf = match beat.encode() {
            Ok(buf) => buf,
            Err(e) => {
                log::error!("peers: {e}.");
                return;
            }
        };
        for peer in self.peers.values_mut() {
            if now_all || due(peer, zone) {
                peer.beaten = Some(now);
                // A beat may be lost on the way as well.
                let _ = self.socket.send_to(&buf, peer.address);
            }
        }
    }

    fn heard(&mut self, beat: Beat, now: Instant) {
        if beat.name == self.settings.name {
            return;
        }
        let new = !self.peers.contains_key(&beat.name);
        let peer = self.peers.entry(beat.name.clone()).or_insert_with(|| Peer {
            zone: beat.zone.clone(),
            address: beat.address,
            heard: None,
            known: now,
            beaten: None,
        });
        peer.heard = Some(now);
        peer.address = beat.address;
        if new {
            log::info!("peers: {} at {} is new.", beat.name, beat.address);
        }
        let before = self.heard.insert(
            beat.name.clone(),
            PeerView {
                zone: beat.zone,
                incarnation: beat.incarnation,
                heard: now,
                store_ok: beat.store_ok,
                ending: beat.ending,
            },
        );
        if before.is_some_and(|p| p.incarnation != beat.incarnation) {
            log::info!("peers: {} runs anew.", beat.name);
        }
        for shard in beat.taking {
            if let Some(lease) = self.leases.get_mut(&shard) {
                // Whoever began first is let alone for a while.
                lease.not_before = lease.not_before.max(Some(now + RIVAL_PAUSE));
            }
        }
        for lead in beat.leads {
            let Some(lease) = self.leases.get_mut(&lead.shard) else {
                continue;
            };
            if lead.token < lease.token {
                continue;
            }
            lease.token = lead.token;
            lease.leader = Some((beat.name.clone(), beat.incarnation));
            lease.led = Some(now);
            let loads = lead.loads.into_iter();
            let loads = loads.map(|(s, kept, filling)| (s, ServiceLoad { kept, filling }));
            lease.view = Some(LeaderView {
                name: beat.name.clone(),
                address: beat.address,
                token: lead.token,
                ver: lead.ver,
                heard: now,
                loads: loads.collect(),
                pending: lead.pending.into_iter().collect(),
            });
            let deposed = self
                .leading
                .get(&lead.shard)
                .is_some_and(|l| l.token < lead.token);
            if deposed {
                self.leading.remove(&lead.shard);
                self.metrics.leads.set(self.leading.len() as i64);
                log::info!("lead: shard={} lost to {}.", lead.shard, beat.name);
            }
        }
    }

    fn list(&mut self, whole: bool, entries: Vec<(String, Option<WorkerInfo>)>, now: Instant) {
        let before = self.workers.clone();
        if whole {
            self.workers.clear();
        }
        for (id, entry) in entries {
            match entry {
                Some(info) => drop(self.workers.insert(id, info)),
                None => drop(self.workers.remove(&id)),
            }
        }
        if self.workers == before {
            return;
        }
        let mut labels: HashMap<String, HashMap<String, Vec<String>>> = HashMap::default();
        for worker in self.workers.values() {
            let of_service = labels.entry(worker.service.clone()).or_default();
            let Some(shard) = self.settings.shard_of(&worker.zone) else {
                continue;
            };
            let of_shard = of_service.entry(shard.to_owned()).or_default();
            for label in &worker.labels {
                if !of_shard.contains(label) {
                    of_shard.push(label.clone());
                }
            }
        }
        self.labels = Arc::new(labels);
        let shards: Vec<_> = self.leading.keys().cloned().collect();
        for shard in shards {
            if let Some(leading) = self.leading.get_mut(&shard) {
                leading.list(&self.workers, now);
            }
            self.drive(&shard, now);
        }
    }

    fn known(
        &mut self,
        instances: Vec<(String, String, SocketAddr)>,
        leases: Vec<(String, String, u64)>,
        now: Instant,
    ) {
        for (name, zone, address) in instances {
            if name == self.settings.name {
                continue;
            }
            let peer = Peer {
                zone,
                address,
                heard: None,
                known: now,
                beaten: None,
            };
            self.peers.entry(name).or_insert(peer);
        }
        for (shard, holder, incarnation) in leases {
            if let Some(lease) = self.leases.get_mut(&shard)
                && lease.leader.is_none()
            {
                lease.leader = Some((holder, incarnation));
            }
        }
        self.beat(now, true);
    }

    /// Publishes what the traffic threads need to know.
    fn publish(&mut self, now: Instant) {
        let mut leaders = HashMap::default();
        for (shard, lease) in &self.leases {
            if let Some(leading) = self.leading.get(shard) {
                let view = LeaderView {
                    name: self.settings.name.clone(),
                    address: self.settings.peers,
                    token: leading.token,
                    ver: leading.ver,
                    heard: now,
                    loads: leading.shard.loads(),
                    pending: leading.shard.pending(),
                };
                leaders.insert(shard.clone(), view);
            } else if let Some(view) = &lease.view
                && now.duration_since(view.heard) < LEADER_MEMORY
            {
                leaders.insert(shard.clone(), view.clone());
            }
        }
        let ready = self.queues.is_some()
            && self.store.is_in_reach()
            && !self.ending
            && !leaders.is_empty();
        let before = self.view.load().ready;
        if before != ready {
            log::info!("entry: ready={ready}.");
        }
        for (shard, leading) in &mut self.leading {
            let others = leaders.iter().filter(|(name, _)| *name != shard);
            let mut least: HashMap<String, ServiceLoad> = HashMap::default();
            for (_, leader) in others {
                for (service, load) in &leader.loads {
                    let known = least.entry(service.clone()).or_insert(*load);
                    known.kept = known.kept.min(load.kept);
                    known.filling = known.filling.min(load.filling);
                }
            }
            leading.shard.set_elsewhere(least);
        }
        self.view.store(Arc::new(View {
            queues: self.queues.clone(),
            leaders,
            labels: self.labels.clone(),
            ready,
            ending: self.ending,
        }));
    }

    fn led(&mut self, shard: &str, token: u64) -> Option<&mut Leading> {
        let leading = self.leading.get_mut(shard)?;
        (leading.token == token).then_some(leading)
    }

    fn answered(&mut self, shard: &str, token: u64, answered: &Answered, now: Instant) {
        let Some(leading) = self.led(shard, token) else {
            return;
        };
        match &answered.order {
            Order::Start {
                worker,
                task,
                attempt,
                ..
            } => leading
                .shard
                .started(worker, *task, *attempt, answered.answer, now),
            Order::Stop {
                worker,
                task,
                attempt,
                ..
            } => leading
                .shard
                .stopped(worker, *task, *attempt, answered.answer, now),
            Order::Pace { .. } | Order::Advise { .. } | Order::Move { .. } => {}
        }
        if answered.answer == Answer::Fenced {
            self.give_up(shard, "a worker knows a higher token");
        }
    }

    fn take_in(&mut self, event: Event) {
        let now = self.clock.now();
        let unix_ms = self.unix_ms();
        match event {
            Event::Tick => self.tick(),
            Event::Beat(beat) => self.heard(beat, now),
            Event::Config(queues) => {
                let version = self.queues.as_ref().map_or(0, |q| q.version);
                if queues.version > version {
                    log::info!(
                        "config: version={} queues={}.",
                        queues.version,
                        queues.queues.len()
                    );
                    self.queues = Some(Arc::new(queues));
                    self.publish(now);
                }
            }
            Event::Workers { whole, entries } => self.list(whole, entries, now),
            Event::Known { instances, leases } => self.known(instances, leases, now),
            Event::Taken(shard, result) => self.taken(&shard, result, now),
            Event::Jobs(shard, token, rows) => {
                if let Some(leading) = self.led(&shard, token) {
                    let Some(unknown) = leading.job_rows(&rows, now, unix_ms) else {
                        self.give_up(&shard, "a job was accepted for a later leader");
                        return;
                    };
                    for job in unknown {
                        self.forward_cancel(&shard, job);
                    }
                    self.drive(&shard, now);
                }
            }
            Event::Report(shard, token, worker, report, sent) => {
                if let Some(leading) = self.led(&shard, token) {
                    leading.shard.reported(&worker, &report, sent, now, unix_ms);
                    self.drive(&shard, now);
                }
            }
            Event::Answered(shard, token, answered) => {
                self.answered(&shard, token, &answered, now);
                if answered.answer != Answer::Ok {
                    self.drive(&shard, now);
                }
            }
            Event::Advised(shard, token, task, rows, valid) => {
                if let Some(leading) = self.led(&shard, token) {
                    leading.shard.advised(task, &rows, valid, now);
                    self.drive(&shard, now);
                }
            }
            Event::Replaced(shard, token) => {
                if self.led(&shard, token).is_some() {
                    self.give_up(&shard, "the store shows another leader");
                }
            }
            Event::Wake(shard, token) => {
                if let Some(leading) = self.led(&shard, token) {
                    leading.waking = false;
                    self.drive(&shard, now);
                }
            }
            Event::StoreBeat(shard, beat) => {
                if let Some(lease) = self.leases.get_mut(&shard)
                    && (lease.beat != beat || lease.store_beat.is_none())
                {
                    lease.beat = beat;
                    lease.store_beat = Some(now);
                }
            }
            Event::Moved(shard, token, job, moved) => {
                if let Some(leading) = self.led(&shard, token) {
                    leading.shard.moved(job, moved, now);
                }
            }
            Event::Written(shard, token, batch, result) => {
                if self.led(&shard, token).is_some() {
                    self.written(&shard, batch, &result, now);
                    self.drive(&shard, now);
                }
            }
            Event::End => {
                log::info!("entry: the end begins, leads={}.", self.leading.len());
                self.ending = true;
                for leading in self.leading.values_mut() {
                    leading.shard.stop_starting();
                }
                self.tick();
            }
        }
    }
}

impl Handler<Event> for Control {
    type Return = ();

    async fn handle(&mut self, event: Event, _: &mut xtra::Context<Self>) {
        self.take_in(event);
    }
}

impl Handler<AskReport> for Control {
    type Return = Option<Ask>;

    async fn handle(&mut self, ask: AskReport, _: &mut xtra::Context<Self>) -> Option<Ask> {
        let now = self.clock.now();
        let AskReport(shard, token, worker) = ask;
        self.led(&shard, token)?.ask(&worker, now)
    }
}

impl Handler<AskState> for Control {
    type Return = Option<JobState>;

    async fn handle(&mut self, ask: AskState, _: &mut xtra::Context<Self>) -> Option<JobState> {
        let AskState(shard, job) = ask;
        self.leading.get(&shard)?.shard.state(job)
    }
}

impl Handler<AskEnded> for Control {
    type Return = bool;

    async fn handle(&mut self, _: AskEnded, _: &mut xtra::Context<Self>) -> bool {
        self.ending && self.leading.is_empty()
    }
}

/// Sends an event to the control thread.
pub async fn tell(address: &Address<Control>, event: Event) {
    // It fails only when the process ends.
    let _ = address.send(event).detach().await;
}

/// Returns the time of day, in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

fn config_events(seen: Seen) -> Vec<Event> {
    let (Seen::All(rows) | Seen::Changed(rows)) = seen;
    let configs = rows
        .iter()
        .filter(|row| row.name.key == operator::CONFIG_KEY && !row.dropped);
    let events = configs.filter_map(|row| match operator::read_config(&row.value) {
        Ok(queues) => Some(Event::Config(queues)),
        Err(e) => {
            log::error!("config: ver={}: {e}.", row.ver);
            None
        }
    });
    events.collect()
}

fn worker_event(seen: Seen) -> Event {
    let whole = matches!(seen, Seen::All(_));
    let (Seen::All(rows) | Seen::Changed(rows)) = seen;
    let entry = |row: &Row| {
        let id = row.name.key.clone();
        if row.dropped {
            return (id, None);
        }
        let info = worker_wire::read_entry(&id, &row.value);
        let info = info.inspect_err(|e| log::warn!("list: worker={id} is passed over: {e}."));
        (id, info.ok())
    };
    Event::Workers {
        whole,
        entries: rows.iter().map(entry).collect(),
    }
}

/// Writes this instance into the store and reads who else is there.
async fn introduce(store: &Store, settings: &Settings, to: &Address<Control>) {
    let row = InstanceRow {
        zone: settings.zone.clone(),
        address: settings.peers,
    };
    let key = RowKey::new(names::INSTANCES, "", &settings.name);
    let tx = Tx {
        // Plain data always encodes.
        puts: vec![(key, postcard::to_stdvec(&row).unwrap_or_default())],
        ..Tx::default()
    };
    let mut backoff = Backoff::new();
    while let Err(e) = store.tx(&tx).await {
        log::warn!("peers: this instance is not written yet: {e}.");
        let wait = backoff.next(&mut rand::rng());
        sleep(wait).await;
    }
    loop {
        match read_known(store, settings).await {
            Ok(event) => break tell(to, event).await,
            Err(e) => log::warn!("peers: the instances are not read yet: {e}."),
        }
        let wait = backoff.next(&mut rand::rng());
        sleep(wait).await;
    }
}

async fn read_known(store: &Store, settings: &Settings) -> Result<Event, StoreError> {
    let range = Range {
        table: names::INSTANCES,
        part: "",
        from: "",
        to: "",
    };
    let page = store.range(&range).await?;
    let read = |row: Row| {
        let read = postcard::from_bytes::<InstanceRow>(&row.value);
        let read = read.inspect_err(|e| log::error!("peers: row={}: {e}.", row.name));
        read.ok().map(|r| (row.name.key, r.zone, r.address))
    };
    let instances = page.rows.into_iter().filter_map(read).collect();
    let mut leases = Vec::new();
    for shard in &settings.shards {
        let (row, ver) = takeover::read_lease(store, &shard.name).await?;
        if ver > 0 {
            leases.push((shard.name.clone(), row.holder, row.incarnation));
        }
    }
    Ok(Event::Known { instances, leases })
}
