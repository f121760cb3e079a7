//! Stand-ins for what surrounds marigoldbend: the platform, workers with upstreams and task
//! agents, and callers.
//!
//! They are small fakes for tests and trials, not shipped. Each can be told to fail, by a
//! method or over HTTP, and each records what really happened, so that a check never has to
//! believe the counters of the system under test.
//!
//! # Examples
//!
//! ```
//! use stand_ins::platform::{Faults, Platform};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let platform = Platform::start("127.0.0.1:0".parse().expect("a valid address")).await?;
//! platform.set_faults(Faults {
//!     down: true,
//!     ..Faults::default()
//! });
//! assert!(platform.url().starts_with("http://127.0.0.1:"));
//! # Ok(())
//! # }
//! ```

pub mod cluster;
pub mod load;
pub mod platform;
pub mod record;
pub mod relay;
pub mod tasks;
pub mod workers;
