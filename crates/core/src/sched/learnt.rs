//! The row with what a leader has learned, for the next leader.
//!
//! The row begins with the interference estimates, which are all that earlier versions read; they
//! ignore what follows. What earlier versions wrote ends there.

use {
    crate::sched::{interference::PairEstimate, run_times::ShapeTimes},
    postcard::{take_from_bytes, to_stdvec},
};

/// The length of the row up to which run times are added, in bytes. Most of a shard's rows are
/// smaller, and a successor reads them all.
pub const MAX_BYTES: usize = 8_000;

/// A result of decoding the row.
pub type Result<T> = postcard::Result<T>;

/// Encodes what a leader has learned. Run times are left out from the first on that does not fit into
/// [`MAX_BYTES`].
pub fn encode(pairs: &[PairEstimate], run_times: &[ShapeTimes]) -> Vec<u8> {
    // Encoding plain data can't fail.
    let mut row = to_stdvec(pairs).unwrap_or_default();
    let mut count = run_times.len();
    loop {
        let encoded = to_stdvec(&run_times[..count]).unwrap_or_default();
        if count == 0 || row.len() + encoded.len() <= MAX_BYTES {
            row.extend(encoded);
            return row;
        }
        count = count * 3 / 4;
    }
}

/// Decodes the row; that of an earlier version has no run times.
///
/// # Errors
///
/// Returns an error if the interference estimates are not valid.
pub fn decode(row: &[u8]) -> Result<(Vec<PairEstimate>, Vec<ShapeTimes>)> {
    let (pairs, rest) = take_from_bytes(row)?;
    if rest.is_empty() {
        return Ok((pairs, Vec::new()));
    }
    // What a later version appends is ignored; so are run times that it writes in another form.
    let run_times = take_from_bytes(rest).map(|(times, _)| times);
    Ok((pairs, run_times.unwrap_or_default()))
}
