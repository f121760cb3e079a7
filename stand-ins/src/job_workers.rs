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
    hyper::{Request, StatusCode, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    marigoldbend_core::sched::{
        job::{Resources, TaskName},
        worker::{
            Availability, CommandReply, EndReason, FinishedRow, Report, RunningRow, WorkerInfo,
        },
    },
    marigoldbend_http::body::{HttpResponse, read_whole},
    marigoldbend_platform::rows::RowKey,
    marigoldbend_wire::{
        stand_in::{self as wire, WorkerAction, WorkerCall},
        store::WORKERS_TABLE,
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        convert::Infallible,
        io,
        os::fd::AsFd,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpStream},
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

/// The state of a worker's process, which begins anew when the worker starts again.
struct State {
    /// The Unix time of the start, in milliseconds.
    started_ms: u64,
    /// When the worker's clock read zero.
    epoch: Instant,
    /// The number of the last entry in the list of workers.
    last_entry: u64,
    token: u64,
    running: BTreeMap<TaskName, Run>,
    /// The end of the leases.
    leased_until: Option<Instant>,
    finished: Vec<FinishedRow>,
    last_number: u64,
    /// The highest attempt of each task that was stopped or ended here.
    ended: HashMap<TaskName, u32>,
    /// Whether the process has crashed.
    has_crashed: bool,
}

impl State {
    fn new() -> Self {
        Self {
            started_ms: unix_ms(),
            epoch: Instant::now(),
            last_entry: 0,
            token: 0,
            running: BTreeMap::new(),
            leased_until: None,
            finished: Vec::new(),
            last_number: 0,
            ended: HashMap::new(),
            has_crashed: false,
        }
    }

    /// Returns the worker's clock, in milliseconds.
    fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }
}

/// Whether a worker can be reached.
#[derive(Clone, Copy, Default)]
struct Network {
    is_down: bool,
    /// How often it went down.
    outages: u64,
}

/// One worker.
struct Worker {
    info: WorkerInfo,
    max_lease: Duration,
    state: Mutex<State>,
    network: watch::Sender<Network>,
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
                started_ms: 0,
                remaining_ms: None,
            };
            let worker = Arc::new(Worker {
                info,
                max_lease: cfg.max_lease,
                state: Mutex::new(State::new()),
                network: watch::Sender::default(),
                changed: watch::Sender::default(),
                record: record.clone(),
            });
            tokio::spawn(write_entries(worker.clone(), store.clone(), cfg.heartbeat));
            tokio::spawn(end_runs_in_time(worker.clone()));
            tokio::spawn(accept_connections(listener, worker.clone()));
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

    /// Returns whether any worker reports the end of an attempt that is not acknowledged.
    pub fn has_unacknowledged_ends(&self) -> bool {
        let mut states = self.workers.iter().map(|worker| worker.state.lock());
        states.any(|state| !state.finished.is_empty())
    }

    /// Removes a worker for good: its attempts end as failed, it answers no call any more, and its
    /// entry in the list of workers is deleted.
    pub fn remove(&self, id: &str) {
        self.crash(id);
        self.store.delete(RowKey::new(WORKERS_TABLE, "", id));
    }

    /// Ends a worker's process and takes its machine off the network: its attempts end as failed, and
    /// nobody notices since no call is answered or refused.
    pub fn crash(&self, id: &str) {
        self.worker(id).crash(Instant::now());
    }

    /// Starts a crashed worker again under its id and address, with a new clock and no memory.
    pub fn start_again(&self, id: &str) {
        let worker = self.worker(id);
        *worker.state.lock() = State::new();
        worker.set_network_down(false);
        worker.write_entry(&self.store);
    }

    /// Takes a worker off the network while its process runs on: no call arrives, and no answer leaves.
    pub fn cut_off(&self, id: &str) {
        self.worker(id).set_network_down(true);
    }

    /// Ends what [`JobWorkers::cut_off`] began. Earlier connections are reset at their next use.
    pub fn reconnect(&self, id: &str) {
        let worker = self.worker(id);
        worker.set_network_down(false);
        worker.write_entry(&self.store);
    }

    /// Returns the ids of a failure domain's workers.
    pub fn of_domain(&self, domain: &str) -> Vec<String> {
        let workers = self.workers.iter().map(|worker| &worker.info);
        let workers = workers.filter(|info| info.domain == domain);
        workers.map(|info| info.id.clone()).collect()
    }

    fn worker(&self, id: &str) -> &Worker {
        let mut workers = self.workers.iter();
        let worker = workers.find(|worker| worker.info.id == id);
        worker.expect("the id of a worker")
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
    let mut ticks = interval(heartbeat);
    loop {
        ticks.tick().await;
        worker.write_entry(&store);
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

async fn accept_connections(listener: TcpListener, worker: Arc<Worker>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            // Without this option, small responses wait for the acknowledgement of earlier ones.
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve_connection(stream, worker.clone()));
        }
    }
}

/// Serves a connection until the network is down. Resets it when it is used after that.
async fn serve_connection(stream: TcpStream, worker: Arc<Worker>) {
    let mut network = worker.network.subscribe();
    let initial = *network.borrow();
    let Ok(same_stream) = duplicate(&stream) else {
        return;
    };
    // A connection that is dropped is reset then. An error could only mean that it has ended.
    let _ = stream.set_zero_linger();
    let service = service_fn(|req| {
        let worker = worker.clone();
        async move { Ok::<_, Infallible>(worker.handle(req).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A connection that is not polled neither receives nor sends.
    tokio::pin!(connection);
    let is_out = |now: &Network| now.is_down || now.outages != initial.outages;
    tokio::select! {
        biased;
        _ = network.wait_for(is_out) => {}
        // The error is ignored because the client sees its connection end.
        _ = &mut connection => return,
    }
    // The sender lives as long as the worker.
    let _ = network.wait_for(|now| !now.is_down).await;
    let _ = same_stream.peek(&mut [0]).await;
}

fn duplicate(stream: &TcpStream) -> io::Result<TcpStream> {
    let fd = stream.as_fd().try_clone_to_owned()?;
    TcpStream::from_std(fd.into())
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

    fn set_network_down(&self, is_down: bool) {
        self.network.send_modify(|network| {
            network.outages += u64::from(is_down && !network.is_down);
            network.is_down = is_down;
        });
    }

    /// Writes the worker's entry in the list of workers, unless it is off the network.
    fn write_entry(&self, store: &RowStore) {
        // The lock is held during the write so that no entry is written after a crash.
        let mut state = self.state.lock();
        if state.has_crashed || self.network.borrow().is_down {
            return;
        }
        state.last_entry += 1;
        let info = WorkerInfo {
            started_ms: state.started_ms,
            ..self.info.clone()
        };
        let name = RowKey::new(WORKERS_TABLE, "", &info.id);
        store.put(name, wire::write_entry(&info, state.last_entry));
    }

    fn reply(&self, reply: CommandReply) -> HttpResponse {
        let (status, body) = wire::write_reply(reply, self.state.lock().clock_ms());
        respond(status, body)
    }

    fn execute(&self, call: &WorkerCall) -> CommandReply {
        let now = Instant::now();
        self.advance(now);
        let mut state = self.state.lock();
        if state.has_crashed {
            return CommandReply::Refused;
        }
        if call.token < state.token {
            return CommandReply::Fenced;
        }
        state.token = call.token;
        let epoch = state.epoch;
        let until = call.until_ms.map(|ms| {
            let until = epoch + Duration::from_millis(ms);
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

    fn crash(&self, now: Instant) {
        self.set_network_down(true);
        self.advance(now);
        let mut state = self.state.lock();
        state.has_crashed = true;
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
            started_ms: state.started_ms,
            clock_ms: state.clock_ms(),
            running: running.collect(),
            finished: finished.cloned().collect(),
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
