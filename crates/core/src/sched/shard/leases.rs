//! Leases that run out, and orders that got no answer.

use {
    super::{
        state::{Command, RunPhase, Shard, Worker},
        workers::UNRESPONSIVE_AFTER,
    },
    std::time::Instant,
};

impl Shard {
    /// Returns whether work waits until the store shows that this instance still leads.
    pub fn awaits_confirmation(&self) -> bool {
        self.awaits_confirmation
    }

    /// Gives back what ran on workers whose leases have surely ended; forgets gone workers.
    ///
    /// A later leader may have renewed those leases. So the store must have shown after their
    /// end that there is none: then the work had ended before anybody could renew it.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let orphans_until = self.orphans_until();
        let silent = |w: &Worker| {
            w.answered_at
                .is_none_or(|at| now.duration_since(at) > UNRESPONSIVE_AFTER)
        };
        let mut lost = Vec::new();
        let mut gone = Vec::new();
        self.awaits_confirmation = false;
        for (id, worker) in &mut self.workers {
            if !silent(worker) {
                worker.leases_expired_at = None;
                continue;
            }
            let lapsed = if worker.clock.is_known() {
                worker.clock.has_expired(now)
            } else {
                now >= orphans_until
            };
            if !lapsed {
                continue;
            }
            let since = *worker.leases_expired_at.get_or_insert(now);
            if self.confirmed <= since {
                self.awaits_confirmation |= !worker.runs.is_empty();
                continue;
            }
            lost.extend(worker.runs.keys().map(|task| (id.clone(), *task)));
            if !worker.listed {
                gone.push(id.clone());
            }
        }
        for (id, task) in lost {
            self.lose_run(
                &id,
                task,
                "the worker is silent and its lease has ended",
                now,
            );
        }
        for id in gone {
            log::info!("jobs: worker={id} is gone.");
            self.workers.remove(&id);
            self.workers_in_use_dirty = true;
        }
    }

    /// Returns whether work of an earlier leader may run on a worker that has not answered yet.
    pub(super) fn may_have_orphans(&self, now: Instant) -> bool {
        now < self.orphans_until() && self.workers.values().any(|w| w.answered_at.is_none())
    }

    fn orphans_until(&self) -> Instant {
        self.since + self.params.orphan_limit
    }

    /// Sends orders again that got no answer.
    pub(super) fn resend(&mut self, now: Instant) {
        let mut again = Vec::new();
        for (id, worker) in &mut self.workers {
            if !worker.is_responsive(now) {
                continue;
            }
            for (task, run) in &mut worker.runs {
                let due = run.resend_at <= now && run.resend_at > run.since;
                match run.phase {
                    RunPhase::Sent if due && run.in_doubt => again.push((id.clone(), *task, true)),
                    RunPhase::Stopping(None) if due => again.push((id.clone(), *task, false)),
                    _ => continue,
                }
                // The answer sets the next time.
                run.resend_at = run.since;
            }
        }
        for (id, task, start) in again {
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
