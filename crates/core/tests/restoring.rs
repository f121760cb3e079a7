//! Tests of what a new leader does for the workers while it still reads the rows.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::Progress,
        shard::{Command, JobOrigin, Params, RestoringShard, Shard},
        worker::{Availability, Report, RunningRow, WorkerInfo},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const JOB: JobId = JobId(7);

/// The token of the new leader, and the one that it sends to workers.
const TOKEN: u64 = 3;
const WORKER_TOKEN: u64 = 64 * TOKEN;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn worker(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", id.len()),
        domain: "z".to_owned(),
        availability: Availability::Ready,
        capacity: Resources {
            cpu: 4_000,
            mem_mb: 10_000,
            gpu: 0,
        },
        labels: Vec::new(),
        started_ms: 0,
        remaining_ms: None,
    }
}

fn job() -> JobSpec {
    let step = Step {
        count: 1,
        request: Resources {
            cpu: 1_000,
            mem_mb: 100,
            gpu: 0,
        },
        ..Step::default()
    };
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        spec: "text".to_owned(),
        steps: vec![step],
        token: 1,
        ..JobSpec::default()
    }
}

fn report(started_ms: u64, clock_ms: u64) -> Report {
    Report {
        started_ms,
        clock_ms,
        ..Report::default()
    }
}

fn running() -> RunningRow {
    RunningRow {
        task: TaskName {
            job: JOB,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        attempt: 100,
        checkpoint: String::new(),
        percent: 10.0,
        usage: None,
    }
}

/// Returns the shard whose rows were read `now_ms` after `base`. The stored list contains all workers.
fn restored(restoring: RestoringShard, workers: &[&str], base: Instant, now_ms: u64) -> Shard {
    let now = base + ms(now_ms);
    let mut shard = Shard::new(Params::default(), TOKEN, now);
    for (id, address) in restoring.worker_addresses() {
        shard.add_worker_in_use(id, address, now);
    }
    for info in workers.iter().map(|id| worker(id)) {
        shard.add_worker_in_use(&info.id, &info.address, now);
    }
    shard.add_job(JOB, job(), JobOrigin::Stored(Progress::default()), now);
    for id in workers {
        shard.worker_listed(&worker(id), now);
    }
    shard.restore_workers(restoring, now, now_ms);
    shard
}

fn started(commands: &[Command]) -> Vec<&str> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start { worker, .. } => Some(worker.as_str()),
        _ => None,
    });
    starts.collect()
}

/// Guards against long-running tasks that all lapse whenever the leader changes.
#[test]
fn leases_are_renewed_while_the_rows_are_read() {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:1");
    let request = |restoring: &mut RestoringShard, at| {
        restoring
            .prepare_report_request("a", base + ms(at))
            .expect("the worker is known")
    };
    assert_eq!(request(&mut restoring, 1), (WORKER_TOKEN, None));
    restoring.on_report("a", report(1, 50_000), base + ms(1), base + ms(10));
    assert_eq!(request(&mut restoring, 20), (WORKER_TOKEN, Some(54_010)));
    restoring.on_report("a", report(1, 51_000), base + ms(20), base + ms(1_010));
    assert_eq!(request(&mut restoring, 1_010), (WORKER_TOKEN, Some(55_000)));
    // The tasks of a silent worker must be able to start elsewhere.
    assert_eq!(request(&mut restoring, 2_800), (WORKER_TOKEN, None));
}

/// Guards against leases by the clock of a former incarnation, which would last for hours.
#[test]
fn a_restarted_worker_gets_leases_by_its_new_clock() {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:1");
    restoring.on_report("a", report(1, 9_000_000), base, base + ms(10));
    restoring.on_report("a", report(2, 30), base + ms(100), base + ms(110));
    // A report from before the restart that arrives late changes nothing.
    restoring.on_report("a", report(1, 9_000_050), base + ms(50), base + ms(115));
    let request = restoring.prepare_report_request("a", base + ms(120));
    assert_eq!(request, Some((WORKER_TOKEN + 1, Some(4_040))));
}

/// Guards against a wait for reports that begins only after the rows are read.
#[test]
fn inherited_work_starts_at_once_if_all_workers_have_reported() {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:1");
    restoring.on_report("a", report(1, 10), base + ms(2_400), base + ms(2_900));
    let mut shard = restored(restoring, &["a"], base, 3_000);
    assert_eq!(started(&shard.poll(base + ms(3_000), 3_000)), ["a"]);
}

#[test_case(&["a"]; "on a listed worker")]
#[test_case(&[]; "on a worker that is not listed any more")]
fn a_task_that_was_reported_as_running_is_not_started_again(listed: &[&str]) {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:1");
    let first = Report {
        running: vec![running()],
        ..report(1, 10)
    };
    restoring.on_report("a", first, base + ms(2_400), base + ms(2_900));
    let listed = [listed, &["other"]].concat();
    let mut shard = restored(restoring, &listed, base, 3_000);
    shard.on_report(
        "other",
        &report(1, 10),
        base + ms(3_000),
        base + ms(3_010),
        3_010,
    );
    assert_eq!(shard.poll(base + ms(3_020), 3_020), []);
}

/// Guards against a wait for unknown runs that is counted from the end of reading the rows, which
/// stops nobody.
#[test]
fn the_wait_for_unknown_runs_counts_from_the_lease_row() {
    let base = Instant::now();
    let leased_ms = 100;
    let limit_ms = Params::default().unknown_run_limit.as_millis() as u64;
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base + ms(leased_ms));
    restoring.add_worker("silent", "127.0.0.1:6");
    restoring.add_worker("a", "127.0.0.1:1");
    restoring.on_report("a", report(1, 10), base + ms(4_400), base + ms(4_900));
    let mut shard = restored(restoring, &["silent", "a"], base, 5_000);
    let mut clock_ms = 5_000;
    while started(&shard.poll(base + ms(clock_ms), clock_ms)).is_empty() {
        clock_ms += 10;
        assert!(clock_ms < 20_000, "the task never starts");
        let at = base + ms(clock_ms);
        shard.on_report("a", &report(1, clock_ms), at, at, clock_ms);
    }
    let earliest = leased_ms + limit_ms;
    assert!(
        (earliest..earliest + 200).contains(&clock_ms),
        "{clock_ms} instead of {earliest}"
    );
}

/// Guards against a worker that reported once, fell silent while the rows were read, and gets the
/// leases and tasks of a responsive one.
#[test]
fn an_old_kept_report_does_not_make_a_worker_responsive() {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:1");
    restoring.on_report("a", report(1, 10), base, base + ms(10));
    let mut shard = restored(restoring, &["a"], base, 3_000);
    assert_eq!(shard.poll(base + ms(3_000), 3_000), []);
    let request = shard.prepare_report_request("a", base + ms(3_000));
    assert_eq!(request, Some((0, None)));
}

/// Guards against a successor that hears only a minority, and restarts what a leader that doesn't know of
/// it still keeps running on workers that only that leader reaches.
#[test]
fn the_wait_for_unknown_runs_begins_anew_while_an_earlier_leader_may_lead() {
    let base = Instant::now();
    let limit_ms = Params::default().unknown_run_limit.as_millis() as u64;
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("silent", "127.0.0.1:6");
    restoring.add_worker("a", "127.0.0.1:1");
    restoring.extend_unknown_runs(base + ms(300));
    let mut shard = restored(restoring, &["silent", "a"], base, 1_000);
    let mut extended_ms = 300;
    let mut clock_ms = 1_000;
    while started(&shard.poll(base + ms(clock_ms), clock_ms)).is_empty() {
        clock_ms += 10;
        assert!(clock_ms < 20_000, "the task never starts");
        let at = base + ms(clock_ms);
        if clock_ms < 5_000 {
            shard.extend_unknown_runs(at);
            extended_ms = clock_ms;
        }
        shard.on_report("a", &report(1, clock_ms), at, at, clock_ms);
    }
    let earliest = extended_ms + limit_ms;
    assert!(
        (earliest..earliest + 200).contains(&clock_ms),
        "{clock_ms} instead of {earliest}"
    );
    // A wait that is over does not begin anew.
    shard.extend_unknown_runs(base + ms(clock_ms));
    assert!(!shard.awaits_unknown_runs(base + ms(clock_ms)));
}

/// Guards against a worker that counts as having answered by a report of the process at its former
/// address.
#[test]
fn a_worker_at_a_new_address_has_not_reported() {
    let base = Instant::now();
    let mut restoring = RestoringShard::new(TOKEN, &Params::default(), base, base);
    restoring.add_worker("a", "127.0.0.1:9");
    restoring.on_report("a", report(1, 10), base + ms(2_400), base + ms(2_900));
    restoring.add_worker("a", "127.0.0.1:1");
    let request = restoring.prepare_report_request("a", base + ms(2_950));
    assert_eq!(request, Some((WORKER_TOKEN, None)));
    let mut shard = restored(restoring, &["a"], base, 3_000);
    assert!(shard.awaits_unknown_runs(base + ms(3_000)));
    assert_eq!(shard.poll(base + ms(3_000), 3_000), []);
}
