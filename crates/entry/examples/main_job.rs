//! The main job on embedded stand-ins, in one process: three failure domains, nine entry
//! instances, requests and a batch job, then a short summary.
//!
//! Run it with `cargo run --release --example main_job`.

use {
    marigoldbend::operator::{answers::Answers, client::OperatorClient, plan::plan, questionnaire},
    marigoldbend::{core::ids::Version, http::client::JsonClient},
    marigoldbend_entry::{entry::Entry, settings::Settings},
    serde_json::{Value, json},
    stand_ins::{
        load::{self, LoadConfig, ObservedOutcome, Targets},
        platform::Platform,
        workers::{ServiceTime, Workers, WorkersConfig},
    },
    std::{
        error::Error,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const DOMAINS: [u16; 3] = [1, 2, 3];
const ENTRIES_PER_DOMAIN: u16 = 3;
const WORKERS_PER_DOMAIN: u32 = 16;

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(run())
}

async fn run() -> Result<()> {
    let platform = Platform::start("127.0.0.1:0".parse()?).await?;
    let workers = Workers::start(&WorkersConfig {
        first_id: 1,
        per_domain: WORKERS_PER_DOMAIN,
        domains: DOMAINS.to_vec(),
        service: "inspection".to_owned(),
        ip: "127.0.0.1".parse()?,
        service_time: ServiceTime {
            mean_ms: 20.0,
            cv: 1.0,
            slowdown: 0.02,
        },
        seed: 1,
    })
    .await?;
    platform.update_list(|list| list.workers = workers.listed());
    let entries = start_entries(&platform)?;
    let operators: Vec<SocketAddr> = entries.iter().map(|e| e.addresses().operators).collect();
    let callers: Vec<SocketAddr> = entries.iter().map(|e| e.addresses().callers).collect();

    let answers = Answers::parse(questionnaire::EXAMPLE)?;
    let operator = OperatorClient::new(operators[0]);
    operator
        .put_config(Version(0), &plan(&answers)?.config)
        .await?;
    wait_until_owned(&operators).await?;
    println!("9 entry instances own 48 workers in 3 failure domains");

    let job = submit_job(callers[0]).await?;
    let report = load::run(&LoadConfig {
        targets: Targets::even(callers.iter().copied()),
        path: "/services/inspection/check".to_owned(),
        rate: 1_000.0,
        duration: Duration::from_secs(5),
        post_percent: 20,
        idempotency_keys: false,
        size: 100,
        deadline: Duration::from_millis(1_500),
        seed: 1,
        prefix: "main".to_owned(),
    })
    .await;
    let done = wait_for_job(callers[4], &job).await?;
    let record = workers.record.summary();
    let peak = record.workers.values().map(|w| w.peak_slots).max();
    println!("requests: {}", report.summary_line());
    println!(
        "batch: job {job} is {}; tasks finished: {}",
        done["state"], record.finished
    );
    let once = |id: &str| workers.record.runs_of(id) <= 1;
    let single = report.requests.iter().filter(|r| !r.idempotent);
    let doubled = single.filter(|r| !once(&r.id)).count();
    println!(
        "workers: most in use {} of 8 slots; non-idempotent requests run twice: {doubled}; \
         tasks run twice: {}",
        peak.unwrap_or(0),
        record.overlaps.len() + record.finished_twice.len(),
    );
    for entry in &entries {
        entry.stop();
    }
    let graceful = entries.into_iter().all(Entry::join);
    println!("all instances ended gracefully: {graceful}");
    let sound = report.count(ObservedOutcome::Wrong) == 0 && doubled == 0 && graceful;
    match sound && done["state"] == "done" && peak <= Some(8) {
        true => Ok(()),
        false => Err("the run was not sound".into()),
    }
}

fn start_entries(platform: &Platform) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for domain in DOMAINS {
        for number in 1..=ENTRIES_PER_DOMAIN {
            let settings = Settings::parse(&format!(
                "[instance]\nname = d{domain}-{number}\ndomain = {domain}\n\
                 [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
                 [platform]\nurl = {}\n[traffic]\nthreads = 1\n\
                 [shutdown]\nbalancer_wait_ms = 100\n",
                platform.url(),
            ))?;
            entries.push(Entry::start(settings)?);
        }
    }
    Ok(entries)
}

/// Waits until every worker is owned and every instance owns some.
async fn wait_until_owned(operators: &[SocketAddr]) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(12);
    while Instant::now() < end {
        let mut shares = Vec::new();
        for &address in operators {
            let status = OperatorClient::new(address).status().await?;
            let workers = status["workers"].as_array().cloned().unwrap_or_default();
            shares.push(
                workers
                    .iter()
                    .filter_map(|w| w["limit"].as_u64())
                    .sum::<u64>(),
            );
        }
        if shares.iter().sum::<u64>() == 48 * 8 && !shares.contains(&0) {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    Err("the workers were not owned in time".into())
}

async fn submit_job(callers: SocketAddr) -> Result<String> {
    let client = JsonClient::new(Duration::from_secs(5), None);
    let spec = json!({
        "team": "reviews",
        "class": "load-review",
        "tasks": 20,
        "run_ms": 1_500,
    });
    let reply = client
        .post(&format!("http://{callers}/jobs"), &spec)
        .await?;
    let body: Value = reply.json()?;
    let id = body["id"].as_str().ok_or("the job was not accepted")?;
    Ok(id.to_owned())
}

/// Waits until a job is final, asking any instance.
async fn wait_for_job(callers: SocketAddr, id: &str) -> Result<Value> {
    let client = JsonClient::new(Duration::from_secs(5), None);
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let job: Value = client
            .get_json(&format!("http://{callers}/jobs/{id}"))
            .await?;
        if job["state"] == "done" || Instant::now() > end {
            return Ok(job);
        }
        sleep(Duration::from_millis(100)).await;
    }
}
