//! Expiry of leases, and resending of commands without a reply.

use {
    super::{
        state::{Command, RunPhase, Shard, Worker},
        workers::UNRESPONSIVE_AFTER,
    },
    std::time::Instant,
};

impl Shard {
    /// Returns whether runs with expired leases wait until the store confirms that this instance
    /// still leads.
    pub fn awaits_confirmation(&self) -> bool {
        self.awaits_confirmation
    }

    /// Treats the runs on unresponsive workers whose leases have expired as lost, and removes those
    /// workers that are unlisted.
    ///
    /// A later leader may have renewed the leases. So the store must first confirm, by a call sent
    /// after the expiry, that there is no later leader: then the runs had ended before another
    /// leader could renew them.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let unknown_runs_until = self.unknown_runs_until();
        let is_unresponsive = |w: &Worker| {
            w.answered_at
                .is_none_or(|at| now.duration_since(at) > UNRESPONSIVE_AFTER)
        };
        let mut lost_runs = Vec::new();
        let mut unlisted = Vec::new();
        self.awaits_confirmation = false;
        for (id, worker) in &mut self.workers {
            if !is_unresponsive(worker) {
                worker.leases_expired_at = None;
                continue;
            }
            let has_expired = if worker.clock.has_sample() {
                worker.clock.has_expired(now)
            } else {
                now >= unknown_runs_until
            };
            if !has_expired {
                continue;
            }
            let expired_at = *worker.leases_expired_at.get_or_insert(now);
            if self.confirmed_at <= expired_at {
                self.awaits_confirmation |= !worker.runs.is_empty();
                continue;
            }
            lost_runs.extend(worker.runs.keys().map(|task| (id.clone(), *task)));
            if !worker.listed {
                unlisted.push(id.clone());
            }
        }
        for (id, task) in lost_runs {
            self.lose_run(
                &id,
                task,
                "the worker is unresponsive and its lease has expired",
                now,
            );
        }
        for id in unlisted {
            log::info!("jobs: worker={id} removed: it is unlisted and its leases have expired.");
            self.workers.remove(&id);
            self.workers_in_use_dirty = true;
        }
    }

    /// Returns whether a worker without a report yet may still have runs of an earlier leader.
    pub(super) fn may_have_unknown_runs(&self, now: Instant) -> bool {
        now < self.unknown_runs_until() && self.workers.values().any(|w| w.answered_at.is_none())
    }

    /// Returns when runs of an earlier leader end on workers that have sent no report.
    fn unknown_runs_until(&self) -> Instant {
        self.leader_since + self.params.unknown_run_limit
    }

    /// Resends the start and stop commands without a reply to responsive workers.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut resends = Vec::new();
        for (id, worker) in &mut self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &mut worker.runs {
                let due = run.resend_at <= now && run.resend_at > run.added_at;
                match run.phase {
                    RunPhase::Sent if due && run.in_doubt => {
                        resends.push((id.clone(), *task, true))
                    }
                    RunPhase::Stopping(None) if due => resends.push((id.clone(), *task, false)),
                    _ => continue,
                }
                // The reply schedules the next resend.
                run.resend_at = run.added_at;
            }
        }
        for (id, task, start) in resends {
            if start {
                self.send_start(&id, task, now);
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
