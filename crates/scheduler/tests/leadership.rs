//! Tests when the control thread gives a shard up or takes it over around outages of the store, with a
//! stand-in for the store and the heartbeats of one peer.

use {
    arc_swap::ArcSwap,
    marigoldbend_core::{
        clock::SystemClock,
        hash::HashMap,
        sched::leadership::{LEADER_TIMEOUT, LeaseRow},
    },
    marigoldbend_peer::heartbeat::{Heartbeat, LedShard, Omissions},
    marigoldbend_platform::{rows::RowKey, store::Store},
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
    tokio::time::{sleep, timeout},
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
        omissions: Omissions::default(),
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

/// Starts an empty store.
async fn start_store() -> RowStore {
    let store = RowStore::start(Duration::ZERO).await;
    store.expect("the store does not start")
}

/// Stores a lease row with this holder.
fn store_lease(store: &RowStore, holder: &str, token: u64) {
    let lease = LeaseRow {
        holder: holder.to_owned(),
        incarnation: 5,
        token,
    };
    let lease = postcard::to_stdvec(&lease).expect("a lease can be encoded");
    store.put(keys::lease(SHARD), lease);
}

/// Returns the holder of the lease row; `None` if there is no row.
fn lease_holder(store: &RowStore) -> Option<String> {
    let row = store.row(&keys::lease(SHARD))?;
    let lease: LeaseRow = postcard::from_bytes(&row.value).expect("a valid lease row");
    Some(lease.holder)
}

/// Makes the store refuse all calls, or none.
fn set_down(store: &RowStore, down: bool) {
    store.set_faults(Faults {
        down,
        ..Faults::default()
    });
}

impl Instance {
    /// Starts an instance with an empty store.
    async fn start() -> Self {
        Self::start_with(start_store().await)
    }

    /// Starts an instance with this store.
    fn start_with(store: RowStore) -> Self {
        let bind = || UdpSocket::bind("127.0.0.1:0").expect("binding a port failed");
        let (socket, peer_socket) = (bind(), bind());
        let unblocked = peer_socket.set_nonblocking(true);
        unblocked.expect("the socket can't be unblocked");
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
        store_lease(&self.store, "peer", PEER_TOKEN);
    }

    /// Stores the row from which instances discover the peer, and the lease row of the peer.
    fn list_leading_peer(&self) {
        let row = ("z".to_owned(), self.peer);
        let row = postcard::to_stdvec(&row).expect("the row can be encoded");
        self.store
            .put(RowKey::new(keys::INSTANCES, "", "peer"), row);
        self.store_peer_lease();
    }

    /// Waits until the peer has received a heartbeat; returns whether it has within `limit`.
    async fn introduces_itself(&self, limit: Duration) -> bool {
        let socket = self.peer_socket.try_clone();
        let socket = tokio::net::UdpSocket::from_std(socket.expect("cloning the socket failed"));
        let socket = socket.expect("the socket is not blocking");
        let mut buf = [0; 2_048];
        timeout(limit, socket.recv(&mut buf)).await.is_ok()
    }

    /// Waits until this instance leads; returns how long that took, at most `limit`.
    async fn wait_for_lead(&self, limit: Duration) -> Duration {
        let start = Instant::now();
        while !self.leads() && start.elapsed() < limit {
            sleep(Duration::from_millis(5)).await;
        }
        start.elapsed()
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
        set_down(&self.store, down);
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

/// Guards against an instance that takes the lead from a sound leader because it has started in an
/// outage, in which nobody could learn of it.
#[test_case(0; "the store serves it at the start")]
#[test_case(300; "the outage is too short to be noticed")]
#[test_case(4_500; "the outage is noticed")]
#[tokio::test]
async fn a_leader_was_deposed_by_an_instance_that_started_in_an_outage(outage_ms: u64) {
    let store = start_store().await;
    set_down(&store, outage_ms > 0);
    let instance = Instance::start_with(store);
    instance.list_leading_peer();
    sleep(Duration::from_millis(outage_ms)).await;
    instance.set_down(false);
    let is_introduced = instance.introduces_itself(Duration::from_secs(2)).await;
    assert!(is_introduced, "the peer is not told of the instance");
    assert!(!instance.hear(&["peer"], Duration::from_secs(2)).await);
    let holder = lease_holder(&instance.store);
    assert_eq!(holder.as_deref(), Some("peer"));
}

/// Guards against a wait for heartbeats of a leader that can't exist.
#[tokio::test]
async fn first_leader_is_chosen_as_soon_as_the_store_returns() {
    let store = start_store().await;
    set_down(&store, true);
    let instance = Instance::start_with(store);
    sleep(Duration::from_millis(4_500)).await;
    instance.set_down(false);
    let after = instance.wait_for_lead(Duration::from_secs(3)).await;
    // The store is called again after up to 250 ms.
    assert!(after < Duration::from_millis(750), "after={after:?}");
}

#[tokio::test]
async fn gone_leader_is_replaced_by_an_instance_that_started_in_an_outage() {
    let store = start_store().await;
    set_down(&store, true);
    let instance = Instance::start_with(store);
    instance.list_leading_peer();
    sleep(Duration::from_millis(4_500)).await;
    instance.set_down(false);
    let after = instance.wait_for_lead(Duration::from_secs(6)).await;
    let limit = LEADER_TIMEOUT + Duration::from_millis(750);
    assert!(after < limit, "after={after:?}");
}

/// Guards against candidates that write the lease row one after the other, each for the leader before.
#[tokio::test]
async fn a_new_lease_row_was_overwritten_by_the_next_candidate() {
    let instance = Instance::start().await;
    instance.store_peer_lease();
    assert!(!instance.hear(&["peer"], Duration::from_secs(1)).await);
    store_lease(&instance.store, "other", PEER_TOKEN + 1);
    // The peer has been silent for 0.8 s by then, and the other instance is unheard.
    let after = instance
        .wait_for_lead(LEADER_TIMEOUT * 2 - Duration::from_millis(150))
        .await;
    let holder = lease_holder(&instance.store);
    assert_eq!(holder.as_deref(), Some("other"), "after={after:?}");
    let after = instance.wait_for_lead(Duration::from_secs(2)).await;
    assert!(instance.leads(), "after={after:?}");
}

/// Guards against a leader that resigns, or writes no heartbeat any more, since one of its heartbeats was
/// stored without a reply.
#[tokio::test]
async fn leader_goes_on_when_its_heartbeat_row_has_another_version() {
    const LATE: &[u8] = b"a heartbeat that was stored late";
    let instance = Instance::start_leader().await;
    let row = || instance.store.row(&keys::heartbeat(SHARD));
    let lead = |_| PeerState {
        store_reachable: true,
        served_at: Instant::now(),
        leads: false,
    };
    for _ in 0..2 {
        instance.store.put(keys::heartbeat(SHARD), LATE.to_owned());
        let lost = instance.run(Duration::from_millis(2_500), lead).await;
        assert_eq!(lost, None);
        assert_ne!(row().map(|row| row.value), Some(LATE.to_owned()));
    }
}
