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
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The minimum number of rows in a response after which the next call is made without a pause,
/// because the store probably has more changes; a response has 500 rows at most.
const BACKLOG_ROWS: usize = 300;

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
}

/// Rows read from a watched table.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of [`WatchTarget::part`].
    All(Vec<Row>),
    /// The rows of the table that have changed since the last event.
    Changed(Vec<Row>),
}

/// Watches a table and passes its changes after `after_version` to `callback`, until the task is
/// aborted. Without `after_version`, all rows of the part are read and passed first.
pub async fn watch_table<F>(
    store: Arc<Store>,
    target: WatchTarget,
    after_version: Option<u64>,
    mut callback: F,
) where
    F: FnMut(WatchEvent) -> BoxFuture<()>,
{
    let mut after_version = after_version;
    loop {
        let result = match after_version {
            None => store
                .part(&target.table, &target.part)
                .await
                .map(|p| (p.version, WatchEvent::All(p.rows))),
            Some(after) => {
                let page = store
                    .feed(&target.table, after, target.long_poll_timeout)
                    .await;
                page.map(|p| (p.version.max(after), WatchEvent::Changed(p.rows)))
            }
        };
        match result {
            Ok((version, event)) => {
                after_version = Some(version);
                let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = &event;
                let has_backlog = rows.len() >= BACKLOG_ROWS;
                if !matches!(&event, WatchEvent::Changed(rows) if rows.is_empty()) {
                    callback(event).await;
                }
                if !target.pause_between_polls.is_zero() && !has_backlog {
                    sleep(target.pause_between_polls).await;
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
                log::debug!(
                    "platform: reading table {} failed, retrying: {e}.",
                    target.table
                );
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
