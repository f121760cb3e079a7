//! A client of the operator interface of an entry instance, as `marigoldctl` uses it.

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

/// The time limit of a call; the instance may have to read back a write before it replies.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A result of a call.
pub type Result<T, E = OperatorError> = std::result::Result<T, E>;

/// Why a call failed.
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
    InvalidReply { source: serde_json::Error },
    #[snafu(display("the reply has no version in its ETag field"))]
    NoVersion,
}

impl OperatorError {
    /// Returns whether the configuration was not replaced because its version is not the expected
    /// one.
    pub fn is_version_conflict(&self) -> bool {
        matches!(self.kind, Kind::Refused { status, .. } if status == StatusCode::PRECONDITION_FAILED)
    }
}

impl From<Kind> for OperatorError {
    fn from(kind: Kind) -> Self {
        Self { kind }
    }
}

/// A client of one entry instance.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    base: String,
    client: JsonClient,
}

impl OperatorClient {
    /// Creates a client of the instance whose operator interface is at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            client: JsonClient::new(CALL_TIMEOUT, None),
        }
    }

    /// Reads the configuration in force and its version. If no configuration is in force, returns
    /// version zero and `None`.
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
        let reply = check_status(reply)?;
        let version = read_version(&reply.headers).ok_or(Kind::NoVersion)?;
        let config = reply.json();
        let config = config.map_err(|source| Kind::InvalidReply { source })?;
        Ok((version, Some(config)))
    }

    /// Replaces the configuration if its version is still `expected`; returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration was not replaced or the outcome is unknown;
    /// [`OperatorError::is_version_conflict`] tells whether the version has changed.
    pub async fn put_config(&self, expected: Version, config: &Config) -> Result<Version> {
        let url = format!("{}/config", self.base);
        let body = serde_json::to_vec(config).map_err(|source| Kind::InvalidReply { source })?;
        let mut headers = HeaderMap::new();
        let tag = HeaderValue::from_str(&etag(expected));
        headers.insert(IF_MATCH, tag.map_err(|_| Kind::NoVersion)?);
        let reply = self
            .client
            .send(Method::PUT, &url, headers, body.into())
            .await;
        let reply = check_status(reply.map_err(|source| Kind::Client { source })?)?;
        Ok(read_version(&reply.headers).ok_or(Kind::NoVersion)?)
    }

    /// Reads the status of the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn status(&self) -> Result<Value> {
        self.call(Method::GET, "/status").await
    }

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such job or no usable reply.
    pub async fn job(&self, id: &str) -> Result<Value> {
        self.call(Method::GET, &format!("/jobs/{id}")).await
    }

    /// Asks the instance to finish its work and exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn drain(&self) -> Result<Value> {
        self.call(Method::POST, "/drain").await
    }

    /// Reads the evacuated failure domains and what still runs there.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gave no usable reply.
    pub async fn evacuations(&self) -> Result<Value> {
        self.call(Method::GET, "/evacuations").await
    }

    /// Evacuates a failure domain, or takes that back.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was refused, such as for an unknown domain, or its outcome is
    /// unknown.
    pub async fn set_evacuated(&self, domain: &str, is_evacuated: bool) -> Result<Value> {
        let method = if is_evacuated {
            Method::PUT
        } else {
            Method::DELETE
        };
        self.call(method, &format!("/evacuations/{domain}")).await
    }

    async fn call(&self, method: Method, path: &str) -> Result<Value> {
        let url = format!("{}{path}", self.base);
        let request = self
            .client
            .send(method, &url, HeaderMap::new(), Vec::new().into());
        let reply = request.await.map_err(|source| Kind::Client { source })?;
        let value = check_status(reply)?.json();
        Ok(value.map_err(|source| Kind::InvalidReply { source })?)
    }
}

fn check_status(reply: Reply) -> Result<Reply> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    let body: Value = reply.json().unwrap_or_default();
    let detail = body["detail"].as_str().unwrap_or_default().to_owned();
    let status = reply.status;
    Err(Kind::Refused { status, detail }.into())
}

/// Returns the entity tag (`ETag`) for a version of the configuration.
pub fn etag(version: Version) -> String {
    format!("\"{}\"", version.0)
}

/// Parses the version in an entity tag; `None` if it is not a quoted number.
pub fn parse_etag(tag: &str) -> Option<Version> {
    let digits = tag.trim().strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version)
}

fn read_version(headers: &HeaderMap) -> Option<Version> {
    headers.get(ETAG)?.to_str().ok().and_then(parse_etag)
}
