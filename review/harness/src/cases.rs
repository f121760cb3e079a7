//! The cases.

use {
    crate::{
        deployment::{Deployment, Failure},
        record::Record,
        rows::{Outage, respond},
        worker::StepNeeds,
    },
    hyper::{StatusCode, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::sched::{
        job::{JobId, Resources, TaskName},
        worker::EndReason,
    },
    marigoldbend_http::body::read_whole,
    serde_json::{Value, json},
    std::{
        collections::{HashMap, HashSet},
        convert::Infallible,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Plays a case; returns what broke the rule.
pub async fn play(case: &str, record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    match case {
        "many-ends" => many_ends(record, trouble).await,
        "given-up" => given_up(record, trouble).await,
        "advice" => advice(record, trouble).await,
        "late-start" => late_start(record, trouble).await,
        "large-job" => large_job(record, trouble).await,
        "long-tasks" => long_tasks(record, trouble).await,
        "queues" => queues(record, trouble).await,
        _ => Err(format!("no case {case}").into()),
    }
}

fn resources(cpu: i64, mem_mb: i64) -> Resources {
    Resources {
        cpu,
        mem_mb,
        gpu: 0,
    }
}

fn job(number: u64) -> JobId {
    JobId(0x7e57_0000_0000_0000 + number)
}

fn task(id: JobId, index: u32) -> TaskName {
    TaskName {
        job: id,
        occurrence: 0,
        step: 0,
        index,
    }
}

async fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    true
}

/// Many short tasks end while the store is down.
async fn many_ends(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    const JOBS: u64 = 71;
    const WIDTH: u32 = 24;
    let mut deployment = Deployment::new(record).await?;
    deployment.configure(None);
    // "about 64 cores, 250 GB"; the site's sizes are 1, 1 and 1.5 times that.
    deployment
        .start_workers(2, resources(96_000, 384_000))
        .await?;
    deployment.start_instances(None).await?;
    let phase = json!({ "count": WIDTH, "cpu": 500, "mem_mb": 256, "estimate_ms": 900 });
    // Two steps, as the site's mean, each of 24 tasks; its widest have 32 and 36.
    let phases = json!([phase, phase]);
    let needs = StepNeeds {
        time: Some(Duration::from_millis(900)),
        request: resources(500, 256),
    };
    // The site's burst: sheet-revise at 2.6 times its 4.39 a second, for 4 s, beside the usual 6.55.
    let first = Instant::now();
    for n in 0..JOBS {
        let due = first + Duration::from_millis(56 * n);
        sleep(due.saturating_duration_since(Instant::now())).await;
        deployment
            .submit(n as usize, job(n), &phases, vec![needs.clone(); 2])
            .await?;
    }
    if trouble {
        deployment.set_store_outage(Some(Outage::Busy));
        sleep(Duration::from_millis(4_200)).await;
        deployment.set_store_outage(None);
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    let mut open: Vec<u64> = (0..JOBS).collect();
    while !open.is_empty() && Instant::now() < deadline {
        let mut still_open = Vec::new();
        for n in open {
            let state = deployment.state(n as usize, job(n)).await;
            if state.as_deref() == Some("completed") {
                record.line(format!("client: GET {} -> completed", job(n)));
            } else {
                still_open.push(n);
            }
        }
        open = still_open;
        sleep(Duration::from_millis(250)).await;
    }
    sleep(Duration::from_secs(1)).await;
    record.line(format!("jobs not completed: {}", open.len()));
    let lost = deployment.log_lines("lost: the worker does not list it");
    record.line(format!(
        "runs that the leader took for lost: {}",
        lost.len()
    ));
    Ok(record.twice())
}

/// Workers crash under a task that lasts, three times.
async fn given_up(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    const MAX_ATTEMPTS: usize = 3;
    let mut deployment = Deployment::new(record).await?;
    deployment.configure(None);
    deployment
        .start_workers(8, resources(64_000, 256_000))
        .await?;
    deployment.start_instances(None).await?;
    let phases = json!([{
        "count": 6, "cpu": 13000, "mem_mb": 26000, "estimate_ms": 400, "long_running": true,
    }]);
    let needs = StepNeeds {
        time: None,
        request: resources(13_000, 26_000),
    };
    let id = job(1);
    deployment.submit(0, id, &phases, vec![needs]).await?;
    let watched = task(id, 0);
    let limit = Duration::from_secs(20);
    for _ in 0..3 {
        let is_running = || deployment.workers.iter().any(|w| w.runs_task(watched));
        if !wait_for(limit, is_running).await {
            break;
        }
        // It is at work for a while.
        sleep(Duration::from_secs(6)).await;
        let worker = deployment.workers.iter().find(|w| w.runs_task(watched));
        let Some(worker) = worker.filter(|_| trouble) else {
            continue;
        };
        worker.crash();
        sleep(Duration::from_millis(4_000)).await;
        worker.restart().await;
        sleep(Duration::from_millis(500)).await;
    }
    sleep(Duration::from_secs(6)).await;
    let mut breaks = Vec::new();
    for target in 0..3 {
        let state = deployment.state(target, id).await;
        record.line(format!(
            "client: GET {id} at instance {target} -> {state:?}"
        ));
        let failed = record.runs().into_iter().filter(|run| {
            run.task.job == id && matches!(run.end, Some((_, Some(EndReason::Failed), _)))
        });
        let failed = failed.count();
        if state.as_deref() == Some("failed") && failed < MAX_ATTEMPTS {
            breaks.push(format!(
                "{id} is shown as failed; {failed} of its runs ended failed, max_attempts {MAX_ATTEMPTS}"
            ));
        }
    }
    for line in deployment.log_lines("given up") {
        record.line(line);
    }
    Ok(breaks)
}

/// A queue's policy allows a step on the workers of one rack.
async fn advice(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    const WAIT: Duration = Duration::from_secs(40);
    let mut deployment = Deployment::new(record).await?;
    deployment
        .start_workers(48, resources(64_000, 256_000))
        .await?;
    let rack = if trouble { 5 } else { 0 };
    let allowed = deployment.workers[rack * 8..rack * 8 + 8].iter();
    let tickets: HashMap<String, String> = allowed
        .map(|w| (w.id.clone(), format!("ticket-{}", w.id)))
        .collect();
    record.line(format!("the policy allows the step on rack-{}", rack + 1));
    *deployment.jobs.tickets.lock() = Some(tickets.clone());
    let service = serve_advice(record.clone(), tickets).await?;
    deployment.configure(Some(
        json!({ "decision_ms": 20, "per_worker_ms": 1, "valid_ms": 3000 }),
    ));
    deployment.start_instances(Some(service)).await?;
    let phases = json!([{ "count": 6, "cpu": 4600, "mem_mb": 9200, "estimate_ms": 640 }]);
    let needs = StepNeeds {
        time: Some(Duration::from_millis(640)),
        request: resources(4_600, 9_200),
    };
    let id = job(1);
    deployment.submit(0, id, &phases, vec![needs]).await?;
    let accepted = Instant::now();
    let has_started = wait_for(WAIT, || !record.runs().is_empty()).await;
    sleep(Duration::from_secs(2)).await;
    let state = deployment.state(1, id).await;
    record.line(format!("client: GET {id} -> {state:?}"));
    if has_started {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "{id} has had nothing running for {} s since its acceptance; nothing else runs, and the 8 \
         workers that the policy allows have room for 104 such tasks; its state is {state:?}",
        accepted.elapsed().as_secs()
    )])
}

/// Serves `POST /v1/advise`: approves the workers with a ticket.
async fn serve_advice(
    record: Record,
    tickets: HashMap<String, String>,
) -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (record, tickets) = (record.clone(), tickets.clone());
            tokio::spawn(async move {
                let service = service_fn(|req: hyper::Request<hyper::body::Incoming>| {
                    let (record, tickets) = (record.clone(), tickets.clone());
                    async move {
                        let body = read_whole(req.into_body(), 1 << 20)
                            .await
                            .unwrap_or_default();
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        let workers = body["workers"].as_array().cloned().unwrap_or_default();
                        let ids: Vec<&str> = workers.iter().filter_map(Value::as_str).collect();
                        sleep(Duration::from_millis(20 + ids.len() as u64)).await;
                        let approved: Vec<_> = ids
                            .iter()
                            .filter_map(|id| Some(json!([id, tickets.get(*id)?])))
                            .collect();
                        record.line(format!(
                            "advice for {} on {} workers, {} to {}: {} approved",
                            body["phase"],
                            ids.len(),
                            ids.iter().min().unwrap_or(&""),
                            ids.iter().max().unwrap_or(&""),
                            approved.len()
                        ));
                        let reply = json!({ "approved": approved, "valid_ms": 3000 });
                        Ok::<_, Infallible>(respond(StatusCode::OK, reply.to_string().into()))
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

/// A start gets no answer and is carried out late, by the next life of the worker.
async fn late_start(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    const JOBS: u64 = 5;
    let mut deployment = Deployment::new(record).await?;
    deployment.configure(None);
    deployment
        .start_workers(8, resources(64_000, 256_000))
        .await?;
    deployment.start_instances(None).await?;
    let phases = json!([{ "count": 6, "cpu": 4600, "mem_mb": 9200, "estimate_ms": 640 }]);
    let needs = StepNeeds {
        time: Some(Duration::from_millis(640)),
        request: resources(4_600, 9_200),
    };
    // All instances have reached the workers.
    sleep(Duration::from_secs(2)).await;
    let chosen = deployment.workers[4].clone();
    if trouble {
        *chosen.delay_next_start.lock() = true;
    }
    for n in 0..JOBS {
        deployment
            .submit(n as usize, job(n), &phases, vec![needs.clone()])
            .await?;
    }
    let mut sent = Instant::now();
    if trouble {
        if !wait_for(Duration::from_secs(5), || chosen.delayed().is_some()).await {
            return Err("the chosen worker got no start".into());
        }
        sent = Instant::now();
    }
    // All tasks end, and their ends are taken note of.
    let mut open: Vec<u64> = (0..JOBS).collect();
    while !open.is_empty() && sent.elapsed() < Duration::from_secs(8) {
        let mut still_open = Vec::new();
        for n in open {
            let state = deployment.state(n as usize, job(n)).await;
            if state.as_deref() == Some("completed") {
                record.line(format!("client: GET {} -> completed", job(n)));
            } else {
                still_open.push(n);
            }
        }
        open = still_open;
        sleep(Duration::from_millis(50)).await;
    }
    if !open.is_empty() {
        return Err("the jobs are not completed in time".into());
    }
    // The acknowledgement goes with the next look at the worker.
    sleep(Duration::from_millis(1_200)).await;
    if trouble {
        chosen.crash();
        sleep(Duration::from_millis(1_000)).await;
        chosen.restart().await;
        sleep(Duration::from_millis(500)).await;
        let age = sent.elapsed().as_millis();
        record.line(format!("the late start is {age} ms old (2,000 to 12,000)"));
        if !(2_000..=12_000).contains(&age) {
            return Err("the late start is not 2 to 12 s old".into());
        }
        let reply = chosen.carry_out_late();
        record.line(format!(
            "the late start: {reply:?}, token now {}",
            chosen.token()
        ));
    }
    sleep(Duration::from_secs(3)).await;
    Ok(record.twice())
}

/// A job of many tasks whose progress does not fit into a row; then a task that lasts, of another job,
/// fails.
async fn large_job(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    /// "from 6 s after its last run", for 3 s, "if the 3 s and the 4 s before them are calm".
    const LIMIT: Duration = Duration::from_secs(6 + 4 + 3);
    let mut deployment = Deployment::new(record).await?;
    deployment.configure(None);
    deployment
        .start_workers(24, resources(64_000, 256_000))
        .await?;
    deployment.enforce_limits = true;
    deployment.start_instances(None).await?;
    let width = if trouble { 3_300 } else { 330 };
    let phase = json!({ "count": width, "cpu": 10, "mem_mb": 16, "estimate_ms": 300 });
    let needs = StepNeeds {
        time: Some(Duration::from_millis(300)),
        request: resources(10, 16),
    };
    let (large, lasting) = (job(1), job(2));
    // The last step takes a while, so that the job is not over.
    let last = json!({
        "count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 45_000, "after": [0, 1, 2],
    });
    let mut all_needs = vec![needs; 3];
    all_needs.push(StepNeeds {
        time: Some(Duration::from_secs(45)),
        request: resources(1_000, 512),
    });
    let phases = json!([phase, phase, phase, last]);
    deployment.submit(0, large, &phases, all_needs).await?;
    let phases = json!([{
        "count": 6, "cpu": 13000, "mem_mb": 26000, "estimate_ms": 400, "long_running": true,
    }]);
    let needs = StepNeeds {
        time: None,
        request: resources(13_000, 26_000),
    };
    deployment.submit(1, lasting, &phases, vec![needs]).await?;
    // All tasks of the large job end.
    let is_done = || {
        let runs = record.runs();
        let done = runs.iter().filter(|run| {
            run.task.job == large && matches!(run.end, Some((_, Some(EndReason::Done), _)))
        });
        let tasks: HashSet<TaskName> = done.map(|run| run.task).collect();
        tasks.len() as u64 >= 3 * width
    };
    let deadline = Instant::now() + Duration::from_secs(40);
    while !is_done() && Instant::now() < deadline {
        sleep(Duration::from_millis(250)).await;
    }
    if !is_done() {
        return Err("the tasks of the large job have not ended in time".into());
    }
    record.line("all tasks of the large job's first three steps have ended done");
    sleep(Duration::from_secs(5)).await;
    let watched = task(lasting, 0);
    let worker = deployment.workers.iter().find(|w| w.runs_task(watched));
    let worker = worker.ok_or("the lasting task does not run")?;
    worker.fail_task(watched);
    let failed_at = Instant::now();
    let mut last_run = failed_at;
    let mut longest = Duration::ZERO;
    while failed_at.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(50)).await;
        if deployment.workers.iter().any(|w| w.runs_task(watched)) {
            last_run = Instant::now();
        }
        longest = longest.max(last_run.elapsed());
    }
    let mut breaks = Vec::new();
    if longest > LIMIT {
        breaks.push(format!(
            "{watched} lasts and does not run for {} ms after its last run, with all workers nearly empty",
            longest.as_millis()
        ));
    }
    for id in [large, lasting] {
        let state = deployment.state(2, id).await;
        record.line(format!("client: GET {id} -> {state:?}"));
        let runs = record.runs();
        let ended = runs
            .iter()
            .filter(|run| run.task.job == id && run.end.is_some());
        let ended: Vec<_> = ended.collect();
        let noted = ended.iter().filter(|run| record.taken_note(run).is_some());
        record.line(format!(
            "{id}: {} ends, {} of them taken note of",
            ended.len(),
            noted.count()
        ));
    }
    record.line(format!("breaks of TWICE: {}", record.twice().len()));
    for line in deployment.log_lines("may not be stored").iter().take(3) {
        record.line(line.as_str());
    }
    Ok(breaks)
}

/// The tasks of a job take long.
async fn long_tasks(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    const IDLE: Duration = Duration::from_secs(3);
    /// `finish_s` of the site.
    const FINISH: Duration = Duration::from_secs(14);
    let mut deployment = Deployment::new(record).await?;
    deployment.configure(None);
    deployment
        .start_workers(8, resources(64_000, 256_000))
        .await?;
    deployment.start_instances(None).await?;
    let time = Duration::from_secs(if trouble { 300 } else { 30 });
    let phases = json!([{
        "count": 8, "anti_affinity": 1, "cpu": 7000, "mem_mb": 13000,
        "estimate_ms": time.as_millis() as u64,
    }]);
    let needs = StepNeeds {
        time: Some(time),
        request: resources(7_000, 13_000),
    };
    let id = job(1);
    deployment.submit(0, id, &phases, vec![needs]).await?;
    // The rule looks from `finish_s` after the end of the traffic on; no client calls meanwhile.
    sleep(FINISH).await;
    record.line("`finish_s` after the end of the traffic");
    let judged = Instant::now();
    let mut last_run = judged;
    let mut windows = Vec::new();
    let is_done = || {
        let runs = record.runs();
        let done = runs
            .iter()
            .filter(|run| matches!(run.end, Some((_, Some(EndReason::Done), _))));
        done.count() >= 8
    };
    while judged.elapsed() < Duration::from_secs(30) && !is_done() {
        sleep(Duration::from_millis(20)).await;
        if deployment.workers.iter().any(|w| w.is_busy()) {
            let idle = last_run.elapsed();
            if idle > IDLE {
                let ms = idle.as_millis();
                record.line(format!("nothing ran for {ms} ms"));
                windows.push(ms);
            }
            last_run = Instant::now();
        }
    }
    if !is_done() && last_run.elapsed() > IDLE {
        windows.push(last_run.elapsed().as_millis());
    }
    let runs = record.runs();
    let longest = runs
        .iter()
        .filter_map(|run| Some(run.end?.0 - run.start))
        .max();
    record.line(format!(
        "{} runs of 8 tasks; the longest that ended took {} ms",
        runs.len(),
        longest.unwrap_or_default().as_millis()
    ));
    let state = deployment.state(2, id).await;
    record.line(format!("client: GET {id} -> {state:?}"));
    Ok(windows
        .into_iter()
        .map(|ms| {
            format!("{id} has nothing running for {ms} ms while nothing else runs on the 8 workers")
        })
        .collect())
}

/// Jobs wait in many queues at once.
async fn queues(record: &Record, trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::new(record).await?;
    let count = if trouble { 46 } else { 30 };
    let names: Vec<String> = (1..=count).map(|n| format!("team-{n:02}")).collect();
    deployment.configure_queues(&names);
    deployment
        .start_workers(2, resources(64_000, 256_000))
        .await?;
    deployment.start_instances(None).await?;
    // The workers are full of a job that lasts.
    let phases = json!([{
        "count": 8, "cpu": 13000, "mem_mb": 26000, "estimate_ms": 400, "long_running": true,
    }]);
    let needs = StepNeeds {
        time: None,
        request: resources(13_000, 26_000),
    };
    deployment
        .submit_to(&names[0], 0, job(0), &phases, vec![needs])
        .await?;
    sleep(Duration::from_secs(2)).await;
    let phases = json!([{ "count": 2, "cpu": 13000, "mem_mb": 26000, "estimate_ms": 640 }]);
    let needs = StepNeeds {
        time: Some(Duration::from_millis(640)),
        request: resources(13_000, 26_000),
    };
    for (n, name) in names.iter().enumerate() {
        let id = job(n as u64 + 1);
        deployment
            .submit_to(name, n, id, &phases, vec![needs.clone()])
            .await?;
    }
    // `visible_ms` + 2 s, and what an answer may be old.
    sleep(Duration::from_secs(8)).await;
    let mut breaks = Vec::new();
    for (n, name) in names.iter().enumerate() {
        for target in 0..3 {
            let pending = deployment.pending(target, name).await;
            record.line(format!(
                "client: GET {name}/ at instance {target} -> {pending:?}"
            ));
            let has_begun = record
                .runs()
                .iter()
                .any(|run| run.task.job == job(n as u64 + 1));
            if pending == Some(0) && !has_begun {
                breaks.push(format!(
                    "instance {target} gives 0 as pending of {name}, where one job has waited for 8 s"
                ));
            }
        }
    }
    let takeovers = deployment.log_lines(" taken over token=");
    record.line(format!("takeovers: {}", takeovers.len()));
    for line in deployment
        .log_lines("no heartbeats are sent")
        .iter()
        .take(3)
    {
        record.line(line.as_str());
    }
    Ok(breaks)
}
