//! A deputy's call to a worker, which renews leases in place of a silent leader.

use {
    marigoldbend_core::sched::{deputy::RenewalCall, worker::CommandReply},
    marigoldbend_http::connection::{Connection, ConnectionError, ConnectionPool, TimeLimits},
    marigoldbend_wire::workers,
    std::time::Duration,
};

/// The time limit of a call to a worker, which answers at once.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// A worker's answer to a deputy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalResult {
    /// The start of the worker's incarnation and its clock, both in milliseconds.
    Answered(u64, u64),
    /// The worker has seen a higher token, or has restarted.
    Refused,
    /// There was no usable answer.
    Silent,
}

/// Makes a call. Leases are renewed only on a connection on which the incarnation has answered that the call
/// is for: at another one, the lease end would be on a clock of its own.
pub async fn renew(pool: &ConnectionPool, call: &RenewalCall) -> RenewalResult {
    let mut connection = pool.take();
    let result = renew_on(&mut connection, call).await;
    pool.put_back(connection, result.is_err());
    result.unwrap_or(RenewalResult::Silent)
}

async fn renew_on(
    connection: &mut Connection,
    call: &RenewalCall,
) -> Result<RenewalResult, ConnectionError> {
    if connection.label() != Some(call.started_ms) {
        connection.close();
        let result = request_report(connection, call, None).await?;
        let is_expected =
            matches!(result, RenewalResult::Answered(started, _) if started == call.started_ms);
        if !is_expected || call.until_ms.is_none() {
            return Ok(result);
        }
    }
    request_report(connection, call, call.until_ms).await
}

/// Requests a report, on the open connection only if it renews leases until `until_ms`. Nothing is
/// acknowledged.
async fn request_report(
    connection: &mut Connection,
    call: &RenewalCall,
    until_ms: Option<u64>,
) -> Result<RenewalResult, ConnectionError> {
    let out = workers::request_report(&call.worker, call.token, 0, until_ms, 0);
    let limits = TimeLimits::total(RENEWAL_TIMEOUT);
    let reply = if until_ms.is_some() {
        connection.exchange_open(out, limits).await?
    } else {
        connection.exchange(out, limits).await?
    };
    if !reply.status.is_success() {
        return Ok(match workers::read_reply(reply.status, &reply.body).0 {
            CommandReply::Fenced | CommandReply::Reborn => RenewalResult::Refused,
            _ => RenewalResult::Silent,
        });
    }
    let Ok(report) = workers::read_report(&reply.body) else {
        return Ok(RenewalResult::Silent);
    };
    connection.set_label(report.started_ms);
    Ok(RenewalResult::Answered(report.started_ms, report.clock_ms))
}
