//! The control thread: an actor that owns all state which is not traffic.
//!
//! It reads the platform, talks to peers, decides about ownership and publishes a snapshot for
//! the traffic threads. Waiting is done in spawned tasks that report back as messages, so the
//! actor itself never blocks.

mod actor;
mod members;
mod platform;
mod workers;

pub use platform::CONFIG_KEY;

pub use actor::{
    AnnounceShutdown, Control, ControlConfig, DatagramReceived, GetStatus, Leave, ObserveConfig,
    TICK, Tick,
};
