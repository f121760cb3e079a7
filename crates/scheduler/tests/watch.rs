//! Tests what a watch reads next: while the store has more changes, after a reply that may have been
//! cut short, and after a failed call.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    marigoldbend_core::clock::SystemClock,
    marigoldbend_http::connection::Outgoing,
    marigoldbend_platform::{
        rows::{Page, Result, Row, RowKey, TxOutcome, Wire},
        store::Store,
    },
    marigoldbend_scheduler::watch::{CatchUp, Update, WatchEvent, WatchTarget, watch_table},
    parking_lot::Mutex,
    std::{collections::VecDeque, convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    test_case::test_case,
    tokio::{net::TcpListener, sync::mpsc, time::timeout},
};

/// The number of rows in each response while the store has a backlog of changes.
const ROWS_PER_RESPONSE: u64 = 400;

/// The number of responses until the backlog is read.
const BACKLOG_RESPONSES: u64 = 3;

/// A minimal encoding: the path of a request is the version to read after, and the body of a
/// response is the number of rows and the next version.
const WIRE: Wire = Wire {
    tx: |_| Outgoing::new(Method::POST, "/", ""),
    range: |_| Outgoing::new(Method::GET, "/0", ""),
    feed: |_, after, _| Outgoing::new(Method::GET, format!("/{after}"), ""),
    outcome: |_, _| Ok(TxOutcome::Applied(1)),
    page,
};

fn page(_: &str, body: &[u8]) -> Result<Page> {
    let text = String::from_utf8_lossy(body);
    let (rows, version) = text.split_once(' ').unwrap_or(("0", "0"));
    let row = |i: u64| Row {
        name: RowKey::new("t", "", &i.to_string()),
        value: Vec::new(),
        version: 1,
        deleted: false,
    };
    Ok(Page {
        rows: (0..rows.parse().unwrap_or(0)).map(row).collect(),
        more: false,
        version: version.parse().unwrap_or(0),
    })
}

async fn respond(req: Request<Incoming>) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let after: u64 = req.uri().path()[1..].parse().unwrap_or(0);
    let rows = if after < BACKLOG_RESPONSES {
        ROWS_PER_RESPONSE
    } else {
        1
    };
    let body = format!("{rows} {}", after + 1);
    Ok(Response::new(Full::new(Bytes::from(body))))
}

async fn start_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let io = TokioIo::new(stream);
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(io, service_fn(respond)));
        }
    });
    address
}

/// Guards against a pause after every response, even if more changes wait in the store: the changes
/// of a large list then arrive later and later.
#[tokio::test]
async fn a_backlog_is_read_without_a_pause() {
    let store = Arc::new(Store::new(start_store().await, WIRE, Arc::new(SystemClock)));
    let target = WatchTarget {
        table: "t".to_owned(),
        part: String::new(),
        long_poll_timeout: Duration::from_millis(100),
        // Longer than the time limit of the test.
        pause_between_polls: Duration::from_secs(3_600),
        wake: None,
        catch_up: CatchUp::Changes,
    };
    let (tx, mut rx) = mpsc::unbounded_channel();
    let watch_task = tokio::spawn(watch_table(store, target, None, move |update: Update| {
        let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = update.event;
        let tx = tx.clone();
        Box::pin(async move { tx.send(rows.len() as u64).expect("the receiver is closed") })
    }));
    for _ in 0..BACKLOG_RESPONSES {
        let rows = timeout(Duration::from_secs(10), rx.recv()).await;
        assert_eq!(
            rows.expect("the watch paused despite the backlog"),
            Some(ROWS_PER_RESPONSE)
        );
    }
    watch_task.abort();
}

/// The interval for which a scripted watch lets the store wait for changes.
const WAIT: Duration = Duration::from_millis(40);

/// An encoding for scripted replies: a request names the call, the version and the wait; a reply has
/// the number of rows, the length of each value in kilobytes, the version of the last row and the
/// version to continue at.
const SCRIPT_WIRE: Wire = Wire {
    tx: |_| Outgoing::new(Method::POST, "/", ""),
    range: |_| Outgoing::new(Method::GET, "/rows", ""),
    feed: |_, after, wait| {
        let path = format!("/changes-{after}-{}", wait.as_millis());
        Outgoing::new(Method::GET, path, "")
    },
    outcome: |_, _| Ok(TxOutcome::Applied(1)),
    page: script_page,
};

fn script_page(_: &str, body: &[u8]) -> Result<Page> {
    let text = String::from_utf8_lossy(body);
    let fields: Vec<u64> = text.split(' ').filter_map(|f| f.parse().ok()).collect();
    let [rows, kilobytes, last, version] = fields[..] else {
        return Ok(Page::default());
    };
    let row = |i: u64| Row {
        name: RowKey::new("t", "", "config"),
        value: vec![0; kilobytes as usize * 1_000],
        version: last + 1 + i - rows,
        deleted: false,
    };
    Ok(Page {
        rows: (0..rows).map(row).collect(),
        more: false,
        version,
    })
}

/// What a scripted store replies to the next requests; an empty body is a refusal. Without a next
/// one, nothing is replied.
type Script = Arc<Mutex<VecDeque<&'static str>>>;

/// Serves a script; the paths of the requests are sent to `requests`.
async fn start_scripted(script: Script, requests: mpsc::UnboundedSender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding a port failed");
    let address = listener.local_addr().expect("the listener has no address");
    let handler = move |req: Request<Incoming>| {
        // The receiver is dropped at the end of the test.
        let _ = requests.send(req.uri().path().to_owned());
        let next = script.lock().pop_front();
        async move {
            let Some(body) = next else {
                return std::future::pending().await;
            };
            let mut response = Response::new(Full::new(Bytes::from(body)));
            if body.is_empty() {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            Ok::<_, Infallible>(response)
        }
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let http = hyper::server::conn::http1::Builder::new();
            let service = service_fn(handler.clone());
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Guards against a watch that reads every version of a row since a failure, which takes longer than
/// the versions take to come; and against a reply that was cut short and counts as all there is.
#[test_case(CatchUp::Rows, "1 1 7 7", &["/changes-5-40", "/changes-7-40"], &[true, true]; "a short reply is complete")]
#[test_case(CatchUp::Rows, "4 300 7 7", &["/changes-5-40", "/changes-7-0"], &[true, false]; "a long reply may be cut short")]
#[test_case(CatchUp::Rows, "4 300 7 9", &["/changes-5-40", "/changes-9-40"], &[true, true]; "a long reply that continues after its rows is complete")]
#[test_case(CatchUp::Rows, "", &["/changes-5-40", "/rows"], &[true]; "rows are read after a failure")]
#[test_case(CatchUp::Changes, "", &["/changes-5-40", "/changes-5-40"], &[true]; "changes are read after a failure")]
#[tokio::test]
async fn the_next_call_of_a_watch(
    catch_up: CatchUp,
    reply: &'static str,
    next_paths: &[&str],
    known: &[bool],
) {
    let (requests, mut paths) = mpsc::unbounded_channel();
    let script = Script::new(Mutex::new(VecDeque::from(["1 1 5 5", reply])));
    let address = start_scripted(script, requests).await;
    let store = Arc::new(Store::new(address, SCRIPT_WIRE, Arc::new(SystemClock)));
    let target = WatchTarget {
        table: "t".to_owned(),
        part: String::new(),
        long_poll_timeout: WAIT,
        pause_between_polls: Duration::ZERO,
        wake: None,
        catch_up,
    };
    let (tx, mut updates) = mpsc::unbounded_channel();
    let watch_task = tokio::spawn(watch_table(store, target, None, move |update: Update| {
        let tx = tx.clone();
        let is_known = update.as_of.is_some();
        Box::pin(async move { tx.send(is_known).expect("the receiver is closed") })
    }));
    let mut seen = Vec::new();
    while seen.len() <= next_paths.len() {
        let path = timeout(Duration::from_secs(10), paths.recv()).await;
        seen.push(path.expect("no further call").expect("the store has ended"));
    }
    assert_eq!(seen[0], "/rows");
    assert_eq!(seen[1..], *next_paths);
    for is_known in known {
        assert_eq!(updates.recv().await, Some(*is_known));
    }
    watch_task.abort();
}

/// Guards against a watch that hears of the store's return only when the call that got stuck in the
/// outage reaches its time limit.
#[test_case(CatchUp::Rows, "/rows"; "rows are read again")]
#[test_case(CatchUp::Changes, "/changes-5-3600000"; "changes are read again")]
#[tokio::test]
async fn a_stuck_call_is_sent_again_once_the_store_serves_a_peer(catch_up: CatchUp, next: &str) {
    let (requests, mut paths) = mpsc::unbounded_channel();
    let script = Script::new(Mutex::new(VecDeque::from(["1 1 5 5"])));
    let address = start_scripted(script, requests).await;
    let store = Arc::new(Store::new(address, SCRIPT_WIRE, Arc::new(SystemClock)));
    let target = WatchTarget {
        table: "t".to_owned(),
        part: String::new(),
        // Longer than the time limit of the test.
        long_poll_timeout: Duration::from_secs(3_600),
        pause_between_polls: Duration::ZERO,
        wake: None,
        catch_up,
    };
    let watch_task = tokio::spawn(watch_table(store.clone(), target, None, |_| {
        Box::pin(async {})
    }));
    let mut next_path = async || {
        let path = timeout(Duration::from_secs(10), paths.recv()).await;
        path.expect("no further call").expect("the store has ended")
    };
    assert_eq!(next_path().await, "/rows");
    assert_eq!(next_path().await, "/changes-5-3600000");
    store.request_retry();
    assert_eq!(next_path().await, next);
    watch_task.abort();
}
