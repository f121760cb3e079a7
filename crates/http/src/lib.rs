//! HTTP plumbing that the packages towards callers, operators and the platform share.
//!
//! It adds to `hyper` what each of them needs in the same way: a JSON client that tells a
//! request that was never sent from one whose outcome is unknown, bounded bodies, and a server
//! loop with limits that ends without cutting off a request.
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
pub mod client;
pub mod connection;
pub mod server;
