//! The simulated workers, with the checks that no task runs twice or again after its end.

use {
    super::{Mutant, World},
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            job::TaskName,
            worker::{CommandReply, EndReason, FinishedRow},
        },
    },
    rand::RngExt,
};

#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) attempt: u32,
    pub(super) ends_at: u64,
    pub(super) until: u64,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) up: bool,
    pub(super) restarts_at: u64,
    pub(super) started_ms: u64,
    pub(super) highest_token: u64,
    pub(super) running: HashMap<TaskName, Running>,
    pub(super) finished: Vec<FinishedRow>,
    pub(super) next_number: u64,
    pub(super) highest_attempts: HashMap<TaskName, u32>,
    /// The time until which each leader, by its token, can't reach the worker.
    pub(super) unreachable_until: HashMap<u64, u64>,
}

impl Worker {
    pub(super) fn record_end(&mut self, task: TaskName, attempt: u32, reason: EndReason) {
        self.finished.push(FinishedRow {
            number: self.next_number,
            task,
            attempt,
            reason,
            checkpoint: String::new(),
        });
        self.next_number += 1;
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
    }
}

impl World {
    pub(super) fn run_workers(&mut self) {
        for worker in &mut self.workers {
            if !worker.up {
                if self.now >= worker.restarts_at {
                    worker.up = true;
                    worker.started_ms = self.now + 10;
                    worker.highest_token = 0;
                    worker.finished.clear();
                    worker.next_number = 1;
                    worker.highest_attempts.clear();
                }
                continue;
            }
            let ended: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, r)| r.ends_at <= self.now || r.until <= self.now)
                .map(|(task, r)| (*task, r.attempt, r.ends_at <= self.now))
                .collect();
            for (task, attempt, done) in ended {
                worker.running.remove(&task);
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
        }
    }

    pub(super) fn start(
        &mut self,
        w: usize,
        task: TaskName,
        attempt: u32,
        until: u64,
        token: u64,
    ) -> CommandReply {
        let length = self.rng.random_range(50..1_500);
        let is_fenced = self.mutant != Mutant::NoFencing && token < self.workers[w].highest_token;
        let worker = &mut self.workers[w];
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
        if until <= self.now {
            return CommandReply::Late;
        }
        if worker.running.len() >= 3 {
            return CommandReply::Full;
        }
        let running = Running {
            attempt,
            ends_at: self.now + length,
            until,
        };
        worker.running.insert(task, running);
        self.check_start(w, task);
        CommandReply::Ok
    }

    pub(super) fn check_start(&mut self, w: usize, task: TaskName) {
        let others = self.workers.iter().enumerate().filter(|(i, _)| *i != w);
        let other_runs = others
            .filter(|(_, o)| o.up && o.running.contains_key(&task))
            .count();
        if other_runs > 0 {
            self.violation = Some(format!("{task} runs on two workers at {}", self.now));
        }
        if self.acknowledged.contains(&task) {
            self.violation = Some(format!(
                "{task} starts after its acknowledged end at {}",
                self.now
            ));
        }
    }

    pub(super) fn stop(
        &mut self,
        w: usize,
        task: TaskName,
        attempt: u32,
        token: u64,
    ) -> CommandReply {
        let worker = &mut self.workers[w];
        if self.mutant != Mutant::NoFencing && token < worker.highest_token {
            return CommandReply::Fenced;
        }
        worker.highest_token = worker.highest_token.max(token);
        if worker
            .running
            .get(&task)
            .is_some_and(|running| running.attempt <= attempt)
        {
            let running = worker.running.remove(&task).expect("it runs");
            worker.record_end(task, running.attempt, EndReason::Stopped);
        }
        let highest = worker.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
        CommandReply::Ok
    }

    pub(super) fn is_reachable(&self, token: u64, w: usize) -> bool {
        let worker = &self.workers[w];
        worker.up
            && worker
                .unreachable_until
                .get(&token)
                .is_none_or(|until| *until <= self.now)
    }
}
