//! The leader's state of one shard.

mod checks;
mod dispatch;
mod ends;
mod moves;
mod state;
mod tails;
mod workers;

pub use state::{Batch, Found, Order, Params, ServiceLoad, Shard};
