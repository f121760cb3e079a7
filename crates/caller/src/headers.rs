//! Header fields that have a meaning to us, and those that end at each hop.

use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

/// The time that the caller grants, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("marigoldbend-deadline-ms");

/// What is known of a request that we answered ourselves: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("marigoldbend-outcome");

/// Names a non-idempotent request, so that a repeat does not run it again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the fields that concern one connection only, those that `Connection` names, and the
/// length, which is set anew from the body.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::CONTENT_LENGTH);
}
