//! The encoding of a message in a UDP datagram: the protocol's first bytes, then the body.

use serde::Serialize;

/// Encodes a message after the protocol's first bytes; `None` if the result is longer than
/// `max_bytes`.
pub(crate) fn encode(magic: &[u8], max_bytes: usize, message: &impl Serialize) -> Option<Vec<u8>> {
    let mut buf = magic.to_vec();
    buf.extend_from_slice(&postcard::to_stdvec(message).ok()?);
    (buf.len() <= max_bytes).then_some(buf)
}
