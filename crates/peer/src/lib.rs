//! The protocol between entry instances: `postcard` messages over UDP and TCP.
//!
//! Small messages that may be lost are sent over UDP:
//!
//! - [`datagram`]: probes and their acknowledgements, and promises. With a *promise*, an instance
//!   commits itself to stop confirming the ownership of a silent member of its failure domain, so
//!   that the member's workers can be taken over.
//! - [`heartbeat`]: the heartbeats of instances that schedule jobs.
//!
//! Calls that need a reply are sent over TCP ([`call`]): offers, and requests for state that is too
//! large for a datagram. An *offer* is a request that an instance has no free slot for and asks a
//! peer to serve. Many calls share a connection, and their replies may return in any order
//! ([`link`], [`server`]).
//!
//! # Examples
//!
//! ```
//! use {
//!     marigoldbend_core::ids::{Domain, Incarnation, Version},
//!     marigoldbend_peer::datagram::{Datagram, Message, Sender},
//! };
//!
//! let sender = Sender {
//!     incarnation: Incarnation(7),
//!     domain: Domain(1),
//!     name: "a1".to_owned(),
//!     peer_address: "127.0.0.1:7100".parse().expect("a valid address"),
//! };
//! let datagram = Datagram {
//!     sender,
//!     config_version: Version(3),
//!     row_version: Version(9),
//!     shutting_down: false,
//!     leaving_workers: Vec::new(),
//!     message: Message::Probe { nonce: 1 },
//! };
//! let bytes = datagram.encode().expect("the datagram is short enough");
//! assert_eq!(Datagram::decode(&bytes).expect("the datagram is undamaged"), datagram);
//! assert!(Datagram::decode(&bytes[1..]).is_err());
//! ```

pub mod call;
pub mod datagram;
mod frame;
pub mod heartbeat;
pub mod link;
pub mod server;
