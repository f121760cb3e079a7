//! The HTTP interface for operators of an instance that schedules jobs: evacuations of failure domains.
//!
//! - `GET /evacuations` returns the evacuated domains and what still runs there.
//! - `PUT /evacuations/DOMAIN` evacuates a failure domain, `DELETE` takes that back. Both may be
//!   repeated. The reply is sent once the request is stored, and it binds within
//!   `evacuation_max_age_ms`, whatever happens to the instances.

use {
    crate::{
        control::{Control, GetEvacuations},
        keys,
        settings::Settings,
        view::View,
    },
    arc_swap::ArcSwap,
    hyper::{Method, StatusCode},
    marigoldbend_core::hash::HashMap,
    marigoldbend_http::body::{HttpResponse, json, problem},
    marigoldbend_peer::{
        call::{Call, DomainEvacuation, Reply},
        link::Link,
    },
    marigoldbend_platform::{
        backoff::Backoff,
        rows::Tx,
        store::{Store, StoreError},
    },
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    xtra::Address,
};

/// How long the write of a request is retried. Repeated writes have the same effect.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the leader may take to return what still runs in evacuated domains.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The path of the evacuations.
const PATH: &str = "/evacuations";

/// The handler of operators' requests.
pub struct OperatorApi {
    settings: Settings,
    store: Arc<Store>,
    view: Arc<ArcSwap<View>>,
    control: Address<Control>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

impl OperatorApi {
    /// Creates the handler; the actor `control` publishes its snapshots in `view`.
    pub fn new(
        settings: Settings,
        store: Arc<Store>,
        view: Arc<ArcSwap<View>>,
        control: Address<Control>,
    ) -> Self {
        Self {
            settings,
            store,
            view,
            control,
            links: Mutex::default(),
        }
    }

    /// Serves one request; it has no body.
    pub async fn serve(self: Arc<Self>, method: Method, path: &str) -> HttpResponse {
        let domain = path.strip_prefix(PATH).and_then(|p| p.strip_prefix('/'));
        match (method, domain) {
            (Method::GET, None) if path == PATH => self.list().await,
            (Method::PUT, Some(domain)) => self.set(domain, true).await,
            (Method::DELETE, Some(domain)) => self.set(domain, false).await,
            _ => problem(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }

    /// Stores the evacuation of a failure domain, or deletes it.
    async fn set(&self, domain: &str, is_evacuated: bool) -> HttpResponse {
        let Some(shard) = self.settings.shard_of(domain) else {
            let detail = format!("domain: {domain:?} is not one of this deployment");
            return problem(StatusCode::NOT_FOUND, &detail);
        };
        let key = keys::evacuation(shard, domain);
        let tx = if is_evacuated {
            Tx {
                puts: vec![(key, Vec::new())],
                ..Tx::default()
            }
        } else {
            Tx {
                deletes: vec![key],
                ..Tx::default()
            }
        };
        if let Err(e) = self.write(&tx).await {
            log::warn!("operators: domain={domain} evacuated={is_evacuated} is not stored: {e}.");
            let detail = match e {
                StoreError::NotApplied => "the store did not accept the request",
                _ => "it is not known whether the request was stored; repeat it",
            };
            return problem(StatusCode::SERVICE_UNAVAILABLE, detail);
        }
        log::info!("operators: domain={domain} evacuated={is_evacuated} is stored.");
        let binds_within = self.settings.evacuation_max_age;
        let body = json!({
            "domain": domain,
            "evacuated": is_evacuated,
            "binds_within_ms": binds_within.map(|d| d.as_millis() as u64),
        });
        json(StatusCode::OK, &body)
    }

    /// Writes a transaction, with retries.
    async fn write(&self, tx: &Tx) -> Result<(), StoreError> {
        let give_up_at = Instant::now() + WRITE_TIMEOUT;
        let mut backoff = Backoff::new();
        loop {
            let e = match self.store.tx(tx).await {
                Ok(_) => return Ok(()),
                Err(e) => e,
            };
            let wait = backoff.next(&mut rand::rng());
            if Instant::now() + wait >= give_up_at {
                return Err(e);
            }
            sleep(wait).await;
        }
    }

    /// Returns the evacuated domains of all shards, as their leaders know them.
    async fn list(&self) -> HttpResponse {
        let view = self.view.load_full();
        let mut domains = Vec::new();
        for shard in &self.settings.shards {
            let Some(evacuations) = self.ask_leader(&view, &shard.name).await else {
                let detail = format!("the leader of shard {:?} does not answer", shard.name);
                return problem(StatusCode::SERVICE_UNAVAILABLE, &detail);
            };
            domains.extend(evacuations.iter().map(evacuation_value));
        }
        json(StatusCode::OK, &json!({ "evacuations": domains }))
    }

    /// Asks the leader of a shard for its evacuated domains; `None` if there is no answer.
    async fn ask_leader(&self, view: &View, shard: &str) -> Option<Vec<DomainEvacuation>> {
        let leader = view.leaders.get(shard)?;
        if leader.name == self.settings.name {
            let request = self.control.send(GetEvacuations(shard.to_owned()));
            return timeout(STATUS_TIMEOUT, request).await.ok()?.ok()?;
        }
        let link = {
            let mut links = self.links.lock();
            let new = || Arc::new(Link::new(leader.address, None));
            links.entry(leader.address).or_insert_with(new).clone()
        };
        let call = Call::Evacuations {
            shard: shard.to_owned(),
        };
        match link.call(&call, STATUS_TIMEOUT).await {
            Ok(Reply::Evacuations(evacuations)) => evacuations,
            _ => None,
        }
    }
}

fn evacuation_value(evacuation: &DomainEvacuation) -> Value {
    json!({
        "domain": evacuation.domain,
        "emptied": evacuation.is_emptied,
        "workers": evacuation.workers,
        "short_runs": evacuation.short_runs,
        "long_running_runs": evacuation.long_running_runs,
    })
}
