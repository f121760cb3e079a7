//! The actor that drives the jobs of this home.

use {
    super::{
        attempts::unix_millis,
        keys::{Inbox, Index, inbox_key},
        running::{RunningAttempt, StopReason, TaskKey},
        store::{JobStore, PendingCommit},
    },
    crate::{directory::Directory, metrics::Metrics, worker::Worker},
    arc_swap::ArcSwap,
    marigoldbend::{
        core::{
            clock::Clock,
            hash::HashMap,
            ids::{Domain, Incarnation, Version},
            task::{Job, JobSpec},
        },
        platform::{
            table::{CommitOutcome, Table, TableError},
            wire::{AttemptStatus, Commit, Row},
            workers::TaskAgentClient,
        },
    },
    rand::RngExt,
    serde_json::json,
    std::{
        net::IpAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::sync::oneshot,
    xtra::prelude::*,
};

/// The time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(100);

/// The time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two looks for jobs whose home is gone.
const ADOPT_INTERVAL: Duration = Duration::from_secs(2);

/// The time between two reads of the inbox row.
const INBOX_INTERVAL: Duration = Duration::from_secs(1);

/// The time without claims after a write that could not be made.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

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

/// A transaction has ended.
pub(super) struct Committed {
    pub(super) pending: PendingCommit,
    pub(super) result: Result<CommitOutcome, TableError>,
}

/// An agent has answered, or not.
pub(super) struct AgentReply {
    pub(super) task_keys: Vec<TaskKey>,
    pub(super) statuses: Option<Vec<AttemptStatus>>,
}

/// An agent that was mute has been asked for a sign of life.
pub(super) struct AgentProbed {
    pub(super) worker: Arc<Worker>,
    pub(super) answered: bool,
}

/// Index rows of the domain have been read, and the jobs of one that can be adopted.
pub(super) struct OrphansFound(pub(super) Option<(Version, Index, Vec<Row>)>);

/// The inbox has been read and emptied.
pub(super) struct InboxRead(pub(super) Inbox);

/// The row of a job has been read again after a conflict.
pub(super) struct RowReread(pub(super) String, pub(super) Row);

/// The actor that drives the jobs of one home.
#[derive(xtra::Actor)]
pub struct Jobs {
    pub(super) cfg: JobsConfig,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) directory: Arc<ArcSwap<Directory>>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) table: Table,
    pub(super) agents: TaskAgentClient,
    pub(super) store: JobStore,
    pub(super) running: HashMap<TaskKey, RunningAttempt>,
    pub(super) waiting_submits: HashMap<String, oneshot::Sender<SubmitOutcome>>,
    /// The transaction whose outcome is still unclear.
    pub(super) unclear: Option<PendingCommit>,
    /// Nothing is claimed before this instant, since claims can't be written.
    pub(super) hold_claims_until: Option<Instant>,
    pub(super) stopping: bool,
    pub(super) fenced: bool,
    pub(super) next_renew: Instant,
    pub(super) next_adopt: Instant,
    pub(super) next_inbox: Instant,
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
            agents: TaskAgentClient::new(cfg.platform_timeout, cfg.local_ip),
            store: JobStore::new(cfg.domain, cfg.me),
            cfg,
            clock,
            directory,
            metrics,
            running: HashMap::default(),
            waiting_submits: HashMap::default(),
            unclear: None,
            hold_claims_until: None,
            stopping: false,
            fenced: false,
            next_renew: now,
            next_adopt: now,
            next_inbox: now,
        }
    }

    pub(super) fn count(&self, event: &str) {
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
        // Before the next stop is sent: what is asked again each time would never lapse.
        self.drop_expired(now);
        if now >= self.next_renew {
            self.next_renew = now + RENEW_INTERVAL;
            self.renew(address, now);
        }
        self.stop_tasks(address);
        self.probe_agents(address, &directory, now);
        if now >= self.next_adopt && !self.stopping {
            self.next_adopt = now + ADOPT_INTERVAL;
            self.find_orphans(address, &directory);
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
                if task.phase.is_final() {
                    continue;
                }
                if task.cancel() {
                    stored.dirty = true;
                    continue;
                }
                if let Some(running) = self.running.get_mut(&(id.clone(), index)) {
                    running.stopping = Some(StopReason::Cancelled);
                }
            }
        }
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
        // Ids sort by age, which is the order in which jobs take their turn.
        let id = format!(
            "{}-{:012x}{:016x}",
            self.cfg.domain.0,
            unix_millis(SystemTime::now()),
            rand::rng().random::<u64>(),
        );
        self.store.add(Job::new(id.clone(), spec, self.cfg.me));
        self.waiting_submits.insert(id, reply);
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
            Ok(CommitOutcome::Applied) => self.on_applied(&address, &done.pending),
            Ok(CommitOutcome::Conflict(keys)) => self.on_conflict(&address, &done.pending, &keys),
            Ok(CommitOutcome::Superseded) => {
                let keys: Vec<String> = done
                    .pending
                    .commit
                    .writes
                    .iter()
                    .map(|w| w.key.clone())
                    .collect();
                self.on_conflict(&address, &done.pending, &keys);
            }
            Err(e) if e.is_unwritten() => {
                self.store.mark_failed(&done.pending);
                self.hold_claims_until = Some(self.clock.now() + CLAIM_PAUSE);
                self.return_claims();
                self.refuse_waiting(&done.pending, "the platform's table can't be reached");
            }
            Err(e) => {
                log::warn!("place: a write is unclear: {e}.");
                for id in &done.pending.jobs {
                    if let Some(reply) = self.waiting_submits.remove(id) {
                        // The caller may have given up.
                        let _ = reply.send(SubmitOutcome::Unknown(id.clone()));
                    }
                }
                self.unclear = Some(done.pending);
            }
        }
    }
}

impl Handler<AgentReply> for Jobs {
    type Return = ();

    async fn handle(&mut self, reply: AgentReply, _: &mut Context<Self>) {
        self.on_agent_reply(reply);
    }
}

impl Handler<AgentProbed> for Jobs {
    type Return = ();

    async fn handle(&mut self, probed: AgentProbed, _: &mut Context<Self>) {
        self.record_agent_outcome(&probed.worker, probed.answered);
    }
}

impl Handler<OrphansFound> for Jobs {
    type Return = ();

    async fn handle(&mut self, OrphansFound(found): OrphansFound, _: &mut Context<Self>) {
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

impl Handler<RowReread> for Jobs {
    type Return = ();

    async fn handle(&mut self, RowReread(id, row): RowReread, _: &mut Context<Self>) {
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
