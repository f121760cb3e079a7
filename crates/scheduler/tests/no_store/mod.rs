//! A store that is never called.

use {
    hyper::Method,
    marigoldbend_http::connection::Outgoing,
    marigoldbend_platform::rows::{Page, TxOutcome, Wire},
    std::net::{Ipv4Addr, SocketAddr},
};

/// The address of no store.
pub const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// An encoding without contents.
pub const WIRE: Wire = Wire {
    tx: |_| Outgoing::new(Method::POST, "/", ""),
    range: |_| Outgoing::new(Method::GET, "/", ""),
    feed: |_, _, _| Outgoing::new(Method::GET, "/", ""),
    outcome: |_, _| Ok(TxOutcome::Applied(1)),
    page: |_, _| Ok(Page::default()),
};
