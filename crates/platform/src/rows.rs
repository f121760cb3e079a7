//! Rows of the store and the calls on them, whatever a platform's wire looks like.

use {
    hyper::StatusCode,
    marigoldbend_http::connection::Outgoing,
    snafu::Snafu,
    std::{fmt, time::Duration},
};

/// A result of reading a reply.
pub type Result<T, E = WireError> = std::result::Result<T, E>;

/// A reply that was not understood.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the store's reply is not understood: {problem}"))]
pub struct WireError {
    /// What is wrong with it.
    pub problem: String,
}

/// Names one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The part of the table, in which writes are made one after another.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

impl RowKey {
    /// Names a row.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.table, self.part, self.key)
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its name.
    pub name: RowKey,
    /// Its contents; empty if it was dropped.
    pub value: Vec<u8>,
    /// Its version.
    pub ver: u64,
    /// Whether it was dropped.
    pub deleted: bool,
}

/// A transaction: all of it takes effect, or nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tx {
    /// Rows and the versions that they must have; zero if they must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub puts: Vec<(RowKey, Vec<u8>)>,
    /// Rows to drop.
    pub deletes: Vec<RowKey>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TxOutcome {
    /// It took effect, at this version.
    Applied(u64),
    /// It did not: these are the rows that it expected otherwise.
    Conflict(Vec<Row>),
}

/// Rows of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The rows, by key or in the order of their change.
    pub rows: Vec<Row>,
    /// Whether there are more after the last one.
    pub more: bool,
    /// The newest version in the store.
    pub ver: u64,
}

/// A range of keys in one part of a table.
#[derive(Clone, Debug)]
pub struct Range<'a> {
    /// The table.
    pub table: &'a str,
    /// The part.
    pub part: &'a str,
    /// The first key; empty for the beginning.
    pub from: &'a str,
    /// The end, which is not part of it; empty for the end of the part.
    pub to: &'a str,
}

/// How one platform spells the calls.
#[derive(Clone, Copy, Debug)]
pub struct Wire {
    /// Writes a transaction.
    pub tx: fn(&Tx) -> Outgoing,
    /// Reads a range of rows.
    pub range: fn(&Range<'_>) -> Outgoing,
    /// Waits for changes of a table after a version.
    pub feed: fn(&str, u64, Duration) -> Outgoing,
    /// Reads the reply to a transaction.
    pub outcome: fn(StatusCode, &[u8]) -> Result<TxOutcome>,
    /// Reads the reply to a range or a feed.
    pub page: fn(&[u8]) -> Result<Page>,
}
