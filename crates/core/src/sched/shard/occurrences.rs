//! The occurrences of scheduled jobs: which of the due ones have tasks here.
//!
//! A caller may ask for any number of occurrences, and all of them may be due at once. What the leader
//! keeps, and looks at in each dispatch, must not grow with that number. So of the occurrences that
//! are due only the oldest are added, as many as have tasks that may start soon; the others are
//! counted. Tasks of a step are added once the step is ready. Those that are done are kept as
//! ranges.
//!
//! Occurrences that an earlier leader has begun are added first, whatever their number: those of the
//! stored records at once, and others when a worker reports a run or an end of them.

use {
    super::state::{Job, Occurrence, Shard, Task},
    crate::{
        hash::HashSet,
        sched::{
            job::{JobId, Step, TaskName},
            progress::JobOutcome,
        },
    },
    std::time::Instant,
};

/// The number of startable tasks up to which due occurrences are added, of all scheduled jobs together.
/// More than start in one dispatch.
const MAX_STARTABLE_TASKS: usize = 1_024;

/// The number of startable tasks up to which the due occurrences of each job are added.
const MIN_STARTABLE_TASKS: usize = 16;

/// The same if each step of an occurrence needs approvals of its own. The service that gives them
/// handles one request at a time.
const MAX_STARTABLE_UNAPPROVED: usize = 8;

/// The maximum length of the records of a scheduled job's open occurrences, in bytes, up to which more
/// are added: a row that the store refuses holds up all jobs of the shard.
const MAX_RECORD_BYTES: u64 = 48_000;

/// The length of the record of a task that is done.
const DONE_BYTES: u64 = 12;

/// The length of the record of a task that has a checkpoint or a stored placement.
const LONG_RECORD_BYTES: u64 = 40;

/// The maximum CPU that the occurrences of one job that were not added count as demand, in thousandths
/// of a core: more than any shard has, and small enough for sums over all jobs.
const MAX_DEMAND: i64 = 1_000_000_000_000;

impl Shard {
    /// Adds the oldest occurrences that are due at `unix_ms`, in milliseconds of Unix time, up to a
    /// limit of startable tasks, and the only occurrence of each other job.
    pub(super) fn add_due_occurrences(&mut self, now: Instant, unix_ms: u64) {
        let mut jobs_with_more = 0;
        for job in self.jobs.values_mut() {
            if job.outcome != JobOutcome::Open {
                continue;
            }
            job.due_occurrences = job.due_occurrences.max(job.spec.due_occurrences(unix_ms));
            self.changed |= job.add_recorded_occurrences();
            if job.unadded_occurrences() == 0 {
                continue;
            }
            if job.spec.occurrences == 0 {
                job.add_next_occurrence();
                self.changed = true;
            } else {
                jobs_with_more += 1;
            }
        }
        if jobs_with_more == 0 {
            return;
        }
        let limit = (MAX_STARTABLE_TASKS / jobs_with_more).max(MIN_STARTABLE_TASKS);
        for job in self.jobs.values_mut() {
            if job.outcome != JobOutcome::Open || job.unadded_occurrences() == 0 {
                continue;
            }
            let limit = if job.spec.needs_approval {
                limit.min(MAX_STARTABLE_UNAPPROVED)
            } else {
                limit
            };
            let mut startable = job.startable_tasks(limit, now);
            while startable < limit
                && job.unadded_occurrences() > 0
                && job.has_room_in_row()
                && job.add_next_occurrence()
            {
                startable += job.tasks_ready_at_first();
                self.changed = true;
            }
        }
    }

    /// Adds the occurrence of a task that a worker reports.
    pub(super) fn add_occurrence_of(&mut self, name: TaskName) {
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.add_occurrences(&[name.occurrence]);
        }
    }

    /// Forgets what was kept of an occurrence whose tasks are all done, but for those that still have
    /// runs.
    pub(super) fn on_occurrence_done(&mut self, id: JobId, number: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.occurrences_done.insert(number);
        job.done_with_runs.push(number);
        job.estimates.forget_occurrence(number);
        for step in 0..job.spec.steps.len() as u16 {
            job.step_times.remove(&(number, step));
            self.approvals.remove(&(id, number, step));
        }
        let candidates = std::mem::take(&mut job.done_with_runs);
        for number in candidates {
            let Some(index) = job.occurrence_index(number) else {
                continue;
            };
            let mut tasks = job.occurrences[index].tasks.iter().flatten();
            if tasks.any(|task| !task.workers.is_empty()) {
                job.done_with_runs.push(number);
            } else {
                job.occurrences.remove(index);
            }
        }
    }
}

impl Job {
    /// Returns an occurrence that was added and is not done, or still has runs.
    pub(super) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrence_index(number)
            .map(|index| &self.occurrences[index])
    }

    /// Returns the same for a change.
    pub(super) fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.occurrence_index(number)
            .map(|index| &mut self.occurrences[index])
    }

    fn occurrence_index(&self, number: u32) -> Option<usize> {
        let by_number = self.occurrences.binary_search_by_key(&number, |o| o.number);
        by_number.ok()
    }

    /// Returns a task; `None` if its occurrence is not in `occurrences` or has no such task.
    pub(super) fn task(&mut self, name: &TaskName) -> Option<&mut Task> {
        let index = self.occurrence_index(name.occurrence)?;
        let step = self.spec.steps.get(usize::from(name.step))?;
        let tasks = &mut self.occurrences[index].tasks[usize::from(name.step)];
        add_tasks(tasks, step);
        tasks.get_mut(name.index as usize)
    }

    /// Returns how many occurrences are due but neither added nor done.
    pub(super) fn unadded_occurrences(&self) -> u32 {
        let kept = self.occurrences_done.len() + self.occurrences.len() as u64;
        let unadded = u64::from(self.due_occurrences).saturating_sub(kept);
        u32::try_from(unadded).unwrap_or(u32::MAX)
    }

    /// Returns the CPU that the tasks of the due occurrences that were not added request, in thousandths
    /// of a core, of steps that `counts` admits.
    pub(super) fn unadded_cpu(&self, counts: impl Fn(&Step) -> bool) -> i64 {
        let unadded = i64::from(self.unadded_occurrences());
        let steps = self.spec.steps.iter().filter(|step| counts(step));
        let cpu = steps.map(|step| i64::from(step.count) * step.request.cpu);
        cpu.sum::<i64>().saturating_mul(unadded).min(MAX_DEMAND)
    }

    /// Returns the number of tasks that may start, at most `limit`.
    fn startable_tasks(&self, limit: usize, now: Instant) -> usize {
        let tasks = self
            .occurrences
            .iter()
            .flat_map(|o| o.tasks.iter().flatten());
        let startable = tasks.filter(|task| task.is_startable(false, now));
        startable.take(limit).count()
    }

    /// Returns whether the row has room for the records of one more occurrence. There is always room
    /// for one.
    fn has_room_in_row(&self) -> bool {
        let bytes_of = |step: &Step| {
            let is_long = step.checkpoints || step.long_running;
            let bytes = if is_long {
                LONG_RECORD_BYTES
            } else {
                DONE_BYTES
            };
            u64::from(step.count) * bytes
        };
        // Once its last task is done, an occurrence needs no records.
        let bytes: u64 = self.spec.steps.iter().map(bytes_of).sum();
        let bytes = bytes - DONE_BYTES;
        let open = self.occurrences.len() as u64;
        open == 0 || bytes.saturating_mul(open + 1) <= MAX_RECORD_BYTES
    }

    /// Returns the number of tasks of an occurrence that depend on no step.
    fn tasks_ready_at_first(&self) -> usize {
        let steps = self.spec.steps.iter();
        let ready = steps.filter(|step| step.after.is_empty());
        ready.map(|step| step.count as usize).sum()
    }

    /// Adds the due occurrences of which there are stored records; returns whether there were any.
    fn add_recorded_occurrences(&mut self) -> bool {
        let records = self.records.iter().map(|r| r.occurrence);
        let losses = self.stored_losses.iter().map(|r| r.occurrence);
        let placements = self.stored_placements.iter().map(|r| r.occurrence);
        let recorded: HashSet<_> = records.chain(losses).chain(placements).collect();
        let due = self.due_occurrences;
        let mut numbers: Vec<_> = recorded.into_iter().filter(|n| *n < due).collect();
        numbers.sort_unstable();
        self.add_occurrences(&numbers)
    }

    /// Adds the first occurrence that was neither added nor done; returns false if there is none.
    fn add_next_occurrence(&mut self) -> bool {
        while let Some(number) = self.occurrences_done.first_absent(self.next_occurrence)
            && number < self.spec.occurrence_count()
        {
            self.next_occurrence = number.saturating_add(1);
            if self.add_occurrences(&[number]) {
                return true;
            }
        }
        false
    }

    /// Adds occurrences with their stored progress, except those that were added or are done; returns
    /// whether any was added.
    fn add_occurrences(&mut self, numbers: &[u32]) -> bool {
        let mut is_any_added = false;
        for number in numbers {
            let is_valid = *number < self.spec.occurrence_count();
            let index = self.occurrences.binary_search_by_key(number, |o| o.number);
            if let Err(index) = index
                && is_valid
                && !self.occurrences_done.contains(*number)
            {
                let occurrence = Occurrence::new(*number, &self.spec.steps);
                self.occurrences.insert(index, occurrence);
                is_any_added = true;
            }
        }
        if is_any_added {
            self.restore_records();
        }
        is_any_added
    }

    /// Applies the stored records of the occurrences that were added.
    fn restore_records(&mut self) {
        let mut finished_steps = false;
        for record in std::mem::take(&mut self.records) {
            let Some(index) = self.occurrence_index(record.occurrence) else {
                self.records.push(record);
                continue;
            };
            let occurrence = &mut self.occurrences[index];
            let Some(task) = occurrence.restored_task(&self.spec.steps, record.step, record.index)
            else {
                continue;
            };
            task.attempt = record.failed.iter().copied().max().unwrap_or(0);
            task.failed_attempts = record.failed;
            task.checkpoint = record.checkpoint;
            if record.done && !std::mem::replace(&mut task.done, true) {
                let remaining = &mut occurrence.remaining[usize::from(record.step)];
                *remaining -= 1;
                finished_steps |= *remaining == 0;
            }
        }
        for record in std::mem::take(&mut self.stored_losses) {
            let Some(index) = self.occurrence_index(record.occurrence) else {
                self.stored_losses.push(record);
                continue;
            };
            let occurrence = &mut self.occurrences[index];
            if let Some(task) =
                occurrence.restored_task(&self.spec.steps, record.step, record.index)
            {
                task.restore_losses(&record);
            }
        }
        for record in std::mem::take(&mut self.stored_placements) {
            let Some(index) = self.occurrence_index(record.occurrence) else {
                self.stored_placements.push(record);
                continue;
            };
            let occurrence = &mut self.occurrences[index];
            if let Some(task) =
                occurrence.restored_task(&self.spec.steps, record.step, record.index)
            {
                task.placement = Some(record.worker);
                task.is_located = true;
                task.awaits_worker = true;
            }
        }
        if finished_steps {
            for occurrence in &mut self.occurrences {
                occurrence.add_ready_tasks(&self.spec.steps);
            }
        }
    }
}

impl Occurrence {
    /// Returns an occurrence of which no task is done.
    fn new(number: u32, steps: &[Step]) -> Self {
        let mut occurrence = Self {
            number,
            remaining: steps.iter().map(|step| step.count).collect(),
            tasks: vec![Vec::new(); steps.len()],
        };
        occurrence.add_ready_tasks(steps);
        occurrence
    }

    /// Adds the tasks of the steps that are ready.
    pub(super) fn add_ready_tasks(&mut self, steps: &[Step]) {
        for (i, step) in steps.iter().enumerate() {
            if self.tasks[i].is_empty() && self.is_ready(i, step) {
                add_tasks(&mut self.tasks[i], step);
            }
        }
    }

    /// Returns whether a step, with the given index, has tasks left and depends on no unfinished
    /// step.
    pub(super) fn is_ready(&self, index: usize, step: &Step) -> bool {
        let is_done = |a: &u16| self.remaining[usize::from(*a)] == 0;
        self.remaining[index] > 0 && step.after.iter().all(is_done)
    }

    /// Returns whether tasks of a step that are not done were not added yet.
    pub(super) fn has_unadded_tasks(&self) -> bool {
        let mut steps = self.remaining.iter().zip(&self.tasks);
        steps.any(|(remaining, tasks)| *remaining > 0 && tasks.is_empty())
    }

    /// Returns the task that a stored record names, if there is one.
    fn restored_task(&mut self, steps: &[Step], step: u16, index: u32) -> Option<&mut Task> {
        let tasks = self.tasks.get_mut(usize::from(step))?;
        add_tasks(tasks, steps.get(usize::from(step))?);
        tasks.get_mut(index as usize)
    }
}

/// Adds the tasks of a step unless that was done before.
fn add_tasks(tasks: &mut Vec<Task>, step: &Step) {
    if tasks.is_empty() {
        tasks.resize(step.count as usize, Task::default());
    }
}
