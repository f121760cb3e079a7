//! Group commit of independent row writes.
//!
//! Writers on any thread hand in single writes; one task sends all that has gathered since the
//! last transaction as the next one. A write that lost its race is taken out, and the others
//! are sent again under a new operation name.

use {
    crate::{
        table::{CommitOutcome, Table},
        wire::{Commit, Write},
    },
    marigoldbend_core::{group_commit::GroupCommit, hash::HashSet},
    rand::RngExt,
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Writes that may wait.
const CAPACITY: usize = 4_096;

/// Writes in one transaction.
const BATCH: usize = 256;

/// How long one transaction is tried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// What became of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Applied,
    /// It did not take effect: the row has another version.
    Conflict,
    /// It did not take effect: the table can't be reached or too many writes wait.
    Refused,
    /// It may have taken effect.
    Unclear,
}

struct Entry {
    write: Write,
    reply: oneshot::Sender<WriteOutcome>,
}

/// Hands writes to the task that commits them.
#[derive(Clone, Debug)]
pub struct GroupWriter {
    tx: mpsc::Sender<Entry>,
}

impl GroupWriter {
    /// Starts the committing task on the current runtime.
    pub fn start(table: Table) -> Self {
        let (tx, rx) = mpsc::channel(CAPACITY);
        tokio::spawn(run(table, rx));
        Self { tx }
    }

    /// Writes one row over the version that it names.
    pub async fn write(&self, write: Write) -> WriteOutcome {
        let (reply, rx) = oneshot::channel();
        if self.tx.try_send(Entry { write, reply }).is_err() {
            return WriteOutcome::Refused;
        }
        // The committing task ends only with the process, in the middle of anything.
        rx.await.unwrap_or(WriteOutcome::Unclear)
    }
}

async fn run(table: Table, mut rx: mpsc::Receiver<Entry>) {
    let mut group = GroupCommit::new(CAPACITY, BATCH);
    while let Some(first) = rx.recv().await {
        let mut keys = HashSet::default();
        enqueue(&mut group, &mut keys, first);
        while let Ok(next) = rx.try_recv() {
            enqueue(&mut group, &mut keys, next);
        }
        while group.begin().is_some() {
            commit_batch(&table, group.finish()).await;
        }
    }
}

/// Adds a write; a second one to the same row has lost to the first.
fn enqueue(group: &mut GroupCommit<Entry>, keys: &mut HashSet<String>, entry: Entry) {
    if !keys.insert(entry.write.key.clone()) {
        // The writer may have gone.
        let _ = entry.reply.send(WriteOutcome::Conflict);
        return;
    }
    if let Err(entry) = group.push(entry) {
        // The writer may have gone.
        let _ = entry.reply.send(WriteOutcome::Refused);
    }
}

async fn commit_batch(table: &Table, mut batch: Vec<Entry>) {
    while !batch.is_empty() {
        let op = format!("group-{:032x}", rand::rng().random::<u128>());
        let commit = Commit {
            op,
            checks: Vec::new(),
            writes: batch.iter().map(|e| e.write.clone()).collect(),
        };
        let outcome = match table.commit_until_known(&commit, COMMIT_TIMEOUT).await {
            Ok(CommitOutcome::Conflict(keys)) if !keys.is_empty() => {
                batch = take_out(batch, &keys);
                continue;
            }
            Ok(CommitOutcome::Conflict(_)) => WriteOutcome::Conflict,
            Ok(CommitOutcome::Applied) => WriteOutcome::Applied,
            Ok(CommitOutcome::Superseded) => WriteOutcome::Unclear,
            Err(e) if e.is_unwritten() => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Unclear,
        };
        for entry in batch.drain(..) {
            // The writer may have given up.
            let _ = entry.reply.send(outcome);
        }
    }
}

/// Answers the writes that lost, and returns the others.
fn take_out(batch: Vec<Entry>, lost: &[String]) -> Vec<Entry> {
    let mut rest = Vec::new();
    for entry in batch {
        if lost.contains(&entry.write.key) {
            // The writer may have given up.
            let _ = entry.reply.send(WriteOutcome::Conflict);
        } else {
            rest.push(entry);
        }
    }
    rest
}
