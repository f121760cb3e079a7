//! Tests of loans of the right to renew leases: how long a leader waits for them, and what a deputy does
//! with one.

use {
    marigoldbend_core::sched::{
        deputy::{Deputy, RenewalCall, is_deputy},
        job::{JobId, JobSpec, Resources, Step, TaskName},
        loans::{LentWorker, Loan, LoanLedger, LoanRequest, MAX_LOAN, RenewedLease},
        shard::{Command, JobOrigin, Params, Shard},
        worker::{Availability, CommandReply, Report, RunningRow, WorkerInfo},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
};

const TOKEN: u64 = 3;
const MAX_LEASE: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(4);

/// The start of the workers' processes.
const STARTED_MS: u64 = 5;

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
        started_ms: STARTED_MS,
        remaining_ms: None,
    }
}

/// A leader with two workers, whose clocks are the time of the simulation, and two deputies that request
/// loans.
struct World {
    base: Instant,
    now_ms: u64,
    shard: Shard,
    deputies: Vec<Deputy>,
    /// The worker that answers no more.
    vanished: Option<String>,
    /// Where the task of the only job runs, and the number of its attempt.
    run: Option<(String, u32)>,
    /// When the task was started.
    started_ms: Vec<u64>,
    /// When the present incarnation of both workers started.
    incarnation_ms: u64,
}

impl World {
    fn new(params: Params) -> Self {
        let base = Instant::now();
        let mut shard = Shard::new(params, TOKEN, base);
        for id in ["a", "bb"] {
            let info = worker(id);
            shard.add_worker_in_use(id, &info.address, base);
            shard.worker_listed(&info, base);
        }
        let step = Step {
            count: 1,
            request: Resources {
                cpu: 1_000,
                mem_mb: 100,
                gpu: 0,
            },
            ..Step::default()
        };
        let spec = JobSpec {
            queue: "q".to_owned(),
            service: "s".to_owned(),
            max_attempts: 2,
            spec: "text".to_owned(),
            steps: vec![step],
            token: TOKEN,
            ..JobSpec::default()
        };
        shard.add_job(JobId(7), spec, JobOrigin::New, base);
        Self {
            base,
            now_ms: 0,
            shard,
            deputies: vec![Deputy::default(), Deputy::default()],
            vanished: None,
            run: None,
            started_ms: Vec::new(),
            incarnation_ms: STARTED_MS,
        }
    }

    /// Lets time pass until `until_ms`, with reports each 200 ms, requests for loans each
    /// 800 ms.
    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 50;
            let now = self.base + ms(self.now_ms);
            self.shard.confirm(now);
            if self.now_ms.is_multiple_of(200) {
                for id in ["a", "bb"] {
                    let _ = self.shard.prepare_report_request(id, now);
                    if self.vanished.as_deref() != Some(id) {
                        self.report(id, now);
                    }
                }
            }
            if self.now_ms.is_multiple_of(800) {
                for i in 0..self.deputies.len() {
                    self.request_loan(i, now);
                }
            }
            for command in self.shard.poll(now, self.now_ms) {
                if let Command::Start {
                    worker,
                    task,
                    attempt,
                    ..
                } = command
                {
                    self.started_ms.push(self.now_ms);
                    let reply = CommandReply::Ok;
                    self.shard
                        .on_start_reply(&worker, task, attempt, reply, now);
                    self.run = Some((worker, attempt));
                }
            }
            while let Some(batch) = self.shard.take_batch(50, now) {
                self.shard.on_batch_result(&batch, true, now);
            }
        }
    }

    fn report(&mut self, id: &str, now: Instant) {
        let running = self.run.iter().filter(|(at, _)| at == id);
        let running = running.map(|(_, attempt)| RunningRow {
            task: TaskName {
                job: JobId(7),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            attempt: *attempt,
            checkpoint: String::new(),
            percent: (self.now_ms % 100) as f64,
            usage: None,
        });
        let report = Report {
            started_ms: self.incarnation_ms,
            clock_ms: self.now_ms,
            running: running.collect(),
            finished: Vec::new(),
        };
        self.shard
            .on_report(id, &report, now - ms(10), now, self.now_ms);
    }

    fn request_loan(&mut self, i: usize, now: Instant) {
        let mut request = request(&format!("d{i}"));
        self.deputies[i].fill_request(&mut request);
        if let Some(loan) = self.shard.lend(&request, true, now) {
            self.deputies[i].on_loan(&request, loan, now);
        }
    }

    /// Starts both workers again, under their ids, and lists their new incarnations.
    fn restart_workers(&mut self) {
        self.run = None;
        self.incarnation_ms = self.now_ms;
        let now = self.base + ms(self.now_ms);
        for id in ["a", "bb"] {
            let info = WorkerInfo {
                started_ms: self.incarnation_ms,
                ..worker(id)
            };
            self.shard.worker_listed(&info, now);
        }
    }

    /// Returns how long after the loss of the worker with the task this starts again.
    fn restart_delay(&mut self) -> u64 {
        // The first reports and unknown runs of earlier leaders count no more.
        self.run_until(16_000);
        self.vanished = self.run.take().map(|(worker, _)| worker);
        self.run_until(36_000);
        assert_eq!(self.started_ms.len(), 2, "{:?}", self.started_ms);
        self.started_ms[1] - 16_000
    }
}

fn request(holder: &str) -> LoanRequest {
    LoanRequest {
        shard: "all".to_owned(),
        token: TOKEN,
        holder: holder.to_owned(),
        incarnation: 1,
        domain: "z".to_owned(),
        ..LoanRequest::default()
    }
}

/// Guards against loans that delay the restart of tasks after the loss of a worker without a cut.
#[test]
fn a_lost_worker_costs_no_more_time_than_without_loans() {
    let without = World::new(Params::default()).restart_delay();
    let mut world = World::new(Params::default().with_loans(MAX_LEASE));
    assert_eq!(world.restart_delay(), without);
    assert!(world.shard.loans_in_use() > 0);
    // The last lease is granted up to 1.7 s after the last report.
    assert!(without < 6_000, "{without}");
}

/// Guards against a leader that starts tasks elsewhere while a deputy that it does not hear may renew their
/// lease.
#[test]
fn a_loan_that_is_not_returned_delays_the_restart() {
    let mut world = World::new(Params::default().with_loans(MAX_LEASE));
    world.run_until(16_000);
    world.deputies.truncate(1);
    let delay = world.restart_delay();
    let cap_ms = MAX_LOAN.as_millis() as u64 - 800;
    assert!(
        (cap_ms..=MAX_LOAN.as_millis() as u64 + 400).contains(&delay),
        "{delay}"
    );
}

/// Guards against leases that calls to a worker's former process have set at the present one.
#[test]
fn a_restarted_worker_may_have_a_lease_of_the_maximum_length() {
    let mut world = World::new(Params::default().with_loans(MAX_LEASE));
    world.run_until(15_000);
    world.restart_workers();
    world.run_until(16_000);
    world.vanished = world.run.take().map(|(worker, _)| worker);
    world.run_until(36_000);
    // The task started, started again after the restart, and did so after the loss of the worker. A
    // report that was requested after the restart was seen arrived at 15.4 s.
    let until_ms = 15_400 + MAX_LEASE.as_millis() as u64;
    assert_eq!(world.started_ms.len(), 3);
    assert!(world.started_ms[2] > until_ms, "{:?}", world.started_ms);
}

fn lent(cap_ms: u64) -> Loan {
    Loan {
        number: 1,
        workers: vec![LentWorker {
            worker: "a".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            token: 64 * TOKEN,
            started_ms: STARTED_MS,
            cap_ms,
        }],
    }
}

/// The lease ends that a deputy sends each 50 ms from 700 ms after the leader was heard, at a worker that
/// answers at once; the worker's clock begins at 1,000 ms.
fn renewals(
    deputy: &mut Deputy,
    base: Instant,
    newest_token: u64,
    until_ms: u64,
) -> Vec<Option<u64>> {
    let mut ends = Vec::new();
    for at in (700..until_ms).step_by(50) {
        let now = base + ms(at);
        for call in deputy.due_calls(base, newest_token, LEASE, now) {
            ends.push(call.until_ms);
            deputy.on_report(&call.worker, call.token, (STARTED_MS, 1_000 + at), now, now);
        }
    }
    ends
}

#[test]
fn a_deputy_asks_for_the_clock_and_renews_up_to_the_cap() {
    let base = Instant::now();
    let mut deputy = Deputy::default();
    deputy.on_loan(&request("d"), lent(6_500), base);
    let ends = renewals(&mut deputy, base, TOKEN, 4_000);
    assert_eq!(
        ends,
        [None, Some(5_800), Some(6_500), Some(6_500)],
        "the third call would exceed the cap"
    );
    let mut next = request("d");
    deputy.fill_request(&mut next);
    let renewed = RenewedLease {
        worker: "a".to_owned(),
        started_ms: STARTED_MS,
        until_ms: 6_500,
    };
    assert_eq!((next.held, next.renewed.as_slice()), (1, &[renewed][..]));
    // The reply to the request shows that the leader knows of the renewal.
    let loan = Loan {
        number: 2,
        ..Loan::default()
    };
    deputy.on_loan(&next, loan, base + ms(4_000));
    let mut next = request("d");
    deputy.fill_request(&mut next);
    assert_eq!((next.held, next.renewed.len()), (2, 0));
    assert_eq!(renewals(&mut deputy, base, TOKEN, 8_000), []);
}

#[test_case(TOKEN + 1, 0, 1; "another leadership has begun")]
#[test_case(TOKEN, 4_000, 1; "the leader is heard")]
fn a_deputy_renews_nothing(newest_token: u64, heard_ms: u64, number: u64) {
    let base = Instant::now();
    let mut deputy = Deputy::default();
    let loan = Loan {
        number,
        ..lent(20_000)
    };
    deputy.on_loan(&request("d"), loan, base);
    let calls = deputy.due_calls(base + ms(heard_ms), newest_token, LEASE, base + ms(4_500));
    assert_eq!(calls, []);
    assert!(!deputy.is_active());
}

/// Guards against a renewal of the lease of another process than the one that the loan is for.
#[test_case(Some(STARTED_MS + 1); "the worker has restarted")]
#[test_case(None; "the worker refuses the call")]
fn a_deputy_leaves_a_worker_alone(started_ms: Option<u64>) {
    let base = Instant::now();
    let mut deputy = Deputy::default();
    deputy.on_loan(&request("d"), lent(20_000), base);
    let now = base + ms(1_000);
    let calls = deputy.due_calls(base, TOKEN, LEASE, now);
    let [RenewalCall { until_ms: None, .. }] = calls.as_slice() else {
        panic!("{calls:?}");
    };
    match started_ms {
        Some(started_ms) => deputy.on_report("a", 64 * TOKEN, (started_ms, 1_000), now, now),
        None => deputy.on_refusal("a", 64 * TOKEN),
    }
    assert_eq!(deputy.due_calls(base, TOKEN, LEASE, base + ms(3_000)), []);
    assert_eq!(deputy.counts().refused, 1);
}

/// Guards against a deputy that goes on with a loan that a late reply would replace by an earlier one.
#[test]
fn a_late_loan_does_not_replace_a_newer_one() {
    let base = Instant::now();
    let mut deputy = Deputy::default();
    let empty = Loan {
        number: 2,
        ..Loan::default()
    };
    deputy.on_loan(&request("d"), empty, base);
    deputy.on_loan(&request("d"), lent(20_000), base);
    assert_eq!(deputy.loan(), (TOKEN, 2, 0));
}

/// Guards against loans that are forgotten before their caps have passed, and against ones that are kept
/// for ever.
#[test]
fn loans_of_a_lost_holder_count_until_their_caps_have_passed() {
    let base = Instant::now();
    let mut ledger = LoanLedger::default();
    let workers = || lent(9_000).workers;
    let first = ledger.issue(&request("d"), workers(), base);
    assert_eq!(first.map(|loan| loan.number), Some(1));
    let other = LoanRequest {
        incarnation: 2,
        held: u64::MAX,
        ..request("d")
    };
    // The process has restarted, and its earlier loan is not known to be dropped.
    ledger.prune(&other, base + ms(9_300));
    assert_eq!(ledger.cap_ms("a", STARTED_MS), 9_000);
    assert_eq!(ledger.cap_ms("a", STARTED_MS + 1), 0);
    ledger.prune(&other, base + ms(9_900));
    assert!(ledger.is_empty());
    // A holder whose replies are all lost gets no more loans than may be in use.
    let issued = (0..40).filter(|_| ledger.issue(&request("d"), workers(), base).is_some());
    assert_eq!(issued.count(), 14);
}

#[test_case(("b", 500), &[("a", 500), ("c", 120)], true; "the second of the large ones")]
#[test_case(("c", 500), &[("a", 500), ("b", 500)], false; "the third of equal ones")]
#[test_case(("a", 120), &[("b", 500), ("c", 250)], false; "the smallest")]
#[test_case(("a", 120), &[], true; "the only one")]
fn the_largest_instances_are_deputies(own: (&str, u32), others: &[(&str, u32)], expected: bool) {
    assert_eq!(is_deputy(own, others.iter().copied()), expected);
}
