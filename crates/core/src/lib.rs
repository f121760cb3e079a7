//! Decisions of the marigoldbend scheduler, free of I/O.
//!
//! Every module is a plain state machine: time and randomness are passed in, and nothing blocks,
//! sleeps or accesses a network. The daemons connect the state machines to sockets; tests pass
//! events to them in the orders that a network can produce.
//!
//! # Examples
//!
//! Admit work to one worker, never beyond its capacity:
//!
//! ```
//! use {
//!     marigoldbend_core::admission::{Gate, OwnershipConfirmation},
//!     std::{
//!         sync::Arc,
//!         time::{Duration, Instant},
//!     },
//! };
//!
//! let now = Instant::now();
//! let confirmation = Arc::new(OwnershipConfirmation::new(now));
//! confirmation.extend(now + Duration::from_secs(1));
//! let gate = Gate::new(confirmation);
//! // Two slots while the ownership is confirmed, one when it is not.
//! gate.set_limits(2, 1);
//! let first = gate.try_acquire(now).expect("a slot is free");
//! let second = gate.try_acquire(now).expect("a slot is free");
//! assert!(gate.try_acquire(now).is_none());
//! drop(first);
//! // The confirmation has expired, and one slot is still in use.
//! assert!(gate.try_acquire(now + Duration::from_secs(2)).is_none());
//! drop(second);
//! assert!(gate.try_acquire(now + Duration::from_secs(2)).is_some());
//! ```

pub mod admission;
pub mod byte_budget;
pub mod clock;
pub mod config;
pub mod connection_table;
pub mod ejection;
pub mod group_commit;
pub mod hash;
pub mod ids;
pub mod latency;
pub mod ownership;
pub mod retry;
pub mod routing;
pub mod sched;
pub mod task;
