//! The open connections of one listener: their number, their idle time, and the one that is closed
//! for a new one.

use {
    crate::counters::Counters,
    marigoldbend_core::{
        connection_table::{ConnectionId, ConnectionTable, IdleLimits},
        hash::HashMap,
    },
    parking_lot::Mutex,
    std::{
        net::IpAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep_until, timeout},
    },
};

/// The interval at which a full listener looks for a connection that it can close.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The open connections of one listener.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    close_age: Option<Duration>,
    idle: IdleLimits,
    state: Mutex<State>,
    freed: Notify,
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct State {
    table: ConnectionTable,
    closing: HashMap<ConnectionId, Arc<Notify>>,
}

impl Connections {
    /// Creates an empty set of at most `limit` connections. Once the
    /// limit is reached, a connection without a request is closed for a new one if it is at least
    /// as old as `close_age`; none is closed if that is `None`.
    pub fn new(
        limit: usize,
        close_age: Option<Duration>,
        idle: IdleLimits,
        counters: Arc<Counters>,
    ) -> Arc<Self> {
        Arc::new(Self {
            limit: limit.max(1),
            close_age,
            idle,
            state: Mutex::default(),
            freed: Notify::new(),
            counters,
        })
    }

    /// Adds a connection from `peer`; waits until there is room.
    pub async fn admit(self: &Arc<Self>, peer: IpAddr) -> OpenConnection {
        loop {
            if let Some(open) = self.try_admit(peer) {
                return open;
            }
            // After the interval, a connection that had a request may have none.
            let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        }
    }

    fn try_admit(self: &Arc<Self>, peer: IpAddr) -> Option<OpenConnection> {
        let mut state = self.state.lock();
        let now = Instant::now();
        if state.table.len() >= self.limit {
            if let Some(min_age) = self.close_age
                && let Some(victim) = state.table.choose_victim(min_age, now)
                && let Some(closing) = state.closing.get(&victim)
            {
                closing.notify_one();
                self.counters.connections_displaced.add(1);
            }
            return None;
        }
        let id = state.table.open(peer, now);
        let closing = Arc::new(Notify::new());
        state.closing.insert(id, closing.clone());
        self.counters.connections_open.add(1);
        Some(OpenConnection {
            id,
            connections: self.clone(),
            closing,
        })
    }
}

/// An open connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct OpenConnection {
    id: ConnectionId,
    connections: Arc<Connections>,
    closing: Arc<Notify>,
}

impl OpenConnection {
    /// Returns the counts of the connection's requests.
    pub fn activity(&self) -> Activity {
        Activity {
            id: self.id,
            connections: self.connections.clone(),
        }
    }

    /// Waits until the connection has to be closed, for lack of a request or for a new one.
    pub async fn closed(&self) {
        loop {
            let deadline = {
                let state = self.connections.state.lock();
                state.table.idle_deadline(self.id, self.connections.idle)
            };
            let now = Instant::now();
            if deadline.is_some_and(|deadline| deadline <= now) {
                self.connections.counters.connections_idle.add(1);
                return;
            }
            let check_at = deadline.unwrap_or(now + self.connections.idle.first);
            tokio::select! {
                () = self.closing.notified() => return,
                () = sleep_until(check_at.into()) => {}
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state.lock();
        state.table.close(self.id);
        state.closing.remove(&self.id);
        drop(state);
        self.connections.counters.connections_open.subtract(1);
        self.connections.freed.notify_one();
    }
}

/// Counts the requests of one connection. The server adds it to the extensions of each request.
#[derive(Clone, Debug)]
pub struct Activity {
    id: ConnectionId,
    connections: Arc<Connections>,
}

impl Activity {
    /// Counts a request, until the result is dropped.
    pub fn serve(&self) -> Serving {
        let mut state = self.connections.state.lock();
        state.table.begin_request(self.id, Instant::now());
        Serving(self.clone())
    }

    /// Counts a request whose body is being received, until the result is dropped.
    pub fn receive(&self) -> Receiving {
        let mut state = self.connections.state.lock();
        state.table.begin_body(self.id, Instant::now());
        Receiving(self.clone())
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct Serving(Activity);

impl Drop for Serving {
    fn drop(&mut self) {
        let mut state = self.0.connections.state.lock();
        state.table.end_request(self.0.id, Instant::now());
    }
}

/// A request in flight whose body is being received.
#[derive(Debug)]
pub struct Receiving(Activity);

impl Drop for Receiving {
    fn drop(&mut self) {
        let mut state = self.0.connections.state.lock();
        state.table.end_body(self.0.id, Instant::now());
    }
}
