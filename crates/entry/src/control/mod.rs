//! The control actor, which owns all state outside the request path.
//!
//! The actor runs on the control thread. It reads the platform, probes peers, changes the
//! ownership row and publishes a `Directory` for the traffic threads. Network calls run in spawned
//! tasks that send their results to the actor as messages, so the actor never blocks.

mod actor;
mod members;
mod platform;
mod workers;

pub use platform::CONFIG_KEY;

pub use actor::{
    AnnounceShutdown, Control, ControlConfig, DatagramReceived, GetStatus, Leave, ObserveConfig,
    TICK, Tick,
};
