//! Callers: an open-loop load with latencies from the intended send time.

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

/// How long a caller waits beyond the deadline that it grants.
const CALLER_MARGIN: Duration = Duration::from_secs(2);

/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Where callers' requests go, with a weight each; it may change while a load runs, as a
/// balancer's targets do.
#[derive(Clone, Debug, Default)]
pub struct Targets(Arc<Mutex<Vec<(SocketAddr, u32)>>>);

impl Targets {
    /// Creates targets with equal weights.
    pub fn even(targets: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self::weighted(targets.into_iter().map(|t| (t, 1)))
    }

    /// Creates targets with their weights.
    pub fn weighted(targets: impl IntoIterator<Item = (SocketAddr, u32)>) -> Self {
        Self(Arc::new(Mutex::new(targets.into_iter().collect())))
    }

    /// Adds a target.
    pub fn add(&self, target: SocketAddr) {
        self.0.lock().push((target, 1));
    }

    /// Removes a target.
    pub fn remove(&self, target: SocketAddr) {
        self.0.lock().retain(|(t, _)| *t != target);
    }

    /// Returns the targets.
    pub fn list(&self) -> Vec<SocketAddr> {
        self.0.lock().iter().map(|(t, _)| *t).collect()
    }

    fn pick(&self, rng: &mut StdRng) -> Option<SocketAddr> {
        let targets = self.0.lock();
        let total: u32 = targets.iter().map(|(_, weight)| weight).sum();
        let mut left = rng.random_range(0..total.max(1));
        for (target, weight) in targets.iter() {
            if left < *weight {
                return Some(*target);
            }
            left -= weight;
        }
        None
    }
}

/// The load that callers make.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Where the requests go.
    pub targets: Targets,
    /// The path of each request, such as `/services/inspection/check`.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// How long the load lasts.
    pub duration: Duration,
    /// The share of requests that are not idempotent, in percent.
    pub post_percent: u32,
    /// Whether requests that are not idempotent carry a key.
    pub idempotency_keys: bool,
    /// The length of the filler that each answer is asked for, in bytes.
    pub size: usize,
    /// The deadline that callers grant.
    pub deadline: Duration,
    /// The seed of the arrival times and the mix.
    pub seed: u64,
    /// Begins the names of the requests.
    pub prefix: String,
}

/// What one caller saw.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObservedOutcome {
    /// The whole answer to its own request.
    Whole,
    /// An answer that was short, of another request, or otherwise wrong.
    Wrong,
    /// An upstream's error.
    UpstreamError,
    /// A refusal that says it was not run.
    NotRun,
    /// The word that the outcome is unknown.
    Unknown,
    /// The connection failed.
    Failed,
    /// No answer in time.
    Late,
}

/// Waits for a moment of a schedule, in milliseconds since its start; faults are injected at
/// such moments.
pub async fn sleep_until_offset(start: Instant, ms: u64) {
    sleep_until((start + Duration::from_millis(ms)).into()).await;
}

/// The requests by what their callers saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Every request with what was seen, whether it was idempotent, and its latency.
    pub requests: Vec<Observation>,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The request's name.
    pub id: String,
    /// What was seen.
    pub outcome: ObservedOutcome,
    /// Whether it was idempotent.
    pub idempotent: bool,
    /// When it was to be sent, since the load began.
    pub send_offset: Duration,
    /// From the intended send time to the end of the answer.
    pub latency: Duration,
}

impl Report {
    /// Returns how many requests ended in this way.
    pub fn count(&self, outcome: ObservedOutcome) -> usize {
        self.requests
            .iter()
            .filter(|r| r.outcome == outcome)
            .count()
    }

    /// Returns the names of the requests that ended in this way.
    pub fn ids(&self, outcome: ObservedOutcome) -> impl Iterator<Item = &str> {
        let chosen = self.requests.iter().filter(move |r| r.outcome == outcome);
        chosen.map(|r| r.id.as_str())
    }

    /// Returns the latencies of the requests that ended in this way, in microseconds.
    pub fn latencies(&self, outcome: ObservedOutcome) -> Histogram<u64> {
        let mut histogram =
            Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
        for request in self.requests.iter().filter(|r| r.outcome == outcome) {
            let us = u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(us.max(1));
        }
        histogram
    }

    /// Summarises the report in one line.
    pub fn summary_line(&self) -> String {
        let whole = self.latencies(ObservedOutcome::Whole);
        let ms = |quantile| whole.value_at_quantile(quantile) as f64 / 1e3;
        let refused = self
            .latencies(ObservedOutcome::NotRun)
            .value_at_quantile(0.99) as f64
            / 1e3;
        format!(
            "requests={} whole={} wrong={} upstream-error={} not-run={} unknown={} failed={} late={} \
             p50={:.3}ms p99={:.3}ms p99.9={:.3}ms refusal-p99={refused:.3}ms",
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

/// Makes the load and waits for the last answer.
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
    let mut at = Duration::ZERO;
    let mut calls = JoinSet::new();
    let report = Arc::new(Mutex::new(Report::default()));
    let mut number = 0u64;
    while at < cfg.duration {
        sleep_until((start + at).into()).await;
        let Some(target) = cfg.targets.pick(&mut rng) else {
            break;
        };
        let call = Call {
            id: format!("{}-{number}", cfg.prefix),
            target,
            idempotent: rng.random_range(0..100) >= cfg.post_percent,
            intended: start + at,
        };
        let (client, shape, report) = (client.clone(), cfg.clone(), report.clone());
        calls.spawn(async move {
            let outcome = call.run(&client, &shape).await;
            let latency = call.intended.elapsed();
            let observation = Observation {
                outcome,
                latency,
                send_offset: call.intended.duration_since(start),
                idempotent: call.idempotent,
                id: call.id,
            };
            report.lock().requests.push(observation);
        });
        number += 1;
        let gap: f64 = -rng.random_range(f64::EPSILON..1.0f64).ln() / cfg.rate;
        at += Duration::from_secs_f64(gap);
    }
    calls.join_all().await;
    std::mem::take(&mut *report.lock())
}

struct Call {
    id: String,
    target: SocketAddr,
    idempotent: bool,
    intended: Instant,
}

impl Call {
    async fn run(&self, client: &HttpClient, cfg: &LoadConfig) -> ObservedOutcome {
        let limit = cfg.deadline + CALLER_MARGIN;
        let Ok(request) = self.request(cfg) else {
            return ObservedOutcome::Failed;
        };
        let exchange = async {
            let response = client
                .request(request)
                .await
                .map_err(|_| ObservedOutcome::Failed)?;
            self.judge(response, cfg).await
        };
        match timeout(limit, exchange).await {
            Ok(Ok(outcome) | Err(outcome)) => outcome,
            Err(_) => ObservedOutcome::Late,
        }
    }

    fn request(&self, cfg: &LoadConfig) -> hyper::http::Result<Request<Full<Bytes>>> {
        let joint = if cfg.path.contains('?') { '&' } else { '?' };
        let uri = format!("http://{}{}{joint}size={}", self.target, cfg.path, cfg.size);
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

    async fn judge(
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
