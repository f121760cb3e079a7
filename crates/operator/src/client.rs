//! The operator interface of an entry instance, as `marigoldctl` calls it.

use {
    hyper::{
        HeaderMap, Method, StatusCode,
        header::{ETAG, HeaderValue, IF_MATCH},
    },
    marigoldbend_core::{config::Config, ids::Version},
    marigoldbend_http::client::{ClientError, JsonClient, Reply},
    serde_json::Value,
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// The time limit of a call; a write may have to be read back.
const LIMIT: Duration = Duration::from_secs(10);

/// A result of a call.
pub type Result<T, E = OperatorError> = std::result::Result<T, E>;

/// A call that did not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(display("{kind}"))]
pub struct OperatorError {
    kind: Kind,
}

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("{source}"))]
    Client { source: ClientError },
    #[snafu(display("the instance answered {status}: {detail}"))]
    Refused { status: StatusCode, detail: String },
    #[snafu(display("the reply is not the expected JSON: {source}"))]
    BadReply { source: serde_json::Error },
    #[snafu(display("the reply has no version"))]
    NoVersion,
}

impl OperatorError {
    /// Returns whether another operator was faster.
    pub fn is_version_conflict(&self) -> bool {
        matches!(self.kind, Kind::Refused { status, .. } if status == StatusCode::PRECONDITION_FAILED)
    }
}

impl From<Kind> for OperatorError {
    fn from(kind: Kind) -> Self {
        Self { kind }
    }
}

/// Calls one entry instance's operator port.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    base: String,
    client: JsonClient,
}

impl OperatorClient {
    /// Creates a client of the instance at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            client: JsonClient::new(LIMIT, None),
        }
    }

    /// Reads the configuration in force; `None` with version zero before the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn config(&self) -> Result<(Version, Option<Config>)> {
        let url = format!("{}/config", self.base);
        let reply = self.client.get(&url).await;
        let reply = reply.map_err(|source| Kind::Client { source })?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok((Version(0), None));
        }
        let reply = accepted(reply)?;
        let version = version_of(&reply.headers).ok_or(Kind::NoVersion)?;
        let config = reply.json();
        let config = config.map_err(|source| Kind::BadReply { source })?;
        Ok((version, Some(config)))
    }

    /// Replaces the configuration if it still has this version; returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not replaced or if that is unclear;
    /// [`OperatorError::is_version_conflict`] tells whether another operator was faster.
    pub async fn put_config(&self, expected: Version, config: &Config) -> Result<Version> {
        let url = format!("{}/config", self.base);
        let body = serde_json::to_vec(config).map_err(|source| Kind::BadReply { source })?;
        let mut headers = HeaderMap::new();
        let tag = HeaderValue::from_str(&etag(expected));
        headers.insert(IF_MATCH, tag.map_err(|_| Kind::NoVersion)?);
        let reply = self
            .client
            .send(Method::PUT, &url, headers, body.into())
            .await;
        let reply = accepted(reply.map_err(|source| Kind::Client { source })?)?;
        Ok(version_of(&reply.headers).ok_or(Kind::NoVersion)?)
    }

    /// Reads the status of the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn status(&self) -> Result<Value> {
        self.value(Method::GET, "/status").await
    }

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such job or no usable reply.
    pub async fn job(&self, id: &str) -> Result<Value> {
        self.value(Method::GET, &format!("/jobs/{id}")).await
    }

    /// Asks the instance to finish what it has and end.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn drain(&self) -> Result<Value> {
        self.value(Method::POST, "/drain").await
    }

    async fn value(&self, method: Method, path: &str) -> Result<Value> {
        let url = format!("{}{path}", self.base);
        let sent = self
            .client
            .send(method, &url, HeaderMap::new(), Vec::new().into());
        let reply = sent.await.map_err(|source| Kind::Client { source })?;
        let value = accepted(reply)?.json();
        Ok(value.map_err(|source| Kind::BadReply { source })?)
    }
}

fn accepted(reply: Reply) -> Result<Reply> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    let body: Value = reply.json().unwrap_or_default();
    let detail = body["detail"].as_str().unwrap_or_default().to_owned();
    let status = reply.status;
    Err(Kind::Refused { status, detail }.into())
}

/// Returns the entity tag of a version.
pub fn etag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

/// Reads a version from an entity tag.
pub fn parse_etag(tag: &str) -> Option<Version> {
    let digits = tag.trim().strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version)
}

fn version_of(headers: &HeaderMap) -> Option<Version> {
    headers.get(ETAG)?.to_str().ok().and_then(parse_etag)
}
