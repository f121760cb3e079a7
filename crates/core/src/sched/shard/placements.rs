//! The stored placements of long-running tasks.
//!
//! After a takeover, a task that an earlier leader may have started waits until all workers have
//! answered, since any may run it. A long-running task need not: its job's row names the worker that
//! has confirmed the task's run, and the task starts again only once a row that names no worker is
//! stored. So if a row names a worker, the task runs there or nowhere, and the next leader waits for
//! that worker only.
//!
//! The rows are written after the start, with the next group commit. The price is one more write
//! for each move of a long-running task, and that none restarts while the store is away.

use {
    super::state::{Job, Shard, Task, Worker},
    crate::{
        hash::HashSet,
        sched::{
            job::{JobId, TaskName},
            progress::{JobOutcome, PlacementRecord},
        },
    },
    std::time::Instant,
};

impl Shard {
    /// Returns whether tasks of a job may have runs of an earlier leader on workers that have not
    /// answered, as of the last dispatch.
    pub(super) fn is_held(&self, id: JobId) -> bool {
        self.has_unknown_runs && self.jobs.get(&id).is_some_and(|job| job.inherited)
    }

    /// Records that a worker has confirmed a run, which is stored if the task is long-running.
    ///
    /// Gangs and speculative tasks have several runs, so their placements are not stored.
    pub(super) fn on_run_confirmed(&mut self, worker_id: &str, name: TaskName, now: Instant) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let step = job.spec.steps.get(usize::from(name.step));
        if !step.is_some_and(|step| step.long_running && !step.gang && !step.speculative) {
            return;
        }
        let Some(task) = job.task(&name) else {
            return;
        };
        if task.workers.len() != 1 {
            return;
        }
        task.confirmed_on = Some(worker_id.to_owned());
        if task.placement != task.confirmed_on {
            self.mark_dirty(name.job, false, now);
        }
    }

    /// Ends the wait of tasks for the workers that their stored placements name, if these have
    /// answered or can have no run of an earlier leader any more. The next row names them only if
    /// they have the run.
    pub(super) fn resolve_placements(&mut self, now: Instant) {
        let unknown_runs_until = self.unknown_runs_until();
        let workers = &self.workers;
        let is_resolved = |id: &str| {
            let worker = workers.get(id);
            let has_answered = |w: &Worker| !w.is_inherited || w.answered_at.is_some();
            let has_passed = |w: &Worker| now >= w.earlier_runs_until(unknown_runs_until);
            worker.is_none_or(|w| has_answered(w) || has_passed(w))
        };
        let mut resolved = Vec::new();
        for (id, job) in &mut self.jobs {
            if !job.has_awaiting_tasks || job.outcome != JobOutcome::Open {
                continue;
            }
            job.has_awaiting_tasks = !job.stored_placements.is_empty();
            let occurrences = job.occurrences.iter_mut();
            let tasks = occurrences.flat_map(|o| o.tasks.iter_mut().flatten());
            for task in tasks.filter(|task| task.awaits_worker) {
                if !task.placement.as_deref().is_none_or(is_resolved) {
                    job.has_awaiting_tasks = true;
                    continue;
                }
                task.awaits_worker = false;
                if task.confirmed_on != task.placement {
                    resolved.push(*id);
                }
            }
        }
        for id in resolved {
            self.mark_dirty(id, true, now);
        }
    }
}

impl Task {
    /// Returns the worker that the next row names.
    fn next_placement(&self) -> Option<&String> {
        let awaited = self.placement.as_ref().filter(|_| self.awaits_worker);
        self.confirmed_on.as_ref().or(awaited)
    }
}

impl Job {
    /// Returns whether an earlier leader's row named the worker of any task that has no run.
    pub(super) fn has_located_tasks(&self) -> bool {
        let mut tasks = self
            .occurrences
            .iter()
            .flat_map(|o| o.tasks.iter().flatten());
        tasks.any(|task| task.is_located && task.workers.is_empty())
    }

    /// Returns the placements to store.
    pub(super) fn placement_records(&self) -> Vec<PlacementRecord> {
        let mut records = self.stored_placements.clone();
        for occurrence in &self.occurrences {
            for (step, tasks) in occurrence.tasks.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    if let Some(worker) = task.next_placement() {
                        records.push(PlacementRecord {
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                            worker: worker.clone(),
                        });
                    }
                }
            }
        }
        records
    }

    /// Records that a row of the job, whose id is `id`, is about to be stored; adds the tasks whose
    /// workers it names to `placed`.
    pub(super) fn on_placements_taken(&mut self, id: JobId, placed: &mut HashSet<TaskName>) {
        // Their occurrences may be added before the row is stored.
        placed.extend(self.stored_placements.iter().map(|record| TaskName {
            job: id,
            occurrence: record.occurrence,
            step: record.step,
            index: record.index,
        }));
        for (name, task) in self.named_tasks(id) {
            if let Some(worker) = task.next_placement().cloned() {
                task.placement = Some(worker);
                placed.insert(name);
            }
        }
    }

    /// Records that a row of the job is stored that names the workers of the tasks in `placed`
    /// only; returns whether a task may start now.
    pub(super) fn on_placements_stored(&mut self, id: JobId, placed: &HashSet<TaskName>) -> bool {
        let mut has_changed = false;
        for (name, task) in self.named_tasks(id) {
            if task.placement.is_some() && !placed.contains(&name) {
                task.placement = None;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the tasks of the added occurrences with their names.
    fn named_tasks(&mut self, id: JobId) -> impl Iterator<Item = (TaskName, &mut Task)> {
        self.occurrences.iter_mut().flat_map(move |occurrence| {
            let number = occurrence.number;
            let steps = occurrence.tasks.iter_mut().enumerate();
            steps.flat_map(move |(step, tasks)| {
                tasks.iter_mut().enumerate().map(move |(index, task)| {
                    let name = TaskName {
                        job: id,
                        occurrence: number,
                        step: step as u16,
                        index: index as u32,
                    };
                    (name, task)
                })
            })
        })
    }
}
