//! A deployment on one machine: real entry processes amid stand-ins.
//!
//! Each entry instance has an address of its own in the loopback range, so that the platform
//! and the relays in front of the peer ports can tell who is calling and cut them off.

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

/// The time between two looks at something that is waited for.
const STEP: Duration = Duration::from_millis(20);

/// The time in which an instance must have bound its ports.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The time limit of a caller's call.
const CALLER_LIMIT: Duration = Duration::from_secs(8);

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The path of the entry binary.
    pub binary: PathBuf,
    /// Failure domains.
    pub domains: Vec<u16>,
    /// Entry instances in each domain.
    pub entries_per_domain: u8,
    /// Workers in each domain.
    pub workers_per_domain: u32,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// Traffic threads of each instance.
    pub threads: usize,
    /// The filled-in questionnaire whose plan is put in force.
    pub answers: String,
    /// The service.
    pub service: String,
}

impl ClusterConfig {
    /// Describes a deployment of the entry binary at `binary`: three domains of three
    /// instances and sixteen workers.
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
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: u16,
    /// The address that tells it from the others.
    pub ip: IpAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    relay: Relay,
    child: Child,
    log: PathBuf,
}

impl EntryProcess {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // The process may have ended already.
        let _ = kill(pid, signal);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // Without the wait it would stay as a zombie.
        let _ = self.child.wait();
    }

    /// Stops the process until [`EntryProcess::resume`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a stopped process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to end gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns a client of its operator port.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.operators)
    }

    /// Returns its status.
    pub async fn status(&self) -> Option<Value> {
        self.operator().status().await.ok()
    }

    /// Returns whether it says that it is ready, as the platform's balancer asks.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.operators);
        let reply = callers_client().get(&url).await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Returns the id of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Reads one of its metrics that has no labels.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.operators);
        let reply = callers_client().get(&url).await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
        text.lines().find_map(value)
    }

    /// Returns its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment.
pub struct Cluster {
    /// What it is made of.
    pub cfg: ClusterConfig,
    /// The platform.
    pub platform: Platform,
    /// The workers.
    pub workers: Workers,
    /// The entry processes.
    pub entries: Vec<EntryProcess>,
    dir: TempDir,
    started: u32,
    /// Two deployments at once would take the machine from each other.
    _alone: MutexGuard<'static, ()>,
}

/// Held by the only deployment of this process.
static ALONE: Mutex<()> = Mutex::const_new(());

impl Drop for Cluster {
    /// Shows the ends of the logs when a test fails.
    fn drop(&mut self) {
        const LINES: usize = 20;
        if !std::thread::panicking() {
            return;
        }
        for entry in &self.entries {
            let log = entry.log();
            let lines: Vec<_> = log
                .lines()
                .filter(|l| !l.contains("route: request"))
                .collect();
            let tail = lines.len().saturating_sub(LINES);
            eprintln!("--- {} of domain {}", entry.name, entry.domain);
            eprintln!("{}", lines[tail..].join("\n"));
            let refusals: Vec<_> = log.lines().filter(|l| l.contains("refused")).collect();
            eprintln!("{} refusals, such as {:?}", refusals.len(), refusals.last());
        }
    }
}

impl Cluster {
    /// Starts the stand-ins and the entry processes, puts the configuration in force, and waits
    /// until every worker is owned.
    ///
    /// # Errors
    ///
    /// Returns an error if something does not start, or the workers are not owned in time.
    pub async fn start(cfg: ClusterConfig) -> io::Result<Self> {
        let cluster = Self::start_unconfigured(cfg).await?;
        cluster.apply_answers().await?;
        let limit = Duration::from_secs(20);
        if !cluster.wait_until_balanced(limit).await {
            let row = cluster.platform.rows("ownership/");
            return Err(io::Error::other(format!(
                "workers are not owned evenly: {row:?}"
            )));
        }
        Ok(cluster)
    }

    /// Starts the stand-ins and the entry processes, without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if something does not start.
    pub async fn start_unconfigured(cfg: ClusterConfig) -> io::Result<Self> {
        let alone = ALONE.lock().await;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = Platform::start(any).await?;
        let workers = Workers::start(&WorkersConfig {
            first: 1,
            per_domain: cfg.workers_per_domain,
            domains: cfg.domains.clone(),
            service: cfg.service.clone(),
            ip: any.ip(),
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
            started: 0,
            _alone: alone,
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

    /// Starts one more entry process at an address of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn add_entry(&mut self, domain: u16, ip: IpAddr) -> io::Result<usize> {
        let relay = Relay::start(ip).await?;
        self.launch(domain, ip, relay).await
    }

    /// Starts a new process in place of one that has ended, at the same peer address.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn restart(&mut self, at: usize) -> io::Result<usize> {
        let old = &self.entries[at];
        let (domain, ip, relay) = (old.domain, old.ip, old.relay.clone());
        self.launch(domain, ip, relay).await
    }

    async fn launch(&mut self, domain: u16, ip: IpAddr, relay: Relay) -> io::Result<usize> {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let settings = self.dir.path().join(format!("{name}.ini"));
        let log = self.dir.path().join(format!("{name}.log"));
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|e| e.relay.address().to_string())
            .collect();
        let text = format!(
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
        fs::write(&settings, text)?;
        let child = Command::new(&self.cfg.binary)
            .arg(&settings)
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
        let end = Instant::now() + START_LIMIT;
        let ports = loop {
            if let Some(ports) = parse_ports(&entry.log()) {
                break ports;
            }
            if Instant::now() > end || entry.ended().is_some() {
                return Err(io::Error::other(format!(
                    "{name} did not start: {}",
                    entry.log()
                )));
            }
            sleep(STEP).await;
        };
        entry.callers = ports.callers;
        entry.operators = ports.operators;
        entry.relay.set_target(ports.peers);
        self.platform.set_entry(&name, Liveness::Live);
        self.entries.push(entry);
        Ok(self.entries.len() - 1)
    }

    /// Puts the configuration that follows from the answers in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the answers are wrong or the first instance refuses.
    pub async fn apply_answers(&self) -> io::Result<Version> {
        let answers = Answers::parse(&self.cfg.answers).map_err(io::Error::other)?;
        let plan = plan(&answers).map_err(io::Error::other)?;
        let operator = self.entries[0].operator();
        let (version, _) = operator.config().await.map_err(io::Error::other)?;
        let put = operator.put_config(version, &plan.config).await;
        put.map_err(io::Error::other)
    }

    /// Returns the slots of a domain that its instances may use now.
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

    /// Waits until all slots of all domains may be used and each instance owns its share.
    pub async fn wait_until_balanced(&self, limit: Duration) -> bool {
        let domains = self.cfg.domains.clone();
        self.wait_until(limit, || async {
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
        let all = u64::from(self.cfg.workers_per_domain) * 8;
        if self.usable_slots(domain).await != all {
            return false;
        }
        let row = self.platform.row(&format!("ownership/{domain}")).value;
        let members = row["members"].as_array().map_or(0, Vec::len);
        let running = self.entries.iter().filter(|e| e.domain == domain).count();
        if members != running {
            return false;
        }
        let fair = self.cfg.workers_per_domain as usize / members;
        let counts = row["members"].as_array().cloned().unwrap_or_default();
        counts.iter().all(|m| {
            let workers = row["workers"].as_array().cloned().unwrap_or_default();
            let owner = &m["incarnation"];
            let owned = workers
                .iter()
                .filter(|w| &w["holding"]["whole"]["owner"] == owner);
            owned.count() >= fair
        })
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        limit: Duration,
        condition: impl Fn() -> F,
    ) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if condition().await {
                return true;
            }
            sleep(STEP).await;
        }
        false
    }

    /// Returns the targets of a load: all instances alike.
    pub fn targets(&self) -> Targets {
        Targets::even(self.entries.iter().map(|e| e.callers))
    }

    /// Submits a job through an instance; the id if it was accepted, otherwise the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if it was refused or if that is unclear.
    pub async fn submit(&self, at: usize, spec: &Value) -> io::Result<String> {
        let url = format!("http://{}/jobs", self.entries[at].callers);
        let reply = callers_client().post(&url, spec).await;
        let reply = reply.map_err(io::Error::other)?;
        let body: Value = reply.json().unwrap_or_default();
        match body["id"].as_str() {
            Some(id) => Ok(id.to_owned()),
            None => Err(io::Error::other(format!("{}: {body}", reply.status))),
        }
    }

    /// Reads a job through an instance; null if that fails.
    pub async fn job(&self, at: usize, id: &str) -> Value {
        let url = format!("http://{}/jobs/{id}", self.entries[at].callers);
        callers_client().get_json(&url).await.unwrap_or_default()
    }

    /// Cancels a job through an instance; returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no answer.
    pub async fn cancel(&self, at: usize, id: &str) -> io::Result<u16> {
        let url = format!("http://{}/jobs/{id}", self.entries[at].callers);
        let client = callers_client();
        let sent = client.send(Method::DELETE, &url, HeaderMap::new(), Vec::new().into());
        Ok(sent.await.map_err(io::Error::other)?.status.as_u16())
    }

    /// Waits until a job is in this state, by the word of an instance.
    pub async fn wait_for_job(&self, at: usize, id: &str, state: &str, limit: Duration) -> bool {
        self.wait_until(limit, || async { self.job(at, id).await["state"] == state })
            .await
    }

    /// Cuts a domain off from the platform, or heals that.
    pub fn cut_from_platform(&self, domain: u16, cut: bool) {
        let ips: Vec<IpAddr> = self.ips(|e| cut && e.domain == domain);
        self.platform.set_faults(Faults {
            cut: ips,
            ..self.platform.faults()
        });
    }

    /// Cuts a domain off from the other domains' instances, or heals that.
    pub fn cut_from_domains(&self, domain: u16, cut: bool) {
        for entry in &self.entries {
            let blocked = self.ips(|e| cut && (e.domain == domain) != (entry.domain == domain));
            entry.relay.set_cut(blocked);
        }
    }

    /// Cuts one instance off from all other instances, or heals that.
    pub fn cut_instance(&self, at: usize, cut: bool) {
        let ip = self.entries[at].ip;
        for (i, entry) in self.entries.iter().enumerate() {
            let blocked = self.ips(|e| cut && (i == at) != (e.ip == ip));
            entry.relay.set_cut(blocked);
        }
    }

    fn ips(&self, chosen: impl Fn(&EntryProcess) -> bool) -> Vec<IpAddr> {
        self.entries
            .iter()
            .filter(|e| chosen(e))
            .map(|e| e.ip)
            .collect()
    }
}

fn callers_client() -> JsonClient {
    JsonClient::new(CALLER_LIMIT, None)
}

/// Returns the address of an instance in the loopback range.
pub fn entry_ip(domain: u16, number: u8) -> IpAddr {
    let domain = u8::try_from(domain).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, 1, domain, number).into()
}

struct Ports {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Reads the ports from the line in which an instance says where it listens.
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
