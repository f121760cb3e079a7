//! Parsing and checking of callers' requests to services, and of submitted jobs.

use {
    crate::headers::{DEADLINE_MS, IDEMPOTENCY_KEY, strip_hop_by_hop},
    bytes::Bytes,
    hyper::{HeaderMap, Method, StatusCode, Uri, header::HeaderName},
    marigoldbend_core::task::JobSpec,
    snafu::Snafu,
    std::time::Duration,
};

/// The maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// The maximum length of an `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The maximum number of tasks in one job.
const MAX_TASKS: u32 = 1_000;

/// The maximum running time that a job may declare for a task: one week, in milliseconds.
const MAX_RUN_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// A result of parsing a request.
pub type Result<T, E = RequestError> = std::result::Result<T, E>;

/// Why a request is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{problem}"))]
pub struct RequestError {
    status: StatusCode,
    problem: String,
}

impl RequestError {
    /// Returns the HTTP status of the response to the invalid request.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    fn new(status: StatusCode, problem: impl Into<String>) -> Self {
        let problem = problem.into();
        Self { status, problem }
    }
}

/// A request to a service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The name of the service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// The path and query of the request to the upstream.
    pub target: String,
    /// The header fields to send to the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's time limit; `None` if the request sets none.
    pub deadline: Option<Duration>,
    /// The `Idempotency-Key`; `None` if the request has none or its method is idempotent.
    pub idempotency_key: Option<String>,
}

impl ServiceRequest {
    /// Parses a request; returns `None` if its path is not below `/services/`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid header field.
    pub fn read(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Option<Self>> {
        let Some(rest) = uri.path().strip_prefix("/services/") else {
            return Ok(None);
        };
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let target = match uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let mut forwarded = headers.clone();
        strip_hop_by_hop(&mut forwarded);
        forwarded.remove(DEADLINE_MS);
        Ok(Some(Self {
            service: service.to_owned(),
            method: method.clone(),
            target,
            headers: forwarded,
            body,
            deadline: read_deadline(headers)?,
            idempotency_key: read_key(method, headers)?,
        }))
    }

    /// Returns whether the request may safely be run more than once.
    pub fn is_idempotent(&self) -> bool {
        is_idempotent(&self.method)
    }
}

/// Returns whether a method is idempotent according to RFC 9110, section 9.2.2.
pub fn is_idempotent(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
        Method::TRACE,
    ]
    .contains(method)
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(value) = single_value(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let ms = value.parse::<u64>().ok().filter(|&ms| ms > 0);
    let ms = ms.ok_or_else(|| {
        let problem =
            format!("{DEADLINE_MS}: {value:?} is not a positive whole number of milliseconds");
        RequestError::new(StatusCode::BAD_REQUEST, problem)
    })?;
    Ok(Some(Duration::from_millis(ms)))
}

fn read_key(method: &Method, headers: &HeaderMap) -> Result<Option<String>> {
    if is_idempotent(method) {
        return Ok(None);
    }
    let Some(value) = single_value(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let problem = format!("{IDEMPOTENCY_KEY}: the key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(RequestError::new(StatusCode::BAD_REQUEST, problem));
    }
    Ok(Some(value.to_owned()))
}

fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let invalid =
        |problem| RequestError::new(StatusCode::BAD_REQUEST, format!("{name}: {problem}"));
    if values.next().is_some() {
        return Err(invalid("the field is given more than once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| invalid("the value is not visible ASCII text"))
}

/// Parses and checks the body of `POST /jobs`.
///
/// # Errors
///
/// Returns an error that names the invalid field.
pub fn read_job(body: &[u8]) -> Result<JobSpec> {
    let unprocessable =
        |problem: String| RequestError::new(StatusCode::UNPROCESSABLE_ENTITY, problem);
    let spec: JobSpec = serde_json::from_slice(body).map_err(|e| {
        let status = match e.classify() {
            serde_json::error::Category::Data => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::BAD_REQUEST,
        };
        RequestError::new(status, e.to_string())
    })?;
    if !(1..=MAX_TASKS).contains(&spec.tasks) {
        let problem = format!("tasks: {} is not within 1 to {MAX_TASKS}", spec.tasks);
        return Err(unprocessable(problem));
    }
    if !(1..=MAX_RUN_MS).contains(&spec.run_ms) {
        let problem = format!("run_ms: {} is not within 1 to {MAX_RUN_MS}", spec.run_ms);
        return Err(unprocessable(problem));
    }
    Ok(spec)
}
