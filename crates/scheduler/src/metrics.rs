//! Counters and latencies for operators, in the Prometheus text format.

use {
    marigoldbend_core::sched::shard::{Summary, Waiting, WorkKind},
    marigoldbend_platform::store::Store,
    prometheus::{
        Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
        IntGaugeVec, Opts, Registry, TextEncoder,
    },
    snafu::Snafu,
    std::sync::atomic::Ordering,
};

/// A result of setting up or writing metrics.
pub type Result<T, E = MetricsError> = std::result::Result<T, E>;

/// Why metrics could not be set up or written.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {source}"), context(false))]
pub struct MetricsError {
    source: prometheus::Error,
}

/// Latency buckets, in seconds.
const BUCKETS: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0];

/// Buckets for the parts of takeovers, in seconds.
const TAKEOVER_BUCKETS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0,
];

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Callers' requests, by call and HTTP status.
    pub requests: IntCounterVec,
    /// Jobs that would end too late by the outlook, by kind of work and what was done: refused,
    /// stored before, or stored because it is not known whether they were.
    pub admission: IntCounterVec,
    /// Time from a request to its response, by call, in seconds.
    pub latency: HistogramVec,
    /// Commands to workers, by kind and reply.
    pub commands: IntCounterVec,
    /// Time from sending a command to the worker's reply, in seconds.
    pub command_latency: Histogram,
    /// Time that events wait for the control thread, in seconds.
    pub event_wait: Histogram,
    /// Report requests to workers, by result.
    pub reports: IntCounterVec,
    /// Requests for loans at a leader, by result.
    pub loans: IntCounterVec,
    /// Calls to workers under a loan, by result.
    pub deputy_calls: IntCounterVec,
    /// Losses in led shards: runs, crashes under tasks, tasks that were given up, and restarts of workers.
    pub losses: IntCounterVec,
    /// What was done about uneven runs and workers in led shards: stuck runs stopped, workers ejected
    /// or not because too many were, and second runs.
    pub reactions: IntCounterVec,
    /// Workers of led shards that get no work or come last because of what their runs have shown.
    pub suspect_workers: IntGaugeVec,
    /// Waiting work in led shards, by kind of work and unit: jobs, those that are too late, tasks,
    /// those that ran before, thousandths of a core, and the age of the oldest job in milliseconds.
    pub waiting: IntGaugeVec,
    /// How many tasks with the largest waiting request of a kind fit now in led shards, by kind.
    pub places: IntGaugeVec,
    /// CPU of the workers of led shards, by use, in thousandths of a core.
    pub cpu: IntGaugeVec,
    /// Long-running tasks that led shards stopped for short work: those that don't run again yet, and
    /// all since the takeover.
    pub displacements: IntGaugeVec,
    /// Time from the start of a takeover by this instance to the end of each of its parts, in
    /// seconds.
    pub takeover: HistogramVec,
    /// Shards that this instance leads.
    pub led_shards: IntGauge,
    /// The version of the configuration in force; 0 before the first.
    pub config_version: IntGauge,
    /// Time since the store certainly had no newer configuration, in seconds.
    pub config_age: Gauge,
    /// Calls to the store, by kind.
    pub store_calls: IntGaugeVec,
    /// Log lines that were dropped because the output was too slow.
    pub log_dropped: IntGauge,
    /// What the listeners hold, refused and closed, by name.
    limits: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns the library's error.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let requests = counters("mgb_requests", "Callers' requests.", &["call", "status"])?;
        let admission = counters(
            "mgb_admission",
            "Jobs that would end too late.",
            &["kind", "result"],
        )?;
        let commands = counters("mgb_orders", "Commands to workers.", &["kind", "answer"])?;
        let reports = counters("mgb_reports", "Report requests to workers.", &["result"])?;
        let loans = counters("mgb_loans", "Requests for loans.", &["result"])?;
        let deputy_calls = counters(
            "mgb_deputy_calls",
            "Calls to workers in place of a silent leader.",
            &["result"],
        )?;
        let losses = counters("mgb_losses", "Runs lost with their workers.", &["kind"])?;
        let help = "What was done about uneven runs and workers.";
        let reactions = counters("mgb_reactions", help, &["kind"])?;
        let buckets = BUCKETS.to_vec();
        let opts = HistogramOpts::new("mgb_request_seconds", "Time to the response.");
        let latency = HistogramVec::new(opts.buckets(buckets.clone()), &["call"])?;
        registry.register(Box::new(latency.clone()))?;
        let opts = HistogramOpts::new("mgb_order_seconds", "Time to a worker's reply.");
        let command_latency = Histogram::with_opts(opts.buckets(buckets))?;
        registry.register(Box::new(command_latency.clone()))?;
        let opts = HistogramOpts::new(
            "mgb_event_wait_seconds",
            "Time that events wait for the control thread.",
        );
        let event_wait = Histogram::with_opts(opts.buckets(BUCKETS.to_vec()))?;
        registry.register(Box::new(event_wait.clone()))?;
        let opts = HistogramOpts::new(
            "mgb_takeover_seconds",
            "Time from the start of a takeover to the end of a part.",
        );
        let takeover = HistogramVec::new(opts.buckets(TAKEOVER_BUCKETS.to_vec()), &["part"])?;
        registry.register(Box::new(takeover.clone()))?;
        let gauges = |name: &str, help: &str, labels: &[&str]| -> Result<IntGaugeVec> {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok(gauges)
        };
        let waiting = gauges("mgb_waiting", "Work that waits.", &["kind", "unit"])?;
        let places = gauges(
            "mgb_places",
            "Free places for the largest request that waits.",
            &["kind"],
        )?;
        let cpu = gauges("mgb_cpu", "CPU of the workers, in m cores.", &["use"])?;
        let displacements = gauges(
            "mgb_displacements",
            "Long-running tasks stopped for short work.",
            &["count"],
        )?;
        let suspect_workers = gauges(
            "mgb_suspect_workers",
            "Workers that get no work or come last because of their runs.",
            &["state"],
        )?;
        let led_shards = IntGauge::new("mgb_leads", "Shards led by this instance.")?;
        registry.register(Box::new(led_shards.clone()))?;
        let config_version = IntGauge::new(
            "mgb_config_version",
            "The version of the configuration in force.",
        )?;
        registry.register(Box::new(config_version.clone()))?;
        let config_age = Gauge::new(
            "mgb_config_age_seconds",
            "Time since the store certainly had no newer configuration.",
        )?;
        registry.register(Box::new(config_age.clone()))?;
        let store_calls = gauges("mgb_store_calls", "Calls to the store.", &["kind"])?;
        let limits = gauges(
            "mgb_limits",
            "What the listeners hold, refused and closed.",
            &["name"],
        )?;
        let log_dropped = IntGauge::new(
            "mgb_log_lines_dropped",
            "Log lines dropped because the output was too slow.",
        )?;
        registry.register(Box::new(log_dropped.clone()))?;
        Ok(Self {
            registry,
            requests,
            admission,
            latency,
            commands,
            command_latency,
            event_wait,
            reports,
            loans,
            deputy_calls,
            losses,
            reactions,
            suspect_workers,
            waiting,
            places,
            cpu,
            displacements,
            takeover,
            led_shards,
            config_version,
            config_age,
            store_calls,
            log_dropped,
            limits,
        })
    }

    /// Sets the gauges of the led shards; `summaries` has one element for each.
    pub fn set_summaries(&self, summaries: &[Summary]) {
        for (i, kind) in WorkKind::ALL.iter().enumerate() {
            let waiting = summaries.iter().map(|s| &s.waiting[i]);
            let sum = |value: fn(&Waiting) -> i64| waiting.clone().map(value).sum::<i64>();
            let oldest_ms = waiting.clone().map(|w| w.oldest.as_millis()).max();
            let values = [
                ("jobs", sum(|w| w.jobs.into())),
                ("too_late_jobs", sum(|w| w.too_late_jobs.into())),
                ("tasks", sum(|w| w.tasks.into())),
                ("displaced_tasks", sum(|w| w.displaced_tasks.into())),
                ("cpu", sum(|w| w.cpu)),
                ("oldest_ms", oldest_ms.unwrap_or(0) as i64),
            ];
            for (unit, value) in values {
                self.waiting
                    .with_label_values(&[kind.name(), unit])
                    .set(value);
            }
            let places = summaries.iter().map(|s| s.places[i]).sum();
            self.places.with_label_values(&[kind.name()]).set(places);
        }
        let sum = |value: fn(&Summary) -> i64| summaries.iter().map(value).sum::<i64>();
        let values = [
            ("capacity", sum(|s| s.capacity_cpu)),
            ("free", sum(|s| s.free_cpu)),
            ("long", sum(|s| s.long_running_cpu)),
            ("fill", sum(|s| s.best_effort_used as i64)),
        ];
        for (name, value) in values {
            self.cpu.with_label_values(&[name]).set(value);
        }
        let values = [
            ("away", sum(|s| s.displaced_for_short as i64)),
            ("total", sum(|s| s.displacements as i64)),
        ];
        for (name, value) in values {
            self.displacements.with_label_values(&[name]).set(value);
        }
        let values = [
            ("ejected", sum(|s| s.ejected_workers as i64)),
            ("slow", sum(|s| s.slow_workers as i64)),
        ];
        for (state, value) in values {
            self.suspect_workers.with_label_values(&[state]).set(value);
        }
    }

    /// Sets what the listeners hold, refused and closed.
    pub fn set_limits(&self, values: &[(&str, u64)]) {
        for (name, value) in values {
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            self.limits.with_label_values(&[*name]).set(value);
        }
    }

    /// Writes the metrics as text.
    ///
    /// # Errors
    ///
    /// Returns the library's error.
    pub fn text(&self, store: &Store) -> Result<String> {
        let counters = store.counters();
        let kinds = [
            ("writes", &counters.writes),
            ("reads", &counters.reads),
            ("failures", &counters.failures),
            ("overloaded", &counters.overloaded),
            ("unavailable", &counters.unavailable),
            ("unanswered", &counters.unanswered),
        ];
        for (kind, counter) in kinds {
            let value = i64::try_from(counter.load(Ordering::Relaxed)).unwrap_or(i64::MAX);
            self.store_calls.with_label_values(&[kind]).set(value);
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
