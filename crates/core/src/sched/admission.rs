//! Refusing short jobs that would end too late to be of any use, before they are stored.
//!
//! The leader of a shard computes an [`Outlook`] for each service and sends it to the other
//! instances. [`refusal`] decides from an outlook and a job. An outlook errs on the side of shorter
//! waits, and a job is refused only if it is useless with a margin on top of that.

use {
    crate::sched::job::{JobSpec, LATE_FACTOR, Step},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// The age above which an outlook says nothing, also that of a leader that is not heard any more.
pub const MAX_OUTLOOK_AGE: Duration = Duration::from_secs(1);

/// The lower bounds of the classes of requests, in thousandths of a core. The distance of two bounds
/// is at most half of the lower one from one core on, so that the room for a class is not much more
/// than that for its largest request.
pub const REQUEST_BOUNDS: [i64; 11] = [
    0, 1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 12_000, 16_000, 24_000, 32_000,
];

/// The lower bounds of the classes of remaining work of a job, in thousandths of a core times
/// milliseconds: zero, and from one core for one second on steps of a factor of two, at first four.
/// Under overload a wait grows from seconds to minutes within a factor of two. Waits between two
/// bounds are interpolated.
pub const WORK_BOUNDS: [u64; 11] = [
    0,
    1_000_000,
    4_000_000,
    8_000_000,
    16_000_000,
    32_000_000,
    64_000_000,
    128_000_000,
    256_000_000,
    512_000_000,
    1_024_000_000,
];

/// The number of waits in [`ClassWaits`]: one for each of [`WORK_BOUNDS`], then one for jobs of less
/// urgent priorities.
pub const WORK_LEVELS: usize = WORK_BOUNDS.len() + 1;

/// The unit of the waits in [`ClassWaits`].
pub const WAIT_UNIT: Duration = Duration::from_millis(500);

/// A job is refused if its wait exceeds what it may wait at most by this factor, in percent. Demand
/// that ends soon and room that long-running work gives up shorten a wait.
const WAIT_MARGIN_PERCENT: u64 = 125;

/// The maximum of [`Refusal::retry_after`]. Bursts of demand last for seconds to tens of seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(20);

/// The expected waits of new jobs of one kind and priority.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitsByPriority {
    /// The priority.
    pub priority: u8,
    /// The work that waits and comes before all other new jobs of a less urgent priority, in cores
    /// times seconds.
    pub ahead: u32,
    /// The classes of work, as a bit for each of [`WORK_BOUNDS`], of which a job waits that can be in
    /// time. A job of another class waits for more urgent work only: how often sizes are served is
    /// balanced among accepted jobs, so one of each must be accepted.
    pub queued: u16,
    /// The waits by class of requests, the largest class first; neighbouring classes with the same
    /// waits have one entry.
    pub classes: Vec<ClassWaits>,
}

/// The expected waits for classes of requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassWaits {
    /// The index of the smallest class.
    pub smallest: u8,
    /// By work from the least: the waits in units of [`WAIT_UNIT`], rounded down. There are
    /// [`WORK_LEVELS`] values; the last ones are left out where they are equal to the one before.
    pub waits: Vec<u8>,
}

impl WaitsByPriority {
    /// Creates waits from those by class of requests, beginning with the smallest.
    pub fn new(priority: u8, ahead: u32, queued: u16, by_class: &[[u8; WORK_LEVELS]]) -> Self {
        let mut classes: Vec<ClassWaits> = Vec::new();
        for (class, levels) in by_class.iter().enumerate().rev() {
            let last = levels[WORK_LEVELS - 1];
            let len = levels.iter().rposition(|wait| *wait != last);
            let waits = &levels[..len.map_or(0, |i| i + 1) + 1];
            match classes.last_mut().filter(|c| c.waits == waits) {
                Some(same) => same.smallest = class as u8,
                None => classes.push(ClassWaits {
                    smallest: class as u8,
                    waits: waits.to_vec(),
                }),
            }
        }
        Self {
            priority,
            ahead,
            queued,
            classes,
        }
    }

    /// Returns the wait for a class of requests and an index up to [`WORK_LEVELS`].
    fn wait(&self, class: usize, level: usize) -> Duration {
        let waits = self
            .classes
            .iter()
            .find(|c| usize::from(c.smallest) <= class);
        let waits = waits.map_or(&[][..], |c| &c.waits);
        let units = waits.get(level).or(waits.last()).copied().unwrap_or(0);
        WAIT_UNIT * u32::from(units)
    }
}

/// What a service has for work of one kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forecast {
    /// The CPU that work of the kind can have at most, in cores: all that long-running tasks don't
    /// reserve, and for best-effort work what serving tasks leave unused of theirs as well.
    pub capacity: u32,
    /// The rate at which the work of finished tasks ended in the last seconds, by the callers'
    /// estimates, in cores.
    pub rate: u32,
    /// The ratio of the estimated to the actual durations of tasks that have finished, in percent.
    pub speed_percent: u32,
    /// The waits by priority, the most urgent first; empty if nothing waits or the speed is unknown.
    /// Less urgent priorities without an entry wait like the last level of the one before.
    pub waits: Vec<WaitsByPriority>,
    /// The waits for a first piece of room that is large enough, in units of [`WAIT_UNIT`], by class of
    /// requests from the largest; zeros at the end are left out.
    pub piece_waits: Vec<u8>,
}

/// What new jobs of a service have to expect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outlook {
    /// The service.
    pub service: String,
    /// The forecast for short tasks that reserve CPU.
    pub short: Forecast,
    /// The forecast for best-effort tasks, which use the CPU that others leave unused.
    pub best_effort: Forecast,
}

impl Outlook {
    /// Returns whether no job waits by this outlook.
    pub fn is_clear(&self) -> bool {
        self.short.waits.is_empty() && self.best_effort.waits.is_empty()
    }
}

/// Why a job is refused, and when a retry makes sense.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the step that waits is best-effort.
    pub best_effort: bool,
    /// The job's priority.
    pub priority: u8,
    /// The request of the step that waits, in thousandths of a core.
    pub request_cpu: i64,
    /// The job's work, in cores times seconds.
    pub work: u64,
    /// The expected wait.
    pub wait: Duration,
    /// The duration from the start of the step to the end of the job.
    pub run: Duration,
    /// The time after which the job is of no use.
    pub limit: Duration,
    /// See [`Forecast::capacity`].
    pub capacity: u32,
    /// See [`Forecast::rate`].
    pub rate: u32,
    /// See [`Forecast::speed_percent`].
    pub speed_percent: u32,
    /// See [`WaitsByPriority::ahead`].
    pub ahead: u32,
    /// The time after which a job like this one would probably be accepted.
    pub room_in: Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "kind={} priority={} request={} work={} wait_ms={} run_ms={} limit_ms={} capacity={} rate={} speed_percent={} ahead={}",
            if self.best_effort { "fill" } else { "short" },
            self.priority,
            self.request_cpu,
            self.work,
            self.wait.as_millis(),
            self.run.as_millis(),
            self.limit.as_millis(),
            self.capacity,
            self.rate,
            self.speed_percent,
            self.ahead,
        )
    }
}

impl Refusal {
    /// Returns the time after which the caller should try again, in whole seconds, at least 1.
    ///
    /// `share` is a random number from 0 to 1. The times are spread evenly from the time at which
    /// there is room to twice that, so that callers don't return together.
    pub fn retry_after_s(&self, share: f64) -> u64 {
        let earliest = self.room_in.clamp(Duration::from_secs(1), MAX_RETRY_AFTER);
        let seconds = earliest.as_secs_f64() * (1.0 + share.clamp(0.0, 1.0));
        seconds.round() as u64
    }
}

/// Returns why a job must be refused; `None` if it is to be accepted.
///
/// A job is refused if even its expected end is after [`LATE_FACTOR`] times its target duration,
/// provided that it starts at its turn. Long-running and scheduled jobs are always accepted.
pub fn refusal(outlook: &Outlook, job: &JobSpec) -> Option<Refusal> {
    if job.occurrences > 0 || job.steps.iter().any(|step| step.long_running) {
        return None;
    }
    let limit_ms = job.target_duration_ms().saturating_mul(LATE_FACTOR);
    let work = job.work_of(job.steps.iter().map(|step| step.count));
    let first_steps = job.steps.iter().enumerate();
    let first_steps = first_steps.filter(|(_, step)| step.after.is_empty());
    let refusals = first_steps.filter_map(|(i, step)| {
        let forecast = match step.best_effort {
            true => &outlook.best_effort,
            false => &outlook.short,
        };
        let (waits, is_own) = forecast.waits_of(job.priority)?;
        let wait = waits.expected(step, work, is_own);
        let wait = wait.max(forecast.piece_wait(step));
        // Tasks that end faster than estimated shorten the job; slower ones are not held against it.
        let speed_percent = u64::from(forecast.speed_percent.max(100));
        let run_ms = chain_ms(job, i) * 100 / speed_percent;
        let max_wait_ms = limit_ms.saturating_sub(run_ms);
        let wait_ms = wait.as_millis() as u64;
        let is_useless = wait_ms > 0 && wait_ms * 100 > max_wait_ms * WAIT_MARGIN_PERCENT;
        is_useless.then(|| Refusal {
            best_effort: step.best_effort,
            priority: job.priority,
            request_cpu: step.request.cpu,
            work: work / 1_000_000,
            wait,
            run: Duration::from_millis(run_ms),
            limit: Duration::from_millis(limit_ms),
            capacity: forecast.capacity,
            rate: forecast.rate,
            speed_percent: forecast.speed_percent,
            ahead: waits.ahead,
            room_in: Duration::from_millis(wait_ms - max_wait_ms),
        })
    });
    refusals.max_by_key(|r| r.wait + r.run)
}

impl Forecast {
    fn piece_wait(&self, step: &Step) -> Duration {
        let from_largest = REQUEST_BOUNDS.len() - 1 - request_class(step.request.cpu);
        let units = self.piece_waits.get(from_largest).copied().unwrap_or(0);
        WAIT_UNIT * u32::from(units)
    }

    /// Returns the waits that apply to a priority, and whether they are those of that priority
    /// itself; `None` if nothing waits that comes before it.
    fn waits_of(&self, priority: u8) -> Option<(&WaitsByPriority, bool)> {
        let waits = self.waits.iter().rfind(|w| w.priority <= priority)?;
        Some((waits, waits.priority == priority))
    }
}

impl WaitsByPriority {
    /// Returns the expected wait of a step of a job with `work`; `is_own` if the job has this
    /// priority, otherwise it comes after all jobs of this priority.
    fn expected(&self, step: &Step, work: u64, is_own: bool) -> Duration {
        let class = request_class(step.request.cpu);
        if !is_own {
            return self.wait(class, WORK_LEVELS - 1);
        }
        let level = work_class(work);
        if self.queued & (1 << level) == 0 {
            return self.wait(class, 0);
        }
        let at_least = self.wait(class, level);
        let Some(upper) = WORK_BOUNDS.get(level + 1) else {
            return at_least;
        };
        let lower = WORK_BOUNDS[level];
        let share = (work - lower) as f64 / (upper - lower) as f64;
        let more = self.wait(class, level + 1).saturating_sub(at_least);
        at_least + more.mul_f64(share)
    }
}

/// Returns the class of a request: the index of the last of [`REQUEST_BOUNDS`] up to it.
pub fn request_class(cpu: i64) -> usize {
    let above = REQUEST_BOUNDS.partition_point(|bound| *bound <= cpu);
    above.saturating_sub(1)
}

/// Returns the class of a job's work: the index of the last of [`WORK_BOUNDS`] up to it.
pub fn work_class(work: u64) -> usize {
    let above = WORK_BOUNDS.partition_point(|bound| *bound <= work);
    above.saturating_sub(1)
}

/// Returns the estimated duration of the longest chain of steps that begins with a step, in
/// milliseconds.
fn chain_ms(job: &JobSpec, first: usize) -> u64 {
    let mut chains_ms: Vec<Option<u64>> = vec![None; job.steps.len()];
    for (i, step) in job.steps.iter().enumerate().skip(first) {
        let predecessors = step
            .after
            .iter()
            .filter_map(|a| chains_ms.get(usize::from(*a)));
        let before_ms = match i == first {
            true => Some(0),
            false => predecessors.copied().flatten().max(),
        };
        chains_ms[i] = before_ms.map(|ms| ms + u64::from(step.estimate_ms));
    }
    chains_ms.into_iter().flatten().max().unwrap_or(0)
}
