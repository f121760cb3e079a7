//! Adoption of the jobs of a home that is gone, by another instance of its domain.

use {
    super::{
        actor::{Jobs, OrphansFound},
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
    /// Starts a search for a home that is gone, unless this instance is no member of its domain or
    /// an adoption is planned.
    pub(super) fn find_orphans(&mut self, address: &Address<Self>, directory: &Directory) {
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
            let orphans = search.run().await;
            // The actor ends only with the process.
            let _ = address.send(OrphansFound(orphans)).detach().await;
        });
    }

    /// Takes over the unfinished jobs of a former home; `rows` are their rows, and `version` is that
    /// of its index row.
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
                log::error!("place: row {} can't be decoded.", row.key);
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

/// A search for a home that is no member of the domain any more and whose jobs nobody has adopted.
struct OrphanSearch {
    table: Table,
    domain: Domain,
    members: HashSet<Incarnation>,
}

impl OrphanSearch {
    /// Returns the first such home's index row, with its version, and the rows of its jobs.
    async fn run(&self) -> Option<(Version, Index, Vec<Row>)> {
        let rows = self.table.scan(&index_prefix(self.domain)).await.ok()?;
        for row in rows {
            let Ok(index) = serde_json::from_value::<Index>(row.value) else {
                continue;
            };
            let is_orphaned = !index.adopted && !self.members.contains(&index.home);
            if !is_orphaned {
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

/// Returns the attempts of an adopted job that may still run; they are stopped before their tasks
/// are claimed again.
fn adopted_attempts(
    job: &Job,
    directory: &Directory,
    now: Instant,
) -> Vec<(TaskKey, RunningAttempt)> {
    let mut attempts = Vec::new();
    for (index, task) in job.tasks.iter().enumerate() {
        let Phase::Claimed { worker, .. } = task.phase else {
            continue;
        };
        // Port 1 of this host, where no agent listens, stands for a worker that is not listed.
        let listed_worker = directory.list.workers.iter().find(|w| w.id == worker);
        let agent = listed_worker.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |w| w.agent);
        let running = RunningAttempt {
            task: TaskRef {
                task: format!("{}/{index}", job.id),
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
        attempts.push(((job.id.clone(), index), running));
    }
    attempts
}
