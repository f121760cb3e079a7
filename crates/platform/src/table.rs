//! The transactional table, and how the outcome of a write with a lost reply is determined.
//!
//! A compare-and-set that is sent twice takes effect at most once, since the first one increases
//! the version. So after a lost reply the row is read back. If it has the name of the operation,
//! the write took effect. If it still has the old version, the same write is sent again. If its
//! version is higher by one and it has another name, another write won. If its version is higher
//! by more than one, the outcome can't be determined, and the caller must look at the contents.

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

/// The error of a table operation without a usable reply.
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
            // The service refuses a whole transaction before it writes any row.
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
    /// The transaction did not take effect: the rows with these keys had other versions.
    Conflict(Vec<String>),
    /// The reply was lost, and others have since written the row: the transaction may have taken
    /// effect before their writes.
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
    /// up after `limit`, and connects from `local` if given.
    pub fn new(base: &str, limit: Duration, local: Option<IpAddr>) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: JsonClient::new(limit, local),
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
    /// The reply is then small, however large the row is, and proves the version as well as the
    /// whole row does.
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
    /// Returns an error if the service gave no usable reply; [`TableError::is_unwritten`] says
    /// whether the write may have taken effect.
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

    /// Sends a transaction until its outcome is known, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is still unknown after `timeout`, or if the service was
    /// never reachable.
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

    /// Sends the transaction, after a read back if an earlier attempt may have taken effect.
    ///
    /// `None` means that the attempt is to be repeated.
    async fn attempt(&self, commit: &Commit, maybe_written: bool) -> Result<Option<CommitOutcome>> {
        if !maybe_written {
            return self.commit_once(commit).await.map(Some);
        }
        if let Some(outcome) = self.read_back(commit).await? {
            return Ok(Some(outcome));
        }
        match self.commit_once(commit).await? {
            // The earlier attempt or another write took effect after the first read back.
            CommitOutcome::Conflict(_) => self.read_back(commit).await,
            outcome => Ok(Some(outcome)),
        }
    }

    /// Reads the rows of a transaction to determine its outcome; `None` if it has not taken effect
    /// so far.
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

    /// Stores an object.
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

fn parse<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T> {
    if reply.status != StatusCode::OK {
        let status = reply.status;
        return Err(Kind::Status { status }.into());
    }
    reply
        .json()
        .map_err(|source| Kind::BadReply { source }.into())
}
