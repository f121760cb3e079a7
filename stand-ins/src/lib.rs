//! Stand-ins for what surrounds marigoldbend: the platform, workers with upstreams and task
//! agents, and callers.
//!
//! They are small fakes for tests and experiments and are not shipped. Tests inject faults by
//! method calls, for the platform also over HTTP. The platform and the workers record what
//! happened, so that a check does not depend on the counters of the system under test.
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
