//! The control thread: peers, leads, the configuration and the list of workers.

mod effects;
mod events;
mod leadership;
mod peers;
mod publish;
mod watches;

pub use events::{Event, GetJobState, GetResigned, NextReportRequest, send_event};

use {
    crate::{
        commands::{CommandResult, ReportRequest},
        keys,
        metrics::Metrics,
        settings::Settings,
        shard_leader::{ShardLeader, Sinks},
        takeover::{self, TakeoverError, TakeoverState},
        view::{LeaderView, View},
        watch::{self, WatchEvent, WatchTarget},
    },
    arc_swap::ArcSwap,
    marigoldbend_core::{
        clock::Clock,
        hash::HashMap,
        sched::{
            job::{JobId, JobSpec, TaskName},
            leadership::{
                LeadershipView, PeerView, is_minority, is_rejected_by_store, should_take_over,
            },
            progress::JobState,
            queues::Queues,
            shard::{Batch, Command, Params, ServiceLoad},
            worker::{CommandReply, Report, WorkerInfo},
        },
    },
    marigoldbend_http::connection::ConnectionPool,
    marigoldbend_peer::heartbeat::{Heartbeat, LedShard, MAX_QUEUES},
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
    tokio::time::sleep,
    xtra::prelude::*,
};

/// The time between two looks at everything that depends on time.
pub const TICK: Duration = Duration::from_millis(50);

/// How long a leader of another domain is believed in without a beat.
const LEADER_MEMORY: Duration = Duration::from_millis(2_500);

/// The time between two ticks from which this process counts as having stood still.
const STANDSTILL: Duration = Duration::from_millis(450);

/// The time between two lines that sum a led shard up.
const SUMMARY: Duration = Duration::from_secs(2);

/// The time between two removals of jobs that are over.
const EXPIRY: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Peer {
    domain: String,
    address: SocketAddr,
    last_heard: Option<Instant>,
    known_since: Instant,
    heartbeat_sent: Option<Instant>,
}

#[derive(Debug, Default)]
struct Lease {
    leader: Option<(String, u64)>,
    leader_heard: Option<Instant>,
    view: Option<LeaderView>,
    token: u64,
    taking_over: bool,
    not_before: Option<Instant>,
    /// The contents of the leader's beat in the store, and when it was seen to change.
    store_heartbeat: Vec<u8>,
    store_heartbeat_changed: Option<Instant>,
    store_checked: Option<Instant>,
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
    peer_views: HashMap<String, PeerView>,
    leases: HashMap<String, Lease>,
    led_shards: HashMap<String, ShardLeader>,
    led_since: HashMap<String, Instant>,
    queues: Option<Arc<Queues>>,
    workers: HashMap<String, WorkerInfo>,
    labels: Arc<HashMap<String, HashMap<String, Vec<String>>>>,
    advice: Option<Arc<ConnectionPool>>,
    ending: bool,
    expired: Instant,
    summed: Instant,
    store_heartbeat_written: Instant,
    heartbeats_written: u64,
    ticked: Instant,
    /// When silence of others last said nothing of them.
    impaired_at: Option<Instant>,
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
            advice: settings.advice.map(|a| Arc::new(ConnectionPool::new(a))),
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
            peer_views: HashMap::default(),
            led_shards: HashMap::default(),
            led_since: HashMap::default(),
            queues: None,
            workers: HashMap::default(),
            labels: Arc::default(),
            ending: false,
            expired: now,
            summed: now,
            store_heartbeat_written: now,
            heartbeats_written: 0,
            ticked: now,
            impaired_at: None,
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let gap = now.duration_since(self.ticked);
        if gap > STANDSTILL {
            log::warn!("entry: stood still for {} ms.", gap.as_millis());
            self.impaired_at = Some(now);
        }
        self.ticked = now;
        self.send_heartbeats(now, false);
        self.check_leadership(now);
        self.write_store_heartbeats(now);
        let shards: Vec<_> = self.led_shards.keys().cloned().collect();
        for shard in shards {
            self.advance_shard(&shard, now);
        }
        if now.duration_since(self.summed) >= SUMMARY {
            self.summed = now;
            for led in self.led_shards.values() {
                log::info!("lead: shard={} {}.", led.name, led.shard.summary(now));
            }
        }
        if now.duration_since(self.expired) >= EXPIRY {
            self.expired = now;
            self.expire_jobs();
        }
        self.publish(now);
    }

    fn led_shard(&mut self, shard: &str, token: u64) -> Option<&mut ShardLeader> {
        let led = self.led_shards.get_mut(shard)?;
        (led.token == token).then_some(led)
    }

    fn on_command_result(
        &mut self,
        shard: &str,
        token: u64,
        answered: &CommandResult,
        now: Instant,
    ) {
        let Some(led) = self.led_shard(shard, token) else {
            return;
        };
        match &answered.command {
            Command::Start {
                worker,
                task,
                attempt,
                ..
            } => led
                .shard
                .on_start_reply(worker, *task, *attempt, answered.reply, now),
            Command::Stop {
                worker,
                task,
                attempt,
                ..
            } => led
                .shard
                .on_stop_reply(worker, *task, *attempt, answered.reply, now),
            Command::Throttle { .. } | Command::RequestApprovals { .. } | Command::Move { .. } => {}
        }
        if answered.reply == CommandReply::Fenced {
            self.resign(shard, "a worker knows a higher token");
        }
    }

    fn take_in(&mut self, event: Event) {
        let now = self.clock.now();
        let unix_ms = unix_ms();
        match event {
            Event::Tick => self.tick(),
            Event::Limits {
                max_lease,
                drain,
                keep,
            } => {
                self.settings.max_lease = max_lease;
                self.settings.drain = drain;
                self.settings.keep = keep;
                let params = self.params();
                for led in self.led_shards.values_mut() {
                    led.shard.set_params(params);
                }
            }
            Event::Heartbeat(heartbeat) => self.on_heartbeat(heartbeat, now),
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
            Event::Workers { whole, entries } => self.update_workers(whole, entries, now),
            Event::KnownInstances { instances, leases } => {
                self.on_known_instances(instances, leases, now)
            }
            Event::TakenOver(shard, result) => self.on_takeover(&shard, result, now),
            Event::JobRows(shard, token, rows) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    let Some(unknown) = led.on_job_rows(&rows, now, unix_ms) else {
                        self.resign(&shard, "a job was accepted for a later leader");
                        return;
                    };
                    for job in unknown {
                        self.forward_cancel(&shard, job);
                    }
                    self.advance_shard(&shard, now);
                }
            }
            Event::Report(shard, token, worker, report, sent) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    led.shard.on_report(&worker, &report, sent, now, unix_ms);
                    self.advance_shard(&shard, now);
                }
            }
            Event::CommandResult(shard, token, answered) => {
                self.on_command_result(&shard, token, &answered, now);
                if answered.reply != CommandReply::Ok {
                    self.advance_shard(&shard, now);
                }
            }
            Event::Approvals(shard, token, task, rows, valid) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    led.shard.on_approvals(task, &rows, valid, now);
                    self.advance_shard(&shard, now);
                }
            }
            Event::Confirmed(shard, token, sent) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    led.shard.confirm(sent);
                }
            }
            Event::Replaced(shard, token) => {
                if self.led_shard(&shard, token).is_some() {
                    self.resign(&shard, "the store shows another leader");
                }
            }
            Event::Wake(shard, token) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    led.wake_scheduled = false;
                    self.advance_shard(&shard, now);
                }
            }
            Event::StoreHeartbeat(shard, heartbeat) => {
                if let Some(lease) = self.leases.get_mut(&shard)
                    && (lease.store_heartbeat != heartbeat
                        || lease.store_heartbeat_changed.is_none())
                {
                    lease.store_heartbeat = heartbeat;
                    lease.store_heartbeat_changed = Some(now);
                }
            }
            Event::JobMoved(shard, token, job, moved) => {
                if let Some(led) = self.led_shard(&shard, token) {
                    led.shard.on_move_result(job, moved, now);
                }
            }
            Event::Written(shard, token, batch, result) => {
                if self.led_shard(&shard, token).is_some() {
                    self.on_write_result(&shard, batch, &result, now);
                    self.advance_shard(&shard, now);
                }
            }
            Event::End => {
                log::info!("entry: the end begins, leads={}.", self.led_shards.len());
                self.ending = true;
                for led in self.led_shards.values_mut() {
                    led.shard.stop_starting();
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

impl Handler<NextReportRequest> for Control {
    type Return = Option<ReportRequest>;

    async fn handle(
        &mut self,
        ask: NextReportRequest,
        _: &mut xtra::Context<Self>,
    ) -> Option<ReportRequest> {
        let now = self.clock.now();
        let NextReportRequest(shard, token, worker) = ask;
        self.led_shard(&shard, token)?
            .next_report_request(&worker, now)
    }
}

impl Handler<GetJobState> for Control {
    type Return = Option<JobState>;

    async fn handle(&mut self, ask: GetJobState, _: &mut xtra::Context<Self>) -> Option<JobState> {
        let GetJobState(shard, job) = ask;
        self.led_shards.get(&shard)?.shard.job_state(job)
    }
}

impl Handler<GetResigned> for Control {
    type Return = bool;

    async fn handle(&mut self, _: GetResigned, _: &mut xtra::Context<Self>) -> bool {
        self.ending && self.led_shards.is_empty()
    }
}

/// Returns the time of day, in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
