//! A JSON client whose errors say whether the request may have taken effect.

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

/// The maximum length of a reply body, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// The idle time after which a connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A result of a request.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// Why a request got no usable reply.
#[derive(Debug, Snafu)]
#[snafu(display("{method} {url}: {kind}"))]
pub struct ClientError {
    method: Method,
    url: String,
    kind: Kind,
}

#[derive(Debug, Snafu)]
enum Kind {
    #[snafu(display("the URL is not valid"))]
    InvalidUrl,
    #[snafu(display("no connection could be made"))]
    Unsent,
    #[snafu(display("the connection failed before the reply was complete"))]
    Lost,
    #[snafu(display("no reply within {} ms", time_limit.as_millis()))]
    TimedOut { time_limit: Duration },
    #[snafu(display("the reply is not the expected JSON: {source}"))]
    InvalidReply { source: serde_json::Error },
}

impl ClientError {
    /// Returns whether the request was not sent, so that it certainly had no effect.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, Kind::Unsent | Kind::InvalidUrl)
    }
}

/// A reply that has been read to its end.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The whole body.
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

/// A client for JSON requests with a time limit.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    time_limit: Duration,
}

impl JsonClient {
    /// Creates a client.
    ///
    /// A request without a complete reply fails after `time_limit`; connecting may take half of
    /// that time. `local_ip` is the source address of connections; if it is `None`, the system
    /// chooses one.
    pub fn new(time_limit: Duration, local_ip: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(time_limit / 2));
        connector.set_local_address(local_ip);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, time_limit }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time.
    pub async fn get(&self, url: &str) -> Result<Reply> {
        self.send(Method::GET, url, HeaderMap::new(), Bytes::new())
            .await
    }

    /// Sends a GET request and parses the reply's body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time, or its body is not JSON of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let reply = self.get(url).await?;
        parse(Method::GET, url, &reply)
    }

    /// Parses the body of a reply to a GET request of `url`, which an error names.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON of this type.
    pub fn parse_reply<T: DeserializeOwned>(&self, url: &str, reply: &Reply) -> Result<T> {
        parse(Method::GET, url, reply)
    }

    /// Sends a JSON value in a POST request and parses the reply's body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time, or its body is not JSON of this type.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        url: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let reply = self.post(url, value).await?;
        parse(Method::POST, url, &reply)
    }

    /// Sends a JSON value in a POST request.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time.
    pub async fn post(&self, url: &str, value: &impl Serialize) -> Result<Reply> {
        let body = serde_json::to_vec(value)
            .map_err(|source| error(Method::POST, url, Kind::InvalidReply { source }))?;
        self.send(Method::POST, url, HeaderMap::new(), body.into())
            .await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply came in time. Unless [`ClientError::is_unsent`], the
    /// request may have taken effect.
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
            .map_err(|_| fail(Kind::InvalidUrl))?;
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
            let body = read_whole(body, MAX_REPLY_BYTES).await;
            let body = body.map_err(|_| fail(Kind::Lost))?;
            Ok(Reply {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        let timed_out = |_| {
            fail(Kind::TimedOut {
                time_limit: self.time_limit,
            })
        };
        timeout(self.time_limit, exchange)
            .await
            .map_err(timed_out)?
    }
}

fn parse<T: DeserializeOwned>(method: Method, url: &str, reply: &Reply) -> Result<T> {
    reply
        .json()
        .map_err(|source| error(method, url, Kind::InvalidReply { source }))
}

fn error(method: Method, url: &str, kind: Kind) -> ClientError {
    ClientError {
        method,
        url: url.to_owned(),
        kind,
    }
}
