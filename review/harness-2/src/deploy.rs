//! A small deployment: the project's own processes beside the stand-ins, and its clients.

use crate::http;
use crate::json::{map, n, parse, s, Json};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CALL_TIME: Duration = Duration::from_secs(3);

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub priority: u64,
    pub max_attempts: u64,
    pub hint: bool,
}

impl Route {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            priority: 0,
            max_attempts: 2,
            hint: false,
        }
    }
}

/// Writes a configuration.
pub fn configure(store: &Store, record: &Record, version: u64, service: &str, routes: &[Route]) {
    let route_rows = routes.iter().map(|route| {
        let mut row = vec![
            ("name", s(&route.name)),
            ("host", s("jobs.example")),
            ("path_prefix", s(format!("/{}/", route.name))),
            ("kind", s("non_idempotent")),
            ("timeout_ms", n(3_000)),
            ("target_completion_ms", n(1_000)),
            ("priority", n(route.priority as i64)),
            ("service", s(service)),
            ("max_attempts", n(route.max_attempts as i64)),
            ("slack_factor", Json::Num(2.0)),
        ];
        if route.hint {
            let hint = map(vec![
                ("decision_ms", n(5)),
                ("per_worker_ms", n(1)),
                ("valid_ms", n(3_000)),
            ]);
            row.push(("hint", hint));
        }
        map(row)
    });
    let services = map(vec![
        ("name", s(service)),
        ("health_path", s("/healthz")),
        ("max_conns", n(64)),
        ("protocol", s("h1")),
        ("tls", Json::Bool(false)),
        ("enforce_capacity", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let config = map(vec![
        ("version", n(version as i64)),
        ("routes", Json::List(route_rows.collect())),
        ("services", Json::List(vec![services])),
        ("limits", map(vec![("max_body_bytes", n(262_144))])),
    ]);
    store.put("op", "config", &config);
    record.note(&format!(
        "operator: configuration version={version} routes={}",
        routes.len()
    ));
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub nodes: Vec<Node>,
    pub record: Record,
    dir: PathBuf,
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A port that is free over TCP and UDP.
fn free_peer_port() -> SocketAddr {
    loop {
        let address = free_port();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Deployment {
    /// Starts nodes in turn in the zones, and waits until they are ready.
    pub fn start(
        count: usize,
        store: SocketAddr,
        advice: Option<SocketAddr>,
        record: Record,
    ) -> Option<Self> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).ok()?;
        let mut deployment = Self {
            nodes: Vec::new(),
            record,
            dir,
        };
        for index in 0..count {
            deployment.add(index, store, advice)?;
        }
        let ready = deployment.wait(Duration::from_secs(20), |d| {
            d.nodes.iter().all(Node::is_ready)
        });
        deployment
            .record
            .note(&format!("{count} nodes ready={ready}"));
        ready.then_some(deployment)
    }

    /// Starts a node; again with other ports if one of them was taken meanwhile.
    fn add(&mut self, index: usize, store: SocketAddr, advice: Option<SocketAddr>) -> Option<()> {
        for _ in 0..5 {
            let mut node = self.launch(index, store, advice)?;
            sleep(Duration::from_millis(200));
            let child = node.child.as_mut()?;
            if child.try_wait().ok()?.is_none() {
                self.nodes.push(node);
                return Some(());
            }
        }
        None
    }

    fn launch(&self, index: usize, store: SocketAddr, advice: Option<SocketAddr>) -> Option<Node> {
        let name = format!("frontend-{}-{}", ZONES[index % 3], index / 3 + 1);
        let (callers, readiness, metrics) = (free_port(), free_port(), free_port());
        let peers = free_peer_port();
        let advice = advice.map(|a| a.to_string()).unwrap_or_default();
        // The template of the deploy file, with the bounds of the users' small site.
        let text = format!(
            "[instance]\nname = {name}\nfailure_domain = {}\ncpu_share = 1\n\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\n\
             [scheduler]\nstore = {store}\nadvice = {advice}\nfailure_domains = {}\ncontrol_mode = call\n\
             max_lease_ms = 6000\ndrain_ms = 2000\ngrace_ms = 6000\nkeep_s = 120\n\
             config_max_age_ms = 2000\ndelegated_renewal = true\nevacuation_max_age_ms = \n\n\
             [limits]\nmemory_mb = 260\nmax_fds = 4100\n",
            ZONES[index % 3],
            ZONES.join(",")
        );
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text).ok()?;
        let mut node = Node {
            log: self.dir.join(format!("{name}.log")),
            name,
            callers,
            readiness,
            settings,
            child: None,
        };
        node.spawn().ok()?;
        Some(node)
    }

    /// Waits until a condition holds; returns whether it does.
    pub fn wait(&self, limit: Duration, mut is_met: impl FnMut(&Self) -> bool) -> bool {
        let end = Instant::now() + limit;
        loop {
            if is_met(self) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// Hands a job in, as a client does: again at another node until there is an answer that says
    /// whether it is accepted. Returns whether it is.
    pub fn submit(&self, route: &str, id: &str, body: &Json) -> bool {
        let path = format!("/{route}/{id}");
        for attempt in 0..5 {
            let node = &self.nodes
                [(attempt + id.len() + usize::from(id.as_bytes()[15])) % self.nodes.len()];
            let reply = http::call(
                node.callers,
                "POST",
                "jobs.example",
                &path,
                &body.text(),
                CALL_TIME,
            );
            let status = reply.map_or(0, |(status, _)| status);
            self.record.note(&format!(
                "client: POST {path} at {} answered {status}",
                node.name
            ));
            match status {
                200..=299 => return true,
                400..=428 => return false,
                _ => sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Returns the state that a node gives for a job, or the status if it is not 200.
    pub fn state(&self, node: usize, route: &str, id: &str) -> String {
        let path = format!("/{route}/{id}");
        let node = &self.nodes[node % self.nodes.len()];
        let reply = http::call(node.callers, "GET", "jobs.example", &path, "", CALL_TIME);
        let state = match reply {
            Some((200, body)) => {
                let state = parse(body.as_bytes()).map(|body| body.get("state").str().to_owned());
                state.unwrap_or_default()
            }
            Some((status, _)) => status.to_string(),
            None => "none".to_owned(),
        };
        self.record.note(&format!(
            "client: GET {path} at {} answered {state}",
            node.name
        ));
        state
    }

    /// Returns the number of pending jobs of a queue that a node gives; `None` if it gives none.
    pub fn pending(&self, node: usize, route: &str) -> Option<u64> {
        let node = &self.nodes[node % self.nodes.len()];
        let path = format!("/{route}/");
        let reply = http::call(node.callers, "GET", "jobs.example", &path, "", CALL_TIME);
        let pending = reply.as_ref().filter(|(status, _)| *status == 200);
        let pending = pending.and_then(|(_, body)| parse(body.as_bytes())?.get("pending").u64());
        let status = reply.as_ref().map_or(0, |(status, _)| *status);
        let words = format!(
            "client: GET {path} at {} answered {status} pending={pending:?}",
            node.name
        );
        self.record.note(&words);
        pending
    }
}

impl Deployment {
    /// Returns the node that leads, by the newest takeover in the logs.
    pub fn leader(&self) -> Option<usize> {
        let takeovers = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let log = fs::read_to_string(&node.log).ok()?;
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains(" taken over token="))?;
            let token = line.split_once("token=")?.1.split(' ').next()?;
            Some((token.parse::<u64>().ok()?, index))
        });
        takeovers.max().map(|(_, index)| index)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        // KEEP_LOGS=1 keeps the settings and the logs of the nodes.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Node {
    /// Starts the process, or starts it again.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::create(&self.log)?;
        let vars: HashMap<_, _> = ["PATH", "HOME"]
            .into_iter()
            .filter_map(|k| Some((k, std::env::var_os(k)?)))
            .collect();
        let child = Command::new("target/release/marigoldbend-entry")
            .env_clear()
            .envs(vars)
            .env("MARIGOLDBEND_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let reply = http::call(self.readiness, "GET", "ready", "/v1/readyz", "", limit);
        reply.is_some_and(|(status, _)| status == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One step of a job.
pub fn step(count: u64, cpu: u64, estimate_ms: u64, more: Vec<(&str, Json)>) -> Json {
    let mut fields = vec![
        ("count", n(count as i64)),
        ("cpu", n(cpu as i64)),
        ("mem_mb", n(1)),
        ("estimate_ms", n(estimate_ms as i64)),
    ];
    fields.extend(more);
    map(fields)
}

pub fn job(spec: &str, steps: Vec<Json>) -> Json {
    map(vec![("spec", s(spec)), ("phases", Json::List(steps))])
}
