//! Job specifications, their steps, and task names.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;

/// The maximum number of tasks of a step.
pub const MAX_TASKS: u32 = 4_096;

/// The maximum amount of a resource, in the units of [`Resources`]: a million cores or gigabytes.
/// Sums over all workers or tasks then stay far below the limits of the integers.
pub const MAX_RESOURCE: i64 = 1_000_000_000;

/// A late job is still of some use if it finishes within this multiple of its target duration.
pub const LATE_FACTOR: u64 = 3;

/// The result of parsing a name or checking a job.
pub type Result<T, E = JobError> = std::result::Result<T, E>;

/// An invalid job or name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct JobError {
    /// The path of the invalid field, such as `steps[0].count`.
    pub field: String,
    /// Why the field is invalid.
    pub problem: &'static str,
}

fn invalid(field: impl Into<String>, problem: &'static str) -> JobError {
    JobError {
        field: field.into(),
        problem,
    }
}

/// A job's identifier, chosen by its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobError;

    fn from_str(text: &str) -> Result<Self> {
        let is_hex_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_hex_digit) {
            return Err(invalid("id", "expected 16 lower-case hexadecimal digits"));
        }
        let value = u64::from_str_radix(text, 16);
        value
            .map(Self)
            .map_err(|_| invalid("id", "expected a hexadecimal number"))
    }
}

/// The name of a task, written as `ID.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence of the job, from zero; only a scheduled job has more than one.
    pub occurrence: u32,
    /// The index of the step in [`JobSpec::steps`].
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = JobError;

    fn from_str(text: &str) -> Result<Self> {
        let bad_name = || invalid("task", "expected ID.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(bad_name);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| bad_name())?;
        let step = next()?.parse().map_err(|_| bad_name())?;
        let index = next()?.parse().map_err(|_| bad_name())?;
        match parts.next() {
            Some(_) => Err(bad_name()),
            None => Ok(Self {
                job,
                occurrence,
                step,
                index,
            }),
        }
    }
}

/// An amount of a worker's resources.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: i64,
    /// Memory, in megabytes.
    pub mem_mb: i64,
    /// The number of accelerators.
    pub gpu: i64,
}

impl Resources {
    /// Checks that no amount is negative or above [`MAX_RESOURCE`].
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn check(&self) -> Result<()> {
        let amounts = [
            ("cpu", self.cpu),
            ("mem_mb", self.mem_mb),
            ("gpu", self.gpu),
        ];
        let is_invalid = |(_, amount): &(&str, i64)| !(0..=MAX_RESOURCE).contains(amount);
        match amounts.into_iter().find(is_invalid) {
            Some((field, _)) => Err(invalid(field, "expected 0 to 1000000000")),
            None => Ok(()),
        }
    }

    /// Returns whether each resource is at least as large as in `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Returns how many tasks with this request fit into free resources, by CPU and memory; zero for a
    /// request of no CPU.
    pub(super) fn places_in(&self, free: &Self) -> i64 {
        if self.cpu <= 0 {
            return 0;
        }
        let by_memory = match self.mem_mb {
            ..=0 => i64::MAX,
            mem_mb => free.mem_mb / mem_mb,
        };
        (free.cpu / self.cpu).min(by_memory).max(0)
    }

    /// Adds `other` to each resource.
    pub fn add(&mut self, other: &Self) {
        self.cpu += other.cpu;
        self.mem_mb += other.mem_mb;
        self.gpu += other.gpu;
    }

    /// Subtracts `other` from each resource; the result may be negative.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu -= other.cpu;
        self.mem_mb -= other.mem_mb;
        self.gpu -= other.gpu;
    }
}

/// A step of a job, made up of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task requests.
    pub request: Resources,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u32,
    /// The indices of earlier steps that must be done before this step starts.
    pub after: Vec<u16>,
    /// Whether tasks write checkpoints from which they can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, whose tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks run faster when all of them are on one rack.
    pub same_rack: bool,
    /// The label that a worker must have; `None` if any worker will do.
    pub required_label: Option<String>,
    /// The rack that holds the tasks' data; `None` for no preference.
    pub preferred_rack: Option<String>,
    /// The maximum number of tasks on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether a second copy of a slow task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run.
    pub image: String,
    /// The tail latency target of a serving task, in milliseconds; zero for other tasks.
    pub latency_target_ms: f64,
    /// Whether the tasks are best-effort: they use the CPU time that other tasks leave unused.
    pub best_effort: bool,
    /// How many tasks the scheduler may make unavailable at once; `None` for no limit.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns whether two runs of a task may exist at the same time.
    pub fn allows_second_runs(&self) -> bool {
        self.speculative && !self.long_running && !self.gang && self.latency_target_ms <= 0.0
    }
}

/// An accepted job, with the settings of its queue at the time of acceptance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue.
    pub queue: String,
    /// The service whose workers run the job.
    pub service: String,
    /// The queue's priority; zero is the most urgent.
    pub priority: u8,
    /// The number of failed attempts of one task after which the job fails.
    pub max_attempts: u32,
    /// The allowed duration of the job, in percent of its critical path; see
    /// [`JobSpec::target_duration_ms`].
    pub slack_percent: u32,
    /// The time that is added to the allowed duration, in milliseconds.
    pub extra_ms: u32,
    /// The text that is passed to each task at its start, at most 4000 bytes.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// How many times the steps run on a schedule; zero to run them once, immediately.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds of Unix time.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Whether each start of a task needs an approval by the queue's policy.
    pub needs_approval: bool,
    /// When the job was accepted, in milliseconds of Unix time.
    pub accepted_ms: u64,
    /// The fencing token of the shard's leader when the job was accepted.
    ///
    /// A leader with a lower token must not start the job.
    pub token: u64,
    /// How many times the job was moved to another shard before its first task started.
    pub move_count: u8,
}

impl JobSpec {
    /// Returns the estimated duration of the longest chain of unfinished steps, in milliseconds.
    ///
    /// `remaining` is the number of unfinished tasks of each step; a step without an entry counts
    /// as unfinished.
    pub fn critical_path_ms(&self, remaining: &[u32]) -> u64 {
        let mut path_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (i, step) in self.steps.iter().enumerate() {
            let predecessors = step
                .after
                .iter()
                .filter_map(|a| path_ms.get(usize::from(*a)));
            let own_ms = if remaining.get(i).is_none_or(|count| *count > 0) {
                u64::from(step.estimate_ms)
            } else {
                0
            };
            path_ms.push(predecessors.copied().max().unwrap_or(0) + own_ms);
        }
        path_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the duration within which the job should finish, in milliseconds: its critical
    /// path times `slack_percent`, plus `extra_ms`.
    pub fn target_duration_ms(&self) -> u64 {
        self.target_for_ms(self.critical_path_ms(&[]))
    }

    /// Returns the duration within which the job should finish if its longest chain of steps takes
    /// `chain_ms`, in milliseconds.
    pub fn target_for_ms(&self, chain_ms: u64) -> u64 {
        chain_ms.saturating_mul(u64::from(self.slack_percent)) / 100 + u64::from(self.extra_ms)
    }

    /// Returns the work of `counts` tasks of each step according to the caller's estimates, in
    /// thousandths of a core times milliseconds.
    pub fn work_of(&self, counts: impl Iterator<Item = u32>) -> u64 {
        let work = counts.zip(&self.steps).map(|(count, step)| {
            let cpu = u64::try_from(step.request.cpu).unwrap_or(0);
            let task_work = u64::from(step.estimate_ms).saturating_mul(cpu);
            task_work.saturating_mul(u64::from(count))
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns how many occurrences are due at `unix_ms`, in milliseconds of Unix time. The only one
    /// of a job without a schedule always is.
    pub fn due_occurrences(&self, unix_ms: u64) -> u32 {
        let count = self.occurrence_count();
        let Some(since_first_ms) = unix_ms.checked_sub(self.first_ms) else {
            return if self.occurrences > 0 { 0 } else { count };
        };
        match since_first_ms.checked_div(self.interval_ms) {
            Some(intervals) if self.occurrences > 0 => {
                let due = u32::try_from(intervals.saturating_add(1));
                due.map_or(count, |due| due.min(count))
            }
            _ => count,
        }
    }

    /// Returns the number of occurrences of the job, at least one.
    pub fn occurrence_count(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Checks [`JobSpec::spec`] and the steps.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid field.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(invalid("steps", "expected at least one step"));
        }
        if self.steps.len() > MAX_STEPS {
            return Err(invalid("steps", "expected at most 64 steps"));
        }
        if self.spec.len() > 4_000 {
            return Err(invalid("spec", "expected at most 4000 bytes"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            let field = |name: &str| format!("steps[{i}].{name}");
            if step.count == 0 {
                return Err(invalid(field("count"), "expected at least 1"));
            }
            if step.count > MAX_TASKS {
                return Err(invalid(field("count"), "expected at most 4096"));
            }
            if let Err(e) = step.request.check() {
                return Err(invalid(field(&e.field), e.problem));
            }
            if step.after.iter().any(|&a| usize::from(a) >= i) {
                return Err(invalid(
                    field("after"),
                    "expected indices of earlier steps only",
                ));
            }
        }
        Ok(())
    }
}
