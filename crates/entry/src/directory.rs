//! The snapshot of configuration, workers and peers that the control thread publishes to the
//! traffic threads.

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

/// The state that routing requests needs; it is replaced as a whole, never changed in place.
#[derive(Clone, Default)]
pub struct Directory {
    /// The configuration in force; `None` until the first was read.
    pub config: Option<VersionedConfig>,
    /// Pools of workers by service.
    pub pools: HashMap<String, Arc<ServicePool>>,
    /// Workers of this instance's failure domain.
    pub workers: HashMap<WorkerId, Arc<Worker>>,
    /// Peers of this failure domain that were heard from recently.
    pub same_domain: Vec<Peer>,
    /// Peers of other failure domains that were heard from recently.
    pub other_domains: Vec<Peer>,
    /// The newest ownership row of this failure domain and its version, which is zero until one
    /// was read.
    pub row: (Version, Arc<DomainRow>),
    /// The platform's instance list from the latest read.
    pub list: Arc<InstanceList>,
}
