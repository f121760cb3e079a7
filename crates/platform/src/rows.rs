//! Rows of the store and the calls that read and write them, independent of a platform's encoding.

use {
    hyper::StatusCode,
    marigoldbend_http::connection::Outgoing,
    snafu::Snafu,
    std::{fmt, time::Duration},
};

/// The result of parsing a reply.
pub type Result<T, E = WireError> = std::result::Result<T, E>;

/// Why a reply of the store is invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the store's reply is invalid: {problem}"))]
pub struct WireError {
    /// What is wrong with the reply.
    pub problem: String,
}

/// The name of a row: its table, part and key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The part of the table; writes to one part are made one after another.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

impl RowKey {
    /// Creates the name of a row.
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

/// A row of the store, as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The row's name.
    pub name: RowKey,
    /// The contents; empty if the row was deleted.
    pub value: Vec<u8>,
    /// The version of the row.
    pub version: u64,
    /// Whether the row was deleted.
    pub deleted: bool,
}

/// A transaction: either all of it takes effect or nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tx {
    /// Rows, and the version that each must have; zero for a row that must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write, and the new value of each.
    pub puts: Vec<(RowKey, Vec<u8>)>,
    /// Rows to delete.
    pub deletes: Vec<RowKey>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TxOutcome {
    /// The transaction took effect; the rows that it wrote now have this version.
    Applied(u64),
    /// The transaction did not take effect; these are the present rows that have other versions
    /// than expected.
    Conflict(Vec<Row>),
}

/// The rows in one reply to a read, all as of the same moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The rows: those of a range in the order of their keys, changed rows in the order of their
    /// changes.
    pub rows: Vec<Row>,
    /// Whether the range has more rows after the last one in the page.
    pub more: bool,
    /// The newest version in the store.
    pub version: u64,
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
    /// The key at which the range ends, exclusive; empty for the end of the part.
    pub to: &'a str,
    /// The maximum number of rows in a reply; `None` for the store's own maximum.
    pub limit: Option<u32>,
}

/// A platform's encoding of the calls.
#[derive(Clone, Copy, Debug)]
pub struct Wire {
    /// Builds the request for a transaction.
    pub tx: fn(&Tx) -> Outgoing,
    /// Builds the request for a range of rows.
    pub range: fn(&Range<'_>) -> Outgoing,
    /// Builds the request for the changes of a table after a version. The arguments are the table,
    /// the version, and how long the store waits for a change before it replies without one.
    pub feed: fn(&str, u64, Duration) -> Outgoing,
    /// Parses the reply to a transaction.
    pub outcome: fn(StatusCode, &[u8]) -> Result<TxOutcome>,
    /// Parses the reply to a request for a range of rows or for changes of a table. In a table that
    /// others write, a row that can't be read costs only itself; elsewhere the reply is invalid.
    pub page: fn(&str, &[u8]) -> Result<Page>,
}
