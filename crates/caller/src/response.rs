//! Error responses of an instance, with the outcome of the request.
//!
//! Each response has a problem body (RFC 9457) whose `detail` is the given reason, and the header
//! field [`OUTCOME`].

use {
    crate::headers::OUTCOME,
    hyper::{
        StatusCode,
        header::{HeaderValue, RETRY_AFTER},
    },
    marigoldbend_http::body::{HttpResponse, problem},
};

/// The value of `Retry-After`, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Returns status 503 with outcome `not-run`, for a request that can't be run now.
pub fn unavailable(reason: &str) -> HttpResponse {
    not_run_with_retry(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Returns status 429 with outcome `not-run`, for a request that was rejected due to overload.
pub fn too_many_requests(reason: &str) -> HttpResponse {
    not_run_with_retry(StatusCode::TOO_MANY_REQUESTS, reason)
}

/// Returns a response with outcome `not-run` and a `Retry-After` field.
fn not_run_with_retry(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = problem(status, reason);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    response
}

/// Returns status 502 with outcome `unknown`, for a request that failed after it may have been
/// run.
pub fn outcome_unknown(reason: &str) -> HttpResponse {
    with_unknown_outcome(StatusCode::BAD_GATEWAY, reason)
}

/// Returns status 504 with outcome `unknown`, for a request whose deadline passed after it may have
/// been run.
pub fn deadline_exceeded(reason: &str) -> HttpResponse {
    with_unknown_outcome(StatusCode::GATEWAY_TIMEOUT, reason)
}

fn with_unknown_outcome(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = problem(status, reason);
    let value = HeaderValue::from_static("unknown");
    response.headers_mut().insert(OUTCOME, value);
    response
}

/// Returns `status` with outcome `not-run`, for an invalid request.
pub fn invalid_request(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = problem(status, reason);
    let value = HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME, value);
    response
}
