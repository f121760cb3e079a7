//! A small deployment: the store behind a proxy, workers, and real entry processes that are started
//! with the command of `deploy/system.toml` and settings from `deploy/entry.ini`.

use {
    crate::{proxy::Proxy, record::Record},
    hyper::{
        HeaderMap, Method,
        header::{HOST, HeaderValue},
    },
    marigoldbend_core::sched::{
        job::Resources,
        queues::{Queue, Queues},
    },
    marigoldbend_http::client::{JsonClient, Reply},
    marigoldbend_platform::rows::RowKey,
    marigoldbend_wire::{
        callers::{DEADLINE_HEADER, READY_PATH},
        operator::CONFIG_KEY,
        stand_in as wire,
        store::OPERATOR_TABLE,
    },
    stand_ins::{
        job_workers::{JobWorkers, JobWorkersConfig},
        rows::RowStore,
    },
    std::{
        error::Error,
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

const ZONES: [&str; 3] = ["z1", "z2", "z3"];
const SERVICE: &str = "inspect";
const HOST_NAME: &str = "jobs.example";
/// How long clients wait, as in the small deployments.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// The priorities of the two queues.
pub const QUEUES: [(&str, u8); 2] = [("quick", 0), ("batch", 2)];

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Instance {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    pub workers: JobWorkers,
    pub proxy: Proxy,
    pub instances: Vec<Instance>,
    pub client: JsonClient,
    /// Removed with the settings when the deployment ends; the logs too.
    pub dir: TempDir,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

impl Deployment {
    /// Starts the store, `workers` workers of 16 cores and 64 GB, and three instances. The configuration
    /// has [`QUEUES`] and more queues with these names, of the least urgent priority.
    pub async fn start(workers: usize, more_queues: &[String], record: &Record) -> Result<Self> {
        let store = RowStore::start(Duration::from_millis(4)).await?;
        let proxy = Proxy::start(store.address(), record.clone()).await?;
        let config = JobWorkersConfig {
            count: workers,
            service: SERVICE.to_owned(),
            domains: ZONES.map(str::to_owned).to_vec(),
            capacity: Resources {
                cpu: 16_000,
                mem_mb: 64_000,
                gpu: 0,
            },
            heartbeat: Duration::from_secs(1),
            max_lease: Duration::from_secs(6),
        };
        let workers = JobWorkers::start(&config, &store).await?;
        let more = more_queues.iter().map(|name| (name.as_str(), 3));
        let queue = |(name, priority): (&str, u8)| Queue {
            name: name.to_owned(),
            host: HOST_NAME.to_owned(),
            prefix: format!("/{name}/"),
            service: SERVICE.to_owned(),
            priority,
            max_attempts: 3,
            slack_percent: 200,
            extra_ms: 5_000,
            needs_approval: false,
        };
        let queues = Queues {
            version: 7,
            queues: QUEUES.into_iter().chain(more).map(queue).collect(),
            body_limit: 262_144,
        };
        store.put(
            RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY),
            wire::write_config(&queues),
        );
        let mut deployment = Self {
            workers,
            proxy,
            instances: Vec::new(),
            client: JsonClient::new(DEADLINE, None),
            dir: TempDir::new()?,
        };
        for number in 0..3 {
            deployment.launch(number)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        for instance in &deployment.instances {
            let url = format!("http://{}{READY_PATH}", instance.readiness);
            while !deployment
                .client
                .get(&url)
                .await
                .is_ok_and(|r| r.status.is_success())
            {
                if Instant::now() > until {
                    return Err("the instances are not ready in time".into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(deployment)
    }

    fn launch(&mut self, number: usize) -> Result<()> {
        let name = format!("n{number}");
        let ip = Ipv4Addr::new(127, 9, 3, number as u8 + 1);
        let listeners: std::io::Result<Vec<_>> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect();
        let listeners = listeners?;
        let addresses: std::io::Result<Vec<_>> = listeners.iter().map(|l| l.local_addr()).collect();
        let addresses = addresses?;
        let template = fs::read_to_string(root().join("deploy/entry.ini"))?;
        let peers = addresses[2].port().to_string();
        let values = [
            ("{{#zones}}{{@}}{{,}}{{/zones}}", ZONES.join(",")),
            ("{{ip}}:9464", addresses[3].to_string()),
            ("{{node_name}}", name.clone()),
            ("{{zone}}", ZONES[number % 3].to_owned()),
            ("{{limits.cpu_share}}", "0.25".to_owned()),
            ("{{listen.frontend}}", addresses[0].to_string()),
            ("{{listen.readiness}}", addresses[1].to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{port_range.0}}", peers),
            ("{{platform.address}}", self.proxy.address().to_string()),
            ("{{hint}}", "127.0.0.1:9".to_owned()),
            ("{{control_mode}}", "call".to_owned()),
            ("{{bounds.max_hold_ms}}", "6000".to_owned()),
            ("{{bounds.drain_ms}}", "2000".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{bounds.status_s}}", "120".to_owned()),
            ("{{bounds.config_apply_ms}}", "2000".to_owned()),
            ("{{bounds.evacuate_ms}}", String::new()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{limits.max_fds}}", "4100".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
        let settings = values.iter().fold(template, fill);
        if settings.contains("{{") {
            return Err(format!("deploy/entry.ini has a field unknown here: {settings}").into());
        }
        let path = self.dir.path().join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let log = File::create(self.dir.path().join(format!("{name}.log")))?;
        drop(listeners);
        let child = Command::new(root().join("target/release/marigoldbend-entry"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.instances.push(Instance {
            name,
            callers: addresses[0],
            readiness: addresses[1],
            child,
        });
        Ok(())
    }

    /// Sends one call of a client; `None` without a whole answer.
    pub async fn call(
        client: &JsonClient,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Reply> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
        headers.insert(DEADLINE_HEADER, (DEADLINE.as_millis() as u64).into());
        let url = format!("http://{to}{path}");
        let body = bytes::Bytes::copy_from_slice(body.as_bytes());
        client.send(method, &url, headers, body).await.ok()
    }

    pub fn log(&self, instance: usize) -> String {
        let name = &self.instances[instance].name;
        fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }
}
