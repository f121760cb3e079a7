//! A process under test, and what is checked of it.

use {
    crate::clients::Clients,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{HOST, HeaderValue},
    },
    marigoldbend::{
        core::sched::{
            job::{Resources, Step},
            queues::{Queue, Queues},
        },
        http::client::JsonClient,
        platform::rows::RowKey,
    },
    marigoldbend_wire::{
        callers::{DEADLINE_HEADER, READY_PATH},
        operator::CONFIG_KEY,
        stand_in as wire,
        store::OPERATOR_TABLE,
    },
    stand_ins::rows::RowStore,
    std::{
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::{
        sync::{Mutex, MutexGuard},
        time::sleep,
    },
};

/// The memory limit in the settings, which the resident memory may not exceed, in megabytes.
pub const MEMORY_MB: u64 = 32;

/// The descriptor limit in the settings, which the number of open descriptors may not exceed.
pub const MAX_FDS: usize = 160;

/// The maximum length of a job's body in the configuration, in bytes.
pub const BODY_LIMIT: usize = 262_144;

/// The maximum length of a body at an instance that forwards requests, in bytes.
pub const OPERATORS_BODY_LIMIT: usize = 1 << 20;

/// The host name of the queue.
pub const HOST_NAME: &str = "jobs.example";

/// How long a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum time until a condition holds, such as that the process is ready.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The duration of a transaction in the store.
const TX_TIME: Duration = Duration::from_millis(3);

/// Held by each process, so that only one test runs at a time.
static PROCESS_LOCK: Mutex<()> = Mutex::const_new(());

/// A running process.
pub struct Process {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness probe; unused by an instance that forwards requests.
    pub readiness: SocketAddr,
    /// The address for metrics; unused by an instance that forwards requests.
    pub metrics: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    forwards: bool,
    child: parking_lot::Mutex<Child>,
    _store: Option<RowStore>,
    dir: TempDir,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        // The errors are ignored because the process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
        if std::thread::panicking() {
            let log = fs::read_to_string(self.dir.path().join("log")).unwrap_or_default();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(12)..];
            eprintln!("--- end of the log\n{}", tail.join("\n"));
        }
    }
}

impl Process {
    /// Starts an instance that schedules jobs, with the stand-in for the store, and waits until it
    /// is ready.
    pub async fn start_scheduler() -> Self {
        let lock = PROCESS_LOCK.lock().await;
        let store = RowStore::start(TX_TIME).await.expect("the store starts");
        let config = wire::write_config(&Queues {
            version: 7,
            queues: vec![queue()],
            body_limit: BODY_LIMIT,
        });
        store.put(RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY), config);
        let [callers, readiness, metrics, peers] = free_addresses();
        let settings = format!(
            "[instance]\nname = a1\nfailure_domain = z1\n\
             [listen]\ncallers = {callers}\nreadiness = {readiness}\nmetrics = {metrics}\n\
             peers = {peers}\n\
             [scheduler]\nstore = {}\nfailure_domains = z1,z2\ncontrol_mode = call\n\
             [limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n",
            store.address()
        );
        let addresses = [callers, readiness, metrics, peers];
        Self::start(lock, &settings, addresses, Some(store)).await
    }

    /// Starts an instance that forwards requests, without a platform, and waits until it answers.
    pub async fn start_forwarder() -> Self {
        let lock = PROCESS_LOCK.lock().await;
        let [callers, operators, platform, peers] = free_addresses();
        let settings = format!(
            "[instance]\nname = a1\ndomain = 1\n\
             [listen]\ncallers = {callers}\noperators = {operators}\npeers = {peers}\n\
             [platform]\nurl = http://{platform}\n\
             [limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
        );
        let addresses = [callers, operators, platform, peers];
        Self::start(lock, &settings, addresses, None).await
    }

    async fn start(
        lock: MutexGuard<'static, ()>,
        settings: &str,
        [callers, readiness, metrics, peers]: [SocketAddr; 4],
        store: Option<RowStore>,
    ) -> Self {
        let dir = TempDir::new().expect("a temporary directory");
        let path = dir.path().join("a1.ini");
        fs::write(&path, settings).expect("the settings are written");
        let log = File::create(dir.path().join("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_marigoldbend-entry"))
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a second handle"))
            .stdout(log)
            .spawn()
            .expect("the process starts");
        let process = Self {
            callers,
            readiness,
            metrics,
            peers,
            forwards: store.is_none(),
            child: parking_lot::Mutex::new(child),
            _store: store,
            dir,
            _lock: lock,
        };
        process.wait_for_answer("before the crowd", 1 << 20).await;
        process
    }

    /// The address for operators of an instance that forwards requests.
    pub fn operators(&self) -> SocketAddr {
        self.readiness
    }

    /// Checks the process while the clients stay connected: it lives, answers an ordinary request,
    /// and its memory and descriptors are in bounds.
    pub async fn check(&self, clients: &mut Clients) {
        self.wait_for_quiet().await;
        let descriptors = self.descriptors();
        self.wait_for_answer("during the crowd", 2 << 20).await;
        let descriptors = descriptors.max(self.descriptors());
        let peak_kb = self.status_kb("VmHWM:");
        println!(
            "peak_kb={peak_kb} resident_kb={} descriptors={descriptors} opened={}",
            self.status_kb("VmRSS:"),
            clients.opened(),
        );
        let exited = self.child.lock().try_wait().expect("the state is known");
        assert_eq!(exited, None, "the process has ended");
        assert!(
            peak_kb <= MEMORY_MB << 10,
            "resident memory: {peak_kb} kB, limit {MEMORY_MB} MB"
        );
        assert!(
            descriptors <= MAX_FDS,
            "open descriptors: {descriptors}, limit {MAX_FDS}"
        );
    }

    /// Sends an ordinary request until it is answered; callers repeat a refused one, too. `first`
    /// is the number of the first job.
    async fn wait_for_answer(&self, when: &str, first: usize) {
        let deadline = Instant::now() + TIMEOUT;
        let mut last = String::new();
        while Instant::now() < deadline {
            match self.send_ordinary(first).await {
                Ok(()) => return,
                Err(e) => last = e,
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("an ordinary request is not answered {when}: {last}");
    }

    /// Sends a readiness probe, then a job, both on new connections.
    async fn send_ordinary(&self, number: usize) -> Result<(), String> {
        let client = JsonClient::new(CALL_TIMEOUT, None);
        let probe = if self.forwards { "/livez" } else { READY_PATH };
        let url = format!("http://{}{probe}", self.readiness);
        let reply = client.get(&url).await.map_err(|e| e.to_string())?;
        if !reply.status.is_success() {
            return Err(format!("not ready: {}", reply.status));
        }
        if self.forwards {
            // The instance has no configuration, so this is the right answer of the caller's port.
            let url = format!("http://{}/nothing", self.callers);
            let reply = client.get(&url).await.map_err(|e| e.to_string())?;
            let is_answered = reply.status == StatusCode::NOT_FOUND;
            return is_answered.then_some(()).ok_or(reply.status.to_string());
        }
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
        headers.insert(DEADLINE_HEADER, (CALL_TIMEOUT.as_millis() as u64).into());
        let url = format!("http://{}{}", self.callers, submission_path(number));
        let reply = client.send(Method::POST, &url, headers, job()).await;
        let reply = reply.map_err(|e| e.to_string())?;
        let is_stored = reply.status == StatusCode::OK;
        is_stored.then_some(()).ok_or(reply.status.to_string())
    }

    /// Waits until the resident memory no longer grows, or for a bounded time.
    async fn wait_for_quiet(&self) {
        const CHECKS: usize = 40;
        const STABLE_CHECKS: usize = 6;
        let mut stable = 0;
        let mut last = 0;
        for _ in 0..CHECKS {
            let now = self.status_kb("VmRSS:");
            stable = if now > last { 0 } else { stable + 1 };
            last = now;
            if stable >= STABLE_CHECKS {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn status_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.lock().id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let value = line.and_then(|line| line.split_whitespace().next());
        value.and_then(|v| v.parse().ok()).unwrap_or(u64::MAX)
    }

    fn descriptors(&self) -> usize {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.lock().id()));
        open.map_or(usize::MAX, Iterator::count)
    }
}

/// Returns the path of the submission of the job with this number.
pub fn submission_path(number: usize) -> String {
    format!("/urgent/{:016x}", number + 1)
}

fn job() -> bytes::Bytes {
    let step = Step {
        count: 1,
        request: Resources {
            cpu: 100,
            mem_mb: 10,
            gpu: 0,
        },
        estimate_ms: 100,
        ..Step::default()
    };
    wire::write_job("100", &[step])
}

fn queue() -> Queue {
    Queue {
        name: "urgent".to_owned(),
        host: HOST_NAME.to_owned(),
        prefix: "/urgent/".to_owned(),
        service: "render".to_owned(),
        priority: 1,
        max_attempts: 3,
        slack_percent: 200,
        extra_ms: 5_000,
        needs_approval: false,
    }
}

/// Returns addresses with different free ports.
fn free_addresses() -> [SocketAddr; 4] {
    // A port could be given twice if its listener were closed before the others are bound.
    let ip = Ipv4Addr::new(127, 3, 5, 1);
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}
