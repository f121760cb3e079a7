//! Scheduled jobs of which any number of occurrences is due: what the leader keeps and does must not
//! grow with that number, and each occurrence runs once.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::{JobState, LossRecord, PlacementRecord, Progress, TaskRecord},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    test_case::test_case,
};

const JOB: JobId = JobId(7);

const SMALL_JOB: JobId = JobId(8);

/// The number of workers.
const WORKERS: usize = 8;

/// The number of tasks for which a worker usually has room.
const PLACES: usize = 20;

const TASK_CPU: i64 = 100;

/// The interval of a leader's heartbeats: a poll that takes longer delays them.
const MAX_POLL: Duration = Duration::from_millis(150);

/// The maximum length of a row, in bytes.
const MAX_ROW: usize = 65_536;

/// The maximum number of rows of one batch.
const MAX_ROWS: usize = 90;

fn step(count: u32) -> Step {
    Step {
        count,
        request: Resources {
            cpu: TASK_CPU,
            mem_mb: 10,
            gpu: 0,
        },
        estimate_ms: 50,
        ..Step::default()
    }
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        slack_percent: 150,
        extra_ms: 300,
        steps,
        token: 1,
        ..JobSpec::default()
    }
}

/// Returns a job whose `count` occurrences are all due.
fn all_due(count: u32, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        occurrences: count,
        ..job(steps)
    }
}

/// A shard whose workers run each task for one step of the clock.
struct Fleet {
    shard: Shard,
    base: Instant,
    now_ms: u64,
    /// What runs on each worker, with the attempt.
    running: Vec<BTreeMap<TaskName, u32>>,
    finished: Vec<Vec<FinishedRow>>,
    ends: Vec<u64>,
    /// The tasks whose runs have ended, in order.
    done: Vec<TaskName>,
    /// The rows that are stored.
    rows: BTreeMap<JobId, Vec<u8>>,
    longest_poll: Duration,
    longest_row: usize,
    /// The number of tasks for which each worker has room.
    places: usize,
}

impl Fleet {
    fn new(token: u64) -> Self {
        Self::with_places(token, PLACES)
    }

    fn with_places(token: u64, places: usize) -> Self {
        let base = Instant::now();
        let mut fleet = Self {
            shard: Shard::new(Params::default(), token, base),
            base,
            now_ms: 1_000,
            running: vec![BTreeMap::new(); WORKERS],
            finished: vec![Vec::new(); WORKERS],
            ends: vec![0; WORKERS],
            done: Vec::new(),
            rows: BTreeMap::new(),
            longest_poll: Duration::ZERO,
            longest_row: 0,
            places,
        };
        fleet.list_workers();
        fleet
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn list_workers(&mut self) {
        let now = self.now();
        for index in 0..WORKERS {
            let info = WorkerInfo {
                id: format!("w{index}"),
                service: "s".to_owned(),
                address: format!("127.0.0.1:{}", index + 1),
                domain: "z".to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: TASK_CPU * self.places as i64,
                    mem_mb: 100_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                started_ms: 1,
                remaining_ms: None,
            };
            self.shard.worker_listed(&info, now);
            self.shard.add_worker_in_use(&info.id, &info.address, now);
            self.report(index);
        }
        self.store();
    }

    fn add(&mut self, id: JobId, spec: JobSpec) {
        let now = self.now();
        self.shard.add_job(id, spec, JobOrigin::New, now);
    }

    /// Requests a report, which acknowledges ends that are stored.
    fn report(&mut self, index: usize) {
        let now = self.now();
        let id = format!("w{index}");
        let request = self.shard.prepare_report_request(&id, now);
        let acked = request.map_or(0, |(acked, _)| acked);
        self.finished[index].retain(|row| row.number > acked);
        let running = self.running[index].iter();
        let running = running.map(|(task, attempt)| RunningRow {
            task: *task,
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 50.0,
            usage: None,
        });
        let report = Report {
            started_ms: 1,
            clock_ms: self.now_ms,
            running: running.collect(),
            finished: self.finished[index].clone(),
        };
        self.shard.on_report(&id, &report, now, now, self.now_ms);
    }

    fn store(&mut self) {
        let now = self.now();
        while let Some(batch) = self.shard.take_batch(MAX_ROWS, now) {
            for (id, row) in &batch.rows {
                self.longest_row = self.longest_row.max(row.len());
                self.rows.insert(*id, row.clone());
            }
            self.shard.on_batch_result(&batch, true, now);
        }
    }

    /// Ends what runs, reports it, stores what has changed and polls.
    fn advance(&mut self) {
        self.now_ms += 50;
        for index in 0..WORKERS {
            for (task, attempt) in std::mem::take(&mut self.running[index]) {
                self.ends[index] += 1;
                self.finished[index].push(FinishedRow {
                    number: self.ends[index],
                    task,
                    attempt,
                    reason: EndReason::Done,
                    checkpoint: String::new(),
                });
                self.done.push(task);
            }
            self.report(index);
        }
        self.store();
        self.poll();
    }

    fn poll(&mut self) {
        let now = self.now();
        self.shard.confirm(now);
        let began_at = Instant::now();
        let commands = self.shard.poll(now, self.now_ms);
        self.longest_poll = self.longest_poll.max(began_at.elapsed());
        for command in commands {
            if let Command::Start {
                worker,
                task,
                attempt,
                ..
            } = command
            {
                let index: usize = worker[1..].parse().expect("a worker's number");
                self.running[index].insert(task, attempt);
                self.shard
                    .on_start_reply(&worker, task, attempt, CommandReply::Ok, now);
            }
        }
    }

    fn state(&self, id: JobId) -> Option<JobState> {
        self.shard.job_state(id)
    }

    /// Replaces the leader by a successor with a higher token that reads the stored rows.
    fn replace_leader(&mut self, token: u64, specs: &[(JobId, JobSpec)]) {
        let now = self.now();
        self.shard = Shard::new(Params::default(), token, now);
        for (id, spec) in specs {
            let row = self.rows.get(id).map(|row| Progress::decode(row));
            let progress = row.map_or_else(Progress::default, |row| row.expect("a valid row"));
            let origin = JobOrigin::Stored(progress);
            self.shard.add_job(*id, spec.clone(), origin, now);
        }
        self.list_workers();
    }
}

/// The leader added all due occurrences at once, and each dispatch took time by the square of their
/// number: 15 s and more for 100,000.
#[test_case(100_000, 1; "one task each")]
#[test_case(30_000, 8; "several tasks each")]
#[test_case(2_000_000_000, 1; "as many as a number may state")]
fn due_occurrences_without_limit_hang_no_poll(count: u32, tasks: u32) {
    let mut fleet = Fleet::new(1);
    fleet.add(JOB, all_due(count, vec![step(tasks)]));
    for _ in 0..20 {
        fleet.advance();
    }
    assert!(fleet.longest_poll < MAX_POLL, "{:?}", fleet.longest_poll);
    assert!(fleet.done.len() >= 15 * WORKERS * PLACES);
    for (i, task) in fleet.done.iter().enumerate() {
        let ahead = WORKERS * PLACES;
        let is_next = task.occurrence as usize <= (i + ahead) / tasks as usize;
        assert!(is_next, "{task} runs before the oldest occurrences");
    }
}

/// A job that was accepted beside the due occurrences did not start beside idle workers.
#[test]
fn a_new_job_starts_beside_due_occurrences_in_the_next_dispatches() {
    let mut fleet = Fleet::new(1);
    fleet.add(JOB, all_due(100_000, vec![step(1)]));
    for _ in 0..10 {
        fleet.advance();
    }
    fleet.add(SMALL_JOB, job(vec![step(6)]));
    for _ in 0..4 {
        fleet.advance();
    }
    assert_eq!(fleet.state(SMALL_JOB), Some(JobState::Completed));
}

/// Due occurrences were begun anew, or their done list outgrew its row, as leaders changed.
#[test]
fn many_done_occurrences_outgrow_no_row_and_run_once_across_leaders() {
    const COUNT: u32 = 20_000;
    let spec = JobSpec {
        interval_ms: 1,
        ..all_due(COUNT, vec![step(1)])
    };
    let specs = [(JOB, spec.clone())];
    let mut fleet = Fleet::new(1);
    fleet.add(JOB, spec);
    fleet.now_ms += u64::from(COUNT);
    let mut token = 1;
    for round in 0..2_000 {
        fleet.advance();
        if round % 50 == 49 && fleet.state(JOB) != Some(JobState::Completed) {
            token += 1;
            fleet.replace_leader(token, &specs);
        }
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Completed));
    assert!(fleet.longest_row < MAX_ROW / 8, "{}", fleet.longest_row);
    let distinct: BTreeSet<_> = fleet.done.iter().collect();
    assert_eq!(
        (distinct.len(), fleet.done.len()),
        (COUNT as usize, COUNT as usize)
    );
}

/// A worker's word for one occurrence had all earlier ones added.
#[test_case(true; "running")]
#[test_case(false; "ended")]
fn a_reported_run_of_a_late_occurrence_adds_no_others(is_running: bool) {
    let spec = JobSpec {
        first_ms: 1 << 60,
        ..all_due(2_000_000_000, vec![step(1)])
    };
    let task = TaskName {
        job: JOB,
        occurrence: 1_999_999_999,
        step: 0,
        index: 0,
    };
    let mut fleet = Fleet::new(2);
    let origin = JobOrigin::Stored(Progress::default());
    let now = fleet.now();
    fleet.shard.add_job(JOB, spec, origin, now);
    if is_running {
        fleet.running[0].insert(task, 3);
    } else {
        fleet.finished[0].push(FinishedRow {
            number: 1,
            task,
            attempt: 3,
            reason: EndReason::Done,
            checkpoint: String::new(),
        });
    }
    let began_at = Instant::now();
    fleet.report(0);
    assert!(began_at.elapsed() < MAX_POLL);
    for _ in 0..20 {
        fleet.advance();
    }
    let row = fleet.rows.get(&JOB).map(|row| Progress::decode(row));
    let row = row.expect("the end is stored").expect("a valid row");
    assert!(row.occurrences_done.contains(task.occurrence));
    assert_eq!(row.occurrences_done.len(), 1);
}

/// Steps that depend on others follow once those are done, of each occurrence, also after a takeover.
#[test]
fn steps_of_many_due_occurrences_run_in_order() {
    let second = Step {
        after: vec![0],
        ..step(2)
    };
    let spec = all_due(600, vec![step(1), second]);
    let mut fleet = Fleet::new(1);
    fleet.add(JOB, spec.clone());
    for round in 0..200 {
        fleet.advance();
        if round == 4 {
            fleet.replace_leader(2, &[(JOB, spec.clone())]);
        }
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Completed));
    assert_eq!(fleet.done.len(), 3 * 600);
    let mut first_steps = BTreeSet::new();
    for task in &fleet.done {
        if task.step == 0 {
            assert!(first_steps.insert(task.occurrence));
        } else {
            assert!(first_steps.contains(&task.occurrence), "{task}");
        }
    }
}

/// A record of an occurrence that waits behind many others must not be lost from the next rows.
#[test]
fn begun_occurrences_keep_their_records_beside_a_backlog() {
    let record = TaskRecord {
        occurrence: 90_000,
        failed: vec![1],
        checkpoint: "saved".to_owned(),
        ..TaskRecord::default()
    };
    let losses = LossRecord {
        occurrence: 80_000,
        ..LossRecord::default()
    };
    let placement = PlacementRecord {
        occurrence: 70_000,
        worker: "w0".to_owned(),
        ..PlacementRecord::default()
    };
    let progress = Progress {
        started: true,
        tasks: vec![record],
        losses: vec![losses],
        placements: vec![placement],
        occurrences_done: (0..60_000).collect(),
        ..Progress::default()
    };
    let decoded = Progress::decode(&progress.encode());
    assert_eq!(decoded.as_ref(), Ok(&progress));
    let mut fleet = Fleet::new(2);
    let now = fleet.now();
    let spec = all_due(100_000, vec![step(1)]);
    let origin = JobOrigin::Stored(decoded.expect("a row that was just encoded"));
    fleet.shard.add_job(JOB, spec, origin, now);
    for _ in 0..20 {
        fleet.advance();
    }
    let first = fleet.done.iter().map(|task| task.occurrence).min();
    assert_eq!(first, Some(60_000));
    let row = fleet.rows.get(&JOB).map(|row| Progress::decode(row));
    let row = row.expect("the ends are stored").expect("a valid row");
    let record = row.tasks.iter().find(|record| record.occurrence == 90_000);
    assert_eq!(
        record.map(|record| record.failed.as_slice()),
        Some(&[1][..])
    );
}

/// The records of tasks that were done in many open occurrences outgrew the row.
#[test_case(false; "tasks")]
#[test_case(true; "tasks with checkpoints")]
fn open_occurrences_of_several_steps_outgrew_the_row(checkpoints: bool) {
    let first = Step {
        checkpoints,
        ..step(4)
    };
    let second = Step {
        after: vec![0],
        ..first.clone()
    };
    let mut fleet = Fleet::with_places(1, 4_000);
    fleet.add(JOB, all_due(100_000, vec![first, second]));
    for _ in 0..12 {
        for _ in 0..30 {
            fleet.now_ms += 20;
            fleet.poll();
        }
        fleet.advance();
    }
    assert!(fleet.done.len() > 5_000, "{}", fleet.done.len());
    assert!(fleet.longest_row <= MAX_ROW, "{}", fleet.longest_row);
}
