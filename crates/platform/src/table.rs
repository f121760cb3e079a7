//! The client of the transactional table. It also determines the outcome of a write whose reply was
//! lost.
//!
//! A row has a version, which each write increases by one, and the name of the operation
//! ([`Commit::op`]) that wrote this version. Each write states the version that it expects, so a
//! write that is sent twice takes effect at most once. After a lost reply the client reads the row
//! again, and compares it with the write:
//!
//! - If the row has the operation's name, the write took effect.
//! - If the row still has the expected version, the write has not taken effect and is sent again.
//! - If the row's version is higher by one and has another operation's name, that operation took
//!   effect instead of the write.
//! - If the row's version is higher by more than one, the outcome can't be determined. The caller
//!   must decide from the value of the row.

use {
    crate::{
        backoff::Backoff,
        wire::{Commit, Conflicts, Row},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{HeaderValue, IF_NONE_MATCH},
    },
    marigoldbend_core::ids::Version,
    marigoldbend_http::client::{ClientError, JsonClient, Reply},
    snafu::Snafu,
    std::{net::IpAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// A result of a table operation.
pub type Result<T, E = TableError> = std::result::Result<T, E>;

/// Why a table operation failed: the service gave no reply, or none that can be used.
#[derive(Debug, Snafu)]
#[snafu(display("table: {kind}"))]
pub struct TableError {
    kind: Kind,
}

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("the service replied with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the reply is not the expected JSON: {source}"))]
    BadReply { source: serde_json::Error },
    #[snafu(display("the outcome of the write is unknown"))]
    Unknown,
}

impl TableError {
    /// Returns whether it is certain that the write did not take effect.
    pub fn is_unwritten(&self) -> bool {
        match &self.kind {
            Kind::Client { source } => source.is_unsent(),
            // With this status the service refuses a whole transaction before it writes any row.
            Kind::Status { status } => *status == StatusCode::SERVICE_UNAVAILABLE,
            _ => false,
        }
    }
}

impl From<Kind> for TableError {
    fn from(kind: Kind) -> Self {
        Self { kind }
    }
}

impl From<ClientError> for TableError {
    fn from(source: ClientError) -> Self {
        Kind::Client { source }.into()
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction took effect.
    Applied,
    /// The transaction did not take effect; these are the keys of rows that had other versions than
    /// expected.
    Conflict(Vec<String>),
    /// The outcome is unknown: the reply was lost, and a row of the transaction has been written at
    /// least twice since. The transaction may have taken effect before the last of these writes.
    Superseded,
}

/// A client of the table service.
#[derive(Clone, Debug)]
pub struct Table {
    base: String,
    client: JsonClient,
}

impl Table {
    /// Creates a client of the service at `base`, such as `http://10.0.0.1:7000`. Each call gives
    /// up after `timeout`, and connects from the address `local_ip` if given.
    pub fn new(base: &str, timeout: Duration, local_ip: Option<IpAddr>) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: JsonClient::new(timeout, local_ip),
        }
    }

    /// Reads one row; an absent row has version zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply.
    pub async fn read(&self, key: &str) -> Result<Row> {
        let url = format!("{}/table/row/{key}", self.base);
        let reply = self.client.get(&url).await?;
        parse(&reply)
    }

    /// Reads one row; `None` if it still has the version `known_version`.
    ///
    /// For an unchanged row the service sends a reply without the value. That reply is small,
    /// however large the row is, and still proves that the row has this version.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply.
    pub async fn read_newer(&self, key: &str, known_version: Version) -> Result<Option<Row>> {
        let url = format!("{}/table/row/{key}", self.base);
        let mut headers = HeaderMap::new();
        if known_version > Version(0)
            && let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", known_version.0))
        {
            headers.insert(IF_NONE_MATCH, tag);
        }
        let reply = self
            .client
            .send(Method::GET, &url, headers, Bytes::new())
            .await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        parse(&reply).map(Some)
    }

    /// Reads the rows whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let url = format!("{}/table/rows/{prefix}", self.base);
        let reply = self.client.get(&url).await?;
        parse(&reply)
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply. If [`TableError::is_unwritten`] is
    /// true for the error, the transaction did not take effect; otherwise it may have.
    pub async fn commit_once(&self, commit: &Commit) -> Result<CommitOutcome> {
        let url = format!("{}/table/commit", self.base);
        let reply = self.client.post(&url, commit).await?;
        match reply.status {
            StatusCode::OK => Ok(CommitOutcome::Applied),
            StatusCode::CONFLICT => {
                let body = reply.json::<Conflicts>();
                let body = body.map_err(|source| Kind::BadReply { source })?;
                Ok(CommitOutcome::Conflict(body.conflicts))
            }
            status => Err(Kind::Status { status }.into()),
        }
    }

    /// Sends a transaction, repeatedly if needed, until its outcome is known.
    ///
    /// After `timeout` a failed attempt is not repeated; the last attempt may end later than that.
    ///
    /// # Errors
    ///
    /// Returns an error if no attempt within `timeout` determined the outcome. If
    /// [`TableError::is_unwritten`] is true for the error, no attempt took effect; otherwise one
    /// may have.
    pub async fn commit_until_known(
        &self,
        commit: &Commit,
        timeout: Duration,
    ) -> Result<CommitOutcome> {
        let deadline = Instant::now() + timeout;
        let mut backoff = Backoff::new();
        let mut maybe_written = false;
        loop {
            let failure = match self.attempt(commit, maybe_written).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => continue,
                Err(e) => e,
            };
            maybe_written |= !failure.is_unwritten();
            let wait = backoff.next(&mut rand::rng());
            if Instant::now() + wait >= deadline {
                return Err(if maybe_written {
                    Kind::Unknown.into()
                } else {
                    failure
                });
            }
            sleep(wait).await;
        }
    }

    /// Sends the transaction; if an earlier attempt may have taken effect, first reads its rows to
    /// determine that.
    ///
    /// Returns `None` if the attempt had no effect and is to be repeated.
    async fn attempt(&self, commit: &Commit, maybe_written: bool) -> Result<Option<CommitOutcome>> {
        if !maybe_written {
            return self.commit_once(commit).await.map(Some);
        }
        if let Some(outcome) = self.read_back(commit).await? {
            return Ok(Some(outcome));
        }
        match self.commit_once(commit).await? {
            // The earlier attempt or another write took effect after the rows were read.
            CommitOutcome::Conflict(_) => self.read_back(commit).await,
            outcome => Ok(Some(outcome)),
        }
    }

    /// Reads the rows of a transaction to determine its outcome; `None` if it has not taken effect
    /// yet but still can.
    ///
    /// The first written row stands for all, since a transaction takes effect as a whole.
    async fn read_back(&self, commit: &Commit) -> Result<Option<CommitOutcome>> {
        let Some(first) = commit.writes.first() else {
            return Ok(Some(CommitOutcome::Applied));
        };
        let row = self.read(&first.key).await?;
        if row.op == commit.op {
            return Ok(Some(CommitOutcome::Applied));
        }
        if row.version == Version(first.version.0 + 1) {
            return Ok(Some(CommitOutcome::Conflict(vec![first.key.clone()])));
        }
        if row.version > first.version {
            return Ok(Some(CommitOutcome::Superseded));
        }
        for check in &commit.checks {
            let row = self.read(&check.key).await?;
            if row.version != check.version {
                return Ok(Some(CommitOutcome::Conflict(vec![check.key.clone()])));
            }
        }
        Ok(None)
    }

    /// Writes an object to the platform's object store, as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the service did not confirm the write; repeating the call is safe.
    pub async fn put_object(&self, name: &str, value: &impl serde::Serialize) -> Result<()> {
        let url = format!("{}/objects/{name}", self.base);
        let reply = self.client.post(&url, value).await?;
        if reply.status.is_success() {
            return Ok(());
        }
        let status = reply.status;
        Err(Kind::Status { status }.into())
    }
}

/// Parses a reply whose status must be 200.
fn parse<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T> {
    if reply.status != StatusCode::OK {
        let status = reply.status;
        return Err(Kind::Status { status }.into());
    }
    reply
        .json()
        .map_err(|source| Kind::BadReply { source }.into())
}
