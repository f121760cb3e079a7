//! The snapshot of the configuration, the workers and the peers that the control thread publishes
//! for the traffic threads.

use {
    crate::{pool::ServicePool, worker::Worker},
    marigoldbend::{
        core::{
            config::VersionedConfig,
            hash::HashMap,
            ids::{Domain, Incarnation, Version, WorkerId},
            ownership::DomainRow,
        },
        peer::link::Link,
        platform::wire::InstanceList,
    },
    std::sync::Arc,
};

/// Another entry instance.
#[derive(Clone)]
pub struct Peer {
    /// The peer's incarnation, which changes when it restarts.
    pub incarnation: Incarnation,
    /// The peer's failure domain.
    pub domain: Domain,
    /// The peer's name in the platform's instance list.
    pub name: String,
    /// The connection to the peer.
    pub link: Arc<Link>,
}

/// The state that routing requests needs. The control thread replaces the directory as a whole and
/// never changes it in place.
#[derive(Clone, Default)]
pub struct Directory {
    /// The configuration in force; `None` until the first was read.
    pub config: Option<VersionedConfig>,
    /// Pools of workers by service.
    pub pools: HashMap<String, Arc<ServicePool>>,
    /// Workers of this instance's failure domain.
    pub workers: HashMap<WorkerId, Arc<Worker>>,
    /// Peers of this failure domain to which requests may be offered.
    pub same_domain: Vec<Peer>,
    /// Peers of other failure domains to which requests may be offered.
    pub other_domains: Vec<Peer>,
    /// The version and the contents of the newest ownership row of this failure domain; the version
    /// is zero until a row was read.
    pub row: (Version, Arc<DomainRow>),
    /// The platform's instance list from the latest read.
    pub list: Arc<InstanceList>,
}
