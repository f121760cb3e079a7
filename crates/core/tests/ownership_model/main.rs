//! A model of one domain: instances, a table and a network that loses, delays, duplicates and
//! reorders, with pauses, kills, restarts and cuts. Whatever happens, no worker has more in
//! flight than its slots.
//!
//! Long runs with fresh seeds:
//! `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=$RANDOM cargo test --release -p marigoldbend-core --test ownership_model`

mod world;

use {
    proptest::{prelude::*, test_runner::RngSeed},
    test_case::test_case,
    world::{Event, SLOTS, Sabotage, WORKERS, run},
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

/// The seed of the cases; the environment may name another.
fn seed() -> RngSeed {
    let named = std::env::var("PROPTEST_RNG_SEED").ok();
    RngSeed::Fixed(named.and_then(|s| s.parse().ok()).unwrap_or(20_261_204))
}

fn cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: seed(),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_worker_is_ever_overloaded(seed: u64, events in events()) {
        let ended = run(seed, &events, Sabotage::Nothing).map(|_| ());
        prop_assert_eq!(ended, Ok(()));
    }

    #[test]
    fn all_capacity_comes_back_after_healing(seed: u64, events in events()) {
        let mut world = run(seed, &events, Sabotage::Nothing).expect("no worker is overloaded");
        world.apply(Event::Heal);
        // What was killed without a proof of its end is listed as ended now.
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

/// Finds out whether the model notices that a mechanism is missing.
fn notices(sabotage: Sabotage) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        cases: 2_000,
        ..cases()
    });
    let strategy = (any::<u64>(), events());
    runner
        .run(&strategy, |(seed, events)| {
            run(seed, &events, sabotage)
                .map(|_| ())
                .map_err(TestCaseError::fail)
        })
        .is_err()
}

#[test_case(Sabotage::NoWait; "no wait before the reserve is used")]
#[test_case(Sabotage::AlwaysConfirmed; "no fallback of an unconfirmed owner")]
fn the_model_notices_a_missing_mechanism(sabotage: Sabotage) {
    assert!(notices(sabotage));
}

/// Two members lose the platform and go on confirming each other, while a third, which joined
/// after the row that they know, sees them silent and the platform alive.
fn unseen_joiner() -> Vec<(u32, Event)> {
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

#[test_case(Sabotage::Nothing, false; "with the words of all members")]
#[test_case(Sabotage::NoPromises, true; "without them")]
fn a_joiner_that_members_have_not_seen(sabotage: Sabotage, overloads: bool) {
    let events = unseen_joiner();
    let overloaded = (0..200).any(|seed| run(seed, &events, sabotage).is_err());
    assert_eq!(overloaded, overloads);
}

/// Both ended instances left a worker whose survivor had been unheard by itself: it took the
/// reserve share from itself.
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
    let ended = run(97_561_704_738_207_770, &events, Sabotage::Nothing).map(|_| ());
    assert_eq!(ended, Ok(()));
}
