//! The expiry of leases, and the resending of commands that got no reply.

use {
    super::{
        state::{Command, RunPhase, Shard, TOKENS_PER_LEADER, Worker},
        workers::UNRESPONSIVE_AFTER,
    },
    crate::sched::job::Resources,
    std::time::Instant,
};

impl Shard {
    /// Returns whether runs with expired leases, or starts on restarted workers, wait until the store
    /// confirms that this instance is still the leader; see [`Shard::confirm`].
    pub fn awaits_confirmation(&self) -> bool {
        self.awaits_confirmation
    }

    /// Returns whether the next report of a worker is needed at once, to learn that it refuses calls for its
    /// former incarnation.
    pub fn awaits_fence(&self, worker_id: &str) -> bool {
        let worker = self.workers.get(worker_id);
        worker.is_some_and(|w| w.clock.awaits_fence())
    }

    /// Treats runs as lost whose worker is unresponsive and whose leases have expired, and removes
    /// such workers if they are unlisted.
    ///
    /// A later leader may have renewed the leases. So the store must first confirm, in a call sent
    /// after the expiry, that there is no later leader: then the runs had ended before any later
    /// leader could renew their leases.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let unknown_runs_until = self.unknown_runs_until();
        let is_unresponsive = |w: &Worker| {
            w.answered_at
                .is_none_or(|at| now.duration_since(at) > UNRESPONSIVE_AFTER)
        };
        let mut lost = Vec::new();
        let mut unlisted = Vec::new();
        self.awaits_confirmation = false;
        for (id, worker) in &mut self.workers {
            if !is_unresponsive(worker) {
                worker.leases_expired_at = None;
                worker.is_settled = worker.clock.is_settled(self.confirmed_at);
                self.awaits_confirmation |= !worker.is_settled && !worker.clock.awaits_fence();
                continue;
            }
            // The clock has only the leases that this leader granted.
            let may_have_earlier_leases = worker.is_inherited || !worker.clock.has_sample();
            if (may_have_earlier_leases && now < worker.earlier_runs_until(unknown_runs_until))
                || (worker.clock.has_sample() && !worker.clock.has_expired(now))
            {
                continue;
            }
            let expired_at = *worker.leases_expired_at.get_or_insert(now);
            if self.confirmed_at <= expired_at {
                self.awaits_confirmation |= !worker.runs.is_empty();
                continue;
            }
            if !worker.runs.is_empty() {
                worker.log_expiry(id, now);
                worker.fence_late_starts();
                let names: Vec<_> = worker.runs.keys().copied().collect();
                lost.push((id.clone(), names));
            }
            if !worker.listed {
                unlisted.push(id.clone());
            }
        }
        for (id, names) in lost {
            self.record_losses(&id, &names, now);
            for task in names {
                self.lose_run(
                    &id,
                    task,
                    "the worker is unresponsive and its lease has expired",
                    now,
                );
            }
        }
        for id in unlisted {
            log::info!("jobs: worker={id} removed: it is unlisted and its leases have expired.");
            if let Some(worker) = self.workers.remove(&id) {
                let next = worker.incarnations + 1;
                self.removed_incarnations.insert(id.clone(), next);
                self.processes.forget(&worker.info.address, &id);
                // A write in progress may contain the worker.
                self.workers_in_use_dirty |= worker.is_stored_in_use || self.storing;
            }
            self.worker_addresses_changed = true;
        }
    }

    /// Returns whether any worker may have runs of an earlier leader that this one does not know, or
    /// ends of such runs: one that has sent no report to this leader, or only reports that may leave
    /// out ended attempts.
    ///
    /// Leaders start tasks only on workers in the stored list, so others have none.
    pub(super) fn may_have_unknown_runs(&self, now: Instant) -> bool {
        let is_unknown = |w: &Worker| {
            let has_passed = now >= w.earlier_runs_until(self.unknown_runs_until());
            // An end counts only while no lease has expired since, granted by this leader or an
            // earlier one.
            let has_expired = has_passed && (w.answered_at.is_none() || w.clock.has_expired(now));
            w.is_inherited && (w.answered_at.is_none() || w.omits_inherited_ends) && !has_expired
        };
        self.workers.values().any(is_unknown)
    }

    /// Returns the time by which runs of an earlier leader have ended on workers that have sent no
    /// report to this one.
    pub(super) fn unknown_runs_until(&self) -> Instant {
        self.unknown_runs_since + self.params.unknown_run_limit
    }

    /// Lets the wait for unknown runs begin anew, unless it is over: an earlier leader may still
    /// renew leases.
    pub fn extend_unknown_runs(&mut self, now: Instant) {
        if now < self.unknown_runs_until() {
            self.unknown_runs_since = self.unknown_runs_since.max(now);
        }
    }

    /// Queues again, for responsive workers, the start and stop commands that got no reply.
    ///
    /// If the capacity of a worker has shrunk below what it has reserved, or its failure domain is
    /// evacuated, an unanswered start is followed by a stop instead. None is sent again while starts
    /// are held back.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut resends = Vec::new();
        let starts_are_held = self.starts_are_held();
        for (id, worker) in &mut self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &mut worker.runs {
                let due = run.resend_at <= now && run.resend_at > run.added_at;
                match run.phase {
                    RunPhase::Sent if starts_are_held || worker.is_told_silent => continue,
                    RunPhase::Sent if due && run.in_doubt => {
                        resends.push((id.clone(), *task, true))
                    }
                    RunPhase::Stopping(None) if due => resends.push((id.clone(), *task, false)),
                    _ => continue,
                }
                // The result of the resent command schedules the next resend if one is needed.
                run.resend_at = run.added_at;
            }
        }
        for (id, task, start) in resends {
            let must_stop = |w: &Worker| w.is_evacuated || w.is_overcommitted();
            if start && self.workers.get(&id).is_some_and(must_stop) {
                self.stop_run(&id, task);
            } else if start {
                self.queue_start(&id, task, now);
            } else if let Some(run) = self.workers.get(&id).and_then(|w| w.runs.get(&task)) {
                let attempt = run.attempt;
                let token = self.worker_token(&id);
                self.commands.push(Command::Stop {
                    worker: id,
                    task,
                    attempt,
                    token,
                });
            }
        }
    }
}

impl Worker {
    /// Gives the worker the next fencing token if a copy of a start has no reply, as its runs count as
    /// lost.
    ///
    /// The worker may have restarted since, unnoticed, and carry the start out late. The next call that
    /// reaches it prevents that. Half of the tokens are left for restarts that are noticed.
    fn fence_late_starts(&mut self) {
        let mut runs = self.runs.values();
        let has_late_start = runs.any(|run| !run.is_confirmed() || run.has_stray_start);
        if has_late_start && self.incarnations < TOKENS_PER_LEADER / 2 {
            self.incarnations += 1;
        }
    }

    /// Logs by what the worker's leases count as expired.
    fn log_expiry(&self, id: &str, now: Instant) {
        let age_ms = |at: Option<Instant>| at.map(|at| now.duration_since(at).as_millis());
        let (clock_ms, until_ms) = self.clock.lease_bounds(now).unzip();
        log::info!(
            "jobs: worker={id} leases have expired: clock_ms={clock_ms:?} until_ms={until_ms:?} answered_ms={:?} started_ms={} restarts={}.",
            age_ms(self.answered_at),
            self.info.started_ms,
            self.incarnations,
        );
    }

    /// Returns whether the runs on the worker have reserved more than its capacity.
    fn is_overcommitted(&self) -> bool {
        !self.free.covers(&Resources::default())
    }
}
