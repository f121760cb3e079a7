//! The control thread: peers, shard leadership, the configuration and the list of workers.

mod delegation;
mod effects;
mod evacuations;
mod events;
mod leadership;
mod peers;
mod publish;
mod restoring;
mod watches;

pub use events::{
    EvacuationUpdate, Event, GetEvacuations, GetJobState, GetLoan, GetPending, HasResignedAll,
    NextReportRequest, QueuedEvent, deliver_event, deliver_urgent_event, send_event,
};

use {
    crate::{
        commands::{CommandResult, ReportRequest},
        keys,
        metrics::Metrics,
        restoring_leader::RestoringLeader,
        settings::{Features, Settings},
        shard_leader::{Callbacks, ShardLeader},
        takeover::{self, KnownTokens, Lease, TakeoverError, TakeoverState, TakeoverStep},
        view::{LeaderView, View},
        watch::{self, CatchUp, Update, WatchEvent, WatchTarget},
    },
    arc_swap::ArcSwap,
    delegation::Delegation,
    marigoldbend_core::{
        clock::Clock,
        hash::{HashMap, HashSet},
        sched::{
            evacuation::{self, Source},
            job::{JobId, JobSpec, TaskName},
            leadership::{
                LeadershipView, LeaseRow, MAX_HEARTBEAT_DELAY, PeerView, RejectionCheck,
                TakeoverDelay, TakeoverReason, is_cut_off, is_majority, is_minority,
                is_unconfirmed, is_unwritten, takeover_reason,
            },
            progress::JobState,
            queues::Queues,
            shard::{Batch, Command, Params, ServiceLoad},
            worker::{CommandReply, Report, WorkerInfo},
        },
    },
    marigoldbend_http::connection::{ConnectionPool, TimeLimits},
    marigoldbend_peer::{
        call::DomainEvacuation,
        heartbeat::{Heartbeat, LedShard, Omissions, ShardOutlook},
    },
    marigoldbend_platform::{
        backoff::Backoff,
        rows::{Range, Row, RowKey, Tx, TxOutcome},
        store::{Store, StoreError},
    },
    marigoldbend_wire::{operator, store as wire, workers as worker_wire},
    serde::{Deserialize, Serialize},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{select, sync::Notify, time::sleep},
    xtra::prelude::*,
};

/// The interval of [`Event::Tick`], which drives heartbeats, leadership checks and led shards.
pub const TICK: Duration = Duration::from_millis(50);

/// How long a leader counts as reachable after its last heartbeat.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The gap between two ticks above which this process counts as stalled.
const STALL_THRESHOLD: Duration = MAX_HEARTBEAT_DELAY;

/// The interval of the summary log lines of the led shards.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);

/// The interval at which the rows of finished jobs are deleted.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Another instance, as discovered in the store or from its heartbeats.
#[derive(Debug)]
struct Peer {
    domain: String,
    address: SocketAddr,
    /// When the peer's last heartbeat arrived; `None` before the first.
    last_heard: Option<Instant>,
    discovered_at: Instant,
    /// When this instance last sent a heartbeat to the peer; `None` before the first.
    heartbeat_sent: Option<Instant>,
    /// Whether the peer, as a leader, waits for loans of earlier leaders.
    waits_for_loans: bool,
}

/// How this instance has made itself known to the others.
#[derive(Clone, Copy, Debug)]
struct Introduction {
    /// When the first heartbeats were sent to the instances that the store listed.
    at: Instant,
    /// The number of other instances that the store listed.
    listed_instances: usize,
}

/// The leadership of one shard, as seen by this instance in heartbeats and the store. It does not
/// expire.
#[derive(Debug, Default)]
struct ShardLeadership {
    /// The leader's name and incarnation; `None` if no leader is known.
    leader: Option<(String, u64)>,
    /// When a heartbeat last named the leader, or this instance last won or lost a takeover or
    /// resigned. The leader's silence counts from then on; `None` if none of these has happened.
    leader_updated_at: Option<Instant>,
    /// When a heartbeat first named the leader with the present token; `None` if none has.
    leader_since: Option<Instant>,
    /// The leader's state from its last heartbeat, if another instance leads the shard.
    view: Option<LeaderView>,
    /// The highest fencing token of an instance that has led the shard.
    token: u64,
    /// The highest fencing token that a lease row is known to have, also if its holder still reads
    /// the rows; and when this instance learned it, `None` before the first.
    newest_token: u64,
    newest_token_at: Option<Instant>,
    /// The highest fencing token with which this instance has renewed leases and given up since;
    /// workers may have seen higher tokens of that leadership than a new one would begin with.
    given_up_token: u64,
    /// Whether this instance is taking the shard over.
    taking_over: bool,
    /// When this instance may take the shard over.
    takeover_delay: TakeoverDelay,
    /// The value of the leader's heartbeat row in the store, as last read; empty if there is none.
    store_heartbeat: Vec<u8>,
    /// When a read last returned a changed value of that row, or when it was first read since this
    /// instance reads it repeatedly; `None` while it does not.
    store_heartbeat_changed: Option<Instant>,
    /// When a read of that row was last requested.
    store_heartbeat_requested: Option<Instant>,
}

impl ShardLeadership {
    /// Returns the highest fencing token that the lease row is known to have had.
    fn newest_token(&self) -> u64 {
        self.token.max(self.newest_token)
    }
}

/// The actor that holds the control state of one instance.
pub struct Control {
    settings: Settings,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    store: Arc<Store>,
    /// Ends the pause before the next read of the list of workers.
    list_wake: Arc<Notify>,
    socket: UdpSocket,
    metrics: Arc<Metrics>,
    view: Arc<ArcSwap<View>>,
    address: Option<Address<Self>>,
    started_at: Instant,
    /// `None` until the store has been read.
    introduction: Option<Introduction>,
    /// The other instances, by name.
    peers: HashMap<String, Peer>,
    /// The state of each peer that has sent a heartbeat, by name.
    peer_views: HashMap<String, PeerView>,
    /// The leadership of every shard, by the shard's name.
    leadership: HashMap<String, ShardLeadership>,
    /// The shards that this instance leads, by name.
    led_shards: HashMap<String, ShardLeader>,
    /// The shards whose lease row names this instance and whose rows it still reads or has failed to
    /// read, by name.
    restoring: HashMap<String, RestoringLeader>,
    /// When this instance took a shard over, by shard.
    led_since: HashMap<String, Instant>,
    /// The configuration, which defines the queues; `None` before the first one is read.
    config: Option<Arc<Queues>>,
    /// When the store certainly had no newer configuration; `None` before the first is read.
    config_as_of: Option<Instant>,
    /// The failure domains that the platform's operators have evacuated, as of `config_as_of`.
    evacuated: HashSet<String>,
    /// The platform's list of workers, by name.
    workers: HashMap<String, WorkerInfo>,
    /// The labels of the workers, by service and then by shard.
    labels: Arc<HashMap<String, HashMap<String, Vec<String>>>>,
    approval_service: Option<Arc<ConnectionPool>>,
    shutting_down: bool,
    last_expiry: Instant,
    last_summary: Instant,
    /// The sequence number of the last store heartbeat; all led shards share it.
    store_heartbeat_number: u64,
    last_tick: Instant,
    /// The longest time that an event has waited in the queue since the last summary.
    max_event_wait: Duration,
    /// How long events have been handled since the last summary.
    busy: Duration,
    /// When this instance last stalled or heard from only a minority of its peers.
    impaired_at: Option<Instant>,
    /// When this process last stalled.
    stalled_at: Option<Instant>,
    /// What the last heartbeats said about whether the store is reachable.
    sent_store_reachable: bool,
    /// Whether the store rejects this instance.
    rejection: RejectionCheck,
    /// When this instance or a peer last didn't reach the store; `None` if never.
    store_doubted_at: Option<Instant>,
    /// What the last heartbeats left out.
    sent_heartbeats: peers::SentHeartbeats,
    /// The number of rounds of heartbeats, which decides whose loads are told in them.
    heartbeat_round: usize,
    /// When calls to the store were last sent again because it serves a peer; `None` if never.
    store_retried_at: Option<Instant>,
    /// The loans of the right to renew leases.
    delegation: Delegation,
}

impl Actor for Control {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        if let Some(address) = mailbox.address().try_upgrade() {
            self.address = Some(address.clone());
            self.start_watches(&address);
        }
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Control {
    /// Creates the actor; `socket` is the non-blocking socket bound to the address for peers.
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
        let leadership = settings.shards.iter();
        let leadership = leadership.map(|s| (s.name.clone(), ShardLeadership::default()));
        let mut control = Self {
            leadership: leadership.collect(),
            approval_service: settings.advice.map(|a| Arc::new(ConnectionPool::new(a))),
            settings,
            incarnation,
            clock,
            store,
            list_wake: Arc::default(),
            socket,
            metrics,
            view,
            address: None,
            started_at: now,
            introduction: None,
            peers: HashMap::default(),
            peer_views: HashMap::default(),
            led_shards: HashMap::default(),
            restoring: HashMap::default(),
            led_since: HashMap::default(),
            config: None,
            config_as_of: None,
            evacuated: HashSet::default(),
            workers: HashMap::default(),
            labels: Arc::default(),
            shutting_down: false,
            last_expiry: now,
            last_summary: now,
            store_heartbeat_number: 0,
            last_tick: now,
            max_event_wait: Duration::ZERO,
            busy: Duration::ZERO,
            impaired_at: None,
            stalled_at: None,
            sent_store_reachable: true,
            rejection: RejectionCheck::default(),
            sent_heartbeats: peers::SentHeartbeats::default(),
            heartbeat_round: 0,
            store_doubted_at: None,
            store_retried_at: None,
            delegation: Delegation::default(),
        };
        control.update_delegation();
        control
    }

    /// Does the work that is due every [`TICK`].
    fn tick(&mut self) {
        let now = self.clock.now();
        let gap = now.duration_since(self.last_tick);
        if gap > STALL_THRESHOLD {
            log::warn!("entry: the process stalled for {} ms.", gap.as_millis());
            self.impaired_at = Some(now);
            self.stalled_at = Some(now);
        }
        self.last_tick = now;
        // Peers wait with their decisions until they hear that this instance reaches the store again.
        let store_reachable = self.store.is_reachable();
        let has_changed = store_reachable != self.sent_store_reachable;
        self.sent_store_reachable = store_reachable;
        if !store_reachable {
            self.store_doubted_at = Some(now);
        }
        if self.settings.features.admission {
            for leader in self.led_shards.values_mut() {
                leader.shard.update_outlooks(now);
            }
        }
        self.send_heartbeats(now, has_changed);
        self.check_leadership(now);
        self.check_restoring(now);
        self.run_deputy(now);
        self.read_awaited_leases(now);
        self.write_store_heartbeats(now);
        self.hold_starts(now);
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            self.advance_shard(&shard, now);
        }
        if now.duration_since(self.last_summary) >= SUMMARY_INTERVAL {
            let interval = now.duration_since(self.last_summary);
            self.last_summary = now;
            let wait_ms = std::mem::take(&mut self.max_event_wait).as_millis();
            let busy = std::mem::take(&mut self.busy);
            let busy_percent = busy.as_millis() * 100 / interval.as_millis().max(1);
            let mut summaries = Vec::new();
            for leader in self.led_shards.values_mut() {
                let intake_ms = std::mem::take(&mut leader.max_intake_ms);
                let summary = leader.shard.summary(now);
                log::info!(
                    "lead: shard={} {summary} event_wait_ms={wait_ms} busy_percent={busy_percent} intake_ms={intake_ms}.",
                    leader.name,
                );
                summaries.push(summary);
            }
            self.metrics.set_summaries(&summaries);
        }
        if now.duration_since(self.last_expiry) >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.expire_jobs();
        }
        self.publish(now);
    }

    /// Returns a led shard; `None` if this instance does not lead it with this fencing token.
    fn shard_leader(&mut self, shard: &str, token: u64) -> Option<&mut ShardLeader> {
        let leader = self.led_shards.get_mut(shard)?;
        (leader.token == token).then_some(leader)
    }

    fn on_command_result(&mut self, shard: &str, token: u64, result: &CommandResult, now: Instant) {
        let Some(leader) = self.shard_leader(shard, token) else {
            return;
        };
        leader
            .shard
            .on_command_reply(&result.command, result.reply, now);
        if leader.shard.is_fenced() {
            self.resign(shard, "a worker has seen a higher token");
        }
    }

    /// Applies a newer configuration, if one was read. At `as_of` the store had no newer one than
    /// the one then in force; `None` if it may have had one.
    fn on_config(&mut self, newest: Option<Queues>, as_of: Option<Instant>, now: Instant) {
        let version = self.config.as_ref().map_or(0, |c| c.version);
        if let Some(config) = newest.filter(|c| c.version > version) {
            log::info!(
                "config: version={} queues={} previous={version} is_newest={}.",
                config.version,
                config.queues.len(),
                as_of.is_some()
            );
            self.metrics.config_version.set(config.version as i64);
            self.config = Some(Arc::new(config));
        }
        if self.config.is_some() {
            self.config_as_of = self.config_as_of.max(as_of);
        }
        self.publish(now);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let unix_ms = unix_ms();
        match event {
            Event::Tick => self.tick(),
            Event::Limits {
                max_lease,
                drain,
                keep,
                config_max_age,
                evacuation_max_age,
                features,
            } => {
                self.settings.max_lease = max_lease;
                self.settings.drain = drain;
                self.settings.keep = keep;
                self.settings.config_max_age = config_max_age;
                self.settings.evacuation_max_age = evacuation_max_age;
                self.settings.features = features;
                self.update_delegation();
                let params = self.params();
                for leader in self.led_shards.values_mut() {
                    leader.shard.set_params(params);
                }
            }
            Event::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
            Event::Config {
                newest,
                as_of,
                evacuations,
            } => {
                self.on_evacuations(evacuations);
                self.on_config(newest, as_of, now);
                self.hold_starts(now);
            }
            Event::Workers {
                is_full_list,
                entries,
            } => self.update_workers(is_full_list, entries, now),
            Event::KnownInstances { instances, leases } => {
                self.on_known_instances(instances, leases, now)
            }
            Event::TakeoverStep(shard, TakeoverStep::LeaseTaken(lease)) => {
                self.on_lease_taken(&shard, lease, now)
            }
            Event::TakeoverStep(shard, TakeoverStep::WorkersInUse(token, workers)) => {
                if let Some(restoring) = self.restoring_leader(&shard, token) {
                    restoring.add_workers_in_use(&workers);
                }
            }
            Event::TakenOver(shard, result) => self.on_takeover(&shard, result, now),
            Event::JobRows(shard, token, is_full_list, rows) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    let Some(cancels_to_forward) =
                        leader.on_job_rows(&rows, is_full_list, now, unix_ms)
                    else {
                        self.resign(&shard, "a job row has a higher fencing token");
                        return;
                    };
                    // Another shard may have these jobs, because jobs move between shards.
                    for job in cancels_to_forward {
                        self.forward_cancel(&shard, job);
                    }
                    self.advance_shard(&shard, now);
                }
            }
            Event::Report(shard, token, worker, report, sent_at) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.on_report(&worker, &report, sent_at, now, unix_ms);
                    let awaits_entry = leader.shard.take_awaits_entry();
                    if awaits_entry {
                        self.list_wake.notify_one();
                    }
                    self.advance_shard(&shard, now);
                } else if let Some(restoring) = self.restoring_leader(&shard, token) {
                    restoring.on_report(&worker, report, sent_at, now);
                }
            }
            Event::ConnectionLost(shard, token, worker) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.shard.on_connection_lost(&worker, now);
                }
            }
            Event::CommandResult(shard, token, result) => {
                self.on_command_result(&shard, token, &result, now);
                if result.reply != CommandReply::Ok {
                    self.advance_shard(&shard, now);
                }
            }
            Event::Approvals(shard, token, task, rows, valid_for) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.shard.on_approvals(task, &rows, valid_for, now);
                    self.advance_shard(&shard, now);
                }
            }
            Event::StoreHeartbeatResult(shard, token, sent_at, version) => {
                self.on_store_heartbeat_result(&shard, token, sent_at, version, now);
            }
            Event::LeadershipConfirmed(shard, token, sent_at) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.shard.confirm(sent_at);
                } else if let Some(restoring) = self.restoring_leader(&shard, token) {
                    restoring.shard.confirm(sent_at);
                }
            }
            Event::Replaced(shard, token) => {
                if self.shard_leader(&shard, token).is_some() {
                    self.resign(&shard, "the store shows another leader");
                } else if self.restoring_leader(&shard, token).is_some() {
                    log::info!("lead: shard={shard} token={token} the store shows another leader.");
                    self.restoring.remove(&shard);
                }
            }
            Event::Wake(shard, token) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.wake_scheduled = false;
                    self.advance_shard(&shard, now);
                }
            }
            Event::StoreHeartbeat(shard, heartbeat) => {
                if let Some(leadership) = self.leadership.get_mut(&shard)
                    && (leadership.store_heartbeat != heartbeat
                        || leadership.store_heartbeat_changed.is_none())
                {
                    leadership.store_heartbeat = heartbeat;
                    leadership.store_heartbeat_changed = Some(now);
                }
            }
            Event::MoveResult(shard, token, job, succeeded) => {
                if let Some(leader) = self.shard_leader(&shard, token) {
                    leader.shard.on_move_result(job, succeeded, now);
                }
            }
            Event::Loan(request, loan) => self.on_loan(&request, loan, now),
            Event::Renewal(call, sent_at, result) => {
                self.on_renewal(&call, sent_at, result, now);
            }
            Event::Written(shard, token, batch, result) => {
                if self.shard_leader(&shard, token).is_some() {
                    self.on_write_result(&shard, batch, &result, now);
                    self.advance_shard(&shard, now);
                }
            }
            Event::End => {
                log::info!("entry: shutting down, leads={}.", self.led_shards.len());
                self.shutting_down = true;
                for leader in self.led_shards.values_mut() {
                    leader.shard.stop_starting_tasks();
                }
                self.tick();
            }
        }
    }
}

impl Handler<QueuedEvent> for Control {
    type Return = ();

    async fn handle(&mut self, queued: QueuedEvent, _: &mut xtra::Context<Self>) {
        let start = self.clock.now();
        let wait = start.saturating_duration_since(queued.queued_at);
        self.metrics.event_wait.observe(wait.as_secs_f64());
        self.max_event_wait = self.max_event_wait.max(wait);
        self.handle_event(queued.event);
        self.busy += self.clock.now().saturating_duration_since(start);
    }
}

impl Handler<NextReportRequest> for Control {
    type Return = Option<ReportRequest>;

    async fn handle(
        &mut self,
        request: NextReportRequest,
        _: &mut xtra::Context<Self>,
    ) -> Option<ReportRequest> {
        let now = self.clock.now();
        let NextReportRequest(shard, token, worker) = request;
        if let Some(restoring) = self.restoring_leader(&shard, token) {
            return restoring.next_report_request(&worker, now);
        }
        self.shard_leader(&shard, token)?
            .next_report_request(&worker, now)
    }
}

impl Handler<GetJobState> for Control {
    type Return = Option<JobState>;

    async fn handle(
        &mut self,
        request: GetJobState,
        _: &mut xtra::Context<Self>,
    ) -> Option<JobState> {
        let GetJobState(shard, job) = request;
        self.led_shards.get(&shard)?.shard.job_state(job)
    }
}

impl Handler<GetPending> for Control {
    type Return = Option<u32>;

    async fn handle(
        &mut self,
        GetPending(shard, queue): GetPending,
        _: &mut xtra::Context<Self>,
    ) -> Option<u32> {
        let pending = self.led_shards.get(&shard)?.shard.pending();
        Some(pending.get(&queue).copied().unwrap_or(0))
    }
}

impl Handler<GetEvacuations> for Control {
    type Return = Option<Vec<DomainEvacuation>>;

    async fn handle(
        &mut self,
        GetEvacuations(shard): GetEvacuations,
        _: &mut xtra::Context<Self>,
    ) -> Self::Return {
        let statuses = self.led_shards.get(&shard)?.shard.evacuation_status();
        let evacuations = statuses.into_iter().map(|(domain, s)| DomainEvacuation {
            domain,
            is_emptied: s.is_emptied,
            workers: s.workers,
            short_runs: s.short_runs,
            long_running_runs: s.long_running_runs,
        });
        Some(evacuations.collect())
    }
}

impl Handler<HasResignedAll> for Control {
    type Return = bool;

    async fn handle(&mut self, _: HasResignedAll, _: &mut xtra::Context<Self>) -> bool {
        self.shutting_down && self.led_shards.is_empty()
    }
}

/// Returns the current time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| d.as_millis() as u64)
}
