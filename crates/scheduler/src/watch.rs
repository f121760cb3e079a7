//! Long polls of the store: the configuration, the workers, and the jobs of a led shard.

use {
    crate::commands::BoxFuture,
    marigoldbend_platform::{
        rows::{Page, Range, Row},
        store::{Store, StoreError},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The wait after a failure.
const RETRY: Duration = Duration::from_millis(250);

/// Rows in one answer from which more are likely to wait; the store gives 500 at most.
const FULL_ANSWER: usize = 300;

/// What is watched.
#[derive(Clone, Debug)]
pub struct WatchTarget {
    /// The table.
    pub table: String,
    /// The part that is read at the beginning and when changes were missed.
    pub part: String,
    /// How long one call waits for changes; a silent connection hides them for that long.
    pub wait: Duration,
    /// How long to leave the store alone after each answer, where every change is not urgent.
    pub gap: Duration,
}

/// Rows that were read.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of the part.
    All(Vec<Row>),
    /// Rows that have changed.
    Changed(Vec<Row>),
}

/// Follows a table for good; `from` is the version that is known already, if any.
pub async fn watch_table<F>(store: Arc<Store>, watched: WatchTarget, from: Option<u64>, mut sink: F)
where
    F: FnMut(WatchEvent) -> BoxFuture<()>,
{
    let mut from = from;
    loop {
        let step = match from {
            None => read_all(&store, &watched)
                .await
                .map(|p| (p.ver, WatchEvent::All(p.rows))),
            Some(after) => {
                let page = store.feed(&watched.table, after, watched.wait).await;
                page.map(|p| (p.ver.max(after), WatchEvent::Changed(p.rows)))
            }
        };
        match step {
            Ok((ver, seen)) => {
                from = Some(ver);
                let (WatchEvent::All(rows) | WatchEvent::Changed(rows)) = &seen;
                let behind = rows.len() >= FULL_ANSWER;
                if !matches!(&seen, WatchEvent::Changed(rows) if rows.is_empty()) {
                    sink(seen).await;
                }
                if !watched.gap.is_zero() && !behind {
                    sleep(watched.gap).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!(
                    "platform: changes of {} were missed, reading it whole.",
                    watched.table
                );
                from = None;
            }
            Err(e) => {
                log::debug!("platform: table {}: {e}.", watched.table);
                sleep(RETRY).await;
            }
        }
    }
}

async fn read_all(store: &Store, watched: &WatchTarget) -> Result<Page, StoreError> {
    let range = Range {
        table: &watched.table,
        part: &watched.part,
        from: "",
        to: "",
    };
    store.range(&range).await
}
