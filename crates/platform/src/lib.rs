//! The client of the platform: its table service, object store, instance list and task agents.
//!
//! The platform keeps all durable state. The reply to a write can be lost after the write took
//! effect, so each write carries the name of its operation and the version that it expects. After a
//! lost reply, the row is read before the write is sent again; see [`table`].
//!
//! # Examples
//!
//! ```no_run
//! use {
//!     marigoldbend_platform::{table::Table, wire::Commit},
//!     std::time::Duration,
//! };
//!
//! # async fn example() -> Result<(), marigoldbend_platform::table::TableError> {
//! let table = Table::new("http://127.0.0.1:7000", Duration::from_secs(1), None);
//! let row = table.read("config").await?;
//! let commit = Commit::new("op-1").write("config", row.version, serde_json::json!({}));
//! let outcome = table.commit_until_known(&commit, Duration::from_secs(5)).await?;
//! println!("{outcome:?}");
//! # Ok(())
//! # }
//! ```

pub mod backoff;
pub mod group;
pub mod instances;
pub mod rows;
pub mod store;
pub mod table;
pub mod wire;
pub mod workers;
