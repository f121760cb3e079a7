//! A JSON client that says whether a failed request may have taken effect.

use {
    crate::body::read_whole,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, StatusCode, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{net::IpAddr, time::Duration},
    tokio::time::timeout,
};

/// The longest reply that is read, in bytes.
const REPLY_LIMIT: usize = 64 << 20;

/// How long a connection may idle before it is closed rather than used again.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// A result of a request.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// A request that got no usable reply.
#[derive(Debug, Snafu)]
#[snafu(display("{method} {url}: {kind}"))]
pub struct ClientError {
    method: Method,
    url: String,
    kind: Kind,
}

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("the address is not valid"))]
    BadAddress,
    #[snafu(display("no connection could be made"))]
    Unsent,
    #[snafu(display("the connection failed before the reply"))]
    Lost,
    #[snafu(display("no reply within {} ms", limit.as_millis()))]
    Late { limit: Duration },
    #[snafu(display("the reply is not the expected JSON: {source}"))]
    BadReply { source: serde_json::Error },
}

impl ClientError {
    /// Returns whether the request certainly did not reach the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, Kind::Unsent | Kind::BadAddress)
    }
}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parser's error.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// Sends requests with a time limit.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    limit: Duration,
}

impl JsonClient {
    /// Creates a client that gives up after `limit`, and connects from `local` if given.
    pub fn new(limit: Duration, local: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limit / 2));
        connector.set_local_address(local);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, limit }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply in time.
    pub async fn get(&self, url: &str) -> Result<Reply> {
        self.send(Method::GET, url, HeaderMap::new(), Bytes::new())
            .await
    }

    /// Sends a GET request and parses the reply's body.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply in time, or not of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let reply = self.get(url).await?;
        parse(Method::GET, url, &reply)
    }

    /// Parses the reply to a GET request of `url`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON of this type.
    pub fn parse_reply<T: DeserializeOwned>(&self, url: &str, reply: &Reply) -> Result<T> {
        parse(Method::GET, url, reply)
    }

    /// Sends a JSON value with POST and parses the reply's body.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply in time, or not of this type.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let reply = self.post(url, value).await?;
        parse(Method::POST, url, &reply)
    }

    /// Sends a JSON value with POST.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply in time.
    pub async fn post(&self, url: &str, value: &impl Serialize) -> Result<Reply> {
        let body = serde_json::to_vec(value)
            .map_err(|source| error(Method::POST, url, Kind::BadReply { source }))?;
        self.send(Method::POST, url, HeaderMap::new(), body.into())
            .await
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no whole reply in time; [`ClientError::is_unsent`] tells
    /// whether it may have taken effect.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Reply> {
        let fail = |kind| error(method.clone(), url, kind);
        let mut req = Request::builder()
            .method(method.clone())
            .uri(url)
            .body(Full::new(body))
            .map_err(|_| fail(Kind::BadAddress))?;
        *req.headers_mut() = headers;
        let json = header::HeaderValue::from_static("application/json");
        req.headers_mut().insert(header::CONTENT_TYPE, json);
        let exchange = async {
            let response = self.client.request(req).await.map_err(|e| {
                let kind = if e.is_connect() {
                    Kind::Unsent
                } else {
                    Kind::Lost
                };
                fail(kind)
            })?;
            let (parts, body) = response.into_parts();
            let body = read_whole(body, REPLY_LIMIT).await;
            let body = body.map_err(|_| fail(Kind::Lost))?;
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        let late = |_| fail(Kind::Late { limit: self.limit });
        timeout(self.limit, exchange).await.map_err(late)?
    }
}

fn parse<T: DeserializeOwned>(method: Method, url: &str, reply: &Reply) -> Result<T> {
    reply
        .json()
        .map_err(|source| error(method, url, Kind::BadReply { source }))
}

fn error(method: Method, url: &str, kind: Kind) -> ClientError {
    ClientError {
        method,
        url: url.to_owned(),
        kind,
    }
}
