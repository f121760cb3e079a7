//! The stand-in for the store of rows: linearizable transactions, ranges and feeds, with injected
//! faults.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    marigoldbend_http::body::{HttpResponse, read_whole},
    marigoldbend_platform::rows::{Page, Row, RowKey, Tx, TxOutcome},
    marigoldbend_wire::stand_in::{self as wire, StoreCall},
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        convert::Infallible,
        future::pending,
        io,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// The maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The maximum number of rows in a reply.
const MAX_PAGE_ROWS: usize = 500;

/// The injected faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every call is refused with status 503.
    pub down: bool,
    /// The delay of every call before it takes effect.
    pub delay: Duration,
    /// The reply to every transaction whose number is a multiple of this is lost, after the
    /// transaction was carried out; zero to lose none.
    pub lose_reply_every: u64,
    /// Every transaction is refused with status 429; reads are served.
    pub refuse_writes: bool,
}

/// How all calls fail at once, those that wait for changes included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Every call is refused with status 503.
    Busy,
    /// Every connection is reset.
    Reset,
    /// No call is answered, also after the outage.
    Silent,
}

/// An address of the store, whose outages concern nobody who uses another one.
#[derive(Clone)]
pub struct Endpoint {
    address: SocketAddr,
    outage: watch::Sender<Option<Outage>>,
}

impl Endpoint {
    async fn bind() -> io::Result<(TcpListener, Self)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            address: listener.local_addr()?,
            outage: watch::Sender::default(),
        };
        Ok((listener, endpoint))
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts an outage, or ends it with `None`.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.outage.send_replace(outage);
    }
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Row>,
    /// All changes of each table, in the order of their versions.
    changes: HashMap<String, Vec<Row>>,
    version: u64,
    tx_count: u64,
    faults: Faults,
}

/// A running stand-in for the store.
#[derive(Clone)]
pub struct RowStore {
    state: Arc<Mutex<State>>,
    /// The newest version, for the feeds that wait for a change.
    newest: watch::Sender<u64>,
    tx_time: Duration,
    address: SocketAddr,
}

impl RowStore {
    /// Starts the store on the current runtime, at a free port of the loopback address; each
    /// transaction takes `tx_time`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(tx_time: Duration) -> io::Result<Self> {
        let (listener, endpoint) = Endpoint::bind().await?;
        let store = Self {
            state: Arc::default(),
            newest: watch::Sender::new(0),
            tx_time,
            address: endpoint.address,
        };
        tokio::spawn(store.clone().accept_connections(listener, endpoint));
        Ok(store)
    }

    /// Opens one more address of the store, at a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn open_endpoint(&self) -> io::Result<Endpoint> {
        let (listener, endpoint) = Endpoint::bind().await?;
        tokio::spawn(self.clone().accept_connections(listener, endpoint.clone()));
        Ok(endpoint)
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults of the store.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Writes a row regardless of faults; returns its new version.
    pub fn put(&self, name: RowKey, value: Vec<u8>) -> u64 {
        self.apply(Tx {
            puts: vec![(name, value)],
            ..Tx::default()
        })
    }

    /// Deletes a row regardless of faults; returns the version of its deletion.
    pub fn delete(&self, name: RowKey) -> u64 {
        self.apply(Tx {
            deletes: vec![name],
            ..Tx::default()
        })
    }

    fn apply(&self, tx: Tx) -> u64 {
        let mut state = self.state.lock();
        state.apply(tx);
        self.newest.send_replace(state.version);
        state.version
    }

    /// Reads a row regardless of faults; `None` if it does not exist.
    pub fn row(&self, name: &RowKey) -> Option<Row> {
        self.state.lock().rows.get(&map_key(name)).cloned()
    }

    async fn accept_connections(self, listener: TcpListener, endpoint: Endpoint) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                // Without this option, small responses wait for the acknowledgement of earlier ones.
                let _ = stream.set_nodelay(true);
                tokio::spawn(self.clone().serve_connection(stream, endpoint.clone()));
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, endpoint: Endpoint) {
        // A connection that is dropped is reset then. An error could only mean that it has ended.
        let _ = stream.set_zero_linger();
        let is_reset = |outage: &Option<Outage>| *outage == Some(Outage::Reset);
        let mut outage = endpoint.outage.subscribe();
        let service = service_fn(|req| {
            let (store, outage) = (self.clone(), endpoint.outage.subscribe());
            async move { Ok::<_, Infallible>(store.handle_unless_out(req, outage).await) }
        });
        let builder = auto::Builder::new(TokioExecutor::new());
        tokio::select! {
            _ = outage.wait_for(is_reset) => {}
            // The error is ignored because the client sees its connection end.
            _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        }
    }

    /// Handles a call; an outage ends it, unless it has taken effect.
    async fn handle_unless_out(
        &self,
        req: Request<Incoming>,
        mut outage: watch::Receiver<Option<Outage>>,
    ) -> HttpResponse {
        let outage = async {
            let started = outage.wait_for(Option::is_some).await;
            started.ok().and_then(|outage| *outage)
        };
        tokio::select! {
            biased;
            outage = outage => match outage {
                Some(Outage::Busy) => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                _ => pending().await,
            },
            response = self.handle(req) => response,
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        let faults = self.state.lock().faults;
        if faults.down {
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        sleep(faults.delay).await;
        let uri = req.uri().clone();
        let body = read_whole(req.into_body(), MAX_BODY_BYTES).await;
        let call = body.ok().and_then(|b| wire::read_store_call(&uri, &b));
        match call {
            Some(StoreCall::Tx(tx)) => self.handle_tx(tx, faults).await,
            Some(StoreCall::Range {
                table,
                part,
                from,
                to,
                limit,
            }) => {
                let limit = limit.map_or(MAX_PAGE_ROWS, |limit| limit.min(MAX_PAGE_ROWS));
                let page = self.state.lock().range(table, part, from, &to, limit);
                respond(StatusCode::OK, wire::write_page(&page))
            }
            Some(StoreCall::Feed { table, after, wait }) => {
                let page = self.wait_for_changes(&table, after, wait).await;
                respond(StatusCode::OK, wire::write_page(&page))
            }
            None => respond(StatusCode::BAD_REQUEST, Bytes::new()),
        }
    }

    async fn handle_tx(&self, tx: Tx, faults: Faults) -> HttpResponse {
        if faults.refuse_writes {
            return respond(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
        }
        sleep(self.tx_time).await;
        let (outcome, number) = {
            let mut state = self.state.lock();
            state.tx_count += 1;
            let outcome = state.transact(tx);
            self.newest.send_replace(state.version);
            (outcome, state.tx_count)
        };
        if faults.lose_reply_every > 0 && number % faults.lose_reply_every == 0 {
            pending::<()>().await;
        }
        match outcome {
            TxOutcome::Applied(version) => respond(StatusCode::OK, wire::write_applied(version)),
            TxOutcome::Conflict(rows) => {
                let page = Page {
                    rows,
                    ..Page::default()
                };
                respond(StatusCode::PRECONDITION_FAILED, wire::write_page(&page))
            }
        }
    }

    async fn wait_for_changes(&self, table: &str, after: u64, wait: Duration) -> Page {
        let mut newest = self.newest.subscribe();
        let changed = async {
            loop {
                newest.borrow_and_update();
                let page = self.state.lock().changes_after(table, after);
                // The sender lives as long as this store, so that waiting does not fail.
                if !page.rows.is_empty() || newest.changed().await.is_err() {
                    return page;
                }
            }
        };
        let page = timeout(wait, changed).await;
        page.unwrap_or_else(|_| self.state.lock().changes_after(table, after))
    }
}

impl State {
    /// Carries out a transaction if all rows have the expected versions.
    fn transact(&mut self, tx: Tx) -> TxOutcome {
        let version_of = |name| self.rows.get(&map_key(name)).map_or(0, |row| row.version);
        if tx.expect.iter().any(|(name, v)| version_of(name) != *v) {
            let expected = tx.expect.iter().map(|(name, _)| map_key(name));
            let rows = expected.filter_map(|key| self.rows.get(&key).cloned());
            return TxOutcome::Conflict(rows.collect());
        }
        self.apply(tx);
        TxOutcome::Applied(self.version)
    }

    fn apply(&mut self, tx: Tx) {
        self.version += 1;
        let puts = tx.puts.into_iter().map(|(name, value)| (name, Some(value)));
        for (name, value) in puts.chain(tx.deletes.into_iter().map(|name| (name, None))) {
            let key = map_key(&name);
            let deleted = value.is_none();
            let row = Row {
                name,
                value: value.unwrap_or_default(),
                version: self.version,
                deleted,
            };
            let changes = self.changes.entry(row.name.table.clone()).or_default();
            changes.push(row.clone());
            if deleted {
                self.rows.remove(&key);
            } else {
                self.rows.insert(key, row);
            }
        }
    }

    fn range(&self, table: String, part: String, from: String, to: &str, limit: usize) -> Page {
        let rows = self.rows.range((table.clone(), part.clone(), from)..);
        let mut page = Page {
            version: self.version,
            ..Page::default()
        };
        for ((row_table, row_part, key), row) in rows {
            if *row_table != table || *row_part != part || (!to.is_empty() && key.as_str() >= to) {
                break;
            }
            if page.rows.len() == limit {
                page.more = true;
                break;
            }
            page.rows.push(row.clone());
        }
        page
    }

    /// Returns the changes of a table after a version. A page never ends within a transaction,
    /// since its version is where the next read continues.
    fn changes_after(&self, table: &str, after: u64) -> Page {
        let all = self.changes.get(table).map_or(&[][..], Vec::as_slice);
        let unread = &all[all.partition_point(|row| row.version <= after)..];
        let last = unread.get(MAX_PAGE_ROWS - 1).map(|row| row.version);
        let end = last.map_or(unread.len(), |last| {
            unread.partition_point(|row| row.version <= last)
        });
        Page {
            rows: unread[..end].to_vec(),
            more: end < unread.len(),
            version: if end < unread.len() {
                unread[end - 1].version
            } else {
                self.version
            },
        }
    }
}

fn map_key(name: &RowKey) -> (String, String, String) {
    (name.table.clone(), name.part.clone(), name.key.clone())
}

pub(crate) fn respond(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
