//! Attempts whose claims are written: their start, lease renewals, stop and end.

use {
    super::{
        actor::{AgentProbed, AgentReply, Jobs},
        running::{RunningAttempt, StopReason, TaskKey},
    },
    crate::{directory::Directory, worker::Worker},
    marigoldbend::{
        core::hash::HashMap,
        platform::wire::{AttemptState, AttemptStatus, RenewTasks, StartTask, StopTask, TaskRef},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    xtra::prelude::*,
};

/// How long a worker may run an attempt without a renewal of its lease.
const LEASE_DURATION: Duration = Duration::from_secs(4);

/// The time from sending the last start or renewal until the lease has certainly expired: the lease
/// duration, a tenth of it for clock drift, and the duration of the call.
const LEASE_EXPIRY_BOUND: Duration = Duration::from_millis(4_000 + 400 + 1_000);

/// How long leases are renewed after the last reply of a worker's agent. After that, only stops are
/// sent, so that the leases expire.
const MAX_AGENT_SILENCE: Duration = Duration::from_secs(10);

impl Jobs {
    /// Starts an attempt whose claim is written, by a call to its worker's agent.
    pub(super) fn start(&mut self, address: &Address<Self>, task_key: TaskKey) {
        let now = self.clock.now();
        let Some(stored) = self.store.get(&task_key.0) else {
            return;
        };
        let task = &stored.job.tasks[task_key.1];
        let Some(running) = self.running.get_mut(&task_key) else {
            return;
        };
        if task.attempt != running.task.attempt || running.stop_reason.is_some() {
            return;
        }
        running.started = true;
        running.call_pending = true;
        running.last_sent = now;
        let start = StartTask {
            task: running.task.clone(),
            class: stored.job.spec.class.clone(),
            run_ms: stored.job.spec.run_ms,
            progress_ms: task.progress_ms,
            lease_ms: millis(LEASE_DURATION),
            not_after_unix_ms: unix_millis(SystemTime::now() + LEASE_DURATION),
        };
        let agent = running.agent;
        let agents = self.agents.clone();
        self.count_event("started");
        let call = async move { agents.start(agent, &start).await.ok() };
        spawn_call(address, task_key, call);
    }

    /// Renews the leases of all running attempts, with one call per worker.
    pub(super) fn renew(&mut self, address: &Address<Self>, now: Instant) {
        let mut by_agent: HashMap<SocketAddr, Vec<TaskKey>> = HashMap::default();
        for (task_key, running) in &mut self.running {
            let needs_renewal = running.started && running.stop_reason.is_none();
            if !needs_renewal || running.call_pending {
                continue;
            }
            let is_unresponsive =
                now.saturating_duration_since(running.last_reply) > MAX_AGENT_SILENCE;
            if is_unresponsive {
                // The attempt may have finished in the meantime; the reply to a stop says so.
                running.stop_reason = Some(StopReason::Unknown);
            } else {
                running.call_pending = true;
                running.last_sent = now;
                by_agent
                    .entry(running.agent)
                    .or_default()
                    .push(task_key.clone());
            }
        }
        for (agent, task_keys) in by_agent {
            let renew = RenewTasks {
                tasks: self.task_refs(&task_keys),
                lease_ms: millis(LEASE_DURATION),
            };
            let agents = self.agents.clone();
            let address = address.clone();
            tokio::spawn(async move {
                let renewed = agents.renew(agent, &renew).await.ok();
                let statuses = renewed.map(|r| r.tasks);
                // The actor ends only with the process.
                let _ = address
                    .send(AgentReply {
                        task_keys,
                        statuses,
                    })
                    .detach()
                    .await;
            });
        }
    }

    /// Returns the references, as sent to agents, to those attempts that are still in `running`.
    fn task_refs(&self, task_keys: &[TaskKey]) -> Vec<TaskRef> {
        let running = task_keys.iter().filter_map(|key| self.running.get(key));
        running.map(|r| r.task.clone()).collect()
    }

    /// Sends a stop for each attempt that has a reason to be stopped, unless a call about the
    /// attempt is pending. A stop is sent again until the worker's agent confirms it.
    pub(super) fn stop_tasks(&mut self, address: &Address<Self>) {
        for (task_key, running) in &mut self.running {
            let Some(reason) = running.stop_reason else {
                continue;
            };
            if running.call_pending || !running.started {
                continue;
            }
            running.call_pending = true;
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
            let agents = self.agents.clone();
            let call = async move { agents.stop(agent, &stop).await.ok() };
            spawn_call(address, task_key.clone(), call);
        }
        self.return_unstarted();
    }

    /// Returns those tasks to the queue whose attempts are to be stopped before they were started.
    fn return_unstarted(&mut self) {
        self.return_where(|r| !r.started && r.stop_reason.is_some());
    }

    /// Returns all tasks to the queue whose attempts are claimed but not started, after a
    /// transaction was not written.
    pub(super) fn return_claims(&mut self) {
        self.return_where(|r| !r.started);
    }

    /// Ends the attempts for which `matches` returns true, which returns their tasks to the queue.
    fn return_where(&mut self, matches: impl Fn(&RunningAttempt) -> bool) {
        let due: Vec<TaskKey> = self
            .running
            .iter()
            .filter(|(_, r)| matches(r))
            .map(|(task_key, _)| task_key.clone())
            .collect();
        for task_key in due {
            self.end_attempt(&task_key, AttemptState::Stopped, 0);
        }
    }

    /// Ends attempts whose stop got no reply, once their leases have certainly expired.
    pub(super) fn drop_expired(&mut self, now: Instant) {
        let has_expired = |r: &RunningAttempt| {
            if r.stop_reason.is_none() {
                return false;
            }
            let is_unresponsive = now.saturating_duration_since(r.last_reply) > MAX_AGENT_SILENCE;
            is_unresponsive
                && now.saturating_duration_since(r.last_sent) > LEASE_EXPIRY_BOUND
                && !r.call_pending
        };
        let due: Vec<TaskKey> = self
            .running
            .iter()
            .filter(|(_, r)| r.started && has_expired(r))
            .map(|(task_key, _)| task_key.clone())
            .collect();
        for task_key in due {
            self.end_attempt(&task_key, AttemptState::Lapsed, 0);
        }
    }

    /// Applies the result of a call to an agent to the attempts that the call was about.
    pub(super) fn on_agent_reply(&mut self, reply: AgentReply) {
        let now = self.clock.now();
        for task_key in &reply.task_keys {
            if let Some(running) = self.running.get_mut(task_key) {
                running.call_pending = false;
                if reply.statuses.is_some() {
                    running.last_reply = now;
                }
            }
        }
        let first_attempt = reply
            .task_keys
            .first()
            .and_then(|key| self.running.get(key));
        let worker = first_attempt
            .and_then(|r| r.slot.as_ref())
            .map(|s| s.worker.clone());
        if let Some(worker) = worker {
            self.record_agent_outcome(&worker, reply.statuses.is_some());
        }
        let Some(statuses) = reply.statuses else {
            return;
        };
        for (task_key, status) in reply.task_keys.iter().zip(statuses) {
            let current = self.running.get(task_key);
            let is_current = current.is_some_and(|r| r.task == status.task);
            if is_current && status.state == AttemptState::Unknown {
                // The start may still arrive at the agent, so the attempt is stopped.
                if let Some(running) = self.running.get_mut(task_key) {
                    running.stop_reason.get_or_insert(StopReason::Unknown);
                }
            } else if is_current && status.state != AttemptState::Running {
                self.end_attempt(task_key, status.state, status.progress_ms);
            }
        }
    }

    /// Removes an attempt that ended in `state` and updates its task, which finishes, fails, is
    /// cancelled or returns to the queue. `progress_ms` is the progress that the agent reported,
    /// or zero.
    fn end_attempt(&mut self, task_key: &TaskKey, state: AttemptState, progress_ms: u64) {
        let Some(running) = self.running.remove(task_key) else {
            return;
        };
        let Some(stored) = self.store.get_mut(&task_key.0) else {
            return;
        };
        stored.dirty = true;
        let cancelled = stored.job.cancelled;
        let attempt = running.task.attempt;
        let task = &mut stored.job.tasks[task_key.1];
        let evicted = running.stop_reason == Some(StopReason::Evicted) && running.started;
        let (event, transition) = match state {
            AttemptState::Done => ("done", task.finish(attempt)),
            _ if cancelled => ("cancelled", task.cancel_stopped(attempt)),
            AttemptState::Failed => {
                let reason = "the task failed too many times";
                ("failed", task.fail(attempt, reason).map(|_| ()))
            }
            AttemptState::Stopped if evicted => {
                ("evicted", task.requeue(attempt, progress_ms, true))
            }
            AttemptState::Lapsed => ("lapsed", task.requeue(attempt, progress_ms, false)),
            _ => ("returned", task.requeue(attempt, progress_ms, false)),
        };
        if let Err(e) = transition {
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
        self.count_event(event);
    }

    /// Probes the unresponsive agents whose next probe is due.
    pub(super) fn probe_agents(
        &self,
        address: &Address<Jobs>,
        directory: &Directory,
        now: Instant,
    ) {
        for worker in directory.workers.values() {
            if !worker.agent_probe_due(now) {
                continue;
            }
            let agents = self.agents.clone();
            let address = address.clone();
            let worker = worker.clone();
            tokio::spawn(async move {
                let answered = agents.usage(worker.agent).await.is_ok();
                // The actor ends only with the process.
                let _ = address
                    .send(AgentProbed { worker, answered })
                    .detach()
                    .await;
            });
        }
    }

    /// Records whether a worker's agent answered a call.
    pub(super) fn record_agent_outcome(&self, worker: &Worker, answered: bool) {
        if answered {
            worker.record_agent_reply();
        } else if worker.record_agent_unresponsive(self.clock.now()) {
            self.metrics.ejections.inc();
            log::warn!(
                "place: worker={} ejected from batch work: its agent is unresponsive.",
                worker.id
            );
        }
    }

    /// Records that an attempt failed on its worker; `cause` appears in the log if this ejects the
    /// worker.
    fn record_task_failure(&self, running: &RunningAttempt, cause: &str) {
        let Some(slot) = &running.slot else {
            return;
        };
        if slot.worker.record_task_failure(self.clock.now()) {
            self.metrics.ejections.inc();
            log::warn!(
                "place: worker={} ejected from batch work after {cause}.",
                running.worker
            );
        }
    }
}

/// Spawns a call about one attempt and sends the call's result to the actor.
fn spawn_call<F>(address: &Address<Jobs>, task_key: TaskKey, call: F)
where
    F: Future<Output = Option<AttemptStatus>> + Send + 'static,
{
    let address = address.clone();
    tokio::spawn(async move {
        let reply = AgentReply {
            task_keys: vec![task_key],
            statuses: call.await.map(|status| vec![status]),
        };
        // The actor ends only with the process.
        let _ = address.send(reply).detach().await;
    });
}

/// Returns a wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_millis(time: SystemTime) -> u64 {
    millis(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
