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

/// Makes the answer to a caller from an upstream's.
pub fn to_caller_response(response: Response<Bytes>) -> HttpResponse {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    // An upstream can't speak for us.
    parts.headers.remove(marigoldbend::caller::headers::OUTCOME);
    Response::from_parts(parts, Full::new(body))
}

/// Makes the frame that carries an upstream's answer to a peer.
pub fn to_peer_response(response: Response<Bytes>) -> call::UpstreamResponse {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    call::UpstreamResponse {
        status: parts.status.as_u16(),
        headers: to_fields(&parts.headers),
        body,
    }
}

/// Reads an upstream's answer from a peer's frame; `None` if it is not valid.
pub fn from_peer_response(answer: call::UpstreamResponse) -> Option<Response<Bytes>> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
    *response.headers_mut() = from_fields(&answer.headers)?;
    Some(response)
}

/// Makes the offer of a request.
pub fn to_offer(id: &str, req: &ServiceRequest, left: Duration) -> Offer {
    Offer {
        request_id: id.to_owned(),
        service: req.service.clone(),
        method: req.method.to_string(),
        path: req.target.clone(),
        headers: to_fields(&req.headers),
        body: req.body.clone(),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Reads an offered request; `None` if it is not valid.
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
    let left = Duration::from_millis(offer.deadline_ms);
    Some((offer.request_id, req, left))
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
