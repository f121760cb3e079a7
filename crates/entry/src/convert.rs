//! Conversions between HTTP messages and the frames that peers exchange.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    marigoldbend::{
        caller::{headers::strip_hop_by_hop, request::ServiceRequest},
        http::body::HttpResponse,
        peer::call::{self, Field, Offer},
    },
    std::time::Duration,
};

/// Converts an upstream's response to the response to a caller.
pub fn to_caller_response(response: Response<Bytes>) -> HttpResponse {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    // The scheduler reports the outcome of the request in this header, so an upstream must not set
    // it.
    parts.headers.remove(marigoldbend::caller::headers::OUTCOME);
    Response::from_parts(parts, Full::new(body))
}

/// Converts an upstream's response to the form that is sent to a peer.
pub fn to_peer_response(response: Response<Bytes>) -> call::UpstreamResponse {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    call::UpstreamResponse {
        status: parts.status.as_u16(),
        headers: to_fields(&parts.headers),
        body,
    }
}

/// Converts an upstream's response from the form that peers send; `None` if its status or a
/// header is not valid.
pub fn from_peer_response(received: call::UpstreamResponse) -> Option<Response<Bytes>> {
    let mut response = Response::new(received.body);
    *response.status_mut() = StatusCode::from_u16(received.status).ok()?;
    *response.headers_mut() = from_fields(&received.headers)?;
    Some(response)
}

/// Builds the offer of a request whose deadline is `remaining` from now.
pub fn to_offer(id: &str, req: &ServiceRequest, remaining: Duration) -> Offer {
    Offer {
        request_id: id.to_owned(),
        service: req.service.clone(),
        method: req.method.to_string(),
        path: req.target.clone(),
        headers: to_fields(&req.headers),
        body: req.body.clone(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the id of an offered request, the request and the time until its deadline; `None` if the
/// method or a header is not valid.
pub fn from_offer(offer: Offer) -> Option<(String, ServiceRequest, Duration)> {
    let req = ServiceRequest {
        service: offer.service,
        method: offer.method.parse().ok()?,
        target: offer.path,
        headers: from_fields(&offer.headers)?,
        body: offer.body,
        deadline: None,
        idempotency_key: None,
    };
    let remaining = Duration::from_millis(offer.remaining_ms);
    Some((offer.request_id, req, remaining))
}

fn to_fields(headers: &HeaderMap) -> Vec<Field> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| Field {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(field).collect()
}

fn from_fields(fields: &[Field]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name: HeaderName = field.name.parse().ok()?;
        let value = HeaderValue::from_bytes(&field.value).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}
