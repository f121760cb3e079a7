//! A model of one shard: its leaders, workers and store, with lost, delayed and repeated messages,
//! killed and paused leaders, and unreachable and crashed workers.
//!
//! No task may run on two workers at once or start after its completion was acknowledged, and
//! every job must be completed after the faults end. Each mutant leaves out one rule of the
//! protocol, and the model must detect the resulting violation.

mod world;

use {
    test_case::test_case,
    world::{Mutant, Scenario, World},
};

/// The number of seeds that are simulated with all rules in force.
const SEEDS: u64 = 600;

/// The number of seeds within which each mutant must be detected.
const MUTANT_SEEDS: u64 = 4_000;

/// Simulates one seed; returns the violation that it found, if any.
fn run_world(seed: u64, mutant: Mutant, scenario: Scenario) -> Option<String> {
    let mut world = World::new(seed, mutant, scenario);
    world.run();
    world.violation
}

#[test_case(Scenario::Crashes; "while workers crash")]
#[test_case(Scenario::Replacements; "while workers are replaced")]
#[test_case(Scenario::LongRunningJobs; "while long_running jobs move")]
fn no_task_runs_twice_and_every_job_is_completed(scenario: Scenario) {
    for seed in 0..SEEDS {
        if let Some(violation) = run_world(seed, Mutant::None, scenario) {
            panic!("seed {seed}: {violation}");
        }
    }
}

/// Seeds beyond [`SEEDS`] that failed; KNOWN-RED.txt lists them.
#[test_case(2675; "a late duplicate of a start after the end")]
#[test_case(4749; "another late duplicate of a start after the end")]
fn a_seed_that_failed_is_clean(seed: u64) {
    assert_eq!(run_world(seed, Mutant::None, Scenario::Crashes), None);
}

/// Seeds beyond [`SEEDS`] in which a job waits too long, since its task may have crashed workers;
/// in the first, another one is given up wrongly too. KNOWN-RED.txt lists them.
#[test_case(4027)]
#[test_case(1121)]
#[test_case(2390)]
#[test_case(2451)]
#[test_case(3179)]
#[test_case(4419)]
#[test_case(5167)]
#[test_case(5673)]
fn a_seed_with_a_delayed_job_is_clean(seed: u64) {
    assert_eq!(run_world(seed, Mutant::None, Scenario::Crashes), None);
}

#[test_case(Mutant::AckBeforeStore, Scenario::Crashes; "ended attempts are acknowledged before they are stored")]
#[test_case(Mutant::AckAcrossRestart, Scenario::Crashes; "ended attempts are acknowledged by a stale number")]
#[test_case(Mutant::UnconditionalWrites, Scenario::Crashes; "writes are applied after newer ones")]
#[test_case(Mutant::InheritedAsNew, Scenario::Crashes; "jobs of an earlier leader are treated as new")]
#[test_case(Mutant::IgnoreJobToken, Scenario::Crashes; "jobs that were accepted by a later leader are started")]
#[test_case(Mutant::NoFencing, Scenario::Crashes; "commands of a replaced leader are carried out")]
#[test_case(Mutant::RemoveWorkersWithRuns, Scenario::Replacements; "draining workers with runs are removed from the list")]
#[test_case(Mutant::StartOnUnstoredWorkers, Scenario::Replacements; "tasks start on workers that are not in the list")]
#[test_case(Mutant::RestartBeforeStore, Scenario::LongRunningJobs; "long_running tasks restart before that is stored")]
#[test_case(Mutant::IgnorePlacedWorker, Scenario::LongRunningJobs; "long_running tasks restart beside an unanswered worker")]
fn mutant_is_detected(mutant: Mutant, scenario: Scenario) {
    // Some seeds fail with all rules in force.
    let is_violated = |seed, mutant| run_world(seed, mutant, scenario).is_some();
    let detected =
        (0..MUTANT_SEEDS).any(|seed| is_violated(seed, mutant) && !is_violated(seed, Mutant::None));
    assert!(
        detected,
        "{mutant:?} is not detected by {MUTANT_SEEDS} seeds"
    );
}
