//! Gang scheduling. The tasks of a gang step, its members, run only together, so either all of them
//! start or none.

use {
    super::state::{RunPhase, Shard},
    crate::sched::job::{Step, TaskName},
    std::time::Instant,
};

impl Shard {
    /// Starts all members of a gang, or none if they don't all fit; returns false in that case.
    ///
    /// For a step with `same_rack`, the workers of each rack are tried first, then all workers.
    pub(super) fn dispatch_gang(
        &mut self,
        name: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) -> bool {
        let members = (0..step.count).map(|index| TaskName { index, ..name });
        let members: Vec<_> = members.collect();
        let is_held = self.is_held(name.job);
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return true;
        };
        let mut attempt = 0;
        let mut checkpoint = String::new();
        for member in &members {
            let Some(task) = job.task(member) else {
                return true;
            };
            if !task.is_startable(is_held, now) {
                return true;
            }
            attempt = attempt.max(task.attempt);
            if task.checkpoint > checkpoint {
                checkpoint.clone_from(&task.checkpoint);
            }
        }
        attempt = (attempt + 1).max(self.min_attempt(name.job));
        let racks = if step.same_rack {
            self.racks()
        } else {
            Vec::new()
        };
        let rack_limits = racks.into_iter().map(Some).chain([None]);
        for rack in rack_limits {
            let mut limited_step = step.clone();
            if rack.is_some() {
                limited_step.required_label.clone_from(&rack);
            }
            // The rack takes the place of the required label, so a step that has a required label
            // is not placed on a single rack.
            if rack.is_some() && step.required_label.is_some() {
                continue;
            }
            let mut placed = Vec::new();
            for member in &members {
                let Some(worker) =
                    self.find_worker(*member, service, &limited_step, |_| true, false, now)
                else {
                    break;
                };
                if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task(member)) {
                    task.attempt = attempt - 1;
                    task.checkpoint.clone_from(&checkpoint);
                }
                self.add_run(&worker, *member, attempt, RunPhase::Sent, now);
                placed.push((worker, *member));
            }
            if placed.len() == members.len() {
                for (worker, member) in placed {
                    self.reserve_attempts(member, attempt, now);
                    self.record_start(&worker, member, now);
                    self.queue_start(&worker, member, now);
                }
                return true;
            }
            for (worker, member) in placed {
                self.remove_run(&worker, member, now);
                if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task(&member)) {
                    task.attempt = attempt - 1;
                }
            }
        }
        false
    }

    /// Returns all labels of the workers, sorted; a worker's rack is among its labels.
    fn racks(&self) -> Vec<String> {
        let labels = self.workers.values().flat_map(|w| w.info.labels.iter());
        let mut labels: Vec<_> = labels.cloned().collect();
        labels.sort();
        labels.dedup();
        labels
    }
}
