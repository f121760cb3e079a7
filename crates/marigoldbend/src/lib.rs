//! Libraries for scheduling latency-critical and batch work on shared workers.
//!
//! This crate re-exports the crates that other programs can embed without the daemons. [`core`]
//! makes the scheduling decisions and does no I/O. Each of the other modules implements the
//! communication with one kind of remote process; [`http`] holds the code that they share.
//!
//! # Examples
//!
//! An entry instance joins its failure domain and claims the workers there. Both steps are commits
//! of the row that records the owners:
//!
//! ```
//! use {
//!     marigoldbend::core::{
//!         ids::{Domain, Incarnation, Version, WorkerId},
//!         ownership::{Action, Member, Ownership, SlotUsage, Timing},
//!     },
//!     std::{sync::Arc, time::Instant},
//! };
//!
//! let member = Member {
//!     incarnation: Incarnation(1),
//!     name: "a1".to_owned(),
//!     peer: "127.0.0.1:7100".parse().expect("a valid address"),
//! };
//! let now = Instant::now();
//! let mut ownership = Ownership::new(member, Domain(1), Timing::default(), 8);
//! let workers = [WorkerId(1), WorkerId(2)];
//! let no_usage = |_| SlotUsage::default();
//!
//! // The row is empty: the first commit joins the domain, the second claims the workers.
//! for version in 1..=2 {
//!     let action = ownership.next_action(now, &workers, &[], no_usage);
//!     let Some(Action::Commit { row, .. }) = action else {
//!         panic!("a commit was expected");
//!     };
//!     // A real instance commits the row with the platform's compare-and-set here.
//!     ownership.observe_read(now, Version(version), Arc::new(row), now);
//! }
//! // All 8 slots may be used while the ownership is confirmed, and 6 while it is not.
//! assert_eq!(ownership.limits(WorkerId(1), now), (8, 6));
//! assert!(ownership.confirmed_until().is_some());
//! ```

pub use {
    marigoldbend_caller as caller, marigoldbend_core as core, marigoldbend_http as http,
    marigoldbend_operator as operator, marigoldbend_peer as peer,
    marigoldbend_platform as platform, marigoldbend_upstream as upstream,
};
