//! Group commit of independent row writes.
//!
//! Tasks on any thread submit single writes. One committing task sends them to the table in
//! transactions: the writes that are submitted while a transaction is in flight form the next one.
//! If a transaction has conflicts, the writes to the conflicting rows are removed, and the others
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

/// The maximum number of pending writes.
const MAX_PENDING: usize = 4_096;

/// The maximum number of writes in one transaction.
const MAX_BATCH: usize = 256;

/// How long a transaction is repeated until its outcome is known.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The write did not take effect: the row has another version, or an earlier write to
    /// it is pending.
    Conflict,
    /// The write did not take effect: the table is unreachable, or too many writes are pending.
    Refused,
    /// The write may have taken effect.
    Unknown,
}

/// A submitted write whose outcome is not known yet.
struct PendingWrite {
    write: Write,
    reply: oneshot::Sender<WriteOutcome>,
}

/// Submits writes to the committing task.
#[derive(Clone, Debug)]
pub struct GroupWriter {
    tx: mpsc::Sender<PendingWrite>,
}

impl GroupWriter {
    /// Starts the committing task on the current runtime.
    pub fn start(table: Table) -> Self {
        let (tx, rx) = mpsc::channel(MAX_PENDING);
        tokio::spawn(commit_writes(table, rx));
        Self { tx }
    }

    /// Writes a row if it has the version that `write` expects, and returns the outcome.
    pub async fn write(&self, write: Write) -> WriteOutcome {
        let (reply, rx) = oneshot::channel();
        if self.tx.try_send(PendingWrite { write, reply }).is_err() {
            return WriteOutcome::Refused;
        }
        // The committing task ends only with the process, possibly during a transaction.
        rx.await.unwrap_or(WriteOutcome::Unknown)
    }
}

/// Commits submitted writes until all submitters are gone.
async fn commit_writes(table: Table, mut rx: mpsc::Receiver<PendingWrite>) {
    let mut group = GroupCommit::new(MAX_PENDING, MAX_BATCH);
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

/// Adds a write to the group. A second write to the same row gets a conflict, since the first
/// changes the row's version.
fn enqueue(
    group: &mut GroupCommit<PendingWrite>,
    keys: &mut HashSet<String>,
    pending: PendingWrite,
) {
    if !keys.insert(pending.write.key.clone()) {
        // The submitter may have stopped waiting.
        let _ = pending.reply.send(WriteOutcome::Conflict);
        return;
    }
    if let Err(pending) = group.push(pending) {
        // The submitter may have stopped waiting.
        let _ = pending.reply.send(WriteOutcome::Refused);
    }
}

/// Commits a batch of writes and reports each outcome to its submitter.
async fn commit_batch(table: &Table, mut batch: Vec<PendingWrite>) {
    while !batch.is_empty() {
        let op = format!("group-{:032x}", rand::rng().random::<u128>());
        let commit = Commit {
            op,
            checks: Vec::new(),
            writes: batch.iter().map(|pending| pending.write.clone()).collect(),
        };
        let outcome = match table.commit_until_known(&commit, COMMIT_TIMEOUT).await {
            Ok(CommitOutcome::Conflict(keys)) if !keys.is_empty() => {
                batch = remove_conflicts(batch, &keys);
                continue;
            }
            Ok(CommitOutcome::Conflict(_)) => WriteOutcome::Conflict,
            Ok(CommitOutcome::Applied) => WriteOutcome::Applied,
            Ok(CommitOutcome::Superseded) => WriteOutcome::Unknown,
            Err(e) if e.is_unwritten() => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Unknown,
        };
        for pending in batch.drain(..) {
            // The submitter may have stopped waiting.
            let _ = pending.reply.send(outcome);
        }
    }
}

/// Reports a conflict to the submitters of writes to the keys in `conflicts`, and returns the other
/// writes.
fn remove_conflicts(batch: Vec<PendingWrite>, conflicts: &[String]) -> Vec<PendingWrite> {
    let mut remaining = Vec::new();
    for pending in batch {
        if conflicts.contains(&pending.write.key) {
            // The submitter may have stopped waiting.
            let _ = pending.reply.send(WriteOutcome::Conflict);
        } else {
            remaining.push(pending);
        }
    }
    remaining
}
