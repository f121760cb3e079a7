//! What a caller's request asks for.

use {
    crate::headers::{DEADLINE_MS, IDEMPOTENCY_KEY, strip_hop_by_hop},
    bytes::Bytes,
    hyper::{HeaderMap, Method, StatusCode, Uri, header::HeaderName},
    marigoldbend_core::task::JobSpec,
    snafu::Snafu,
    std::time::Duration,
};

/// The longest body of a request, in bytes.
pub const BODY_LIMIT: usize = 1 << 20;

/// The longest `Idempotency-Key`, in bytes.
const KEY_LIMIT: usize = 256;

/// The most tasks of one job.
const MOST_TASKS: u32 = 1_000;

/// The longest declared running time of a task, in milliseconds: a week.
const LONGEST_RUN_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// A result of reading a request.
pub type Result<T, E = RequestError> = std::result::Result<T, E>;

/// A request that is wrong in itself.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{problem}"))]
pub struct RequestError {
    status: StatusCode,
    problem: String,
}

impl RequestError {
    /// Returns the status to answer with.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    fn new(status: StatusCode, problem: impl Into<String>) -> Self {
        let problem = problem.into();
        Self { status, problem }
    }
}

/// A request for a service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// The path and query for the upstream.
    pub target: String,
    /// The header fields that go to the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The time that the caller grants, if it says so.
    pub deadline: Option<Duration>,
    /// The key that names a non-idempotent request.
    pub idempotency_key: Option<String>,
}

impl ServiceRequest {
    /// Reads a request; `None` if its path is not that of a service.
    ///
    /// # Errors
    ///
    /// Returns an error that names the header field which is wrong.
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
        let mut passed = headers.clone();
        strip_hop_by_hop(&mut passed);
        passed.remove(DEADLINE_MS);
        Ok(Some(Self {
            service: service.to_owned(),
            method: method.clone(),
            target,
            headers: passed,
            body,
            deadline: read_deadline(headers)?,
            idempotency_key: read_key(method, headers)?,
        }))
    }

    /// Returns whether running the request twice does no harm.
    pub fn is_idempotent(&self) -> bool {
        is_idempotent(&self.method)
    }
}

/// Returns whether RFC 9110, section 9.2.2, calls a method idempotent.
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
    let Some(value) = single(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let ms = value.parse::<u64>().ok().filter(|&ms| ms > 0);
    let ms = ms.ok_or_else(|| {
        let problem = format!("{DEADLINE_MS}: {value:?} is not a positive whole number");
        RequestError::new(StatusCode::BAD_REQUEST, problem)
    })?;
    Ok(Some(Duration::from_millis(ms)))
}

fn read_key(method: &Method, headers: &HeaderMap) -> Result<Option<String>> {
    if is_idempotent(method) {
        return Ok(None);
    }
    let Some(value) = single(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > KEY_LIMIT {
        let problem = format!("{IDEMPOTENCY_KEY}: it has 1 to {KEY_LIMIT} bytes");
        return Err(RequestError::new(StatusCode::BAD_REQUEST, problem));
    }
    Ok(Some(value.to_owned()))
}

fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let bad = |problem| RequestError::new(StatusCode::BAD_REQUEST, format!("{name}: {problem}"));
    if values.next().is_some() {
        return Err(bad("it is given more than once"));
    }
    first.to_str().map(Some).map_err(|_| bad("it is not text"))
}

/// Reads the body of `POST /jobs`.
///
/// # Errors
///
/// Returns an error that names the field which is wrong.
pub fn read_job(body: &[u8]) -> Result<JobSpec> {
    let unprocessable = |p: String| RequestError::new(StatusCode::UNPROCESSABLE_ENTITY, p);
    let spec: JobSpec = serde_json::from_slice(body).map_err(|e| {
        let status = match e.classify() {
            serde_json::error::Category::Data => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::BAD_REQUEST,
        };
        RequestError::new(status, e.to_string())
    })?;
    if !(1..=MOST_TASKS).contains(&spec.tasks) {
        let problem = format!("tasks: {} is not within 1 to {MOST_TASKS}", spec.tasks);
        return Err(unprocessable(problem));
    }
    if !(1..=LONGEST_RUN_MS).contains(&spec.run_ms) {
        let problem = format!(
            "run_ms: {} is not within 1 to {LONGEST_RUN_MS}",
            spec.run_ms
        );
        return Err(unprocessable(problem));
    }
    Ok(spec)
}
