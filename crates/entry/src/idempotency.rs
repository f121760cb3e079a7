//! Non-idempotent requests with an `Idempotency-Key`.
//!
//! The key is recorded in the platform's table before the request is sent, so that a repeat
//! through any instance finds it. A repeat receives the recorded answer, or learns that the
//! outcome is unknown; it never runs the request again. A request that was refused frees its
//! key.

use {
    crate::{
        convert,
        router::{RequestOutcome, Router},
    },
    bytes::Bytes,
    hyper::Response,
    marigoldbend::{
        caller::request::ServiceRequest,
        core::ids::Version,
        peer::call,
        platform::{
            group::{GroupWriter, WriteOutcome},
            table::Table,
            wire::{Row, Write},
        },
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// The longest answer that is recorded, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;

/// How long an answer waits for its record.
const RECORD_LIMIT: Duration = Duration::from_millis(500);

/// The time between two tries to free a key whose record is unclear.
const FREE_INTERVAL: Duration = Duration::from_secs(2);

/// The most tries to free a key.
const FREE_TRIES: u32 = 15;

/// What is recorded of a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// The request was or is being sent.
    Started,
    /// The request was refused: the key may be used again.
    Free,
    /// The upstream has answered.
    Done(Option<call::UpstreamResponse>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Record {
    /// Tells another request under the same key from a repeat.
    fingerprint: u64,
    /// The request that used the key last.
    request_id: String,
    state: State,
}

/// Runs requests that have a key.
pub struct IdempotencyRouter {
    table: Table,
    writer: GroupWriter,
    router: Arc<Router>,
}

impl IdempotencyRouter {
    /// Creates the part that records keys through `writer`.
    pub fn new(table: Table, writer: GroupWriter, router: Arc<Router>) -> Self {
        Self {
            table,
            writer,
            router,
        }
    }

    /// Runs a request unless its key says that it may have been run.
    pub async fn route(&self, id: &str, req: &ServiceRequest, key: &str) -> RequestOutcome {
        let row_key = row_key(&req.service, key);
        let row = match self.table.read(&row_key).await {
            Ok(row) => row,
            Err(e) => return RequestOutcome::NotRun(format!("the key can't be looked up: {e}")),
        };
        let record = Record {
            fingerprint: fingerprint(req),
            request_id: id.to_owned(),
            state: State::Started,
        };
        if let Some(outcome) = earlier(&row, &record) {
            return outcome;
        }
        let claim = write(&row_key, row.version, &record);
        let started = Version(row.version.0 + 1);
        match self.writer.write(claim).await {
            WriteOutcome::Applied => {}
            WriteOutcome::Conflict => return self.lost_race(&row_key, &record).await,
            WriteOutcome::Refused => {
                return RequestOutcome::NotRun("the key can't be recorded".to_owned());
            }
            WriteOutcome::Unknown => {
                self.free_later(row_key, record);
                return RequestOutcome::NotRun(
                    "it is unclear whether the key was recorded".to_owned(),
                );
            }
        }
        let outcome = self.router.route(id, req).await;
        self.record_outcome(&row_key, started, record, &outcome)
            .await;
        outcome
    }

    async fn lost_race(&self, row_key: &str, record: &Record) -> RequestOutcome {
        let in_progress =
            || RequestOutcome::Unknown("another request with this key is under way".into());
        match self.table.read(row_key).await {
            Ok(row) => earlier(&row, record).unwrap_or_else(in_progress),
            Err(_) => in_progress(),
        }
    }

    async fn record_outcome(
        &self,
        row_key: &str,
        version: Version,
        mut record: Record,
        outcome: &RequestOutcome,
    ) {
        record.state = match outcome {
            RequestOutcome::Answered(response) => State::Done(recorded(response)),
            RequestOutcome::NotRun(_) | RequestOutcome::Overloaded(_) => State::Free,
            RequestOutcome::Unknown(_) | RequestOutcome::DeadlineExceeded(_) => return,
        };
        let write = write(row_key, version, &record);
        let recorded = timeout(RECORD_LIMIT, self.writer.write(write)).await;
        if recorded != Ok(WriteOutcome::Applied) {
            log::warn!(
                "key: request={} its outcome is not recorded.",
                record.request_id
            );
        }
    }

    /// Frees a key that may have been recorded for a request which was not run.
    fn free_later(&self, row_key: String, mut record: Record) {
        let table = self.table.clone();
        let writer = self.writer.clone();
        let started = json!(record);
        record.state = State::Free;
        tokio::spawn(async move {
            for _ in 0..FREE_TRIES {
                sleep(FREE_INTERVAL).await;
                let Ok(row) = table.read(&row_key).await else {
                    continue;
                };
                if row.value != started {
                    // Another request uses the key, or the record has not taken effect.
                    continue;
                }
                if writer.write(write(&row_key, row.version, &record)).await
                    == WriteOutcome::Applied
                {
                    return;
                }
            }
        });
    }
}

/// Returns the outcome that an earlier request under the key dictates, if there is one.
fn earlier(row: &Row, record: &Record) -> Option<RequestOutcome> {
    if row.version == Version(0) {
        return None;
    }
    let unknown = |reason: &str| Some(RequestOutcome::Unknown(reason.to_owned()));
    let Ok(known) = serde_json::from_value::<Record>(row.value.clone()) else {
        return unknown("the key's record can't be read");
    };
    if known.fingerprint != record.fingerprint && known.state != State::Free {
        let reason = "the key was used for another request".to_owned();
        return Some(RequestOutcome::NotRun(reason));
    }
    match known.state {
        State::Free => None,
        State::Started => unknown("an earlier request with this key may have been run"),
        State::Done(answer) => match answer.and_then(convert::from_peer_response) {
            Some(response) => Some(RequestOutcome::Answered(response)),
            None => unknown("an earlier request with this key was run; its answer is not kept"),
        },
    }
}

fn write(row_key: &str, version: Version, record: &Record) -> Write {
    Write {
        key: row_key.to_owned(),
        version,
        value: json!(record),
    }
}

fn recorded(response: &Response<Bytes>) -> Option<call::UpstreamResponse> {
    if response.body().len() > ANSWER_LIMIT {
        return None;
    }
    let mut copy = Response::new(response.body().clone());
    *copy.status_mut() = response.status();
    *copy.headers_mut() = response.headers().clone();
    Some(convert::to_peer_response(copy))
}

fn fingerprint(req: &ServiceRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    req.method.as_str().hash(&mut hasher);
    req.target.hash(&mut hasher);
    req.body.hash(&mut hasher);
    hasher.finish()
}

fn row_key(service: &str, key: &str) -> String {
    let hex: String = key.bytes().map(|b| format!("{b:02x}")).collect();
    format!("idempotency/{service}/{hex}")
}
