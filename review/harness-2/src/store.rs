//! The stand-in for the platform's store: rows, transactions and feeds, with the limits that the
//! pages state.

use crate::http::{Request, Response, Server};
use crate::json::{map, n, parse, s, Json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_REPLY_ROWS: usize = 500;
const MAX_REPLY_BYTES: usize = 1_000_000;
const TX_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    key: Key,
    value: String,
    ver: u64,
    deleted: bool,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    changes: HashMap<String, Vec<Row>>,
    ver: u64,
}

/// What the store refused as too large.
#[derive(Default)]
pub struct Refused {
    pub count: u64,
    pub largest_row: usize,
    pub first: Option<(Instant, String)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub refused: Arc<Mutex<Refused>>,
    start: Instant,
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(LETTERS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn decoded_len(value: &str) -> usize {
    value.len() / 4 * 3 - value.bytes().rev().take_while(|b| *b == b'=').count()
}

fn key_of(row: &Json) -> Key {
    let part = |name| row.get(name).str().to_owned();
    (part("table"), part("part"), part("key"))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(b) => {
                out.push(b);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start() -> std::io::Result<(Self, SocketAddr)> {
        let store = Self {
            state: Arc::default(),
            refused: Arc::default(),
            start: Instant::now(),
        };
        let handler = store.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, move |req| handler.handle(req))?;
        let address = server.address;
        std::mem::forget(server);
        Ok((store, address))
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.0.lock().unwrap();
        state.apply(vec![(key, Some(base64(value.text().as_bytes())))]);
        self.state.1.notify_all();
    }

    fn handle(&self, req: &Request) -> Response {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k, unescape(v)))
            .collect();
        let field = |name| query.get(name).cloned().unwrap_or_default();
        match (req.method.as_str(), path) {
            ("POST", "/v1/rows-tx") => self.tx(&req.body),
            ("GET", "/v1/rows-get") => {
                let limit = field("limit").parse().unwrap_or(MAX_REPLY_ROWS);
                self.range(
                    field("table"),
                    field("part"),
                    field("from"),
                    &field("to"),
                    limit,
                )
            }
            ("GET", "/v1/rows-feed") => {
                let after = field("after").parse().unwrap_or(0);
                let wait_ms = field("wait_ms").parse::<u64>().unwrap_or(0).min(30_000);
                self.feed(&field("table"), after, Duration::from_millis(wait_ms))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn tx(&self, body: &[u8]) -> Response {
        let Some(call) = parse(body) else {
            return (400, "{}".to_owned());
        };
        let expected = call.get("expected_rev").list();
        let puts = call.get("puts").list();
        let remove = call.get("remove").list();
        let sizes = puts.iter().map(|put| decoded_len(put.get("value").str()));
        let largest = sizes.max().unwrap_or(0);
        let entries = expected.len() + puts.len() + remove.len();
        if entries > MAX_ENTRIES || body.len() > MAX_CALL_BYTES || largest > ROW_BYTES {
            let mut refused = self.refused.lock().unwrap();
            refused.count += 1;
            refused.largest_row = refused.largest_row.max(largest);
            let what = format!(
                "entries={entries} bytes={} largest_row={largest}",
                body.len()
            );
            refused.first.get_or_insert((Instant::now(), what));
            return (400, "{}".to_owned());
        }
        let mut changes = Vec::new();
        for (row, value) in puts
            .iter()
            .map(|put| (put, Some(put.get("value").str().to_owned())))
            .chain(remove.iter().map(|row| (row, None)))
        {
            let key = key_of(row);
            if key.0 == "op" || key.0 == "servers" {
                return (403, "{}".to_owned());
            }
            changes.push((key, value));
        }
        sleep(TX_TIME);
        let mut state = self.state.0.lock().unwrap();
        let is_met = |row: &Json| {
            let ver = state.rows.get(&key_of(row)).map_or(0, |row| row.ver);
            Some(ver) == row.get("ver").u64()
        };
        if !expected.iter().all(is_met) {
            let rows = expected
                .iter()
                .filter_map(|row| state.rows.get(&key_of(row)));
            return (412, self.page(rows.cloned().collect(), false, state.ver));
        }
        state.apply(changes);
        let ver = state.ver;
        drop(state);
        self.state.1.notify_all();
        (
            200,
            map(vec![("ver", n(ver as i64)), ("now_ms", n(self.now_ms()))]).text(),
        )
    }

    fn now_ms(&self) -> i64 {
        self.start.elapsed().as_millis() as i64
    }

    fn page(&self, rows: Vec<Row>, has_more: bool, ver: u64) -> String {
        let rows = rows.into_iter().map(|row| {
            let (table, part, key) = row.key;
            map(vec![
                ("table", s(table)),
                ("part", s(part)),
                ("key", s(key)),
                ("value", s(row.value)),
                ("ver", n(row.ver as i64)),
                ("deleted", Json::Bool(row.deleted)),
            ])
        });
        map(vec![
            ("rows", Json::List(rows.collect())),
            ("has_more", Json::Bool(has_more)),
            ("ver", n(ver as i64)),
            ("now_ms", n(self.now_ms())),
        ])
        .text()
    }

    fn range(&self, table: String, part: String, from: String, to: &str, limit: usize) -> Response {
        let state = self.state.0.lock().unwrap();
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, row) in state.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2.as_str() >= to) {
                break;
            }
            bytes += row.value.len();
            if rows.len() >= limit.min(MAX_REPLY_ROWS)
                || (bytes > MAX_REPLY_BYTES && !rows.is_empty())
            {
                has_more = true;
                break;
            }
            rows.push(row.clone());
        }
        (200, self.page(rows, has_more, state.ver))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let all = state.changes.get(table).map_or(&[][..], Vec::as_slice);
            let unread = &all[all.partition_point(|row| row.ver <= after)..];
            let left = end.saturating_duration_since(Instant::now());
            if !unread.is_empty() || left.is_zero() {
                let mut bytes = 0;
                let fits = |row: &&Row| {
                    bytes += row.value.len();
                    bytes <= MAX_REPLY_BYTES
                };
                let count = unread
                    .iter()
                    .take(MAX_REPLY_ROWS)
                    .take_while(fits)
                    .count()
                    .max(1);
                // A reply never ends within a transaction.
                let last = unread.get(count - 1).map(|row| row.ver);
                let count = last.map_or(0, |last| unread.partition_point(|row| row.ver <= last));
                let is_cut = count < unread.len();
                let ver = if is_cut {
                    unread[count - 1].ver
                } else {
                    state.ver
                };
                return (200, self.page(unread[..count].to_vec(), is_cut, ver));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.ver += 1;
        for (key, value) in changes {
            let deleted = value.is_none();
            let row = Row {
                key: key.clone(),
                value: value.unwrap_or_default(),
                ver: self.ver,
                deleted,
            };
            self.changes
                .entry(key.0.clone())
                .or_default()
                .push(row.clone());
            if deleted {
                self.rows.remove(&key);
            } else {
                self.rows.insert(key, row);
            }
        }
    }
}
