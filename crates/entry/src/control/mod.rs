//! The control actor, which owns the state that the request path only reads.
//!
//! The actor runs on the control thread. It reads the platform, probes peers and publishes a
//! `Directory` for the traffic threads. It also changes the *ownership row* of its failure domain,
//! a row of the platform's table that lists the domain's members and which members own the slots of
//! each worker. Network calls run in spawned tasks that send their results to the actor as
//! messages, so the actor never blocks.

mod actor;
mod members;
mod platform;
mod workers;

pub use platform::CONFIG_KEY;

pub use actor::{
    AnnounceShutdown, Control, ControlConfig, DatagramReceived, GetStatus, Leave, ObserveConfig,
    TICK, Tick,
};
