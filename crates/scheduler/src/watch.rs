//! Watches store tables by long polling: the configuration, the workers, the jobs of a led shard.

use {
    crate::commands::BoxFuture,
    marigoldbend_platform::{
        rows::{Page, Range, Row},
        store::{Store, StoreError},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The number of rows in one response from which more changes are likely to wait; the store
/// returns 500 at most.
const BACKLOG_ROWS: usize = 300;

/// A table to watch, and how often to poll it.
#[derive(Clone, Debug)]
pub struct WatchTarget {
    /// The name of the table.
    pub table: String,
    /// The part that is read whole at the start and after missed changes.
    pub part: String,
    /// How long one call waits for changes; an unresponsive connection delays changes as long.
    pub long_poll_timeout: Duration,
    /// The pause after each response, for tables whose changes are not urgent; it is skipped while
    /// there is a backlog.
    pub pause_between_polls: Duration,
}

/// Rows read from a watched table.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of the part.
    All(Vec<Row>),
    /// The changed rows.
    Changed(Vec<Row>),
}

/// Watches a table until the task is aborted. Changes after `after_version` are passed to
/// `callback`; without a version the part is read whole first.
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
            None => read_all(&store, &target)
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
                    "platform: changes of table {} were missed, reading all rows.",
                    target.table
                );
                after_version = None;
            }
            Err(e) => {
                log::debug!("platform: table {}: {e}.", target.table);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_all(store: &Store, target: &WatchTarget) -> Result<Page, StoreError> {
    let range = Range {
        table: &target.table,
        part: &target.part,
        from: "",
        to: "",
    };
    store.range(&range).await
}
