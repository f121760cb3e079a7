//! The stand-in for the platform: a transactional table, an object store and the instance list,
//! with injected faults.

use {
    hyper::{
        Method, Request, StatusCode,
        body::Incoming,
        header::{ETAG, HeaderValue, IF_NONE_MATCH},
    },
    marigoldbend_core::{hash::HashMap, ids::Version},
    marigoldbend_http::{
        body::{HttpResponse, json, problem, read_whole, text},
        server::{Limits, serve},
    },
    marigoldbend_platform::wire::{Commit, Conflicts, EntryInstance, InstanceList, Liveness, Row},
    parking_lot::Mutex,
    rand::RngExt,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet},
        future::pending,
        hash::{DefaultHasher, Hash, Hasher},
        io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// The maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The injected faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with status 503.
    pub down: bool,
    /// Calls are accepted but never answered.
    pub frozen: bool,
    /// The delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// The share of transactions whose reply is lost after they took effect, in percent.
    pub lose_replies_percent: u32,
    /// The addresses whose calls are never answered.
    pub cut: Vec<IpAddr>,
    /// The age of the instance list that callers get, in milliseconds.
    pub list_lag_ms: u64,
}

/// Counts of the calls to the platform since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Reads of a row or of all rows with a prefix.
    pub reads: u64,
    /// Transactions that were committed.
    pub commits: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Transactions rejected because a row had another version than expected.
    pub conflicts: u64,
    /// Bytes of the values written, as JSON.
    pub bytes_written: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, Value>,
    list: InstanceList,
    /// Earlier instance lists, each with the time at which it was replaced, oldest first.
    older_lists: Vec<(Instant, InstanceList)>,
    faults: Faults,
    stats: Stats,
}

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Platform {
    /// Starts the platform on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (stop, stopped) = watch::channel(false);
        let platform = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
            stop,
        };
        let for_handler = platform.clone();
        let handler = move |peer: SocketAddr, req| {
            let platform = for_handler.clone();
            async move { platform.handle(peer.ip(), req).await }
        };
        tokio::spawn(serve(listener, Limits::default(), handler, stopped));
        Ok(platform)
    }

    /// Returns the platform's address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the platform.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Replaces the faults of the platform.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Returns the current faults of the platform.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Returns the counts of the calls so far.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats
    }

    /// Changes the instance list.
    pub fn update_list(&self, change: impl FnOnce(&mut InstanceList)) {
        let mut state = self.state.lock();
        let old = state.list.clone();
        change(&mut state.list);
        state.older_lists.push((Instant::now(), old));
    }

    /// Sets the state of an entry instance in the instance list; adds the instance if it is not
    /// listed.
    pub fn set_entry(&self, name: &str, liveness: Liveness) {
        self.update_list(|list| {
            list.entries.retain(|e| e.name != name);
            list.entries.push(EntryInstance {
                name: name.to_owned(),
                state: liveness,
            });
        });
    }

    /// Sets the state of a listed worker; does nothing if the worker is not listed.
    pub fn set_worker(&self, id: u32, liveness: Liveness) {
        self.update_list(|list| {
            let listed = list.workers.iter_mut().find(|w| w.id.0 == id);
            if let Some(worker) = listed {
                worker.state = liveness;
            }
        });
    }

    /// Reads a row regardless of faults; an absent row has the version zero.
    pub fn row(&self, key: &str) -> Row {
        self.state.lock().read(key)
    }

    /// Reads the rows whose keys begin with `prefix`, regardless of faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state.lock().scan(prefix)
    }

    /// Writes a row regardless of faults; returns its new version.
    pub fn put(&self, key: &str, value: Value) -> Version {
        let mut state = self.state.lock();
        let version = Version(state.read(key).version.0 + 1);
        let row = Row {
            key: key.to_owned(),
            version,
            op: "stand-in".to_owned(),
            value,
        };
        state.rows.insert(key.to_owned(), row);
        version
    }

    async fn handle(&self, caller: IpAddr, req: Request<Incoming>) -> HttpResponse {
        let path = req.uri().path().to_owned();
        if path == "/faults" || path == "/stats" {
            return self.handle_control(&path, req).await;
        }
        let faults = self.faults();
        if faults.frozen || faults.cut.contains(&caller) {
            pending::<()>().await;
        }
        if faults.down {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        sleep(Duration::from_millis(faults.delay_ms)).await;
        let method = req.method().clone();
        let expected_tag = req.headers().get(IF_NONE_MATCH).cloned();
        let Ok(body) = read_whole(req.into_body(), MAX_BODY_BYTES).await else {
            return problem(
                StatusCode::BAD_REQUEST,
                "the request body could not be read",
            );
        };
        let response = self.serve(&method, &path, &body);
        if expected_tag.is_some() && response.headers().get(ETAG) == expected_tag.as_ref() {
            let mut unchanged = text(StatusCode::NOT_MODIFIED, "");
            unchanged
                .headers_mut()
                .extend(expected_tag.map(|tag| (ETAG, tag)));
            return unchanged;
        }
        let is_committed = path == "/table/commit" && response.status() == StatusCode::OK;
        if is_committed && rand::rng().random_range(0..100) < faults.lose_replies_percent {
            pending::<()>().await;
        }
        response
    }

    /// Handles the calls that read or set the faults or read the counts.
    async fn handle_control(&self, path: &str, req: Request<Incoming>) -> HttpResponse {
        if path == "/stats" {
            return json(StatusCode::OK, &self.stats());
        }
        if req.method() == Method::GET {
            return json(StatusCode::OK, &self.faults());
        }
        let body = read_whole(req.into_body(), MAX_BODY_BYTES).await;
        match body.ok().map(|body| serde_json::from_slice(&body)) {
            Some(Ok(faults)) => {
                self.set_faults(faults);
                json(StatusCode::OK, &self.faults())
            }
            Some(Err(e)) => problem(StatusCode::UNPROCESSABLE_ENTITY, &e.to_string()),
            None => problem(
                StatusCode::BAD_REQUEST,
                "the request body could not be read",
            ),
        }
    }

    fn serve(&self, method: &Method, path: &str, body: &[u8]) -> HttpResponse {
        let mut state = self.state.lock();
        if path == "/table/commit" {
            return match serde_json::from_slice::<Commit>(body) {
                Ok(commit) => state.commit(commit),
                Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
            };
        }
        if path == "/instances" {
            return match (method, serde_json::from_slice(body)) {
                (&Method::GET, _) => {
                    let list = state.lagging_list();
                    let response = json(StatusCode::OK, &list);
                    let list_text = json!(list).to_string();
                    with_etag(response, hash(&list_text))
                }
                (_, Ok(list)) => {
                    let old = std::mem::replace(&mut state.list, list);
                    state.older_lists.push((Instant::now(), old));
                    json(StatusCode::OK, &json!({}))
                }
                (_, Err(e)) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
            };
        }
        if let Some(key) = path.strip_prefix("/table/row/") {
            state.stats.reads += 1;
            let row = state.read(key);
            return with_etag(json(StatusCode::OK, &row), row.version.0);
        }
        if let Some(prefix) = path.strip_prefix("/table/rows/") {
            state.stats.reads += 1;
            return json(StatusCode::OK, &state.scan(prefix));
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return state.object(method, name, body);
        }
        problem(StatusCode::NOT_FOUND, "the platform has no such path")
    }
}

fn with_etag(mut response: HttpResponse, tag: u64) -> HttpResponse {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{tag}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    fn read(&self, key: &str) -> Row {
        let absent = || Row {
            key: key.to_owned(),
            ..Row::default()
        };
        self.rows.get(key).cloned().unwrap_or_else(absent)
    }

    fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows_from_prefix = self.rows.range(prefix.to_owned()..);
        let matching = rows_from_prefix.take_while(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, row)| row.clone()).collect()
    }

    fn commit(&mut self, commit: Commit) -> HttpResponse {
        let checks = commit.checks.iter().map(|c| (&c.key, c.version));
        let writes = commit.writes.iter().map(|w| (&w.key, w.version));
        let has_changed = |(key, version): &(&String, Version)| self.read(key).version != *version;
        let mut conflicts: Vec<String> = checks
            .chain(writes)
            .filter(has_changed)
            .map(|(key, _)| key.clone())
            .collect();
        conflicts.dedup();
        let distinct_keys: HashSet<&String> = commit.writes.iter().map(|w| &w.key).collect();
        if distinct_keys.len() != commit.writes.len() {
            return problem(
                StatusCode::BAD_REQUEST,
                "the transaction writes a row more than once",
            );
        }
        if !conflicts.is_empty() {
            self.stats.conflicts += 1;
            return json(StatusCode::CONFLICT, &Conflicts { conflicts });
        }
        self.stats.commits += 1;
        for write in commit.writes {
            let row = Row {
                key: write.key.clone(),
                version: Version(write.version.0 + 1),
                op: commit.op.clone(),
                value: write.value,
            };
            self.stats.rows_written += 1;
            self.stats.bytes_written += row.value.to_string().len() as u64;
            self.rows.insert(write.key, row);
        }
        json(StatusCode::OK, &json!({}))
    }

    fn object(&mut self, method: &Method, name: &str, body: &[u8]) -> HttpResponse {
        if method == Method::GET {
            return match self.objects.get(name) {
                Some(value) => json(StatusCode::OK, value),
                None => problem(StatusCode::NOT_FOUND, "there is no object with this name"),
            };
        }
        match serde_json::from_slice(body) {
            Ok(value) => {
                self.objects.insert(name.to_owned(), value);
                json(StatusCode::OK, &json!({}))
            }
            Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    /// Returns the instance list as it was [`Faults::list_lag_ms`] ago.
    fn lagging_list(&mut self) -> InstanceList {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let now = Instant::now();
        self.older_lists
            .retain(|(replaced, _)| now.duration_since(*replaced) < lag);
        let oldest = self.older_lists.first();
        oldest.map_or_else(|| self.list.clone(), |(_, list)| list.clone())
    }
}
