//! A proxy in front of the stand-in for the store, which does not know the limits that PROTOCOL.md sets
//! for a transaction. The proxy refuses a transaction beyond them, and passes on all other calls.

use {
    crate::record::Record,
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, body::Incoming, service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    marigoldbend_http::client::JsonClient,
    parking_lot::Mutex,
    serde_json::Value,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// `row_bytes` of the small deployments.
const ROW_BYTES: usize = 65_536;
const MAX_TX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;

#[derive(Default)]
pub struct Counts {
    pub writes: u64,
    pub too_long: u64,
    pub longest: usize,
}

#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    target: SocketAddr,
    client: JsonClient,
    record: Record,
    pub counts: Arc<Mutex<Counts>>,
}

impl Proxy {
    pub async fn start(target: SocketAddr, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target,
            client: JsonClient::new(Duration::from_secs(60), None),
            record,
            counts: Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let proxy = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| {
                    let proxy = proxy.clone();
                    async move { Ok::<_, Infallible>(proxy.handle(req).await) }
                });
                let builder = auto::Builder::new(TokioExecutor::new());
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return answer(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        if path == "/v1/rows-tx" {
            let tx: Value = serde_json::from_slice(&body).unwrap_or_default();
            if let Some(refusal) = self.refusal(&tx, body.len()) {
                return refusal;
            }
        }
        self.forward(parts.method, &path, body).await
    }

    /// Refuses a transaction beyond the limits of the store.
    fn refusal(&self, tx: &Value, length: usize) -> Option<Response<Full<Bytes>>> {
        let list = |name: &str| tx[name].as_array().map_or(&[][..], Vec::as_slice);
        let mut counts = self.counts.lock();
        counts.writes += 1;
        let entries = ["expected_rev", "puts", "remove"].map(|name| list(name).len());
        if entries.iter().sum::<usize>() > MAX_TX_ENTRIES || length > MAX_TX_BYTES {
            self.record.add(format!(
                "store: 400 for a transaction of {entries:?} entries, {length} bytes"
            ));
            return Some(answer(StatusCode::BAD_REQUEST, Bytes::new()));
        }
        for put in list("puts") {
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            let length = value.map_or(0, |v| v.len());
            counts.longest = counts.longest.max(length);
            if length > ROW_BYTES {
                counts.too_long += 1;
                if counts.too_long <= 5 || counts.too_long.is_multiple_of(50) {
                    self.record.add(format!(
                        "store: 413 for a row of {length} bytes, {}/{}/{}, in a transaction of {entries:?} entries; {} so far",
                        put["table"], put["part"], put["key"], counts.too_long
                    ));
                }
                return Some(answer(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()));
            }
        }
        None
    }

    async fn forward(&self, method: Method, path: &str, body: Bytes) -> Response<Full<Bytes>> {
        let url = format!("http://{}{path}", self.target);
        match self.client.send(method, &url, HeaderMap::new(), body).await {
            Ok(reply) => answer(reply.status, reply.body),
            Err(_) => answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }
}

fn answer(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
