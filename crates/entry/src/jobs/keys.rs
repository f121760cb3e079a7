//! Keys of the table rows for jobs, and the contents of the index and inbox rows.

use {
    marigoldbend::core::ids::{Domain, Incarnation},
    serde::{Deserialize, Serialize},
};

/// Returns the key of a job's row.
pub fn job_key(id: &str) -> String {
    format!("jobs/{id}")
}

/// Returns the prefix of the index rows of a domain.
pub fn index_prefix(domain: Domain) -> String {
    format!("job-index/{}/", domain.0)
}

/// Returns the key of a home's index row.
pub fn index_key(domain: Domain, home: Incarnation) -> String {
    format!("{}{home}", index_prefix(domain))
}

/// Returns the key of a home's inbox row, in which other instances record cancellations for it.
pub fn inbox_key(home: Incarnation) -> String {
    format!("job-inbox/{home}")
}

/// The jobs of one home that are not final.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Index {
    /// The incarnation of the home.
    pub home: Incarnation,
    /// Whether another home has adopted its jobs.
    pub adopted: bool,
    /// The jobs' ids.
    pub jobs: Vec<String>,
}

/// Jobs of one home that callers have cancelled through other instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Inbox {
    /// The jobs' ids.
    pub cancelled: Vec<String>,
}
