//! HTTP towards upstreams: a bounded number of connections, responses that are read whole, and
//! accounting of the slots in use.
//!
//! A slot stays in use for as long as the upstream may still be working on the request, even if the
//! caller no longer waits. An exchange therefore owns its
//! [`Permit`](marigoldbend_core::admission::Permit) and keeps it after the caller has given up,
//! until the upstream has responded or, if it does not respond, at least until the deadline.
//!
//! A connection can stop delivering data permanently while new connections work. An idle connection
//! is therefore reused only for a short time, and after a connection fails to respond, no
//! connection that was opened before is reused.
//!
//! # Examples
//!
//! ```no_run
//! use {
//!     bytes::Bytes,
//!     http_body_util::Full,
//!     hyper::Request,
//!     marigoldbend_core::admission::{Gate, OwnershipConfirmation},
//!     marigoldbend_upstream::{Exchange, Upstream},
//!     std::{
//!         sync::Arc,
//!         time::{Duration, Instant},
//!     },
//! };
//!
//! # async fn example() {
//! let upstream = Upstream::new("127.0.0.1:8080".parse().expect("a valid address"), None);
//! let gate = Gate::new(Arc::new(OwnershipConfirmation::new(Instant::now())));
//! gate.set_limits(8, 6);
//! let permit = gate.try_acquire(Instant::now()).expect("a slot is free");
//! let exchange = Exchange {
//!     request: Request::new(Full::new(Bytes::new())),
//!     permit,
//!     first_byte_timeout: Duration::from_millis(500),
//!     deadline: Instant::now() + Duration::from_secs(2),
//!     typical_latency: Duration::from_millis(20),
//! };
//! match upstream.exchange(exchange).await {
//!     Ok(response) => println!("{}", response.status()),
//!     Err(e) if e.is_unsent() => println!("not run: {e}"),
//!     Err(e) => println!("may have run: {e}"),
//! }
//! # }
//! ```

mod connection;
mod error;
mod exchange;
mod guard;

pub use {
    error::{ExchangeError, Result},
    exchange::{Exchange, Upstream},
};
