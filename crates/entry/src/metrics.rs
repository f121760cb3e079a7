//! The metrics of an instance, in the Prometheus text format.

use {
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
        Registry, TextEncoder,
    },
    snafu::Snafu,
};

/// A result of setting up or writing metrics.
pub type Result<T, E = MetricsError> = std::result::Result<T, E>;

/// Why the metrics library could not set up or write metrics.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {source}"), context(false))]
pub struct MetricsError {
    source: prometheus::Error,
}

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Requests from callers, by outcome: `answered`, `not-run`, `unknown` or `wrong`.
    pub requests: IntCounterVec,
    /// Offers to peers by result: `answered`, `not-run` or `unknown`.
    pub offers: IntCounterVec,
    /// Retries of requests.
    pub retries: IntCounter,
    /// Time from a request's arrival to its response, in seconds.
    pub latency: Histogram,
    /// Ejections of workers.
    pub ejections: IntCounter,
    /// Datagrams that were dropped because they could not be decoded.
    pub datagrams_dropped: IntCounter,
    /// Bytes sent to peers over UDP.
    pub datagram_bytes: IntCounter,
    /// Batch tasks by event: `started`, `done`, `failed`, `evicted`, `lapsed`, `cancelled`.
    pub tasks: IntCounterVec,
    /// Whether the ownerships of this instance are confirmed: 1 or 0.
    pub confirmed: IntGauge,
    /// The version of the newest ownership row of this failure domain.
    pub row_version: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// Workers whose slots are all owned by this instance.
    pub workers_owned: IntGauge,
    /// Whether the platform answered the latest read: 1 or 0.
    pub platform_up: IntGauge,
    /// What the listeners hold, refused and closed, by name.
    limits: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics library rejects a name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let latency = HistogramOpts::new(
            "marigoldbend_request_seconds",
            "Time from arrival to response.",
        );
        let latency = Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let limits = Opts::new(
            "marigoldbend_limits",
            "What the listeners hold, refused and closed.",
        );
        let limits = IntGaugeVec::new(limits, &["name"])?;
        registry.register(Box::new(limits.clone()))?;
        Ok(Self {
            limits,
            requests: counters(
                "marigoldbend_requests_total",
                "Requests by outcome.",
                "outcome",
            )?,
            offers: counters(
                "marigoldbend_offers_total",
                "Offers to peers by result.",
                "result",
            )?,
            retries: counter("marigoldbend_retries_total", "Retries of requests.")?,
            ejections: counter("marigoldbend_ejections_total", "Ejections of workers.")?,
            datagrams_dropped: counter(
                "marigoldbend_datagrams_dropped_total",
                "Datagrams that could not be decoded.",
            )?,
            datagram_bytes: counter(
                "marigoldbend_datagram_bytes_total",
                "Bytes sent to peers over UDP.",
            )?,
            tasks: counters("marigoldbend_tasks_total", "Batch tasks by event.", "event")?,
            confirmed: gauge(
                "marigoldbend_ownership_confirmed",
                "Whether the ownerships are confirmed.",
            )?,
            row_version: gauge(
                "marigoldbend_ownership_version",
                "Version of the ownership row.",
            )?,
            config_version: gauge(
                "marigoldbend_config_version",
                "Version of the configuration in force.",
            )?,
            workers_owned: gauge(
                "marigoldbend_workers_owned",
                "Workers whose slots are all owned by this instance.",
            )?,
            platform_up: gauge(
                "marigoldbend_platform_up",
                "Whether the platform answered the latest read.",
            )?,
            latency,
            registry,
        })
    }

    /// Sets what the listeners hold, refused and closed.
    pub fn set_limits(&self, values: &[(&str, u64)]) {
        for (name, value) in values {
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            self.limits.with_label_values(&[*name]).set(value);
        }
    }

    /// Writes the metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics library can't encode them.
    pub fn encode(&self) -> Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
