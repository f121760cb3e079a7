//! Reading bodies of bounded size, and responses with a body in memory.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{Response, StatusCode, body::Body, header},
    serde::Serialize,
    snafu::Snafu,
};

/// A result of reading a body.
pub type Result<T, E = BodyError> = std::result::Result<T, E>;

/// A response whose whole body is in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than the limit"))]
    TooLong,
    /// The body ended early or was malformed.
    #[snafu(display("the body was cut short"))]
    Truncated,
    /// The body took too long.
    #[snafu(display("the body arrived too slowly"))]
    TooSlow,
    /// Too many bytes of other bodies are in memory.
    #[snafu(display("too many request bodies are in flight"))]
    Overloaded,
}

/// Reads a whole body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns an error if the body is longer, is malformed, or ends early.
pub async fn read_whole<B>(body: B, max_bytes: usize) -> Result<Bytes>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Truncated),
    }
}

/// Returns a JSON response, or status 500 without a body if `value` can't be serialized.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    };
    with_media_type(status, "application/json", body)
}

/// Returns a plain text response.
pub fn text(status: StatusCode, text: &str) -> HttpResponse {
    with_media_type(status, "text/plain; charset=utf-8", text.to_owned().into())
}

/// Returns an `application/problem+json` response (RFC 9457).
pub fn problem(status: StatusCode, detail: &str) -> HttpResponse {
    let title = status.canonical_reason().unwrap_or("Error");
    let value = serde_json::json!({
        "title": title,
        "status": status.as_u16(),
        "detail": detail,
    });
    with_media_type(
        status,
        "application/problem+json",
        value.to_string().into_bytes(),
    )
}

fn with_media_type(status: StatusCode, media_type: &'static str, body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
