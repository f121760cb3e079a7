//! A small deployment: the platform's store, workers, and instances of the project's own program,
//! started as `deploy/system.toml` and `deploy/entry.ini` say.

use {
    crate::{
        HOST_NAME, QUEUE,
        record::Record,
        rows::{Endpoint, Outage, RowStore, respond},
        worker::{Jobs, StepNeeds, Worker},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{HOST, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    marigoldbend_core::sched::job::{JobId, Resources},
    marigoldbend_http::{body::read_whole, client::JsonClient},
    marigoldbend_platform::rows::RowKey,
    marigoldbend_wire::{
        callers::{DEADLINE_HEADER, READY_PATH},
        operator::CONFIG_KEY,
        stand_in::{self as wire, StoreCall},
        store::OPERATOR_TABLE,
    },
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

pub type Failure = Box<dyn std::error::Error + Send + Sync>;

struct Instance {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    store: Endpoint,
    child: Child,
    log: PathBuf,
}

pub struct Deployment {
    pub record: Record,
    pub jobs: Jobs,
    pub workers: Vec<Arc<Worker>>,
    pub store: RowStore,
    /// Whether the store enforces the limits of a transaction that PROTOCOL.md states.
    pub enforce_limits: bool,
    instances: Vec<Instance>,
    dir: PathBuf,
    client: JsonClient,
    zones: Vec<String>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs: {}", self.dir.display());
        }
    }
}

impl Deployment {
    pub async fn new(record: &Record) -> Result<Self, Failure> {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let txn = Duration::from_millis(4);
        Ok(Self {
            record: record.clone(),
            jobs: Jobs::default(),
            workers: Vec::new(),
            store: RowStore::start(txn).await?,
            enforce_limits: false,
            instances: Vec::new(),
            dir,
            client: JsonClient::new(Duration::from_secs(3), None),
            zones: (1..=3).map(|n| format!("zone-{n}")).collect(),
        })
    }

    /// Writes the configuration: one queue.
    pub fn configure(&self, hint: Option<Value>) {
        let mut route = json!({
            "name": "r-review", "host": HOST_NAME, "path_prefix": format!("/{QUEUE}/"),
            "service": crate::SERVICE, "priority": 1, "max_attempts": 3,
            "slack_factor": 2.0, "target_completion_ms": 5000,
        });
        if let Some(hint) = hint {
            route["hint"] = hint;
        }
        let config = json!({
            "version": 3, "routes": [route],
            "services": [{ "name": crate::SERVICE, "enforce_capacity": true }],
            "limits": { "max_body_bytes": 262144 },
        });
        let name = RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY);
        self.store.put(name, config.to_string().into_bytes());
    }

    /// Writes a configuration with queues of these names, each at a path of its name.
    pub fn configure_queues(&self, names: &[String]) {
        let routes = names.iter().map(|name| {
            json!({
                "name": name, "host": HOST_NAME, "path_prefix": format!("/{name}/"),
                "service": crate::SERVICE, "priority": 1, "max_attempts": 3,
                "slack_factor": 2.0, "target_completion_ms": 5000,
            })
        });
        let config = json!({
            "version": 4, "routes": routes.collect::<Vec<_>>(),
            "services": [{ "name": crate::SERVICE, "enforce_capacity": true }],
            "limits": { "max_body_bytes": 262144 },
        });
        let name = RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY);
        self.store.put(name, config.to_string().into_bytes());
    }

    /// Starts `count` workers, 8 a rack, spread over the zones by rack.
    pub async fn start_workers(
        &mut self,
        count: usize,
        capacity: Resources,
    ) -> Result<(), Failure> {
        for index in 0..count {
            let rack = index / 8;
            let zone = &self.zones[if count < 24 { index } else { rack } % 3];
            let id = format!("{}-{:02}", crate::SERVICE, index + 1);
            let rack = format!("rack-{}", rack + 1);
            let (store, record, jobs) = (&self.store, &self.record, &self.jobs);
            let worker = Worker::start(&id, zone, &rack, capacity, store, record, jobs).await?;
            self.workers.push(worker);
        }
        Ok(())
    }

    /// Starts one instance in each zone, and waits until all are ready.
    pub async fn start_instances(&mut self, advice: Option<SocketAddr>) -> Result<(), Failure> {
        let template = fs::read_to_string("deploy/entry.ini")?;
        let system = fs::read_to_string("deploy/system.toml")?;
        let run = system.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run
            .ok_or("deploy/system.toml has no line run")?
            .trim()
            .trim_matches('"');
        let mut words = run.split_whitespace();
        let program = words.next().ok_or("run is empty")?.to_owned();
        let args: Vec<String> = words.map(str::to_owned).collect();
        for (n, zone) in self.zones.iter().enumerate() {
            let ip = Ipv4Addr::new(127, 9, 1, n as u8 + 1);
            let ports = free_ports(ip, 4)?;
            let at = |i: usize| SocketAddr::new(ip.into(), ports[i]);
            let store = self.store.open_endpoint().await?;
            let store_address = if self.enforce_limits {
                serve_with_limits(store.address(), self.record.clone()).await?
            } else {
                store.address()
            };
            let name = format!("frontend-{zone}-1");
            let settings = template
                .replace("{{node_name}}", &name)
                .replace("{{zone}}", zone)
                .replace("{{limits.cpu_share}}", "0.1")
                .replace("{{limits.memory_mb}}", "160")
                .replace("{{bounds.evacuate_ms}}", "")
                .replace("{{limits.max_fds}}", "4100")
                .replace("{{listen.frontend}}", &at(0).to_string())
                .replace("{{listen.readiness}}", &at(1).to_string())
                .replace("{{ip}}:{{port_range.0}}", &at(2).to_string())
                .replace("{{ip}}:9464", &at(3).to_string())
                .replace("{{platform.address}}", &store_address.to_string())
                .replace(
                    "{{hint}}",
                    &advice.map(|a| a.to_string()).unwrap_or_default(),
                )
                .replace("{{#zones}}{{@}}{{,}}{{/zones}}", &self.zones.join(","))
                .replace("{{control_mode}}", "call")
                .replace("{{bounds.max_hold_ms}}", "6000")
                .replace("{{bounds.drain_ms}}", "2000")
                .replace("{{bounds.grace_s}}", "6")
                .replace("{{bounds.status_s}}", "120")
                .replace("{{bounds.config_apply_ms}}", "2000");
            if settings.contains("{{") {
                return Err(format!("deploy/entry.ini has more fields:\n{settings}").into());
            }
            let path = self.dir.join(format!("{name}.ini"));
            fs::write(&path, settings)?;
            let log = self.dir.join(format!("{name}.log"));
            let child = Command::new(&program)
                .args(&args)
                .env("MARIGOLDBEND_CONFIG", &path)
                .stdin(Stdio::null())
                .stdout(File::create(&log)?)
                .stderr(Stdio::null())
                .spawn()?;
            self.record.line(format!("starts {name}: {run}"));
            self.instances.push(Instance {
                name,
                callers: at(0),
                readiness: at(1),
                store,
                child,
                log,
            });
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for instance in &self.instances {
            let url = format!("http://{}{READY_PATH}", instance.readiness);
            while !self
                .client
                .get(&url)
                .await
                .is_ok_and(|r| r.status == StatusCode::OK)
            {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready in time", instance.name).into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        self.record.line("all instances are ready");
        Ok(())
    }

    /// Starts an outage of the store for all instances, or ends it.
    pub fn set_store_outage(&self, outage: Option<Outage>) {
        self.record.line(match outage {
            Some(outage) => format!("the store is down: {outage:?}"),
            None => "the store is back".to_owned(),
        });
        for instance in &self.instances {
            instance.store.set_outage(outage);
        }
    }

    /// Returns the lines of all logs that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let logs = self.instances.iter().map(|i| {
            let log = fs::read(&i.log).unwrap_or_default();
            (i.name.clone(), String::from_utf8_lossy(&log).into_owned())
        });
        let mut lines = Vec::new();
        for (name, log) in logs {
            let found = log.lines().filter(|line| line.contains(text));
            lines.extend(found.map(|line| format!("{name}: {line}")));
        }
        lines
    }

    async fn call(
        &self,
        target: usize,
        method: Method,
        queue: &str,
        rest: &str,
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let target = &self.instances[target % self.instances.len()];
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
        headers.insert(DEADLINE_HEADER, HeaderValue::from_static("3000"));
        let url = format!("http://{}/{queue}/{rest}", target.callers);
        let reply = self.client.send(method, &url, headers, body).await.ok();
        reply.map(|r| (r.status.as_u16(), r.body))
    }

    /// Hands a job in: up to 5 attempts, each at the next instance.
    pub async fn submit(
        &self,
        first: usize,
        id: JobId,
        phases: &Value,
        needs: Vec<StepNeeds>,
    ) -> Result<(), Failure> {
        self.submit_to(QUEUE, first, id, phases, needs).await
    }

    /// Hands a job in to a queue.
    pub async fn submit_to(
        &self,
        queue: &str,
        first: usize,
        id: JobId,
        phases: &Value,
        needs: Vec<StepNeeds>,
    ) -> Result<(), Failure> {
        self.jobs.add(id, needs);
        let body: Bytes = json!({ "spec": "review", "phases": phases })
            .to_string()
            .into();
        for attempt in 0..5 {
            let reply = self
                .call(
                    first + attempt,
                    Method::POST,
                    queue,
                    &id.to_string(),
                    body.clone(),
                )
                .await;
            let status = reply.as_ref().map(|(status, _)| *status);
            self.record
                .line(format!("client: POST {queue}/{id} -> {status:?}"));
            if status == Some(200) {
                return Ok(());
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(format!("{id} was not accepted").into())
    }

    /// Reads how many jobs of a queue have not begun; `None` without a usable answer.
    pub async fn pending(&self, target: usize, queue: &str) -> Option<u64> {
        let (status, body) = self
            .call(target, Method::GET, queue, "", Bytes::new())
            .await?;
        if status != 200 {
            self.record.line(format!(
                "client: GET {queue}/ at instance {target} -> {status}"
            ));
            return None;
        }
        let body: Value = serde_json::from_slice(&body).ok()?;
        body.get("pending")?.as_u64()
    }

    /// Reads a job's state; `None` without a usable answer.
    pub async fn state(&self, target: usize, id: JobId) -> Option<String> {
        let rest = id.to_string();
        let (status, body) = self
            .call(target, Method::GET, QUEUE, &rest, Bytes::new())
            .await?;
        if status != 200 {
            self.record.line(format!("client: GET {id} -> {status}"));
            return None;
        }
        let body: Value = serde_json::from_slice(&body).ok()?;
        Some(body.get("state")?.as_str()?.to_owned())
    }
}

fn free_ports(ip: Ipv4Addr, count: usize) -> std::io::Result<Vec<u16>> {
    let listeners: std::io::Result<Vec<_>> =
        (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    listeners?
        .iter()
        .map(|l| Ok(l.local_addr()?.port()))
        .collect()
}

/// Serves the store's calls in front of `store`, and refuses a transaction beyond the limits of
/// "The platform's metadata store": 100 entries, 1 MB, and rows of `row_bytes` (65,536).
async fn serve_with_limits(store: SocketAddr, record: Record) -> Result<SocketAddr, Failure> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let client = JsonClient::new(Duration::from_secs(35), None);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (client, record) = (client.clone(), record.clone());
            tokio::spawn(async move {
                let service = service_fn(|req: hyper::Request<hyper::body::Incoming>| {
                    let (client, record) = (client.clone(), record.clone());
                    async move {
                        let uri = req.uri().clone();
                        let method = req.method().clone();
                        let body = read_whole(req.into_body(), 16 << 20).await;
                        let body = body.unwrap_or_default();
                        if let Some(problem) = beyond_limits(&uri, &body) {
                            record
                                .line(format!("the store refuses a transaction (400): {problem}"));
                            return Ok::<_, Infallible>(respond(
                                StatusCode::BAD_REQUEST,
                                Bytes::new(),
                            ));
                        }
                        let url = format!("http://{store}{uri}");
                        let reply = client.send(method, &url, HeaderMap::new(), body).await;
                        Ok(match reply {
                            Ok(reply) => respond(reply.status, reply.body),
                            Err(_) => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                        })
                    }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(address)
}

fn beyond_limits(uri: &hyper::Uri, body: &Bytes) -> Option<String> {
    if uri.path() != "/v1/rows-tx" {
        return None;
    }
    if body.len() > 1 << 20 {
        return Some(format!("{} bytes", body.len()));
    }
    let Some(StoreCall::Tx(tx)) = wire::read_store_call(uri, body) else {
        return None;
    };
    let entries = tx.expect.len() + tx.puts.len() + tx.deletes.len();
    if entries > 100 {
        return Some(format!("{entries} entries"));
    }
    let large = tx.puts.iter().find(|(_, value)| value.len() > 65_536);
    large.map(|(name, value)| format!("the row {} has {} bytes", name.key, value.len()))
}
