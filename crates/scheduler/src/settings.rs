//! What an instance is told at its start.

use std::{net::SocketAddr, time::Duration};

/// The settings of the scheduling part of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its failure domain.
    pub zone: String,
    /// All failure domains; each has one shard.
    pub zones: Vec<String>,
    /// Where peers reach it, over UDP and TCP.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The service that approves starts on some queues.
    pub advice: Option<SocketAddr>,
    /// The longest lease that workers grant.
    pub max_lease: Duration,
    /// How long a draining worker surely stays.
    pub drain: Duration,
    /// How long the state of a job that is over is told.
    pub keep: Duration,
}
