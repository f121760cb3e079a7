//! The budget of bytes in flight: what is granted, refused and closed under a crowd of messages.

use {
    marigoldbend_core::byte_budget::{BudgetLimits, ByteBudget, Grant, MessageId},
    std::time::{Duration, Instant},
};

const LIMITS: BudgetLimits = BudgetLimits {
    large_pool: 1_000,
    small_pool: 100,
    small_message: 10,
    min_close_age: Duration::from_millis(500),
};

/// Opens a message that holds `bytes`, if they are granted.
fn add(budget: &mut ByteBudget, bytes: usize, now: Instant) -> (MessageId, Grant) {
    let id = budget.open(now);
    let grant = budget.reserve(id, bytes, now);
    if grant == Grant::Refused {
        budget.release(id);
    }
    (id, grant)
}

/// Guards against a crowd of unfinished messages that exceeds the budget or holds it for long.
#[test]
fn a_crowd_neither_exceeds_the_budget_nor_holds_it() {
    let start = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    let mut refused = 0;
    for i in 0..400 {
        let now = start + Duration::from_millis(10) * i;
        let (_, grant) = add(&mut budget, 99, now);
        refused += u32::from(grant == Grant::Refused);
        assert!(budget.used().large <= LIMITS.large_pool);
        assert!(budget.used().messages <= 10);
    }
    // Ten messages enter in each 500 ms; the others find no message that is old enough.
    assert!((1..400).contains(&refused), "{refused}");
    let later = start + Duration::from_secs(5);
    let (_, grant) = add(&mut budget, 900, later);
    assert!(matches!(grant, Grant::Granted(closed) if closed.len() == 9));
}

/// Guards against long messages that keep short ones out.
#[test]
fn short_messages_have_a_reserve() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    add(&mut budget, 1_000, now);
    assert_eq!(add(&mut budget, 11, now).1, Grant::Refused);
    for _ in 0..10 {
        assert_eq!(add(&mut budget, 10, now).1, Grant::Granted(Vec::new()));
    }
    assert_eq!(add(&mut budget, 10, now).1, Grant::Refused);
    let later = now + LIMITS.min_close_age;
    let (_, grant) = add(&mut budget, 10, later);
    assert!(matches!(grant, Grant::Granted(closed) if closed.len() == 1));
    assert_eq!(budget.used().large, 1_000);
}

/// Guards against short messages that find the reserve full again and again, since the crowd in it
/// is always young.
#[test]
fn the_shortest_messages_displace_young_ones_in_the_reserve() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    for _ in 0..10 {
        add(&mut budget, 10, now);
    }
    assert_eq!(add(&mut budget, 3, now).1, Grant::Refused);
    let (_, grant) = add(&mut budget, 2, now);
    assert!(matches!(grant, Grant::Granted(closed) if closed.len() == 1));
    assert!(budget.used().small <= LIMITS.small_pool);
}

/// Guards against a victim that is smaller or younger than another.
#[test]
fn the_message_with_the_most_bytes_and_age_is_closed_first() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    let (_small, _) = add(&mut budget, 200, now);
    let (large, _) = add(&mut budget, 500, now);
    let (_young, _) = add(&mut budget, 300, now + Duration::from_millis(900));
    let (id, grant) = add(&mut budget, 100, now + Duration::from_secs(1));
    assert_eq!(grant, Grant::Granted(vec![large]));
    assert_eq!(budget.used().large, 600);
    // A closed message gets nothing more, and its release changes nothing.
    let later = now + Duration::from_secs(2);
    assert_eq!(budget.reserve(large, 501, later), Grant::Refused);
    budget.release(large);
    assert_eq!(budget.used().large, 600);
    budget.release(id);
    assert_eq!(budget.used().large, 500);
}

/// Guards against the loss of a request that was received completely.
#[test]
fn a_complete_message_is_not_closed() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    let (complete, _) = add(&mut budget, 900, now);
    budget.complete(complete);
    let later = now + Duration::from_secs(60);
    assert_eq!(add(&mut budget, 200, later).1, Grant::Refused);
    budget.release(complete);
    assert_eq!(add(&mut budget, 200, later).1, Grant::Granted(Vec::new()));
}

/// Guards against a legal message that is never served since it is longer than the budget.
#[test]
fn a_single_message_may_exceed_the_large_pool() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(LIMITS);
    let (first, grant) = add(&mut budget, 1_500, now);
    assert_eq!(grant, Grant::Granted(Vec::new()));
    assert_eq!(add(&mut budget, 20, now).1, Grant::Refused);
    // A message that grows alone leaves the small pool.
    budget.release(first);
    let (growing, _) = add(&mut budget, 8, now);
    assert_eq!(budget.used().small, 8);
    assert_eq!(
        budget.reserve(growing, 5_000, now),
        Grant::Granted(Vec::new())
    );
    assert_eq!((budget.used().small, budget.used().large), (0, 5_000));
}
