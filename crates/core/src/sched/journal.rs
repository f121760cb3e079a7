//! The ordering of a leader's writes to the store.
//!
//! A write whose reply is lost may still take effect seconds later. If that happened after a newer
//! write, the older rows would be restored, and the next leader would read them. Therefore every
//! write of a shard also changes one common row, the *head row*, and takes effect only if the head
//! row still has the expected version. Of all writes that expect the same version, at most one
//! takes effect, and the [`WriteMark`] in the head row tells which.

use {
    crate::sched::shard::{Batch, Shard},
    std::time::{Duration, Instant},
};

/// The delay between a failed write and the next one.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// A write to be sent.
#[derive(Clone, Debug)]
pub struct Write {
    /// The rows to store.
    pub batch: Batch,
    /// The version that the head row must have for the write to take effect.
    pub head_version: u64,
    /// The mark to store in the head row.
    pub mark: WriteMark,
}

/// The contents of a head row: the token of the leader that wrote it last, and the sequence number
/// of that leader's write.
pub type WriteMark = (u64, u64);

/// The result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect; the value is the new version of the head row.
    Applied(u64),
    /// The write did not take effect, because the head row has another version than expected. The
    /// values are that version and the mark in the row, which is `None` if it can't be decoded.
    Superseded(u64, Option<WriteMark>),
    /// The write did not take effect and will not.
    NotApplied,
    /// The write may have taken effect, or may do so later.
    Unknown,
}

/// The sequence of writes of one leader.
#[derive(Debug)]
pub struct Journal {
    token: u64,
    head_version: u64,
    /// The sequence number of the last write.
    seq: u64,
    /// The writes that expect `head_version` and whose result is unknown, by sequence number.
    unknown_writes: Vec<(u64, Batch)>,
    writing: bool,
    /// When the next write may be sent; `None` if it need not wait.
    not_before: Option<Instant>,
}

impl Journal {
    /// Creates the journal of a new leader; `head_version` is the version of the head row that it
    /// read.
    pub fn new(token: u64, head_version: u64) -> Self {
        Self {
            token,
            head_version,
            seq: 0,
            unknown_writes: Vec::new(),
            writing: false,
            not_before: None,
        }
    }

    /// Returns whether a write is in progress.
    pub fn is_writing(&self) -> bool {
        self.writing
    }

    /// Returns the next write, with at most `max_entries` job rows, or `None` if there is nothing to
    /// write or the next write must wait.
    ///
    /// [`Journal::on_write_result`] must be called with the result of the write.
    pub fn next_write(
        &mut self,
        shard: &mut Shard,
        max_entries: usize,
        now: Instant,
    ) -> Option<Write> {
        if self.writing || self.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let batch = shard.take_batch(max_entries, now)?;
        self.seq += 1;
        self.writing = true;
        Some(Write {
            batch,
            head_version: self.head_version,
            mark: (self.token, self.seq),
        })
    }

    /// Handles the result of the write in progress.
    pub fn on_write_result(
        &mut self,
        shard: &mut Shard,
        batch: Batch,
        result: WriteResult,
        now: Instant,
    ) {
        self.writing = false;
        self.not_before = Some(now + WRITE_RETRY_DELAY);
        match result {
            WriteResult::Applied(version) => {
                self.head_version = version;
                self.unknown_writes.clear();
                self.not_before = None;
                shard.on_batch_result(&batch, true, now);
            }
            WriteResult::NotApplied => shard.on_batch_result(&batch, false, now),
            WriteResult::Unknown => {
                shard.on_batch_result(&batch, false, now);
                self.unknown_writes.push((self.seq, batch));
            }
            WriteResult::Superseded(version, mark) => {
                shard.on_batch_result(&batch, false, now);
                self.head_version = version;
                let unknown_writes = std::mem::take(&mut self.unknown_writes);
                let mut unknown_writes = unknown_writes.into_iter();
                let applied = unknown_writes.find(|(seq, _)| Some((self.token, *seq)) == mark);
                log::info!(
                    "lead: the head row has another version than expected: head={mark:?} ver={version} own={} found={}.",
                    self.token,
                    applied.is_some(),
                );
                if let Some((_, batch)) = applied {
                    shard.on_batch_stored_late(&batch, now);
                }
            }
        }
    }
}
