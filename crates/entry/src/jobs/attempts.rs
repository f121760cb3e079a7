//! The life of an attempt after its claim: start, leases, stop and end.

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

/// How long a lease holds without a renewal.
const LEASE: Duration = Duration::from_secs(4);

/// After the newest renewal that was sent, the time by which a lease has surely lapsed: the
/// lease, a tenth for clock drift, and the time that the call itself may take.
const SURELY_LAPSED: Duration = Duration::from_millis(4_000 + 400 + 1_000);

/// The time without a reply after which leases are not renewed any more, so that they lapse.
const GIVE_UP_RENEWING: Duration = Duration::from_secs(10);

impl Jobs {
    pub(super) fn start(&mut self, address: &Address<Self>, task_key: TaskKey) {
        let now = self.clock.now();
        let Some(stored) = self.store.get(&task_key.0) else {
            return;
        };
        let task = &stored.job.tasks[task_key.1];
        let Some(running) = self.running.get_mut(&task_key) else {
            return;
        };
        if task.attempt != running.task.attempt || running.stopping.is_some() {
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
            lease_ms: millis(LEASE),
            not_after_unix_ms: unix_millis(SystemTime::now() + LEASE),
        };
        let agent = running.agent;
        let agents = self.agents.clone();
        self.count("started");
        let call = async move { agents.start(agent, &start).await.ok() };
        report(address, task_key, call);
    }

    /// Renews the leases of all running attempts, one call a worker.
    pub(super) fn renew(&mut self, address: &Address<Self>, now: Instant) {
        let mut by_agent: HashMap<SocketAddr, Vec<TaskKey>> = HashMap::default();
        for (task_key, running) in &mut self.running {
            let held = running.started && running.stopping.is_none();
            if !held || running.call_pending {
                continue;
            }
            let mute = now.saturating_duration_since(running.last_reply) > GIVE_UP_RENEWING;
            if mute {
                // The attempt may have finished meanwhile: its worker is asked before it lapses.
                running.stopping = Some(StopReason::Unknown);
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
                lease_ms: millis(LEASE),
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

    fn task_refs(&self, task_keys: &[TaskKey]) -> Vec<TaskRef> {
        let running = task_keys.iter().filter_map(|p| self.running.get(p));
        running.map(|r| r.task.clone()).collect()
    }

    /// Stops the attempts that are to be stopped, until their workers confirm it.
    pub(super) fn stop_tasks(&mut self, address: &Address<Self>) {
        for (task_key, running) in &mut self.running {
            let Some(reason) = running.stopping else {
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
            report(address, task_key.clone(), call);
        }
        self.return_unstarted();
    }

    /// Gives back claims that were never started and are to be stopped.
    fn return_unstarted(&mut self) {
        self.return_where(|r| !r.started && r.stopping.is_some());
    }

    /// Gives back claims that could not be written.
    pub(super) fn return_claims(&mut self) {
        self.return_where(|r| !r.started);
    }

    fn return_where(&mut self, matches: impl Fn(&RunningAttempt) -> bool) {
        let due: Vec<TaskKey> = self
            .running
            .iter()
            .filter(|(_, r)| matches(r))
            .map(|(task_key, _)| task_key.clone())
            .collect();
        for task_key in due {
            self.end(&task_key, AttemptState::Stopped, 0);
        }
    }

    /// Gives up attempts whose stop got no answer, once their leases have surely lapsed.
    pub(super) fn drop_expired(&mut self, now: Instant) {
        let lapsed = |r: &RunningAttempt| {
            if r.stopping.is_none() {
                return false;
            }
            let unheard = now.saturating_duration_since(r.last_reply) > GIVE_UP_RENEWING;
            unheard && now.saturating_duration_since(r.last_sent) > SURELY_LAPSED && !r.call_pending
        };
        let due: Vec<TaskKey> = self
            .running
            .iter()
            .filter(|(_, r)| r.started && lapsed(r))
            .map(|(task_key, _)| task_key.clone())
            .collect();
        for task_key in due {
            self.end(&task_key, AttemptState::Lapsed, 0);
        }
    }

    /// Takes in what an agent said of some attempts, or that it said nothing.
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
        let slot = reply.task_keys.first().and_then(|p| self.running.get(p));
        let worker = slot.and_then(|r| r.slot.as_ref()).map(|s| s.worker.clone());
        if let Some(worker) = worker {
            self.record_agent_outcome(&worker, reply.statuses.is_some());
        }
        let Some(statuses) = reply.statuses else {
            return;
        };
        for (task_key, status) in reply.task_keys.iter().zip(statuses) {
            let current = self.running.get(task_key);
            let same = current.is_some_and(|r| r.task == status.task);
            if same && status.state == AttemptState::Unknown {
                // Its start may still be on the way.
                if let Some(running) = self.running.get_mut(task_key) {
                    running.stopping.get_or_insert(StopReason::Unknown);
                }
            } else if same && status.state != AttemptState::Running {
                self.end(task_key, status.state, status.progress_ms);
            }
        }
    }

    /// Records the end of an attempt.
    fn end(&mut self, task_key: &TaskKey, state: AttemptState, progress_ms: u64) {
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

    /// Asks the agents that were mute for a sign of life, when it is time to.
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
                "place: worker={} ejected from batch work: its agent is mute.",
                worker.id
            );
        }
    }

    fn record_task_failure(&self, running: &RunningAttempt, why: &str) {
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
}

/// Makes a call that concerns one attempt, and reports what came of it to the actor.
fn report<F>(address: &Address<Jobs>, task_key: TaskKey, call: F)
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
