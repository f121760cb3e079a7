//! The stand-in for the callers: an open-loop load generator, which measures latencies from the
//! intended send time.

use {
    crate::workers::expected_body,
    bytes::Bytes,
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep_until, timeout},
    },
};

/// How long a caller waits for a response after the deadline of its request.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// The maximum latency in the histograms, in microseconds; higher latencies count as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The addresses of the instances or upstreams that receive the load, each with a weight.
///
/// Clones share the list, which may change while a load runs, like the targets of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Targets(Arc<Mutex<Vec<(SocketAddr, u32)>>>);

impl Targets {
    /// Creates targets with equal weights.
    pub fn even(targets: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self::weighted(targets.into_iter().map(|t| (t, 1)))
    }

    /// Creates targets with the given weights.
    pub fn weighted(targets: impl IntoIterator<Item = (SocketAddr, u32)>) -> Self {
        Self(Arc::new(Mutex::new(targets.into_iter().collect())))
    }

    /// Adds a target with weight one.
    pub fn add(&self, target: SocketAddr) {
        self.0.lock().push((target, 1));
    }

    /// Removes a target.
    pub fn remove(&self, target: SocketAddr) {
        self.0.lock().retain(|(t, _)| *t != target);
    }

    /// Returns the addresses of the targets.
    pub fn list(&self) -> Vec<SocketAddr> {
        self.0.lock().iter().map(|(t, _)| *t).collect()
    }

    fn pick(&self, rng: &mut StdRng) -> Option<SocketAddr> {
        let targets = self.0.lock();
        let total: u32 = targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = rng.random_range(0..total.max(1));
        for (target, weight) in targets.iter() {
            if remaining < *weight {
                return Some(*target);
            }
            remaining -= weight;
        }
        None
    }
}

/// The settings of a load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The targets of the requests.
    pub targets: Targets,
    /// The path of each request, such as `/services/inspection/check`.
    pub path: String,
    /// The mean number of requests per second; the times between requests are random.
    pub rate: f64,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The share of requests that are not idempotent, in percent.
    pub post_percent: u32,
    /// Whether requests that are not idempotent carry an idempotency key.
    pub idempotency_keys: bool,
    /// The length of the padding that each response must contain, in bytes.
    pub size: usize,
    /// The deadline that is sent with each request.
    pub deadline: Duration,
    /// The seed of the random send times, targets and choices of idempotent requests.
    pub seed: u64,
    /// The prefix of the request ids.
    pub prefix: String,
}

/// The outcome of a request as its caller observed it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObservedOutcome {
    /// A successful response with the complete and correct body.
    Whole,
    /// A successful response with a wrong body, such as a truncated one or that of another request.
    Wrong,
    /// An error status from the upstream.
    UpstreamError,
    /// A response which says that the request was not run.
    NotRun,
    /// A response which says that it is unknown whether the request was run.
    Unknown,
    /// The connection failed before the end of the response.
    Failed,
    /// No complete response within 2 s after the deadline.
    Late,
}

/// Waits until `ms` milliseconds after `start`; tests use it to inject faults at fixed times.
pub async fn sleep_until_offset(start: Instant, ms: u64) {
    sleep_until((start + Duration::from_millis(ms)).into()).await;
}

/// The observations of all requests of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The requests in the order in which they ended.
    pub requests: Vec<Observation>,
}

/// One request as its caller observed it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The id of the request.
    pub id: String,
    /// The outcome of the request.
    pub outcome: ObservedOutcome,
    /// Whether the request was idempotent.
    pub idempotent: bool,
    /// The intended send time, relative to the start of the load.
    pub send_offset: Duration,
    /// The time from the intended send time to the end of the response.
    pub latency: Duration,
}

impl Report {
    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: ObservedOutcome) -> usize {
        self.requests
            .iter()
            .filter(|r| r.outcome == outcome)
            .count()
    }

    /// Returns the ids of the requests with this outcome.
    pub fn ids(&self, outcome: ObservedOutcome) -> impl Iterator<Item = &str> {
        let matching = self.requests.iter().filter(move |r| r.outcome == outcome);
        matching.map(|r| r.id.as_str())
    }

    /// Returns the latencies of the requests with this outcome, in microseconds.
    pub fn latencies(&self, outcome: ObservedOutcome) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        for request in self.requests.iter().filter(|r| r.outcome == outcome) {
            let us = u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(us.max(1));
        }
        histogram
    }

    /// Returns the counts by outcome and the latency quantiles as one line.
    pub fn summary_line(&self) -> String {
        let whole_latencies = self.latencies(ObservedOutcome::Whole);
        let ms = |quantile| whole_latencies.value_at_quantile(quantile) as f64 / 1e3;
        let refusal_p99_ms = self
            .latencies(ObservedOutcome::NotRun)
            .value_at_quantile(0.99) as f64
            / 1e3;
        format!(
            "requests={} whole={} wrong={} upstream-error={} not-run={} unknown={} failed={} late={} \
             p50={:.3}ms p99={:.3}ms p99.9={:.3}ms refusal-p99={refusal_p99_ms:.3}ms",
            self.requests.len(),
            self.count(ObservedOutcome::Whole),
            self.count(ObservedOutcome::Wrong),
            self.count(ObservedOutcome::UpstreamError),
            self.count(ObservedOutcome::NotRun),
            self.count(ObservedOutcome::Unknown),
            self.count(ObservedOutcome::Failed),
            self.count(ObservedOutcome::Late),
            ms(0.5),
            ms(0.99),
            ms(0.999),
        )
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends the requests of a load and waits until the last one has ended.
pub async fn run(cfg: &LoadConfig) -> Report {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: HttpClient = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(5))
        .retry_canceled_requests(false)
        .build(connector);
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let start = Instant::now();
    let mut send_offset = Duration::ZERO;
    let mut calls = JoinSet::new();
    let report = Arc::new(Mutex::new(Report::default()));
    let mut number = 0u64;
    while send_offset < cfg.duration {
        sleep_until((start + send_offset).into()).await;
        let Some(target) = cfg.targets.pick(&mut rng) else {
            break;
        };
        let call = Call {
            id: format!("{}-{number}", cfg.prefix),
            target,
            idempotent: rng.random_range(0..100) >= cfg.post_percent,
            send_at: start + send_offset,
        };
        let (client, call_cfg, report) = (client.clone(), cfg.clone(), report.clone());
        calls.spawn(async move {
            let outcome = call.run(&client, &call_cfg).await;
            let latency = call.send_at.elapsed();
            let observation = Observation {
                outcome,
                latency,
                send_offset: call.send_at.duration_since(start),
                idempotent: call.idempotent,
                id: call.id,
            };
            report.lock().requests.push(observation);
        });
        number += 1;
        let gap: f64 = -rng.random_range(f64::EPSILON..1.0f64).ln() / cfg.rate;
        send_offset += Duration::from_secs_f64(gap);
    }
    calls.join_all().await;
    std::mem::take(&mut *report.lock())
}

/// One request to be sent.
struct Call {
    id: String,
    target: SocketAddr,
    idempotent: bool,
    /// The intended send time.
    send_at: Instant,
}

impl Call {
    /// Sends the request and returns its outcome.
    async fn run(&self, client: &HttpClient, cfg: &LoadConfig) -> ObservedOutcome {
        let time_limit = cfg.deadline + TIMEOUT_MARGIN;
        let Ok(request) = self.request(cfg) else {
            return ObservedOutcome::Failed;
        };
        let exchange = async {
            let response = client
                .request(request)
                .await
                .map_err(|_| ObservedOutcome::Failed)?;
            self.classify(response, cfg).await
        };
        match timeout(time_limit, exchange).await {
            Ok(Ok(outcome) | Err(outcome)) => outcome,
            Err(_) => ObservedOutcome::Late,
        }
    }

    fn request(&self, cfg: &LoadConfig) -> hyper::http::Result<Request<Full<Bytes>>> {
        let separator = if cfg.path.contains('?') { '&' } else { '?' };
        let uri = format!(
            "http://{}{}{separator}size={}",
            self.target, cfg.path, cfg.size
        );
        let (method, body) = match self.idempotent {
            true => (Method::GET, Bytes::new()),
            false => (Method::POST, Bytes::from_static(b"sent")),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("x-request-id", &self.id)
            .header(
                "marigoldbend-deadline-ms",
                cfg.deadline.as_millis().to_string(),
            );
        if cfg.idempotency_keys && !self.idempotent {
            request = request.header("idempotency-key", &self.id);
        }
        request.body(Full::new(body))
    }

    async fn classify(
        &self,
        response: Response<Incoming>,
        cfg: &LoadConfig,
    ) -> Result<ObservedOutcome, ObservedOutcome> {
        let status = response.status();
        let outcome = response.headers().get("marigoldbend-outcome").cloned();
        let body = response.into_body().collect().await;
        if let Some(outcome) = outcome {
            return Ok(match outcome.as_bytes() {
                b"not-run" => ObservedOutcome::NotRun,
                _ => ObservedOutcome::Unknown,
            });
        }
        if !status.is_success() {
            return Ok(ObservedOutcome::UpstreamError);
        }
        let body = body.map_err(|_| ObservedOutcome::Failed)?.to_bytes();
        let sent: &[u8] = if self.idempotent { b"" } else { b"sent" };
        Ok(match body == expected_body(&self.id, cfg.size, sent) {
            true => ObservedOutcome::Whole,
            false => ObservedOutcome::Wrong,
        })
    }
}
