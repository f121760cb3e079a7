//! One job: its rounds, where its tasks run, and its turn.

use {
    super::state::{Job, Occurrence, Task},
    crate::sched::{
        job::{JobId, TaskName},
        progress::{Progress, TaskRecord},
    },
    std::time::Instant,
};

impl Job {
    /// Returns where its tasks run.
    pub(super) fn runs(&self, id: JobId) -> impl Iterator<Item = (String, TaskName)> + '_ {
        self.occurrences.iter().flat_map(move |occurrence| {
            occurrence
                .tasks
                .iter()
                .enumerate()
                .flat_map(move |(step, tasks)| {
                    tasks.iter().enumerate().flat_map(move |(index, task)| {
                        let name = TaskName {
                            job: id,
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                        };
                        task.workers.iter().map(move |w| (w.clone(), name))
                    })
                })
        })
    }

    pub(super) fn task(&mut self, name: &TaskName) -> Option<&mut Task> {
        let occurrence = self
            .occurrences
            .iter_mut()
            .find(|r| r.number == name.occurrence)?;
        let tasks = occurrence.tasks.get_mut(usize::from(name.step))?;
        tasks.get_mut(name.index as usize)
    }

    /// Returns the processor that its open steps ask for: what is kept free, and what fills.
    pub(super) fn demand(&self) -> (i64, i64) {
        let mut reserved = 0;
        let mut best_effort = 0;
        for occurrence in &self.occurrences {
            for (remaining, step) in occurrence.remaining.iter().zip(&self.spec.steps) {
                let asked = i64::from(*remaining) * step.request.cpu;
                if step.best_effort {
                    best_effort += asked;
                } else {
                    reserved += asked;
                }
            }
        }
        (reserved, best_effort)
    }

    pub(super) fn progress(&self) -> Progress {
        let mut tasks = Vec::new();
        for occurrence in &self.occurrences {
            for (step, of_step) in occurrence.tasks.iter().enumerate() {
                for (index, task) in of_step.iter().enumerate() {
                    if task.done || !task.failed.is_empty() || !task.checkpoint.is_empty() {
                        tasks.push(TaskRecord {
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                            done: task.done,
                            failed: task.failed.clone(),
                            checkpoint: if task.done {
                                String::new()
                            } else {
                                task.checkpoint.clone()
                            },
                        });
                    }
                }
            }
        }
        let made = |r: &TaskRecord| {
            self.occurrences
                .iter()
                .any(|occurrence| occurrence.number == r.occurrence)
        };
        tasks.extend(self.records.iter().filter(|r| !made(r)).cloned());
        Progress {
            outcome: self.outcome,
            finished_ms: self.finished_ms,
            started: self.started,
            occurrences_done: self.occurrences_done.clone(),
            tasks,
        }
    }
}

/// How many times its objective a job may take and still be of some use.
const LATE_FACTOR: u64 = 3;

/// Which jobs of one priority go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lateness {
    /// Those that can be in time.
    InTime,
    /// Those that can only be late, but not too late.
    Late,
    /// Those that are too late in any case.
    TooLate,
}

impl Job {
    /// Returns the work that is left by the caller's estimates, in thousandths of a core times
    /// milliseconds.
    pub(super) fn remaining_work(&self) -> u64 {
        let of_round = |occurrence: &Occurrence| {
            let steps = occurrence.remaining.iter().zip(&self.spec.steps);
            let work = steps.map(|(remaining, step)| {
                let cpu = u64::try_from(step.request.cpu).unwrap_or(0);
                u64::from(*remaining) * u64::from(step.estimate_ms) * cpu
            });
            work.sum::<u64>()
        };
        self.occurrences.iter().map(of_round).sum()
    }

    pub(super) fn lateness(&self, now: Instant) -> Lateness {
        if self.spec.occurrences > 0 {
            return Lateness::InTime;
        }
        let remaining = self
            .occurrences
            .first()
            .map_or(&[][..], |occurrence| &occurrence.remaining);
        let chain = self.spec.critical_path_ms(remaining);
        let took = now.duration_since(self.accepted_at).as_millis() as u64;
        let objective = self.spec.target_duration_ms();
        if took + chain <= objective {
            Lateness::InTime
        } else if took + chain <= objective * LATE_FACTOR {
            Lateness::Late
        } else {
            Lateness::TooLate
        }
    }

    /// Makes the next round, with what is stored of it.
    pub(super) fn add_occurrence(&mut self) {
        let number = self.next_occurrence;
        self.next_occurrence += 1;
        if self.occurrences_done.contains(&number) {
            return;
        }
        let steps = self.spec.steps.iter();
        let mut occurrence = Occurrence {
            number,
            remaining: steps.clone().map(|step| step.count).collect(),
            tasks: steps
                .map(|step| vec![Task::default(); step.count as usize])
                .collect(),
        };
        for record in self.records.iter().filter(|r| r.occurrence == number) {
            let of_step = occurrence.tasks.get_mut(usize::from(record.step));
            let Some(task) = of_step.and_then(|s| s.get_mut(record.index as usize)) else {
                continue;
            };
            task.failed.clone_from(&record.failed);
            let newest = record.failed.iter().copied().max();
            task.attempt = newest.unwrap_or(0);
            task.checkpoint.clone_from(&record.checkpoint);
            if record.done {
                task.done = true;
                occurrence.remaining[usize::from(record.step)] -= 1;
            }
        }
        self.records.retain(|r| r.occurrence != number);
        self.occurrences.push(occurrence);
    }
}
