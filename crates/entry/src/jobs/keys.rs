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

/// Returns the key of a home's inbox row, in which any instance records cancellations of the home's
/// jobs for the home to read.
pub fn inbox_key(home: Incarnation) -> String {
    format!("job-inbox/{home}")
}

/// The jobs of one home that are not final.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Index {
    /// The incarnation of the home.
    pub home: Incarnation,
    /// Whether another home has adopted this home's jobs.
    pub adopted: bool,
    /// The jobs' ids.
    pub jobs: Vec<String>,
}

/// The jobs of one home that callers have cancelled since the home last emptied its inbox row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Inbox {
    /// The jobs' ids.
    pub cancelled: Vec<String>,
}
