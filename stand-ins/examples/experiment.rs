//! Experiments on a deployment of real entry processes: added latency, steady and skewed load, and
//! the cost of control without load.
//!
//! Run them with `cargo run --release -p stand-ins --example experiment -- --help`.

use {
    pico_args::Arguments,
    stand_ins::{
        cluster::{Cluster, ClusterConfig},
        load::{self, LoadConfig, ObservedOutcome, Report, Targets},
        workers::ServiceTime,
    },
    std::{
        error::Error,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const HELP: &str = "\
Runs an experiment on a deployment of entry processes and stand-ins.

Usage: experiment KIND --entry PATH [OPTIONS]

Kinds:
  added      latency that an entry instance adds, compared with direct calls
  steady     nine instances and 48 workers under a steady load
  policy     goodput and latency by load and skew, compared with one owner of all workers
  control    CPU time, memory and peer traffic without load, for several sizes

Options:
  --entry PATH  path of the entry binary (required)
  --rate N      requests per second (default for added: 500, steady: 2000)
  --seconds N   seconds of each measurement (default for added: 5, steady: 20, policy: 8,
                control: 10)
  --runs N      repetitions of added and steady (default: 3)
";

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Options {
    entry: PathBuf,
    rate: Option<f64>,
    seconds: Option<u64>,
    runs: usize,
}

fn main() -> Result<()> {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let kind = args
        .subcommand()?
        .ok_or("the kind of experiment is missing; see --help")?;
    let options = Options {
        entry: args.value_from_str("--entry")?,
        rate: args.opt_value_from_str("--rate")?,
        seconds: args.opt_value_from_str("--seconds")?,
        runs: args.opt_value_from_str("--runs")?.unwrap_or(3),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match kind.as_str() {
            "added" => added(&options).await,
            "steady" => steady(&options).await,
            "policy" => policy(&options).await,
            "control" => control(&options).await,
            other => Err(format!("unknown kind of experiment {other:?}; see --help").into()),
        }
    })
}

fn load_config(
    targets: Targets,
    path: &str,
    rate: f64,
    seconds: u64,
    prefix: String,
) -> LoadConfig {
    LoadConfig {
        targets,
        path: path.to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        post_percent: 20,
        idempotency_keys: false,
        size: 200,
        deadline: Duration::from_millis(1_500),
        seed: 11,
        prefix,
    }
}

/// Compares the latency of direct calls with that of calls through one entry instance.
async fn added(options: &Options) -> Result<()> {
    let cluster = Cluster::start(ClusterConfig {
        domains: vec![1],
        entries_per_domain: 1,
        workers_per_domain: 8,
        ..ClusterConfig::new(&options.entry)
    })
    .await?;
    let rate = options.rate.unwrap_or(500.0);
    let seconds = options.seconds.unwrap_or(5);
    let upstreams = cluster.workers.handles.iter().map(|w| w.listed().upstream);
    let direct_targets = Targets::even(upstreams);
    for run in 0..options.runs {
        let cfg = load_config(
            direct_targets.clone(),
            "/check",
            rate,
            seconds,
            format!("direct-{run}"),
        );
        let direct_report = load::run(&cfg).await;
        let path = "/services/inspection/check";
        let cfg = load_config(
            cluster.targets(),
            path,
            rate,
            seconds,
            format!("through-{run}"),
        );
        let through_report = load::run(&cfg).await;
        println!("run {run} direct:  {}", direct_report.summary_line());
        println!("run {run} through: {}", through_report.summary_line());
        let latency_us = |r: &Report, q| r.latencies(ObservedOutcome::Whole).value_at_quantile(q);
        for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let added_us =
                latency_us(&through_report, q) as i64 - latency_us(&direct_report, q) as i64;
            println!("run {run} added {name}: {added_us} us");
        }
    }
    Ok(())
}

/// Runs a steady load on a whole deployment and prints the peaks in the workers' record.
async fn steady(options: &Options) -> Result<()> {
    for run in 0..options.runs {
        let cluster = Cluster::start(ClusterConfig {
            service_time: ServiceTime {
                mean_ms: 20.0,
                cv: 1.5,
                slowdown: 0.02,
            },
            ..ClusterConfig::new(&options.entry)
        })
        .await?;
        let rate = options.rate.unwrap_or(2_000.0);
        let seconds = options.seconds.unwrap_or(20);
        let path = "/services/inspection/check";
        let cfg = load_config(
            cluster.targets(),
            path,
            rate,
            seconds,
            format!("steady-{run}"),
        );
        let cpu_before = total_cpu_time(&cluster);
        let report = load::run(&cfg).await;
        let cpu = total_cpu_time(&cluster) - cpu_before;
        let record = cluster.workers.record.summary();
        let slots = record.workers.values().map(|w| w.peak_slots).max();
        let connections = record.workers.values().map(|w| w.peak_connections).max();
        let ran_repeatedly = |r: &&load::Observation| cluster.workers.record.runs_of(&r.id) > 1;
        let non_idempotent = report.requests.iter().filter(|r| !r.idempotent);
        println!("run {run}: {}", report.summary_line());
        println!(
            "run {run}: peak slots {slots:?}, peak connections {connections:?}, \
             non-idempotent requests run more than once {}, \
             requests per second of CPU time {:.0}",
            non_idempotent.filter(ran_repeatedly).count(),
            report.requests.len() as f64 / cpu.as_secs_f64(),
        );
    }
    Ok(())
}

/// The mean service time in the policy experiment, in milliseconds; it is long enough that slots
/// limit the throughput before the CPU of the test machine does.
const POLICY_MEAN_MS: f64 = 100.0;

/// Compares nine instances, under even and skewed load, with one instance that owns all workers.
async fn policy(options: &Options) -> Result<()> {
    let nine_instances = ClusterConfig {
        service_time: ServiceTime {
            mean_ms: POLICY_MEAN_MS,
            cv: 1.5,
            slowdown: 0.0,
        },
        ..ClusterConfig::new(&options.entry)
    };
    let single_owner = ClusterConfig {
        domains: vec![1],
        entries_per_domain: 1,
        workers_per_domain: 48,
        threads: 3,
        ..nine_instances.clone()
    };
    for percent in [50, 70, 85, 95, 120] {
        for (name, cfg, weights) in [
            ("single owner", &single_owner, [1, 1, 1]),
            ("nine instances, even", &nine_instances, [1, 1, 1]),
            ("nine instances, 60:20:20", &nine_instances, [3, 1, 1]),
        ] {
            let cluster = Cluster::start(cfg.clone()).await?;
            let capacity = 48.0 * 8.0 / (POLICY_MEAN_MS / 1e3);
            let rate = capacity * f64::from(percent) / 100.0;
            let entries = cluster.entries.iter().enumerate();
            let targets = Targets::weighted(entries.map(|(i, e)| (e.callers, weights[i % 3])));
            let path = "/services/inspection/check";
            let seconds = options.seconds.unwrap_or(8);
            let cfg = load_config(targets, path, rate, seconds, format!("policy-{percent}"));
            let report = load::run(&cfg).await;
            let goodput = report.count(ObservedOutcome::Whole) as f64 / seconds as f64 / capacity;
            println!(
                "{percent}% {name}: goodput {goodput:.3} of capacity, {}",
                report.summary_line()
            );
        }
    }
    Ok(())
}

/// Measures the CPU time, memory, peer traffic and table reads of deployments without load.
async fn control(options: &Options) -> Result<()> {
    let seconds = options.seconds.unwrap_or(10);
    for (domains, workers) in [(1, 16), (3, 16), (6, 16), (3, 64), (3, 256)] {
        let cluster = Cluster::start(ClusterConfig {
            domains: (1..=domains).collect(),
            workers_per_domain: workers,
            ..ClusterConfig::new(&options.entry)
        })
        .await?;
        // Start-up and rebalancing are not part of the steady cost.
        sleep(Duration::from_secs(2)).await;
        let (cpu, bytes) = (total_cpu_time(&cluster), total_peer_bytes(&cluster).await);
        let stats = cluster.platform.stats();
        let start = Instant::now();
        sleep(Duration::from_secs(seconds)).await;
        let elapsed = start.elapsed().as_secs_f64();
        let instances = cluster.entries.len() as f64;
        let cpu = (total_cpu_time(&cluster) - cpu).as_secs_f64() / elapsed / instances;
        let bytes = (total_peer_bytes(&cluster).await - bytes) / elapsed / instances;
        let reads = (cluster.platform.stats().reads - stats.reads) as f64 / elapsed / instances;
        println!(
            "domains={domains} instances={instances} workers/domain={workers}: an instance uses \
             {:.2}% of a core, {:.1} MB, sends {bytes:.0} B/s to peers, {reads:.1} table reads/s",
            cpu * 100.0,
            total_memory_mb(&cluster) / instances,
        );
    }
    Ok(())
}

/// Returns the total CPU time of all entry processes.
fn total_cpu_time(cluster: &Cluster) -> Duration {
    const TICKS_PER_SECOND: f64 = 100.0;
    // The position of the user time after the process name in /proc/PID/stat; the system time
    // is next.
    const USER_TIME_FIELD: usize = 11;
    let ticks = |pid: u32| -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default().to_owned();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        field(USER_TIME_FIELD).unwrap_or(0.0) + field(USER_TIME_FIELD + 1).unwrap_or(0.0)
    };
    let total: f64 = cluster.entries.iter().map(|e| ticks(e.pid())).sum();
    Duration::from_secs_f64(total / TICKS_PER_SECOND)
}

/// Returns the total resident memory of all entry processes, in MB.
fn total_memory_mb(cluster: &Cluster) -> f64 {
    let rss = |pid: u32| -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    };
    cluster.entries.iter().map(|e| rss(e.pid())).sum()
}

/// Returns the total number of bytes that the entry processes have sent to peers over UDP.
async fn total_peer_bytes(cluster: &Cluster) -> f64 {
    let mut bytes = 0.0;
    for entry in &cluster.entries {
        bytes += entry
            .metric("marigoldbend_datagram_bytes_total")
            .await
            .unwrap_or(0.0);
    }
    bytes
}
