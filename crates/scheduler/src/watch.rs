//! Watches tables of the store by long polling.
//!
//! The scheduler watches the configuration, the list of workers, and the jobs of each shard that
//! this instance leads.

use {
    crate::commands::BoxFuture,
    marigoldbend_platform::{
        rows::Row,
        store::{Store, StoreError},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::Notify, time::sleep},
};

/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The minimum number of rows in a response after which the next call is made without a pause,
/// because the store probably has more changes; a response has 500 rows at most.
const BACKLOG_ROWS: usize = 300;

/// The number of rows at which the store cuts a reply short.
const MAX_REPLY_ROWS: usize = 500;

/// The length of the rows' values at which the store cuts a reply short, in bytes.
const MAX_REPLY_BYTES: usize = 1_000_000;

/// A table to watch, and how to poll it.
#[derive(Clone, Debug)]
pub struct WatchTarget {
    /// The name of the table.
    pub table: String,
    /// The part of the table whose rows are all read at the start, and again if the store has
    /// deleted changes that were not read yet. Changes are read for the whole table.
    pub part: String,
    /// How long one call waits for changes. A connection that stops responding is noticed only
    /// after this time, so it delays changes at least as much.
    pub long_poll_timeout: Duration,
    /// The pause after each response, for tables whose changes are not urgent; there is none while
    /// the store has a backlog of changes.
    pub pause_between_polls: Duration,
    /// Ends the pause when notified, as by who waits for a certain change; `None` if nobody does.
    pub wake: Option<Arc<Notify>>,
    /// What is read after a failed call.
    pub catch_up: CatchUp,
}

/// What a watch reads after a failed call, since when there may have been many changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatchUp {
    /// All changes since the last successful call.
    Changes,
    /// All rows of the part. This is shorter if few rows change often, as the store returns each
    /// version of a row among its changes.
    Rows,
}

/// The outcome of one call of a watch.
#[derive(Debug)]
pub struct Update {
    /// The rows that were read.
    pub event: WatchEvent,
    /// When the table certainly had no changes other than those of this and earlier updates; `None`
    /// if the reply may have been cut short.
    pub as_of: Option<Instant>,
}

/// Rows read from a watched table.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of [`WatchTarget::part`].
    All(Vec<Row>),
    /// The rows of the table that have changed since the last event; empty if none has.
    Changed(Vec<Row>),
}

/// The calls of a watch that have failed one after the other.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    /// When the first of them was made; `None` if the last call succeeded.
    since: Option<Instant>,
}

impl Failures {
    /// Records a failed call that was made at `sent_at`; logs the first one.
    fn record(&mut self, table: &str, sent_at: Instant, now: Instant, error: &StoreError) {
        self.count += 1;
        if self.since.is_none() {
            self.since = Some(sent_at);
            log::info!(
                "platform: reading table {table} failed after {} ms, retrying: {error}.",
                now.duration_since(sent_at).as_millis()
            );
        }
    }

    /// Records a call that succeeded; logs how long calls had failed.
    fn end(&mut self, table: &str, now: Instant) {
        if let Some(since) = self.since.take() {
            log::info!(
                "platform: table {table} is read again after {} failed calls in {} ms.",
                std::mem::take(&mut self.count),
                now.duration_since(since).as_millis()
            );
        }
    }
}

/// Watches a table and passes an update to `callback` after each successful call, until the task
/// is aborted. The changes after `after_version` are read; without it, all rows of the part are
/// read first.
pub async fn watch_table<F>(
    store: Arc<Store>,
    target: WatchTarget,
    after_version: Option<u64>,
    mut callback: F,
) where
    F: FnMut(Update) -> BoxFuture<()>,
{
    let mut after_version = after_version;
    let mut failures = Failures::default();
    let mut is_cut_short = false;
    loop {
        let sent_at = store.now();
        // The rest of a reply that was cut short is in the store already.
        let wait = if is_cut_short {
            Duration::ZERO
        } else {
            target.long_poll_timeout
        };
        let call = async {
            match after_version {
                None => {
                    let page = store.part(&target.table, &target.part).await;
                    page.map(|p| (p.version, WatchEvent::All(p.rows)))
                }
                Some(after) => {
                    let page = store.feed(&target.table, after, wait).await;
                    page.map(|p| (p.version.max(after), WatchEvent::Changed(p.rows)))
                }
            }
        };
        let result = select! {
            result = call => result,
            () = store.retry_requested() => {
                if target.catch_up == CatchUp::Rows {
                    after_version = None;
                }
                continue;
            }
        };
        match result {
            Ok((version, event)) => {
                after_version = Some(version);
                let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = &event;
                let has_backlog = rows.len() >= BACKLOG_ROWS;
                let now = store.now();
                failures.end(&target.table, now);
                let wait_end = sent_at + wait;
                is_cut_short = match &event {
                    WatchEvent::All(_) => false,
                    WatchEvent::Changed(rows) => may_be_cut_short(rows, version),
                };
                let as_of = match &event {
                    _ if is_cut_short => None,
                    // The store had no changes until the end of the wait.
                    WatchEvent::Changed(rows) if rows.is_empty() && now >= wait_end => {
                        Some(wait_end)
                    }
                    _ => Some(sent_at),
                };
                callback(Update { event, as_of }).await;
                if !target.pause_between_polls.is_zero() && !has_backlog {
                    pause(&target).await;
                }
            }
            Err(StoreError::HistoryDeleted) => {
                log::info!(
                    "platform: the store has deleted unread changes of table {}, reading all rows.",
                    target.table
                );
                after_version = None;
            }
            Err(e) => {
                failures.record(&target.table, sent_at, store.now(), &e);
                if target.catch_up == CatchUp::Rows {
                    after_version = None;
                }
                select! {
                    () = sleep(RETRY_DELAY) => {}
                    () = store.retry_requested() => {}
                }
            }
        }
    }
}

/// Waits for the pause between two calls, or until someone waits for a change.
async fn pause(target: &WatchTarget) {
    let pause = sleep(target.pause_between_polls);
    match &target.wake {
        None => pause.await,
        Some(wake) => select! {
            () = pause => {}
            () = wake.notified() => {}
        },
    }
}

/// Returns whether the store may have more changes than `rows`, after which it continues at
/// `version`. A reply that was cut short continues at its last row.
pub(crate) fn may_be_cut_short(rows: &[Row], version: u64) -> bool {
    let Some(last) = rows.last() else {
        return false;
    };
    let lengths = || rows.iter().map(|row| row.value.len());
    let next = lengths().max().unwrap_or(0);
    let is_large =
        rows.len() >= MAX_REPLY_ROWS || lengths().sum::<usize>() + next > MAX_REPLY_BYTES;
    is_large && version <= last.version
}
