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

/// The interval at which the actor checks for due work.
pub const TICK: Duration = Duration::from_millis(50);

/// The interval between two probes of each member of this domain, before jitter shortens it.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The interval between two rounds of probes to other domains, before jitter shortens it.
const OTHER_DOMAIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two reads of the ownership row.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum age of the newest successful read; with an older one, ownership is not changed.
const MAX_READ_AGE: Duration = Duration::from_secs(2);

/// How long a write of the ownership row is retried while its outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// The settings of the control actor.
pub struct ControlConfig {
    /// This instance as a member of its domain.
    pub me: Member,
    /// The failure domain of this instance.
    pub domain: Domain,
    /// Peer addresses from the settings, used while no other member of the domain is known.
    pub seeds: Vec<SocketAddr>,
    /// The local address of outgoing connections; the system chooses one if absent.
    pub local_ip: Option<IpAddr>,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// The time limits of the ownership rules.
    pub timing: Timing,
}

/// The actor that owns the control state.
#[derive(xtra::Actor)]
pub struct Control {
    domain: Domain,
    clock: Arc<dyn Clock>,
    ownership: Ownership,
    newest_config: NewestConfig,
    instance_list: Arc<InstanceList>,
    members: Members,
    workers: Workers,
    reader: PlatformReader,
    table: Table,
    directory: Arc<ArcSwap<Directory>>,
    confirmation: Arc<OwnershipConfirmation>,
    metrics: Arc<Metrics>,
    commit_in_flight: bool,
    /// The row version that an ownership write with unknown outcome replaces; the write may still
    /// take effect. `None` if there is no such write.
    unresolved_base: Option<Version>,
    /// Whether this instance announces to peers, in each datagram, that it accepts no more offers.
    shutting_down: bool,
    /// Whether this instance was asked to leave its domain.
    leave_requested: bool,
    /// Whether this instance has written an ownership row without itself.
    has_left: bool,
    /// Whether ownership was confirmed when the directory was last published.
    was_confirmed: bool,
    next_probe: Instant,
    next_other_domain_probe: Instant,
    next_read: Instant,
}

/// Runs the work that is due; sent every [`TICK`].
pub struct Tick;

/// A datagram that was received from a peer.
pub struct DatagramReceived(pub Datagram);

/// A configuration that this instance has just written to the platform.
pub struct ObserveConfig(pub VersionedConfig);

/// Announces to all peers that this instance is shutting down.
pub struct AnnounceShutdown;

/// Requests that this instance leave its domain; the reply is whether it has left.
pub struct Leave;

/// Requests a description of the control state, in JSON, for operators.
pub struct GetStatus;

/// The result of a read of the platform, which was started at `sent`.
pub(super) struct ReadDone {
    pub(super) sent: Instant,
    pub(super) result: Result<PlatformView, TableError>,
}

/// The rows and lists that one read of the platform returned.
pub(super) struct PlatformView {
    /// The version of the newest known ownership row when the read was sent.
    pub(super) known_row_version: Version,
    /// The ownership row and its version, if newer than `known_row_version`.
    pub(super) row: Option<(Version, Arc<DomainRow>)>,
    /// The configuration, if it was read and is newer than the one in force.
    pub(super) config: Option<VersionedConfig>,
    /// The instance list, if it was read and has changed since the last read.
    pub(super) list: Option<TaggedInstanceList>,
    /// The members of all other domains; empty if they were not read.
    pub(super) other_domains: Vec<(Domain, Member)>,
}

/// The result of writing `row` over version `base` of the ownership row.
struct CommitDone {
    base: Version,
    row: Arc<DomainRow>,
    result: Result<CommitOutcome, TableError>,
}

/// A peer's reply to a snapshot request.
pub(super) struct SnapshotReceived(pub(super) Snapshot);

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
        /// The number of slots of each worker until a configuration is in force.
        const SLOTS_WITHOUT_CONFIG: u32 = 0;
        let now = clock.now();
        let table = Table::new(&cfg.platform_url, cfg.platform_timeout, cfg.local_ip);
        let reader = PlatformReader::new(&cfg, table.clone());
        let members = Members::new(&cfg, socket, metrics.clone());
        Self {
            domain: cfg.domain,
            ownership: Ownership::new(cfg.me, cfg.domain, cfg.timing, SLOTS_WITHOUT_CONFIG),
            newest_config: NewestConfig::default(),
            instance_list: Arc::default(),
            members,
            workers: Workers::new(cfg.domain, cfg.local_ip, confirmation.clone()),
            reader,
            table,
            directory,
            confirmation,
            metrics,
            clock,
            commit_in_flight: false,
            unresolved_base: None,
            shutting_down: false,
            leave_requested: false,
            has_left: false,
            was_confirmed: false,
            next_probe: now,
            next_other_domain_probe: now,
            next_read: now,
        }
    }

    fn tick(&mut self, address: &Address<Self>) {
        let now = self.clock.now();
        let known_versions = KnownVersions {
            row: self.ownership.version(),
            config: self.newest_config.version(),
        };
        if now >= self.next_read && self.reader.start(address, known_versions, now) {
            self.next_read = now + READ_INTERVAL;
        }
        if now >= self.next_probe {
            self.next_probe = now + jittered(PROBE_INTERVAL);
            self.members
                .probe_same_domain(&self.ownership, &self.header(), now);
        }
        if now >= self.next_other_domain_probe {
            self.next_other_domain_probe = now + jittered(OTHER_DOMAIN_PROBE_INTERVAL);
            if self.shutting_down {
                self.members.probe_all(&self.header(), now);
            }
            self.members.probe_other_domains(&self.header(), now);
            self.members
                .request_snapshot(address, self.domain, self.newest_config.version());
        }
        self.change_ownership(address, now);
        self.workers.close_idle(now);
        self.publish(now);
    }

    /// Returns a datagram that states this instance's versions, leaving workers and shutdown; its
    /// message is a placeholder that [`Members::send`] replaces.
    fn header(&self) -> Datagram {
        Datagram {
            sender: self.members.sender().clone(),
            config_version: self.newest_config.version(),
            row_version: self.ownership.version(),
            shutting_down: self.shutting_down,
            leaving_workers: self.workers.listed_leaving_workers(),
            message: Message::Probe { nonce: 0 },
        }
    }

    /// Starts the next change of the ownership row that the ownership rules require, if any.
    fn change_ownership(&mut self, address: &Address<Self>, now: Instant) {
        let has_fresh_read = self.reader.is_fresh(now, MAX_READ_AGE);
        if self.commit_in_flight
            || self.has_left
            || !has_fresh_read
            || self.newest_config.get().is_none()
        {
            return;
        }
        let workers = &self.workers;
        let slot_usage = |worker| workers.slot_usage(worker);
        let action = if self.leave_requested {
            self.ownership.leave_action(now, slot_usage)
        } else {
            if self.unresolved_base.is_none() {
                self.ownership.cancel_releases();
            }
            let listed = workers.listed_workers();
            let gone = gone_instance_names(&self.instance_list);
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
        log::info!("owner: writing the row for {reason} over {base}.");
        self.commit_in_flight = true;
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

    /// Applies an ownership row if it is newer than the known one.
    fn observe_row(&mut self, version: Version, row: &Arc<DomainRow>, now: Instant) {
        if !self.ownership.observe_row(version, row.clone(), now) {
            return;
        }
        log::info!("owner: row {version} has {} members.", row.members.len());
        self.clear_resolved_base();
    }

    /// Clears `unresolved_base` once a row newer than that version was read: the write can't take
    /// effect any more.
    fn clear_resolved_base(&mut self) {
        let is_resolved = |base| self.ownership.version() > base;
        if self.unresolved_base.is_some_and(is_resolved) {
            self.unresolved_base = None;
        }
    }

    /// Puts a configuration in force if it is newer than the current one.
    fn observe_config(&mut self, observed: VersionedConfig) {
        let slots = observed.config.worker.slots;
        let version = observed.version;
        if !self.newest_config.observe(observed) {
            return;
        }
        log::info!("config: configuration {version} is in force.");
        self.ownership.set_slots(slots);
        // The next tick sends probes, which carry the new version to the peers.
        self.next_probe = self.clock.now();
        self.next_other_domain_probe = self.next_probe;
    }

    fn observe_list(&mut self, list: InstanceList) {
        self.workers.observe_list(&list);
        self.instance_list = Arc::new(list);
    }

    /// Extends the confirmation of ownership and publishes a new directory.
    fn publish(&mut self, now: Instant) {
        if let Some(confirmed_until) = self.ownership.confirmed_until() {
            self.confirmation.extend(confirmed_until);
        }
        let confirmed = self.confirmation.is_valid(now);
        if confirmed != self.was_confirmed {
            self.was_confirmed = confirmed;
            log::warn!("owner: ownership confirmed={confirmed}.");
        }
        self.workers.apply_ownership(&self.ownership, now);
        let (same_domain, other_domains) = self.members.peers(&self.ownership, now);
        self.directory.store(Arc::new(Directory {
            config: self.newest_config.get().cloned(),
            pools: self.workers.pools(),
            workers: self.workers.handles(),
            same_domain,
            other_domains,
            row: (self.ownership.version(), self.ownership.row().clone()),
            list: self.instance_list.clone(),
        }));
        self.export_metrics(confirmed);
    }

    fn export_metrics(&self, confirmed: bool) {
        let me = self.ownership.me().incarnation;
        let count_value = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let version_value = |v: Version| i64::try_from(v.0).unwrap_or(i64::MAX);
        let owned = self.ownership.row().whole_count(me);
        self.metrics.confirmed.set(confirmed.into());
        self.metrics.workers_owned.set(count_value(owned));
        self.metrics
            .row_version
            .set(version_value(self.ownership.version()));
        self.metrics
            .config_version
            .set(version_value(self.newest_config.version()));
    }

    /// Handles the message of a datagram whose sender's state is already recorded.
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
                let reply = Message::ProbeReply { nonce, confirms };
                self.members
                    .send(&self.header(), reply, datagram.sender.peer_address);
            }
            Message::ProbeReply { nonce, confirms } => {
                self.members
                    .on_probe_reply(&mut self.ownership, from, nonce, confirms, now);
            }
            Message::RequestPromise { request } => {
                if self.ownership.give_promise(request.into(), now) {
                    log::warn!("owner: gave member {from} the requested promise {request:?}.");
                    let promise = Message::Promise { request };
                    self.members
                        .send(&self.header(), promise, datagram.sender.peer_address);
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
        self.workers.mark_leaving(&datagram.leaving_workers);
        let same_domain = datagram.sender.domain == self.domain;
        let newer_row = same_domain && datagram.row_version > self.ownership.version();
        if newer_row || datagram.config_version > self.newest_config.version() {
            // The peer has newer data: the next tick reads the platform, and the next snapshot is
            // requested from the peer.
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
        let is_up = done.result.is_ok();
        let availability_changed = self.reader.finish(done.sent, is_up);
        self.metrics.platform_up.set(is_up.into());
        match done.result {
            Ok(view) => {
                if availability_changed {
                    log::info!("platform: reads succeed.");
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
                let version = view
                    .row
                    .map_or(view.known_row_version, |(version, _)| version);
                self.ownership.confirm_read(done.sent, version);
                self.members.observe_other_domains(view.other_domains);
            }
            Err(e) if availability_changed => log::warn!("platform: reads fail: {e}."),
            Err(_) => {}
        }
        self.publish(now);
    }
}

impl Handler<CommitDone> for Control {
    type Return = ();

    async fn handle(&mut self, done: CommitDone, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.commit_in_flight = false;
        self.next_read = now;
        match done.result {
            Ok(CommitOutcome::Applied) => {
                let me = self.ownership.me().incarnation;
                self.has_left = self.leave_requested && !done.row.is_member(me);
                self.observe_row(Version(done.base.0 + 1), &done.row, now);
            }
            Ok(outcome) => log::info!(
                "owner: the write over {} conflicted with another write: {outcome:?}.",
                done.base
            ),
            Err(e) => {
                log::warn!(
                    "owner: the write over {} failed or its outcome is unknown: {e}.",
                    done.base
                );
                if !e.is_unwritten() {
                    self.unresolved_base = Some(done.base);
                }
            }
        }
        self.clear_resolved_base();
        self.publish(now);
    }
}

impl Handler<SnapshotReceived> for Control {
    type Return = ();

    async fn handle(
        &mut self,
        SnapshotReceived(snapshot): SnapshotReceived,
        _: &mut Context<Self>,
    ) {
        let now = self.clock.now();
        if let Some((version, config)) = snapshot.config {
            let config = Arc::new(config);
            self.observe_config(VersionedConfig { version, config });
        }
        if let Some((version, row)) = snapshot.row {
            self.observe_row(version, &Arc::new(row), now);
        }
        if let Some(list) = snapshot.list
            && self.instance_list.workers.is_empty()
            && let Ok(list) = serde_json::from_str(&list)
        {
            self.observe_list(list);
        }
        self.publish(now);
    }
}

impl Handler<ObserveConfig> for Control {
    type Return = ();

    async fn handle(&mut self, ObserveConfig(observed): ObserveConfig, _: &mut Context<Self>) {
        self.observe_config(observed);
        self.publish(self.clock.now());
    }
}

impl Handler<AnnounceShutdown> for Control {
    type Return = ();

    async fn handle(&mut self, _: AnnounceShutdown, _: &mut Context<Self>) {
        self.shutting_down = true;
        self.members.probe_all(&self.header(), self.clock.now());
    }
}

impl Handler<Leave> for Control {
    type Return = bool;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> bool {
        self.leave_requested = true;
        let me = self.ownership.me().incarnation;
        self.has_left || !self.ownership.row().is_member(me)
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
            "platform_up": self.reader.is_fresh(now, MAX_READ_AGE),
            "config_version": self.newest_config.version(),
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

/// Returns the names of the entry instances that have ended permanently.
fn gone_instance_names(list: &InstanceList) -> Vec<String> {
    let gone = list.entries.iter().filter(|e| e.state == Liveness::Gone);
    gone.map(|e| e.name.clone()).collect()
}

/// Shortens an interval by a random part of up to 20 %, so that instances do not probe at the same
/// times.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.8..1.0))
}
