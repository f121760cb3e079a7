//! Group commit: one write carries all changes that were added since the last one.
//!
//! The table service accepts only a few hundred writes a second, so changes are not written one
//! by one. Changes that are added while a write is in flight are written together afterwards. A
//! write whose reply was lost counts as in flight until its outcome is determined.

use std::{collections::VecDeque, mem};

/// A bounded queue of changes that are written in batches, one batch at a time.
#[derive(Debug)]
pub struct GroupCommit<T> {
    pending: VecDeque<T>,
    in_flight: Vec<T>,
    capacity: usize,
    max_batch: usize,
}

impl<T> GroupCommit<T> {
    /// Creates an empty queue that holds up to `capacity` pending changes and writes up to
    /// `max_batch` of them at once.
    pub fn new(capacity: usize, max_batch: usize) -> Self {
        Self {
            pending: VecDeque::new(),
            in_flight: Vec::new(),
            capacity,
            max_batch: max_batch.max(1),
        }
    }

    /// Adds a change.
    ///
    /// # Errors
    ///
    /// Returns the change if the queue is full; the caller then refuses the work as not run.
    pub fn push(&mut self, change: T) -> Result<(), T> {
        if self.pending.len() >= self.capacity {
            return Err(change);
        }
        self.pending.push_back(change);
        Ok(())
    }

    /// Starts the next write and returns its batch, or `None` if a write is in flight or no change
    /// is pending.
    pub fn begin(&mut self) -> Option<&[T]> {
        if !self.in_flight.is_empty() || self.pending.is_empty() {
            return None;
        }
        let n = self.max_batch.min(self.pending.len());
        self.in_flight.extend(self.pending.drain(..n));
        Some(&self.in_flight)
    }

    /// Ends the write in flight and returns its batch.
    ///
    /// Call this only after the outcome of the write has been determined.
    pub fn finish(&mut self) -> Vec<T> {
        mem::take(&mut self.in_flight)
    }

    /// Returns how many changes are pending or in flight.
    pub fn len(&self) -> usize {
        self.pending.len() + self.in_flight.len()
    }

    /// Returns whether no change is pending or in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
