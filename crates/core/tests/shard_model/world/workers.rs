//! Workers: what they run, fence and list, and what must not happen there.

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
    pub(super) back_at: u64,
    pub(super) started_ms: u64,
    pub(super) fence: u64,
    pub(super) running: HashMap<TaskName, Running>,
    pub(super) finished: Vec<FinishedRow>,
    pub(super) next_number: u64,
    pub(super) highest: HashMap<TaskName, u32>,
    /// Until when each leader can't reach it.
    pub(super) cut: HashMap<u64, u64>,
}

impl Worker {
    pub(super) fn end(&mut self, task: TaskName, attempt: u32, reason: EndReason) {
        self.finished.push(FinishedRow {
            number: self.next_number,
            task,
            attempt,
            reason,
            checkpoint: String::new(),
        });
        self.next_number += 1;
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(attempt);
    }
}

impl World {
    pub(super) fn run_workers(&mut self) {
        for worker in &mut self.workers {
            if !worker.up {
                if self.now >= worker.back_at {
                    worker.up = true;
                    worker.started_ms = self.now + 10;
                    worker.fence = 0;
                    worker.finished.clear();
                    worker.next_number = 1;
                    worker.highest.clear();
                }
                continue;
            }
            let over: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, r)| r.ends_at <= self.now || r.until <= self.now)
                .map(|(task, r)| (*task, r.attempt, r.ends_at <= self.now))
                .collect();
            for (task, attempt, done) in over {
                worker.running.remove(&task);
                worker.end(
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
        let fenced = self.mutant != Mutant::NoFence && token < self.workers[w].fence;
        let worker = &mut self.workers[w];
        if fenced {
            return CommandReply::Fenced;
        }
        worker.fence = worker.fence.max(token);
        if let Some(running) = worker.running.get(&task)
            && running.attempt == attempt
        {
            return CommandReply::Ok;
        }
        if worker.highest.get(&task).is_some_and(|h| *h >= attempt)
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
        let twice = others
            .filter(|(_, o)| o.up && o.running.contains_key(&task))
            .count();
        if twice > 0 {
            self.broken = Some(format!("{task} runs twice at {}", self.now));
        }
        if self.acknowledged.contains(&task) {
            self.broken = Some(format!("{task} starts after its end at {}", self.now));
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
        if self.mutant != Mutant::NoFence && token < worker.fence {
            return CommandReply::Fenced;
        }
        worker.fence = worker.fence.max(token);
        if worker
            .running
            .get(&task)
            .is_some_and(|r| r.attempt <= attempt)
        {
            let running = worker.running.remove(&task).expect("it runs");
            worker.end(task, running.attempt, EndReason::Stopped);
        }
        let highest = worker.highest.entry(task).or_default();
        *highest = (*highest).max(attempt);
        CommandReply::Ok
    }

    pub(super) fn reaches(&self, token: u64, w: usize) -> bool {
        let worker = &self.workers[w];
        worker.up
            && worker
                .cut
                .get(&token)
                .is_none_or(|until| *until <= self.now)
    }
}
