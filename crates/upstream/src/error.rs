//! Why an exchange with an upstream brought no whole answer.

use snafu::Snafu;

/// A result of an exchange.
pub type Result<T, E = ExchangeError> = std::result::Result<T, E>;

/// An exchange without a whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{kind}"))]
pub struct ExchangeError {
    pub(crate) kind: Kind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum Kind {
    #[snafu(display("no connection to the upstream"))]
    NoConnection,
    #[snafu(display("too many connections to the upstream"))]
    TooManyConnections,
    #[snafu(display("the ownership was not confirmed any more"))]
    Unconfirmed,
    #[snafu(display("the upstream closed the connection before the request"))]
    ClosedBeforeRequest,
    #[snafu(display("no first byte in time"))]
    NoFirstByte,
    #[snafu(display("no whole answer before the deadline"))]
    DeadlineExceeded,
    #[snafu(display("the answer was cut short"))]
    Truncated,
    #[snafu(display("the answer is longer than the limit"))]
    TooLong,
}

impl ExchangeError {
    /// Returns whether no byte of the request was sent, so that it certainly was not run.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self.kind,
            Kind::NoConnection
                | Kind::TooManyConnections
                | Kind::Unconfirmed
                | Kind::ClosedBeforeRequest
        )
    }

    /// Returns whether the failure speaks against the worker rather than against this instance.
    pub fn counts_against_worker(&self) -> bool {
        !matches!(self.kind, Kind::TooManyConnections | Kind::Unconfirmed)
    }

    /// Returns whether the connection gave no sign of life.
    pub fn is_unresponsive(&self) -> bool {
        self.kind == Kind::NoFirstByte
    }
}

impl From<Kind> for ExchangeError {
    fn from(kind: Kind) -> Self {
        Self { kind }
    }
}
