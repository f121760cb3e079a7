//! The cases.

mod attempts;
mod gang;
mod kind;
mod pending;
mod policy;

use crate::deploy::Deployment;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Fleet;
use std::net::SocketAddr;
use std::sync::Arc;

pub const SERVICE: &str = "render";

/// The stand-ins of a case.
pub struct Stage {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    pub fleet: Arc<Fleet>,
}

impl Stage {
    fn open(path: &str, verbose: bool) -> Option<Self> {
        let record = Record::create(path, verbose).ok()?;
        let (store, store_address) = Store::start().ok()?;
        let fleet = Fleet::new(SERVICE, store.clone(), record.clone());
        Some(Self {
            record,
            store,
            store_address,
            fleet,
        })
    }

    fn deploy(&self, nodes: usize, advice: Option<SocketAddr>) -> Option<Deployment> {
        Deployment::start(nodes, self.store_address, advice, self.record.clone())
    }
}

/// Returns whether the rule held; `None` if the case couldn't run.
pub fn run(name: &str, path: &str, trouble: bool) -> Option<bool> {
    match name {
        "attempts" => attempts::run(path, trouble),
        "gang" => gang::run(path, trouble),
        "kind" => kind::run(path, trouble),
        "pending" => pending::run(path, trouble),
        "policy" => policy::run(path, trouble),
        _ => None,
    }
}
