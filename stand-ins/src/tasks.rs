//! The task agent of one worker: runs tasks under leases.

use {
    crate::record::Record,
    marigoldbend_core::hash::HashMap,
    marigoldbend_platform::wire::{AttemptState, AttemptStatus, StartTask, TaskRef},
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

struct Attempt {
    number: u32,
    state: AttemptState,
    run: Duration,
    /// Work done up to `since`.
    done: Duration,
    since: Instant,
    /// The share of undisturbed speed.
    speed: f64,
    lease_until: Instant,
}

impl Attempt {
    fn progress(&self, now: Instant) -> Duration {
        if self.state != AttemptState::Running {
            return self.done;
        }
        let until = now.min(self.lease_until);
        let elapsed = until.saturating_duration_since(self.since);
        (self.done + elapsed.mul_f64(self.speed)).min(self.run)
    }
}

/// The tasks of one worker.
pub struct TaskAgent {
    worker: u32,
    record: Record,
    /// The newest attempt of each task that was seen here.
    attempts: HashMap<String, Attempt>,
    /// Attempts up to this number are fenced.
    fenced: HashMap<String, u32>,
    /// Whether every task that is started fails at once.
    pub fail_all: bool,
}

impl TaskAgent {
    /// Creates an agent that runs nothing.
    pub fn new(worker: u32, record: Record) -> Self {
        Self {
            worker,
            record,
            attempts: HashMap::default(),
            fenced: HashMap::default(),
            fail_all: false,
        }
    }

    /// Returns how many tasks run.
    pub fn running(&self) -> u32 {
        let running = |a: &&Attempt| a.state == AttemptState::Running;
        u32::try_from(self.attempts.values().filter(running).count()).unwrap_or(u32::MAX)
    }

    /// Ends the attempts that are finished or whose lease has lapsed.
    pub fn advance(&mut self, now: Instant) {
        for (task, attempt) in &mut self.attempts {
            if attempt.state != AttemptState::Running {
                continue;
            }
            let progress = attempt.progress(now);
            let finished = progress >= attempt.run;
            if !finished && now < attempt.lease_until {
                continue;
            }
            attempt.done = progress;
            attempt.state = match finished {
                true => AttemptState::Done,
                false => AttemptState::Lapsed,
            };
            self.record.record_task_end(task, finished);
        }
    }

    /// Ends everything that runs, as the end of the worker does.
    pub fn crash(&mut self, now: Instant) {
        self.advance(now);
        for (task, attempt) in &mut self.attempts {
            if attempt.state == AttemptState::Running {
                attempt.state = AttemptState::Lapsed;
                self.record.record_task_end(task, false);
            }
        }
    }

    /// Starts an attempt unless it is fenced or came too late.
    pub fn start(&mut self, start: &StartTask, now: Instant) -> AttemptStatus {
        self.advance(now);
        let name = &start.task.task;
        let newest = self.attempts.get(name).map_or(0, |a| a.number);
        let fenced = self.fenced.get(name).copied().unwrap_or(0);
        if start.task.attempt == newest {
            return self.status(&start.task);
        }
        let late = unix_ms() > start.not_after_unix_ms;
        if start.task.attempt <= fenced.max(newest) || late {
            return reply(&start.task, AttemptState::Fenced, Duration::ZERO);
        }
        self.record.record_task_start(self.worker, name);
        let mut attempt = Attempt {
            number: start.task.attempt,
            state: AttemptState::Running,
            run: Duration::from_millis(start.run_ms),
            done: Duration::from_millis(start.progress_ms),
            since: now,
            speed: 1.0,
            lease_until: now + Duration::from_millis(start.lease_ms),
        };
        if self.fail_all {
            attempt.state = AttemptState::Failed;
            self.record.record_task_end(name, false);
        }
        self.attempts.insert(name.clone(), attempt);
        self.status(&start.task)
    }

    /// Renews a lease, and says what became of the attempt.
    pub fn renew(&mut self, task: &TaskRef, lease: Duration, now: Instant) -> AttemptStatus {
        self.advance(now);
        if let Some(attempt) = self.attempts.get_mut(&task.task)
            && attempt.number == task.attempt
            && attempt.state == AttemptState::Running
        {
            attempt.lease_until = now + lease;
        }
        self.status(task)
    }

    /// Stops and fences an attempt.
    pub fn stop(&mut self, task: &TaskRef, now: Instant) -> AttemptStatus {
        self.advance(now);
        let fenced = self.fenced.entry(task.task.clone()).or_default();
        *fenced = (*fenced).max(task.attempt);
        let running = self.attempts.get_mut(&task.task);
        if let Some(attempt) = running
            && attempt.number == task.attempt
            && attempt.state == AttemptState::Running
        {
            attempt.done = attempt.progress(now);
            attempt.state = AttemptState::Stopped;
            self.record.record_task_end(&task.task, false);
        }
        let status = self.status(task);
        match status.state {
            AttemptState::Unknown => reply(task, AttemptState::Fenced, Duration::ZERO),
            _ => status,
        }
    }

    /// Changes the speed of an attempt.
    pub fn throttle(&mut self, task: &TaskRef, percent: u32, now: Instant) -> AttemptStatus {
        self.advance(now);
        if let Some(attempt) = self.attempts.get_mut(&task.task)
            && attempt.number == task.attempt
        {
            attempt.done = attempt.progress(now);
            attempt.since = now;
            attempt.speed = f64::from(percent.min(100)) / 100.0;
        }
        self.status(task)
    }

    fn status(&self, task: &TaskRef) -> AttemptStatus {
        match self.attempts.get(&task.task) {
            Some(attempt) if attempt.number == task.attempt => {
                reply(task, attempt.state, attempt.done)
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
