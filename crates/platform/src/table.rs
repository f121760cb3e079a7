//! The transactional table, and what to do about a write whose reply was lost.
//!
//! A compare-and-set that is sent twice takes effect at most once, since the first one moves
//! the version on. So after a lost reply the row is read back: if it bears the operation's
//! name, the write took effect; if it still has the old version, the same write is sent again;
//! if it has moved on by one under another name, the write lost. Only when it has moved on
//! further can nobody tell, and the caller must look at the contents.

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

/// A table operation without a usable reply.
#[derive(Debug, Snafu)]
#[snafu(display("table: {kind}"))]
pub struct TableError {
    kind: Kind,
}

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("the service answered {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the reply is not the expected JSON: {source}"))]
    BadReply { source: serde_json::Error },
    #[snafu(display("it stayed unclear whether the write took effect"))]
    Unclear,
}

impl TableError {
    /// Returns whether a write certainly did not take effect.
    pub fn is_unwritten(&self) -> bool {
        match &self.kind {
            Kind::Client { source } => source.is_unsent(),
            // The service refuses as a whole before it writes.
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

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect.
    Applied,
    /// It did not take effect: these rows had other versions.
    Conflict(Vec<String>),
    /// Its reply was lost, and the row has since been written by others: it may have taken
    /// effect before them.
    Superseded,
}

/// The table service.
#[derive(Clone, Debug)]
pub struct Table {
    base: String,
    client: JsonClient,
}

impl Table {
    /// Creates a client of the service at `base`, such as `http://10.0.0.1:7000`.
    pub fn new(base: &str, limit: Duration, local: Option<IpAddr>) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: JsonClient::new(limit, local),
        }
    }

    /// Reads one row; an absent one has version zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply.
    pub async fn read(&self, key: &str) -> Result<Row> {
        let url = format!("{}/table/row/{key}", self.base);
        let reply = self.client.get(&url).await?;
        parse(&reply)
    }

    /// Reads one row unless it still has the version `known`; `None` if it does.
    ///
    /// The reply is then small, however large the row is, and as good a proof of the version as
    /// a whole one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable reply.
    pub async fn read_newer(&self, key: &str, known: Version) -> Result<Option<Row>> {
        let url = format!("{}/table/row/{key}", self.base);
        let mut headers = HeaderMap::new();
        if known > Version(0)
            && let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", known.0))
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
    /// Returns an error if the service gave no usable reply; [`TableError::is_unwritten`] tells
    /// whether the write may have taken effect.
    pub async fn commit_once(&self, commit: &Commit) -> Result<CommitOutcome> {
        let url = format!("{}/table/commit", self.base);
        let reply = self.client.post(&url, commit).await?;
        match reply.status {
            StatusCode::OK => Ok(CommitOutcome::Applied),
            StatusCode::CONFLICT => {
                let lost = reply.json::<Conflicts>();
                let lost = lost.map_err(|source| Kind::BadReply { source })?;
                Ok(CommitOutcome::Conflict(lost.conflicts))
            }
            status => Err(Kind::Status { status }.into()),
        }
    }

    /// Sends a transaction until it is known what became of it, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if that stayed unclear, or if the service could not be reached at all.
    pub async fn commit_until_known(
        &self,
        commit: &Commit,
        timeout: Duration,
    ) -> Result<CommitOutcome> {
        let end = Instant::now() + timeout;
        let mut backoff = Backoff::new();
        let mut maybe_written = false;
        loop {
            let failure = match self.step(commit, maybe_written).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => continue,
                Err(e) => e,
            };
            maybe_written |= !failure.is_unwritten();
            let wait = backoff.next(&mut rand::rng());
            if Instant::now() + wait >= end {
                return Err(if maybe_written {
                    Kind::Unclear.into()
                } else {
                    failure
                });
            }
            sleep(wait).await;
        }
    }

    /// Sends the transaction, after reading back if an earlier one may have taken effect.
    async fn step(&self, commit: &Commit, maybe_written: bool) -> Result<Option<CommitOutcome>> {
        if !maybe_written {
            return self.commit_once(commit).await.map(Some);
        }
        if let Some(outcome) = self.read_back(commit).await? {
            return Ok(Some(outcome));
        }
        match self.commit_once(commit).await? {
            // The earlier one arrived in between, or another writer did: read back again.
            CommitOutcome::Conflict(_) => self.read_back(commit).await,
            outcome => Ok(Some(outcome)),
        }
    }

    /// Finds out what became of a transaction; `None` if it has not taken effect so far.
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
    /// Returns an error if the service did not confirm it; storing it again is harmless.
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
