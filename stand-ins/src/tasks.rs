//! The stand-in for the task agent of one worker, which simulates tasks that run under leases.

use {
    crate::record::Record,
    marigoldbend_core::hash::HashMap,
    marigoldbend_platform::wire::{AttemptState, AttemptStatus, StartTask, TaskRef},
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// One attempt of a task on this worker.
struct Attempt {
    number: u32,
    state: AttemptState,
    /// The work of the whole task, as its running time at full speed.
    total_work: Duration,
    /// The work done until `progress_since`, as its running time at full speed.
    work_done: Duration,
    progress_since: Instant,
    /// The throttled speed as a share of the full speed, from zero to one.
    speed: f64,
    lease_expires_at: Instant,
}

impl Attempt {
    /// Returns the work done until `now`; an attempt does no work after its lease has expired.
    fn progress(&self, now: Instant) -> Duration {
        if self.state != AttemptState::Running {
            return self.work_done;
        }
        let work_end = now.min(self.lease_expires_at);
        let elapsed = work_end.saturating_duration_since(self.progress_since);
        (self.work_done + elapsed.mul_f64(self.speed)).min(self.total_work)
    }
}

/// The tasks of one worker.
pub struct TaskAgent {
    worker: u32,
    record: Record,
    /// The newest attempt of each task that was started on this worker.
    attempts: HashMap<String, Attempt>,
    /// The highest fenced attempt number of each task; attempts up to it may not start.
    fenced: HashMap<String, u32>,
    /// Whether every task fails as soon as it is started.
    pub fail_all: bool,
}

impl TaskAgent {
    /// Creates an agent without tasks for the worker with this id.
    pub fn new(worker: u32, record: Record) -> Self {
        Self {
            worker,
            record,
            attempts: HashMap::default(),
            fenced: HashMap::default(),
            fail_all: false,
        }
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        let running = |a: &&Attempt| a.state == AttemptState::Running;
        u32::try_from(self.attempts.values().filter(running).count()).unwrap_or(u32::MAX)
    }

    /// Ends the attempts that are finished or whose lease has expired.
    pub fn advance(&mut self, now: Instant) {
        for (task, attempt) in &mut self.attempts {
            if attempt.state != AttemptState::Running {
                continue;
            }
            let progress = attempt.progress(now);
            let finished = progress >= attempt.total_work;
            if !finished && now < attempt.lease_expires_at {
                continue;
            }
            attempt.work_done = progress;
            attempt.state = match finished {
                true => AttemptState::Done,
                false => AttemptState::Lapsed,
            };
            self.record.record_task_end(task, finished);
        }
    }

    /// Ends all running attempts unfinished, as when the worker fails.
    pub fn crash(&mut self, now: Instant) {
        self.advance(now);
        for (task, attempt) in &mut self.attempts {
            if attempt.state == AttemptState::Running {
                attempt.state = AttemptState::Lapsed;
                self.record.record_task_end(task, false);
            }
        }
    }

    /// Starts an attempt, unless it is fenced, a newer attempt was started, or the latest time for
    /// its start has passed.
    ///
    /// A repeated start of the newest attempt only returns its status.
    pub fn start(&mut self, start: &StartTask, now: Instant) -> AttemptStatus {
        self.advance(now);
        let name = &start.task.task;
        let newest = self.attempts.get(name).map_or(0, |a| a.number);
        let fenced_up_to = self.fenced.get(name).copied().unwrap_or(0);
        if start.task.attempt == newest {
            return self.status(&start.task);
        }
        let is_too_late = unix_ms() > start.not_after_unix_ms;
        if start.task.attempt <= fenced_up_to.max(newest) || is_too_late {
            return reply(&start.task, AttemptState::Fenced, Duration::ZERO);
        }
        self.record.record_task_start(self.worker, name);
        let mut attempt = Attempt {
            number: start.task.attempt,
            state: AttemptState::Running,
            total_work: Duration::from_millis(start.run_ms),
            work_done: Duration::from_millis(start.progress_ms),
            progress_since: now,
            speed: 1.0,
            lease_expires_at: now + Duration::from_millis(start.lease_ms),
        };
        if self.fail_all {
            attempt.state = AttemptState::Failed;
            self.record.record_task_end(name, false);
        }
        self.attempts.insert(name.clone(), attempt);
        self.status(&start.task)
    }

    /// Renews the lease of an attempt if it runs; returns the status of the attempt.
    pub fn renew(&mut self, task: &TaskRef, lease: Duration, now: Instant) -> AttemptStatus {
        self.advance(now);
        if let Some(attempt) = self.attempts.get_mut(&task.task)
            && attempt.number == task.attempt
            && attempt.state == AttemptState::Running
        {
            attempt.lease_expires_at = now + lease;
        }
        self.status(task)
    }

    /// Stops an attempt if it runs, and fences it and all earlier ones.
    pub fn stop(&mut self, task: &TaskRef, now: Instant) -> AttemptStatus {
        self.advance(now);
        let fenced_up_to = self.fenced.entry(task.task.clone()).or_default();
        *fenced_up_to = (*fenced_up_to).max(task.attempt);
        let newest_attempt = self.attempts.get_mut(&task.task);
        if let Some(attempt) = newest_attempt
            && attempt.number == task.attempt
            && attempt.state == AttemptState::Running
        {
            attempt.work_done = attempt.progress(now);
            attempt.state = AttemptState::Stopped;
            self.record.record_task_end(&task.task, false);
        }
        let status = self.status(task);
        match status.state {
            AttemptState::Unknown => reply(task, AttemptState::Fenced, Duration::ZERO),
            _ => status,
        }
    }

    /// Sets the speed of an attempt to `percent` percent of the full speed; a value above 100
    /// counts as 100.
    pub fn throttle(&mut self, task: &TaskRef, percent: u32, now: Instant) -> AttemptStatus {
        self.advance(now);
        if let Some(attempt) = self.attempts.get_mut(&task.task)
            && attempt.number == task.attempt
        {
            attempt.work_done = attempt.progress(now);
            attempt.progress_since = now;
            attempt.speed = f64::from(percent.min(100)) / 100.0;
        }
        self.status(task)
    }

    fn status(&self, task: &TaskRef) -> AttemptStatus {
        match self.attempts.get(&task.task) {
            Some(attempt) if attempt.number == task.attempt => {
                reply(task, attempt.state, attempt.work_done)
            }
            _ => reply(task, AttemptState::Unknown, Duration::ZERO),
        }
    }
}

fn reply(task: &TaskRef, state: AttemptState, progress: Duration) -> AttemptStatus {
    AttemptStatus {
        task: task.clone(),
        state,
        progress_ms: u64::try_from(progress.as_millis()).unwrap_or(u64::MAX),
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
