//! The leader's state of one shard.

mod dispatch;
mod ends;
mod state;
mod workers;

pub use state::{Batch, Found, Order, Params, ServiceLoad, Shard};
