//! A worker as PROTOCOL.md describes it ("Running tasks", "Service discovery"): leases, fencing
//! tokens, ends that are listed until they are acknowledged, room, tickets, and several lives under
//! one id.

use {
    crate::{
        record::Record,
        rows::{RowStore, respond},
    },
    bytes::Bytes,
    hyper::{Request, StatusCode, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::sched::{
        job::{JobId, Resources, TaskName},
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
        future::pending,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::{interval, sleep, sleep_until, timeout},
    },
};

/// "It returns both lists ... (500 at a time)."
const MAX_LISTED_ENDS: usize = 500;

/// `max_hold_ms` of the sites.
const MAX_HOLD: Duration = Duration::from_millis(6_000);

/// `heartbeat_ms` of the sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What the tasks of a job need, by step.
#[derive(Clone, Debug)]
pub struct StepNeeds {
    /// How long a task runs; `None` if it lasts.
    pub time: Option<Duration>,
    pub request: Resources,
}

/// The jobs that clients have sent; the workers know what a task needs and how long it runs.
#[derive(Clone, Default)]
pub struct Jobs {
    needs: Arc<Mutex<HashMap<JobId, Vec<StepNeeds>>>>,
    /// The workers that may run tasks, with the ticket of each; `None` if no ticket is needed.
    pub tickets: Arc<Mutex<Option<HashMap<String, String>>>>,
}

impl Jobs {
    pub fn add(&self, id: JobId, steps: Vec<StepNeeds>) {
        self.needs.lock().insert(id, steps);
    }

    fn needs(&self, task: TaskName) -> Option<StepNeeds> {
        let needs = self.needs.lock();
        needs.get(&task.job)?.get(usize::from(task.step)).cloned()
    }
}

struct Run {
    attempt: u32,
    started: Instant,
    ends: Option<Instant>,
    request: Resources,
}

struct State {
    life: u32,
    is_up: bool,
    born_ms: u64,
    /// When the worker's clock read zero.
    epoch: Instant,
    token: u64,
    running: BTreeMap<TaskName, Run>,
    leased_until: Option<Instant>,
    finished: Vec<FinishedRow>,
    last_number: u64,
    acked: u64,
    ended: HashMap<TaskName, u32>,
}

impl State {
    fn new(life: u32) -> Self {
        Self {
            life,
            is_up: true,
            born_ms: unix_ms(),
            epoch: Instant::now(),
            token: 0,
            running: BTreeMap::new(),
            leased_until: None,
            finished: Vec::new(),
            last_number: 0,
            acked: 0,
            ended: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    labels: Vec<String>,
    capacity: Resources,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    record: Record,
    jobs: Jobs,
    server: Mutex<Option<JoinHandle<()>>>,
    /// Whether the next start gets no answer and is carried out late.
    pub delay_next_start: Mutex<bool>,
    /// That start.
    delayed: Mutex<Option<WorkerCall>>,
}

impl Worker {
    /// Starts a worker and lists it in the store.
    pub async fn start(
        id: &str,
        zone: &str,
        rack: &str,
        capacity: Resources,
        store: &RowStore,
        record: &Record,
        jobs: &Jobs,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            labels: vec!["a".to_owned(), rack.to_owned()],
            capacity,
            state: Mutex::new(State::new(0)),
            changed: watch::Sender::default(),
            record: record.clone(),
            jobs: jobs.clone(),
            server: Mutex::default(),
            delay_next_start: Mutex::new(false),
            delayed: Mutex::default(),
        });
        worker.serve(listener);
        tokio::spawn(worker.clone().write_entries(store.clone()));
        tokio::spawn(worker.clone().end_runs_in_time());
        Ok(worker)
    }

    /// Writes the entry at each heartbeat; the platform removes it after three heartbeat intervals of
    /// silence.
    async fn write_entries(self: Arc<Self>, store: RowStore) {
        let name = RowKey::new(WORKERS_TABLE, "", &self.id);
        let mut ticks = interval(Duration::from_millis(50));
        let mut last_write: Option<Instant> = None;
        let mut last_life = 0;
        let mut is_listed = false;
        for number in 1.. {
            ticks.tick().await;
            let (is_up, life, info) = {
                let state = self.state.lock();
                (state.is_up, state.life, self.info(&state))
            };
            let is_due = last_write.is_none_or(|at| at.elapsed() >= HEARTBEAT);
            if is_up && (is_due || life != last_life) {
                store.put(name.clone(), wire::write_entry(&info, number));
                last_write = Some(Instant::now());
                last_life = life;
                is_listed = true;
            } else if is_listed && last_write.is_some_and(|at| at.elapsed() >= HEARTBEAT * 3) {
                store.delete(name.clone());
                is_listed = false;
                self.record
                    .line(format!("the platform removes the entry of {}", self.id));
            }
        }
    }

    fn info(&self, state: &State) -> WorkerInfo {
        WorkerInfo {
            id: self.id.clone(),
            service: crate::SERVICE.to_owned(),
            address: self.address.to_string(),
            domain: self.zone.clone(),
            availability: Availability::Ready,
            capacity: self.capacity,
            labels: self.labels.clone(),
            started_ms: state.born_ms,
            remaining_ms: None,
        }
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let worker = self.clone();
        let server = tokio::spawn(async move {
            // Dropped when the task is aborted, which closes all connections.
            let mut connections = JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_zero_linger();
                let worker = worker.clone();
                connections.spawn(async move {
                    let service = service_fn(|req| {
                        let worker = worker.clone();
                        async move { Ok::<_, Infallible>(worker.handle(req).await) }
                    });
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        *self.server.lock() = Some(server);
    }

    /// The process crashes: everything that runs is gone, connections are reset.
    pub fn crash(&self) {
        let now = Instant::now();
        self.advance(now);
        if let Some(server) = self.server.lock().take() {
            server.abort();
        }
        let mut state = self.state.lock();
        state.is_up = false;
        let running = std::mem::take(&mut state.running);
        self.record
            .line(format!("worker {} life {}: CRASHES", self.id, state.life));
        for (task, run) in running {
            self.record
                .end(&self.id, state.life, task, run.attempt, now, None, 0);
        }
    }

    /// The process starts again under its id and at its address; it knows nothing of before.
    pub async fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
        let mut state = self.state.lock();
        *state = State::new(state.life + 1);
        self.record.line(format!(
            "worker {} life {}: starts again, born {}",
            self.id, state.life, state.born_ms
        ));
        drop(state);
        self.serve(listener);
        self.changed.send_replace(());
    }

    pub fn runs_task(&self, task: TaskName) -> bool {
        self.state.lock().running.contains_key(&task)
    }

    pub fn is_busy(&self) -> bool {
        !self.state.lock().running.is_empty()
    }

    /// A task fails by its own fault.
    pub fn fail_task(&self, task: TaskName) {
        let mut state = self.state.lock();
        self.end(&mut state, task, EndReason::Failed, Instant::now());
        drop(state);
        self.changed.send_replace(());
    }

    pub fn token(&self) -> u64 {
        self.state.lock().token
    }

    /// Returns the start that got no answer.
    pub fn delayed(&self) -> Option<WorkerCall> {
        self.delayed.lock().clone()
    }

    /// Carries out the start that got no answer; returns the answer that nobody gets.
    pub fn carry_out_late(&self) -> Option<CommandReply> {
        let call = self.delayed.lock().take()?;
        let (is_up, life, seen) = {
            let state = self.state.lock();
            (state.is_up, state.life, state.token)
        };
        if !is_up {
            return None;
        }
        let reply = self.execute(&call, None);
        self.record.line(format!(
            "worker {} life {life}: the late start with token {} arrives (seen before: {seen}): {reply:?}",
            self.id, call.token
        ));
        Some(reply)
    }

    async fn handle(self: &Arc<Self>, req: Request<Incoming>) -> HttpResponse {
        let expected = wire::read_expected_worker(req.headers());
        if expected.is_some_and(|id| id != self.id) {
            return self.reply(CommandReply::Reborn);
        }
        let path = req.uri().path().to_owned();
        let body = read_whole(req.into_body(), 1 << 20).await.ok();
        let call = body.as_ref().and_then(|b| wire::read_worker_call(&path, b));
        let (Some(call), Some(body)) = (call, body) else {
            return self.reply(CommandReply::Refused);
        };
        if let WorkerAction::Start { task, attempt, .. } = &call.action
            && std::mem::take(&mut *self.delay_next_start.lock())
        {
            self.record.line(format!(
                "worker {}: the start of {task} attempt {attempt} with token {} gets no answer and is \
                 carried out late",
                self.id, call.token
            ));
            *self.delayed.lock() = Some(call);
            return pending().await;
        }
        let life = self.state.lock().life;
        let reply = self.execute(&call, ticket_of(&body));
        match call.action {
            WorkerAction::Report { wait, .. } if reply == CommandReply::Ok => {
                let mut changed = self.changed.subscribe();
                let ended = async {
                    while self.state.lock().finished.is_empty() && changed.changed().await.is_ok() {
                    }
                };
                let _ = timeout(wait.min(Duration::from_secs(2)), ended).await;
                if self.state.lock().life != life {
                    return pending().await;
                }
                respond(StatusCode::OK, wire::write_report(&self.report()))
            }
            _ => self.reply(reply),
        }
    }

    fn reply(&self, reply: CommandReply) -> HttpResponse {
        let (status, body) = wire::write_reply(reply, self.state.lock().clock_ms());
        respond(status, body)
    }

    fn execute(&self, call: &WorkerCall, ticket: Option<String>) -> CommandReply {
        let now = Instant::now();
        self.advance(now);
        let mut state = self.state.lock();
        if call.token < state.token {
            return CommandReply::Fenced;
        }
        state.token = call.token;
        let until = call.until_ms.map(|ms| {
            let until = state.epoch + Duration::from_millis(ms);
            until.min(now + MAX_HOLD)
        });
        let is_start = matches!(call.action, WorkerAction::Start { .. });
        if is_start && until.is_none_or(|until| until <= now) {
            return CommandReply::Late;
        }
        state.leased_until = state.leased_until.max(until);
        let reply = match &call.action {
            WorkerAction::Start { task, attempt, .. } => {
                self.start_task(&mut state, *task, *attempt, ticket, now)
            }
            WorkerAction::Stop { task, attempt } => {
                let running = state.running.get(task);
                if running.is_some_and(|run| run.attempt == *attempt) {
                    self.end(&mut state, *task, EndReason::Stopped, now);
                } else {
                    let last = state.ended.entry(*task).or_default();
                    *last = (*last).max(*attempt);
                }
                CommandReply::Ok
            }
            WorkerAction::Throttle { .. } => CommandReply::Ok,
            WorkerAction::Report { acked, .. } => {
                if *acked > state.acked {
                    state.acked = *acked;
                    self.record.acked(&self.id, state.life, *acked);
                }
                let acked = *acked;
                state.finished.retain(|row| row.number > acked);
                CommandReply::Ok
            }
        };
        drop(state);
        self.changed.send_replace(());
        reply
    }

    fn start_task(
        &self,
        state: &mut State,
        task: TaskName,
        attempt: u32,
        ticket: Option<String>,
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
        let Some(needs) = self.jobs.needs(task) else {
            return CommandReply::Refused;
        };
        if let Some(tickets) = &*self.jobs.tickets.lock() {
            let expected = tickets.get(&self.id);
            if expected.is_none() || expected != ticket.as_ref() {
                return CommandReply::Unapproved;
            }
        }
        let mut free = self.capacity;
        for run in state.running.values() {
            free.subtract(&run.request);
        }
        if !free.covers(&needs.request) {
            return CommandReply::Full;
        }
        self.record.start(&self.id, state.life, task, attempt, now);
        let run = Run {
            attempt,
            started: now,
            ends: needs.time.map(|time| now + time),
            request: needs.request,
        };
        state.running.insert(task, run);
        CommandReply::Ok
    }

    fn end(&self, state: &mut State, task: TaskName, reason: EndReason, at: Instant) {
        let Some(run) = state.running.remove(&task) else {
            return;
        };
        let last = state.ended.entry(task).or_default();
        *last = run.attempt.max(*last);
        state.last_number += 1;
        let (life, number) = (state.life, state.last_number);
        self.record
            .end(&self.id, life, task, run.attempt, at, Some(reason), number);
        state.finished.push(FinishedRow {
            number,
            task,
            attempt: run.attempt,
            reason,
            checkpoint: String::new(),
        });
    }

    /// Ends the runs whose time or lease has ended; returns when the next one is due.
    fn advance(&self, now: Instant) -> Option<Instant> {
        let mut state = self.state.lock();
        if !state.is_up {
            return None;
        }
        let mut due: Vec<(Instant, TaskName, EndReason)> = Vec::new();
        let lapses = state.leased_until;
        for (task, run) in &state.running {
            let lapsed = lapses.filter(|at| *at <= now);
            match (run.ends.filter(|at| *at <= now), lapsed) {
                (Some(end), Some(lapse)) if end > lapse => {
                    due.push((lapse, *task, EndReason::Lapsed));
                }
                (Some(end), _) => due.push((end, *task, EndReason::Done)),
                (None, Some(lapse)) => due.push((lapse, *task, EndReason::Lapsed)),
                (None, None) => {}
            }
        }
        due.sort_by_key(|(at, task, _)| (*at, *task));
        let has_ended = !due.is_empty();
        for (at, task, reason) in due {
            self.end(&mut state, task, reason, at);
        }
        if let Some(lapse) = lapses.filter(|at| *at <= now) {
            self.record.lapsed(&self.id, state.life, lapse);
            state.leased_until = None;
        }
        let next = state.running.values().filter_map(|run| run.ends).min();
        let next = next.into_iter().chain(state.leased_until).min();
        drop(state);
        if has_ended {
            self.changed.send_replace(());
        }
        next
    }

    async fn end_runs_in_time(self: Arc<Self>) {
        let mut changed = self.changed.subscribe();
        loop {
            let now = Instant::now();
            let next = self.advance(now).unwrap_or(now + Duration::from_secs(5));
            tokio::select! {
                () = sleep_until(next.into()) => {}
                _ = changed.changed() => {}
            }
        }
    }

    fn report(&self) -> Report {
        let now = Instant::now();
        let state = self.state.lock();
        let running = state.running.iter().map(|(task, run)| {
            let total = run.ends.map_or(1.0, |ends| {
                ends.duration_since(run.started).as_secs_f64().max(0.001)
            });
            let elapsed = now.duration_since(run.started).as_secs_f64();
            RunningRow {
                task: *task,
                attempt: run.attempt,
                checkpoint: String::new(),
                percent: (100.0 * elapsed / total).min(100.0).floor(),
                usage: None,
            }
        });
        Report {
            started_ms: state.born_ms,
            clock_ms: state.clock_ms(),
            running: running.collect(),
            finished: state
                .finished
                .iter()
                .take(MAX_LISTED_ENDS)
                .cloned()
                .collect(),
        }
    }
}

fn ticket_of(body: &Bytes) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(body.get("ticket")?.as_str()?.to_owned())
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
