//! The open connections of a listener, and which one is closed for a new one.
//!
//! A connection may be closed for a new one while it has no request in flight, or only requests
//! whose bodies have not arrived yet: nothing was done for any of these. A limit by peer address
//! would affect ordinary callers behind a common balancer. Therefore, the number of connections of
//! an address decides only which one is closed once the listener is full.

use {
    crate::hash::HashMap,
    std::{
        cmp::Reverse,
        net::IpAddr,
        time::{Duration, Instant},
    },
};

/// The identifier of a connection in a [`ConnectionTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug)]
struct Connection {
    peer: IpAddr,
    /// When the connection was opened, or the last change of its requests in flight.
    since: Instant,
    has_served: bool,
    /// Requests in flight.
    in_flight: u32,
    /// Requests in flight whose bodies have not arrived yet.
    receiving: u32,
    /// Whether the connection has been chosen to be closed.
    is_closing: bool,
}

/// How long a connection may be without a request.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// Before its first request.
    pub first: Duration,
    /// After a request.
    pub next: Duration,
}

/// The open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: HashMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ConnectionTable {
    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection from `peer`.
    pub fn open(&mut self, peer: IpAddr, now: Instant) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            peer,
            since: now,
            has_served: false,
            in_flight: 0,
            receiving: 0,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Counts the begin of a request.
    pub fn begin_request(&mut self, id: ConnectionId, now: Instant) {
        self.change(id, now, |c| c.in_flight += 1);
    }

    /// Counts the end of a request.
    pub fn end_request(&mut self, id: ConnectionId, now: Instant) {
        self.change(id, now, |c| {
            c.in_flight = c.in_flight.saturating_sub(1);
            c.has_served = true;
        });
    }

    /// Counts a request whose body is being received.
    pub fn begin_body(&mut self, id: ConnectionId, now: Instant) {
        self.change(id, now, |c| c.receiving += 1);
    }

    /// Counts that a body has arrived or was given up.
    pub fn end_body(&mut self, id: ConnectionId, now: Instant) {
        self.change(id, now, |c| c.receiving = c.receiving.saturating_sub(1));
    }

    fn change(&mut self, id: ConnectionId, now: Instant, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            change(connection);
            connection.since = now;
        }
    }

    /// Chooses the connection to be closed for a new one, at most once for each; `None` if all
    /// others have a request that is being handled, or changed within `min_age`. Without that time,
    /// a crowd that connects again at once would displace clients before they send a request.
    ///
    /// Connections without a request come first, of these those that never had one; then those of
    /// the address with the most connections; then the one that has been waiting longest.
    pub fn choose_victim(&mut self, min_age: Duration, now: Instant) -> Option<ConnectionId> {
        let mut by_peer: HashMap<IpAddr, usize> = HashMap::default();
        for connection in self.connections.values() {
            *by_peer.entry(connection.peer).or_default() += 1;
        }
        let closable = self
            .connections
            .iter()
            .filter(|(_, c)| c.in_flight == c.receiving && !c.is_closing)
            .filter(|(_, c)| now.saturating_duration_since(c.since) >= min_age);
        let rank = |c: &Connection| {
            let of_peer = by_peer.get(&c.peer).copied().unwrap_or_default();
            (c.receiving > 0, c.has_served, Reverse(of_peer), c.since)
        };
        let victim = closable.min_by_key(|(id, c)| (rank(c), **id));
        let victim = *victim?.0;
        if let Some(connection) = self.connections.get_mut(&victim) {
            connection.is_closing = true;
        }
        Some(victim)
    }

    /// Returns when a connection has been without a request for too long; `None` while it has one.
    pub fn idle_deadline(&self, id: ConnectionId, limits: IdleLimits) -> Option<Instant> {
        let connection = self.connections.get(&id)?;
        let limit = if connection.has_served {
            limits.next
        } else {
            limits.first
        };
        (connection.in_flight == 0).then(|| connection.since + limit)
    }
}
