//! The actor that drives the jobs of this home.

use {
    super::{
        keys::{Inbox, Index, inbox_key, index_prefix, job_key},
        store::{Flight, Store},
    },
    crate::{directory::Directory, metrics::Metrics, worker::TaskSlot},
    arc_swap::ArcSwap,
    marigoldbend::{
        core::{
            clock::Clock,
            hash::{HashMap, HashSet},
            ids::{Domain, Incarnation, Version, WorkerId},
            task::{Job, JobSpec, Phase},
        },
        platform::{
            table::{Outcome, Table, TableError},
            wire::{
                AttemptState, AttemptStatus, Commit, RenewTasks, Row, StartTask, StopTask, TaskRef,
            },
            workers::Agents,
        },
    },
    rand::RngExt,
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::oneshot,
    xtra::prelude::*,
};

/// The time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(100);

/// How long a lease holds without a renewal.
const LEASE: Duration = Duration::from_secs(4);

/// The time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// After the newest renewal that was sent, the time by which a lease has surely lapsed: the
/// lease, a tenth for clock drift, and the time that the call itself may take.
const SURELY_LAPSED: Duration = Duration::from_millis(4_000 + 400 + 1_000);

/// The time without a reply after which leases are not renewed any more, so that they lapse.
const GIVE_UP_RENEWING: Duration = Duration::from_secs(10);

/// The time between two looks for jobs whose home is gone.
const ADOPT_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two reads of the inbox row.
const INBOX_INTERVAL: Duration = Duration::from_secs(1);

/// How long one transaction is tried before its outcome is asked for again.
const PATIENCE: Duration = Duration::from_secs(3);

/// The time without claims after a write that could not be made.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

/// Slots of each worker that batch tasks leave to requests.
const SPARE_SLOTS: u32 = 2;

/// Jobs that one home drives at once.
const MOST_JOBS: usize = 10_000;

/// What the actor is made of.
pub struct JobsConfig {
    /// This instance's run.
    pub me: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
    /// The address that connections are made from.
    pub local_ip: Option<IpAddr>,
    /// The platform's address.
    pub platform_url: String,
    /// The time limit of a call to the platform.
    pub platform_timeout: Duration,
}

/// What became of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is durable under this id.
    Accepted(String),
    /// It was not accepted.
    Refused(String),
    /// It may have been accepted under this id.
    Unknown(String),
}

/// Accepts a job; the answer comes once it is durable.
pub struct Submit {
    /// What the caller asks for.
    pub spec: JobSpec,
    /// Where the answer goes.
    pub reply: oneshot::Sender<SubmitOutcome>,
}

/// A caller has cancelled this job; the table knows.
pub struct Cancel(pub String);

/// Time has passed.
pub struct Tick;

/// The instance is about to end: tasks are checkpointed and given back. Answers whether none
/// runs any more and everything is written.
pub struct Stop;

/// One attempt that may be running.
struct Running {
    task: TaskRef,
    agent: SocketAddr,
    worker: WorkerId,
    /// The slot, if this instance owns the worker.
    slot: Option<TaskSlot>,
    /// The newest start or renewal that was sent.
    sent: Instant,
    /// The newest reply.
    heard: Instant,
    /// The transaction that carries its claim, once that is on its way.
    carried_by: Option<String>,
    /// Whether its start has been sent, after the claim was written.
    started: bool,
    calling: bool,
    stopping: Option<StopReason>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StopReason {
    Cancelled,
    Evicted,
    Adopted,
    /// The worker does not know the attempt: it is fenced before it is started elsewhere.
    Unknown,
}

/// The place of a task: its job and its index.
type Place = (String, usize);

/// A transaction has ended.
struct Committed {
    flight: Flight,
    result: Result<Outcome, TableError>,
}

/// An agent has answered, or not.
struct Heard {
    places: Vec<Place>,
    statuses: Option<Vec<AttemptStatus>>,
}

/// Index rows of the domain have been read, and the jobs of one that can be adopted.
struct Adoptable(Option<(Version, Index, Vec<Row>)>);

/// The inbox has been read and emptied.
struct InboxRead(Inbox);

/// The row of a job has been read again after a conflict.
struct Reread(String, Row);

/// The actor that drives the jobs of one home.
#[derive(xtra::Actor)]
pub struct Jobs {
    cfg: JobsConfig,
    clock: Arc<dyn Clock>,
    directory: Arc<ArcSwap<Directory>>,
    metrics: Arc<Metrics>,
    table: Table,
    agents: Agents,
    store: Store,
    running: HashMap<Place, Running>,
    waiting: HashMap<String, oneshot::Sender<SubmitOutcome>>,
    /// The transaction whose outcome is still unclear.
    unclear: Option<Flight>,
    /// Nothing is claimed before this instant, since claims can't be written.
    hold_claims_until: Option<Instant>,
    stopping: bool,
    fenced: bool,
    next_renew: Instant,
    next_adopt: Instant,
    next_inbox: Instant,
}

impl Jobs {
    /// Creates the actor; it does nothing before its first [`Tick`].
    pub fn new(
        cfg: JobsConfig,
        clock: Arc<dyn Clock>,
        directory: Arc<ArcSwap<Directory>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let now = clock.now();
        Self {
            table: Table::new(&cfg.platform_url, cfg.platform_timeout, cfg.local_ip),
            agents: Agents::new(cfg.platform_timeout, cfg.local_ip),
            store: Store::new(cfg.domain, cfg.me),
            cfg,
            clock,
            directory,
            metrics,
            running: HashMap::default(),
            waiting: HashMap::default(),
            unclear: None,
            hold_claims_until: None,
            stopping: false,
            fenced: false,
            next_renew: now,
            next_adopt: now,
            next_inbox: now,
        }
    }

    fn count(&self, event: &str) {
        self.metrics.tasks.with_label_values(&[event]).inc();
    }

    fn tick(&mut self, address: &Address<Self>) {
        if self.fenced {
            return;
        }
        let now = self.clock.now();
        let directory = self.directory.load_full();
        self.check_stops(&directory);
        self.cancel_jobs();
        let held = self.hold_claims_until.is_some_and(|until| now < until);
        if !self.stopping && !held && self.unclear.is_none() {
            self.claim_tasks(&directory, now);
        }
        self.flush(address);
        if now >= self.next_renew {
            self.next_renew = now + RENEW_INTERVAL;
            self.renew(address, now);
        }
        self.stop_tasks(address);
        self.drop_lapsed(now);
        if now >= self.next_adopt && !self.stopping {
            self.next_adopt = now + ADOPT_INTERVAL;
            self.look_for_orphans(address, &directory);
        }
        if now >= self.next_inbox && self.store.len() > 0 {
            self.next_inbox = now + INBOX_INTERVAL;
            self.read_inbox(address);
        }
    }

    /// Marks tasks to be stopped whose worker leaves, or all of them if the instance ends.
    fn check_stops(&mut self, directory: &Directory) {
        let stopping = self.stopping;
        for running in self.running.values_mut() {
            let worker = directory.workers.get(&running.worker);
            let leaving = worker.is_some_and(|w| w.is_leaving());
            if (stopping || leaving) && running.stopping.is_none() {
                running.stopping = Some(StopReason::Evicted);
            }
        }
    }

    fn cancel_jobs(&mut self) {
        for id in self.store.ids() {
            let Some(stored) = self.store.get_mut(&id) else {
                continue;
            };
            if !stored.job.cancelled {
                continue;
            }
            for (index, task) in stored.job.tasks.iter_mut().enumerate() {
                if task.phase.is_final() || task.cancel() {
                    stored.dirty |= !task.phase.is_final();
                    continue;
                }
                if let Some(running) = self.running.get_mut(&(id.clone(), index)) {
                    running.stopping = Some(StopReason::Cancelled);
                }
            }
        }
    }

    /// Gives queued tasks to workers with a slot: urgent ones first, then older jobs.
    fn claim_tasks(&mut self, directory: &Directory, now: Instant) {
        let Some(config) = &directory.config else {
            return;
        };
        let config = config.config.clone();
        let mut order: Vec<(bool, String)> = self
            .store
            .iter()
            .filter(|s| s.version > Version(0) && !s.job.cancelled && !s.job.is_final())
            .map(|s| (!s.job.spec.urgent, s.job.id.clone()))
            .collect();
        order.sort_unstable();
        let members = directory.row.1.members.len().max(1);
        for (_, id) in order {
            let Some(stored) = self.store.get(&id) else {
                continue;
            };
            let spec = stored.job.spec.clone();
            let Some(class) = config.classes.get(&spec.class) else {
                self.park(&id, "its batch class is not in the configuration");
                continue;
            };
            let Some(team) = config.teams.get(&spec.team) else {
                self.park(&id, "its team is not in the configuration");
                continue;
            };
            let quota = (team.running_tasks as usize).div_ceil(members);
            let mut room = quota.saturating_sub(self.running_of_team(&spec.team));
            let queued: Vec<usize> = stored
                .job
                .tasks
                .iter()
                .enumerate()
                .filter(|(_, t)| t.phase == Phase::Queued)
                .map(|(index, _)| index)
                .collect();
            for index in queued {
                if room == 0 {
                    break;
                }
                let Some(slot) = take_slot(directory, class.slots_per_worker, now) else {
                    return;
                };
                self.claim(&id, index, slot, now);
                room -= 1;
            }
        }
    }

    fn running_of_team(&self, team: &str) -> usize {
        let of_team = |(id, _): &&Place| {
            let stored = self.store.get(id);
            stored.is_some_and(|s| s.job.spec.team == team)
        };
        self.running.keys().filter(of_team).count()
    }

    fn claim(&mut self, id: &str, index: usize, slot: TaskSlot, now: Instant) {
        let Some(stored) = self.store.get_mut(id) else {
            return;
        };
        let worker = slot.worker.id;
        let Ok(attempt) = stored.job.tasks[index].claim(worker, self.cfg.me) else {
            return;
        };
        stored.dirty = true;
        log::info!(
            "place: task={id}/{index} attempt={attempt} worker={worker} epoch={} why=free-slot.",
            slot.worker.epoch(),
        );
        let running = Running {
            task: TaskRef {
                task: format!("{id}/{index}"),
                attempt,
            },
            agent: slot.worker.agent,
            worker,
            slot: Some(slot),
            sent: now,
            heard: now,
            carried_by: None,
            started: false,
            calling: false,
            stopping: None,
        };
        self.running.insert((id.to_owned(), index), running);
    }

    fn park(&mut self, id: &str, reason: &str) {
        let Some(stored) = self.store.get_mut(id) else {
            return;
        };
        for task in &mut stored.job.tasks {
            if task.phase == Phase::Queued {
                log::warn!("place: job={id} parked: {reason}.");
                task.park(reason);
                stored.dirty = true;
            }
        }
    }

    /// Writes what has changed, or asks again for the outcome of an unclear write.
    fn flush(&mut self, address: &Address<Self>) {
        let flight = match self.unclear.take() {
            Some(flight) => flight,
            None => match self.store.next_flight() {
                Some(flight) => {
                    self.mark_carried(&flight);
                    flight
                }
                None => return,
            },
        };
        let table = self.table.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let result = table.commit_until_known(&flight.commit, PATIENCE).await;
            // The actor ends only with the process.
            let _ = address.send(Committed { flight, result }).detach().await;
        });
    }

    fn mark_carried(&mut self, flight: &Flight) {
        let jobs: HashSet<&String> = flight.jobs.iter().collect();
        for ((id, _), running) in &mut self.running {
            if !running.started && jobs.contains(id) {
                running.carried_by = Some(flight.commit.op.clone());
            }
        }
    }

    fn on_applied(&mut self, address: &Address<Self>, flight: &Flight) {
        self.store.applied(flight);
        for id in &flight.jobs {
            if let Some(reply) = self.waiting.remove(id) {
                // The caller may have given up; the job is accepted all the same.
                let _ = reply.send(SubmitOutcome::Accepted(id.clone()));
            }
        }
        // A claim that was made after this write began is not written yet.
        let op = Some(&flight.commit.op);
        let due: Vec<Place> = self
            .running
            .iter()
            .filter(|(_, r)| !r.started && r.carried_by.as_ref() == op)
            .map(|(place, _)| place.clone())
            .collect();
        for place in due {
            self.start(address, place);
        }
    }

    fn start(&mut self, address: &Address<Self>, place: Place) {
        let now = self.clock.now();
        let Some(stored) = self.store.get(&place.0) else {
            return;
        };
        let task = &stored.job.tasks[place.1];
        let Some(running) = self.running.get_mut(&place) else {
            return;
        };
        if task.attempt != running.task.attempt || running.stopping.is_some() {
            return;
        }
        running.started = true;
        running.calling = true;
        running.sent = now;
        let start = StartTask {
            task: running.task.clone(),
            class: stored.job.spec.class.clone(),
            run_ms: stored.job.spec.run_ms,
            progress_ms: task.progress_ms,
            lease_ms: millis(LEASE),
            not_after_unix_ms: unix_millis(SystemTime::now() + LEASE),
        };
        let agent = running.agent;
        let agents = self.agents.clone();
        let address = address.clone();
        self.count("started");
        tokio::spawn(async move {
            let status = agents.start(agent, &start).await.ok();
            let heard = Heard {
                places: vec![place],
                statuses: status.map(|s| vec![s]),
            };
            // The actor ends only with the process.
            let _ = address.send(heard).detach().await;
        });
    }

    /// Renews the leases of all running attempts, one call a worker.
    fn renew(&mut self, address: &Address<Self>, now: Instant) {
        let mut by_agent: HashMap<SocketAddr, Vec<Place>> = HashMap::default();
        for (place, running) in &mut self.running {
            let given_up = now.saturating_duration_since(running.heard) > GIVE_UP_RENEWING;
            let held = running.started && running.stopping.is_none();
            if held && !running.calling && !given_up {
                running.calling = true;
                running.sent = now;
                by_agent
                    .entry(running.agent)
                    .or_default()
                    .push(place.clone());
            }
        }
        for (agent, places) in by_agent {
            let renew = RenewTasks {
                tasks: self.task_refs(&places),
                lease_ms: millis(LEASE),
            };
            let agents = self.agents.clone();
            let address = address.clone();
            tokio::spawn(async move {
                let renewed = agents.renew(agent, &renew).await.ok();
                let statuses = renewed.map(|r| r.tasks);
                // The actor ends only with the process.
                let _ = address.send(Heard { places, statuses }).detach().await;
            });
        }
    }

    fn task_refs(&self, places: &[Place]) -> Vec<TaskRef> {
        let running = places.iter().filter_map(|p| self.running.get(p));
        running.map(|r| r.task.clone()).collect()
    }

    fn stop_tasks(&mut self, address: &Address<Self>) {
        for (place, running) in &mut self.running {
            let Some(reason) = running.stopping else {
                continue;
            };
            if running.calling || !running.started {
                continue;
            }
            running.calling = true;
            let stop = StopTask {
                task: running.task.clone(),
                checkpoint: true,
            };
            log::info!(
                "place: task={} attempt={} worker={} stop why={reason:?}.",
                stop.task.task,
                stop.task.attempt,
                running.worker,
            );
            let agent = running.agent;
            let place = place.clone();
            let agents = self.agents.clone();
            let address = address.clone();
            tokio::spawn(async move {
                let status = agents.stop(agent, &stop).await.ok();
                let heard = Heard {
                    places: vec![place],
                    statuses: status.map(|s| vec![s]),
                };
                // The actor ends only with the process.
                let _ = address.send(heard).detach().await;
            });
        }
        self.return_unstarted();
    }

    /// Gives back claims that were never started and are to be stopped.
    fn return_unstarted(&mut self) {
        self.return_where(|r| !r.started && r.stopping.is_some());
    }

    /// Gives back claims that could not be written.
    fn return_claims(&mut self) {
        self.return_where(|r| !r.started);
    }

    fn return_where(&mut self, matches: impl Fn(&Running) -> bool) {
        let due: Vec<Place> = self
            .running
            .iter()
            .filter(|(_, r)| matches(r))
            .map(|(place, _)| place.clone())
            .collect();
        for place in due {
            self.end(&place, AttemptState::Stopped, 0);
        }
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed = |r: &Running| {
            let unheard = now.saturating_duration_since(r.heard) > GIVE_UP_RENEWING;
            unheard && now.saturating_duration_since(r.sent) > SURELY_LAPSED && !r.calling
        };
        let due: Vec<Place> = self
            .running
            .iter()
            .filter(|(_, r)| r.started && lapsed(r))
            .map(|(place, _)| place.clone())
            .collect();
        for place in due {
            self.end(&place, AttemptState::Lapsed, 0);
        }
    }

    fn on_heard(&mut self, heard: Heard) {
        let now = self.clock.now();
        for place in &heard.places {
            if let Some(running) = self.running.get_mut(place) {
                running.calling = false;
                if heard.statuses.is_some() {
                    running.heard = now;
                }
            }
        }
        let Some(statuses) = heard.statuses else {
            if let Some(running) = heard.places.first().and_then(|p| self.running.get(p)) {
                self.record_task_failure(running, "its agent did not answer");
            }
            return;
        };
        for (place, status) in heard.places.iter().zip(statuses) {
            let current = self.running.get(place);
            let same = current.is_some_and(|r| r.task == status.task);
            if same && status.state == AttemptState::Unknown {
                // Its start may still be on the way.
                if let Some(running) = self.running.get_mut(place) {
                    running.stopping.get_or_insert(StopReason::Unknown);
                }
            } else if same && status.state != AttemptState::Running {
                self.end(place, status.state, status.progress_ms);
            }
        }
    }

    /// Records the end of an attempt.
    fn end(&mut self, place: &Place, state: AttemptState, progress_ms: u64) {
        let Some(running) = self.running.remove(place) else {
            return;
        };
        let Some(stored) = self.store.get_mut(&place.0) else {
            return;
        };
        stored.dirty = true;
        let cancelled = stored.job.cancelled;
        let attempt = running.task.attempt;
        let task = &mut stored.job.tasks[place.1];
        let evicted = running.stopping == Some(StopReason::Evicted) && running.started;
        let (event, step) = match state {
            AttemptState::Done => ("done", task.finish(attempt)),
            _ if cancelled => ("cancelled", task.cancel_stopped(attempt)),
            AttemptState::Failed => {
                let reason = "it failed on every worker that tried it";
                ("failed", task.fail(attempt, reason).map(|_| ()))
            }
            AttemptState::Stopped if evicted => {
                ("evicted", task.requeue(attempt, progress_ms, true))
            }
            AttemptState::Lapsed => ("lapsed", task.requeue(attempt, progress_ms, false)),
            _ => ("returned", task.requeue(attempt, progress_ms, false)),
        };
        if let Err(e) = step {
            log::error!("place: task={}: {e}.", running.task.task);
        }
        log::info!(
            "place: task={} attempt={attempt} worker={} ended={event} progress_ms={progress_ms}.",
            running.task.task,
            running.worker,
        );
        match (state, &running.slot) {
            (AttemptState::Done, Some(slot)) => slot.worker.record_task_success(),
            (AttemptState::Failed, _) => self.record_task_failure(&running, "a failed task"),
            _ => {}
        }
        self.count(event);
    }

    fn record_task_failure(&self, running: &Running, why: &str) {
        let Some(slot) = &running.slot else {
            return;
        };
        if slot.worker.record_task_failure(self.clock.now()) {
            self.metrics.ejections.inc();
            log::warn!(
                "place: worker={} ejected from batch work after {why}.",
                running.worker
            );
        }
    }

    fn look_for_orphans(&mut self, address: &Address<Self>, directory: &Directory) {
        let (version, row) = &directory.row;
        if *version == Version(0) || !row.is_member(self.cfg.me) || self.store.is_adopting() {
            return;
        }
        let search = OrphanSearch {
            table: self.table.clone(),
            domain: self.cfg.domain,
            members: row.members.iter().map(|m| m.incarnation).collect(),
        };
        let address = address.clone();
        tokio::spawn(async move {
            let found = search.run().await;
            // The actor ends only with the process.
            let _ = address.send(Adoptable(found)).detach().await;
        });
    }

    fn adopt(&mut self, version: Version, index: Index, rows: Vec<Row>) {
        if self.store.is_adopting() || self.stopping {
            return;
        }
        let now = self.clock.now();
        log::warn!(
            "place: adopting {} jobs of {}.",
            index.jobs.len(),
            index.home
        );
        let directory = self.directory.load_full();
        for row in rows {
            let Ok(job) = serde_json::from_value::<Job>(row.value) else {
                log::error!("place: row {} can't be read.", row.key);
                continue;
            };
            if job.is_final() {
                continue;
            }
            for (place, running) in adopted_attempts(&job, &directory, now) {
                self.running.insert(place, running);
            }
            self.store.add_adopted(row.version, job);
        }
        self.store.adopt(version, index);
    }

    fn read_inbox(&mut self, address: &Address<Self>) {
        let table = self.table.clone();
        let key = inbox_key(self.cfg.me);
        let address = address.clone();
        tokio::spawn(async move {
            let Ok(row) = table.read(&key).await else {
                return;
            };
            let inbox: Inbox = serde_json::from_value(row.value).unwrap_or_default();
            if inbox.cancelled.is_empty() {
                return;
            }
            // The actor ends only with the process.
            let _ = address.send(InboxRead(inbox)).detach().await;
            let op = format!("inbox-{:032x}", rand::rng().random::<u128>());
            let empty = json!(Inbox::default());
            let commit = Commit::new(op).write(key, row.version, empty);
            // What stays is read again at the next turn, which does no harm.
            let _ = table.commit_once(&commit).await;
        });
    }

    fn on_conflict(&mut self, address: &Address<Self>, flight: &Flight, keys: &[String]) {
        self.store.failed(flight);
        if keys.iter().any(|k| self.store.is_adopted_key(k)) {
            log::info!("place: another home adopted the jobs first.");
            self.store.abandon_adoption();
            self.running
                .retain(|(id, _), _| self.store.get(id).is_some());
            return;
        }
        if keys.contains(&self.store.index_key()) {
            log::error!(
                "place: the jobs of this home were adopted by another; it lets go of them."
            );
            self.fenced = true;
            self.running.clear();
            return;
        }
        for key in keys {
            let Some(id) = key.strip_prefix("jobs/").map(str::to_owned) else {
                continue;
            };
            let table = self.table.clone();
            let address = address.clone();
            tokio::spawn(async move {
                if let Ok(row) = table.read(&job_key(&id)).await {
                    // The actor ends only with the process.
                    let _ = address.send(Reread(id, row)).detach().await;
                }
            });
        }
    }

    fn refuse_waiting(&mut self, flight: &Flight, reason: &str) {
        for id in &flight.jobs {
            if let Some(reply) = self.waiting.remove(id) {
                self.store.remove(id);
                // The caller may have given up.
                let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            }
        }
    }
}

/// Finds a home that is gone and still has jobs.
struct OrphanSearch {
    table: Table,
    domain: Domain,
    members: HashSet<Incarnation>,
}

impl OrphanSearch {
    async fn run(&self) -> Option<(Version, Index, Vec<Row>)> {
        let rows = self.table.scan(&index_prefix(self.domain)).await.ok()?;
        for row in rows {
            let Ok(index) = serde_json::from_value::<Index>(row.value) else {
                continue;
            };
            let orphaned = !index.adopted && !self.members.contains(&index.home);
            if !orphaned {
                continue;
            }
            let mut jobs = Vec::new();
            for id in &index.jobs {
                jobs.push(self.table.read(&job_key(id)).await.ok()?);
            }
            return Some((row.version, index, jobs));
        }
        None
    }
}

/// Returns the attempts of an adopted job that may still run: they are stopped first.
fn adopted_attempts(job: &Job, directory: &Directory, now: Instant) -> Vec<(Place, Running)> {
    let mut attempts = Vec::new();
    for (index, task) in job.tasks.iter().enumerate() {
        let Phase::Claimed { worker, .. } = task.phase else {
            continue;
        };
        let known = directory.list.workers.iter().find(|w| w.id == worker);
        let agent = known.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |w| w.agent);
        let running = Running {
            task: TaskRef {
                task: format!("{}/{index}", job.id),
                attempt: task.attempt,
            },
            agent,
            worker,
            slot: None,
            sent: now,
            heard: now,
            carried_by: None,
            started: true,
            calling: false,
            stopping: Some(StopReason::Adopted),
        };
        attempts.push(((job.id.clone(), index), running));
    }
    attempts
}

/// Takes a slot for a task on the worker with the fewest tasks.
fn take_slot(directory: &Directory, most: u32, now: Instant) -> Option<TaskSlot> {
    let mut workers: Vec<_> = directory.workers.values().collect();
    workers.sort_unstable_by_key(|w| (w.tasks(), w.gate.in_use(), w.id));
    let mut slots = workers
        .into_iter()
        .map(|w| w.try_take_for_task(most, SPARE_SLOTS, now));
    slots.find_map(|slot| slot)
}

fn unix_millis(time: SystemTime) -> u64 {
    millis(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Handler<Tick> for Jobs {
    type Return = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self>) {
        if let Some(address) = cx.mailbox().address().try_upgrade() {
            self.tick(&address);
        }
    }
}

impl Handler<Submit> for Jobs {
    type Return = ();

    async fn handle(&mut self, Submit { spec, reply }: Submit, cx: &mut Context<Self>) {
        let refused = if self.stopping || self.fenced {
            Some("the instance is ending")
        } else if self.store.len() >= MOST_JOBS {
            Some("too many jobs wait here")
        } else {
            None
        };
        if let Some(reason) = refused {
            // The caller may have given up.
            let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            return;
        }
        let id = format!(
            "{}-{:032x}",
            self.cfg.domain.0,
            rand::rng().random::<u128>()
        );
        self.store.add(Job::new(id.clone(), spec, self.cfg.me));
        self.waiting.insert(id, reply);
        if let Some(address) = cx.mailbox().address().try_upgrade() {
            self.flush(&address);
        }
    }
}

impl Handler<Cancel> for Jobs {
    type Return = ();

    async fn handle(&mut self, Cancel(id): Cancel, _: &mut Context<Self>) {
        if let Some(stored) = self.store.get_mut(&id) {
            stored.job.cancelled = true;
            stored.dirty = true;
        }
    }
}

impl Handler<Stop> for Jobs {
    type Return = bool;

    async fn handle(&mut self, _: Stop, _: &mut Context<Self>) -> bool {
        self.stopping = true;
        let written = self.store.is_written();
        self.fenced || (self.running.is_empty() && written)
    }
}

impl Handler<Committed> for Jobs {
    type Return = ();

    async fn handle(&mut self, done: Committed, cx: &mut Context<Self>) {
        let Some(address) = cx.mailbox().address().try_upgrade() else {
            return;
        };
        match done.result {
            Ok(Outcome::Applied) => self.on_applied(&address, &done.flight),
            Ok(Outcome::Conflict(keys)) => self.on_conflict(&address, &done.flight, &keys),
            Ok(Outcome::Overtaken) => {
                let keys: Vec<String> = done
                    .flight
                    .commit
                    .writes
                    .iter()
                    .map(|w| w.key.clone())
                    .collect();
                self.on_conflict(&address, &done.flight, &keys);
            }
            Err(e) if e.is_unwritten() => {
                self.store.failed(&done.flight);
                self.hold_claims_until = Some(self.clock.now() + CLAIM_PAUSE);
                self.return_claims();
                self.refuse_waiting(&done.flight, "the platform's table can't be reached");
            }
            Err(e) => {
                log::warn!("place: a write is unclear: {e}.");
                for id in &done.flight.jobs {
                    if let Some(reply) = self.waiting.remove(id) {
                        // The caller may have given up.
                        let _ = reply.send(SubmitOutcome::Unknown(id.clone()));
                    }
                }
                self.unclear = Some(done.flight);
            }
        }
    }
}

impl Handler<Heard> for Jobs {
    type Return = ();

    async fn handle(&mut self, heard: Heard, _: &mut Context<Self>) {
        self.on_heard(heard);
    }
}

impl Handler<Adoptable> for Jobs {
    type Return = ();

    async fn handle(&mut self, Adoptable(found): Adoptable, _: &mut Context<Self>) {
        if let Some((version, index, rows)) = found {
            self.adopt(version, index, rows);
        }
    }
}

impl Handler<InboxRead> for Jobs {
    type Return = ();

    async fn handle(&mut self, InboxRead(inbox): InboxRead, _: &mut Context<Self>) {
        for id in inbox.cancelled {
            if let Some(stored) = self.store.get_mut(&id) {
                stored.job.cancelled = true;
                stored.dirty = true;
            }
        }
    }
}

impl Handler<Reread> for Jobs {
    type Return = ();

    async fn handle(&mut self, Reread(id, row): Reread, _: &mut Context<Self>) {
        let Ok(job) = serde_json::from_value::<Job>(row.value) else {
            log::error!("place: row {} can't be read.", row.key);
            return;
        };
        let mine = job.home == self.cfg.me;
        match self.store.get_mut(&id) {
            Some(stored) if mine => {
                stored.version = row.version;
                stored.job.cancelled |= job.cancelled;
                stored.dirty = true;
            }
            Some(_) => {
                log::warn!("place: job={id} has another home now.");
                self.store.remove(&id);
                self.running.retain(|(job, _), _| *job != id);
            }
            None => {}
        }
    }
}
