//! What a leader tells its successor of workers that do not answer.

use {
    marigoldbend_core::sched::{
        job::{JobId, JobSpec, Resources, Step, TaskName},
        progress::Progress,
        shard::{Command, JobOrigin, Params, RestoringShard, Shard, Silences},
        worker::{Availability, CommandReply, Report, WorkerInfo},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const JOB: JobId = JobId(7);

const WORKERS: [&str; 2] = ["lost", "sound"];

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
        started_ms: 1,
        remaining_ms: None,
    }
}

/// A job of one task.
fn job() -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        slack_percent: 150,
        extra_ms: 300,
        steps: vec![Step {
            count: 1,
            request: Resources {
                cpu: 1_000,
                mem_mb: 100,
                gpu: 0,
            },
            ..Step::default()
        }],
        token: 1,
        ..JobSpec::default()
    }
}

/// A leader, and the heartbeat that is stored.
struct Fixture {
    shard: Shard,
    token: u64,
    base: Instant,
    now_ms: u64,
    stored: Silences,
    leased_ms: u64,
    /// The ids of the workers that answer.
    answering: Vec<&'static str>,
    starts: Vec<(u64, TaskName)>,
    /// Whether the last report request to each of [`WORKERS`] renewed its leases.
    renewed: [bool; 2],
}

impl Fixture {
    fn new() -> Self {
        let base = Instant::now();
        let mut fixture = Self {
            shard: Shard::new(Params::default(), 1, base),
            token: 1,
            base,
            now_ms: 0,
            stored: Silences::default(),
            leased_ms: 0,
            answering: WORKERS.to_vec(),
            starts: Vec::new(),
            renewed: [false; 2],
        };
        fixture.list_workers();
        fixture
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn list_workers(&mut self) {
        let now = self.now();
        for id in WORKERS {
            let info = worker(id);
            self.shard.worker_listed(&info, now);
            self.shard.add_worker_in_use(id, &info.address, now);
        }
    }

    /// Goes on for `ms`, with a report of each answering worker every 50 ms.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now_ms += 50;
            let now = self.now();
            for (i, id) in WORKERS.into_iter().enumerate() {
                let request = self.shard.prepare_report_request(id, now);
                self.renewed[i] = request.is_some_and(|(_, until_ms)| until_ms.is_some());
                if self.answering.contains(&id) {
                    let report = Report {
                        started_ms: 1,
                        clock_ms: self.now_ms,
                        ..Report::default()
                    };
                    self.shard.on_report(id, &report, now, now, self.now_ms);
                }
            }
            self.shard.confirm(now);
            while let Some(batch) = self.shard.take_batch(90, now) {
                self.shard.on_batch_result(&batch, true, now);
            }
            for command in self.shard.poll(now, self.now_ms) {
                if let Command::Start {
                    worker,
                    task,
                    attempt,
                    ..
                } = command
                {
                    self.starts.push((self.now_ms, task));
                    self.shard
                        .on_start_reply(&worker, task, attempt, CommandReply::Silent, now);
                }
            }
        }
    }

    /// Prepares a heartbeat.
    fn tell(&mut self) -> Silences {
        let now = self.now();
        self.shard.tell_silences(true, now)
    }

    /// Prepares a heartbeat that is stored.
    fn store_heartbeat(&mut self) {
        self.stored = self.tell();
        self.shard.on_silences_stored(self.stored.round);
    }

    /// Replaces the leader by its successor, to whom a job is known that may have been started.
    fn replace_leader(&mut self) {
        let now = self.now();
        self.token += 1;
        self.leased_ms = self.now_ms;
        self.shard = Shard::new(Params::default(), self.token, now);
        self.list_workers();
        let origin = JobOrigin::Stored(Progress::default());
        self.shard.add_job(JOB, job(), origin, now);
        self.shard.inherit_silences(&self.stored.workers, now);
        self.starts.clear();
    }

    fn told(&self) -> Option<Duration> {
        let told = self.stored.workers.iter();
        told.map(|(id, remaining)| (id.as_str(), *remaining))
            .find(|(id, _)| *id == "lost")
            .map(|(_, remaining)| remaining)
    }
}

/// Each new leader waited 6.2 s for a lost worker, so inherited work waited for as long as leaders
/// changed (review 12).
#[test_case(true; "a worker that was lost before the first change")]
#[test_case(false; "a worker that was lost together with its leader")]
fn each_leader_waited_anew_for_a_lost_worker(is_lost_before: bool) {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    if is_lost_before {
        fixture.run(3_000);
        fixture.store_heartbeat();
    }
    let mut waited_ms = 0;
    while fixture.starts.is_empty() {
        assert!(waited_ms < 12_000, "inherited work still waits");
        fixture.replace_leader();
        for _ in 0..4 {
            fixture.run(1_000);
            fixture.store_heartbeat();
        }
        waited_ms += 4_000;
    }
}

/// The wait must last until the leases that the first leader granted have ended.
#[test]
fn a_successor_waits_for_the_leases_of_a_silent_worker() {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    let silent_since_ms = fixture.now_ms;
    fixture.run(3_000);
    fixture.store_heartbeat();
    fixture.replace_leader();
    fixture.run(6_000);
    let (started_ms, _) = fixture.starts[0];
    let lease = Params::default().lease.as_millis() as u64;
    assert!(started_ms >= silent_since_ms + lease, "{started_ms}");
    let limit = Params::default().unknown_run_limit.as_millis() as u64;
    assert!(started_ms < fixture.leased_ms + limit, "{started_ms}");
}

/// A successor would start elsewhere what runs on the worker.
#[test]
fn a_worker_that_is_told_of_gets_no_lease_before_that_is_taken_back() {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    fixture.run(3_000);
    let told = fixture.tell();
    assert_eq!(told.workers.len(), 1);
    fixture.answering = WORKERS.to_vec();
    fixture.run(500);
    assert_eq!(fixture.renewed, [false, true]);
    assert!(fixture.shard.has_ended_silence(fixture.now()));
    // The result of the first heartbeat arrives late.
    fixture.shard.on_silences_stored(told.round);
    fixture.run(500);
    assert_eq!(fixture.renewed, [false, true]);
    fixture.store_heartbeat();
    fixture.run(100);
    assert_eq!(fixture.renewed, [true, true]);
    assert!(!fixture.shard.has_ended_silence(fixture.now()));
}

/// The same for a worker that was forgotten meanwhile.
#[test]
fn a_worker_that_comes_back_is_still_told_of() {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    fixture.run(3_000);
    fixture.tell();
    fixture.shard.worker_unlisted("lost", fixture.now());
    fixture.run(10_000);
    let addresses = fixture.shard.worker_addresses();
    assert!(!addresses.map(|(id, _)| id).any(|id| id == "lost"));
    fixture.shard.worker_listed(&worker("lost"), fixture.now());
    fixture.answering = WORKERS.to_vec();
    fixture.run(500);
    assert_eq!(fixture.renewed, [false, true]);
    fixture.store_heartbeat();
    fixture.run(100);
    assert_eq!(fixture.renewed, [true, true]);
}

/// Before that time an earlier leader may renew the leases of a worker that this one does not reach.
#[test]
fn an_unanswered_worker_is_told_of_once_earlier_leaders_have_stopped() {
    let mut fixture = Fixture::new();
    fixture.run(1_000);
    fixture.answering = vec!["sound"];
    fixture.replace_leader();
    fixture.run(2_400);
    fixture.store_heartbeat();
    assert_eq!(fixture.told(), None);
    fixture.run(200);
    fixture.store_heartbeat();
    let elapsed = Duration::from_millis(2_600);
    let limit = Params::default().unknown_run_limit;
    assert_eq!(fixture.told(), Some(limit - elapsed));
}

/// A worker that answers the successor counts like any other.
#[test]
fn a_worker_that_answers_again_is_not_silent_for_the_next_leader() {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    fixture.run(3_000);
    fixture.store_heartbeat();
    assert!(fixture.told().is_some());
    fixture.answering = WORKERS.to_vec();
    fixture.replace_leader();
    fixture.run(1_000);
    fixture.store_heartbeat();
    assert_eq!(fixture.told(), None);
}

/// Without a write, workers that are told of could not be used, so a leader that was frozen, or whose
/// store fails, would let their leases end.
#[test_case(&[], true; "most workers are silent")]
#[test_case(&["sound"], false; "the store fails")]
fn a_worker_is_not_told_of_for_the_leaders_own_trouble(answering: &[&'static str], may_add: bool) {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = answering.to_vec();
    fixture.run(4_000);
    let now = fixture.now();
    assert!(fixture.shard.tell_silences(may_add, now).workers.is_empty());
    fixture.answering = WORKERS.to_vec();
    fixture.run(100);
    assert_eq!(fixture.renewed, [true, true]);
}

/// While the rows are read the new leader renews the leases of a silent worker that answers, and then
/// another process is listed at its id.
#[test]
fn a_worker_that_answered_before_the_rows_were_read_was_taken_for_silent() {
    let mut fixture = Fixture::new();
    fixture.run(10_000);
    fixture.answering = vec!["sound"];
    fixture.run(4_000);
    fixture.store_heartbeat();
    fixture.replace_leader();
    let now = fixture.now();
    let mut restoring = RestoringShard::new(fixture.token, &Params::default(), now, now);
    restoring.add_worker_in_use("lost", &worker("lost").address);
    let report = Report {
        started_ms: 1,
        clock_ms: fixture.now_ms,
        ..Report::default()
    };
    restoring.on_report("lost", report, now, now);
    let renewed = restoring.prepare_report_request("lost", now);
    assert!(renewed.is_some_and(|(_, until_ms)| until_ms.is_some()));
    restoring.add_worker("lost", "127.0.0.1:99");
    fixture
        .shard
        .restore_workers(restoring, now, fixture.now_ms);
    let lease = Params::default().lease.as_millis() as u64;
    fixture.run(lease);
    assert_eq!(fixture.starts, []);
    fixture.run(lease);
    assert_ne!(fixture.starts, []);
}
