//! Non-idempotent requests with an `Idempotency-Key` header.
//!
//! The key is recorded in the platform's table before the request is sent, so that each instance
//! recognises a repeat: the same request with the same key. A repeat receives the recorded
//! response, or the outcome "unknown" if none is recorded; it is never run again. A request that
//! was certainly not run frees its key.

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

/// The longest response body that is recorded, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 64 << 10;

/// The maximum time for which a response is delayed until it is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval between two tries to free a key whose recording has an unknown outcome.
const FREE_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of tries to free a key.
const MAX_FREE_TRIES: u32 = 15;

/// The recorded state of a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    /// The request was sent, or is about to be sent.
    Started,
    /// The request was certainly not run; the key may be used again.
    Free,
    /// The upstream sent this response; `None` if it was too long to be recorded.
    Done(Option<call::UpstreamResponse>),
}

/// The row of a key in the platform's table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Record {
    /// A hash of the request, which distinguishes a repeat from a different request with the same
    /// key.
    fingerprint: u64,
    /// The id of the request that used the key last.
    request_id: String,
    state: State,
}

/// Routes requests that have an idempotency key.
pub struct IdempotencyRouter {
    table: Table,
    writer: GroupWriter,
    router: Arc<Router>,
}

impl IdempotencyRouter {
    /// Creates a router that reads keys from `table` and records them through `writer`.
    pub fn new(table: Table, writer: GroupWriter, router: Arc<Router>) -> Self {
        Self {
            table,
            writer,
            router,
        }
    }

    /// Routes a request, unless the record of its key shows that the request may have been run
    /// already.
    pub async fn route(&self, id: &str, req: &ServiceRequest, key: &str) -> RequestOutcome {
        let row_key = row_key(&req.service, key);
        let row = match self.table.read(&row_key).await {
            Ok(row) => row,
            Err(e) => return RequestOutcome::NotRun(format!("the key can't be read: {e}")),
        };
        let record = Record {
            fingerprint: fingerprint(req),
            request_id: id.to_owned(),
            state: State::Started,
        };
        if let Some(outcome) = earlier_outcome(&row, &record) {
            return outcome;
        }
        let claim = write(&row_key, row.version, &record);
        let started_version = Version(row.version.0 + 1);
        match self.writer.write(claim).await {
            WriteOutcome::Applied => {}
            WriteOutcome::Conflict => return self.outcome_after_conflict(&row_key, &record).await,
            WriteOutcome::Refused => {
                return RequestOutcome::NotRun("the idempotency key can't be recorded".to_owned());
            }
            WriteOutcome::Unknown => {
                self.free_later(row_key, record);
                return RequestOutcome::NotRun(
                    "it is unknown whether the idempotency key was recorded".to_owned(),
                );
            }
        }
        let outcome = self.router.route(id, req).await;
        self.record_outcome(&row_key, started_version, record, &outcome)
            .await;
        outcome
    }

    async fn outcome_after_conflict(&self, row_key: &str, record: &Record) -> RequestOutcome {
        let in_progress =
            || RequestOutcome::Unknown("another request with this key is in progress".into());
        match self.table.read(row_key).await {
            Ok(row) => earlier_outcome(&row, record).unwrap_or_else(in_progress),
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
            RequestOutcome::Answered(response) => State::Done(to_recorded(response)),
            RequestOutcome::NotRun(_) | RequestOutcome::Overloaded(_) => State::Free,
            RequestOutcome::Unknown(_) | RequestOutcome::DeadlineExceeded(_) => return,
        };
        let write = write(row_key, version, &record);
        let write_result = timeout(RECORD_TIMEOUT, self.writer.write(write)).await;
        if write_result != Ok(WriteOutcome::Applied) {
            log::warn!(
                "key: request={} the outcome could not be recorded; a repeat may receive the outcome unknown.",
                record.request_id
            );
        }
    }

    /// Frees a key, in the background, after it is unknown whether the key was recorded. The
    /// request was not run.
    fn free_later(&self, row_key: String, mut record: Record) {
        let table = self.table.clone();
        let writer = self.writer.clone();
        let started_record = json!(record);
        record.state = State::Free;
        tokio::spawn(async move {
            for _ in 0..MAX_FREE_TRIES {
                sleep(FREE_INTERVAL).await;
                let Ok(row) = table.read(&row_key).await else {
                    continue;
                };
                if row.value != started_record {
                    // Another request uses the key now, or the write of the record may still take
                    // effect.
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

/// Returns the outcome that the stored record in `row` gives the request of `record`; `None` if the
/// key may be used for that request.
fn earlier_outcome(row: &Row, record: &Record) -> Option<RequestOutcome> {
    if row.version == Version(0) {
        return None;
    }
    let unknown = |reason: &str| Some(RequestOutcome::Unknown(reason.to_owned()));
    let Ok(earlier) = serde_json::from_value::<Record>(row.value.clone()) else {
        return unknown("the key's record is not valid");
    };
    if earlier.fingerprint != record.fingerprint && earlier.state != State::Free {
        let reason = "the key was used for another request".to_owned();
        return Some(RequestOutcome::NotRun(reason));
    }
    match earlier.state {
        State::Free => None,
        State::Started => unknown("an earlier request with this key may have been run"),
        State::Done(response) => match response.and_then(convert::from_peer_response) {
            Some(response) => Some(RequestOutcome::Answered(response)),
            None => unknown(
                "an earlier request with this key was run, but its response was not recorded",
            ),
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

/// Copies a response for the record; `None` if its body is too long.
fn to_recorded(response: &Response<Bytes>) -> Option<call::UpstreamResponse> {
    if response.body().len() > MAX_RECORDED_BODY_BYTES {
        return None;
    }
    let mut copy = Response::new(response.body().clone());
    *copy.status_mut() = response.status();
    *copy.headers_mut() = response.headers().clone();
    Some(convert::to_peer_response(copy))
}

/// Returns a hash of a request's method, target and body.
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
