//! Finds the best worker for a task.
//!
//! The tasks of a step differ only in their names. So the workers are rated once for all tasks of a
//! step that start in one dispatch, and after each start only the worker that got it is rated again.

use {
    super::state::{Approvals, Shard, Worker},
    crate::sched::{
        interference::Image,
        job::{Step, TaskName},
        placement::{Candidate, choose},
    },
    std::time::Instant,
};

/// The best workers for the tasks of one step, kept during one dispatch.
#[derive(Debug, Default)]
pub(super) struct Ranking {
    /// Whether the workers were rated for forced tasks; `None` before the first rating.
    forced: Option<bool>,
    /// The ratings and ids of the best workers, in no order.
    best: Vec<(i64, String)>,
    /// The rating and id of the best worker that is not in `best`; `None` if all are in it.
    best_of_rest: Option<(i64, String)>,
}

impl Ranking {
    /// Returns the best worker; `None` if it is not in the ranking or there is none.
    fn first(&self) -> Option<&(i64, String)> {
        let first = self.best.iter().max()?;
        let rest = self.best_of_rest.as_ref();
        rest.is_none_or(|rest| first > rest).then_some(first)
    }
}

impl Shard {
    /// Returns whether a worker has the label that a step requires and is below the step's limit of
    /// tasks per worker; free resources are not considered.
    pub(super) fn is_eligible(&self, worker: &Worker, name: TaskName, step: &Step) -> bool {
        let labels = &worker.info.labels;
        let has_label = step
            .required_label
            .as_ref()
            .is_none_or(|required_label| labels.contains(required_label));
        has_label && (step.max_per_worker == 0 || worker.sibling_runs(name) < step.max_per_worker)
    }

    /// Returns the id of the best worker for a task among those that `may_use` admits; `None` if the
    /// task fits on none of them.
    ///
    /// A `forced` task may be placed where it interferes with serving tasks.
    pub(super) fn find_worker(
        &self,
        name: TaskName,
        service: &str,
        step: &Step,
        may_use: impl Fn(&Worker) -> bool,
        forced: bool,
        now: Instant,
    ) -> Option<String> {
        let approvals = self.approvals.get(&(name.job, name.occurrence, name.step));
        let image = self.interference.find_image(&step.image);
        let available_workers = self.workers.values().filter(|w| {
            self.is_available(w, service, step, approvals, now)
                && may_use(w)
                && !w.runs.contains_key(&name)
        });
        let candidates = available_workers.map(|w| {
            let candidate = self.candidate(w, name, step, image, forced, now);
            (w.info.id.as_str(), candidate)
        });
        choose(candidates, step).map(str::to_owned)
    }

    /// Returns the same as [`find_worker`](Self::find_worker) among all workers, from the
    /// ranking of the step in this dispatch, which it makes first if needed.
    ///
    /// `remaining` is the number of tasks of the step that may still need a worker.
    #[expect(
        clippy::too_many_arguments,
        reason = "these are the arguments of find_worker with the ranking"
    )]
    pub(super) fn find_ranked(
        &self,
        ranking: &mut Ranking,
        name: TaskName,
        service: &str,
        step: &Step,
        forced: bool,
        remaining: usize,
        now: Instant,
    ) -> Option<String> {
        let is_usable = ranking.forced == Some(forced)
            && (ranking.first().is_some() || ranking.best_of_rest.is_none());
        if !is_usable {
            *ranking = self.rank(name, service, step, forced, remaining, now);
        }
        let (_, id) = ranking.first()?;
        let has_task = |w: &Worker| w.runs.contains_key(&name);
        if self.workers.get(id).is_some_and(has_task) {
            return self.find_worker(name, service, step, |_| true, forced, now);
        }
        Some(id.clone())
    }

    /// Rates a worker again that got a task of the ranking's step.
    pub(super) fn update_ranking(
        &self,
        ranking: &mut Ranking,
        worker_id: &str,
        name: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) {
        let Some(forced) = ranking.forced else {
            return;
        };
        ranking.best.retain(|(_, id)| id != worker_id);
        let approvals = self.approvals.get(&(name.job, name.occurrence, name.step));
        let image = self.interference.find_image(&step.image);
        let worker = self.workers.get(worker_id);
        let available = worker.filter(|w| self.is_available(w, service, step, approvals, now));
        let candidate = available.map(|w| self.candidate(w, name, step, image, forced, now));
        if let Some(rating) = candidate.and_then(|c| c.rating(step)) {
            ranking.best.push((rating, worker_id.to_owned()));
        }
    }

    /// Rates all workers for the tasks of a step, and keeps the `count` best.
    fn rank(
        &self,
        name: TaskName,
        service: &str,
        step: &Step,
        forced: bool,
        count: usize,
        now: Instant,
    ) -> Ranking {
        let approvals = self.approvals.get(&(name.job, name.occurrence, name.step));
        let image = self.interference.find_image(&step.image);
        let available = self
            .workers
            .values()
            .filter(|w| self.is_available(w, service, step, approvals, now));
        let rated = available.filter_map(|w| {
            let candidate = self.candidate(w, name, step, image, forced, now);
            Some((candidate.rating(step)?, w.info.id.as_str()))
        });
        let mut rated: Vec<_> = rated.collect();
        let to_owned = |(rating, id): &(i64, &str)| (*rating, (*id).to_owned());
        let mut best_of_rest = None;
        if count < rated.len() {
            let (_, next, _) = rated.select_nth_unstable_by(count, |a, b| b.cmp(a));
            best_of_rest = Some(to_owned(next));
            rated.truncate(count);
        }
        Ranking {
            forced: Some(forced),
            best: rated.iter().map(to_owned).collect(),
            best_of_rest,
        }
    }

    /// Returns whether a worker may get tasks of a step, whatever its free resources are.
    fn is_available(
        &self,
        worker: &Worker,
        service: &str,
        step: &Step,
        approvals: Option<&Approvals>,
        now: Instant,
    ) -> bool {
        let has_approval = |a: &Approvals| {
            let approval = a.by_worker.get(&worker.info.id);
            approval.is_some_and(|(_, started_ms)| *started_ms == worker.info.started_ms)
        };
        worker.info.service == service
            && worker.accepts_work(now)
            && (step.best_effort || !self.held_back_workers.contains(&worker.info.id))
            && approvals.is_none_or(has_approval)
    }

    /// Returns what the choice of a worker for a task depends on.
    fn candidate<'a>(
        &self,
        worker: &'a Worker,
        name: TaskName,
        step: &Step,
        image: Image,
        forced: bool,
        now: Instant,
    ) -> Candidate<'a> {
        let (interference_cost, headroom) = if step.best_effort {
            self.headroom_effect(worker, image, step.request.cpu)
        } else {
            (0.0, 0.0)
        };
        Candidate {
            info: &worker.info,
            free: worker.free,
            best_effort_cpu: worker.best_effort_cpu,
            serving_cpu: worker.serving_cpu,
            serving_runs: worker.serving_runs,
            same_image_runs: if step.latency_target_ms > 0.0 {
                worker.same_image_runs(image)
            } else {
                0
            },
            interference_cost,
            headroom,
            forced,
            on_probation: worker.is_on_probation(now),
            speed: worker.current_speed,
            doubted: worker.is_doubted(now),
            sibling_runs: if step.max_per_worker > 0 {
                worker.sibling_runs(name)
            } else {
                0
            },
        }
    }
}

impl Worker {
    /// Returns how many runs of the task's step and occurrence the worker has.
    fn sibling_runs(&self, name: TaskName) -> u32 {
        let step_of = |t: &TaskName| (t.job, t.occurrence, t.step);
        self.runs
            .keys()
            .filter(|t| step_of(t) == step_of(&name))
            .count() as u32
    }

    /// Returns how many serving runs of an image the worker has.
    fn same_image_runs(&self, image: Image) -> u32 {
        let serving = self.runs.values().filter(|run| run.latency_target_ms > 0.0);
        serving.filter(|run| run.image == image).count() as u32
    }
}
