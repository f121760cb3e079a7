//! The HTTP interface for callers: requests to services, and jobs.

use {
    crate::{
        idempotency::IdempotencyRouter,
        jobs::{self, Jobs, SubmitOutcome, inbox_key, job_key},
        metrics::Metrics,
        router::Router,
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, StatusCode, Uri,
        body::Incoming,
        header::{HeaderValue, LOCATION},
    },
    marigoldbend::{
        caller::{
            request::{MAX_BODY_BYTES, RequestError, ServiceRequest, read_job},
            response,
        },
        core::{
            ids::Version,
            task::{Job, Phase},
        },
        http::{
            body::{BodyError, HttpResponse, json},
            budget::Budget,
        },
        platform::{
            table::{CommitOutcome, Table},
            wire::Commit,
        },
    },
    rand::RngExt,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
    xtra::prelude::*,
};

/// How long the submission of a job waits until the job is stored.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long one write of a cancellation is retried while its outcome is unknown.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of tries to write a cancellation; a try fails if the job's row or the inbox
/// row of its home has changed since it was read.
const MAX_CANCEL_TRIES: usize = 8;

/// Handles requests of callers.
pub struct CallerApi {
    router: Arc<Router>,
    idempotency: IdempotencyRouter,
    table: Table,
    jobs: Address<Jobs>,
    metrics: Arc<Metrics>,
    budget: Arc<Budget>,
}

impl CallerApi {
    /// Creates the interface; `table` is the platform's table, which holds the rows of jobs.
    pub fn new(
        router: Arc<Router>,
        idempotency: IdempotencyRouter,
        table: Table,
        jobs: Address<Jobs>,
        metrics: Arc<Metrics>,
        budget: Arc<Budget>,
    ) -> Self {
        Self {
            router,
            idempotency,
            table,
            jobs,
            metrics,
            budget,
        }
    }

    /// Handles one request.
    pub async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let (parts, body) = req.into_parts();
        let body = match self.budget.read(&parts, body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(e @ BodyError::Overloaded) => return response::unavailable(&e.to_string()),
            Err(e) => {
                let status = match e {
                    BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                    BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
                    BodyError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
                    BodyError::Truncated => StatusCode::BAD_REQUEST,
                };
                return self.reject(status, &e.to_string());
            }
        };
        if parts.uri.path() == "/jobs" {
            return self.submit_job(&parts.method, &body).await;
        }
        if let Some(id) = parts.uri.path().strip_prefix("/jobs/") {
            return self.handle_job_request(&parts.method, id).await;
        }
        self.handle_service_request(&parts.method, &parts.uri, &parts.headers, body)
            .await
    }

    fn reject(&self, status: StatusCode, reason: &str) -> HttpResponse {
        self.metrics.requests.with_label_values(&["wrong"]).inc();
        response::invalid_request(status, reason)
    }

    fn reject_error(&self, error: &RequestError) -> HttpResponse {
        self.reject(error.status(), &error.to_string())
    }

    async fn handle_service_request(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> HttpResponse {
        let req = match ServiceRequest::read(method, uri, headers, body) {
            Ok(Some(req)) => req,
            Ok(None) => return self.reject(StatusCode::NOT_FOUND, "there is nothing at this path"),
            Err(e) => return self.reject_error(&e),
        };
        if self.is_unknown_service(&req.service) {
            let reason = format!("service {:?} does not exist", req.service);
            return self.reject(StatusCode::NOT_FOUND, &reason);
        }
        let id = request_id(headers);
        let outcome = match &req.idempotency_key {
            Some(key) => self.idempotency.route(&id, &req, key).await,
            None => self.router.route(&id, &req).await,
        };
        outcome.into_response()
    }

    /// Returns whether the configuration in force does not list `service`; false while there is no
    /// configuration.
    fn is_unknown_service(&self, service: &str) -> bool {
        let directory = self.router.directory();
        let config = directory.config.as_ref();
        config.is_some_and(|c| !c.config.services.contains_key(service))
    }

    async fn submit_job(&self, method: &Method, body: &[u8]) -> HttpResponse {
        if method != Method::POST {
            return self.reject(StatusCode::METHOD_NOT_ALLOWED, "jobs are created with POST");
        }
        let spec = match read_job(body) {
            Ok(spec) => spec,
            Err(e) => return self.reject_error(&e),
        };
        let directory = self.router.directory();
        let Some(config) = &directory.config else {
            return response::unavailable("the instance has no configuration yet");
        };
        if !config.config.classes.contains_key(&spec.class) {
            let reason = format!("class: {:?} is not in the configuration", spec.class);
            return self.reject(StatusCode::UNPROCESSABLE_ENTITY, &reason);
        }
        if !config.config.teams.contains_key(&spec.team) {
            let reason = format!("team: {:?} is not in the configuration", spec.team);
            return self.reject(StatusCode::UNPROCESSABLE_ENTITY, &reason);
        }
        let (reply, rx) = oneshot::channel();
        let submit = jobs::Submit { spec, reply };
        if self.jobs.send(submit).await.is_err() {
            return response::unavailable("the instance is shutting down");
        }
        match timeout(SUBMIT_TIMEOUT, rx).await {
            Ok(Ok(SubmitOutcome::Accepted(id))) => accepted(&id),
            Ok(Ok(SubmitOutcome::Refused(reason))) => response::unavailable(&reason),
            Ok(Ok(SubmitOutcome::Unknown(id))) => {
                response::outcome_unknown(&format!("job {id} may have been accepted"))
            }
            Ok(Err(_)) | Err(_) => response::deadline_exceeded("the job may have been accepted"),
        }
    }

    async fn handle_job_request(&self, method: &Method, id: &str) -> HttpResponse {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if id.is_empty() || id.len() > 64 || !id.chars().all(is_allowed) {
            return self.reject(StatusCode::NOT_FOUND, "there is no such job");
        }
        match *method {
            Method::GET => self.get_job(id).await,
            Method::DELETE => self.cancel_job(id).await,
            _ => self.reject(
                StatusCode::METHOD_NOT_ALLOWED,
                "a job supports GET and DELETE",
            ),
        }
    }

    async fn get_job(&self, id: &str) -> HttpResponse {
        match self.load_job(id).await {
            Ok(Some((_, job))) => json(StatusCode::OK, &describe(&job)),
            Ok(None) => self.reject(StatusCode::NOT_FOUND, "there is no such job"),
            Err(reason) => response::unavailable(&reason),
        }
    }

    /// Reads a job and the version of its row; `None` if the job does not exist.
    async fn load_job(&self, id: &str) -> Result<Option<(Version, Job)>, String> {
        let row = self.table.read(&job_key(id)).await;
        let row = row.map_err(|e| e.to_string())?;
        if row.version == Version(0) {
            return Ok(None);
        }
        let job = serde_json::from_value(row.value).map_err(|e| e.to_string())?;
        Ok(Some((row.version, job)))
    }

    /// Marks a job as cancelled in its row, and notifies its home, the instance that coordinates
    /// the job.
    async fn cancel_job(&self, id: &str) -> HttpResponse {
        for _ in 0..MAX_CANCEL_TRIES {
            let (version, mut job) = match self.load_job(id).await {
                Ok(Some(stored)) => stored,
                Ok(None) => return self.reject(StatusCode::NOT_FOUND, "there is no such job"),
                Err(reason) => return response::unavailable(&reason),
            };
            if job.is_final() || job.cancelled {
                return json(StatusCode::OK, &describe(&job));
            }
            job.cancelled = true;
            match self.write_cancel(id, version, &job).await {
                Ok(CommitOutcome::Applied) => {
                    log::info!("place: job={id} cancelled by its caller.");
                    // This has no effect if another instance is the job's home; that instance reads
                    // the cancellation from its inbox row.
                    let _ = self.jobs.send(jobs::Cancel(id.to_owned())).await;
                    return json(StatusCode::ACCEPTED, &describe(&job));
                }
                Ok(_) => {}
                Err(e) if e.is_unwritten() => return response::unavailable(&e.to_string()),
                Err(e) => return response::outcome_unknown(&e.to_string()),
            }
        }
        response::unavailable("the cancellation conflicts with other writes; try again")
    }

    /// Writes the row of a cancelled job and adds the job's id to the inbox row of its home, in one
    /// transaction. The home reads its inbox row regularly.
    ///
    /// `version` is the version of the job's row that `job` was read from.
    async fn write_cancel(
        &self,
        id: &str,
        version: Version,
        job: &Job,
    ) -> Result<CommitOutcome, marigoldbend::platform::table::TableError> {
        let key = inbox_key(job.home);
        let inbox = self.table.read(&key).await?;
        let mut cancelled: Vec<Value> = match &inbox.value["cancelled"] {
            Value::Array(ids) => ids.clone(),
            _ => Vec::new(),
        };
        cancelled.push(json!(id));
        let op = format!("cancel-{:032x}", rand::rng().random::<u128>());
        let commit = Commit::new(op)
            .write(job_key(id), version, json!(job))
            .write(key, inbox.version, json!({ "cancelled": cancelled }));
        self.table.commit_until_known(&commit, CANCEL_TIMEOUT).await
    }
}

fn accepted(id: &str) -> HttpResponse {
    let mut response = json(StatusCode::ACCEPTED, &json!({ "id": id }));
    if let Ok(location) = HeaderValue::from_str(&format!("/jobs/{id}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

/// Returns the request id from the caller's header, or a random one if the header is missing or
/// not valid.
fn request_id(headers: &HeaderMap) -> String {
    const MAX_ID_LEN: usize = 64;
    let is_allowed = |c: char| c.is_ascii_graphic();
    let header = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    match header {
        Some(id) if id.len() <= MAX_ID_LEN && id.chars().all(is_allowed) => id.to_owned(),
        _ => format!("{:016x}", rand::rng().random::<u64>()),
    }
}

/// Describes a job as JSON, for callers and operators.
pub fn describe(job: &Job) -> Value {
    let tasks: Vec<Value> = job.tasks.iter().map(describe_task).collect();
    let state = if job.is_final() {
        let has_task_in = |phase| job.tasks.iter().any(|t| t.phase == phase);
        match (has_task_in(Phase::Parked), has_task_in(Phase::Cancelled)) {
            (true, _) => "parked",
            (_, true) => "cancelled",
            _ => "done",
        }
    } else if job.cancelled {
        "cancelling"
    } else if job
        .tasks
        .iter()
        .any(|t| matches!(t.phase, Phase::Claimed { .. }))
    {
        "running"
    } else {
        "queued"
    };
    json!({ "id": job.id, "state": state, "spec": job.spec, "tasks": tasks })
}

fn describe_task(task: &marigoldbend::core::task::Task) -> Value {
    let (state, worker) = match task.phase {
        Phase::Queued => ("queued", None),
        Phase::Claimed { worker, .. } => ("running", Some(worker)),
        Phase::Done => ("done", None),
        Phase::Cancelled => ("cancelled", None),
        Phase::Parked => ("parked", None),
    };
    json!({
        "state": state,
        "worker": worker,
        "attempt": task.attempt,
        "progress_ms": task.progress_ms,
        "failures": task.failures,
        "evictions": task.evictions,
        "reason": task.reason,
    })
}
