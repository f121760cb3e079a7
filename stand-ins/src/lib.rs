//! Stand-ins for the systems around marigoldbend: the platform, the workers (each with an upstream
//! and a task agent) and the callers.
//!
//! A stand-in is a small replacement for tests and experiments and is not shipped. Tests inject
//! faults by calling methods of a stand-in; those of the platform can also be set over HTTP. The
//! platform and the workers record what happened, so that checks do not depend on the counters of
//! the system under test.
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
pub mod job_record;
pub mod job_workers;
pub mod load;
pub mod platform;
pub mod record;
pub mod relay;
pub mod rows;
pub mod slow_link;
pub mod tasks;
pub mod workers;
