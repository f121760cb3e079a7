//! Group commit: one write carries everything that has gathered since the last one.
//!
//! The table service takes a few hundred writes a second, so changes are not written one by
//! one. While one write is on its way further changes gather, and leave together with the
//! next. A write whose reply was lost stays in flight until it is known what became of it.

use std::{collections::VecDeque, mem};

/// Collects changes and hands them out a batch at a time.
#[derive(Debug)]
pub struct GroupCommit<T> {
    waiting: VecDeque<T>,
    in_flight: Vec<T>,
    capacity: usize,
    batch: usize,
}

impl<T> GroupCommit<T> {
    /// Creates an empty group with room for `capacity` changes, `batch` to a write.
    pub fn new(capacity: usize, batch: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            capacity,
            batch: batch.max(1),
        }
    }

    /// Adds a change.
    ///
    /// # Errors
    ///
    /// Returns the change if there is no room: the caller refuses the work as not run.
    pub fn push(&mut self, change: T) -> Result<(), T> {
        if self.waiting.len() >= self.capacity {
            return Err(change);
        }
        self.waiting.push_back(change);
        Ok(())
    }

    /// Returns the next batch to write, or `None` while a write is in flight or nothing waits.
    pub fn begin(&mut self) -> Option<&[T]> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() {
            return None;
        }
        let n = self.batch.min(self.waiting.len());
        self.in_flight.extend(self.waiting.drain(..n));
        Some(&self.in_flight)
    }

    /// Returns the batch in flight, once it is known what became of its write.
    pub fn finish(&mut self) -> Vec<T> {
        mem::take(&mut self.in_flight)
    }

    /// Returns how many changes wait or are in flight.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Returns whether nothing waits and nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
