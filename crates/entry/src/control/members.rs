//! The peers of this instance: their addresses, when they were last heard, and messages to them.

use {
    super::actor::{Control, ControlConfig, SnapshotReceived},
    crate::{directory::Peer, metrics::Metrics},
    marigoldbend::{
        core::{
            hash::HashMap,
            ids::{Domain, Incarnation, Version},
            ownership::{Ack, Member, Ownership, PromiseRequest},
        },
        peer::{
            call::{Call, Reply},
            datagram::{Datagram, Message, Sender},
            link::Link,
        },
    },
    rand::{RngExt, seq::IndexedRandom},
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::UdpSocket,
    xtra::prelude::*,
};

/// The age at which an unanswered probe is dropped; a later reply to it is ignored.
const MAX_PROBE_AGE: Duration = Duration::from_secs(3);

/// How long requests are offered to a peer of this domain after its last datagram.
const SAME_DOMAIN_MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// How long requests are offered to a peer of another domain after its last datagram.
const OTHER_DOMAIN_MAX_SILENCE: Duration = Duration::from_secs(10);

/// The number of randomly chosen peers of other domains that one round probes.
const OTHER_DOMAIN_PROBE_COUNT: usize = 2;

/// The minimum interval between two requests for promises. A promise is a member's promise to stop
/// confirming a silent member.
const PROMISE_INTERVAL: Duration = Duration::from_millis(200);

/// The timeout of a snapshot request to a peer.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that a datagram was received from.
struct HeardPeer {
    sender: Sender,
    last_heard: Instant,
    /// Whether the peer is shutting down and accepts no more offers.
    shutting_down: bool,
}

/// A probe without a reply so far.
struct Probe {
    sent: Instant,
    /// This instance's version of the ownership row when the probe was sent.
    row_version: Version,
}

/// The peers of this instance.
pub(super) struct Members {
    me: Sender,
    seeds: Vec<SocketAddr>,
    local_ip: Option<IpAddr>,
    socket: Arc<UdpSocket>,
    metrics: Arc<Metrics>,
    heard_peers: HashMap<Incarnation, HeardPeer>,
    /// The members of other domains, as last read from the platform.
    other_domains: Vec<(Domain, Member)>,
    links: HashMap<SocketAddr, Arc<Link>>,
    /// Probes without a reply, by nonce.
    probes: HashMap<u64, Probe>,
    /// The address of the peer to request the next snapshot from, because it has newer data.
    snapshot_source: Option<SocketAddr>,
    /// When promises may be requested again; `None` before the first request.
    next_promise_request: Option<Instant>,
}

impl Members {
    pub(super) fn new(cfg: &ControlConfig, socket: Arc<UdpSocket>, metrics: Arc<Metrics>) -> Self {
        Self {
            me: Sender {
                incarnation: cfg.me.incarnation,
                domain: cfg.domain,
                name: cfg.me.name.clone(),
                peer_address: cfg.me.peer,
            },
            seeds: cfg.seeds.clone(),
            local_ip: cfg.local_ip,
            socket,
            metrics,
            heard_peers: HashMap::default(),
            other_domains: Vec::new(),
            links: HashMap::default(),
            probes: HashMap::default(),
            snapshot_source: None,
            next_promise_request: None,
        }
    }

    pub(super) fn sender(&self) -> &Sender {
        &self.me
    }

    /// Sends a message in one datagram, whose other fields are those of `header`; the datagram may
    /// be lost.
    pub(super) fn send(&self, header: &Datagram, message: Message, to: SocketAddr) {
        let datagram = Datagram {
            message,
            ..header.clone()
        };
        let Ok(buf) = datagram.encode() else {
            log::error!("peer: a datagram is too long and is not sent.");
            return;
        };
        if self.socket.try_send_to(&buf, to).is_ok() {
            self.metrics.datagram_bytes.inc_by(buf.len() as u64);
        }
    }

    /// Sends a probe and remembers it until the reply arrives.
    fn probe(&mut self, header: &Datagram, to: SocketAddr, now: Instant) {
        let nonce = rand::rng().random();
        let probe = Probe {
            sent: now,
            row_version: header.row_version,
        };
        self.probes.insert(nonce, probe);
        self.send(header, Message::Probe { nonce }, to);
    }

    /// Probes the other members of the domain, or the seeds if the row lists no others.
    pub(super) fn probe_same_domain(
        &mut self,
        ownership: &Ownership,
        header: &Datagram,
        now: Instant,
    ) {
        let is_recent = |p: &Probe| now.saturating_duration_since(p.sent) < MAX_PROBE_AGE;
        self.probes.retain(|_, p| is_recent(p));
        let me = self.me.incarnation;
        let members = ownership.row().members.iter();
        let others = members.filter(|m| m.incarnation != me).map(|m| m.peer);
        let mut targets: Vec<SocketAddr> = others.collect();
        if targets.is_empty() {
            targets.clone_from(&self.seeds);
        }
        for to in targets {
            if to != self.me.peer_address {
                self.probe(header, to, now);
            }
        }
    }

    /// Probes a few peers of other domains.
    pub(super) fn probe_other_domains(&mut self, header: &Datagram, now: Instant) {
        let mut rng = rand::rng();
        let chosen: Vec<SocketAddr> = self
            .other_domains
            .sample(&mut rng, OTHER_DOMAIN_PROBE_COUNT)
            .map(|(_, m)| m.peer)
            .collect();
        for to in chosen {
            self.probe(header, to, now);
        }
    }

    /// Probes every peer that a datagram was received from.
    pub(super) fn probe_all(&mut self, header: &Datagram, now: Instant) {
        let targets: Vec<SocketAddr> = self
            .heard_peers
            .values()
            .map(|p| p.sender.peer_address)
            .collect();
        for to in targets {
            self.probe(header, to, now);
        }
    }

    /// Records the sender of a datagram and when it was received.
    pub(super) fn observe(&mut self, datagram: &Datagram, now: Instant) {
        let sender = &datagram.sender;
        // A new incarnation at an address means that the earlier process there has ended.
        self.heard_peers.retain(|&incarnation, peer| {
            incarnation == sender.incarnation || peer.sender.peer_address != sender.peer_address
        });
        let peer = HeardPeer {
            sender: sender.clone(),
            last_heard: now,
            shutting_down: datagram.shutting_down,
        };
        self.heard_peers.insert(sender.incarnation, peer);
    }

    /// Replaces the members of other domains; an empty list means that they were not read.
    pub(super) fn observe_other_domains(&mut self, other_domains: Vec<(Domain, Member)>) {
        if !other_domains.is_empty() {
            self.other_domains = other_domains;
        }
    }

    /// Handles the reply to a probe. `confirms` is the version of the ownership row that the
    /// replying member confirms; `None` if it confirms none.
    pub(super) fn on_probe_reply(
        &mut self,
        ownership: &mut Ownership,
        from: Incarnation,
        nonce: u64,
        confirms: Option<Version>,
        now: Instant,
    ) {
        let Some(probe) = self.probes.remove(&nonce) else {
            return;
        };
        ownership.record_heard(from, now);
        if let Some(version) = confirms {
            ownership.observe_ack(from, probe.sent, Ack { version }, now);
        }
        log::trace!(
            "peer: {from} replied to a probe sent at row {}.",
            probe.row_version
        );
    }

    /// Asks members to promise to stop confirming a silent member, at most once per
    /// [`PROMISE_INTERVAL`].
    pub(super) fn request_promises(
        &mut self,
        header: &Datagram,
        request: PromiseRequest,
        members: &[Member],
        now: Instant,
    ) {
        if self.next_promise_request.is_some_and(|at| now < at) {
            return;
        }
        self.next_promise_request = Some(now + PROMISE_INTERVAL);
        log::warn!(
            "owner: asking {} members for the promise {request:?}.",
            members.len()
        );
        for member in members {
            let request = request.into();
            self.send(header, Message::RequestPromise { request }, member.peer);
        }
    }

    /// Selects the sender of a datagram as the peer to request the next snapshot from.
    pub(super) fn schedule_snapshot(&mut self, datagram: &Datagram) {
        self.snapshot_source = Some(datagram.sender.peer_address);
    }

    /// Requests a snapshot from the selected peer, or from a random seed while no configuration is
    /// in force.
    pub(super) fn request_snapshot(
        &mut self,
        address: &Address<Control>,
        domain: Domain,
        config_version: Version,
    ) {
        let mut target = self.snapshot_source.take();
        if target.is_none() && config_version == Version(0) {
            target = self.seeds.choose(&mut rand::rng()).copied();
        }
        let Some(target) = target.filter(|t| *t != self.me.peer_address) else {
            return;
        };
        let link = self.link(target);
        let address = address.clone();
        tokio::spawn(async move {
            let reply = link.call(&Call::Snapshot(domain), SNAPSHOT_TIMEOUT).await;
            if let Ok(Reply::Snapshot(snapshot)) = reply {
                // The actor ends only with the process.
                let _ = address.send(SnapshotReceived(*snapshot)).detach().await;
            }
        });
    }

    /// Returns the link to a peer address, which is created at its first use.
    fn link(&mut self, peer: SocketAddr) -> Arc<Link> {
        let local_ip = self.local_ip;
        let create = || Arc::new(Link::new(peer, local_ip));
        self.links.entry(peer).or_insert_with(create).clone()
    }

    /// Returns the peers to which requests may be offered: first those of this domain, then those
    /// of other domains.
    pub(super) fn peers(&mut self, ownership: &Ownership, now: Instant) -> (Vec<Peer>, Vec<Peer>) {
        let silences: Vec<(Sender, Duration)> = self
            .heard_peers
            .values()
            .filter(|p| !p.shutting_down)
            .map(|p| {
                (
                    p.sender.clone(),
                    now.saturating_duration_since(p.last_heard),
                )
            })
            .collect();
        let mut same_domain = Vec::new();
        let mut other_domains = Vec::new();
        for (sender, silence) in silences {
            let is_same_domain = sender.domain == self.me.domain;
            let is_eligible = !is_same_domain || ownership.row().is_member(sender.incarnation);
            let max_silence = if is_same_domain {
                SAME_DOMAIN_MAX_SILENCE
            } else {
                OTHER_DOMAIN_MAX_SILENCE
            };
            if !is_eligible || silence > max_silence {
                continue;
            }
            let peer = Peer {
                incarnation: sender.incarnation,
                domain: sender.domain,
                link: self.link(sender.peer_address),
                name: sender.name,
            };
            if is_same_domain {
                same_domain.push(peer);
            } else {
                other_domains.push(peer);
            }
        }
        (same_domain, other_domains)
    }
}
