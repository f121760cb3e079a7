//! Adopts the unfinished jobs of departed homes.
//!
//! A home has departed when the ownership row of its domain no longer lists it as a member. Another
//! instance of the domain then becomes the home of its jobs.

use {
    super::{
        actor::{DepartedHomeFound, Jobs},
        keys::{Index, index_prefix, job_key},
        running::{RunningAttempt, StopReason, TaskKey},
    },
    crate::directory::Directory,
    marigoldbend::{
        core::{
            hash::HashSet,
            ids::{Domain, Incarnation, Version},
            task::{Job, Phase},
        },
        platform::{
            table::Table,
            wire::{Row, TaskRef},
        },
    },
    std::{net::SocketAddr, time::Instant},
    xtra::prelude::*,
};

impl Jobs {
    /// Starts a search for a departed home of this domain whose jobs are not adopted yet. Does
    /// nothing if this instance is not a member of the domain or an adoption is pending.
    pub(super) fn find_departed_home(&mut self, address: &Address<Self>, directory: &Directory) {
        let (version, row) = &directory.row;
        if *version == Version(0) || !row.is_member(self.cfg.me) || self.store.is_adopting() {
            return;
        }
        let search = DepartedHomeSearch {
            table: self.table.clone(),
            domain: self.cfg.domain,
            members: row.members.iter().map(|m| m.incarnation).collect(),
        };
        let address = address.clone();
        tokio::spawn(async move {
            let departed_home = search.run().await;
            // The actor ends only with the process.
            let _ = address
                .send(DepartedHomeFound(departed_home))
                .detach()
                .await;
        });
    }

    /// Adopts the unfinished jobs of a departed home, whose index row contains `index` at version
    /// `version`. `rows` are the table rows of the jobs that the index lists.
    ///
    /// The jobs are written with this instance as their home by a later transaction.
    pub(super) fn adopt(&mut self, version: Version, index: Index, rows: Vec<Row>) {
        if self.store.is_adopting() || self.stopping {
            return;
        }
        let now = self.clock.now();
        log::warn!(
            "place: adopting {} jobs of home {}.",
            index.jobs.len(),
            index.home
        );
        let directory = self.directory.load_full();
        for row in rows {
            let Ok(job) = serde_json::from_value::<Job>(row.value) else {
                log::error!(
                    "place: row {} can't be decoded; its job is not adopted.",
                    row.key
                );
                continue;
            };
            if job.is_final() {
                continue;
            }
            for (task_key, running) in adopted_attempts(&job, &directory, now) {
                self.running.insert(task_key, running);
            }
            self.store.add_adopted(row.version, job);
        }
        self.store.adopt(version, index);
    }
}

/// A search for a departed home whose jobs no other home has adopted.
struct DepartedHomeSearch {
    table: Table,
    domain: Domain,
    /// The members of the domain when the search started.
    members: HashSet<Incarnation>,
}

impl DepartedHomeSearch {
    /// Returns the version and the contents of the index row of the first departed home found, and
    /// the rows of its jobs; `None` if there is no such home or a read failed.
    async fn run(&self) -> Option<(Version, Index, Vec<Row>)> {
        let rows = self.table.scan(&index_prefix(self.domain)).await.ok()?;
        for row in rows {
            let Ok(index) = serde_json::from_value::<Index>(row.value) else {
                continue;
            };
            let needs_adoption = !index.adopted && !self.members.contains(&index.home);
            if !needs_adoption {
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

/// Returns the attempts of an adopted job that its former home claimed and that may still be
/// running on their workers. Each is marked to be stopped before its task is claimed again.
fn adopted_attempts(
    job: &Job,
    directory: &Directory,
    now: Instant,
) -> Vec<(TaskKey, RunningAttempt)> {
    let mut attempts = Vec::new();
    for (task_index, task) in job.tasks.iter().enumerate() {
        let Phase::Claimed { worker, .. } = task.phase else {
            continue;
        };
        // A worker that is not listed gets port 1 of this host as its agent address: no agent
        // listens there, so the attempt counts as ended once its lease has certainly expired.
        let listed_worker = directory.list.workers.iter().find(|w| w.id == worker);
        let agent = listed_worker.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |w| w.agent);
        // When the former home last called the agent is unknown, so the lease and the agent's
        // silence are timed from now, and the attempt counts as started.
        let running = RunningAttempt {
            task: TaskRef {
                task: format!("{}/{task_index}", job.id),
                attempt: task.attempt,
            },
            agent,
            worker,
            slot: None,
            last_sent: now,
            last_reply: now,
            claim_op: None,
            started: true,
            call_pending: false,
            stop_reason: Some(StopReason::Adopted),
        };
        attempts.push(((job.id.clone(), task_index), running));
    }
    attempts
}
