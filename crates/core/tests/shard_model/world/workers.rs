//! The simulated workers, with the checks that no task runs on two workers at once or starts again
//! after its completion was acknowledged.

use {
    super::{Mutant, Scenario, World, network::MAX_DELAY_MS},
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            job::TaskName,
            worker::{CommandReply, EndReason, FinishedRow},
        },
    },
    rand::{RngExt, rngs::SmallRng},
    std::{ops::Range, time::Duration},
};

/// The maximum number of starts of a task that crashes its workers, without a change of leaders.
const MAX_STARTS: u64 = 5;

/// A running attempt of a task.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) attempt: u32,
    /// When the task completes.
    pub(super) ends_at_ms: u64,
}

/// The clock of one incarnation of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// When the clock was started, in simulated time, and its reading then.
    start: (u64, u64),
    /// How fast the clock runs, in thousandths of real time.
    rate_per_mille: u64,
}

/// Returns how fast a worker's clock runs, in thousandths of real time.
pub(super) fn clock_rate_per_mille(scenario: Scenario, rng: &mut SmallRng) -> u64 {
    match scenario {
        Scenario::Cuts => 980,
        Scenario::Restarts => rng.random_range(980..=1_000),
        _ => 1_000,
    }
}

impl Clock {
    /// Creates a clock that shows `reading_ms` at `now_ms`.
    pub(super) fn new(now_ms: u64, reading_ms: u64, rate_per_mille: u64) -> Self {
        Self {
            start: (now_ms, reading_ms),
            rate_per_mille,
        }
    }

    /// Returns the reading at `now_ms`.
    pub(super) fn reading_ms(&self, now_ms: u64) -> u64 {
        let (started_ms, first_ms) = self.start;
        first_ms + (now_ms - started_ms) * self.rate_per_mille / 1_000
    }
}

/// A worker's entry in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Listing {
    Ready,
    Draining,
    /// The platform does not list the worker, which may be up nevertheless.
    Unlisted,
}

/// A worker, with the state of its current incarnation.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) up: bool,
    pub(super) listing: Listing,
    /// When the worker restarts, if it is not up.
    pub(super) restarts_at_ms: u64,
    /// When the current incarnation started; identifies the incarnation.
    pub(super) started_ms: u64,
    /// The clock of the current incarnation.
    pub(super) clock: Clock,
    /// The highest fencing token that the current incarnation has received; zero if none.
    pub(super) highest_token: u64,
    pub(super) running: HashMap<TaskName, Running>,
    /// The ended attempts that no leader has acknowledged.
    pub(super) finished: Vec<FinishedRow>,
    /// The number of the next entry of `finished`.
    pub(super) next_end_number: u64,
    /// The highest attempt of each task that has ended or that a command stopped.
    pub(super) highest_attempts: HashMap<TaskName, u32>,
    /// When the worker's lease expires on its clock, which ends all its runs; zero if it has none.
    pub(super) lease_until_ms: u64,
    /// When each of `finished` ended that is done and after which no lease has expired, by number.
    pub(super) valid_ends_ms: HashMap<u64, u64>,
    /// By leader token: the time until which that leader can't reach the worker.
    pub(super) unreachable_until_ms: HashMap<u64, u64>,
    /// When no leader but `near_leader` can reach the worker; empty if there is no such time.
    pub(super) cut_off_ms: Range<u64>,
    /// The token of the leader that is cut off together with the worker; zero if none is.
    pub(super) near_leader: u64,
}

impl Worker {
    /// Extends the worker's lease to `until_ms` on its clock, but to at most `max_lease` from now.
    pub(super) fn renew(&mut self, until_ms: u64, max_lease: Duration, now_ms: u64) {
        let max_until_ms = self.clock.reading_ms(now_ms) + max_lease.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(max_until_ms));
    }

    /// Records that an attempt has ended, for the next reports.
    pub(super) fn record_end(&mut self, task: TaskName, attempt: u32, reason: EndReason) {
        self.finished.push(FinishedRow {
            number: self.next_end_number,
            task,
            attempt,
            reason,
            checkpoint: String::new(),
        });
        self.next_end_number += 1;
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
    }
}

impl World {
    /// Restarts the workers that are due, and ends the attempts that are done or whose lease has
    /// expired.
    pub(super) fn run_workers(&mut self) {
        for worker in &mut self.workers {
            if !worker.up {
                if self.now_ms >= worker.restarts_at_ms {
                    worker.up = true;
                    worker.listing = Listing::Ready;
                    worker.started_ms = self.now_ms + 10;
                    let rate_per_mille = clock_rate_per_mille(self.scenario, &mut self.rng);
                    worker.clock = Clock::new(self.now_ms, 0, rate_per_mille);
                    worker.highest_token = 0;
                    worker.finished.clear();
                    worker.next_end_number = 1;
                    worker.highest_attempts.clear();
                    worker.lease_until_ms = 0;
                    worker.valid_ends_ms.clear();
                }
                continue;
            }
            let has_lapsed = worker.lease_until_ms <= worker.clock.reading_ms(self.now_ms);
            let ended: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, r)| r.ends_at_ms <= self.now_ms || has_lapsed)
                .map(|(task, r)| (*task, r.attempt, r.ends_at_ms <= self.now_ms))
                .collect();
            if self.cut.until_ms > 0 {
                let lapsed = ended.iter().filter(|(_, _, done)| !done);
                self.lapsed_runs += lapsed.count() as u32;
            }
            for (task, attempt, done) in ended {
                worker.running.remove(&task);
                if done {
                    let number = worker.next_end_number;
                    worker.valid_ends_ms.insert(number, self.now_ms);
                }
                worker.record_end(
                    task,
                    attempt,
                    if done {
                        EndReason::Done
                    } else {
                        EndReason::Lapsed
                    },
                );
            }
            if has_lapsed {
                worker.valid_ends_ms.clear();
            }
        }
    }

    /// Carries out a start command on a worker and checks the start.
    pub(super) fn start(
        &mut self,
        worker_index: usize,
        task: TaskName,
        attempt: u32,
        lease_until_ms: u64,
        token: u64,
    ) -> CommandReply {
        let run_ms = match self.scenario {
            Scenario::Restarts => 50..8_000,
            _ => 50..1_500,
        };
        let run_ms = self.rng.random_range(run_ms);
        let is_long_running = self.is_long_running(task);
        let max_lease = self.max_lease();
        let is_fenced =
            self.mutant != Mutant::NoFencing && token < self.workers[worker_index].highest_token;
        let worker = &mut self.workers[worker_index];
        if is_fenced {
            return CommandReply::Fenced;
        }
        worker.highest_token = worker.highest_token.max(token);
        if let Some(running) = worker.running.get(&task)
            && running.attempt == attempt
        {
            return CommandReply::Ok;
        }
        if worker
            .highest_attempts
            .get(&task)
            .is_some_and(|highest| *highest >= attempt)
            || worker.running.contains_key(&task)
        {
            return CommandReply::Old;
        }
        if lease_until_ms <= worker.clock.reading_ms(self.now_ms) {
            return CommandReply::Late;
        }
        if worker.running.len() >= 3 {
            return CommandReply::Full;
        }
        let running = Running {
            attempt,
            ends_at_ms: if is_long_running {
                u64::MAX
            } else {
                self.now_ms + run_ms
            },
        };
        worker.running.insert(task, running);
        worker.renew(lease_until_ms, max_lease, self.now_ms);
        self.check_start(worker_index, task);
        if self.crashing.contains(&task) {
            self.crash(worker_index);
        }
        CommandReply::Ok
    }

    /// Returns whether a task is long-running.
    pub(super) fn is_long_running(&self, task: TaskName) -> bool {
        let job = self.jobs.iter().find(|(id, _)| *id == task.job);
        job.is_some_and(|(_, spec)| spec.steps[usize::from(task.step)].long_running)
    }

    /// Crashes a worker, which runs nothing afterwards.
    pub(super) fn crash(&mut self, worker_index: usize) {
        let down_ms = match self.scenario {
            Scenario::Restarts => 100..1_000,
            Scenario::Crashes | Scenario::Replacements => 50..6_000,
            Scenario::LongRunningJobs | Scenario::Cuts => MAX_DELAY_MS..2 * MAX_DELAY_MS,
        };
        let down_ms = self.rng.random_range(down_ms);
        self.last_crash_ms = self.now_ms;
        let worker = &mut self.workers[worker_index];
        worker.up = false;
        worker.restarts_at_ms = self.now_ms + down_ms;
        if self.scenario == Scenario::Restarts {
            let from_ms = worker.restarts_at_ms + self.rng.random_range(0..1_300);
            worker.cut_off_ms = from_ms..from_ms + self.rng.random_range(4_000..9_000);
        }
        for (task, _) in worker.running.drain() {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    /// Checks that a task that has just started on a worker runs on no other one, that its
    /// completion was not acknowledged before, and that it does not crash too many workers.
    pub(super) fn check_start(&mut self, worker_index: usize, task: TaskName) {
        let others = self
            .workers
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != worker_index);
        let other_runs = others
            .filter(|(_, o)| o.up && o.running.contains_key(&task))
            .count();
        if other_runs > 0 {
            self.violation = Some(format!("{task} runs on two workers at {} ms", self.now_ms));
        }
        self.started_ms.insert(task, self.now_ms);
        let newest_token = self.lease_token;
        let (starts, first_token) = self.starts.entry(task).or_insert((0, newest_token));
        *starts += 1;
        // A new leader may not know of one crash.
        let limit = MAX_STARTS + (newest_token - *first_token);
        if self.crashing.contains(&task) && *starts > limit {
            self.violation = Some(format!(
                "{task} crashes its workers and starts for the {starts}th time at {} ms",
                self.now_ms
            ));
        }
        if self.acknowledged.contains(&task) {
            self.violation = Some(format!(
                "{task} starts after its acknowledged end at {} ms",
                self.now_ms
            ));
        }
    }

    /// Carries out the acknowledgement of a worker's ended attempts up to a number, and checks that no
    /// task has started after an end that counts from now on.
    ///
    /// An end does not count if the worker's lease has expired since.
    pub(super) fn acknowledge(&mut self, worker_index: usize, number: u64) {
        let worker = &mut self.workers[worker_index];
        let acknowledged = worker.finished.iter().filter(|end| end.number <= number);
        for end in acknowledged.filter(|end| end.reason == EndReason::Done) {
            self.acknowledged.insert(end.task);
            let ended_ms = worker.valid_ends_ms.get(&end.number);
            let started_ms = self.started_ms.get(&end.task);
            if ended_ms.is_some() && started_ms > ended_ms {
                self.violation = Some(format!(
                    "{} started again at {started_ms:?} ms, after its end at {ended_ms:?} ms, which is acknowledged at {} ms",
                    end.task, self.now_ms
                ));
            }
        }
        worker.finished.retain(|end| end.number > number);
    }

    /// Carries out a stop command on a worker, which also prevents a later start of the attempt.
    pub(super) fn stop(
        &mut self,
        worker_index: usize,
        task: TaskName,
        attempt: u32,
        token: u64,
    ) -> CommandReply {
        let worker = &mut self.workers[worker_index];
        if self.mutant != Mutant::NoFencing && token < worker.highest_token {
            return CommandReply::Fenced;
        }
        worker.highest_token = worker.highest_token.max(token);
        if worker
            .running
            .get(&task)
            .is_some_and(|running| running.attempt <= attempt)
        {
            let running = worker
                .running
                .remove(&task)
                .expect("the task has a running attempt");
            worker.record_end(task, running.attempt, EndReason::Stopped);
        }
        let highest = worker.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
        CommandReply::Ok
    }

    /// Returns whether the leader with `leader_token` can reach a worker.
    pub(super) fn is_reachable(&self, leader_token: u64, worker_index: usize) -> bool {
        let worker = &self.workers[worker_index];
        let is_cut_off =
            worker.cut_off_ms.contains(&self.now_ms) || self.is_leader_cut_off(leader_token);
        worker.up
            && !self.is_cut_to(worker_index)
            && (!is_cut_off || worker.near_leader == leader_token)
            && worker
                .unreachable_until_ms
                .get(&leader_token)
                .is_none_or(|until_ms| *until_ms <= self.now_ms)
    }
}
