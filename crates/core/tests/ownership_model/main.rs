//! Randomized tests of the ownership rules on a model of one failure domain.
//!
//! The model has instances, a table, and a network that loses, delays, duplicates and reorders
//! messages. Instances are paused, killed, restarted and disconnected. No worker may ever have more
//! requests in flight than slots.
//!
//! Long runs with random seeds:
//! `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=$RANDOM cargo test --release -p marigoldbend-core --test ownership_model`

mod world;

use {
    proptest::{prelude::*, test_runner::RngSeed},
    test_case::test_case,
    world::{DisabledRule, Event, SLOTS, WORKERS, run},
};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..6usize, 1..200u32).prop_map(|(at, steps)| Event::Pause { at, steps }),
        1 => (0..6usize, any::<bool>()).prop_map(|(at, listed)| Event::Kill { at, listed }),
        2 => (0..6usize).prop_map(|at| Event::Restart { at }),
        3 => (0..6usize, any::<bool>()).prop_map(|(at, cut)| Event::CutPlatform { at, cut }),
        4 => (0..6usize, 0..6usize, any::<bool>()).prop_map(|(a, b, cut)| Event::CutPeers { a, b, cut }),
        1 => (1..100u32).prop_map(|steps| Event::Outage { steps }),
        1 => (1..100u32).prop_map(|steps| Event::SlowCommits { steps }),
        1 => Just(Event::Heal),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u32, Event)>> {
    prop::collection::vec((1..60u32, event()), 1..25)
}

/// Returns the fixed seed of the generated cases, which `PROPTEST_RNG_SEED` overrides.
fn seed() -> RngSeed {
    let from_env = std::env::var("PROPTEST_RNG_SEED").ok();
    RngSeed::Fixed(from_env.and_then(|s| s.parse().ok()).unwrap_or(20_261_204))
}

fn test_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: seed(),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(test_config())]

    #[test]
    fn no_worker_is_ever_overloaded(seed: u64, events in events()) {
        let result = run(seed, &events, DisabledRule::Nothing).map(|_| ());
        prop_assert_eq!(result, Ok(()));
    }

    #[test]
    fn all_slots_become_usable_after_healing(seed: u64, events in events()) {
        let mut world = run(seed, &events, DisabledRule::Nothing).expect("no worker is overloaded");
        world.apply(Event::Heal);
        // From now on the platform lists every killed instance as ended.
        for instance in &world.instances {
            if !instance.alive {
                world.gone.push(instance.ownership.me().name.clone());
            }
        }
        world.outage_until = world.now;
        world.slow_until = world.now;
        prop_assume!(world.instances.iter().any(|i| i.alive));
        let mut usable = 0;
        for _ in 0..600 {
            world.step();
            usable = usable.max(world.usable());
        }
        prop_assert_eq!(usable, SLOTS * WORKERS, "version {:?} row {:?}", world.version, world.row);
    }
}

/// Returns whether a random run overloads a worker while the rule is disabled.
fn detects(disabled: DisabledRule) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        cases: 2_000,
        ..test_config()
    });
    let strategy = (any::<u64>(), events());
    runner
        .run(&strategy, |(seed, events)| {
            run(seed, &events, disabled)
                .map(|_| ())
                .map_err(TestCaseError::fail)
        })
        .is_err()
}

#[test_case(DisabledRule::TakeoverWait; "no wait before the reserve share is used")]
#[test_case(DisabledRule::Fallback; "no fallback of an unconfirmed owner")]
fn the_model_detects_a_disabled_rule(disabled: DisabledRule) {
    assert!(detects(disabled));
}

/// Members 0 and 1 lose the platform and continue to confirm each other. Then a new member joins;
/// members 0 and 1 have not seen the newer row with this member. The new member reaches the
/// platform but not members 0 and 1, which are therefore silent to it.
fn events_with_unseen_joiner() -> Vec<(u32, Event)> {
    let cut_platform = |at| Event::CutPlatform { at, cut: true };
    let cut_peers = |a, b| Event::CutPeers { a, b, cut: true };
    vec![
        (
            60,
            Event::Kill {
                at: 2,
                listed: true,
            },
        ),
        (1, cut_platform(0)),
        (30, cut_platform(1)),
        (1, Event::Restart { at: 2 }),
        (1, cut_peers(0, 3)),
        (200, cut_peers(1, 3)),
    ]
}

#[test_case(DisabledRule::Nothing, false; "with the promises of all members")]
#[test_case(DisabledRule::Promises, true; "without promises")]
fn a_takeover_by_an_unseen_joiner_overloads_only_without_promises(
    disabled: DisabledRule,
    expected: bool,
) {
    let events = events_with_unseen_joiner();
    let overloaded = (0..200).any(|seed| run(seed, &events, disabled).is_err());
    assert_eq!(overloaded, expected);
}

/// An instance receives no messages from itself. If it counted as silent to itself, the last member
/// of the domain would take over the reserve share of a worker that it already owns.
#[test]
fn an_instance_is_never_silent_to_itself() {
    let events = [
        (
            1,
            Event::Kill {
                at: 2,
                listed: true,
            },
        ),
        (
            14,
            Event::Kill {
                at: 0,
                listed: true,
            },
        ),
    ];
    let result = run(97_561_704_738_207_770, &events, DisabledRule::Nothing).map(|_| ());
    assert_eq!(result, Ok(()));
}
