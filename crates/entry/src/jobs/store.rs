//! The jobs of this home in memory, and the transactions that write their changes to the table.

use {
    super::keys::{Index, index_key, job_key},
    marigoldbend::{
        core::{
            hash::HashMap,
            ids::{Domain, Incarnation, Version},
            task::Job,
        },
        platform::wire::Commit,
    },
    rand::RngExt,
    serde_json::json,
};

/// The maximum number of jobs that one transaction writes.
const MAX_JOBS_PER_COMMIT: usize = 128;

/// The number of final jobs in the index row at which the row is rewritten without them.
const INDEX_PRUNE_THRESHOLD: usize = 64;

/// A job in memory, and the state of its row in the table.
#[derive(Debug)]
pub(super) struct StoredJob {
    pub(super) job: Job,
    /// The version of the job's row; zero before its first write.
    pub(super) version: Version,
    /// Whether the job has changes that are in no transaction yet.
    pub(super) dirty: bool,
}

/// A transaction that was sent and whose outcome is not recorded yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCommit {
    pub(super) commit: Commit,
    /// The ids of the jobs that the transaction writes.
    pub(super) jobs: Vec<String>,
    /// Whether the transaction writes this home's index row; if not, it only checks its version.
    pub(super) writes_index: bool,
}

/// The jobs of one home.
#[derive(Debug)]
pub(super) struct JobStore {
    domain: Domain,
    home: Incarnation,
    jobs: HashMap<String, StoredJob>,
    /// The version of this home's index row; zero before its first write.
    index_version: Version,
    /// Whether the index row does not list a new or adopted job yet.
    index_dirty: bool,
    /// The number of final jobs that the index row may still list.
    stale_index_entries: usize,
    commit_in_flight: bool,
    /// The version and the contents of a departed home's index row, which the next transaction
    /// marks as adopted; `None` if no adoption is pending.
    pending_adoption: Option<(Version, Index)>,
}

impl JobStore {
    pub(super) fn new(domain: Domain, home: Incarnation) -> Self {
        Self {
            domain,
            home,
            jobs: HashMap::default(),
            index_version: Version(0),
            index_dirty: false,
            stale_index_entries: 0,
            commit_in_flight: false,
            pending_adoption: None,
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<&StoredJob> {
        self.jobs.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut StoredJob> {
        self.jobs.get_mut(id)
    }

    pub(super) fn ids(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &StoredJob> {
        self.jobs.values()
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a new job, which has no row in the table yet.
    pub(super) fn add(&mut self, job: Job) {
        let stored = StoredJob {
            version: Version(0),
            dirty: true,
            job,
        };
        self.index_dirty = true;
        self.jobs.insert(stored.job.id.clone(), stored);
    }

    /// Adds a job of a departed home, of which this home becomes the home. `version` is the version
    /// of the row that the job was read from.
    pub(super) fn add_adopted(&mut self, version: Version, mut job: Job) {
        job.home = self.home;
        let stored = StoredJob {
            version,
            dirty: true,
            job,
        };
        self.jobs.insert(stored.job.id.clone(), stored);
    }

    /// Removes a job from memory; its row stays in the table.
    pub(super) fn remove(&mut self, id: &str) -> Option<StoredJob> {
        self.jobs.remove(id)
    }

    /// Makes the next transaction adopt a departed home, whose index row contains `index` at
    /// version `version`. The home's jobs must have been added by [`JobStore::add_adopted`].
    pub(super) fn adopt(&mut self, version: Version, index: Index) {
        self.pending_adoption = Some((version, index));
        self.index_dirty = true;
    }

    /// Returns whether all changes are written to the table.
    pub(super) fn is_written(&self) -> bool {
        !self.commit_in_flight && self.jobs.values().all(|s| !s.dirty)
    }

    /// Returns whether an adoption is pending.
    pub(super) fn is_adopting(&self) -> bool {
        self.pending_adoption.is_some()
    }

    /// Drops the pending adoption and its jobs, because another home has adopted them first.
    pub(super) fn abandon_adoption(&mut self) {
        if let Some((_, index)) = self.pending_adoption.take() {
            for id in index.jobs {
                self.jobs.remove(&id);
            }
        }
    }

    /// Returns the next transaction; `None` if one is in flight or nothing has changed.
    pub(super) fn next_commit(&mut self) -> Option<PendingCommit> {
        let dirty_ids: Vec<String> = self
            .jobs
            .values()
            .filter(|s| s.dirty)
            .take(MAX_JOBS_PER_COMMIT)
            .map(|s| s.job.id.clone())
            .collect();
        if self.commit_in_flight || (dirty_ids.is_empty() && self.pending_adoption.is_none()) {
            return None;
        }
        let op = format!("jobs-{:032x}", rand::rng().random::<u128>());
        let key = index_key(self.domain, self.home);
        let writes_index = self.index_dirty || self.stale_index_entries >= INDEX_PRUNE_THRESHOLD;
        let mut commit = Commit::new(op);
        if writes_index {
            commit = commit.write(key, self.index_version, json!(self.index()));
        } else {
            commit = commit.check(key, self.index_version);
        }
        if let Some((version, index)) = &self.pending_adoption {
            let adopted_index = Index {
                home: index.home,
                adopted: true,
                jobs: Vec::new(),
            };
            commit = commit.write(
                index_key(self.domain, index.home),
                *version,
                json!(adopted_index),
            );
        }
        for id in &dirty_ids {
            if let Some(stored) = self.jobs.get_mut(id) {
                stored.dirty = false;
                commit = commit.write(job_key(id), stored.version, json!(stored.job));
            }
        }
        self.commit_in_flight = true;
        Some(PendingCommit {
            commit,
            jobs: dirty_ids,
            writes_index,
        })
    }

    /// Returns the contents of this home's index row.
    fn index(&self) -> Index {
        let unfinished = self.jobs.values().filter(|s| !s.job.is_final());
        let mut jobs: Vec<String> = unfinished.map(|s| s.job.id.clone()).collect();
        jobs.sort_unstable();
        Index {
            home: self.home,
            adopted: false,
            jobs,
        }
    }

    /// Records that a transaction took effect.
    pub(super) fn mark_applied(&mut self, pending: &PendingCommit) {
        self.commit_in_flight = false;
        if pending.writes_index {
            self.index_version = Version(self.index_version.0 + 1);
            self.index_dirty = false;
            self.stale_index_entries = 0;
        }
        self.pending_adoption = None;
        for id in &pending.jobs {
            let Some(stored) = self.jobs.get_mut(id) else {
                continue;
            };
            stored.version = Version(stored.version.0 + 1);
            if stored.job.is_final() && !stored.dirty {
                self.jobs.remove(id);
                self.stale_index_entries += 1;
            }
        }
    }

    /// Records that a transaction did not take effect, so that its jobs are written again.
    pub(super) fn mark_failed(&mut self, pending: &PendingCommit) {
        self.commit_in_flight = false;
        for id in &pending.jobs {
            if let Some(stored) = self.jobs.get_mut(id) {
                stored.dirty = true;
            }
        }
    }

    /// Returns the key of this home's index row.
    pub(super) fn index_key(&self) -> String {
        index_key(self.domain, self.home)
    }

    /// Returns whether `key` is the key of the departed home's index row in the pending adoption.
    pub(super) fn is_adopted_index_key(&self, key: &str) -> bool {
        let adoption = self.pending_adoption.as_ref();
        adoption.is_some_and(|(_, index)| index_key(self.domain, index.home) == key)
    }
}
