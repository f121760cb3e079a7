//! A set of numbers that mostly follow each other, kept as the ranges that they form.
//!
//! The occurrences of a scheduled job end nearly in order, so the set of those that are done takes
//! space by what is still open between them, not by how many there are.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    snafu::Snafu,
};

/// The maximum number of members that are serialized as a list.
const MAX_LISTED: u64 = 1_000;

/// The result of reading ranges.
pub type Result<T, E = InvalidRanges> = std::result::Result<T, E>;

/// An error from reading ranges that are empty or beyond the largest number.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("a range is empty or too large"))]
pub struct InvalidRanges;

/// A set of numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NumberSet {
    /// The first and the last number of each range, in ascending order. Two ranges never touch.
    ranges: Vec<(u32, u32)>,
}

impl NumberSet {
    /// Returns how many numbers the set has.
    pub fn len(&self) -> u64 {
        let lengths = self.ranges.iter();
        lengths
            .map(|(first, last)| u64::from(last - first) + 1)
            .sum()
    }

    /// Returns whether the set has no numbers.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether the set has `number`.
    pub fn contains(&self, number: u32) -> bool {
        self.range_from(number)
            .is_some_and(|(first, _)| first <= number)
    }

    /// Returns the lowest number from `number` on that the set does not have; `None` if it has all.
    pub fn first_absent(&self, number: u32) -> Option<u32> {
        match self.range_from(number) {
            Some((first, last)) if first <= number => last.checked_add(1),
            _ => Some(number),
        }
    }

    /// Adds a number; returns whether the set did not have it.
    pub fn insert(&mut self, number: u32) -> bool {
        let index = self.ranges.partition_point(|(_, last)| *last < number);
        let next = self.ranges.get(index).copied();
        if next.is_some_and(|(first, _)| first <= number) {
            return false;
        }
        let extends_previous = index > 0 && self.ranges[index - 1].1 + 1 == number;
        let extends_next = next.is_some_and(|(first, _)| number + 1 == first);
        match (extends_previous, extends_next) {
            (true, true) => {
                self.ranges[index - 1].1 = self.ranges[index].1;
                self.ranges.remove(index);
            }
            (true, false) => self.ranges[index - 1].1 = number,
            (false, true) => self.ranges[index].0 = number,
            (false, false) => self.ranges.insert(index, (number, number)),
        }
        true
    }

    /// Returns whether the set is too large to be serialized as a list of its numbers, so that
    /// [`gaps_and_lengths`](Self::gaps_and_lengths) has to be stored as well.
    pub fn is_unlisted(&self) -> bool {
        self.len() > MAX_LISTED
    }

    /// Returns for each range how many numbers are missing before it, and how many follow its first.
    pub fn gaps_and_lengths(&self) -> Vec<(u32, u32)> {
        let mut next = 0;
        let ranges = self.ranges.iter().map(|(first, last)| {
            let gap = first - next;
            next = last.saturating_add(1);
            (gap, last - first)
        });
        ranges.collect()
    }

    /// Returns the set with the ranges that [`gaps_and_lengths`](Self::gaps_and_lengths) returned.
    ///
    /// # Errors
    ///
    /// Returns an error if two ranges touch, or one ends beyond [`u32::MAX`].
    pub fn from_gaps_and_lengths(gaps_and_lengths: &[(u32, u32)]) -> Result<Self> {
        let mut ranges = Vec::with_capacity(gaps_and_lengths.len());
        let mut next = Some(0_u32);
        for (gap, length) in gaps_and_lengths {
            if *gap == 0 && !ranges.is_empty() {
                return Err(InvalidRanges);
            }
            let first = next.and_then(|next| next.checked_add(*gap));
            let first = first.ok_or(InvalidRanges)?;
            let last = first.checked_add(*length).ok_or(InvalidRanges)?;
            ranges.push((first, last));
            next = last.checked_add(1);
        }
        Ok(Self { ranges })
    }

    /// Returns the first range that ends at `number` or after it.
    fn range_from(&self, number: u32) -> Option<(u32, u32)> {
        let index = self.ranges.partition_point(|(_, last)| *last < number);
        self.ranges.get(index).copied()
    }
}

impl FromIterator<u32> for NumberSet {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        let mut set = Self::default();
        for number in numbers {
            set.insert(number);
        }
        set
    }
}

/// Serializes the numbers as a list, or an empty list if they are too many; see
/// [`NumberSet::is_unlisted`].
impl Serialize for NumberSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        let ranges: &[_] = if self.is_unlisted() {
            &[]
        } else {
            &self.ranges
        };
        let numbers = ranges.iter().flat_map(|(first, last)| *first..=*last);
        let numbers: Vec<_> = numbers.collect();
        numbers.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for NumberSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        Ok(Vec::deserialize(deserializer)?.into_iter().collect())
    }
}
