//! What an instance is told at its start.

use std::{net::SocketAddr, time::Duration};

/// The settings of the scheduling part of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// The shards; every failure domain belongs to one.
    pub shards: Vec<ShardSettings>,
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

/// A shard: the workers of some failure domains, and the jobs accepted for them.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSettings {
    /// Its name.
    pub name: String,
    /// Its failure domains.
    pub domains: Vec<String>,
}

impl Settings {
    /// Returns the name of the shard that a failure domain belongs to.
    pub fn shard_of(&self, domain: &str) -> Option<&str> {
        let found = self
            .shards
            .iter()
            .find(|s| s.domains.iter().any(|z| z == domain));
        found.map(|s| s.name.as_str())
    }

    /// Returns the failure domains of a shard.
    pub fn domains_of(&self, shard: &str) -> &[String] {
        let found = self.shards.iter().find(|s| s.name == shard);
        found.map_or(&[], |s| &s.domains)
    }
}
