//! The snapshot that the control thread publishes to the traffic threads.

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
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
    /// Its name.
    pub name: String,
    /// The connection to it.
    pub link: Arc<Link>,
}

/// What traffic needs to know; it is replaced as a whole.
#[derive(Clone, Default)]
pub struct Directory {
    /// The configuration in force.
    pub config: Option<VersionedConfig>,
    /// Pools by service.
    pub pools: HashMap<String, Arc<ServicePool>>,
    /// Workers of this domain.
    pub workers: HashMap<WorkerId, Arc<Worker>>,
    /// Peers that were heard of late, of this domain.
    pub same_domain: Vec<Peer>,
    /// Peers that were heard of late, of other domains.
    pub other_domains: Vec<Peer>,
    /// The newest ownership row of this domain and its version.
    pub row: (Version, Arc<DomainRow>),
    /// The platform's instance list as it was last read.
    pub list: Arc<InstanceList>,
}
