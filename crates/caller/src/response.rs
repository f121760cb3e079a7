//! Answers that we make ourselves.

use {
    crate::headers::OUTCOME,
    hyper::{
        StatusCode,
        header::{HeaderValue, RETRY_AFTER},
    },
    marigoldbend_http::body::{HttpResponse, problem},
};

/// The time after which a refused caller may try again, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Refuses a request that was not run.
pub fn unavailable(reason: &str) -> HttpResponse {
    refused(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Refuses a request that was not run because there is too much work.
pub fn too_many_requests(reason: &str) -> HttpResponse {
    refused(StatusCode::TOO_MANY_REQUESTS, reason)
}

fn refused(status: StatusCode, reason: &str) -> HttpResponse {
    let mut answer = problem(status, reason);
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    answer
}

/// Answers for a request that may have been run, after a failure.
pub fn outcome_unknown(reason: &str) -> HttpResponse {
    with_unknown(StatusCode::BAD_GATEWAY, reason)
}

/// Answers for a request that may have been run, after its deadline.
pub fn deadline_exceeded(reason: &str) -> HttpResponse {
    with_unknown(StatusCode::GATEWAY_TIMEOUT, reason)
}

fn with_unknown(status: StatusCode, reason: &str) -> HttpResponse {
    let mut answer = problem(status, reason);
    let value = HeaderValue::from_static("unknown");
    answer.headers_mut().insert(OUTCOME, value);
    answer
}

/// Refuses a request that is wrong in itself; it was not run.
pub fn invalid_request(status: StatusCode, reason: &str) -> HttpResponse {
    let mut answer = problem(status, reason);
    let value = HeaderValue::from_static("not-run");
    answer.headers_mut().insert(OUTCOME, value);
    answer
}
