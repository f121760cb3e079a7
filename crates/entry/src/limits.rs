//! The limits of an instance's listeners, derived from the memory and the descriptors that the
//! process may use.
//!
//! If neither is stated, only the time limits apply.

use {
    marigoldbend::{
        core::byte_budget::BudgetLimits,
        http::{
            budget::{Budget, MessageTimes},
            counters::Counters,
            server::{Http2Limits, Limits, SocketLimits},
        },
        peer::server::Limits as PeerLimits,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// The part of the memory that messages in flight may hold: 20 MB of 160 MB. The rest is for the
/// process itself (a leader of 350 workers uses up to 100 MB), connections and socket buffers.
const BUDGET_DIVISOR: u64 = 8;

/// The part of the budget that is reserved for small messages.
const SMALL_POOL_DIVISOR: usize = 4;

/// The maximum size of a message in the reserve, in bytes: a body of 16 KiB and its header section.
/// Jobs have a few kilobytes.
const SMALL_MESSAGE_BYTES: usize = 20 << 10;

/// The age at which an unfinished message may be closed for another one. A body of 262,144 bytes
/// takes 0.2 s on the slowest link of an instance (10 Mbit/s).
const MIN_CLOSE_AGE: Duration = Duration::from_millis(500);

/// The age at which a connection without a request is closed for a new one, if the listener is full.
const CLOSE_AGE: Duration = Duration::from_millis(500);

/// The same at an internal listener. These have few connections, whose clients send their requests
/// at once, and a readiness probe must not wait for many silent connections.
const INTERNAL_CLOSE_AGE: Duration = Duration::from_millis(50);

/// Connections from callers per megabyte of memory. A connection takes up to 40 KiB while it
/// receives a request, so these take less than a sixth of the memory.
const CONNECTIONS_PER_MB: u64 = 4;

/// Descriptors that are kept for outgoing connections and files: three for each of 350 workers, and
/// those to peers and to the store. An instance with fewer descriptors keeps half of them.
const OUTGOING_FDS: u64 = 1_280;

/// The limits of the system's buffers, which count towards the machine's memory while the process
/// has no processor time to read them. The system doubles the size of the receive buffer; at 100 ms
/// of delay, 262,144 bytes still arrive within a second. The backlog takes the connections of some
/// seconds.
const SOCKETS: SocketLimits = SocketLimits {
    receive_buffer: 32 << 10,
    backlog: 256,
};

/// The limits of a connection over HTTP/2. The windows are four times the size of ordinary jobs, and
/// as large as the longest job.
const HTTP2: Http2Limits = Http2Limits {
    streams: 64,
    stream_window: 64 << 10,
    connection_window: 256 << 10,
};

/// The maximum length of a request's header section, in bytes, if the memory is limited. The read
/// buffer of a connection grows to twice that; with the 32 KiB that hold otherwise, 420 unfinished
/// bodies took 30 MB of buffers.
const CALLER_HEADER_BYTES: usize = 16 << 10;

/// The same at an internal listener, whose clients send short header sections.
const INTERNAL_HEADER_BYTES: usize = 8 << 10;

/// How often refusals are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of an instance's listeners.
#[derive(Clone, Debug)]
pub struct InstanceLimits {
    /// The budget for messages in flight, shared by all listeners.
    pub budget: Arc<Budget>,
    /// The counters of all listeners.
    pub counters: Arc<Counters>,
    /// The limits of the listener for callers.
    pub callers: Limits,
    /// The limits of each listener for operators, readiness and metrics.
    pub internal: Limits,
    /// The limits of the listener for peers.
    pub peers: PeerLimits,
}

impl InstanceLimits {
    /// Derives the limits from the memory in megabytes and the number of descriptors that the
    /// process may use; `None` for no limit. `max_call_bytes` is the maximum length of a call by a
    /// peer, and `handling_factor` is that of [`Budget::new`].
    pub fn new(
        memory_mb: Option<u64>,
        max_fds: Option<u64>,
        max_call_bytes: usize,
        handling_factor: usize,
    ) -> Self {
        let counters = Arc::<Counters>::default();
        let bytes = memory_mb.map(|mb| to_usize((mb << 20) / BUDGET_DIVISOR));
        let budget = bytes.map_or(BudgetLimits::UNLIMITED, |bytes| BudgetLimits {
            large_pool: bytes - bytes / SMALL_POOL_DIVISOR,
            small_pool: bytes / SMALL_POOL_DIVISOR,
            small_message: SMALL_MESSAGE_BYTES,
            min_close_age: MIN_CLOSE_AGE,
        });
        let budget = Budget::new(
            budget,
            MessageTimes::default(),
            handling_factor,
            counters.clone(),
        );
        let shares = Shares::new(memory_mb, max_fds);
        let is_limited = memory_mb.is_some() || max_fds.is_some();
        let sockets = memory_mb.map(|_| SOCKETS);
        let mut callers = Limits {
            connections: shares.callers,
            close_age: is_limited.then_some(CLOSE_AGE),
            http2: memory_mb.map(|_| HTTP2),
            sockets,
            counters: counters.clone(),
            ..Limits::default()
        };
        let mut internal = Limits {
            connections: shares.internal,
            close_age: is_limited.then_some(INTERNAL_CLOSE_AGE),
            ..callers.clone()
        };
        if memory_mb.is_some() {
            callers.header_bytes = CALLER_HEADER_BYTES;
            internal.header_bytes = INTERNAL_HEADER_BYTES;
        }
        let peers = PeerLimits {
            connections: shares.peers,
            close_age: is_limited.then_some(CLOSE_AGE),
            budget: budget.clone(),
            sockets,
            ..PeerLimits::default()
        };
        let peers = PeerLimits {
            max_call_bytes: memory_mb.map_or(peers.max_call_bytes, |_| max_call_bytes),
            ..peers
        };
        Self {
            budget,
            counters,
            callers,
            internal,
            peers,
        }
    }
}

/// The maximum numbers of connections.
struct Shares {
    callers: usize,
    internal: usize,
    peers: usize,
}

impl Shares {
    /// The maximum number of listeners with internal limits.
    const INTERNAL_LISTENERS: u64 = 2;

    fn new(memory_mb: Option<u64>, max_fds: Option<u64>) -> Self {
        let mut callers = Limits::default().connections as u64;
        let mut internal = callers;
        let mut peers = PeerLimits::default().connections as u64;
        if let Some(fds) = max_fds {
            let incoming = fds - OUTGOING_FDS.min(fds / 2);
            peers = peers.min(incoming / 8);
            internal = (incoming / 16).min(64);
            let others = peers + Self::INTERNAL_LISTENERS * internal;
            callers = callers.min(incoming - others);
        }
        if let Some(mb) = memory_mb {
            callers = callers.min(mb * CONNECTIONS_PER_MB);
            internal = internal.min(64);
            peers = peers.min(mb * 2);
        }
        Self {
            callers: to_usize(callers),
            internal: to_usize(internal),
            peers: to_usize(peers),
        }
    }
}

fn to_usize(n: u64) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

/// Logs what the listeners refused or closed, in one line per interval at most, until the process
/// ends.
pub async fn report(counters: Arc<Counters>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = counters.refusals();
    loop {
        ticks.tick().await;
        let refusals = counters.refusals();
        if refusals == reported {
            continue;
        }
        reported = refusals;
        let values = counters.values();
        let values = values.map(|(name, value)| format!("{name}={value}"));
        log::warn!("limits: {}.", values.join(" "));
    }
}
