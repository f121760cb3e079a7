//! Non-idempotent requests run at most once, refused requests do not run, and truncated answers
//! are never passed on as complete, while workers, connections and entry instances fail.
//!
//! Most tests check these properties with [`check_record`] after their load has ended.

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

/// Kills two of the six workers under load: no idempotent request is lost, and at least 97 percent
/// of all requests get a complete answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upstreams_die_during_requests() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let mut cfg = load(&cluster, "died", 800.0, 5);
    cfg.post_percent = 50;
    let (report, ()) = join!(load::run(&cfg), async {
        for (i, worker) in [1, 3].into_iter().enumerate() {
            sleep_until_offset(start, 1_000 * (i as u64 + 1)).await;
            cluster
                .workers
                .get(worker)
                .expect("the worker exists")
                .kill();
        }
    });
    check_record(&cluster, &report);
    let is_lost = |r: &&load::Observation| r.idempotent && r.outcome != ObservedOutcome::Whole;
    let lost: Vec<_> = report.requests.iter().filter(is_lost).collect();
    assert!(lost.is_empty(), "idempotent requests were lost: {lost:?}");
    check_answered(&report, 97);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn truncated_answers_never_pass_as_complete() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let faults = WorkerFaults {
        cut: true,
        ..WorkerFaults::default()
    };
    cluster
        .workers
        .get(2)
        .expect("the worker exists")
        .set_faults(faults);
    let mut cfg = load(&cluster, "cut", 600.0, 3);
    cfg.size = 20_000;
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    let is_lost = |r: &&load::Observation| r.idempotent && r.outcome != ObservedOutcome::Whole;
    assert_eq!(
        report.requests.iter().filter(is_lost).count(),
        0,
        "{}",
        report.summary_line()
    );
    // The caller of a non-idempotent request whose answer was truncated learns that the outcome is
    // unknown; the request has run once.
    for id in report.ids(ObservedOutcome::Unknown) {
        assert_eq!(cluster.workers.record.runs_of(id), 1, "{id}");
    }
    assert!(
        report.count(ObservedOutcome::Unknown) > 0,
        "no answer to a non-idempotent request was truncated"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_run_at_most_once_when_entry_instances_are_killed() {
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

/// After 3 s, all open connections to the workers stop responding without being closed. All
/// requests are idempotent; each still gets a complete answer, within 1.5 s if it was sent after
/// that.
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
    let silence_offset = Duration::from_millis(3_000);
    let (report, ()) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 3_000).await;
        for worker in &cluster.workers.handles {
            worker.silence_connections();
        }
    });
    check_record(&cluster, &report);
    check_answered(&report, 100);
    let sent_after = report
        .requests
        .iter()
        .filter(|r| r.send_offset >= silence_offset);
    let fast = sent_after
        .clone()
        .filter(|r| r.latency < Duration::from_millis(250));
    let resumed_after = fast.map(|r| r.send_offset - silence_offset).min();
    let max_latency = sent_after.map(|r| r.latency).max().unwrap_or_default();
    println!(
        "first answer within 250 ms to a request sent {resumed_after:?} after the connections fell \
         silent; maximum latency since then {max_latency:?}"
    );
    // The maximum first-byte timeout (1,000 ms), plus a service time from the tail of the
    // distribution (500 ms).
    assert!(
        max_latency < Duration::from_millis(1_000 + 500),
        "{max_latency:?}"
    );
}

/// Sends a non-idempotent request whose idempotency key is `id`; returns `None` if no reply comes.
async fn post_keyed(cluster: &Cluster, entry: usize, id: &str) -> Option<Reply> {
    let client = JsonClient::new(Duration::from_secs(8), None);
    let url = format!(
        "http://{}/services/inspection/certificate?size=10&ms=30",
        cluster.entries[entry].callers
    );
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(id).expect("a valid header value");
    headers.insert("x-request-id", value.clone());
    headers.insert("idempotency-key", value);
    headers.insert("marigoldbend-deadline-ms", 3_000.into());
    client
        .send(Method::POST, &url, headers, "sent".into())
        .await
        .ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_with_the_same_key_run_at_most_once_across_instances() {
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
            // The same request goes through all six instances at once, then through each once more.
            let mut replies = Vec::new();
            let posts = (0..6).map(|entry| post_keyed(&cluster, entry, &id));
            replies.extend(join_all(posts.collect()).await);
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
        assert!(answered >= 15, "only {answered} answers for 15 keys");
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
async fn a_worker_that_fails_fast_is_ejected_and_readmitted() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let start = Instant::now();
    let cfg = load(&cluster, "fast", 600.0, 12);
    let worker = cluster.workers.get(4).expect("the worker exists");
    let recovery_offset = Duration::from_millis(5_000);
    let worker_requests = || cluster.workers.record.summary().workers[&4].requests;
    let (report, (at_recovery, at_end)) = join!(load::run(&cfg), async {
        sleep_until_offset(start, 1_000).await;
        worker.set_faults(WorkerFaults {
            fail: true,
            ..WorkerFaults::default()
        });
        sleep_until_offset(start, 5_000).await;
        worker.set_faults(WorkerFaults::default());
        let at_recovery = worker_requests();
        sleep_until_offset(start, 11_500).await;
        (at_recovery, worker_requests())
    });
    check_record(&cluster, &report);
    let errors = report
        .requests
        .iter()
        .filter(|r| r.outcome == ObservedOutcome::UpstreamError);
    let late_errors = errors.clone().filter(|r| {
        r.send_offset > Duration::from_millis(3_000) && r.send_offset < recovery_offset
    });
    println!(
        "errors {}, of which {} more than 2 s after the fault",
        errors.count(),
        late_errors.clone().count()
    );
    // Only occasional probe requests still go to the ejected worker.
    assert!(
        late_errors.count() <= 5,
        "the worker was not ejected within 2 s of the fault"
    );
    assert!(
        at_end > at_recovery + 100,
        "the worker was not readmitted: {at_recovery} requests at its recovery, {at_end} at the end"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overload_is_refused_and_refused_requests_do_not_run() {
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    // Capacity is 48 slots of 20 ms each: 2,400 requests a second.
    let cfg = load(&cluster, "over", 2_900.0, 5);
    let report = load::run(&cfg).await;
    check_record(&cluster, &report);
    let median_us = report
        .latencies(ObservedOutcome::NotRun)
        .value_at_quantile(0.5);
    println!("median refusal after {median_us} us");
    assert!(
        report.count(ObservedOutcome::NotRun) > 0,
        "nothing was refused: {}",
        report.summary_line()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_input_does_not_affect_other_requests() {
    use tokio::{
        io::AsyncWriteExt,
        net::{TcpStream, UdpSocket},
    };
    let cluster = Cluster::start(config(1)).await.expect("the cluster starts");
    let entry = &cluster.entries[0];
    let status = entry.status().await.expect("the instance answers");
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let member = members.iter().find(|m| m["name"] == entry.name.as_str());
    let peer = member
        .and_then(|m| m["peer"].as_str())
        .expect("the instance is a member")
        .to_owned();
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut connections = JoinSet::new();
    for n in 0..200u32 {
        let noise: Vec<u8> = (0..n * 7).map(|i| (i * n % 251) as u8).collect();
        udp.send_to(&noise, &peer)
            .await
            .expect("the datagram is sent");
        let mut framed = b"mgb1".to_vec();
        framed.extend_from_slice(&noise[..noise.len().min(1_100)]);
        udp.send_to(&framed, &peer)
            .await
            .expect("the datagram is sent");
        let (peer, callers) = (peer.clone(), entry.callers);
        connections.spawn(async move {
            for address in [peer, callers.to_string()] {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // The instance may close the connection at once.
                    let _ = stream.write_all(&noise).await;
                }
            }
        });
    }
    connections.join_all().await;
    let report = load::run(&load(&cluster, "hostile", 200.0, 2)).await;
    check_record(&cluster, &report);
    check_answered(&report, 100);
    assert!(!entry.log().contains("panicked"), "{}", entry.log());
}
