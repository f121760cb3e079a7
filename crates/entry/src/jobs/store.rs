//! The jobs of this home in memory, and the writes that keep the table in step.

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

/// Jobs in one transaction.
const BATCH: usize = 128;

/// Final jobs after which the index row is written without them.
const PRUNE: usize = 64;

/// A job and how the table knows it.
#[derive(Debug)]
pub(super) struct StoredJob {
    pub(super) job: Job,
    /// The version of its row; zero before its first write.
    pub(super) version: Version,
    /// Whether memory is ahead of the row.
    pub(super) dirty: bool,
}

/// One transaction on its way.
#[derive(Clone, Debug)]
pub(super) struct PendingCommit {
    pub(super) commit: Commit,
    pub(super) jobs: Vec<String>,
    pub(super) writes_index: bool,
}

/// The jobs of one home.
#[derive(Debug)]
pub(super) struct JobStore {
    domain: Domain,
    home: Incarnation,
    jobs: HashMap<String, StoredJob>,
    index_version: Version,
    /// Whether the index row lacks a job.
    index_dirty: bool,
    /// Final jobs that the index row still lists.
    stale: usize,
    in_flight: bool,
    /// The index row of another home that the next transaction takes over.
    adopting: Option<(Version, Index)>,
}

impl JobStore {
    pub(super) fn new(domain: Domain, home: Incarnation) -> Self {
        Self {
            domain,
            home,
            jobs: HashMap::default(),
            index_version: Version(0),
            index_dirty: false,
            stale: 0,
            in_flight: false,
            adopting: None,
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

    /// Adds a job that the table does not hold yet.
    pub(super) fn add(&mut self, job: Job) {
        let stored = StoredJob {
            version: Version(0),
            dirty: true,
            job,
        };
        self.index_dirty = true;
        self.jobs.insert(stored.job.id.clone(), stored);
    }

    /// Adds a job that was read from the table, of a home whose index is adopted.
    pub(super) fn add_adopted(&mut self, version: Version, mut job: Job) {
        job.home = self.home;
        let stored = StoredJob {
            version,
            dirty: true,
            job,
        };
        self.jobs.insert(stored.job.id.clone(), stored);
    }

    /// Forgets a job.
    pub(super) fn remove(&mut self, id: &str) -> Option<StoredJob> {
        self.jobs.remove(id)
    }

    /// Plans to take over the index row of a home that is gone; its jobs are added first.
    pub(super) fn adopt(&mut self, version: Version, index: Index) {
        self.adopting = Some((version, index));
        self.index_dirty = true;
    }

    /// Returns whether the table holds everything.
    pub(super) fn is_written(&self) -> bool {
        !self.in_flight && self.jobs.values().all(|s| !s.dirty)
    }

    pub(super) fn is_adopting(&self) -> bool {
        self.adopting.is_some()
    }

    /// Forgets the jobs of an adoption that lost its race.
    pub(super) fn abandon_adoption(&mut self) {
        if let Some((_, index)) = self.adopting.take() {
            for id in index.jobs {
                self.jobs.remove(&id);
            }
        }
    }

    /// Returns the next transaction, unless one is on its way or nothing has changed.
    pub(super) fn next_commit(&mut self) -> Option<PendingCommit> {
        let dirty: Vec<String> = self
            .jobs
            .values()
            .filter(|s| s.dirty)
            .take(BATCH)
            .map(|s| s.job.id.clone())
            .collect();
        if self.in_flight || (dirty.is_empty() && self.adopting.is_none()) {
            return None;
        }
        let op = format!("jobs-{:032x}", rand::rng().random::<u128>());
        let key = index_key(self.domain, self.home);
        let writes_index = self.index_dirty || self.stale >= PRUNE;
        let mut commit = Commit::new(op);
        if writes_index {
            commit = commit.write(key, self.index_version, json!(self.index()));
        } else {
            commit = commit.check(key, self.index_version);
        }
        if let Some((version, index)) = &self.adopting {
            let taken = Index {
                home: index.home,
                adopted: true,
                jobs: Vec::new(),
            };
            commit = commit.write(index_key(self.domain, index.home), *version, json!(taken));
        }
        for id in &dirty {
            if let Some(stored) = self.jobs.get_mut(id) {
                stored.dirty = false;
                commit = commit.write(job_key(id), stored.version, json!(stored.job));
            }
        }
        self.in_flight = true;
        Some(PendingCommit {
            commit,
            jobs: dirty,
            writes_index,
        })
    }

    fn index(&self) -> Index {
        let open = self.jobs.values().filter(|s| !s.job.is_final());
        let mut jobs: Vec<String> = open.map(|s| s.job.id.clone()).collect();
        jobs.sort_unstable();
        Index {
            home: self.home,
            adopted: false,
            jobs,
        }
    }

    /// Records that a transaction took effect.
    pub(super) fn mark_applied(&mut self, pending: &PendingCommit) {
        self.in_flight = false;
        if pending.writes_index {
            self.index_version = Version(self.index_version.0 + 1);
            self.index_dirty = false;
            self.stale = 0;
        }
        self.adopting = None;
        for id in &pending.jobs {
            let Some(stored) = self.jobs.get_mut(id) else {
                continue;
            };
            stored.version = Version(stored.version.0 + 1);
            if stored.job.is_final() && !stored.dirty {
                self.jobs.remove(id);
                self.stale += 1;
            }
        }
    }

    /// Records that a transaction did not take effect: its jobs are to be written again.
    pub(super) fn mark_failed(&mut self, pending: &PendingCommit) {
        self.in_flight = false;
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

    /// Returns whether a key is that of the index row being adopted.
    pub(super) fn is_adopted_key(&self, key: &str) -> bool {
        let adopted = self.adopting.as_ref();
        adopted.is_some_and(|(_, index)| index_key(self.domain, index.home) == key)
    }
}
