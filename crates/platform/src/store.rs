//! The client of the store: time limits, backoff, and what to do about a lost reply.
//!
//! A transaction whose reply was lost may have taken effect, or may take effect seconds later
//! if its condition still holds. [`Store::tx`] says which failures leave that open. Such a
//! transaction is sent again as it was: its own condition keeps it from taking effect twice,
//! and the conflict that it then meets shows what is there.

use {
    crate::rows::{Page, Range, Tx, TxOutcome, Wire, WireError},
    hyper::StatusCode,
    marigoldbend_core::clock::Clock,
    marigoldbend_http::{
        client::Reply,
        connection::{ConnectionError, ConnectionPool, Outgoing},
    },
    parking_lot::Mutex,
    snafu::Snafu,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The time limit of a write: a store at a hundredth of its speed takes 0.8 s for two parts.
const WRITE_LIMIT: Duration = Duration::from_millis(1_500);

/// The time limit of a read, besides the wait that it asks for.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// The share of the newest reply in the usual time of a write, in percent.
const NEWEST_SHARE: u32 = 30;

/// How long the usual time of a write is believed in without another write.
const TIME_MEMORY: Duration = Duration::from_secs(2);

/// How long the store may have failed before it counts as out of reach.
const FAILING_LIMIT: Duration = Duration::from_millis(900);

/// A result of a call.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// A call without a usable reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// Nothing was done: it was refused, or never sent.
    #[snafu(display("the store did nothing"))]
    NotApplied,
    /// It may have taken effect, or may yet.
    #[snafu(display("no reply from the store"))]
    Unknown,
    /// The changes that were asked for are not kept any more.
    #[snafu(display("the store has dropped this part of its history"))]
    HistoryGone,
    /// The reply was not understood.
    #[snafu(display("{source}"), context(false))]
    BadReply {
        /// What is wrong with it.
        source: WireError,
    },
}

/// Calls to the store since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Transactions.
    pub writes: AtomicU64,
    /// Ranges and feeds.
    pub reads: AtomicU64,
    /// Calls that failed.
    pub failures: AtomicU64,
}

/// The store.
pub struct Store {
    wire: Wire,
    pool: ConnectionPool,
    clock: Arc<dyn Clock>,
    counters: Counters,
    health: Mutex<Health>,
    write_time: Mutex<Option<(Duration, Instant)>>,
}

#[derive(Debug, Default)]
struct Health {
    failing_since: Option<Instant>,
    lost: bool,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, wire: Wire, clock: Arc<dyn Clock>) -> Self {
        Self {
            wire,
            pool: ConnectionPool::new(address),
            clock,
            counters: Counters::default(),
            health: Mutex::new(Health::default()),
            write_time: Mutex::default(),
        }
    }

    /// Returns how many calls were made.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether the store was in reach lately.
    pub fn is_reachable(&self) -> bool {
        let since = self.health.lock().failing_since;
        since.is_none_or(|since| self.clock.now().duration_since(since) < FAILING_LIMIT)
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    ///
    /// Returns whether it may have taken effect.
    pub async fn tx(&self, tx: &Tx) -> Result<TxOutcome> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let begin = self.clock.now();
        let reply = self.call((self.wire.tx)(tx), WRITE_LIMIT).await?;
        self.note_time(begin);
        Ok((self.wire.outcome)(reply.status, &reply.body)?)
    }

    /// Reads all rows of a range, with the version of the store before the first was read.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply.
    pub async fn range(&self, range: &Range<'_>) -> Result<Page> {
        let mut whole = Page::default();
        let mut from = range.from.to_owned();
        loop {
            self.counters.reads.fetch_add(1, Ordering::Relaxed);
            let part = Range {
                from: &from,
                ..range.clone()
            };
            let reply = self.call((self.wire.range)(&part), READ_LIMIT).await?;
            let page = (self.wire.page)(&reply.body)?;
            if whole.rows.is_empty() {
                whole.ver = page.ver;
            }
            let last = page.rows.last().map(|row| row.name.key.clone());
            whole.rows.extend(page.rows);
            match last {
                // The least key after the last one.
                Some(last) if page.more => from = last + "\u{1}",
                _ => return Ok(whole),
            }
        }
    }

    /// Waits up to `wait` for changes of a table after the version `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply, or if the history is gone.
    pub async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Page> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let out = (self.wire.feed)(table, after, wait);
        let reply = self.call(out, wait + READ_LIMIT).await?;
        Ok((self.wire.page)(&reply.body)?)
    }

    /// Returns how long writes have taken lately, if there were any.
    pub fn write_time(&self) -> Option<Duration> {
        let (time, at) = (*self.write_time.lock())?;
        let age = self.clock.now().duration_since(at);
        (age < TIME_MEMORY).then_some(time)
    }

    fn note_time(&self, begin: Instant) {
        let now = self.clock.now();
        let took = now.duration_since(begin);
        let mut known = self.write_time.lock();
        let fresh = known.filter(|(_, at)| now.duration_since(*at) < TIME_MEMORY);
        let time = fresh.map_or(took, |(time, _)| {
            (time * (100 - NEWEST_SHARE) + took * NEWEST_SHARE) / 100
        });
        *known = Some((time, now));
    }

    async fn call(&self, out: Outgoing, limit: Duration) -> Result<Reply> {
        let reply = self.pool.exchange(out, limit).await;
        let result = match reply {
            Ok(reply) => match reply.status {
                StatusCode::OK | StatusCode::PRECONDITION_FAILED => Ok(reply),
                StatusCode::GONE => Err(StoreError::HistoryGone),
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    Err(StoreError::NotApplied)
                }
                status => Err(WireError {
                    problem: format!("status {status}"),
                }
                .into()),
            },
            Err(ConnectionError::Unsent) => Err(StoreError::NotApplied),
            Err(ConnectionError::Lost | ConnectionError::TimedOut) => Err(StoreError::Unknown),
        };
        self.note(result.as_ref().err());
        result
    }

    fn note(&self, failure: Option<&StoreError>) {
        let now = self.clock.now();
        let mut health = self.health.lock();
        match failure {
            None | Some(StoreError::HistoryGone) => {
                health.failing_since = None;
                if std::mem::take(&mut health.lost) {
                    log::info!("platform: the store is in reach again.");
                }
            }
            Some(failure) => {
                self.counters.failures.fetch_add(1, Ordering::Relaxed);
                let since = *health.failing_since.get_or_insert(now);
                if now.duration_since(since) >= FAILING_LIMIT && !health.lost {
                    health.lost = true;
                    log::warn!("platform: the store is out of reach: {failure}.");
                }
            }
        }
    }
}
