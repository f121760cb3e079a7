//! The stand-in for workers, as the pages describe them: leases, fencing tokens, lists of runs and
//! ends, gangs, tickets, and new incarnations at the same address.

use crate::http::{Request, Response, Server};
use crate::json::{map, n, parse, s, Json};
use crate::record::{unix_ms, Record};
use crate::store::Store;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MAX_HOLD_MS: u64 = 6_000;
const MAX_LISTED_ENDS: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What is the same for all workers of a deployment.
pub struct Fleet {
    pub service: String,
    pub store: Store,
    pub record: Record,
    /// The tasks of each step that is a gang, by ID.K.STEP.
    pub gangs: Mutex<HashMap<String, usize>>,
    /// The request of a task of each job, in thousandths of a core, by ID.
    pub cpu: Mutex<HashMap<String, u64>>,
    /// The label that the tasks of a job need, by ID.
    pub needs: Mutex<HashMap<String, String>>,
    /// The jobs whose tasks need a ticket.
    pub needs_ticket: Mutex<HashSet<String>>,
    /// The jobs whose tasks fail by their own fault, up to 60 ms after their start.
    pub fails: Mutex<HashSet<String>>,
    /// The members of each gang run that are present, by ID.K.STEP and attempt.
    present: Mutex<HashMap<(String, u32), Vec<(usize, String)>>>,
    workers: Mutex<Vec<Arc<Worker>>>,
}

struct Run {
    attempt: u32,
    started: Instant,
    /// When it is done; `None` for a task that lasts, or a gang that is not complete.
    ends: Option<Instant>,
    lasts: bool,
    /// Whether it ends as failed.
    fails: bool,
    cpu: u64,
}

#[derive(Default)]
struct State {
    up: bool,
    born: u64,
    epoch: Option<Instant>,
    labels: Vec<String>,
    capacity: u64,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str)>,
    last_number: u64,
    ended: HashMap<String, u32>,
    /// Everything that starts fails at once.
    fails_all: bool,
    seq: u64,
    beat_at: Option<Instant>,
    server: Option<Server>,
}

pub struct Worker {
    pub index: usize,
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Fleet {
    pub fn new(service: &str, store: Store, record: Record) -> Arc<Self> {
        let fleet = Arc::new(Self {
            service: service.to_owned(),
            store,
            record,
            gangs: Mutex::default(),
            cpu: Mutex::default(),
            needs: Mutex::default(),
            needs_ticket: Mutex::default(),
            fails: Mutex::default(),
            present: Mutex::default(),
            workers: Mutex::default(),
        });
        let ticking = fleet.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let workers = ticking.workers.lock().unwrap().clone();
            for worker in workers {
                worker.advance();
            }
        });
        fleet
    }

    /// Starts one worker more, and lists it.
    pub fn add(self: &Arc<Self>, zone: &str, labels: &[&str], capacity: u64) -> Arc<Worker> {
        let mut workers = self.workers.lock().unwrap();
        let index = workers.len();
        // A free port, at which the worker starts again later.
        let probe = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = probe.local_addr().expect("an address");
        drop(probe);
        let worker = Arc::new(Worker {
            index,
            id: format!("i-{:08x}", 0x7f3a_9100 + index),
            zone: zone.to_owned(),
            address,
            fleet: self.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        workers.push(worker.clone());
        drop(workers);
        worker.start(labels, capacity);
        worker
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.workers.lock().unwrap().clone()
    }

    /// Returns the ticket of a worker for a step.
    pub fn ticket(&self, worker: &str, step: &str) -> String {
        let found = self.workers().into_iter().find(|w| w.id == worker);
        let born = found.map_or(0, |w| w.state.lock().unwrap().born);
        format!("{worker}-{born}-{step}")
    }

    /// Returns how many runs there are on all workers, and the CPU that they use.
    pub fn load(&self) -> (usize, u64) {
        let mut load = (0, 0);
        for worker in self.workers() {
            let state = worker.state.lock().unwrap();
            load.0 += state.running.len();
            load.1 += state.running.values().map(|run| run.cpu).sum::<u64>();
        }
        load
    }
}

/// Returns ID and ID.K.STEP of a task.
fn parts(task: &str) -> (&str, &str) {
    let id = task.split('.').next().unwrap_or_default();
    (id, task.rsplit_once('.').map_or(task, |(step, _)| step))
}

impl Worker {
    /// Starts an incarnation with these labels and this capacity: it lists itself, and then listens.
    pub fn start(self: &Arc<Self>, labels: &[&str], capacity: u64) {
        let mut state = self.state.lock().unwrap();
        *state = State {
            up: true,
            born: unix_ms(),
            epoch: Some(Instant::now()),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            capacity,
            ..State::default()
        };
        self.beat(&mut state);
        let words = format!("worker={} up labels={labels:?} cpu={capacity}", self.id);
        self.fleet.record.note(&words);
        let worker = self.clone();
        for _ in 0..200 {
            let handler = worker.clone();
            match Server::start(self.address, move |req| handler.handle(req)) {
                Ok(server) => {
                    state.server = Some(server);
                    return;
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
        panic!("no listener at {}", self.address);
    }

    /// Ends the process: connections are reset, nothing runs any more.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        if let Some(server) = state.server.take() {
            server.close();
        }
        self.fleet
            .record
            .note(&format!("worker={} crashes", self.id));
        let lost: Vec<_> = std::mem::take(&mut state.running).into_iter().collect();
        for (task, run) in lost {
            self.fleet.record.end(&self.id, &task, run.attempt, "lost");
        }
        drop(state);
        self.changed.notify_all();
    }

    pub fn set_fails_all(&self, fails: bool) {
        self.state.lock().unwrap().fails_all = fails;
        self.fleet.record.note(&format!(
            "worker={} fails all that it starts: {fails}",
            self.id
        ));
    }

    fn beat(&self, state: &mut State) {
        state.seq += 1;
        state.beat_at = Some(Instant::now());
        let labels = state.labels.iter().map(s);
        let entry = map(vec![
            ("service", s(&self.fleet.service)),
            ("address", s(self.address.to_string())),
            ("zone", s(&self.zone)),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s("ready")),
            ("cold_left_ms", n(0)),
            (
                "capacity",
                map(vec![
                    ("cpu", n(state.capacity as i64)),
                    ("mem_mb", n(64_000)),
                    ("gpu", n(0)),
                ]),
            ),
            ("labels", Json::List(labels.collect())),
            ("clock_ms", n(clock_ms(state) as i64)),
            ("born", n(state.born as i64)),
            ("seq", n(state.seq as i64)),
        ]);
        self.fleet.store.put("servers", &self.id, &entry);
    }

    /// Ends runs whose time or lease is over, and writes the entry when it is due.
    fn advance(self: &Arc<Self>) {
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return;
        }
        let now = Instant::now();
        if state
            .beat_at
            .is_none_or(|at| now.duration_since(at) >= HEARTBEAT)
        {
            self.beat(&mut state);
        }
        let has_lapsed = clock_ms(&state) > state.lease_until;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(task, run)| match run.ends {
                Some(at) if at <= now => {
                    Some((task.clone(), if run.fails { "failed" } else { "done" }))
                }
                _ => has_lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        let mut gangs = Vec::new();
        for (task, how) in due {
            gangs.extend(self.end(&mut state, &task, how));
        }
        drop(state);
        self.end_gangs(gangs);
    }

    /// Ends a run here; returns the gang run that ends with it.
    fn end(
        &self,
        state: &mut State,
        task: &str,
        how: &'static str,
    ) -> Option<(String, u32, &'static str)> {
        let run = state.running.remove(task)?;
        state.last_number += 1;
        let number = state.last_number;
        state
            .finished
            .push((number, task.to_owned(), run.attempt, how));
        let last = state.ended.entry(task.to_owned()).or_default();
        *last = run.attempt.max(*last);
        self.fleet.record.end(&self.id, task, run.attempt, how);
        self.changed.notify_all();
        let step = parts(task).1;
        self.fleet
            .gangs
            .lock()
            .unwrap()
            .contains_key(step)
            .then(|| (step.to_owned(), run.attempt, how))
    }

    /// Ends the other members of gang runs, after the time of a message between workers.
    fn end_gangs(&self, gangs: Vec<(String, u32, &'static str)>) {
        for (step, attempt, how) in gangs {
            let fleet = self.fleet.clone();
            thread::spawn(move || {
                let how = if how == "done" {
                    "done"
                } else {
                    thread::sleep(Duration::from_millis(4));
                    "broken"
                };
                let members = fleet.present.lock().unwrap().remove(&(step, attempt));
                for (index, task) in members.unwrap_or_default() {
                    let worker = fleet.workers()[index].clone();
                    let mut state = worker.state.lock().unwrap();
                    if state
                        .running
                        .get(&task)
                        .is_some_and(|run| run.attempt == attempt)
                    {
                        worker.end(&mut state, &task, how);
                    }
                }
            });
        }
    }

    fn handle(self: &Arc<Self>, req: &Request) -> Response {
        let expected = req.headers.get("expect-instance");
        let mut state = self.state.lock().unwrap();
        let reply = |state: &State, status: u16, reason: &str| {
            let mut body = vec![
                ("clock_ms", n(clock_ms(state) as i64)),
                ("born", n(state.born as i64)),
            ];
            if !reason.is_empty() {
                body.push(("reason", s(reason)));
            }
            (status, map(body).text())
        };
        if expected.is_some_and(|id| *id != self.id) {
            return reply(&state, 421, "");
        }
        let Some(call) = parse(&req.body) else {
            return reply(&state, 400, "");
        };
        let token = call.get("fencing_token").u64().unwrap_or(0);
        if token < state.token {
            return reply(&state, 409, "fence");
        }
        state.token = token;
        let clock = clock_ms(&state);
        let deadline = call
            .get("deadline_ms")
            .u64()
            .map(|ms| ms.min(clock + MAX_HOLD_MS));
        if let Some(deadline) = deadline {
            state.lease_until = state.lease_until.max(deadline);
        }
        let task = call.get("task").str().to_owned();
        let attempt = call.get("attempt").u64().unwrap_or(0) as u32;
        match req.path.as_str() {
            "/v1/run-start" => {
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return reply(&state, 409, "late");
                }
                if let Some(run) = state.running.get(&task) {
                    let is_same = run.attempt == attempt;
                    return if is_same {
                        reply(&state, 200, "")
                    } else {
                        reply(&state, 409, "old")
                    };
                }
                if state.ended.get(&task).is_some_and(|last| *last >= attempt) {
                    let words = format!(
                        "order task={task} attempt={attempt} worker={} answered old",
                        self.id
                    );
                    self.fleet.record.note(&words);
                    return reply(&state, 409, "old");
                }
                let (id, step) = parts(&task);
                let cpu = self.fleet.cpu.lock().unwrap().get(id).copied().unwrap_or(0);
                let used: u64 = state.running.values().map(|run| run.cpu).sum();
                if used + cpu > state.capacity {
                    return reply(&state, 409, "room");
                }
                let ticket = format!("{}-{}-{}", self.id, state.born, step);
                if self.fleet.needs_ticket.lock().unwrap().contains(id)
                    && call.get("ticket").str() != ticket
                {
                    return reply(&state, 409, "ticket");
                }
                let needs = self.fleet.needs.lock().unwrap().get(id).cloned();
                let lacks = needs.is_some_and(|label| !state.labels.contains(&label));
                self.fleet.record.start(&self.id, &task, attempt, lacks);
                let spec = call.get("spec").str();
                // The times of the steps in milliseconds, separated by commas; the last one holds on.
                let index: usize = step
                    .rsplit('.')
                    .next()
                    .and_then(|i| i.parse().ok())
                    .unwrap_or(0);
                let times: Vec<&str> = spec.split(',').collect();
                let time = times
                    .get(index)
                    .or(times.last())
                    .and_then(|ms| ms.parse().ok());
                let time = time.map(Duration::from_millis);
                let now = Instant::now();
                let gang = self.fleet.gangs.lock().unwrap().get(step).copied();
                let fails = self.fleet.fails.lock().unwrap().contains(id);
                let fails_after =
                    Duration::from_millis((u64::from(attempt) * 17 + self.index as u64 * 7) % 60);
                let run = Run {
                    attempt,
                    started: now,
                    ends: if fails {
                        Some(now + fails_after)
                    } else {
                        time.filter(|_| gang.is_none()).map(|time| now + time)
                    },
                    fails,
                    lasts: spec == "lasts",
                    cpu,
                };
                state.running.insert(task.clone(), run);
                if state.fails_all {
                    let broken = self.end(&mut state, &task, "failed");
                    let response = reply(&state, 200, "");
                    drop(state);
                    self.end_gangs(broken.into_iter().collect());
                    return response;
                }
                let response = reply(&state, 200, "");
                drop(state);
                if let Some(size) = gang {
                    self.join_gang(step, attempt, &task, size, time);
                }
                response
            }
            "/v1/run-stop" => {
                let is_here = state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt);
                let gang = if is_here {
                    self.end(&mut state, &task, "stopped")
                } else {
                    let last = state.ended.entry(task).or_default();
                    *last = attempt.max(*last);
                    None
                };
                let response = reply(&state, 200, "");
                drop(state);
                self.end_gangs(gang.into_iter().collect());
                response
            }
            "/v1/hold" => {
                let cursor = call.get("ack_cursor").u64().unwrap_or(0);
                state.finished.retain(|end| end.0 > cursor);
                let wait = call.get("wait_ms").u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.finished.is_empty() && state.up {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                (200, report(&state))
            }
            "/v1/pace" => reply(&state, 200, ""),
            _ => reply(&state, 404, ""),
        }
    }

    /// Adds a member to a gang run, which works from when all members are present.
    fn join_gang(&self, step: &str, attempt: u32, task: &str, size: usize, time: Option<Duration>) {
        let mut present = self.fleet.present.lock().unwrap();
        let members = present.entry((step.to_owned(), attempt)).or_default();
        members.push((self.index, task.to_owned()));
        if members.len() < size {
            return;
        }
        let members = members.clone();
        drop(present);
        let ends = time.map(|time| Instant::now() + time);
        for (index, task) in members {
            let worker = self.fleet.workers()[index].clone();
            let mut state = worker.state.lock().unwrap();
            if let Some(run) = state
                .running
                .get_mut(&task)
                .filter(|run| run.attempt == attempt)
            {
                run.ends = ends;
            }
        }
    }
}

fn clock_ms(state: &State) -> u64 {
    state
        .epoch
        .map_or(0, |epoch| epoch.elapsed().as_millis() as u64)
}

fn report(state: &State) -> String {
    let now = Instant::now();
    let running = state.running.iter().map(|(task, run)| {
        let percent = match run.ends {
            _ if run.lasts => 100.0,
            Some(ends) => {
                let whole = ends.duration_since(run.started).as_secs_f64().max(0.001);
                (now.duration_since(run.started).as_secs_f64() / whole * 100.0)
                    .min(100.0)
                    .floor()
            }
            None => 0.0,
        };
        let usage = n(run.cpu as i64);
        Json::List(vec![
            s(task),
            n(run.attempt),
            s(""),
            Json::Num(percent),
            usage,
        ])
    });
    let finished =
        state
            .finished
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, attempt, how)| {
                Json::List(vec![
                    n(*number as i64),
                    s(task),
                    n(*attempt),
                    s(*how),
                    s(""),
                ])
            });
    map(vec![
        ("clock_ms", n(clock_ms(state) as i64)),
        ("born", n(state.born as i64)),
        ("running", Json::List(running.collect())),
        ("finished", Json::List(finished.collect())),
    ])
    .text()
}
