//! Header fields that an instance reads or sets, and the removal of fields that must not be
//! forwarded.

use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

/// The time limit of the caller, in milliseconds; absent if the caller sets none.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("marigoldbend-deadline-ms");

/// The outcome of a request in an error response of an instance: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("marigoldbend-outcome");

/// A key that identifies a non-idempotent request, so that a repetition with the same key does not
/// run it again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Fields that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the fields that apply to a single connection, the fields that `Connection` lists, and
/// `Content-Length`, which is set from the body when the message is sent on.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::CONTENT_LENGTH);
}
