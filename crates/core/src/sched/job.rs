//! Jobs, their steps and the names of their tasks.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The most steps of a job.
pub const MAX_STEPS: usize = 64;

/// The most tasks of a step.
pub const MAX_TASKS: u32 = 4_096;

/// A result of reading a job or a name.
pub type Result<T, E = JobError> = std::result::Result<T, E>;

/// A job or name that is not valid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct JobError {
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

fn wrong(field: impl Into<String>, problem: &'static str) -> JobError {
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
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(digit) {
            return Err(wrong("id", "it is not 16 lower-case hexadecimal digits"));
        }
        let value = u64::from_str_radix(text, 16);
        value
            .map(Self)
            .map_err(|_| wrong("id", "it is not a number"))
    }
}

/// The name of one task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u16,
    /// The task within the step, from zero.
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
        let bad = || wrong("task", "it is not ID.ROUND.STEP.INDEX");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        match parts.next() {
            Some(_) => Err(bad()),
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
    /// Processor, in thousandths of a core.
    pub cpu: i64,
    /// Memory, in megabytes.
    pub mem_mb: i64,
    /// Accelerators.
    pub gpu: i64,
}

impl Resources {
    /// Returns whether `other` fits into this.
    pub fn contains(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu += other.cpu;
        self.mem_mb += other.mem_mb;
        self.gpu += other.gpu;
    }

    /// Takes `other` away.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu -= other.cpu;
        self.mem_mb -= other.mem_mb;
        self.gpu -= other.gpu;
    }
}

/// A step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task takes.
    pub request: Resources,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress and can be resumed.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub required_label: Option<String>,
    /// The rack where the data is.
    pub preferred_rack: Option<String>,
    /// The most tasks on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether two copies of a task may run.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run.
    pub image: String,
    /// The limit of the tail latency of tasks that serve, in milliseconds; zero if they don't.
    pub target_ms: f64,
    /// Whether the tasks get the processor time that others leave unused.
    pub best_effort: bool,
    /// How many tasks may be away at once by our doing; `None` if that does not matter.
    pub max_unavailable: Option<u32>,
}

/// A job as it was accepted, with what the configuration said of its queue then.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue.
    pub queue: String,
    /// The service whose workers run it.
    pub service: String,
    /// The queue's priority; zero is the most urgent.
    pub priority: u8,
    /// How many failed runs of a task make the job fail.
    pub max_attempts: u32,
    /// How many times as long as its longest chain of steps the job may take, in percent.
    pub slack_percent: u32,
    /// What the job may take beyond that, in milliseconds.
    pub extra_ms: u32,
    /// The text that each task is started with.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// How often the steps run; zero if just once and now.
    pub occurrences: u32,
    /// When the first round is due, in milliseconds of Unix time.
    pub first_ms: u64,
    /// The time between rounds, in milliseconds.
    pub interval_ms: u64,
    /// Whether starts need an approval of the queue's policy.
    pub needs_approval: bool,
    /// When it was accepted, in milliseconds of Unix time.
    pub accepted_ms: u64,
    /// The fencing token of the leader for which it was accepted.
    pub token: u64,
    /// How often it was passed on to another shard before it began.
    pub moves: u8,
}

impl JobSpec {
    /// Returns the estimated length of the longest chain of steps that are not done, in
    /// milliseconds; `left` says how many tasks of each step are not done.
    pub fn critical_path_ms(&self, remaining: &[u32]) -> u64 {
        let mut longest: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (i, step) in self.steps.iter().enumerate() {
            let before = step
                .after
                .iter()
                .filter_map(|a| longest.get(usize::from(*a)));
            let own = if remaining.get(i).is_none_or(|remaining| *remaining > 0) {
                u64::from(step.estimate_ms)
            } else {
                0
            };
            longest.push(before.copied().max().unwrap_or(0) + own);
        }
        longest.into_iter().max().unwrap_or(0)
    }

    /// Returns how long the job may take to be in time, in milliseconds.
    pub fn target_duration_ms(&self) -> u64 {
        let chain = self.critical_path_ms(&[]);
        chain * u64::from(self.slack_percent) / 100 + u64::from(self.extra_ms)
    }

    /// Returns how many rounds the job has.
    pub fn occurrence_count(&self) -> u32 {
        self.occurrences.max(1)
    }

    /// Checks the steps.
    ///
    /// # Errors
    ///
    /// Returns the field that is wrong.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(wrong("steps", "there is no step"));
        }
        if self.steps.len() > MAX_STEPS {
            return Err(wrong("steps", "there are more than 64 steps"));
        }
        if self.spec.len() > 4_000 {
            return Err(wrong("spec", "it is longer than 4000 bytes"));
        }
        for (i, step) in self.steps.iter().enumerate() {
            let field = |name: &str| format!("steps[{i}].{name}");
            if step.count == 0 {
                return Err(wrong(field("count"), "it is zero"));
            }
            if step.count > MAX_TASKS {
                return Err(wrong(field("count"), "it is over 4096"));
            }
            if step.after.iter().any(|&a| usize::from(a) >= i) {
                return Err(wrong(field("after"), "it names no earlier step"));
            }
        }
        Ok(())
    }
}
