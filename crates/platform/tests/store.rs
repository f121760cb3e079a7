//! What the store's client makes of refusals, lost replies, cut histories and long ranges.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::clock::{ManualClock, SystemClock},
    marigoldbend_http::connection::Outgoing,
    marigoldbend_platform::{
        rows::{Page, Range, Result, Row, RowKey, Tx, TxOutcome, Wire},
        store::{Store, StoreError},
    },
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    test_case::test_case,
    tokio::net::TcpListener,
};

/// A wire that is as plain as can be: the path says what is answered.
const WIRE: Wire = Wire {
    tx: |tx| Outgoing::new(hyper::Method::POST, format!("/{}", tx.deletes.len()), ""),
    range: |range| {
        let path = format!("/range/{}", range.from.replace('\u{1}', "-after"));
        Outgoing::new(hyper::Method::GET, path, "")
    },
    feed: |_, after, _| Outgoing::new(hyper::Method::GET, format!("/feed/{after}"), ""),
    outcome: |_, _| Ok(TxOutcome::Applied(1)),
    page,
};

fn page(body: &[u8]) -> Result<Page> {
    let text = String::from_utf8_lossy(body);
    let row = |key: &str| Row {
        name: RowKey::new("t", "", key),
        value: Vec::new(),
        ver: 1,
        deleted: false,
    };
    Ok(Page {
        rows: text.trim_end_matches('+').split(',').map(row).collect(),
        more: text.ends_with('+'),
        ver: 5,
    })
}

async fn answer(req: Request<Incoming>) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match req.uri().path() {
        "/1" => (503, ""),
        "/2" => (429, ""),
        "/3" => {
            tokio::time::timeout(Duration::from_secs(30), std::future::pending::<()>())
                .await
                .ok();
            (200, "")
        }
        "/feed/3" => (410, ""),
        "/range/" => (200, "a,b+"),
        "/range/b-after" => (200, "c"),
        _ => (200, ""),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    Ok(response)
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(answer);
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

fn client(address: SocketAddr) -> Store {
    Store::new(address, WIRE, Arc::new(SystemClock))
}

fn call(number: usize) -> Tx {
    Tx {
        deletes: vec![RowKey::new("t", "", "k"); number],
        ..Tx::default()
    }
}

#[test_case(0, None; "a write that took effect")]
#[test_case(1, Some(StoreError::NotApplied); "one that was refused")]
#[test_case(2, Some(StoreError::NotApplied); "one too many")]
#[test_case(3, Some(StoreError::Unknown); "one without a reply")]
#[tokio::test]
async fn a_write_is_known_to_be_undone_or_unclear(number: usize, expected: Option<StoreError>) {
    let store = client(serve().await);
    assert_eq!(store.tx(&call(number)).await.err(), expected);
}

#[tokio::test]
async fn a_store_that_is_not_there_did_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let store = client(address);
    assert_eq!(store.tx(&call(0)).await.err(), Some(StoreError::NotApplied));
    assert!(store.is_reachable(), "one failure is not an outage yet");
}

#[tokio::test]
async fn a_long_range_is_read_whole() {
    let store = client(serve().await);
    let range = Range {
        table: "t",
        part: "",
        from: "",
        to: "",
    };
    let page = store.range(&range).await.expect("it is read");
    let keys: Vec<_> = page.rows.iter().map(|r| r.name.key.as_str()).collect();
    assert_eq!(keys, ["a", "b", "c"]);
}

#[tokio::test]
async fn a_cut_history_is_told_apart() {
    let store = client(serve().await);
    let seen = store.feed("t", 3, Duration::ZERO).await;
    assert_eq!(seen.err(), Some(StoreError::HistoryGone));
}

/// Serves like [`serve`], and moves a clock by `took` with each request.
async fn serve_slowly(clock: Arc<ManualClock>, took: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let clock = clock.clone();
            let service = service_fn(move |req| {
                clock.advance(took);
                answer(req)
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

#[tokio::test]
async fn the_time_of_writes_is_known_for_a_while() {
    let clock = Arc::new(ManualClock::new(Instant::now()));
    let took = Duration::from_millis(240);
    let address = serve_slowly(clock.clone(), took).await;
    let store = Store::new(address, WIRE, clock.clone());
    assert_eq!(store.write_time(), None, "nothing was written yet");
    assert_eq!(store.tx(&call(1)).await.err(), Some(StoreError::NotApplied));
    assert_eq!(store.write_time(), None, "a refusal is no write");
    for _ in 0..3 {
        assert!(store.tx(&call(0)).await.is_ok());
    }
    assert_eq!(store.write_time(), Some(took));
    clock.advance(Duration::from_secs(3));
    assert_eq!(store.write_time(), None, "it may be fast again");
}
