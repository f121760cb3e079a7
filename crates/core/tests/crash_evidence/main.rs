//! How often tasks are blamed for crashes of their workers, by the rate at which workers crash
//! for other reasons.

mod world;

use {
    test_case::test_case,
    world::{Outcome, Trouble, World},
};

/// The number of seeds that are simulated; `CRASH_EVIDENCE_SEEDS` sets another one.
const SEEDS: u64 = 60;

/// The maximum number of workers that a task may crash while workers crash for other reasons.
const MAX_CRASHED_IN_WAVES: u64 = 8;

/// The same on a fleet without other crashes.
const MAX_CRASHED_ALONE: u64 = 5;

/// How many losses there are at least for each start that is delayed for long.
const LOSSES_PER_LONG_DELAY: u64 = 1_000;

#[test_case(Trouble::Waves(0.0), MAX_CRASHED_ALONE; "on a quiet fleet")]
#[test_case(Trouble::Waves(0.02), MAX_CRASHED_IN_WAVES; "while 2 percent crash in each wave")]
#[test_case(Trouble::Waves(0.14), MAX_CRASHED_IN_WAVES; "while 14 percent crash in each wave")]
#[test_case(Trouble::Domains, MAX_CRASHED_IN_WAVES; "while whole domains crash")]
fn only_tasks_that_crash_their_workers_are_blamed(trouble: Trouble, max_crashed: u64) {
    let seeds = std::env::var("CRASH_EVIDENCE_SEEDS").ok();
    let seeds = seeds.and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    let mut total = Outcome::default();
    let mut wrong = Vec::new();
    for seed in 0..seeds {
        let outcome = World::new(seed, trouble).run();
        let most = outcome.crashed_by.iter().copied().max().unwrap_or(0);
        if outcome.innocent_given_up > 0 || most > max_crashed {
            wrong.push((seed, outcome.innocent_given_up, most));
        }
        total.losses += outcome.losses;
        total.long_delays += outcome.long_delays;
        total.max_delay_ms = total.max_delay_ms.max(outcome.max_delay_ms);
        total.innocent_given_up += outcome.innocent_given_up;
        total.not_given_up += outcome.not_given_up;
        total.crashed_by.extend(outcome.crashed_by);
    }
    let crashed = total.crashed_by.iter().sum::<u64>() as f64 / total.crashed_by.len() as f64;
    let report = format!(
        "{trouble:?}: seeds={seeds} losses={} long_delays={} max_delay_ms={} innocent_given_up={} \
         crashing={} not_given_up={} crashed_mean={crashed:.2} crashed_max={:?} more_than_5={}",
        total.losses,
        total.long_delays,
        total.max_delay_ms,
        total.innocent_given_up,
        total.crashed_by.len(),
        total.not_given_up,
        total.crashed_by.iter().max(),
        total
            .crashed_by
            .iter()
            .filter(|n| **n > MAX_CRASHED_ALONE)
            .count(),
    );
    println!("{report}");
    assert!(wrong.is_empty(), "{report}: {wrong:?}");
    assert!(
        total.long_delays * LOSSES_PER_LONG_DELAY <= total.losses,
        "{report}"
    );
}
