//! Tests of evacuated failure domains: where tasks start, and which long-running tasks move.

use {
    marigoldbend_core::sched::{
        evacuation::{Evacuations, Source, must_hold_starts},
        job::{JobId, JobSpec, Resources, Step, TaskName},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, CommandReply, Report, RunningRow, WorkerInfo},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const JOB: JobId = JobId(7);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn job(count: u32, long_running: bool) -> JobSpec {
    let step = Step {
        count,
        request: Resources {
            cpu: 1_000,
            mem_mb: 100,
            gpu: 0,
        },
        estimate_ms: 500,
        long_running,
        max_unavailable: long_running.then_some(1),
        ..Step::default()
    };
    JobSpec {
        queue: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        slack_percent: 150,
        extra_ms: 300,
        steps: vec![step],
        token: 1,
        ..JobSpec::default()
    }
}

/// A shard with workers of four cores each, which run what it starts and end nothing by themselves.
struct Fleet {
    shard: Shard,
    base: Instant,
    now_ms: u64,
    /// Name and failure domain of each worker.
    workers: Vec<(&'static str, &'static str)>,
    /// Task, attempt and worker of each run.
    runs: Vec<(TaskName, u32, String)>,
    /// How often each start command was sent.
    starts: Vec<(TaskName, String)>,
    reply: CommandReply,
}

impl Fleet {
    fn new(workers: &[(&'static str, &'static str)]) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(Params::default(), 1, base);
        for (id, domain) in workers {
            let info = WorkerInfo {
                id: (*id).to_owned(),
                service: "s".to_owned(),
                address: format!("127.0.0.1:{}", id.len()),
                domain: (*domain).to_owned(),
                availability: Availability::Ready,
                capacity: Resources {
                    cpu: 4_000,
                    mem_mb: 10_000,
                    gpu: 0,
                },
                labels: Vec::new(),
                started_ms: 0,
                remaining_ms: None,
            };
            shard.worker_listed(&info, base);
            shard.add_worker_in_use(id, &info.address, base);
        }
        let mut fleet = Self {
            shard,
            base,
            now_ms: 10,
            workers: workers.to_vec(),
            runs: Vec::new(),
            starts: Vec::new(),
            reply: CommandReply::Ok,
        };
        fleet.report();
        fleet
    }

    fn now(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    /// Passes a report of each worker to the shard.
    fn report(&mut self) {
        let (now, sent_at) = (self.now(), self.now() - ms(1));
        for (id, _) in self.workers.clone() {
            let running = self.runs.iter().filter(|(_, _, worker)| worker == id);
            let running = running.map(|(task, attempt, _)| RunningRow {
                task: *task,
                attempt: *attempt,
                checkpoint: String::new(),
                percent: 100.0,
                usage: None,
            });
            let report = Report {
                started_ms: 1,
                clock_ms: self.now_ms,
                running: running.collect(),
                ..Report::default()
            };
            self.shard.on_report(id, &report, sent_at, now, self.now_ms);
        }
    }

    /// Lets the fleet run for a time.
    fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 20;
            let now = self.now();
            for command in self.shard.poll(now, self.now_ms) {
                match command {
                    Command::Start {
                        worker,
                        task,
                        attempt,
                        ..
                    } => {
                        self.starts.push((task, worker.clone()));
                        self.shard
                            .on_start_reply(&worker, task, attempt, self.reply, now);
                        if self.reply == CommandReply::Ok {
                            self.runs.push((task, attempt, worker));
                        }
                    }
                    Command::Stop {
                        worker,
                        task,
                        attempt,
                        ..
                    } => {
                        self.runs
                            .retain(|run| *run != (task, attempt, worker.clone()));
                        self.shard
                            .on_stop_reply(&worker, task, attempt, CommandReply::Ok, now);
                    }
                    _ => {}
                }
            }
            if let Some(batch) = self.shard.take_batch(100, now) {
                self.shard.on_batch_result(&batch, true, now);
            }
            self.report();
        }
    }

    fn submit(&mut self, id: JobId, spec: JobSpec) {
        let now = self.now();
        self.shard.add_job(id, spec, JobOrigin::New, now);
    }

    fn domain_of(&self, worker: &str) -> &'static str {
        let found = self.workers.iter().find(|(id, _)| *id == worker);
        found.map_or("", |(_, domain)| domain)
    }

    /// Returns how many runs there are in a domain.
    fn runs_in(&self, domain: &str) -> usize {
        let runs = self.runs.iter();
        runs.filter(|(_, _, w)| self.domain_of(w) == domain).count()
    }
}

#[test]
fn nothing_starts_in_an_evacuated_domain_until_it_is_taken_back() {
    let mut fleet = Fleet::new(&[("a1", "a"), ("b1", "b")]);
    fleet.shard.set_evacuations(&["a"], &["a"]);
    fleet.submit(JOB, job(8, false));
    fleet.run_for(200);
    assert_eq!((fleet.runs_in("a"), fleet.runs_in("b")), (0, 4));
    fleet.shard.set_evacuations(&[], &[]);
    fleet.run_for(200);
    assert_eq!((fleet.runs_in("a"), fleet.runs_in("b")), (4, 4));
}

#[test]
fn nothing_starts_while_all_domains_are_evacuated() {
    let mut fleet = Fleet::new(&[("a1", "a"), ("b1", "b")]);
    fleet.shard.set_evacuations(&["a", "b"], &["a", "b"]);
    fleet.submit(JOB, job(2, false));
    fleet.run_for(200);
    assert_eq!(fleet.starts.len(), 0);
}

#[test]
fn long_running_tasks_stay_in_a_domain_that_is_not_to_be_emptied() {
    let mut fleet = Fleet::new(&[("a1", "a"), ("b1", "b")]);
    fleet.shard.set_evacuations(&["b"], &[]);
    fleet.submit(JOB, job(2, true));
    fleet.run_for(300);
    fleet.shard.set_evacuations(&["a"], &[]);
    fleet.run_for(2_000);
    assert_eq!((fleet.runs_in("a"), fleet.runs_in("b")), (2, 0));
}

#[test]
fn an_unanswered_start_is_stopped_instead_of_sent_again() {
    let mut fleet = Fleet::new(&[("a1", "a")]);
    fleet.reply = CommandReply::Silent;
    fleet.submit(JOB, job(1, false));
    fleet.run_for(40);
    assert_eq!(fleet.starts.len(), 1);
    fleet.shard.set_evacuations(&["a"], &["a"]);
    fleet.run_for(1_000);
    assert_eq!(fleet.starts.len(), 1, "the start was sent again");
}

#[test]
fn long_running_tasks_move_one_by_one_and_short_ones_stay() {
    let mut fleet = Fleet::new(&[("a1", "a"), ("b1", "b")]);
    fleet.shard.set_evacuations(&["b"], &["b"]);
    fleet.submit(JOB, job(3, true));
    fleet.submit(JobId(8), job(1, false));
    fleet.run_for(500);
    assert_eq!(fleet.runs_in("a"), 4);
    fleet.shard.set_evacuations(&["a"], &["a"]);
    let mut least = fleet.runs.len();
    for _ in 0..100 {
        fleet.run_for(20);
        least = least.min(fleet.runs.len());
    }
    assert_eq!((fleet.runs_in("a"), fleet.runs_in("b")), (1, 3));
    assert!(least >= 3, "more than one task was away at a time");
    let status = fleet.shard.evacuation_status();
    assert_eq!(
        (status["a"].long_running_runs, status["a"].short_runs),
        (0, 1)
    );
}

#[test_case(&[("a1", "a")]; "there is no other domain")]
#[test_case(&[("a1", "a"), ("b1", "b")]; "short work needs the room of the other")]
fn long_running_tasks_stay_without_room_elsewhere(workers: &[(&'static str, &'static str)]) {
    let mut fleet = Fleet::new(workers);
    fleet.shard.set_evacuations(&["b"], &["b"]);
    fleet.submit(JOB, job(2, true));
    fleet.run_for(300);
    fleet.shard.set_evacuations(&["a"], &["a"]);
    fleet.submit(JobId(8), job(6, false));
    fleet.run_for(2_000);
    assert_eq!(
        fleet.runs.iter().filter(|(t, _, _)| t.job == JOB).count(),
        2
    );
    assert_eq!(fleet.runs_in("a"), 2);
}

/// A leader that was suspended must not start tasks by a copy that may lack an evacuation.
#[test]
fn no_task_starts_while_starts_are_held() {
    let mut fleet = Fleet::new(&[("a1", "a")]);
    fleet.shard.hold_starts(true);
    fleet.submit(JOB, job(2, false));
    fleet.run_for(500);
    assert_eq!(fleet.starts.len(), 0);
    fleet.shard.hold_starts(false);
    fleet.run_for(100);
    assert_eq!(fleet.starts.len(), 2);
}

#[test_case(None, true, true; "nothing was read yet")]
#[test_case(Some(1_000), true, false; "the copy is new")]
#[test_case(Some(4_900), true, true; "the copy is old and the store can be read")]
#[test_case(Some(60_000), false, false; "the store can't be read")]
fn starts_are_held_by_the_age_of_the_copy(age_ms: Option<u64>, is_readable: bool, expected: bool) {
    let now = Instant::now() + ms(100_000);
    let as_of = age_ms.map(|age_ms| now - ms(age_ms));
    assert_eq!(
        must_hold_starts(as_of, ms(5_000), is_readable, now),
        expected
    );
}

/// Taking back one request must not end that of the other source.
#[test]
fn a_domain_stays_evacuated_while_any_source_asks_for_it() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.set(Source::Platform, "a", true));
    assert!(!evacuations.set(Source::Platform, "a", true));
    evacuations.replace(
        Source::Operator,
        ["a".to_owned(), "b".to_owned()].into_iter().collect(),
    );
    evacuations.set(Source::Platform, "a", false);
    assert_eq!(evacuations.sorted(), ["a", "b"]);
    evacuations.replace(Source::Operator, Default::default());
    assert!(!evacuations.contains("a"));
}
