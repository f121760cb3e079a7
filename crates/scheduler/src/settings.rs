//! The settings of the scheduler.

use std::{net::SocketAddr, time::Duration};

/// The settings of the scheduler in one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The instance's failure domain.
    pub domain: String,
    /// The shards; every failure domain belongs to one of them.
    pub shards: Vec<ShardSettings>,
    /// The processor time that this instance may use, in thousandths of a core.
    pub cpu_share: u32,
    /// This instance's address for peers, over UDP and TCP.
    pub peers: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address of the approval service; `None` if there is none. Tasks of some queues may start
    /// only with an approval by that service.
    pub advice: Option<SocketAddr>,
    /// The maximum duration of a lease on a worker.
    pub max_lease: Duration,
    /// The minimum time for which a draining worker stays.
    pub drain: Duration,
    /// The minimum time for which the state of a finished job can be read.
    pub keep: Duration,
    /// The age from which the configuration is out of date: a change must be in force everywhere
    /// within this time.
    pub config_max_age: Duration,
    /// The time within which the evacuation of a failure domain must bind; `None` if the deployment
    /// states none, and then starts don't wait for a newer copy of the evacuations.
    pub evacuation_max_age: Option<Duration>,
    /// The parts that a deployment asks for.
    pub features: Features,
}

/// Parts of the scheduler that a deployment asks for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Whether submissions are refused that can't be served in time.
    pub admission: bool,
    /// Whether waiting short work may displace long-running tasks that hold more than their share.
    pub displace_long_running: bool,
    /// Whether waiting jobs are served by their cost of delay.
    pub cost_of_delay: bool,
    /// Whether an instance of a failure domain may renew the leases there while the leader is not
    /// heard.
    pub delegated_renewal: bool,
}

/// A shard: the workers of one or more failure domains, and the jobs accepted for them.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSettings {
    /// The shard's name.
    pub name: String,
    /// The shard's failure domains.
    pub domains: Vec<String>,
}

impl Settings {
    /// Returns the name of the shard that a failure domain belongs to.
    pub fn shard_of(&self, domain: &str) -> Option<&str> {
        let shard_settings = self
            .shards
            .iter()
            .find(|s| s.domains.iter().any(|d| d == domain));
        shard_settings.map(|s| s.name.as_str())
    }

    /// Returns the failure domains of a shard.
    pub fn domains_of(&self, shard: &str) -> &[String] {
        let shard_settings = self.shards.iter().find(|s| s.name == shard);
        shard_settings.map_or(&[], |s| &s.domains)
    }
}
