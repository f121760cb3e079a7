//! HTTP code shared by the crates for callers, operators, upstreams and the platform.
//!
//! It adds to `hyper` a JSON client that distinguishes a request that was never sent from one
//! whose outcome is unknown, bodies of bounded size, and a server loop with limits that lets
//! requests in flight finish before it ends.
//!
//! # Examples
//!
//! ```no_run
//! use {
//!     marigoldbend_http::client::JsonClient,
//!     std::time::Duration,
//! };
//!
//! # async fn example() -> Result<(), marigoldbend_http::client::ClientError> {
//! let client = JsonClient::new(Duration::from_secs(1), None);
//! let reply = client.get("http://127.0.0.1:7000/instances").await?;
//! println!("{}", reply.status);
//! # Ok(())
//! # }
//! ```

pub mod body;
pub mod budget;
pub mod client;
pub mod connection;
pub mod connections;
pub mod counters;
pub mod server;
