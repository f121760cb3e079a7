//! The client of the store: time limits, reachability, and lost replies.
//!
//! A transaction whose reply was lost may have taken effect, or may take effect seconds later if
//! the rows still have the expected versions. [`Store::tx`] then returns an error other than
//! [`StoreError::NotApplied`], and the caller sends the same transaction again. A transaction that
//! expects versions of the rows that it writes can't take effect twice; the second time, the store
//! replies with a conflict and the present rows.

use {
    crate::{
        backoff::Backoff,
        rows::{Page, Range, Tx, TxOutcome, Wire, WireError},
    },
    hyper::StatusCode,
    marigoldbend_core::{clock::Clock, sched::leadership::StoreHealth},
    marigoldbend_http::{
        client::Reply,
        connection::{ConnectionError, ConnectionPool, Outgoing, TimeLimits},
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
    tokio::{sync::Notify, time::sleep},
};

/// The time limit of a write. A store at a hundredth of its normal speed takes 0.8 s for a write
/// to two parts.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time limit until the reply to a read begins, in addition to the time that the store may wait
/// for changes, and then from one piece of the reply to the next. A reply has no fixed size, so a
/// limit for the whole of it would make a large row unreadable behind a slow link.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The time limit of a whole read, in addition to the time that the store may wait for changes;
/// reached only by a reply that arrives in very small pieces.
const WHOLE_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum number of rows in the first reply when a whole part is read. A row has a few
/// kilobytes, so that a link of 10 Mbit/s needs a fifth of a second for the reply.
const FIRST_PAGE_ROWS: u32 = 50;

/// The number of rows at which the store cuts a reply short.
const MAX_PAGE_ROWS: u32 = 500;

/// If a page is requested, received and parsed within this time, the next one may have twice as many
/// rows. So a page rarely takes more than a third of [`READ_TIMEOUT`], and parsing it does not keep
/// an instance with little processor time from its other work for longer.
const QUICK_PAGE: Duration = Duration::from_millis(150);

/// How often a failed call is repeated when a whole part is read.
const PART_PAGE_RETRIES: u32 = 3;

/// The weight of the newest write in the moving average of the write time, in percent.
const NEWEST_WEIGHT_PERCENT: u32 = 30;

/// How long after the last write the average write time is valid.
const WRITE_TIME_VALIDITY: Duration = Duration::from_secs(2);

/// The time without a successful call, from the first failure on, after which the store counts as
/// unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(900);

/// The minimum time between two log lines about failed calls.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A result of a call.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The call did not take effect: the store refused it, or the request was not sent.
    #[snafu(display("the call was refused or not sent"))]
    NotApplied,
    /// There was no reply; the call may have taken effect, or may still do so.
    #[snafu(display("no reply from the store"))]
    Unknown,
    /// The store has deleted some of the requested changes.
    #[snafu(display("the store has deleted this part of its history"))]
    HistoryDeleted,
    /// The reply was invalid.
    #[snafu(display("{source}"), context(false))]
    BadReply {
        /// Why the reply is invalid.
        source: WireError,
    },
}

/// The numbers of calls to the store since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Transactions.
    pub writes: AtomicU64,
    /// Reads of ranges (one for each page) and of changes.
    pub reads: AtomicU64,
    /// Calls that failed.
    pub failures: AtomicU64,
    /// Calls that the store refused since it has too many (status 429).
    pub overloaded: AtomicU64,
    /// Calls that the store refused since it is unavailable (status 503).
    pub unavailable: AtomicU64,
    /// Calls without a reply.
    pub unanswered: AtomicU64,
}

/// A client of the store.
pub struct Store {
    wire: Wire,
    pool: ConnectionPool,
    clock: Arc<dyn Clock>,
    counters: Counters,
    health: Mutex<Health>,
    /// The moving average of the write time, and when it was last updated; `None` before the first
    /// write.
    write_time: Mutex<Option<(Duration, Instant)>>,
    /// Wakes the callers of [`Store::retry_requested`].
    retry: Notify,
}

#[derive(Debug, Default)]
struct Health {
    /// When the first call after the last success failed; `None` after a success. The store may
    /// have served calls until then, however long before the failed call was sent.
    failing_since: Option<Instant>,
    /// When the newest of the calls that have failed since the last success was sent; `None` after
    /// a success.
    failed_call_sent: Option<Instant>,
    /// When the newest call that succeeded was sent; `None` if none has succeeded.
    served_at: Option<Instant>,
    /// When a call first succeeded after the store had last been unreachable; `None` if it never
    /// was.
    reachable_since: Option<Instant>,
    /// Whether the log says that the store is unreachable.
    reported_unreachable: bool,
    /// When the counts of failed calls were last logged; `None` if they never were.
    failures_logged_at: Option<Instant>,
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
            retry: Notify::new(),
        }
    }

    /// Returns the current time of the clock that all time limits use.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the numbers of calls to the store.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether the store is reachable: no call has failed since the last success, or calls
    /// have failed for less than
    /// `UNREACHABLE_AFTER`.
    pub fn is_reachable(&self) -> bool {
        self.health().reachable
    }

    /// Returns the state of the calls to the store.
    pub fn health(&self) -> StoreHealth {
        let health = self.health.lock();
        let is_short = |since| self.clock.now().duration_since(since) < UNREACHABLE_AFTER;
        StoreHealth {
            reachable: health.failing_since.is_none_or(is_short),
            served_at: health.served_at,
            failing_since: health.failing_since,
            failed_call_sent: health.failed_call_sent,
            reachable_since: health.reachable_since,
        }
    }

    /// Ends the pending [`Store::retry_requested`] calls. To be called when the store is known to
    /// serve a peer while calls from here fail: those in flight may be stuck until their time limit.
    pub fn request_retry(&self) {
        self.retry.notify_waiters();
    }

    /// Waits until a call in flight should be given up and sent again; see
    /// [`Store::request_retry`].
    pub async fn retry_requested(&self) {
        self.retry.notified().await;
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply. After [`StoreError::NotApplied`] the
    /// transaction did not take effect; after another error it may have.
    pub async fn tx(&self, tx: &Tx) -> Result<TxOutcome> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let start = self.clock.now();
        let reply = self.call((self.wire.tx)(tx), TimeLimits::total(WRITE_TIMEOUT));
        let reply = reply.await?;
        self.record_write_time(start);
        Ok((self.wire.outcome)(reply.status, &reply.body)?)
    }

    /// Reads all rows of a range, page by page.
    ///
    /// The result has the version of the first page, so no change after that page is missed if
    /// [`Store::feed`] continues from it.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply.
    pub async fn range(&self, range: &Range<'_>) -> Result<Page> {
        let mut all = Page::default();
        let mut from = range.from.to_owned();
        loop {
            let remaining = Range {
                from: &from,
                ..range.clone()
            };
            let page = self.page(&remaining).await?;
            match append(&mut all, page) {
                Some(next) => from = next,
                None => return Ok(all),
            }
        }
    }

    /// Reads all rows of one part of a table.
    ///
    /// The rows are read in pages, which are short at first and grow while they arrive quickly. A
    /// failed call is repeated with half the rows, and the pages don't grow any more. So neither a
    /// slow link nor a short failure makes the whole read fail. The result has the version of the first
    /// page, as that of [`Store::range`].
    ///
    /// # Errors
    ///
    /// Returns an error if a call has failed repeatedly.
    pub async fn part(&self, table: &str, part: &str) -> Result<Page> {
        let mut all = Page::default();
        let mut from = String::new();
        let mut failures = 0;
        let mut limit = FIRST_PAGE_ROWS;
        let mut max_limit = MAX_PAGE_ROWS;
        let mut backoff = Backoff::new();
        loop {
            let range = Range {
                table,
                part,
                from: &from,
                to: "",
                limit: Some(limit),
            };
            let sent_at = self.clock.now();
            match self.page(&range).await {
                Ok(page) => {
                    failures = 0;
                    if self.clock.now().duration_since(sent_at) <= QUICK_PAGE {
                        limit = (limit * 2).min(max_limit);
                    }
                    match append(&mut all, page) {
                        Some(next) => from = next,
                        None => return Ok(all),
                    }
                }
                Err(e) if failures < PART_PAGE_RETRIES => {
                    failures += 1;
                    limit = (limit / 2).max(1);
                    max_limit = limit;
                    log::info!(
                        "platform: reading table {table} from {from:?} failed, retrying: {e}."
                    );
                    let wait = backoff.next(&mut rand::rng());
                    sleep(wait).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads the first page of a range.
    async fn page(&self, range: &Range<'_>) -> Result<Page> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let reply = self.call((self.wire.range)(range), read_limits(Duration::ZERO));
        let reply = reply.await?;
        Ok((self.wire.page)(range.table, &reply.body)?)
    }

    /// Waits up to `wait` for changes of a table after the version `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable reply, or [`StoreError::HistoryDeleted`] if the
    /// store no longer has the changes after `after`.
    pub async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Page> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let out = (self.wire.feed)(table, after, wait);
        let reply = self.call(out, read_limits(wait)).await?;
        Ok((self.wire.page)(table, &reply.body)?)
    }

    /// Returns the moving average of how long writes take; `None` without recent writes.
    pub fn write_time(&self) -> Option<Duration> {
        let (time, at) = (*self.write_time.lock())?;
        let age = self.clock.now().duration_since(at);
        (age < WRITE_TIME_VALIDITY).then_some(time)
    }

    fn record_write_time(&self, start: Instant) {
        let now = self.clock.now();
        let duration = now.duration_since(start);
        let mut average = self.write_time.lock();
        let valid = average.filter(|(_, at)| now.duration_since(*at) < WRITE_TIME_VALIDITY);
        let time = valid.map_or(duration, |(time, _)| {
            (time * (100 - NEWEST_WEIGHT_PERCENT) + duration * NEWEST_WEIGHT_PERCENT) / 100
        });
        *average = Some((time, now));
    }

    async fn call(&self, out: Outgoing, limits: TimeLimits) -> Result<Reply> {
        let sent_at = self.clock.now();
        let reply = self.pool.exchange(out, limits).await;
        self.count_failure(&reply);
        let result = match reply {
            Ok(reply) => match reply.status {
                StatusCode::OK | StatusCode::PRECONDITION_FAILED => Ok(reply),
                StatusCode::GONE => Err(StoreError::HistoryDeleted),
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
        self.record_result(sent_at, result.as_ref().err());
        result
    }

    /// Counts a call that was refused or has no reply, by its kind.
    fn count_failure(&self, reply: &std::result::Result<Reply, ConnectionError>) {
        let counter = match reply {
            Ok(reply) if reply.status == StatusCode::TOO_MANY_REQUESTS => &self.counters.overloaded,
            Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => {
                &self.counters.unavailable
            }
            Err(ConnectionError::Lost | ConnectionError::TimedOut) => &self.counters.unanswered,
            _ => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let mut health = self.health.lock();
        let is_recent = |at| now.duration_since(at) < FAILURE_LOG_INTERVAL;
        if health.failures_logged_at.is_some_and(is_recent) {
            return;
        }
        health.failures_logged_at = Some(now);
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        log::info!(
            "platform: calls fail: writes={} reads={} overloaded={} unavailable={} unanswered={} since the start.",
            count(&self.counters.writes),
            count(&self.counters.reads),
            count(&self.counters.overloaded),
            count(&self.counters.unavailable),
            count(&self.counters.unanswered),
        );
    }

    fn record_result(&self, sent_at: Instant, failure: Option<&StoreError>) {
        let now = self.clock.now();
        let mut health = self.health.lock();
        match failure {
            None | Some(StoreError::HistoryDeleted) => {
                let failing_since = health.failing_since.take();
                if failing_since.is_some_and(|at| now.duration_since(at) >= UNREACHABLE_AFTER) {
                    health.reachable_since = Some(now);
                }
                health.failed_call_sent = None;
                health.served_at = health.served_at.max(Some(sent_at));
                if std::mem::take(&mut health.reported_unreachable) {
                    log::info!("platform: the store is reachable again.");
                    // Other calls may still wait for replies that were lost in the outage.
                    self.request_retry();
                }
            }
            Some(failure) => {
                self.counters.failures.fetch_add(1, Ordering::Relaxed);
                let since = *health.failing_since.get_or_insert(now);
                health.failed_call_sent = health.failed_call_sent.max(Some(sent_at));
                if now.duration_since(since) >= UNREACHABLE_AFTER && !health.reported_unreachable {
                    health.reported_unreachable = true;
                    log::warn!("platform: the store is unreachable: {failure}.");
                }
            }
        }
    }
}

/// Returns the time limits of a read for which the store may wait for changes.
fn read_limits(wait: Duration) -> TimeLimits {
    TimeLimits {
        head: wait + READ_TIMEOUT,
        progress: READ_TIMEOUT,
        total: wait + WHOLE_READ_TIMEOUT,
    }
}

/// Adds a page to the rows read before it; returns the first key of the next page, or `None` if
/// there is none.
fn append(all: &mut Page, page: Page) -> Option<String> {
    if all.rows.is_empty() {
        all.version = page.version;
    }
    let last = page.rows.last().map(|row| row.name.key.clone());
    all.rows.extend(page.rows);
    // The smallest key after the last one.
    last.filter(|_| page.more).map(|last| last + "\u{1}")
}
