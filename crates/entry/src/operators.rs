//! The HTTP interface for operators, on a separate port.

use {
    crate::{
        callers::describe,
        control::{CONFIG_KEY, Control, GetStatus, ObserveConfig},
        jobs::job_key,
        metrics::Metrics,
        router::Router,
    },
    hyper::{
        HeaderMap, Method, Request, StatusCode,
        body::Incoming,
        header::{ETAG, HeaderValue, IF_MATCH},
    },
    marigoldbend::{
        caller::request::MAX_BODY_BYTES,
        core::{
            config::{Config, VersionedConfig},
            ids::Version,
            task::Job,
        },
        http::{
            body::{BodyError, HttpResponse, json, problem, text},
            budget::Budget,
        },
        operator::client::{etag, parse_etag},
        platform::{
            table::{CommitOutcome, Table},
            wire::Commit,
        },
    },
    rand::RngExt,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    xtra::prelude::*,
};

/// How long the write of a new configuration is retried while its outcome is unknown.
const PUT_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles requests of operators.
pub struct OperatorApi {
    router: Arc<Router>,
    control: Address<Control>,
    table: Table,
    metrics: Arc<Metrics>,
    budget: Arc<Budget>,
    stop: watch::Sender<bool>,
}

impl OperatorApi {
    /// Creates the interface; sending true to `stop` shuts the instance down.
    pub fn new(
        router: Arc<Router>,
        control: Address<Control>,
        table: Table,
        metrics: Arc<Metrics>,
        budget: Arc<Budget>,
        stop: watch::Sender<bool>,
    ) -> Self {
        Self {
            router,
            control,
            table,
            metrics,
            budget,
            stop,
        }
    }

    /// Handles one request.
    pub async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let (parts, body) = req.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/livez") => text(StatusCode::OK, "live\n"),
            (&Method::GET, "/readyz") => self.readyz(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/status") => self.status().await,
            (&Method::GET, "/config") => self.get_config(),
            (&Method::PUT, "/config") => match self.budget.read(&parts, body, MAX_BODY_BYTES).await
            {
                Ok(body) => self.put_config(&parts.headers, &body).await,
                Err(e @ BodyError::Overloaded) => {
                    problem(StatusCode::SERVICE_UNAVAILABLE, &e.to_string())
                }
                Err(e @ BodyError::TooSlow) => problem(StatusCode::REQUEST_TIMEOUT, &e.to_string()),
                Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (&Method::POST, "/drain") => self.drain(),
            (&Method::GET, path) => match path.strip_prefix("/jobs/") {
                Some(id) => self.job(id).await,
                None => problem(StatusCode::NOT_FOUND, "there is nothing at this path"),
            },
            _ => problem(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }

    fn readyz(&self) -> HttpResponse {
        let directory = self.router.directory();
        let has_peers = !directory.same_domain.is_empty() || !directory.other_domains.is_empty();
        let has_slots = directory
            .pools
            .values()
            .any(|p| p.slots(std::time::Instant::now()) > 0);
        let reason = if *self.stop.borrow() {
            "the instance is shutting down"
        } else if directory.config.is_none() {
            "the instance has no configuration yet"
        } else if !has_slots && !has_peers {
            "the instance has neither worker slots nor reachable peers yet"
        } else {
            return text(StatusCode::OK, "ready\n");
        };
        problem(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    fn metrics(&self) -> HttpResponse {
        self.metrics.set_limits(&self.budget.counters().values());
        match self.metrics.encode() {
            Ok(metrics) => text(StatusCode::OK, &metrics),
            Err(e) => problem(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    async fn status(&self) -> HttpResponse {
        match self.control.send(GetStatus).await {
            Ok(status) => json(StatusCode::OK, &status),
            Err(_) => problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "the instance is shutting down",
            ),
        }
    }

    fn get_config(&self) -> HttpResponse {
        let directory = self.router.directory();
        match &directory.config {
            Some(current) => {
                let response = json(StatusCode::OK, &*current.config);
                with_etag(response, current.version)
            }
            None => problem(
                StatusCode::NOT_FOUND,
                "the instance has no configuration yet",
            ),
        }
    }

    async fn put_config(&self, headers: &HeaderMap, body: &[u8]) -> HttpResponse {
        let Some(if_match) = headers.get(IF_MATCH) else {
            let detail = "If-Match: the header is missing; expected the version to replace, or \"0\" for the first configuration";
            return problem(StatusCode::PRECONDITION_REQUIRED, detail);
        };
        let Some(expected) = if_match.to_str().ok().and_then(parse_etag) else {
            return problem(StatusCode::BAD_REQUEST, "If-Match: expected one entity tag");
        };
        let config: Config = match serde_json::from_slice(body) {
            Ok(config) => config,
            Err(e) if e.is_data() => {
                return problem(StatusCode::UNPROCESSABLE_ENTITY, &e.to_string());
            }
            Err(e) => return problem(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        if let Err(e) = config.check() {
            return problem(StatusCode::UNPROCESSABLE_ENTITY, &e.to_string());
        }
        self.commit_config(expected, config).await
    }

    async fn commit_config(&self, expected: Version, config: Config) -> HttpResponse {
        let op = format!("config-{:032x}", rand::rng().random::<u128>());
        let commit = Commit::new(op).write(CONFIG_KEY, expected, json!(config));
        match self.table.commit_until_known(&commit, PUT_TIMEOUT).await {
            Ok(CommitOutcome::Applied) => {
                let version = Version(expected.0 + 1);
                log::info!("config: an operator wrote configuration {version}.");
                let config = Arc::new(config);
                // The control actor ends only with the process. If the send fails, the
                // configuration is written nevertheless.
                let _ = self
                    .control
                    .send(ObserveConfig(VersionedConfig { version, config }))
                    .await;
                with_etag(
                    json(StatusCode::OK, &json!({ "version": version })),
                    version,
                )
            }
            Ok(CommitOutcome::Conflict(_)) => {
                let detail = format!("the configuration is no longer at version {}", expected.0);
                problem(StatusCode::PRECONDITION_FAILED, &detail)
            }
            Ok(CommitOutcome::Superseded) => {
                let detail = "it is unknown whether this configuration was written: the reply was lost, and another write has replaced the configuration since; read the configuration again";
                problem(StatusCode::BAD_GATEWAY, detail)
            }
            Err(e) if e.is_unwritten() => problem(
                StatusCode::SERVICE_UNAVAILABLE,
                &format!("the configuration was not written: {e}"),
            ),
            Err(e) => problem(
                StatusCode::BAD_GATEWAY,
                &format!("it is unknown whether the configuration was written: {e}"),
            ),
        }
    }

    fn drain(&self) -> HttpResponse {
        log::info!("entry: an operator requested a drain.");
        self.stop.send_replace(true);
        json(StatusCode::ACCEPTED, &json!({ "draining": true }))
    }

    async fn job(&self, id: &str) -> HttpResponse {
        match self.table.read(&job_key(id)).await {
            Ok(row) => match serde_json::from_value::<Job>(row.value) {
                Ok(job) => json(StatusCode::OK, &describe(&job)),
                Err(_) => problem(StatusCode::NOT_FOUND, "there is no such job"),
            },
            Err(e) => problem(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        }
    }
}

fn with_etag(mut response: HttpResponse, version: Version) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&etag(version)) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}
