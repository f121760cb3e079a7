//! The control actor and its messages.

use {
    super::{
        members::Members,
        platform::{KnownVersions, PlatformReader},
        workers::Workers,
    },
    crate::{directory::Directory, metrics::Metrics},
    arc_swap::ArcSwap,
    marigoldbend::{
        core::{
            admission::OwnershipConfirmation,
            clock::Clock,
            config::{NewestConfig, VersionedConfig},
            ids::{Domain, Version},
            ownership::{Action, DomainRow, Member, Ownership, Timing},
        },
        peer::{
            call::Snapshot,
            datagram::{Datagram, Message},
        },
        platform::{
            instances::TaggedInstanceList,
            table::{CommitOutcome, Table, TableError},
            wire::{Commit, InstanceList, Liveness},
        },
    },
    rand::RngExt,
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::UdpSocket,
    xtra::prelude::*,
};

/// The time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(50);

/// The time between two probes of the domain's members.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The time between two probes of other domains.
const OTHER_DOMAIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two reads of the ownership row.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The age of the newest read up to which ownership may be changed.
const FRESH_READ: Duration = Duration::from_secs(2);

/// How long an ownership write is tried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// What the control actor is made of.
pub struct ControlConfig {
    /// This instance as a member of its domain.
    pub me: Member,
    /// Its failure domain.
    pub domain: Domain,
    /// Peers to ask before the platform has told of any.
    pub seeds: Vec<SocketAddr>,
    /// The address that connections are made from.
    pub local_ip: Option<IpAddr>,
    /// The platform's address.
    pub platform_url: String,
    /// The time limit of a call to the platform.
    pub platform_timeout: Duration,
    /// The intervals of the ownership rules.
    pub timing: Timing,
}

/// The actor that owns the control state.
#[derive(xtra::Actor)]
pub struct Control {
    domain: Domain,
    clock: Arc<dyn Clock>,
    ownership: Ownership,
    newest: NewestConfig,
    list: Arc<InstanceList>,
    members: Members,
    workers: Workers,
    reader: PlatformReader,
    table: Table,
    directory: Arc<ArcSwap<Directory>>,
    confirmation: Arc<OwnershipConfirmation>,
    metrics: Arc<Metrics>,
    committing: bool,
    /// The version over which a write of unclear outcome may still take effect.
    unclear_base: Option<Version>,
    /// Whether peers are told to offer nothing more.
    ending: bool,
    leaving: bool,
    left: bool,
    was_confirmed: bool,
    next_probe: Instant,
    next_other_domain_probe: Instant,
    next_read: Instant,
}

/// Time has passed.
pub struct Tick;

/// A datagram has arrived.
pub struct DatagramReceived(pub Datagram);

/// A configuration was accepted by the platform.
pub struct ObserveConfig(pub VersionedConfig);

/// The instance begins to end: peers are told at once.
pub struct AnnounceShutdown;

/// The instance is to leave its domain; answers whether it has.
pub struct Leave;

/// Describes the state for operators.
pub struct GetStatus;

/// A read of the platform has ended.
pub(super) struct ReadDone {
    pub(super) sent: Instant,
    pub(super) result: Result<PlatformView, TableError>,
}

/// What one read of the platform brought.
pub(super) struct PlatformView {
    /// The version of the row that was known when the read was sent.
    pub(super) known: Version,
    /// The row, if it was newer.
    pub(super) row: Option<(Version, Arc<DomainRow>)>,
    pub(super) config: Option<VersionedConfig>,
    pub(super) list: Option<TaggedInstanceList>,
    pub(super) other_domains: Vec<(Domain, Member)>,
}

/// A write of the ownership row has ended.
struct CommitDone {
    base: Version,
    row: Arc<DomainRow>,
    result: Result<CommitOutcome, TableError>,
}

/// A peer has told what it knows.
pub(super) struct SnapshotDone(pub(super) Snapshot);

impl Control {
    /// Creates the actor; it does nothing before its first [`Tick`].
    pub fn new(
        cfg: ControlConfig,
        clock: Arc<dyn Clock>,
        socket: Arc<UdpSocket>,
        directory: Arc<ArcSwap<Directory>>,
        confirmation: Arc<OwnershipConfirmation>,
        metrics: Arc<Metrics>,
    ) -> Self {
        /// The slots of a worker before a configuration is known.
        const UNKNOWN_SLOTS: u32 = 0;
        let now = clock.now();
        let table = Table::new(&cfg.platform_url, cfg.platform_timeout, cfg.local_ip);
        let reader = PlatformReader::new(&cfg, table.clone());
        let members = Members::new(&cfg, socket, metrics.clone());
        Self {
            domain: cfg.domain,
            ownership: Ownership::new(cfg.me, cfg.domain, cfg.timing, UNKNOWN_SLOTS),
            newest: NewestConfig::default(),
            list: Arc::default(),
            members,
            workers: Workers::new(cfg.domain, cfg.local_ip, confirmation.clone()),
            reader,
            table,
            directory,
            confirmation,
            metrics,
            clock,
            committing: false,
            unclear_base: None,
            ending: false,
            leaving: false,
            left: false,
            was_confirmed: false,
            next_probe: now,
            next_other_domain_probe: now,
            next_read: now,
        }
    }

    fn tick(&mut self, address: &Address<Self>) {
        let now = self.clock.now();
        let known = KnownVersions {
            row: self.ownership.version(),
            config: self.newest.version(),
        };
        if now >= self.next_read && self.reader.start(address, known, now) {
            self.next_read = now + READ_INTERVAL;
        }
        if now >= self.next_probe {
            self.next_probe = now + jittered(PROBE_INTERVAL);
            self.members
                .probe_same_domain(&self.ownership, &self.header(), now);
        }
        if now >= self.next_other_domain_probe {
            self.next_other_domain_probe = now + jittered(OTHER_DOMAIN_PROBE_INTERVAL);
            if self.ending {
                self.members.probe_all(&self.header(), now);
            }
            self.members.probe_other_domains(&self.header(), now);
            self.members
                .request_snapshot(address, self.domain, self.newest.version());
        }
        self.change_ownership(address, now);
        self.workers.close_idle(now);
        self.publish(now);
    }

    /// Returns a datagram without its message.
    fn header(&self) -> Datagram {
        Datagram {
            sender: self.members.sender().clone(),
            config: self.newest.version(),
            row: self.ownership.version(),
            ending: self.ending,
            leaving: self.workers.leaving(),
            message: Message::Probe { nonce: 0 },
        }
    }

    fn change_ownership(&mut self, address: &Address<Self>, now: Instant) {
        let fresh = self.reader.is_fresh(now, FRESH_READ);
        if self.committing || self.left || !fresh || self.newest.get().is_none() {
            return;
        }
        let workers = &self.workers;
        let slot_usage = |worker| workers.slot_usage(worker);
        let action = if self.leaving {
            self.ownership.leave_action(now, slot_usage)
        } else {
            if self.unclear_base.is_none() {
                self.ownership.cancel_releases();
            }
            let listed = workers.listed();
            let gone = gone_entries(&self.list);
            self.ownership.next_action(now, &listed, &gone, slot_usage)
        };
        match action {
            Some(Action::Commit { base, row, reason }) => {
                self.start_commit(address, base, row, reason);
            }
            Some(Action::RequestPromises { request, members }) => {
                let header = self.header();
                self.members
                    .request_promises(&header, request, &members, now);
            }
            None => {}
        }
    }

    fn start_commit(
        &mut self,
        address: &Address<Self>,
        base: Version,
        row: DomainRow,
        reason: &'static str,
    ) {
        log::info!("owner: writing {reason} over {base}.");
        self.committing = true;
        let op = format!("owner-{:032x}", rand::rng().random::<u128>());
        let commit = Commit::new(op).write(row_key(self.domain), base, json!(row));
        let table = self.table.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let result = table.commit_until_known(&commit, COMMIT_TIMEOUT).await;
            let row = Arc::new(row);
            // The actor ends only with the process.
            let _ = address
                .send(CommitDone { base, row, result })
                .detach()
                .await;
        });
    }

    fn observe_row(&mut self, version: Version, row: &Arc<DomainRow>, now: Instant) {
        if !self.ownership.observe_row(version, row.clone(), now) {
            return;
        }
        log::info!("owner: row {version} has {} members.", row.members.len());
        self.settle_unclear();
    }

    /// Forgets an unclear write once the row has moved past it.
    fn settle_unclear(&mut self) {
        let settled = |base| self.ownership.version() > base;
        if self.unclear_base.is_some_and(settled) {
            self.unclear_base = None;
        }
    }

    fn observe_config(&mut self, seen: VersionedConfig) {
        let slots = seen.config.worker.slots;
        let version = seen.version;
        if !self.newest.observe(seen) {
            return;
        }
        log::info!("config: {version} is in force.");
        self.ownership.set_slots(slots);
        // Peers learn of it at once rather than at the next probe.
        self.next_probe = self.clock.now();
        self.next_other_domain_probe = self.next_probe;
    }

    fn observe_list(&mut self, list: InstanceList) {
        self.workers.observe_list(&list);
        self.list = Arc::new(list);
    }

    fn publish(&mut self, now: Instant) {
        if let Some(until) = self.ownership.confirmed_until() {
            self.confirmation.extend(until);
        }
        let confirmed = self.confirmation.is_valid(now);
        if confirmed != self.was_confirmed {
            self.was_confirmed = confirmed;
            log::warn!("owner: ownership confirmed={confirmed}.");
        }
        self.workers.apply(&self.ownership, now);
        let (same_domain, other_domains) = self.members.peers(&self.ownership, now);
        self.directory.store(Arc::new(Directory {
            config: self.newest.get().cloned(),
            pools: self.workers.pools(),
            workers: self.workers.handles(),
            same_domain,
            other_domains,
            row: (self.ownership.version(), self.ownership.row().clone()),
            list: self.list.clone(),
        }));
        self.export(confirmed);
    }

    fn export(&self, confirmed: bool) {
        let me = self.ownership.me().incarnation;
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let version = |v: Version| i64::try_from(v.0).unwrap_or(i64::MAX);
        let owned = self.ownership.row().whole_count(me);
        self.metrics.confirmed.set(confirmed.into());
        self.metrics.workers_owned.set(gauge(owned));
        self.metrics
            .row_version
            .set(version(self.ownership.version()));
        self.metrics
            .config_version
            .set(version(self.newest.version()));
    }

    fn on_message(&mut self, datagram: Datagram) {
        let now = self.clock.now();
        let from = datagram.sender.incarnation;
        match datagram.message {
            Message::Probe { nonce } => {
                let same_domain = datagram.sender.domain == self.domain;
                let ack = same_domain
                    .then(|| self.ownership.acknowledge(from, now))
                    .flatten();
                let confirms = ack.map(|ack| ack.version);
                let answer = Message::ProbeReply { nonce, confirms };
                self.members
                    .send(&self.header(), answer, datagram.sender.peer);
            }
            Message::ProbeReply { nonce, confirms } => {
                self.members
                    .on_probe_reply(&mut self.ownership, from, nonce, confirms, now);
            }
            Message::RequestPromise { request } => {
                if self.ownership.give_promise(request.into(), now) {
                    log::warn!("owner: gave {from} the word {request:?}.");
                    let promise = Message::Promise { request };
                    self.members
                        .send(&self.header(), promise, datagram.sender.peer);
                }
            }
            Message::Promise { request } => self.ownership.observe_promise(from, request.into()),
        }
    }
}

impl Handler<Tick> for Control {
    type Return = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self>) {
        if let Some(address) = cx.mailbox().address().try_upgrade() {
            self.tick(&address);
        }
    }
}

impl Handler<DatagramReceived> for Control {
    type Return = ();

    async fn handle(
        &mut self,
        DatagramReceived(datagram): DatagramReceived,
        _: &mut Context<Self>,
    ) {
        let now = self.clock.now();
        if datagram.sender.incarnation == self.ownership.me().incarnation {
            return;
        }
        self.members.observe(&datagram, now);
        self.workers.mark_leaving(&datagram.leaving);
        let same_domain = datagram.sender.domain == self.domain;
        let newer_row = same_domain && datagram.row > self.ownership.version();
        if newer_row || datagram.config > self.newest.version() {
            // Whatever a peer knows already is read without waiting for the next turn.
            self.next_read = now;
            self.members.schedule_snapshot(&datagram);
        }
        self.on_message(datagram);
    }
}

impl Handler<ReadDone> for Control {
    type Return = ();

    async fn handle(&mut self, done: ReadDone, _: &mut Context<Self>) {
        let now = self.clock.now();
        let up = done.result.is_ok();
        let changed = self.reader.finish(done.sent, up);
        self.metrics.platform_up.set(up.into());
        match done.result {
            Ok(view) => {
                if changed {
                    log::info!("platform: it answers.");
                }
                if let Some(listed) = view.list {
                    self.reader.set_list_tag(listed.tag);
                    self.observe_list(listed.list);
                }
                if let Some(config) = view.config {
                    self.observe_config(config);
                }
                if let Some((version, row)) = &view.row {
                    self.observe_row(*version, row, now);
                }
                let version = view.row.map_or(view.known, |(version, _)| version);
                self.ownership.confirm_read(done.sent, version);
                self.members.observe_other_domains(view.other_domains);
            }
            Err(e) if changed => log::warn!("platform: it does not answer: {e}."),
            Err(_) => {}
        }
        self.publish(now);
    }
}

impl Handler<CommitDone> for Control {
    type Return = ();

    async fn handle(&mut self, done: CommitDone, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.committing = false;
        self.next_read = now;
        match done.result {
            Ok(CommitOutcome::Applied) => {
                let me = self.ownership.me().incarnation;
                self.left = self.leaving && !done.row.is_member(me);
                self.observe_row(Version(done.base.0 + 1), &done.row, now);
            }
            Ok(outcome) => log::info!("owner: the write over {} lost: {outcome:?}.", done.base),
            Err(e) => {
                log::warn!("owner: the write over {} is unclear: {e}.", done.base);
                if !e.is_unwritten() {
                    self.unclear_base = Some(done.base);
                }
            }
        }
        self.settle_unclear();
        self.publish(now);
    }
}

impl Handler<SnapshotDone> for Control {
    type Return = ();

    async fn handle(&mut self, SnapshotDone(snapshot): SnapshotDone, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some((version, config)) = snapshot.config {
            let config = Arc::new(config);
            self.observe_config(VersionedConfig { version, config });
        }
        if let Some((version, row)) = snapshot.row {
            self.observe_row(version, &Arc::new(row), now);
        }
        if let Some(list) = snapshot.list
            && self.list.workers.is_empty()
            && let Ok(list) = serde_json::from_str(&list)
        {
            self.observe_list(list);
        }
        self.publish(now);
    }
}

impl Handler<ObserveConfig> for Control {
    type Return = ();

    async fn handle(&mut self, ObserveConfig(seen): ObserveConfig, _: &mut Context<Self>) {
        self.observe_config(seen);
        self.publish(self.clock.now());
    }
}

impl Handler<AnnounceShutdown> for Control {
    type Return = ();

    async fn handle(&mut self, _: AnnounceShutdown, _: &mut Context<Self>) {
        self.ending = true;
        self.members.probe_all(&self.header(), self.clock.now());
    }
}

impl Handler<Leave> for Control {
    type Return = bool;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> bool {
        self.leaving = true;
        let me = self.ownership.me().incarnation;
        self.left || !self.ownership.row().is_member(me)
    }
}

impl Handler<GetStatus> for Control {
    type Return = serde_json::Value;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> serde_json::Value {
        let now = self.clock.now();
        let me = self.ownership.me();
        let live: Vec<_> = self
            .ownership
            .live_members(now)
            .iter()
            .map(|m| m.name.clone())
            .collect();
        json!({
            "name": me.name,
            "incarnation": me.incarnation.to_string(),
            "domain": self.domain,
            "confirmed": self.confirmation.is_valid(now),
            "platform_up": self.reader.is_fresh(now, FRESH_READ),
            "config_version": self.newest.version(),
            "row_version": self.ownership.version(),
            "live_members": live,
            "members": self.ownership.row().members,
            "workers": self.workers.describe(&self.ownership, now),
        })
    }
}

/// Returns the key of a domain's ownership row.
pub(super) fn row_key(domain: Domain) -> String {
    format!("ownership/{}", domain.0)
}

fn gone_entries(list: &InstanceList) -> Vec<String> {
    let gone = list.entries.iter().filter(|e| e.state == Liveness::Gone);
    gone.map(|e| e.name.clone()).collect()
}

/// Spreads intervals, so that instances do not act in step.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.8..1.0))
}
