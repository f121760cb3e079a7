//! The actor that coordinates the jobs of this home, and its messages.

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

/// The interval at which the actor checks for due work.
pub const TICK: Duration = Duration::from_millis(100);

/// The interval at which leases are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two searches for a departed home whose jobs are to be adopted.
const ADOPT_INTERVAL: Duration = Duration::from_secs(2);

/// The interval between two reads of this home's inbox row.
const INBOX_INTERVAL: Duration = Duration::from_secs(1);

/// How long claims pause after a transaction that the table certainly did not write.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

/// The number of jobs in memory at which a home refuses new ones.
const MAX_JOBS: usize = 10_000;

/// The settings of the jobs actor.
pub struct JobsConfig {
    /// The incarnation of this instance.
    pub me: Incarnation,
    /// The failure domain of this instance.
    pub domain: Domain,
    /// The local address of outgoing connections; the system chooses one if absent.
    pub local_ip: Option<IpAddr>,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The timeout of one call to the platform or to a worker's agent.
    pub platform_timeout: Duration,
}

/// The outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is stored under this id.
    Accepted(String),
    /// The job was not accepted, for this reason.
    Refused(String),
    /// The outcome of the write is unknown: the job may have been stored under this id.
    Unknown(String),
}

/// Submits a job; the reply is sent once the job is stored in the table.
pub struct Submit {
    /// The job's specification.
    pub spec: JobSpec,
    /// Receives the outcome.
    pub reply: oneshot::Sender<SubmitOutcome>,
}

/// Reports that a caller has cancelled the job with this id; the job's row is already marked as
/// cancelled.
pub struct Cancel(pub String);

/// Runs the work that is due; sent every [`TICK`].
pub struct Tick;

/// Stops all tasks with a checkpoint and returns them to the queue, because the instance shuts
/// down. The reply is true once no task runs any more and all changes are written, or once this
/// home is fenced.
pub struct Stop;

/// The result of a transaction.
pub(super) struct Committed {
    pub(super) pending: PendingCommit,
    pub(super) result: Result<CommitOutcome, TableError>,
}

/// The result of a call to a worker's agent about the tasks `task_keys`.
pub(super) struct AgentReply {
    pub(super) task_keys: Vec<TaskKey>,
    /// One status for each of `task_keys`, in order; `None` if the call failed.
    pub(super) statuses: Option<Vec<AttemptStatus>>,
}

/// The result of a probe of a worker's agent that did not answer earlier calls.
pub(super) struct AgentProbed {
    pub(super) worker: Arc<Worker>,
    pub(super) answered: bool,
}

/// The result of a search for a departed home: the version of its index row, the contents of that
/// row and the rows of its jobs; `None` if there is no such home or the search failed.
pub(super) struct DepartedHomeFound(pub(super) Option<(Version, Index, Vec<Row>)>);

/// The contents of this home's inbox row, if it lists any job.
pub(super) struct InboxRead(pub(super) Inbox);

/// The id of a job and its row, which was read again because a write of it conflicted.
pub(super) struct RowReread(pub(super) String, pub(super) Row);

/// The actor that coordinates the jobs of one home.
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
    pub(super) pending_submits: HashMap<String, oneshot::Sender<SubmitOutcome>>,
    /// A transaction with unknown outcome; it is sent again before any other.
    pub(super) unresolved_commit: Option<PendingCommit>,
    /// When claims resume after a transaction was not written; `None` before the first such
    /// failure.
    pub(super) claims_paused_until: Option<Instant>,
    /// Whether the instance is shutting down. It accepts, claims and adopts nothing any more.
    pub(super) stopping: bool,
    /// Whether another home has adopted the jobs of this home. A fenced home does nothing any more.
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
            pending_submits: HashMap::default(),
            unresolved_commit: None,
            claims_paused_until: None,
            stopping: false,
            fenced: false,
            next_renew: now,
            next_adopt: now,
            next_inbox: now,
        }
    }

    /// Counts a task event in the metrics.
    pub(super) fn count_event(&self, event: &str) {
        self.metrics.tasks.with_label_values(&[event]).inc();
    }

    fn tick(&mut self, address: &Address<Self>) {
        if self.fenced {
            return;
        }
        let now = self.clock.now();
        let directory = self.directory.load_full();
        self.mark_attempts_to_stop(&directory);
        self.cancel_jobs();
        let claims_paused = self.claims_paused_until.is_some_and(|until| now < until);
        if !self.stopping && !claims_paused && self.unresolved_commit.is_none() {
            self.claim_tasks(&directory, now);
        }
        self.flush(address);
        // Precedes `stop_tasks`, which makes a call for each attempt to be stopped: an attempt does
        // not expire while its call is pending.
        self.drop_expired(now);
        if now >= self.next_renew {
            self.next_renew = now + RENEW_INTERVAL;
            self.renew(address, now);
        }
        self.stop_tasks(address);
        self.probe_agents(address, &directory, now);
        if now >= self.next_adopt && !self.stopping {
            self.next_adopt = now + ADOPT_INTERVAL;
            self.find_departed_home(address, &directory);
        }
        if now >= self.next_inbox && self.store.len() > 0 {
            self.next_inbox = now + INBOX_INTERVAL;
            self.read_inbox(address);
        }
    }

    /// Marks attempts on leaving workers to be stopped, or all of them if the instance shuts down.
    fn mark_attempts_to_stop(&mut self, directory: &Directory) {
        let stopping = self.stopping;
        for running in self.running.values_mut() {
            let worker = directory.workers.get(&running.worker);
            let leaving = worker.is_some_and(|w| w.is_leaving());
            if (stopping || leaving) && running.stop_reason.is_none() {
                running.stop_reason = Some(StopReason::Evicted);
            }
        }
    }

    /// Cancels the queued tasks of cancelled jobs and marks their running attempts to be stopped.
    fn cancel_jobs(&mut self) {
        for id in self.store.ids() {
            let Some(stored) = self.store.get_mut(&id) else {
                continue;
            };
            if !stored.job.cancelled {
                continue;
            }
            for (task_index, task) in stored.job.tasks.iter_mut().enumerate() {
                if task.phase.is_final() {
                    continue;
                }
                if task.cancel() {
                    stored.dirty = true;
                    continue;
                }
                if let Some(running) = self.running.get_mut(&(id.clone(), task_index)) {
                    running.stop_reason = Some(StopReason::Cancelled);
                }
            }
        }
    }

    /// Reads this home's inbox row, sends its contents to the actor and empties the row.
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
            // If this write fails, the same cancellations are read again, which is harmless.
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
        let refusal_reason = if self.stopping || self.fenced {
            Some("the instance is shutting down")
        } else if self.store.len() >= MAX_JOBS {
            Some("the instance has too many unfinished jobs")
        } else {
            None
        };
        if let Some(reason) = refusal_reason {
            // The caller may have given up.
            let _ = reply.send(SubmitOutcome::Refused(reason.to_owned()));
            return;
        }
        // Ids sort by creation time, which is the order in which jobs of equal urgency are claimed.
        let id = format!(
            "{}-{:012x}{:016x}",
            self.cfg.domain.0,
            unix_millis(SystemTime::now()),
            rand::rng().random::<u64>(),
        );
        self.store.add(Job::new(id.clone(), spec, self.cfg.me));
        self.pending_submits.insert(id, reply);
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
                self.claims_paused_until = Some(self.clock.now() + CLAIM_PAUSE);
                self.return_claims();
                self.refuse_submits(&done.pending, "the platform's table can't be reached");
            }
            Err(e) => {
                log::warn!(
                    "place: the outcome of a write is unknown; sending the write again: {e}."
                );
                for id in &done.pending.jobs {
                    if let Some(reply) = self.pending_submits.remove(id) {
                        // The caller may have given up.
                        let _ = reply.send(SubmitOutcome::Unknown(id.clone()));
                    }
                }
                self.unresolved_commit = Some(done.pending);
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

impl Handler<DepartedHomeFound> for Jobs {
    type Return = ();

    async fn handle(
        &mut self,
        DepartedHomeFound(departed_home): DepartedHomeFound,
        _: &mut Context<Self>,
    ) {
        if let Some((version, index, rows)) = departed_home {
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
            log::error!(
                "place: row {} can't be decoded; the job in memory is not updated.",
                row.key
            );
            return;
        };
        let is_own = job.home == self.cfg.me;
        match self.store.get_mut(&id) {
            Some(stored) if is_own => {
                stored.version = row.version;
                stored.job.cancelled |= job.cancelled;
                stored.dirty = true;
            }
            Some(_) => {
                log::warn!("place: job={id} was adopted by another home.");
                self.store.remove(&id);
                self.running.retain(|(job, _), _| *job != id);
            }
            None => {}
        }
    }
}
