//! Parts for scheduling latency-critical and batch work on shared workers.
//!
//! This crate is the facade: it names the parts that other programs can embed without the
//! daemons. Decisions are in [`core`], free of I/O; each of the other modules speaks to one
//! kind of peer.
//!
//! # Examples
//!
//! Decide who may use a worker, as an instance that has just read the ownership row:
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
//! let me = Member {
//!     incarnation: Incarnation(1),
//!     name: "a1".to_owned(),
//!     peer: "127.0.0.1:7100".parse().expect("a valid address"),
//! };
//! let now = Instant::now();
//! let mut ownership = Ownership::new(me, Domain(1), Timing::default(), 8);
//! let workers = [WorkerId(1), WorkerId(2)];
//! let idle = |_| SlotUsage::default();
//!
//! // The row is empty: the first step is to join, the second to claim the workers.
//! for version in 1..=2 {
//!     let action = ownership.next_action(now, &workers, &[], idle);
//!     let Some(Action::Commit { row, .. }) = action else {
//!         panic!("a commit was expected");
//!     };
//!     // The platform's compare-and-set would come here.
//!     ownership.observe_read(now, Version(version), Arc::new(row), now);
//! }
//! assert_eq!(ownership.limits(WorkerId(1), now), (8, 6));
//! assert!(ownership.confirmed_until().is_some());
//! ```

pub use {
    marigoldbend_caller as caller, marigoldbend_core as core, marigoldbend_http as http,
    marigoldbend_operator as operator, marigoldbend_peer as peer,
    marigoldbend_platform as platform, marigoldbend_upstream as upstream,
};
