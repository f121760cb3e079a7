//! Tests how the store's client handles refused writes, lost replies, deleted history and ranges of
//! several pages.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::{
        clock::{Clock, ManualClock, SystemClock},
        sched::leadership::StoreHealth,
    },
    marigoldbend_http::connection::Outgoing,
    marigoldbend_platform::{
        rows::{Page, Range, Result, Row, RowKey, Tx, TxOutcome, Wire},
        store::{Store, StoreError},
    },
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    test_case::test_case,
    tokio::{io::AsyncWriteExt, net::TcpListener, time::timeout},
};

/// A minimal encoding: the path of a request selects the response.
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

fn page(_: &str, body: &[u8]) -> Result<Page> {
    let text = String::from_utf8_lossy(body);
    let row = |key: &str| Row {
        name: RowKey::new("t", "", key),
        value: Vec::new(),
        version: 1,
        deleted: false,
    };
    Ok(Page {
        rows: text.trim_end_matches('+').split(',').map(row).collect(),
        more: text.ends_with('+'),
        version: 5,
    })
}

async fn respond(req: Request<Incoming>) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
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
    *response.status_mut() = StatusCode::from_u16(status).expect("the status code is not valid");
    Ok(response)
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(respond);
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

/// Returns a transaction that is sent to the path `/{number}`; see [`respond`].
fn transaction(number: usize) -> Tx {
    Tx {
        deletes: vec![RowKey::new("t", "", "k"); number],
        ..Tx::default()
    }
}

#[test_case(0, None; "a write that took effect")]
#[test_case(1, Some(StoreError::NotApplied); "a refused write")]
#[test_case(2, Some(StoreError::NotApplied); "too many requests")]
#[test_case(3, Some(StoreError::Unknown); "a write without a reply")]
#[tokio::test]
async fn an_error_of_a_write_says_whether_it_may_have_taken_effect(
    number: usize,
    expected: Option<StoreError>,
) {
    let store = client(serve().await);
    assert_eq!(store.tx(&transaction(number)).await.err(), expected);
}

#[tokio::test]
async fn failed_calls_are_counted_by_kind() {
    let store = client(serve().await);
    for number in [0, 1, 2, 2, 3] {
        let _ = store.tx(&transaction(number)).await;
    }
    let counters = store.counters();
    let counts = [
        &counters.unavailable,
        &counters.overloaded,
        &counters.unanswered,
        &counters.failures,
    ];
    let counts = counts.map(|counter| counter.load(Ordering::Relaxed));
    assert_eq!(counts, [1, 2, 1, 4]);
}

#[tokio::test]
async fn a_write_without_a_connection_is_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    drop(listener);
    let store = client(address);
    assert_eq!(
        store.tx(&transaction(0)).await.err(),
        Some(StoreError::NotApplied)
    );
    assert!(store.is_reachable(), "one failure is not an outage yet");
}

#[tokio::test]
async fn a_range_of_several_pages_is_read_whole() {
    let store = client(serve().await);
    let range = Range {
        table: "t",
        part: "",
        from: "",
        to: "",
        limit: None,
    };
    let page = store.range(&range).await.expect("reading the range failed");
    let keys: Vec<_> = page.rows.iter().map(|r| r.name.key.as_str()).collect();
    assert_eq!(keys, ["a", "b", "c"]);
}

#[tokio::test]
async fn a_read_of_deleted_history_returns_its_own_error() {
    let store = client(serve().await);
    let changes = store.feed("t", 3, Duration::ZERO).await;
    assert_eq!(changes.err(), Some(StoreError::HistoryDeleted));
}

/// Serves like [`serve`], and advances `clock` by `delay` with each request.
async fn serve_slowly(clock: Arc<ManualClock>, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let clock = clock.clone();
            let service = service_fn(move |req| {
                clock.advance(delay);
                respond(req)
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

#[tokio::test]
async fn the_write_time_expires_without_further_writes() {
    let clock = Arc::new(ManualClock::new(Instant::now()));
    let delay = Duration::from_millis(240);
    let address = serve_slowly(clock.clone(), delay).await;
    let store = Store::new(address, WIRE, clock.clone());
    assert_eq!(store.write_time(), None, "there was no write yet");
    assert_eq!(
        store.tx(&transaction(1)).await.err(),
        Some(StoreError::NotApplied)
    );
    assert_eq!(
        store.write_time(),
        None,
        "a refused write has no write time"
    );
    for _ in 0..3 {
        assert!(store.tx(&transaction(0)).await.is_ok());
    }
    assert_eq!(store.write_time(), Some(delay));
    clock.advance(Duration::from_secs(3));
    assert_eq!(store.write_time(), None, "the write time has expired");
}

/// Guards against a read that lasts as long as its connection, because a reply has begun.
#[tokio::test]
async fn a_read_whose_reply_stops_midway_fails() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("no connection arrived");
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\na,b";
        stream.write_all(reply).await.expect("the client is gone");
        std::future::pending::<()>().await;
    });
    let store = Store::new(address, WIRE, Arc::new(SystemClock));
    let read = timeout(Duration::from_secs(10), store.feed("t", 1, Duration::ZERO)).await;
    assert_eq!(
        read.expect("the read does not end"),
        Err(StoreError::Unknown)
    );
    server.abort();
}

#[tokio::test]
async fn health_tells_when_served_calls_were_sent_and_when_failed_calls_ended() {
    let start = Instant::now();
    let clock = Arc::new(ManualClock::new(start));
    let delay = Duration::from_millis(240);
    let address = serve_slowly(clock.clone(), delay).await;
    let store = Store::new(address, WIRE, clock.clone());
    assert!(store.tx(&transaction(0)).await.is_ok());
    let served = StoreHealth {
        reachable: true,
        served_at: Some(start),
        ..StoreHealth::default()
    };
    assert_eq!(store.health(), served);
    for failures in 1..=2 {
        assert!(store.tx(&transaction(1)).await.is_err());
        let failing = StoreHealth {
            failing_since: Some(start + delay * 2),
            failed_call_sent: Some(start + delay * failures),
            ..served
        };
        assert_eq!(store.health(), failing);
    }
    clock.advance(Duration::from_secs(1));
    assert!(!store.health().reachable);
    assert!(store.tx(&transaction(0)).await.is_ok());
    let served_at = Some(start + delay * 3 + Duration::from_secs(1));
    let expected = StoreHealth {
        served_at,
        reachable_since: Some(clock.now()),
        ..served
    };
    assert_eq!(store.health(), expected);
    assert!(store.tx(&transaction(1)).await.is_err());
    assert!(store.tx(&transaction(0)).await.is_ok());
    let since = store.health().reachable_since;
    assert_eq!(
        since, expected.reachable_since,
        "a short failure is no outage"
    );
}
