//! Ownership of workers by entry instances.
//!
//! Each worker is owned by one entry instance of its own failure domain, and only the owner
//! admits work to it. Who owns what is one versioned row per domain in the platform's table,
//! changed by compare-and-set. No instance votes and none leads.
//!
//! An owner may use a worker *whole* only while its ownership is confirmed: by a recent read of
//! the row, or by every other member of the row. Otherwise it falls back to a share. A member
//! that takes over from a silent owner receives the complementary share, and only after every
//! confirmation of the old owner has lapsed and its excess work has ended. Together they never
//! exceed the worker's capacity, and neither has to stop.
//!
//! The modules: [`row`] is what the table holds, [`plan`] computes the next row, [`state`] is
//! what one instance knows and may do.

pub mod plan;
pub mod row;
pub mod state;

pub use {
    row::{DomainRow, Holding, Member, WorkerRow},
    state::{Ack, Action, Ownership, PromiseRequest, SlotUsage, Timing},
};
