//! How long the parts of a takeover take, for the log and the metrics.

use {
    crate::metrics::Metrics,
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// A part of a takeover. A worker may report before the rows are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The lease row is written.
    Lease,
    /// The stored rows are read.
    Rows,
    /// A worker has reported to this leader.
    FirstReport,
    /// The work of earlier leaders is dispatched: no worker may have unknown runs any more.
    Dispatch,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 4] = [Self::Lease, Self::Rows, Self::FirstReport, Self::Dispatch];

    /// Returns the value of the metric label `part`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Rows => "rows",
            Self::FirstReport => "first_report",
            Self::Dispatch => "dispatch",
        }
    }
}

/// The time from the start of a takeover to the end of each part.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverTimes {
    started_at: Instant,
    parts: [Option<Duration>; Part::ALL.len()],
}

impl TakeoverTimes {
    /// Creates the times of a takeover that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            parts: Default::default(),
        }
    }

    /// Records that a part has ended at `now`; only the first call for a part has an effect.
    /// Returns whether all parts have ended with this call.
    pub fn record(&mut self, part: Part, now: Instant, metrics: &Metrics) -> bool {
        let time = &mut self.parts[part as usize];
        if time.is_some() {
            return false;
        }
        let duration = now.saturating_duration_since(self.started_at);
        *time = Some(duration);
        metrics
            .takeover
            .with_label_values(&[part.name()])
            .observe(duration.as_secs_f64());
        self.parts.iter().all(Option::is_some)
    }
}

/// The times in milliseconds, such as `lease_ms=12 rows_ms=900`; `-` for a part that has not ended.
impl fmt::Display for TakeoverTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (part, time) in Part::ALL.iter().zip(self.parts) {
            let separator = if *part == Part::Lease { "" } else { " " };
            match time {
                Some(time) => write!(f, "{separator}{}_ms={}", part.name(), time.as_millis())?,
                None => write!(f, "{separator}{}_ms=-", part.name())?,
            }
        }
        Ok(())
    }
}
