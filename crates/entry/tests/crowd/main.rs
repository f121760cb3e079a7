//! Many clients that don't finish their requests, against real processes with a low memory and
//! descriptor limit in their settings.
//!
//! The tests check that the process lives, that its resident memory and its number of open
//! descriptors stay under a bound, and that an ordinary request is answered while all clients stay
//! connected. They check neither times nor how many requests of the crowd are served.

mod clients;
mod process;

use {
    clients::{Clients, Pace},
    process::{BODY_LIMIT, OPERATORS_BODY_LIMIT, Process},
    test_case::test_case,
};

/// The number of clients that send a body; without limits, their bodies fill twice
/// [`process::MEMORY_MB`].
const BODIES: usize = 240;

/// The number of clients of one listener that send no body; on four listeners, this is more than
/// [`process::MAX_FDS`].
const IDLE: usize = 90;

/// The number of clients that begin a long message between instances.
const FRAMES: usize = 60;

/// Guards against bodies that fill the memory because they are neither bounded in sum nor in time.
#[test_case(Pace::Whole; "in one write")]
#[test_case(Pace::Pieces(4 << 10); "in pieces")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_over_http1_stay_in_bounds(pace: Pace) {
    let process = Process::start_scheduler().await;
    let mut clients = Clients::default();
    let head = post(BODY_LIMIT);
    clients
        .send_http1(process.callers, BODIES, &head, BODY_LIMIT - 1, pace)
        .await;
    process.check(&mut clients).await;
}

/// Guards against streams of few connections that fill the memory like many connections would.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_over_http2_stay_in_bounds() {
    const STREAMS: usize = 60;
    let process = Process::start_scheduler().await;
    let mut clients = Clients::default();
    for _ in 0..BODIES / STREAMS {
        clients
            .send_http2(process.callers, STREAMS, BODY_LIMIT)
            .await;
    }
    process.check(&mut clients).await;
}

/// Guards against bodies that fill the memory although the listener expects none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_at_the_internal_listeners_stay_in_bounds() {
    let process = Process::start_scheduler().await;
    let mut clients = Clients::default();
    for address in [process.readiness, process.metrics] {
        let head = post(BODY_LIMIT);
        clients
            .send_http1(address, BODIES / 2, &head, BODY_LIMIT - 1, Pace::Whole)
            .await;
    }
    process.check(&mut clients).await;
}

/// Guards against connections that use up the descriptors without a request.
#[test_case(0; "that send nothing")]
#[test_case(24 << 10; "that send half a header")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_request_stay_in_bounds(header_bytes: usize) {
    let process = Process::start_scheduler().await;
    let mut clients = Clients::default();
    for address in [process.callers, process.readiness, process.metrics] {
        let head = half_header(header_bytes);
        clients
            .send_http1(address, IDLE, &head, 0, Pace::Whole)
            .await;
    }
    // A message between instances starts with its length in four bytes; here, only two arrive.
    let head = &[0, 1][..header_bytes.min(2)];
    clients
        .send_http1(process.peers, IDLE, head, 0, Pace::Whole)
        .await;
    process.check(&mut clients).await;
}

/// Guards against long messages at the listener for peers that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_messages_of_peers_stay_in_bounds() {
    const SENT_BYTES: usize = 1 << 20;
    let process = Process::start_scheduler().await;
    let mut clients = Clients::default();
    let length = (SENT_BYTES as u32 + 1).to_be_bytes();
    clients
        .send_http1(process.peers, FRAMES, &length, SENT_BYTES, Pace::Whole)
        .await;
    process.check(&mut clients).await;
}

/// Guards against the same at an instance that forwards requests, on its callers' and its
/// operators' listener.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_at_an_instance_that_forwards_requests_stay_in_bounds() {
    let process = Process::start_forwarder().await;
    let mut clients = Clients::default();
    let put = format!(
        "PUT /config HTTP/1.1\r\nHost: {}\r\nContent-Length: {OPERATORS_BODY_LIMIT}\r\n\r\n",
        process.operators()
    );
    for (address, head) in [
        (process.operators(), put.into_bytes()),
        (process.callers, post(OPERATORS_BODY_LIMIT)),
    ] {
        let bytes = OPERATORS_BODY_LIMIT - 1;
        clients
            .send_http1(address, FRAMES, &head, bytes, Pace::Whole)
            .await;
    }
    process.check(&mut clients).await;
}

/// Guards against connections without a request at an instance that forwards requests.
#[test_case(0; "that send nothing")]
#[test_case(24 << 10; "that send half a header")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_an_instance_that_forwards_requests_stay_in_bounds(header_bytes: usize) {
    let process = Process::start_forwarder().await;
    let mut clients = Clients::default();
    let head = half_header(header_bytes);
    for address in [process.operators(), process.callers] {
        clients
            .send_http1(address, 2 * IDLE, &head, 0, Pace::Whole)
            .await;
    }
    process.check(&mut clients).await;
}

/// Returns the header section of a submission with a body of this length.
fn post(body_bytes: usize) -> Vec<u8> {
    let path = process::submission_path(0);
    let host = process::HOST_NAME;
    format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: 3000\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the first `bytes` bytes of a header section that goes on.
fn half_header(bytes: usize) -> Vec<u8> {
    let mut head = b"GET / HTTP/1.1\r\nX-Long: ".to_vec();
    head.resize(bytes.max(head.len()), b'x');
    head.truncate(bytes);
    head
}
