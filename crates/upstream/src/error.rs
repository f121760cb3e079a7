//! Errors of an exchange with an upstream.

use snafu::Snafu;

/// A result of an exchange.
pub type Result<T, E = ExchangeError> = std::result::Result<T, E>;

/// Why an exchange ended without a complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{kind}"))]
pub struct ExchangeError {
    pub(crate) kind: Kind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum Kind {
    #[snafu(display("no connection to the upstream could be made"))]
    NoConnection,
    #[snafu(display("too many connections to the upstream"))]
    TooManyConnections,
    #[snafu(display("the ownership of the worker is no longer confirmed"))]
    Unconfirmed,
    #[snafu(display("the upstream closed the connection before the request"))]
    ClosedBeforeRequest,
    #[snafu(display("the upstream sent no first byte in time"))]
    NoFirstByte,
    #[snafu(display("no complete response before the deadline"))]
    DeadlineExceeded,
    #[snafu(display("the connection failed before the response was complete"))]
    Truncated,
    #[snafu(display("the response body is longer than the limit"))]
    TooLong,
}

impl ExchangeError {
    /// Returns whether no byte of the request was sent, so that the upstream has certainly not run
    /// it.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.kind,
            Kind::NoConnection
                | Kind::TooManyConnections
                | Kind::Unconfirmed
                | Kind::ClosedBeforeRequest
        )
    }

    /// Returns whether the failure counts against the worker.
    ///
    /// It does not if the cause is on this instance's side: its limit on connections, or ownership
    /// of the worker that is no longer confirmed.
    pub fn counts_against_worker(&self) -> bool {
        !matches!(self.kind, Kind::TooManyConnections | Kind::Unconfirmed)
    }

    /// Returns whether the upstream sent no byte of the response in time.
    pub fn is_unresponsive(&self) -> bool {
        self.kind == Kind::NoFirstByte
    }
}

impl From<Kind> for ExchangeError {
    fn from(kind: Kind) -> Self {
        Self { kind }
    }
}
