//! Tests of the small state machines of the core; property tests compare them with naive
//! reference models.

use {
    marigoldbend_core::{
        admission::{Gate, OwnershipConfirmation},
        config::{Config, NewestConfig, VersionedConfig},
        ejection::{Ejector, Health},
        group_commit::GroupCommit,
        ids::{Incarnation, Version, WorkerId},
        latency::LatencyEstimate,
        retry::RetryBudget,
        routing::{Candidate, choose},
        task::{Phase, Task},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rand::{SeedableRng, rngs::StdRng},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    test_case::test_case,
};

fn test_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A transition of a task; the number is that of the attempt.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim,
    Finish(u32),
    Requeue(u32),
    Fail(u32),
    Cancel,
    CancelStopped(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Claim),
        1 => (0..6u32).prop_map(Step::Finish),
        3 => (0..6u32).prop_map(Step::Requeue),
        3 => (0..6u32).prop_map(Step::Fail),
        1 => Just(Step::Cancel),
        1 => (0..6u32).prop_map(Step::CancelStopped),
    ]
}

proptest! {
    #![proptest_config(test_config())]

    /// The reference model is the set of attempts that may run. It must never contain two, and
    /// none once the task is final.
    #[test]
    fn at_most_one_attempt_of_a_task_may_run(steps in prop::collection::vec(step(), 1..60)) {
        let mut task = Task::new();
        let mut may_run: Vec<u32> = Vec::new();
        let mut claims = 0;
        for step in steps {
            let was_final = task.phase.is_final();
            match step {
                Step::Claim => if let Ok(attempt) = task.claim(WorkerId(1), Incarnation(1)) {
                    claims += 1;
                    prop_assert_eq!(attempt, claims);
                    may_run.push(attempt);
                },
                Step::Finish(a) => if task.finish(a).is_ok() { may_run.retain(|r| *r != a) },
                Step::Requeue(a) => if task.requeue(a, 1, false).is_ok() { may_run.retain(|r| *r != a) },
                Step::Fail(a) => if task.fail(a, "why").is_ok() { may_run.retain(|r| *r != a) },
                Step::Cancel => { task.cancel(); },
                Step::CancelStopped(a) => if task.cancel_stopped(a).is_ok() { may_run.retain(|r| *r != a) },
            }
            let claimed = matches!(task.phase, Phase::Claimed { .. });
            prop_assert_eq!(may_run.len(), usize::from(claimed));
            prop_assert!(!was_final || task.phase.is_final(), "a final task left its final phase");
        }
    }

    /// The reference model allows a burst of 5 retries, and one more for every 10 first tries.
    #[test]
    fn a_retry_budget_allows_no_more_than_its_share(tries in prop::collection::vec(any::<bool>(), 1..400)) {
        let budget = RetryBudget::new(10, 5);
        let (mut first_tries, mut retries) = (0u32, 0u32);
        for is_retry in tries {
            if is_retry {
                retries += u32::from(budget.try_retry());
            } else {
                first_tries += 1;
                budget.record_try();
            }
            prop_assert!(retries <= 5 + first_tries.div_ceil(10));
        }
    }

    /// The reference model is the list of accepted changes, which must be written in the same
    /// order.
    #[test]
    fn a_group_commit_keeps_order_and_loses_no_change(
        capacity in 1..20usize,
        max_batch in 1..8usize,
        pushes in prop::collection::vec(prop::option::of(any::<u8>()), 1..100),
    ) {
        let mut group = GroupCommit::new(capacity, max_batch);
        let (mut accepted, mut written) = (Vec::new(), Vec::new());
        for push in pushes {
            match push {
                Some(change) => match group.push(change) {
                    Ok(()) => accepted.push(change),
                    Err(returned) => prop_assert_eq!(returned, change),
                },
                None => {
                    if let Some(started) = group.begin() {
                        prop_assert!(started.len() <= max_batch);
                        prop_assert!(group.begin().is_none(), "a second write started while one was in flight");
                        written.extend(group.finish());
                    }
                }
            }
            prop_assert_eq!(written.len() + group.len(), accepted.len());
        }
        while group.begin().is_some() {
            written.extend(group.finish());
        }
        prop_assert_eq!(written, accepted);
    }

    /// The reference model is the minimum of the slots in use over all workers with a free slot.
    #[test]
    fn choose_returns_a_least_occupied_worker(
        workers in prop::collection::vec((0..9u32, 0..9u32), 0..12),
        seed: u64,
    ) {
        let candidates: Vec<_> = workers.iter().enumerate().map(|(i, &(free, in_use))| Candidate {
            worker: WorkerId(i as u32),
            free,
            in_use,
            latency: Duration::ZERO,
            probe: false,
        }).collect();
        let fewest = candidates.iter().filter(|c| c.free > 0).map(|c| c.in_use).min();
        let chosen = choose(&candidates, &mut StdRng::seed_from_u64(seed));
        prop_assert_eq!(chosen.map(|i| candidates[i].in_use), fewest);
        prop_assert!(chosen.is_none_or(|i| candidates[i].free > 0));
    }

    #[test]
    fn only_a_newer_configuration_is_adopted(versions in prop::collection::vec(0..50u64, 1..50)) {
        let config = Arc::new(config());
        let mut newest = NewestConfig::default();
        let mut highest = 0;
        for version in versions {
            let seen = VersionedConfig { version: Version(version), config: config.clone() };
            prop_assert_eq!(newest.observe(seen), version > highest);
            highest = highest.max(version);
            prop_assert_eq!(newest.version(), Version(highest));
        }
    }
}

fn config() -> Config {
    use marigoldbend_core::config::{BatchClass, Service, Team, Weights, WorkerShape};
    let service = Service {
        deadline_ms: 100,
        queue: 4,
        latency_critical: true,
    };
    let class = BatchClass {
        slots_per_worker: 4,
        checkpoint: true,
    };
    Config {
        services: [("a".to_owned(), service)].into(),
        classes: [("b".to_owned(), class)].into(),
        teams: [("c".to_owned(), Team { running_tasks: 3 })].into(),
        weights: Weights {
            tail_latency: 1,
            evictions: 1,
            throughput: 1,
        },
        worker: WorkerShape {
            slots: 8,
            connections: 64,
        },
    }
}

#[test_case(|c| c.worker.slots = 0, "worker.slots"; "no slots")]
#[test_case(|c| c.worker.connections = 7, "worker.connections"; "fewer connections than slots")]
#[test_case(|c| c.services.get_mut("a").expect("the configuration has this entry").deadline_ms = 5_001, "services.a.deadline_ms"; "deadline above the maximum")]
#[test_case(|c| c.classes.get_mut("b").expect("the configuration has this entry").slots_per_worker = 7, "classes.b.slots_per_worker"; "class above the fallback share")]
#[test_case(|c| c.teams.get_mut("c").expect("the configuration has this entry").running_tasks = 0, "teams.c.running_tasks"; "quota of no tasks")]
#[test_case(|c| c.weights.evictions = 101, "weights.evictions"; "weight above the maximum")]
fn an_invalid_configuration_error_names_the_field(make_invalid: fn(&mut Config), field: &str) {
    let mut config = config();
    assert_eq!(config.check(), Ok(()));
    make_invalid(&mut config);
    let error = config.check().expect_err("the configuration is invalid");
    assert_eq!(error.field(), field);
}

#[test]
fn a_gate_never_exceeds_its_limit_under_contention() {
    let now = Instant::now();
    let confirmation = Arc::new(OwnershipConfirmation::new(now));
    confirmation.extend(now + Duration::from_secs(600));
    let gate = Gate::new(confirmation);
    gate.set_limits(8, 6);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    let permit = gate.try_acquire(Instant::now());
                    assert!(gate.in_use() <= 8);
                    drop(permit);
                }
            });
        }
    });
    assert_eq!(gate.in_use(), 0);
    assert!(gate.peak() <= 8);
}

#[test]
fn an_expired_confirmation_stops_the_dispatch_of_an_admitted_request() {
    let now = Instant::now();
    let confirmation = Arc::new(OwnershipConfirmation::new(now));
    confirmation.extend(now + Duration::from_secs(1));
    let gate = Gate::new(confirmation);
    gate.set_limits(8, 6);
    let permits: Vec<_> = (0..8).filter_map(|_| gate.try_acquire(now)).collect();
    assert_eq!(permits.len(), 8);
    let after_pause = now + Duration::from_secs(2);
    assert!(permits[7].may_dispatch(now));
    assert!(!permits[7].may_dispatch(after_pause));
    assert!(gate.try_acquire(after_pause).is_none());
}

#[test]
fn an_ejected_worker_gets_single_probes_until_one_succeeds() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut ejector = Ejector::default();
    assert!(!ejector.record_failure(at(0)));
    assert!(!ejector.record_failure(at(1)));
    assert!(ejector.record_failure(at(2)), "the third failure ejects");
    assert_eq!(ejector.health(at(3)), Health::Ejected);
    assert_eq!(ejector.health(at(600)), Health::Probe);
    ejector.record_probe(at(600));
    assert_eq!(ejector.health(at(601)), Health::Ejected);
    ejector.record_failure(at(610));
    assert_eq!(
        ejector.health(at(1_200)),
        Health::Ejected,
        "the delay between probes grows"
    );
    ejector.record_success();
    assert_eq!(ejector.health(at(1_201)), Health::Healthy);
}

#[test]
fn the_p99_estimate_approaches_the_99th_percentile() {
    let mut estimate = LatencyEstimate::default();
    let (floor, ceiling) = (Duration::from_millis(1), Duration::from_secs(9));
    assert_eq!(
        estimate.first_byte_timeout(floor, ceiling),
        ceiling,
        "the timeout is the ceiling without samples"
    );
    for n in 0..20_000u64 {
        // One sample in a hundred is 100 ms, the others are 10 ms.
        let ms = if n.is_multiple_of(100) { 100 } else { 10 };
        estimate.record(Duration::from_millis(ms));
    }
    let mean = estimate.mean().as_millis();
    assert!((10..=14).contains(&mean), "{mean}");
    let p99 = estimate.p99().as_millis();
    assert!((10..=110).contains(&p99), "{p99}");
}
