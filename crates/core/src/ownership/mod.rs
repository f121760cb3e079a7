//! Ownership of workers by entry instances.
//!
//! Each worker is owned by one entry instance of its own failure domain, and only the owner
//! admits work to it. One versioned row per domain in the platform's table records the owners;
//! instances change it by compare-and-set. There is no leader and no vote.
//!
//! An owner may use all slots of a worker only while its ownership is *confirmed*, either by a
//! recent read of the row or by recent acknowledgements from every other member of the row.
//! Otherwise the owner is limited to part of the slots, the *fallback share*. When an owner falls
//! silent, another member takes over the remaining slots, the *reserve share*. It uses them only
//! after every confirmation of the silent owner has expired and the work above that owner's
//! fallback share has ended. The two members together never exceed the worker's capacity, and
//! neither has to stop.
//!
//! [`row`] defines the row in the table, [`plan`] computes its transitions, and [`state`] tracks
//! what one instance has observed and decides what it may use and write.

pub mod plan;
pub mod row;
pub mod state;

pub use {
    row::{DomainRow, Holding, Member, WorkerRow},
    state::{Ack, Action, Ownership, PromiseRequest, SlotUsage, Timing},
};
