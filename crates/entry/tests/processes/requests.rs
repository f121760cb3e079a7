//! Requests run at most once where that matters, refusals are truthful, and answers are whole.

use {
    crate::common::{check_answered, check_record, config, load},
    hyper::{HeaderMap, Method, header::HeaderValue},
    marigoldbend::http::client::{JsonClient, Reply},
    stand_ins::{
        cluster::Cluster,
        load::{self, ObservedOutcome, sleep_until_offset},
        platform::Faults,
        workers::{WorkerFaults, expected_body},
    },
    std::time::{Duration, Instant},
    test_case::test_case,
    tokio::{join, task::JoinSet},
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upstreams_die_during_requests() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let mut cfg = load(&cluster, "died", 800.0, 5);
    cfg.post_percent = 50;
    let (report, ()) = join!(load::run(&cfg), async {
        for (i, worker) in [1, 3].into_iter().enumerate() {
            sleep_until_offset(start, 1_000 * (i as u64 + 1)).await;
            cluster.workers.get(worker).expect("it exists").kill();
        }
    });
    check_record(&cluster, &report);
    let lost = |r: &&load::Observation| r.idempotent && r.outcome != ObservedOutcome::Whole;
    let lost: Vec<_> = report.requests.iter().filter(lost).collect();
    assert!(lost.is_empty(), "idempotent requests were lost: {lost:?}");
    check_answered(&report, 97);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_answers_never_pass_as_whole() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let faults = WorkerFaults {
        cut: true,
        ..WorkerFaults::default()
    };
    cluster
        .workers
        .get(2)
        .expect("it exists")
        .set_faults(faults);
    let mut cfg = load(&cluster, "cut", 600.0, 3);
    cfg.size = 20_000;
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    let lost = |r: &&load::Observation| r.idempotent && r.outcome != ObservedOutcome::Whole;
    assert_eq!(
        report.requests.iter().filter(lost).count(),
        0,
        "{}",
        report.summary_line()
    );
    // The non-idempotent ones that the worker cut have run: that is what their callers hear.
    for id in report.ids(ObservedOutcome::Unknown) {
        assert_eq!(cluster.workers.record.runs_of(id), 1, "{id}");
    }
    assert!(
        report.count(ObservedOutcome::Unknown) > 0,
        "the fault was not met"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_instance_is_killed_during_requests() {
    let mut cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let mut cfg = load(&cluster, "entry", 1_000.0, 5);
    cfg.post_percent = 60;
    cfg.idempotency_keys = true;
    let report = tokio::spawn(async move { load::run(&cfg).await });
    let start = Instant::now();
    sleep_until_offset(start, 1_500).await;
    cluster.entries[1].kill();
    sleep_until_offset(start, 3_000).await;
    cluster.entries[4].kill();
    let report = report.await.expect("the load ends");
    check_record(&cluster, &report);
}

#[test_case(400.0, 1_500; "light_with_a_short_deadline")]
#[test_case(600.0, 4_000; "heavier_with_a_long_deadline")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_are_noticed_and_nothing_idempotent_is_lost(
    rate: f64,
    deadline_ms: u64,
) {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let mut cfg = load(&cluster, "silent", rate, 6);
    cfg.post_percent = 0;
    cfg.deadline = Duration::from_millis(deadline_ms);
    let silence = Duration::from_millis(3_000);
    let (report, ()) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 3_000).await;
        for worker in &cluster.workers.handles {
            worker.silence_connections();
        }
    });
    check_record(&cluster, &report);
    check_answered(&report, 100);
    let after = report.requests.iter().filter(|r| r.send_offset >= silence);
    let flows = after
        .clone()
        .filter(|r| r.latency < Duration::from_millis(250));
    let flows = flows.map(|r| r.send_offset - silence).min();
    let worst = after.map(|r| r.latency).max().unwrap_or_default();
    println!("traffic flows {flows:?} after the silence, worst latency {worst:?}");
    // One first-byte limit at its ceiling, and one more service time of the heavy tail.
    assert!(worst < Duration::from_millis(1_000 + 500), "{worst:?}");
}

/// Sends one non-idempotent request with a key.
async fn post_keyed(cluster: &Cluster, entry: usize, id: &str) -> Option<Reply> {
    let client = JsonClient::new(Duration::from_secs(8), None);
    let url = format!(
        "http://{}/services/inspection/certificate?size=10&ms=30",
        cluster.entries[entry].callers
    );
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(id).expect("a plain id");
    headers.insert("x-request-id", value.clone());
    headers.insert("idempotency-key", value);
    headers.insert("marigoldbend-deadline-ms", 3_000.into());
    client
        .send(Method::POST, &url, headers, "sent".into())
        .await
        .ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeats_with_a_key_run_once_through_any_instance() {
    let cluster = Cluster::start(config(2)).await.expect("the cluster starts");
    let record = &cluster.workers.record;
    for lose_replies_percent in [0, 40] {
        cluster.platform.set_faults(Faults {
            lose_replies_percent,
            ..Faults::default()
        });
        let mut answered = 0;
        for n in 0..15 {
            let id = format!("certificate-{lose_replies_percent}-{n}");
            // All instances of both domains at once, then each once more.
            let mut replies = Vec::new();
            let first = (0..6).map(|entry| post_keyed(&cluster, entry, &id));
            replies.extend(join_all(first.collect()).await);
            replies.extend(join_all((0..6).map(|e| post_keyed(&cluster, e, &id)).collect()).await);
            assert!(
                record.runs_of(&id) <= 1,
                "{id} ran {} times",
                record.runs_of(&id)
            );
            for reply in replies.into_iter().flatten() {
                if reply.headers.contains_key("marigoldbend-outcome") {
                    continue;
                }
                assert_eq!(reply.body, expected_body(&id, 10, b"sent"), "{id}");
                answered += 1;
            }
        }
        println!("lost replies {lose_replies_percent}%: {answered} of 180 answered");
        assert!(answered >= 15, "only {answered} answers");
    }
}

async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut outputs = Vec::new();
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        pending.retain_mut(|f| match f.as_mut().poll(cx) {
            std::task::Poll::Ready(output) => {
                outputs.push(output);
                false
            }
            std::task::Poll::Pending => true,
        });
        match pending.is_empty() {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    outputs
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_worker_that_fails_fast_is_ejected_and_comes_back() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "fast", 600.0, 12);
    let worker = cluster.workers.get(4).expect("it exists");
    let recovery = Duration::from_millis(5_000);
    let requests_of = || cluster.workers.record.summary().workers[&4].requests;
    let (report, (before, after)) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        worker.set_faults(WorkerFaults {
            fail: true,
            ..WorkerFaults::default()
        });
        sleep_until_offset(start, 5_000).await;
        worker.set_faults(WorkerFaults::default());
        let before = requests_of();
        sleep_until_offset(start, 11_500).await;
        (before, requests_of())
    });
    check_record(&cluster, &report);
    let errors = report
        .requests
        .iter()
        .filter(|r| r.outcome == ObservedOutcome::UpstreamError);
    let late = errors
        .clone()
        .filter(|r| r.send_offset > Duration::from_millis(3_000) && r.send_offset < recovery);
    println!(
        "errors {}, of them 2 s after the fault {}",
        errors.count(),
        late.clone().count()
    );
    // Single probes are all that still goes there.
    assert!(late.count() <= 5, "the worker was not ejected in time");
    assert!(
        after > before + 100,
        "the worker did not come back: {before} then {after}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_overload_is_refused_quickly_and_truthfully() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    // Capacity is 48 slots of 20 ms each: 2,400 requests a second.
    let cfg = load(&cluster, "over", 2_900.0, 5);
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    let refused = report
        .latencies(ObservedOutcome::NotRun)
        .value_at_quantile(0.5);
    println!("median refusal after {refused} us");
    assert!(
        report.count(ObservedOutcome::NotRun) > 0,
        "nothing was refused: {}",
        report.summary_line()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hostile_input_is_refused_and_harms_nobody() {
    use tokio::{
        io::AsyncWriteExt,
        net::{TcpStream, UdpSocket},
    };
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let entry = &cluster.entries[0];
    let status = entry.status().await.expect("it answers");
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let mine = members.iter().find(|m| m["name"] == entry.name.as_str());
    let peer = mine
        .and_then(|m| m["peer"].as_str())
        .expect("a member")
        .to_owned();
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut garbage = JoinSet::new();
    for n in 0..200u32 {
        let noise: Vec<u8> = (0..n * 7).map(|i| (i * n % 251) as u8).collect();
        udp.send_to(&noise, &peer).await.expect("it is sent");
        let mut framed = b"mgb1".to_vec();
        framed.extend_from_slice(&noise[..noise.len().min(1_100)]);
        udp.send_to(&framed, &peer).await.expect("it is sent");
        let (peer, callers) = (peer.clone(), entry.callers);
        garbage.spawn(async move {
            for to in [peer, callers.to_string()] {
                if let Ok(mut stream) = TcpStream::connect(to).await {
                    // The other side may close at once.
                    let _ = stream.write_all(&noise).await;
                }
            }
        });
    }
    garbage.join_all().await;
    let report = load::run(&load(&cluster, "hostile", 200.0, 2)).await;
    check_record(&cluster, &report);
    check_answered(&report, 100);
    assert!(!entry.log().contains("panicked"), "{}", entry.log());
}
