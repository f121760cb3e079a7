//! Tests of weighted max-min shares.

use {
    marigoldbend_core::sched::shares::{Demand, fair_shares},
    test_case::test_case,
};

#[test_case(&[(10, 1), (20, 1)], 40, &[10, 20]; "room for all")]
#[test_case(&[(100, 1), (100, 1)], 40, &[20, 20]; "equal shares")]
#[test_case(&[(100, 3), (100, 1)], 40, &[30, 10]; "weighted shares")]
#[test_case(&[(5, 1), (100, 1), (100, 1)], 45, &[5, 20, 20]; "a small demand lends the rest")]
#[test_case(&[(100, 1), (0, 1)], 40, &[40, 0]; "no demand lends all")]
#[test_case(&[(10, 1), (10, 1)], 0, &[0, 0]; "no room")]
#[test_case(&[], 40, &[]; "no users")]
fn shares_are_max_min_fair(demands: &[(i64, i64)], room: i64, expected: &[i64]) {
    let demands = demands.iter();
    let demands: Vec<_> = demands
        .map(|(amount, weight)| Demand {
            amount: *amount,
            weight: *weight,
        })
        .collect();
    assert_eq!(fair_shares(&demands, room), expected);
}
