//! A set of ranges against the standard library's set.

use {
    marigoldbend_core::sched::{
        number_set::{InvalidRanges, NumberSet},
        progress::{LossRecord, PlacementRecord, Progress},
    },
    proptest::{collection::vec, prelude::*},
    std::collections::BTreeSet,
    test_case::test_case,
};

proptest! {
    #[test]
    fn a_set_has_the_numbers_that_were_added(
        numbers in vec(prop_oneof![0_u32..60, (u32::MAX - 20)..=u32::MAX], 0..120),
    ) {
        let expected: BTreeSet<_> = numbers.iter().copied().collect();
        let mut set = NumberSet::default();
        let mut added = BTreeSet::new();
        for number in &numbers {
            prop_assert_eq!(set.insert(*number), added.insert(*number));
        }
        prop_assert_eq!(set.len(), expected.len() as u64);
        prop_assert_eq!(set.is_empty(), expected.is_empty());
        for number in (0..62).chain((u32::MAX - 22)..=u32::MAX) {
            prop_assert_eq!(set.contains(number), expected.contains(&number));
            let absent = (number..=u32::MAX).find(|n| !expected.contains(n));
            prop_assert_eq!(set.first_absent(number), absent);
        }
        let ranges = set.gaps_and_lengths();
        prop_assert_eq!(NumberSet::from_gaps_and_lengths(&ranges), Ok(set));
    }
}

#[test_case(&[(1, 2), (0, 3)]; "ranges that touch")]
#[test_case(&[(u32::MAX, 1)]; "a range beyond the largest number")]
#[test_case(&[(0, u32::MAX), (1, 0)]; "a range after the largest number")]
fn invalid_ranges_are_an_error(ranges: &[(u32, u32)]) {
    assert_eq!(NumberSet::from_gaps_and_lengths(ranges), Err(InvalidRanges));
}

/// The maximum length of a row, in bytes.
const MAX_ROW: usize = 65_536;

/// The list of the occurrences that were done outgrew the row, which no store took then.
#[test_case(0; "all")]
#[test_case(1; "all but the first")]
#[test_case(50_000; "half of them")]
fn many_done_occurrences_outgrow_no_row(first: u32) {
    let done: NumberSet = (first..100_000).chain([200_000, 300_000]).collect();
    let mut progress = Progress {
        started: true,
        occurrences_done: done,
        ..Progress::default()
    };
    let row = progress.encode();
    assert!(row.len() <= MAX_ROW, "{}", row.len());
    assert_eq!(Progress::decode(&row), Ok(progress.clone()));
    progress.losses.push(LossRecord::default());
    progress.placements.push(PlacementRecord::default());
    assert_eq!(Progress::decode(&progress.encode()), Ok(progress));
}
