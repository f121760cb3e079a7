//! The stand-in for the workers of jobs, as the project's own client of a worker sees it.

use {
    marigoldbend_core::sched::{
        job::{JobId, Resources, TaskName},
        worker::{EndReason, Report, WorkerInfo},
    },
    marigoldbend_http::connection::{Connection, ConnectionError, Outgoing, TimeLimits},
    marigoldbend_platform::rows::RowKey,
    marigoldbend_wire::{
        store::WORKERS_TABLE,
        workers::{self, Start},
    },
    stand_ins::{
        job_record::RecordedRun,
        job_workers::{JobWorkers, JobWorkersConfig},
        rows::RowStore,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const WORKER: &str = "w0";

const MAX_LEASE: Duration = Duration::from_secs(1);

/// The maximum time for the reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// The end of a lease that is longer than the longest, on the clock of each process of a test.
const LATE_MS: u64 = 100_000;

/// The text of a job whose tasks outlast each lease.
const LONG_TIME_MS: &str = "60000";

struct Client {
    store: RowStore,
    workers: JobWorkers,
    connection: Connection,
}

impl Client {
    async fn start() -> Self {
        let store = RowStore::start(Duration::ZERO).await;
        let store = store.expect("the store starts");
        let cfg = JobWorkersConfig {
            count: 1,
            service: "render".to_owned(),
            domains: vec!["z1".to_owned()],
            capacity: Resources::default(),
            heartbeat: Duration::from_secs(60),
            max_lease: MAX_LEASE,
        };
        let workers = JobWorkers::start(&cfg, &store).await;
        let workers = workers.expect("the worker starts");
        while store.row(&entry_key()).is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        let address = entry(&store).address.parse().expect("an address");
        Self {
            store,
            workers,
            connection: Connection::new(address),
        }
    }

    async fn call(&mut self, out: Outgoing) -> Result<bytes::Bytes, ConnectionError> {
        let limits = TimeLimits::total(CALL_TIMEOUT);
        Ok(self.connection.exchange(out, limits).await?.body)
    }

    async fn report(&mut self, token: u64) -> Result<Report, ConnectionError> {
        let out = workers::request_report(WORKER, token, 0, None, 0);
        let body = self.call(out).await?;
        Ok(workers::read_report(&body).expect("a report"))
    }

    /// Starts a task until [`LATE_MS`]; returns its run.
    async fn start_task(&mut self, index: u32, token: u64) -> RecordedRun {
        let task = TaskName {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index,
        };
        let start = Start {
            task,
            attempt: 1,
            spec_text: LONG_TIME_MS,
            until_ms: LATE_MS,
            token,
            checkpoint: "",
            approval: None,
        };
        let reply = self.call(workers::start(WORKER, &start)).await;
        reply.expect("a reply");
        self.run(index).expect("a run")
    }

    fn run(&self, index: u32) -> Option<RecordedRun> {
        let mut runs = self.workers.record.runs().into_iter();
        runs.find(|run| run.task.index == index)
    }
}

fn entry_key() -> RowKey {
    RowKey::new(WORKERS_TABLE, "", WORKER)
}

fn entry(store: &RowStore) -> WorkerInfo {
    let row = store.row(&entry_key()).expect("an entry");
    workers::read_entry(WORKER, &row.value).expect("a valid entry")
}

#[tokio::test]
async fn a_worker_that_starts_again_remembers_nothing() {
    let mut client = Client::start().await;
    client.start_task(0, 7).await;
    let before = client.report(7).await.expect("a report");
    assert_eq!(entry(&client.store).started_ms, before.started_ms);
    client.workers.crash(WORKER);
    let reason = client.run(0).and_then(|run| run.end).map(|end| end.1);
    assert_eq!(reason, Some(EndReason::Failed));
    assert_eq!(client.report(7).await, Err(ConnectionError::TimedOut));
    let back = Instant::now();
    client.workers.start_again(WORKER);
    let after = client.report(1).await.expect("a report");
    assert!(after.started_ms > before.started_ms, "{after:?}");
    assert_eq!(entry(&client.store).started_ms, after.started_ms);
    let since_back = back.elapsed().as_millis() as u64;
    assert!(after.clock_ms <= since_back, "{after:?}");
    assert!(
        after.running.is_empty() && after.finished.is_empty(),
        "{after:?}"
    );
}

#[tokio::test]
async fn the_lease_of_a_worker_that_is_cut_off_ends_after_the_longest_time() {
    let mut client = Client::start().await;
    let run = client.start_task(0, 1).await;
    client.workers.cut_off(WORKER);
    assert_eq!(client.report(1).await, Err(ConnectionError::TimedOut));
    assert_eq!(client.run(0).and_then(|run| run.end), None);
    sleep(MAX_LEASE).await;
    let lapse = Some((run.start + MAX_LEASE, EndReason::Lapsed));
    assert_eq!(client.run(0).and_then(|run| run.end), lapse);
    client.workers.reconnect(WORKER);
    let report = client.report(1).await.expect("a report");
    let ends: Vec<_> = report.finished.iter().map(|row| row.reason).collect();
    assert_eq!(ends, [EndReason::Lapsed]);
}
