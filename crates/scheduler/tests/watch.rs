//! Whether changes are followed as fast as they come, however many there are.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::clock::SystemClock,
    marigoldbend_http::connection::Outgoing,
    marigoldbend_platform::{
        rows::{Page, Result, Row, RowKey, TxOutcome, Wire},
        store::Store,
    },
    marigoldbend_scheduler::watch::{WatchEvent, WatchTarget, watch_table},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc, time::timeout},
};

/// Rows in each answer of a store that has more to tell.
const FULL: u64 = 400;

/// Answers until everything has been told.
const BACKLOG: u64 = 3;

/// A wire whose answers hold as many rows as the body says, after the version in the path.
const WIRE: Wire = Wire {
    tx: |_| Outgoing::new(Method::POST, "/", ""),
    range: |_| Outgoing::new(Method::GET, "/0", ""),
    feed: |_, after, _| Outgoing::new(Method::GET, format!("/{after}"), ""),
    outcome: |_, _| Ok(TxOutcome::Applied(1)),
    page,
};

fn page(body: &[u8]) -> Result<Page> {
    let text = String::from_utf8_lossy(body);
    let (rows, ver) = text.split_once(' ').unwrap_or(("0", "0"));
    let row = |i: u64| Row {
        name: RowKey::new("t", "", &i.to_string()),
        value: Vec::new(),
        ver: 1,
        deleted: false,
    };
    Ok(Page {
        rows: (0..rows.parse().unwrap_or(0)).map(row).collect(),
        more: false,
        ver: ver.parse().unwrap_or(0),
    })
}

async fn answer(req: Request<Incoming>) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let after: u64 = req.uri().path()[1..].parse().unwrap_or(0);
    let rows = if after < BACKLOG { FULL } else { 1 };
    let body = format!("{rows} {}", after + 1);
    Ok(Response::new(Full::new(Bytes::from(body))))
}

async fn stand_in() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let io = TokioIo::new(stream);
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(io, service_fn(answer)));
        }
    });
    address
}

/// With a pause after every answer, the changes of a large list came ever later.
#[tokio::test]
async fn a_backlog_is_read_without_a_pause() {
    let store = Arc::new(Store::new(stand_in().await, WIRE, Arc::new(SystemClock)));
    let watched = WatchTarget {
        table: "t".to_owned(),
        part: String::new(),
        wait: Duration::from_millis(100),
        // Longer than the test may take.
        gap: Duration::from_secs(3_600),
    };
    let (tx, mut rx) = mpsc::unbounded_channel();
    let following = tokio::spawn(watch_table(store, watched, None, move |seen| {
        let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = seen;
        let tx = tx.clone();
        Box::pin(async move { tx.send(rows.len() as u64).expect("the test goes on") })
    }));
    for _ in 0..BACKLOG {
        let rows = timeout(Duration::from_secs(10), rx.recv()).await;
        assert_eq!(rows.expect("no pause"), Some(FULL));
    }
    following.abort();
}
