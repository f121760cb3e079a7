//! Tests that the ranking of workers for a step places its tasks like single tasks, and that
//! changes of workers' addresses are noticed.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, Report, WorkerInfo},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The number of workers, whose capacities differ.
const WORKERS: u32 = 7;

fn worker(index: u32, address: &str) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index}"),
        service: "s".to_owned(),
        address: address.to_owned(),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 1_000 + i64::from(index * 37 % 5) * 700,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 0,
        remaining_ms: None,
    }
}

/// Starts jobs, one for each element of `steps`, in one dispatch of an empty shard; returns the
/// workers of the started tasks in the order of the starts.
fn placements(steps: &[Step]) -> Vec<String> {
    let base = Instant::now();
    let at = |ms| base + Duration::from_millis(ms);
    let mut shard = Shard::new(Params::default(), 1, base);
    for index in 0..WORKERS {
        shard.worker_listed(&worker(index, "127.0.0.1:1"), base);
        shard.add_worker_in_use(&format!("w{index}"), "127.0.0.1:1", base);
        let report = Report {
            started_ms: 1,
            clock_ms: 10,
            ..Report::default()
        };
        shard.on_report(&format!("w{index}"), &report, base, at(1), 1);
    }
    for (i, step) in (0..).zip(steps) {
        let spec = JobSpec {
            service: "s".to_owned(),
            steps: vec![step.clone()],
            ..JobSpec::default()
        };
        shard.add_job(JobId(i), spec, JobOrigin::New, at(2 + i));
    }
    let commands = shard.poll(at(1_000), 1_000);
    let workers = commands.into_iter().filter_map(|command| match command {
        Command::Start { worker, .. } => Some(worker),
        _ => None,
    });
    workers.collect()
}

#[test_case(5, false, 0.0; "fewer tasks than workers")]
#[test_case(30, false, 0.0; "more tasks than fit")]
#[test_case(30, true, 0.0; "best effort tasks")]
#[test_case(12, false, 50.0; "serving tasks")]
fn tasks_of_a_step_get_the_workers_that_single_tasks_would(
    count: u32,
    best_effort: bool,
    latency_target_ms: f64,
) {
    let step = |count| Step {
        count,
        request: Resources {
            cpu: 450,
            mem_mb: 100,
            gpu: 0,
        },
        image: "image".to_owned(),
        best_effort,
        latency_target_ms,
        ..Step::default()
    };
    let together = placements(&[step(count)]);
    let singly = placements(&vec![step(1); count as usize]);
    assert!(!together.is_empty());
    assert_eq!(together, singly);
}

#[test]
fn changes_of_addresses_are_noticed_once() {
    let now = Instant::now();
    let mut shard = Shard::new(Params::default(), 1, now);
    assert!(shard.take_worker_addresses_changed());
    assert!(!shard.take_worker_addresses_changed());
    shard.worker_listed(&worker(0, "127.0.0.1:1"), now);
    assert!(shard.take_worker_addresses_changed());
    shard.worker_listed(&worker(0, "127.0.0.1:1"), now);
    assert!(!shard.take_worker_addresses_changed());
    shard.worker_listed(&worker(0, "127.0.0.1:2"), now);
    assert!(shard.take_worker_addresses_changed());
    shard.add_worker_in_use("w1", "127.0.0.1:3", now);
    assert!(shard.take_worker_addresses_changed());
    assert!(!shard.take_worker_addresses_changed());
}
