//! A whole deployment in one process: nine entry instances in three failure domains, with stand-ins
//! for the platform, the workers and the callers.
//!
//! The example sends requests, runs a batch job and prints a short summary. It fails if a response
//! is wrong, a non-idempotent request runs more than once, the job does not finish, a worker uses
//! more than its slots, or an instance does not shut down gracefully.
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
    let final_job = wait_for_job(callers[4], &job).await?;
    let record = workers.record.summary();
    let peak_slots = record.workers.values().map(|w| w.peak_slots).max();
    println!("requests: {}", report.summary_line());
    println!(
        "batch: job {job} is {}; tasks finished: {}",
        final_job["state"], record.finished
    );
    let ran_at_most_once = |id: &str| workers.record.runs_of(id) <= 1;
    let non_idempotent = report.requests.iter().filter(|r| !r.idempotent);
    let repeated = non_idempotent.filter(|r| !ran_at_most_once(&r.id)).count();
    println!(
        "workers: at most {} of 8 slots of a worker in use; \
         non-idempotent requests run more than once: {repeated}; \
         tasks that overlapped or finished more than once: {}",
        peak_slots.unwrap_or(0),
        record.overlaps.len() + record.finished_twice.len(),
    );
    for entry in &entries {
        entry.stop();
    }
    let graceful = entries.into_iter().all(Entry::join);
    println!("all instances shut down gracefully: {graceful}");
    let passed = report.count(ObservedOutcome::Wrong) == 0 && repeated == 0 && graceful;
    match passed && final_job["state"] == "done" && peak_slots <= Some(8) {
        true => Ok(()),
        false => Err(
            "a check failed: expected no wrong responses, no repeated requests, a finished job, \
             at most 8 slots in use and a graceful shutdown"
                .into(),
        ),
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

/// Waits until every worker is owned and every instance owns at least one.
async fn wait_until_owned(operators: &[SocketAddr]) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(12);
    while Instant::now() < deadline {
        let mut slots_by_instance = Vec::new();
        for &address in operators {
            let status = OperatorClient::new(address).status().await?;
            let workers = status["workers"].as_array().cloned().unwrap_or_default();
            slots_by_instance.push(
                workers
                    .iter()
                    .filter_map(|w| w["limit"].as_u64())
                    .sum::<u64>(),
            );
        }
        if slots_by_instance.iter().sum::<u64>() == 48 * 8 && !slots_by_instance.contains(&0) {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    Err("not every worker was owned, or an instance owned none, after 12 s".into())
}

/// Submits a job of 20 tasks through the instance at `callers`; returns the job's id.
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
    let id = body["id"]
        .as_str()
        .ok_or("the response to the job submission has no id")?;
    Ok(id.to_owned())
}

/// Polls an instance until the job is done, for at most 10 s; returns the job as last read.
async fn wait_for_job(callers: SocketAddr, id: &str) -> Result<Value> {
    let client = JsonClient::new(Duration::from_secs(5), None);
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let job: Value = client
            .get_json(&format!("http://{callers}/jobs/{id}"))
            .await?;
        if job["state"] == "done" || Instant::now() > deadline {
            return Ok(job);
        }
        sleep(Duration::from_millis(100)).await;
    }
}
