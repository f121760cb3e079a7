//! When a run that shows no progress counts as stuck.
//!
//! Workers report progress in whole percent, so a run of 300 s shows none for 3 s at a time. A run is
//! stuck if its pause is much longer than one percent of it can take. How long a percent takes is
//! known from the best of these:
//!
//! 1. the run's own pace so far;
//! 2. the paces of the other runs of its step;
//! 3. the run times of ended tasks of the same shape, if there are enough;
//! 4. the caller's estimate, which may be off by [`ESTIMATE_ERROR`].
//!
//! All of them may mislead. So each stop of a task as stuck doubles the pause that its next run may
//! make, and a task of any length ends at last.

use std::time::{Duration, Instant};

/// The pause that any run may make: the time between two reports, and 1.5 s for a host that is paused.
pub const MIN_PAUSE: Duration = Duration::from_millis(2_500);

/// The time between two reports of a worker, by which progress may be noticed late.
const REPORT_GAP: Duration = Duration::from_secs(1);

/// The longest pause of a task that has not been stopped as stuck; longer ones have to be shown by the
/// run itself.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The factor by which a task may take longer than its caller's estimate.
pub const ESTIMATE_ERROR: f64 = 10.0;

/// The factor by which a task may take longer than most of the same shape.
const SPREAD: f64 = 8.0;

/// The factor by which a run may become slower than it was.
const SLOWDOWN: f64 = 4.0;

/// The margin on the time of one percent, which is not the same for each percent of a run.
const MARGIN: f64 = 1.15;

/// The change of the progress, in percent, from which on its pace is an estimate of the run time.
const MIN_CHANGE: f64 = 5.0;

/// The number of stops after which the allowed pause of a task grows no further.
const MAX_DOUBLINGS: u32 = 10;

/// The progress that a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// The first percentage that was reported and when; `None` before.
    first: Option<(f64, Instant)>,
    /// The last percentage that was reported first at the given time.
    last: Option<(f64, Instant)>,
    /// Whether the percentage has ever fallen, so that it says nothing of the pace.
    has_fallen: bool,
}

impl Pace {
    /// Records a percentage that differs from the last one, which was reported at `now`.
    pub fn record(&mut self, percent: f64, now: Instant) {
        self.has_fallen |= self.last.is_some_and(|(last, _)| percent < last);
        self.first.get_or_insert((percent, now));
        self.last = Some((percent, now));
    }

    /// Returns the first and the last percentage and the time between them; `None` if it has fallen.
    fn change(&self) -> Option<(f64, f64, Duration)> {
        let ((first, since), (last, until)) = (self.first?, self.last?);
        let elapsed = until.saturating_duration_since(since);
        (!self.has_fallen).then_some((first, last, elapsed))
    }

    /// Returns the time that a percent has probably taken on average; `None` if its percent has
    /// changed too little.
    pub fn mean_percent_time(&self) -> Option<Duration> {
        let (first, last, elapsed) = self.change()?;
        (last - first >= MIN_CHANGE).then(|| elapsed.div_f64(last - first))
    }

    /// Returns the longest time that a percent has taken on average; `None` if the run has shown less
    /// than two changes, or fell back.
    ///
    /// Of two changes only one whole percent lies between for certain: a run that resumes may have
    /// begun just before the first.
    pub fn percent_time(&self) -> Option<Duration> {
        let (first, last, elapsed) = self.change()?;
        let whole = last - first - 1.0;
        (whole >= 1.0).then(|| elapsed.div_f64(whole))
    }
}

/// What the allowed pause of a run follows from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// The run's own pace.
    Own,
    /// The paces of the other runs of its step.
    Siblings,
    /// The run times of ended tasks of the same shape.
    Ended,
    /// The caller's estimate.
    Estimate,
}

impl Basis {
    /// Returns the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Siblings => "siblings",
            Self::Ended => "ended",
            Self::Estimate => "estimate",
        }
    }
}

/// What is known of how long one percent of a run takes.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// The time of a percent by the run's own pace; `None` if it is unknown.
    pub own: Option<Duration>,
    /// The same for most other runs of the step; `None` if too few have shown it.
    pub siblings: Option<Duration>,
    /// A run time that almost no ended task of the same shape has exceeded; `None` if too few have
    /// ended.
    pub ended: Option<Duration>,
    /// The caller's estimate of the run time.
    pub estimate: Duration,
    /// The speed at which the run may work, where one is full speed; from its throttle and its
    /// worker.
    pub speed: f64,
    /// How often the task was stopped as stuck.
    pub stops: u32,
}

impl Knowledge {
    /// Returns the time that one percent of the run takes if all goes well, and what it follows from.
    fn percent_time(&self) -> (Duration, f64, Basis) {
        let speed = self.speed.clamp(0.05, 1.0);
        if let Some(own) = self.own {
            return (own, SLOWDOWN, Basis::Own);
        }
        let (time, factor, basis) = match (self.siblings, self.ended) {
            (Some(siblings), _) => (siblings, SPREAD, Basis::Siblings),
            (None, Some(ended)) => (ended / 100, 2.0, Basis::Ended),
            (None, None) => (self.estimate / 100, ESTIMATE_ERROR, Basis::Estimate),
        };
        (time.div_f64(speed), factor, basis)
    }

    /// Returns the pause after which the run is stuck, and what it follows from.
    pub fn max_pause(&self) -> (Duration, Basis) {
        let (time, factor, basis) = self.percent_time();
        // By the factors of the other bases, pauses that are longer than the least have room for it.
        let report_gap = match basis {
            Basis::Own | Basis::Siblings => Duration::ZERO,
            Basis::Ended | Basis::Estimate => REPORT_GAP,
        };
        let pause = time.mul_f64(factor * MARGIN).min(MAX_PAUSE) + report_gap;
        // A run whose own pace is slower than the limit is certainly not stuck before.
        let own = self.own.unwrap_or_default().mul_f64(SLOWDOWN * MARGIN);
        let doublings = 1 << self.stops.min(MAX_DOUBLINGS);
        (
            pause.max(own).max(MIN_PAUSE).saturating_mul(doublings),
            basis,
        )
    }

    /// Returns the pause after which the run stands still if other evidence points to its worker.
    pub fn usual_pause(&self) -> Duration {
        let (time, _, _) = self.percent_time();
        time.mul_f64(2.0 * MARGIN).clamp(MIN_PAUSE / 2, MAX_PAUSE)
    }
}
