//! Taking over the jobs of a home that is gone.

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
            let found = search.run().await;
            // The actor ends only with the process.
            let _ = address.send(OrphansFound(found)).detach().await;
        });
    }

    pub(super) fn adopt(&mut self, version: Version, index: Index, rows: Vec<Row>) {
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
            for (task_key, running) in adopted_attempts(&job, &directory, now) {
                self.running.insert(task_key, running);
            }
            self.store.add_adopted(row.version, job);
        }
        self.store.adopt(version, index);
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
        let known = directory.list.workers.iter().find(|w| w.id == worker);
        let agent = known.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |w| w.agent);
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
            stopping: Some(StopReason::Adopted),
        };
        attempts.push(((job.id.clone(), index), running));
    }
    attempts
}
