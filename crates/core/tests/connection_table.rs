//! The table of connections: which one is closed for a new one, and when an idle one is closed.

use {
    marigoldbend_core::connection_table::{ConnectionTable, IdleLimits},
    std::{
        net::{IpAddr, Ipv4Addr},
        time::{Duration, Instant},
    },
};

const IDLE: IdleLimits = IdleLimits {
    first: Duration::from_secs(10),
    next: Duration::from_secs(60),
};

/// The age at which a connection may be closed for a new one.
const MIN_AGE: Duration = Duration::from_millis(500);

fn peer(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// Guards against the end of a request that may have had an effect, and against victims that were
/// useful while a silent connection stays.
#[test]
fn silent_connections_are_closed_first_and_handled_requests_never() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut table = ConnectionTable::default();
    let handled = table.open(peer(1), at(0));
    table.begin_request(handled, at(0));
    let receiving = table.open(peer(1), at(1));
    table.begin_request(receiving, at(1));
    table.begin_body(receiving, at(1));
    let reused = table.open(peer(1), at(2));
    table.begin_request(reused, at(2));
    table.end_request(reused, at(3));
    let of_few = table.open(peer(2), at(4));
    let silent = table.open(peer(1), at(5));
    let younger = table.open(peer(1), at(6));
    let new = table.open(peer(3), at(400));
    // Guards against new connections that are closed before they can send their requests.
    assert_eq!(table.choose_victim(MIN_AGE, at(400)), None);
    let victims: Vec<_> = std::iter::from_fn(|| table.choose_victim(MIN_AGE, at(600))).collect();
    assert_eq!(victims, [silent, younger, of_few, reused, receiving]);
    assert_eq!(table.choose_victim(MIN_AGE, at(900)), Some(new));
}

/// Guards against connections that stay open without a request, and against the end of those that
/// have one.
#[test]
fn the_idle_time_begins_with_the_end_of_a_request() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut table = ConnectionTable::default();
    let id = table.open(peer(1), at(0));
    assert_eq!(table.idle_deadline(id, IDLE), Some(at(10)));
    table.begin_request(id, at(9));
    assert_eq!(table.idle_deadline(id, IDLE), None);
    table.end_request(id, at(30));
    assert_eq!(table.idle_deadline(id, IDLE), Some(at(90)));
    table.close(id);
    assert!(table.is_empty());
}
