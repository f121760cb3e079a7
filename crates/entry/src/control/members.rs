//! Peers: who they are, when they were heard, and what is sent to them.

use {
    super::actor::{Control, ControlConfig, SnapshotDone},
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

/// The age after which an unanswered probe is forgotten.
const PROBE_AGE: Duration = Duration::from_secs(3);

/// The time without a sign after which a peer of this domain is not offered requests.
const SAME_DOMAIN_MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// The time without a sign after which a peer of another domain is not offered requests.
const OTHER_DOMAIN_MAX_SILENCE: Duration = Duration::from_secs(10);

/// Peers of other domains that are probed at a time.
const OTHER_DOMAIN_PROBES: usize = 2;

/// The time between two requests for the same words.
const PROMISE_INTERVAL: Duration = Duration::from_millis(200);

/// The time limit of asking a peer for what it knows.
const SNAPSHOT_LIMIT: Duration = Duration::from_secs(1);

struct Known {
    sender: Sender,
    heard: Instant,
    ending: bool,
}

struct Probe {
    sent: Instant,
    row: Version,
}

/// The peers of this instance.
pub(super) struct Members {
    me: Sender,
    seeds: Vec<SocketAddr>,
    local_ip: Option<IpAddr>,
    socket: Arc<UdpSocket>,
    metrics: Arc<Metrics>,
    known: HashMap<Incarnation, Known>,
    other_domains: Vec<(Domain, Member)>,
    links: HashMap<SocketAddr, Arc<Link>>,
    probes: HashMap<u64, Probe>,
    ask: Option<SocketAddr>,
    next_promises: Option<Instant>,
}

impl Members {
    pub(super) fn new(cfg: &ControlConfig, socket: Arc<UdpSocket>, metrics: Arc<Metrics>) -> Self {
        Self {
            me: Sender {
                incarnation: cfg.me.incarnation,
                domain: cfg.domain,
                name: cfg.me.name.clone(),
                peer: cfg.me.peer,
            },
            seeds: cfg.seeds.clone(),
            local_ip: cfg.local_ip,
            socket,
            metrics,
            known: HashMap::default(),
            other_domains: Vec::new(),
            links: HashMap::default(),
            probes: HashMap::default(),
            ask: None,
            next_promises: None,
        }
    }

    pub(super) fn sender(&self) -> &Sender {
        &self.me
    }

    /// Sends a message; it may be lost, like any datagram.
    pub(super) fn send(&self, header: &Datagram, message: Message, to: SocketAddr) {
        let datagram = Datagram {
            message,
            ..header.clone()
        };
        let Ok(buf) = datagram.encode() else {
            log::error!("peer: a datagram is too long.");
            return;
        };
        if self.socket.try_send_to(&buf, to).is_ok() {
            self.metrics.datagram_bytes.inc_by(buf.len() as u64);
        }
    }

    fn probe(&mut self, header: &Datagram, to: SocketAddr, now: Instant) {
        let nonce = rand::rng().random();
        let probe = Probe {
            sent: now,
            row: header.row,
        };
        self.probes.insert(nonce, probe);
        self.send(header, Message::Probe { nonce }, to);
    }

    /// Probes the other members of the domain, or the seeds while none are known.
    pub(super) fn probe_same_domain(
        &mut self,
        ownership: &Ownership,
        header: &Datagram,
        now: Instant,
    ) {
        let fresh = |p: &Probe| now.saturating_duration_since(p.sent) < PROBE_AGE;
        self.probes.retain(|_, p| fresh(p));
        let me = self.me.incarnation;
        let members = ownership.row().members.iter();
        let others = members.filter(|m| m.incarnation != me).map(|m| m.peer);
        let mut targets: Vec<SocketAddr> = others.collect();
        if targets.is_empty() {
            targets.clone_from(&self.seeds);
        }
        for to in targets {
            if to != self.me.peer {
                self.probe(header, to, now);
            }
        }
    }

    /// Probes a few peers of other domains.
    pub(super) fn probe_other_domains(&mut self, header: &Datagram, now: Instant) {
        let mut rng = rand::rng();
        let chosen: Vec<SocketAddr> = self
            .other_domains
            .sample(&mut rng, OTHER_DOMAIN_PROBES)
            .map(|(_, m)| m.peer)
            .collect();
        for to in chosen {
            self.probe(header, to, now);
        }
    }

    /// Probes every peer that was heard of.
    pub(super) fn probe_all(&mut self, header: &Datagram, now: Instant) {
        let known: Vec<SocketAddr> = self.known.values().map(|k| k.sender.peer).collect();
        for to in known {
            self.probe(header, to, now);
        }
    }

    /// Records who sent a datagram.
    pub(super) fn observe(&mut self, datagram: &Datagram, now: Instant) {
        let sender = &datagram.sender;
        // An earlier process at the same address has ended.
        self.known.retain(|&incarnation, known| {
            incarnation == sender.incarnation || known.sender.peer != sender.peer
        });
        let known = Known {
            sender: sender.clone(),
            heard: now,
            ending: datagram.ending,
        };
        self.known.insert(sender.incarnation, known);
    }

    pub(super) fn observe_other_domains(&mut self, other_domains: Vec<(Domain, Member)>) {
        if !other_domains.is_empty() {
            self.other_domains = other_domains;
        }
    }

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
        log::trace!("peer: {from} answered a probe of {}.", probe.row);
    }

    pub(super) fn request_promises(
        &mut self,
        header: &Datagram,
        request: PromiseRequest,
        members: &[Member],
        now: Instant,
    ) {
        if self.next_promises.is_some_and(|at| now < at) {
            return;
        }
        self.next_promises = Some(now + PROMISE_INTERVAL);
        log::warn!(
            "owner: asking {} members for the word {request:?}.",
            members.len()
        );
        for member in members {
            let request = request.into();
            self.send(header, Message::RequestPromise { request }, member.peer);
        }
    }

    /// Remembers a peer that knows something newer.
    pub(super) fn schedule_snapshot(&mut self, datagram: &Datagram) {
        self.ask = Some(datagram.sender.peer);
    }

    /// Asks a peer for what it knows, if one is ahead or nothing is known at all.
    pub(super) fn request_snapshot(
        &mut self,
        address: &Address<Control>,
        domain: Domain,
        known: Version,
    ) {
        let mut target = self.ask.take();
        if target.is_none() && known == Version(0) {
            target = self.seeds.choose(&mut rand::rng()).copied();
        }
        let Some(target) = target.filter(|t| *t != self.me.peer) else {
            return;
        };
        let link = self.link(target);
        let address = address.clone();
        tokio::spawn(async move {
            let reply = link.call(&Call::Snapshot(domain), SNAPSHOT_LIMIT).await;
            if let Ok(Reply::Snapshot(snapshot)) = reply {
                // The actor ends only with the process.
                let _ = address.send(SnapshotDone(*snapshot)).detach().await;
            }
        });
    }

    fn link(&mut self, peer: SocketAddr) -> Arc<Link> {
        let local_ip = self.local_ip;
        let fresh = || Arc::new(Link::new(peer, local_ip));
        self.links.entry(peer).or_insert_with(fresh).clone()
    }

    /// Returns the peers that requests may be offered to, of this domain and of others.
    pub(super) fn peers(&mut self, ownership: &Ownership, now: Instant) -> (Vec<Peer>, Vec<Peer>) {
        let heard: Vec<(Sender, Duration)> = self
            .known
            .values()
            .filter(|k| !k.ending)
            .map(|k| (k.sender.clone(), now.saturating_duration_since(k.heard)))
            .collect();
        let mut same_domain = Vec::new();
        let mut other_domains = Vec::new();
        for (sender, age) in heard {
            let is_same_domain = sender.domain == self.me.domain;
            let member = !is_same_domain || ownership.row().is_member(sender.incarnation);
            let limit = if is_same_domain {
                SAME_DOMAIN_MAX_SILENCE
            } else {
                OTHER_DOMAIN_MAX_SILENCE
            };
            if !member || age > limit {
                continue;
            }
            let peer = Peer {
                incarnation: sender.incarnation,
                domain: sender.domain,
                link: self.link(sender.peer),
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
