//! A deployment on one machine: real entry processes, with stand-ins for the platform and the
//! workers.
//!
//! Each entry instance has its own loopback address, so that the platform and the relays in front
//! of the peer ports can identify the sender of a call by its address and cut it off.

use {
    crate::{
        load::Targets,
        platform::{Faults, Platform},
        relay::Relay,
        workers::{ServiceTime, Workers, WorkersConfig},
    },
    hyper::{HeaderMap, Method},
    marigoldbend_core::ids::Version,
    marigoldbend_http::client::JsonClient,
    marigoldbend_operator::{answers::Answers, client::OperatorClient, plan::plan},
    marigoldbend_platform::wire::Liveness,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::Value,
    std::{
        fs::{self, File},
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::{
        sync::{Mutex, MutexGuard},
        time::sleep,
    },
};

/// The time between two checks while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum time until a started instance has logged its ports.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of the HTTP calls to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The size and the settings of a deployment.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The path of the entry binary.
    pub binary: PathBuf,
    /// The numbers of the failure domains.
    pub domains: Vec<u16>,
    /// The number of entry instances in each domain.
    pub entries_per_domain: u8,
    /// The number of workers in each domain.
    pub workers_per_domain: u32,
    /// How long requests run on the workers.
    pub service_time: ServiceTime,
    /// The number of traffic threads of each instance.
    pub threads: usize,
    /// The completed questionnaire from which the configuration is derived.
    pub answers: String,
    /// The name of the service that the workers run.
    pub service: String,
}

impl ClusterConfig {
    /// Creates the default deployment of the entry binary at `binary`: three domains with three
    /// instances and sixteen workers each.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        Self {
            binary: binary.into(),
            domains: vec![1, 2, 3],
            entries_per_domain: 3,
            workers_per_domain: 16,
            service_time: ServiceTime::default(),
            threads: 1,
            answers: marigoldbend_operator::questionnaire::EXAMPLE.to_owned(),
            service: "inspection".to_owned(),
        }
    }
}

/// One entry process.
pub struct EntryProcess {
    /// The instance name in its settings.
    pub name: String,
    /// The failure domain of the instance.
    pub domain: u16,
    /// The loopback address that only this instance uses.
    pub ip: IpAddr,
    /// The address of the callers' port.
    pub callers: SocketAddr,
    /// The address of the operators' port.
    pub operators: SocketAddr,
    relay: Relay,
    child: Child,
    log: PathBuf,
}

impl EntryProcess {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // The error is ignored because the process may have ended already.
        let _ = kill(pid, signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // Without the wait the process would stay as a zombie.
        let _ = self.child.wait();
    }

    /// Suspends the process until [`EntryProcess::resume`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to shut down gracefully, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns the exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns a client of the operators' port.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.operators)
    }

    /// Returns the instance's status; `None` if the call fails.
    pub async fn status(&self) -> Option<Value> {
        self.operator().status().await.ok()
    }

    /// Returns whether the readiness check that the platform's balancer uses succeeds.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.operators);
        let reply = callers_client().get(&url).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Reads a metric without labels; `None` if the call fails or there is no such metric.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.operators);
        let reply = callers_client().get(&url).await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let parse_value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
        text.lines().find_map(parse_value)
    }

    /// Returns the log that the process has written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running deployment.
pub struct Cluster {
    /// The size and the settings of the deployment.
    pub cfg: ClusterConfig,
    /// The stand-in for the platform.
    pub platform: Platform,
    /// The stand-ins for the workers.
    pub workers: Workers,
    /// The entry processes, in the order of their start.
    pub entries: Vec<EntryProcess>,
    dir: TempDir,
    started_count: u32,
    /// Two deployments at once would compete for the machine's CPU.
    _lock: MutexGuard<'static, ()>,
}

/// Held by each deployment, so that a process runs only one at a time.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

impl Drop for Cluster {
    /// Prints the end of each instance's log when a test fails.
    fn drop(&mut self) {
        const TAIL_LINES: usize = 20;
        if !std::thread::panicking() {
            return;
        }
        for entry in &self.entries {
            let log = entry.log();
            let lines: Vec<_> = log
                .lines()
                .filter(|l| !l.contains("route: request"))
                .collect();
            let tail_start = lines.len().saturating_sub(TAIL_LINES);
            eprintln!("--- {} of domain {}", entry.name, entry.domain);
            eprintln!("{}", lines[tail_start..].join("\n"));
            let refused: Vec<_> = log.lines().filter(|l| l.contains("refused")).collect();
            eprintln!(
                "{} lines with \"refused\", the last: {:?}",
                refused.len(),
                refused.last()
            );
        }
    }
}

impl Cluster {
    /// Starts the stand-ins and the entry processes, applies the configuration, and waits until the
    /// workers are evenly distributed over the instances of their domain.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or stand-in does not start, the configuration is not accepted,
    /// or the workers are not evenly distributed within 20 s.
    pub async fn start(cfg: ClusterConfig) -> io::Result<Self> {
        let cluster = Self::start_unconfigured(cfg).await?;
        cluster.apply_answers().await?;
        let timeout = Duration::from_secs(20);
        if !cluster.wait_until_balanced(timeout).await {
            let rows = cluster.platform.rows("ownership/");
            return Err(io::Error::other(format!(
                "the workers are not evenly distributed within {timeout:?}: {rows:?}"
            )));
        }
        Ok(cluster)
    }

    /// Starts the stand-ins and the entry processes, without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a process or stand-in does not start.
    pub async fn start_unconfigured(cfg: ClusterConfig) -> io::Result<Self> {
        let lock = CLUSTER_LOCK.lock().await;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::start(any_port).await?;
        let workers = Workers::start(&WorkersConfig {
            first_id: 1,
            per_domain: cfg.workers_per_domain,
            domains: cfg.domains.clone(),
            service: cfg.service.clone(),
            ip: any_port.ip(),
            service_time: cfg.service_time,
            seed: 1,
        })
        .await?;
        platform.update_list(|list| list.workers = workers.listed());
        let mut cluster = Self {
            platform,
            workers,
            entries: Vec::new(),
            dir: TempDir::new()?,
            started_count: 0,
            _lock: lock,
            cfg,
        };
        for domain in cluster.cfg.domains.clone() {
            for number in 1..=cluster.cfg.entries_per_domain {
                let ip = entry_ip(domain, number);
                cluster.add_entry(domain, ip).await?;
            }
        }
        Ok(cluster)
    }

    /// Starts one more entry process with the unused loopback address `ip`; returns the index of
    /// the process in `entries`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn add_entry(&mut self, domain: u16, ip: IpAddr) -> io::Result<usize> {
        let relay = Relay::start(ip).await?;
        self.launch(domain, ip, relay).await
    }

    /// Starts a new process in place of one that has ended, at the same peer address; returns the
    /// index of the new process in `entries`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn restart(&mut self, index: usize) -> io::Result<usize> {
        let old = &self.entries[index];
        let (domain, ip, relay) = (old.domain, old.ip, old.relay.clone());
        self.launch(domain, ip, relay).await
    }

    async fn launch(&mut self, domain: u16, ip: IpAddr, relay: Relay) -> io::Result<usize> {
        self.started_count += 1;
        let name = format!("entry-{}", self.started_count);
        let settings_path = self.dir.path().join(format!("{name}.ini"));
        let log = self.dir.path().join(format!("{name}.log"));
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|e| e.relay.address().to_string())
            .collect();
        let settings_text = format!(
            "[instance]\nname = {name}\ndomain = {domain}\n\
             [listen]\ncallers = {ip}:0\noperators = {ip}:0\npeers = {ip}:0\n\
             peer_advertise = {}\nlocal_ip = {ip}\n\
             [platform]\nurl = {}\ntimeout_ms = 500\n[peers]\nseeds = {}\n\
             [traffic]\nthreads = {}\n[shutdown]\nbalancer_wait_ms = 200\n",
            relay.address(),
            self.platform.url(),
            seeds.join(", "),
            self.cfg.threads,
        );
        fs::write(&settings_path, settings_text)?;
        let child = Command::new(&self.cfg.binary)
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        let mut entry = EntryProcess {
            name: name.clone(),
            domain,
            ip,
            callers: relay.address(),
            operators: relay.address(),
            relay,
            child,
            log,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        let ports = loop {
            if let Some(ports) = parse_ports(&entry.log()) {
                break ports;
            }
            if Instant::now() > deadline || entry.exit_status().is_some() {
                return Err(io::Error::other(format!(
                    "{name} did not start; its log: {}",
                    entry.log()
                )));
            }
            sleep(POLL_INTERVAL).await;
        };
        entry.callers = ports.callers;
        entry.operators = ports.operators;
        entry.relay.set_target(ports.peers);
        self.platform.set_entry(&name, Liveness::Live);
        self.entries.push(entry);
        Ok(self.entries.len() - 1)
    }

    /// Derives the configuration from the questionnaire's answers and applies it through the first
    /// instance; returns the version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the answers are invalid or the first instance refuses the
    /// configuration.
    pub async fn apply_answers(&self) -> io::Result<Version> {
        let answers = Answers::parse(&self.cfg.answers).map_err(io::Error::other)?;
        let plan = plan(&answers).map_err(io::Error::other)?;
        let operator = self.entries[0].operator();
        let (version, _) = operator.config().await.map_err(io::Error::other)?;
        let put = operator.put_config(version, &plan.config).await;
        put.map_err(io::Error::other)
    }

    /// Returns how many worker slots the instances of a domain may use now, summed over instances.
    pub async fn usable_slots(&self, domain: u16) -> u64 {
        let mut slots = 0;
        for entry in self.entries.iter().filter(|e| e.domain == domain) {
            if let Some(status) = entry.status().await {
                let workers = status["workers"].as_array().cloned().unwrap_or_default();
                slots += workers
                    .iter()
                    .filter_map(|w| w["limit"].as_u64())
                    .sum::<u64>();
            }
        }
        slots
    }

    /// Waits until all slots of all domains may be used and each instance owns its even share of
    /// the workers; returns whether both hold before the timeout.
    pub async fn wait_until_balanced(&self, timeout: Duration) -> bool {
        let domains = self.cfg.domains.clone();
        self.wait_until(timeout, || async {
            for &domain in &domains {
                if !self.is_balanced(domain).await {
                    return false;
                }
            }
            true
        })
        .await
    }

    async fn is_balanced(&self, domain: u16) -> bool {
        let all_slots = u64::from(self.cfg.workers_per_domain) * 8;
        if self.usable_slots(domain).await != all_slots {
            return false;
        }
        let row = self.platform.row(&format!("ownership/{domain}")).value;
        let member_count = row["members"].as_array().map_or(0, Vec::len);
        let entry_count = self.entries.iter().filter(|e| e.domain == domain).count();
        if member_count != entry_count {
            return false;
        }
        let fair_share = self.cfg.workers_per_domain as usize / member_count;
        let members = row["members"].as_array().cloned().unwrap_or_default();
        members.iter().all(|m| {
            let workers = row["workers"].as_array().cloned().unwrap_or_default();
            let owner = &m["incarnation"];
            let owned = workers
                .iter()
                .filter(|w| &w["holding"]["whole"]["owner"] == owner);
            owned.count() >= fair_share
        })
    }

    /// Waits until a condition holds; returns whether it does before the timeout.
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        timeout: Duration,
        condition: impl Fn() -> F,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if condition().await {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns all instances as the targets of a load, with equal weights.
    pub fn targets(&self) -> Targets {
        Targets::even(self.entries.iter().map(|e| e.callers))
    }

    /// Submits a job through the instance at `index` in `entries`; returns the job's id.
    ///
    /// # Errors
    ///
    /// Returns an error with the response if the job was refused, or if there was no response.
    pub async fn submit(&self, index: usize, spec: &Value) -> io::Result<String> {
        let url = format!("http://{}/jobs", self.entries[index].callers);
        let reply = callers_client().post(&url, spec).await;
        let reply = reply.map_err(io::Error::other)?;
        let body: Value = reply.json().unwrap_or_default();
        match body["id"].as_str() {
            Some(id) => Ok(id.to_owned()),
            None => Err(io::Error::other(format!("{}: {body}", reply.status))),
        }
    }

    /// Reads a job through the instance at `index`; returns null if the call fails.
    pub async fn job(&self, index: usize, id: &str) -> Value {
        let url = format!("http://{}/jobs/{id}", self.entries[index].callers);
        callers_client().get_json(&url).await.unwrap_or_default()
    }

    /// Cancels a job through the instance at `index`; returns the HTTP status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response.
    pub async fn cancel(&self, index: usize, id: &str) -> io::Result<u16> {
        let url = format!("http://{}/jobs/{id}", self.entries[index].callers);
        let client = callers_client();
        let sent = client.send(Method::DELETE, &url, HeaderMap::new(), Vec::new().into());
        Ok(sent.await.map_err(io::Error::other)?.status.as_u16())
    }

    /// Waits until the instance at `index` reports that a job is in `state`; returns whether it
    /// does before the timeout.
    pub async fn wait_for_job(
        &self,
        index: usize,
        id: &str,
        state: &str,
        timeout: Duration,
    ) -> bool {
        self.wait_until(timeout, || async {
            self.job(index, id).await["state"] == state
        })
        .await
    }

    /// Cuts a domain off from the platform, or reconnects it if `cut` is false.
    pub fn cut_from_platform(&self, domain: u16, cut: bool) {
        let ips: Vec<IpAddr> = self.ips(|e| cut && e.domain == domain);
        self.platform.set_faults(Faults {
            cut: ips,
            ..self.platform.faults()
        });
    }

    /// Cuts a domain off from the other domains' instances, or reconnects it if `cut` is false.
    pub fn cut_from_domains(&self, domain: u16, cut: bool) {
        for entry in &self.entries {
            let blocked = self.ips(|e| cut && (e.domain == domain) != (entry.domain == domain));
            entry.relay.set_blocked(blocked);
        }
    }

    /// Cuts one instance off from all other instances, or reconnects it if `cut` is false.
    pub fn cut_instance(&self, index: usize, cut: bool) {
        let ip = self.entries[index].ip;
        for (i, entry) in self.entries.iter().enumerate() {
            let blocked = self.ips(|e| cut && (i == index) != (e.ip == ip));
            entry.relay.set_blocked(blocked);
        }
    }

    /// Returns the addresses of the instances that match `predicate`.
    fn ips(&self, predicate: impl Fn(&EntryProcess) -> bool) -> Vec<IpAddr> {
        self.entries
            .iter()
            .filter(|e| predicate(e))
            .map(|e| e.ip)
            .collect()
    }
}

fn callers_client() -> JsonClient {
    JsonClient::new(CALL_TIMEOUT, None)
}

/// Returns the loopback address 127.1.`domain`.`number` for an instance.
pub fn entry_ip(domain: u16, number: u8) -> IpAddr {
    let domain = u8::try_from(domain).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, 1, domain, number).into()
}

struct Ports {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Reads the ports from the log line in which an instance reports its listening addresses.
fn parse_ports(log: &str) -> Option<Ports> {
    let line = log.lines().find(|l| l.contains(" listens "))?;
    let value = |key: &str| {
        let rest = line.split_once(key)?.1;
        let value = rest.split_whitespace().next()?;
        value.trim_end_matches('.').parse().ok()
    };
    Some(Ports {
        callers: value("callers=")?,
        operators: value("operators=")?,
        peers: value("peers=")?,
    })
}
