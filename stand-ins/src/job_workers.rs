//! The stand-ins for the workers of jobs, with leases and fencing tokens, and the record of what
//! they ran.
//!
//! The text of a job's specification tells how long its tasks run: milliseconds for each step,
//! separated by commas. Steps beyond the end of the list take the last of them.

use {
    crate::{
        job_record::JobRecord,
        rows::{RowStore, respond},
    },
    hyper::{Request, StatusCode, body::Incoming},
    marigoldbend_core::sched::{
        job::{Resources, TaskName},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    marigoldbend_http::{
        body::{HttpResponse, read_whole},
        server::{Limits, serve},
    },
    marigoldbend_platform::rows::RowKey,
    marigoldbend_wire::{
        stand_in::{self as wire, WorkerAction, WorkerCall},
        store::WORKERS_TABLE,
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        future::pending,
        io,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{interval, sleep_until, timeout},
    },
};

/// The maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The maximum number of ended attempts in a report.
const MAX_REPORTED_ENDS: usize = 500;

/// The time for which an idle worker sleeps unless a call changes its state.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// The number and kind of the workers of a deployment.
#[derive(Clone, Debug)]
pub struct JobWorkersConfig {
    /// The number of workers.
    pub count: usize,
    /// The service that they run.
    pub service: String,
    /// The failure domains; the workers are spread over them in turn.
    pub domains: Vec<String>,
    /// The resources of each worker.
    pub capacity: Resources,
    /// The interval at which a worker writes its entry in the list of workers.
    pub heartbeat: Duration,
    /// The maximum duration of a lease.
    pub max_lease: Duration,
}

struct Run {
    attempt: u32,
    started: Instant,
    ends: Instant,
}

#[derive(Default)]
struct State {
    token: u64,
    running: BTreeMap<TaskName, Run>,
    /// The end of the leases.
    leased_until: Option<Instant>,
    finished: Vec<FinishedRow>,
    last_number: u64,
    /// The highest attempt of each task that was stopped or ended here.
    ended: HashMap<TaskName, u32>,
    /// Whether the worker was removed.
    is_removed: bool,
}

/// One worker.
struct Worker {
    info: WorkerInfo,
    max_lease: Duration,
    /// When the worker's clock read zero.
    epoch: Instant,
    state: Mutex<State>,
    /// Wakes the timer and the reports that wait for an end, after each change of the state.
    changed: watch::Sender<()>,
    record: JobRecord,
}

/// The running workers of a deployment.
pub struct JobWorkers {
    /// The record of what ran on the workers.
    pub record: JobRecord,
    workers: Vec<Arc<Worker>>,
    store: RowStore,
}

impl JobWorkers {
    /// Starts the workers on the current runtime and lists them in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(cfg: &JobWorkersConfig, store: &RowStore) -> io::Result<Self> {
        let record = JobRecord::default();
        let mut workers = Vec::new();
        for index in 0..cfg.count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let info = WorkerInfo {
                id: format!("w{index}"),
                service: cfg.service.clone(),
                address: listener.local_addr()?.to_string(),
                domain: cfg.domains[index % cfg.domains.len()].clone(),
                availability: Availability::Ready,
                capacity: cfg.capacity,
                labels: vec!["kind-1".to_owned(), format!("rack-{}", index % 4)],
                started_ms: unix_ms(),
                remaining_ms: None,
            };
            let worker = Arc::new(Worker {
                info,
                max_lease: cfg.max_lease,
                epoch: Instant::now(),
                state: Mutex::default(),
                changed: watch::Sender::default(),
                record: record.clone(),
            });
            tokio::spawn(write_entries(worker.clone(), store.clone(), cfg.heartbeat));
            tokio::spawn(end_runs_in_time(worker.clone()));
            start_server(listener, worker.clone());
            workers.push(worker);
        }
        Ok(Self {
            record,
            workers,
            store: store.clone(),
        })
    }

    /// Returns the shortest remaining lease of a worker with running tasks; `None` if there is no such
    /// worker.
    pub fn shortest_lease(&self) -> Option<Duration> {
        let now = Instant::now();
        let states = self.workers.iter().map(|worker| worker.state.lock());
        let busy = states.filter(|state| !state.running.is_empty());
        let ends = busy.filter_map(|state| state.leased_until);
        ends.map(|end| end.saturating_duration_since(now)).min()
    }

    /// Removes a worker for good: its attempts end as failed, it answers no call any more, and its
    /// entry in the list of workers is deleted.
    pub fn remove(&self, id: &str) {
        let worker = self.workers.iter().find(|worker| worker.info.id == id);
        if let Some(worker) = worker {
            worker.remove(Instant::now());
            self.store.delete(RowKey::new(WORKERS_TABLE, "", id));
        }
    }
}

/// Returns how long a task runs: the milliseconds at the position of its step in the comma-separated
/// list that is the text of its job, or the last ones if the list is shorter.
fn run_time(task: TaskName, spec_text: &str) -> Option<Duration> {
    let times: Option<Vec<u64>> = spec_text.split(',').map(|ms| ms.parse().ok()).collect();
    let times = times?;
    let time = times.get(usize::from(task.step)).or(times.last())?;
    Some(Duration::from_millis(*time))
}

/// Writes the worker's entry in the list of workers at each heartbeat.
async fn write_entries(worker: Arc<Worker>, store: RowStore, heartbeat: Duration) {
    let name = RowKey::new(WORKERS_TABLE, "", &worker.info.id);
    let mut ticks = interval(heartbeat);
    for number in 1.. {
        ticks.tick().await;
        // The lock is held during the write so that no entry is written after a removal.
        let state = worker.state.lock();
        if state.is_removed {
            return;
        }
        store.put(name.clone(), wire::write_entry(&worker.info, number));
    }
}

/// Ends each attempt when its time or its lease ends.
async fn end_runs_in_time(worker: Arc<Worker>) {
    let mut changed = worker.changed.subscribe();
    loop {
        let now = Instant::now();
        let next = worker.advance(now).unwrap_or(now + IDLE_SLEEP);
        tokio::select! {
            () = sleep_until(next.into()) => {}
            _ = changed.changed() => {}
        }
    }
}

fn start_server(listener: TcpListener, worker: Arc<Worker>) {
    let (stop, stopped) = watch::channel(false);
    let handler = move |_, req| {
        let worker = worker.clone();
        async move {
            let response = worker.handle(req).await;
            let is_removed = worker.state.lock().is_removed;
            if is_removed {
                pending::<()>().await;
            }
            response
        }
    };
    tokio::spawn(async move {
        serve(listener, Limits::default(), handler, stopped).await;
        // The sender must outlive the server, which stops when the sender is dropped.
        drop(stop);
    });
}

impl Worker {
    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let expected = wire::read_expected_worker(req.headers());
        if expected.is_some_and(|id| id != self.info.id) {
            return self.reply(CommandReply::Reborn);
        }
        let path = req.uri().path().to_owned();
        let body = read_whole(req.into_body(), MAX_BODY_BYTES).await;
        let call = body.ok().and_then(|b| wire::read_worker_call(&path, &b));
        let Some(call) = call else {
            return self.reply(CommandReply::Refused);
        };
        let reply = self.execute(&call);
        match call.action {
            WorkerAction::Report { wait, .. } if reply == CommandReply::Ok => {
                let mut changed = self.changed.subscribe();
                let ended = async {
                    // The sender lives as long as this worker, so that waiting does not fail.
                    while self.state.lock().finished.is_empty() && changed.changed().await.is_ok() {
                    }
                };
                // Without an end, the report is sent after the time limit.
                let _ = timeout(wait, ended).await;
                respond(StatusCode::OK, wire::write_report(&self.report()))
            }
            _ => self.reply(reply),
        }
    }

    /// Returns the worker's clock, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn reply(&self, reply: CommandReply) -> HttpResponse {
        let (status, body) = wire::write_reply(reply, self.clock_ms());
        respond(status, body)
    }

    fn execute(&self, call: &WorkerCall) -> CommandReply {
        let now = Instant::now();
        self.advance(now);
        let mut state = self.state.lock();
        if state.is_removed {
            return CommandReply::Refused;
        }
        if call.token < state.token {
            return CommandReply::Fenced;
        }
        state.token = call.token;
        let until = call.until_ms.map(|ms| {
            let until = self.epoch + Duration::from_millis(ms);
            until.min(now + self.max_lease)
        });
        let is_start = matches!(call.action, WorkerAction::Start { .. });
        if is_start && until.is_none_or(|until| until <= now) {
            return CommandReply::Late;
        }
        state.leased_until = state.leased_until.max(until);
        let reply = match &call.action {
            WorkerAction::Start {
                task,
                attempt,
                spec_text,
            } => self.start(&mut state, *task, *attempt, spec_text, now),
            WorkerAction::Stop { task, attempt } => {
                self.stop(&mut state, *task, *attempt, now);
                CommandReply::Ok
            }
            WorkerAction::Throttle { .. } => CommandReply::Ok,
            WorkerAction::Report { acked, .. } => {
                state.finished.retain(|row| row.number > *acked);
                CommandReply::Ok
            }
        };
        drop(state);
        self.changed.send_replace(());
        reply
    }

    fn start(
        &self,
        state: &mut State,
        task: TaskName,
        attempt: u32,
        spec_text: &str,
        now: Instant,
    ) -> CommandReply {
        if let Some(run) = state.running.get(&task) {
            return if run.attempt == attempt {
                CommandReply::Ok
            } else {
                CommandReply::Old
            };
        }
        if state.ended.get(&task).is_some_and(|last| *last >= attempt) {
            return CommandReply::Old;
        }
        let Some(run_time) = run_time(task, spec_text) else {
            return CommandReply::Refused;
        };
        self.record.start(&self.info.id, task, attempt, now);
        let run = Run {
            attempt,
            started: now,
            ends: now + run_time,
        };
        state.running.insert(task, run);
        CommandReply::Ok
    }

    fn stop(&self, state: &mut State, task: TaskName, attempt: u32, now: Instant) {
        let run = state.running.get(&task);
        if run.is_some_and(|run| run.attempt == attempt) {
            self.end(state, task, EndReason::Stopped, now);
        } else {
            let last = state.ended.entry(task).or_default();
            *last = attempt.max(*last);
        }
    }

    fn remove(&self, now: Instant) {
        self.advance(now);
        let mut state = self.state.lock();
        state.is_removed = true;
        let running: Vec<_> = state.running.keys().copied().collect();
        for task in running {
            self.end(&mut state, task, EndReason::Failed, now);
        }
    }

    /// Ends the attempts whose time or lease has ended, each at the time at which it was due;
    /// returns when the next one is due.
    fn advance(&self, now: Instant) -> Option<Instant> {
        let mut state = self.state.lock();
        let lapses = state.leased_until.unwrap_or(now);
        let due_at = |run: &Run| run.ends.min(lapses);
        let due = state.running.iter().filter(|(_, run)| due_at(run) <= now);
        let mut due: Vec<_> = due
            .map(|(task, run)| (due_at(run), *task, run.ends <= lapses))
            .collect();
        due.sort();
        let has_ended = !due.is_empty();
        for (at, task, is_done) in due {
            let reason = if is_done {
                EndReason::Done
            } else {
                EndReason::Lapsed
            };
            self.end(&mut state, task, reason, at);
        }
        let next = state.running.values().map(due_at).min();
        drop(state);
        if has_ended {
            self.changed.send_replace(());
        }
        next
    }

    fn end(&self, state: &mut State, task: TaskName, reason: EndReason, at: Instant) {
        let Some(run) = state.running.remove(&task) else {
            return;
        };
        self.record
            .end(&self.info.id, task, run.attempt, reason, at);
        let last = state.ended.entry(task).or_default();
        *last = run.attempt.max(*last);
        state.last_number += 1;
        state.finished.push(FinishedRow {
            number: state.last_number,
            task,
            attempt: run.attempt,
            reason,
            checkpoint: String::new(),
        });
    }

    fn report(&self) -> Report {
        let now = Instant::now();
        let state = self.state.lock();
        let running = state.running.iter().map(|(task, run)| {
            let run_time = run.ends.duration_since(run.started).as_secs_f64();
            let elapsed = now.duration_since(run.started).as_secs_f64();
            RunningRow {
                task: *task,
                attempt: run.attempt,
                checkpoint: String::new(),
                percent: (100.0 * elapsed / run_time.max(f64::EPSILON)).min(100.0),
                usage: None,
            }
        });
        let finished = state.finished.iter().take(MAX_REPORTED_ENDS);
        Report {
            started_ms: self.info.started_ms,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            finished: finished.cloned().collect(),
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
