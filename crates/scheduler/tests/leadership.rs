//! Tests when the control thread gives a shard up or takes it over around outages of the store, with a
//! stand-in for the store and the heartbeats of one peer.

use {
    arc_swap::ArcSwap,
    marigoldbend_core::{clock::SystemClock, hash::HashMap, sched::leadership::LeaseRow},
    marigoldbend_peer::heartbeat::{Heartbeat, LedShard},
    marigoldbend_platform::store::Store,
    marigoldbend_scheduler::{
        control::{Control, Event, TICK, deliver_urgent_event},
        keys,
        metrics::Metrics,
        settings::{Features, Settings, ShardSettings},
        view::{LeaderView, View},
    },
    stand_ins::rows::{Faults, RowStore},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::{Duration, Instant},
    },
    test_case::test_case,
    tokio::time::sleep,
    xtra::{Address, Mailbox},
};

/// The shard of all tests.
const SHARD: &str = "all";

/// The fencing token of the peer's leadership.
const PEER_TOKEN: u64 = 3;

/// The processor share of the instance, in thousandths of a core.
const OWN_CPU_SHARE: u32 = 500;

/// The interval of the peer's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// What the peer's heartbeats say.
#[derive(Clone, Copy)]
struct PeerState {
    store_reachable: bool,
    served_at: Instant,
    leads: bool,
}

fn settings(store: SocketAddr, peers: SocketAddr) -> Settings {
    Settings {
        name: "own".to_owned(),
        domain: "z".to_owned(),
        shards: vec![ShardSettings {
            name: SHARD.to_owned(),
            domains: vec!["z".to_owned()],
        }],
        cpu_share: OWN_CPU_SHARE,
        peers,
        store,
        advice: None,
        max_lease: Duration::from_secs(4),
        drain: Duration::from_secs(1),
        keep: Duration::from_secs(60),
        config_max_age: Duration::from_secs(2),
        evacuation_max_age: None,
        features: Features::default(),
    }
}

/// The shard as led by the peer.
fn led_shard() -> LedShard {
    LedShard {
        shard: SHARD.to_owned(),
        token: PEER_TOKEN,
        lease_version: 1,
        loads: Vec::new(),
        pending: Vec::new(),
    }
}

fn heartbeat(name: &str, peer: PeerState, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        name: name.to_owned(),
        domain: "z".to_owned(),
        incarnation: 5,
        address,
        config_version: 0,
        store_reachable: peer.store_reachable,
        shutting_down: false,
        taking_over: Vec::new(),
        led_shards: peer.leads.then(led_shard).into_iter().collect(),
        cpu_share: 69,
        newest_tokens: Vec::new(),
        waits_for_loans: false,
        outlooks: Vec::new(),
        store_age: Some(peer.served_at.elapsed()),
    }
}

/// A running control thread with its store.
struct Instance {
    store: RowStore,
    address: Address<Control>,
    view: Arc<ArcSwap<View>>,
    /// Takes the place of the peer's socket.
    peer: SocketAddr,
    peer_socket: UdpSocket,
}

impl Instance {
    /// Starts an instance with an empty store.
    async fn start() -> Self {
        let store = RowStore::start(Duration::ZERO).await;
        let store = store.expect("the store does not start");
        let bind = || UdpSocket::bind("127.0.0.1:0").expect("binding a port failed");
        let (socket, peer_socket) = (bind(), bind());
        let address_of = |socket: &UdpSocket| socket.local_addr().expect("a bound socket");
        let (own, peer) = (address_of(&socket), address_of(&peer_socket));
        let clock = Arc::new(SystemClock);
        let wire = marigoldbend_wire::store::WIRE;
        let view = Arc::new(ArcSwap::<View>::default());
        let control = Control::new(
            settings(store.address(), own),
            1,
            clock.clone(),
            Arc::new(Store::new(store.address(), wire, clock)),
            socket,
            Arc::new(Metrics::new().expect("the metrics are valid")),
            view.clone(),
        );
        let address = xtra::spawn_tokio(control, Mailbox::unbounded());
        let ticks = address.clone();
        tokio::spawn(async move {
            loop {
                deliver_urgent_event(&ticks, Event::Tick).await;
                sleep(TICK).await;
            }
        });
        Self {
            store,
            address,
            view,
            peer,
            peer_socket,
        }
    }

    /// Starts an instance, and waits until it leads.
    async fn start_leader() -> Self {
        let instance = Self::start().await;
        let started_at = Instant::now();
        let lead = |_| PeerState {
            store_reachable: true,
            served_at: Instant::now(),
            leads: false,
        };
        while !instance.leads() {
            assert!(started_at.elapsed() < Duration::from_secs(10));
            instance.run(Duration::from_millis(300), lead).await;
        }
        instance
    }

    /// Starts an instance whose peer leads, and stops the store for it until it has noticed that.
    async fn start_in_outage() -> Self {
        let instance = Self::start().await;
        instance.store_peer_lease();
        let started_at = Instant::now();
        let state = |_| PeerState {
            store_reachable: true,
            served_at: Instant::now(),
            leads: true,
        };
        instance.run(Duration::from_millis(1_500), state).await;
        instance.set_down(true);
        let state = |elapsed| PeerState {
            store_reachable: elapsed < Duration::from_secs(1),
            served_at: started_at,
            leads: true,
        };
        instance.run(Duration::from_secs(4), state).await;
        assert!(!instance.leads());
        instance
    }

    /// Stores the lease row of the peer.
    fn store_peer_lease(&self) {
        let lease = LeaseRow {
            holder: "peer".to_owned(),
            incarnation: 5,
            token: PEER_TOKEN,
        };
        let lease = postcard::to_stdvec(&lease).expect("a lease can be encoded");
        self.store.put(keys::lease(SHARD), lease);
    }

    fn leads(&self) -> bool {
        let view = self.view.load();
        let leaders: &HashMap<String, LeaderView> = &view.leaders;
        leaders.get(SHARD).is_some_and(|l| l.name == "own")
    }

    /// Sends the peer's heartbeats for some time; `state` returns what they say after a time. Returns
    /// when the instance was first seen not to lead.
    async fn run(
        &self,
        duration: Duration,
        state: impl Fn(Duration) -> PeerState,
    ) -> Option<Duration> {
        let started_at = Instant::now();
        let mut lost_after = None;
        while started_at.elapsed() < duration {
            let heartbeat = heartbeat("peer", state(started_at.elapsed()), self.peer);
            deliver_urgent_event(&self.address, Event::Heartbeat(heartbeat)).await;
            sleep(HEARTBEAT_INTERVAL).await;
            if !self.leads() {
                lost_after.get_or_insert(started_at.elapsed());
            }
        }
        lost_after
    }

    /// Sends heartbeats of these peers, which are as large as this instance, for some time; the one
    /// named "peer" leads. Returns whether this
    /// instance led meanwhile.
    async fn hear(&self, names: &[&str], duration: Duration) -> bool {
        let started_at = Instant::now();
        let mut led = false;
        while started_at.elapsed() < duration {
            for name in names {
                let state = PeerState {
                    store_reachable: true,
                    served_at: Instant::now(),
                    leads: *name == "peer",
                };
                let heartbeat = Heartbeat {
                    cpu_share: OWN_CPU_SHARE,
                    ..heartbeat(name, state, self.peer)
                };
                deliver_urgent_event(&self.address, Event::Heartbeat(heartbeat)).await;
            }
            sleep(HEARTBEAT_INTERVAL).await;
            led |= self.leads();
        }
        led
    }

    /// Makes the store refuse all calls of this instance, or none.
    fn set_down(&self, down: bool) {
        self.store.set_faults(Faults {
            down,
            ..Faults::default()
        });
    }
}

/// Guards against a leader that stops renewing leases because peers notice an outage later.
#[test_case(1_400; "the peer notices the outage a little later")]
#[test_case(4_000; "the peer does not notice the outage")]
#[tokio::test]
async fn leader_keeps_its_shard_while_the_store_serves_nobody(noticed_ms: u64) {
    let instance = Instance::start_leader().await;
    instance.set_down(true);
    let served_at = Instant::now();
    let state = |elapsed| PeerState {
        store_reachable: elapsed < Duration::from_millis(noticed_ms),
        served_at,
        leads: false,
    };
    let lost_after = instance.run(Duration::from_secs(4), state).await;
    assert_eq!(lost_after, None, "the store is down");
    instance.set_down(false);
    let state = |_| PeerState {
        store_reachable: true,
        served_at: Instant::now(),
        leads: false,
    };
    let lost_after = instance.run(Duration::from_secs(2), state).await;
    assert_eq!(lost_after, None, "the store is back");
    drop(instance.peer_socket);
}

#[tokio::test]
async fn leader_that_the_store_rejects_resigns() {
    let instance = Instance::start_leader().await;
    instance.set_down(true);
    let state = |_| PeerState {
        store_reachable: true,
        served_at: Instant::now(),
        leads: false,
    };
    let lost_after = instance.run(Duration::from_secs(5), state).await;
    assert!(
        lost_after.is_some_and(|after| after <= Duration::from_secs(4)),
        "lost_after={lost_after:?}"
    );
}

/// Guards against a leader that renews leases for longer than its successor assumes, since it reaches
/// neither the store nor the successor.
#[test_case(1, true; "a newer lease row")]
#[test_case(0, false; "its own lease row")]
#[tokio::test]
async fn leader_resigns_once_a_peer_knows_a_newer_lease_row(newer_by: u64, resigns: bool) {
    let instance = Instance::start_leader().await;
    let token = instance.view.load().leaders[SHARD].token;
    instance.set_down(true);
    let state = PeerState {
        store_reachable: false,
        served_at: Instant::now(),
        leads: false,
    };
    let heartbeat = Heartbeat {
        newest_tokens: vec![(SHARD.to_owned(), token + newer_by)],
        waits_for_loans: false,
        outlooks: Vec::new(),
        ..heartbeat("peer", state, instance.peer)
    };
    deliver_urgent_event(&instance.address, Event::Heartbeat(heartbeat)).await;
    let lost_after = instance.run(Duration::from_secs(1), |_| state).await;
    assert_eq!(lost_after.is_some(), resigns, "lost_after={lost_after:?}");
}

/// Guards against a candidate that takes over from a leader which the store serves a moment later.
#[tokio::test]
async fn heard_leader_gets_time_to_reach_a_store_that_returns() {
    let instance = Instance::start_in_outage().await;
    instance.set_down(false);
    let returned_at = Instant::now();
    let served_at = returned_at - Duration::from_secs(4);
    let unreachable = |_| PeerState {
        store_reachable: false,
        served_at,
        leads: true,
    };
    instance
        .run(Duration::from_millis(1_200), unreachable)
        .await;
    assert!(!instance.leads(), "the leader has had no time");
    while !instance.leads() && returned_at.elapsed() < Duration::from_secs(6) {
        instance.run(Duration::from_millis(150), unreachable).await;
    }
    let taken_over_after = returned_at.elapsed();
    assert!(
        instance.leads() && taken_over_after < Duration::from_secs(4),
        "taken_over_after={taken_over_after:?}"
    );
}

#[tokio::test]
async fn silent_leader_is_replaced_as_soon_as_the_store_returns() {
    let instance = Instance::start_in_outage().await;
    sleep(Duration::from_secs(2)).await;
    instance.set_down(false);
    let returned_at = Instant::now();
    while !instance.leads() && returned_at.elapsed() < Duration::from_secs(6) {
        sleep(Duration::from_millis(10)).await;
    }
    // The store is called again after up to 250 ms.
    let taken_over_after = returned_at.elapsed();
    assert!(
        taken_over_after < Duration::from_millis(750),
        "taken_over_after={taken_over_after:?}"
    );
}

/// Guards against an instance that judges a leader by what it read of its heartbeats in the store when
/// it last heard only a minority.
#[tokio::test]
async fn heard_leader_is_left_alone_by_an_instance_that_is_in_a_minority_again() {
    let instance = Instance::start().await;
    instance.store_peer_lease();
    let all = ["peer", "p1", "p2", "p3"];
    assert!(!instance.hear(&all, Duration::from_millis(1_500)).await);
    assert!(!instance.hear(&["peer"], Duration::from_millis(1_800)).await);
    // The leader is silent as well, so its heartbeat in the store is read.
    assert!(!instance.hear(&[], Duration::from_millis(1_600)).await);
    assert!(!instance.hear(&all, Duration::from_millis(2_500)).await);
    let led = instance.hear(&["peer"], Duration::from_millis(3_000)).await;
    assert!(!led, "the leader is heard");
}
