//! The order of a leader's writes.
//!
//! A write without a reply may take effect seconds later. If it did so after a newer one, it
//! would bring back older rows, which the next leader would believe. So each write depends on
//! the head row that the one before has changed: of all that are sent on the same head, at most
//! one takes effect, and the head's mark tells which.

use {
    crate::sched::shard::{Batch, Shard},
    std::time::{Duration, Instant},
};

/// How long after a failed write the next one is tried.
const WRITE_RETRY: Duration = Duration::from_millis(120);

/// A write to be sent.
#[derive(Clone, Debug)]
pub struct Write {
    /// The rows.
    pub batch: Batch,
    /// The version that the head row must have.
    pub head_ver: u64,
    /// What the head row is to hold.
    pub mark: WriteMark,
}

/// The contents of a head row: the token of a leader, and the number of its write.
pub type WriteMark = (u64, u64);

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect; this is the head's version now.
    Applied(u64),
    /// It did not: the head has this version and mark.
    Superseded(u64, Option<WriteMark>),
    /// Nothing was done.
    NotApplied,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// The writes of one leader.
#[derive(Debug)]
pub struct Journal {
    token: u64,
    head_ver: u64,
    seq: u64,
    /// Writes on the present head whose fate is not known.
    unclear: Vec<(u64, Batch)>,
    writing: bool,
    not_before: Option<Instant>,
}

impl Journal {
    /// Creates the journal of a leader that found the head row at a version.
    pub fn new(token: u64, head_ver: u64) -> Self {
        Self {
            token,
            head_ver,
            seq: 0,
            unclear: Vec::new(),
            writing: false,
            not_before: None,
        }
    }

    /// Returns whether a write is under way.
    pub fn is_writing(&self) -> bool {
        self.writing
    }

    /// Returns the next write, if it is time for one; [`Journal::on_write_result`] must follow.
    pub fn next_write(&mut self, shard: &mut Shard, most: usize, now: Instant) -> Option<Write> {
        if self.writing || self.not_before.is_some_and(|at| now < at) {
            return None;
        }
        let batch = shard.take_batch(most, now)?;
        self.seq += 1;
        self.writing = true;
        Some(Write {
            batch,
            head_ver: self.head_ver,
            mark: (self.token, self.seq),
        })
    }

    /// Takes in what became of the write under way.
    pub fn on_write_result(
        &mut self,
        shard: &mut Shard,
        batch: Batch,
        fate: WriteResult,
        now: Instant,
    ) {
        self.writing = false;
        self.not_before = Some(now + WRITE_RETRY);
        match fate {
            WriteResult::Applied(ver) => {
                self.head_ver = ver;
                self.unclear.clear();
                self.not_before = None;
                shard.on_batch_result(&batch, true, now);
            }
            WriteResult::NotApplied => shard.on_batch_result(&batch, false, now),
            WriteResult::Unknown => {
                shard.on_batch_result(&batch, false, now);
                self.unclear.push((self.seq, batch));
            }
            WriteResult::Superseded(ver, mark) => {
                shard.on_batch_result(&batch, false, now);
                self.head_ver = ver;
                let unclear = std::mem::take(&mut self.unclear);
                let mut unclear = unclear.into_iter();
                let found = unclear.find(|(seq, _)| Some((self.token, *seq)) == mark);
                log::info!(
                    "lead: head={mark:?} ver={ver} own={} found={}.",
                    self.token,
                    found.is_some(),
                );
                if let Some((_, batch)) = found {
                    shard.on_batch_stored_late(&batch, now);
                }
            }
        }
    }
}
