//! The protocol between entry instances: `postcard` messages over UDP and TCP.
//!
//! Small messages that may be lost are sent over UDP: probes, their acknowledgements, and promises
//! to stop confirming silent members ([`datagram`]), and the heartbeats of instances that schedule
//! jobs ([`heartbeat`]). Offers of requests, and state too large for a datagram, are sent over TCP
//! ([`call`]), where many calls share a connection and replies return in any order ([`link`],
//! [`server`]).
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
//! let bytes = datagram.encode().expect("it fits");
//! assert_eq!(Datagram::decode(&bytes).expect("it is whole"), datagram);
//! assert!(Datagram::decode(&bytes[1..]).is_err());
//! ```

pub mod call;
pub mod datagram;
mod frame;
pub mod heartbeat;
pub mod link;
pub mod server;
