//! Displacement: stops long-running tasks to make room for short work that can be in time.
//!
//! A long-running task that has started keeps its room for as long as its job lasts. If such tasks
//! hold nearly all workers, what they leave free is too small for a task that ends by itself, and all
//! waiting short jobs become useless together. So single long-running tasks are stopped, and start
//! again when the short work needs their room no more:
//!
//! - The need is forecast from the work: the short jobs that wait and can still be in time, in the
//!   order in which they are served, against what the CPU of short work completes until each must end.
//! - For each job that would be late, as many tasks are stopped as give it the missing CPU, and only if
//!   the job's work, weighted by [`URGENT_WEIGHT`], exceeds what the stopped tasks lose.
//! - A task is stopped only if a waiting task fits on its worker then, its step allows it (see the
//!   module `disruption`), no other task of its step is displaced, and it has worked for
//!   [`MIN_TIME_AT_WORK`].
//! - None is stopped while long-running work holds less of the service than short work, while runs of
//!   an earlier leader may be unknown, or while a displaced task waits for its row to be stored, without
//!   which it doesn't start again.
//! - A stopped task may start again after [`MIN_TIME_AWAY`], before other long-running tasks and after
//!   the short ones.

use {
    super::state::{Job, RunPhase, Shard, Worker},
    crate::{
        hash::{HashMap, HashSet},
        sched::{
            job::{JobId, Resources, Step, TaskName},
            placement::reserved,
            progress::JobOutcome,
        },
    },
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// The time between two choices of tasks to stop.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of tasks that one choice stops. Each takes two commands and one stored row.
const MAX_STOPS: usize = 8;

/// Tasks of one in this many workers may be displaced at a time.
const DISPLACED_DIVISOR: usize = 3;

/// The minimum time that a task works after its start before it may be stopped.
const MIN_TIME_AT_WORK: Duration = Duration::from_secs(6);

/// The minimum time between a stop and the next start of the task. The platform reports a violation
/// if a task waits beside free resources for 3 s.
const MIN_TIME_AWAY: Duration = Duration::from_millis(1_500);

/// The expected time from the choice of a task until its room is free: a stop takes at most 0.9 s, and
/// its end is reported then.
const STOP_MS: i64 = 500;

/// The maximum time from the choice of a task until the row is stored without which it doesn't start
/// again. Until then a stop, a report and a group commit take place; after it the store is slow or away.
const MAX_STORE_TIME: Duration = Duration::from_secs(2);

/// For how long a displaced task earns nothing at least: a stop, a wait and a start-up.
const AWAY_MS: i64 = 3_000;

/// How much more a core-second is worth to work that must end within its objective than to a task
/// that runs on.
const URGENT_WEIGHT: i64 = 4;

/// The share of the CPU of short work, in percent, that does such work. The rest is lost between two
/// tasks and to places that are larger than the tasks.
const EFFICIENCY_PERCENT: i64 = 80;

/// The long-running tasks that were stopped to make room for short work.
#[derive(Debug, Default)]
pub(super) struct Displacement {
    /// The displaced tasks that don't run again yet.
    away: HashMap<TaskName, Stopped>,
    /// When tasks were last chosen; `None` before the first time.
    chosen_at: Option<Instant>,
    /// How many tasks were stopped.
    count: u64,
}

/// A task that was stopped.
#[derive(Clone, Debug)]
struct Stopped {
    worker: String,
    chosen_at: Instant,
    /// The CPU that short work gets by the stop, in thousandths of a core.
    usable_cpu: i64,
}

/// A waiting short job that can be in time.
struct Need<'a> {
    priority: u8,
    /// The remaining work, in thousandths of a core times milliseconds.
    work: i64,
    /// The time until the job must end, in milliseconds.
    time_ms: i64,
    id: JobId,
    service: &'a str,
    /// The first step of which a task waits, and that step's first such task.
    step: &'a Step,
    name: TaskName,
}

/// A run that may be stopped.
#[derive(Clone, Copy)]
struct Victim<'a> {
    worker: &'a Worker,
    name: TaskName,
    priority: u8,
    cpu: i64,
    request: Resources,
    /// Whether the task would lose work: it neither serves requests nor has a checkpoint.
    loses_work: bool,
}

impl Shard {
    /// Stops long-running tasks for the short jobs that wait, after a dispatch.
    pub(super) fn displace_long_running(&mut self, now: Instant) {
        if !self.params.displace_long_running {
            return;
        }
        let last = self.displacement.chosen_at;
        if last.is_some_and(|at| now.duration_since(at) < CHOICE_INTERVAL) {
            return;
        }
        self.displacement.chosen_at = Some(now);
        self.forget_restarted_tasks(now);
        if self.has_unknown_runs || self.awaits_stored_placement(now) {
            return;
        }
        for (name, stopped) in self.choose_displaced(now) {
            log::info!(
                "jobs: task={name} worker={} displaced for short work: usable_cpu={} away={}.",
                stopped.worker,
                stopped.usable_cpu,
                self.displacement.away.len() + 1,
            );
            self.stop_run(&stopped.worker, name);
            if let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task(&name)) {
                task.not_before = Some(now + MIN_TIME_AWAY);
            }
            self.displacement.away.insert(name, stopped);
            self.displacement.count += 1;
        }
    }

    /// Returns how many displaced tasks don't run again yet.
    pub(super) fn displaced_count(&self) -> usize {
        self.displacement.away.len()
    }

    /// Returns how many tasks were stopped in all.
    pub(super) fn displacement_count(&self) -> u64 {
        self.displacement.count
    }

    /// Forgets the tasks that are at work again or have ended.
    fn forget_restarted_tasks(&mut self, now: Instant) {
        let jobs = &mut self.jobs;
        let workers = &self.workers;
        self.displacement.away.retain(|name, _| {
            let job = jobs.get_mut(&name.job);
            let job = job.filter(|j| j.outcome == JobOutcome::Open);
            let Some(task) = job.and_then(|j| j.task(name)) else {
                return false;
            };
            let is_at_work = |id: &String| {
                let worker = workers.get(id);
                worker.is_some_and(|w| w.is_at_work(name, now))
            };
            !task.workers.iter().any(is_at_work)
        });
    }

    /// Returns whether a displaced task has waited for [`MAX_STORE_TIME`] for its row to be stored.
    fn awaits_stored_placement(&mut self, now: Instant) -> bool {
        let jobs = &mut self.jobs;
        self.displacement.away.iter().any(|(name, stopped)| {
            let task = jobs.get_mut(&name.job).and_then(|j| j.task(name));
            let awaits_row = task.is_some_and(|t| t.workers.is_empty() && t.placement.is_some());
            awaits_row && now.duration_since(stopped.chosen_at) >= MAX_STORE_TIME
        })
    }

    /// Returns the short jobs that wait for room and can be in time if they get it after a stop, in
    /// the order in which they are served.
    fn short_needs(&self, now: Instant) -> Vec<Need<'_>> {
        let open = self.jobs.iter().filter(|(_, job)| {
            job.outcome == JobOutcome::Open && !job.moving && !job.is_long_running()
        });
        let needs = open.filter_map(|(id, job)| {
            let time_ms = job.time_left_ms(now)? - STOP_MS;
            if job.slack_ms(now)? < STOP_MS {
                return None;
            }
            let (name, step) = self.first_waiting(*id, job, now)?;
            Some(Need {
                priority: job.spec.priority,
                work: job.remaining_work() as i64,
                time_ms,
                id: *id,
                service: &job.spec.service,
                step,
                name,
            })
        });
        let mut needs: Vec<_> = needs.collect();
        needs.sort_unstable_by_key(|need| (need.priority, need.work, need.id));
        needs
    }

    /// Returns the first task of a job that waits for room, and its step.
    fn first_waiting<'a>(
        &self,
        id: JobId,
        job: &'a Job,
        now: Instant,
    ) -> Option<(TaskName, &'a Step)> {
        let is_held = self.is_held(id);
        job.occurrences.iter().find_map(|occurrence| {
            let steps = job.spec.steps.iter().enumerate();
            let mut ready = steps.filter(|(i, step)| {
                !step.best_effort && !step.gang && occurrence.is_ready(*i, step)
            });
            ready.find_map(|(i, step)| {
                let name = TaskName {
                    job: id,
                    occurrence: occurrence.number,
                    step: i as u16,
                    index: 0,
                };
                let key = (name.job, name.occurrence, name.step);
                if job.spec.needs_approval && !self.approvals.contains_key(&key) {
                    return None;
                }
                let mut tasks = occurrence.tasks[i].iter();
                let index = tasks.position(|task| task.is_startable(is_held, now))? as u32;
                Some((TaskName { index, ..name }, step))
            })
        })
    }

    /// Returns the tasks to stop.
    fn choose_displaced(&self, now: Instant) -> Vec<(TaskName, Stopped)> {
        let needs = self.short_needs(now);
        let max_displaced = self.workers.len() / DISPLACED_DIVISOR + 1;
        let away = self.displacement.away.len();
        let mut budget = max_displaced.saturating_sub(away).min(MAX_STOPS);
        if needs.is_empty() || budget == 0 {
            return Vec::new();
        }
        let mut victims = self.victims(now);
        let mut supplies: HashMap<&str, Supply> = HashMap::default();
        let mut chosen = Vec::new();
        for need in &needs {
            let supply = supplies
                .entry(need.service)
                .or_insert_with(|| self.supply(need.service, now));
            supply.work += need.work;
            let missing_cpu = supply.missing_cpu(need.time_ms);
            if missing_cpu <= 0 || self.fits_now(need, now) {
                continue;
            }
            let stops = self.stops_for(need, missing_cpu, budget, supply, &victims, now);
            let lost: i64 = stops.iter().map(|(victim, _)| victim.cpu * AWAY_MS).sum();
            if stops.is_empty() || need.work * URGENT_WEIGHT <= lost {
                supply.work -= need.work;
                continue;
            }
            let mut used_steps = HashSet::default();
            let mut used_workers = HashSet::default();
            for (victim, usable_cpu) in &stops {
                supply.cpu += usable_cpu;
                supply.long_running_cpu -= victim.cpu;
                used_steps.insert((victim.name.job, victim.name.step));
                used_workers.insert(victim.worker.info.id.as_str());
                let stopped = Stopped {
                    worker: victim.worker.info.id.clone(),
                    chosen_at: now,
                    usable_cpu: *usable_cpu,
                };
                chosen.push((victim.name, stopped));
            }
            budget -= stops.len();
            if budget == 0 {
                break;
            }
            victims.retain(|v| {
                !used_steps.contains(&(v.name.job, v.name.step))
                    && !used_workers.contains(v.worker.info.id.as_str())
            });
        }
        chosen
    }

    /// Returns whether the waiting task of a job fits on a worker, so that it waits for something else.
    fn fits_now(&self, need: &Need<'_>, now: Instant) -> bool {
        let found = self.find_worker(need.name, need.service, need.step, |_| true, false, now);
        found.is_some()
    }

    /// Returns the runs to stop for a job that lacks CPU, and the CPU that each makes usable.
    fn stops_for<'a>(
        &self,
        need: &Need<'_>,
        missing_cpu: i64,
        budget: usize,
        supply: &Supply,
        victims: &[Victim<'a>],
        now: Instant,
    ) -> Vec<(Victim<'a>, i64)> {
        let request = reserved(need.step);
        let fitting = victims.iter().filter_map(|victim| {
            let worker = victim.worker;
            if victim.priority < need.priority || worker.info.service != need.service {
                return None;
            }
            let mut room = worker.free;
            room.add(&victim.request);
            let places = request.places_in(&room) - request.places_in(&worker.free);
            let is_eligible = places > 0
                && room.covers(&request)
                && self.is_eligible(worker, need.name, need.step);
            is_eligible.then_some((*victim, places * request.cpu))
        });
        let mut fitting: Vec<_> = fitting.collect();
        fitting.sort_unstable_by_key(|(victim, usable_cpu)| {
            let usable_per_mille = usable_cpu * 1_000 / victim.cpu.max(1);
            (victim.loses_work, Reverse(usable_per_mille), victim.name)
        });
        let mut steps = HashSet::default();
        let mut workers = HashSet::default();
        let (mut cpu, mut long_running_cpu) = (0, supply.long_running_cpu);
        let mut stops = Vec::new();
        for (victim, usable_cpu) in fitting {
            let is_enough = cpu >= missing_cpu || stops.len() >= budget;
            if is_enough || long_running_cpu - victim.cpu < supply.cpu + cpu {
                break;
            }
            let step = (victim.name.job, victim.name.step);
            let worker = victim.worker.info.id.as_str();
            if steps.contains(&step)
                || workers.contains(worker)
                || !self.may_be_stopped(victim.name, now)
            {
                continue;
            }
            steps.insert(step);
            workers.insert(worker);
            cpu += usable_cpu;
            long_running_cpu -= victim.cpu;
            stops.push((victim, usable_cpu));
        }
        stops
    }

    /// Returns the runs of long-running tasks that have worked for long enough, of steps of which no
    /// task is displaced, on workers on which none is being stopped.
    fn victims(&self, now: Instant) -> Vec<Victim<'_>> {
        let displaced_steps = self.displacement.away.keys();
        let displaced_steps: HashSet<_> = displaced_steps.map(|n| (n.job, n.step)).collect();
        let mut victims = Vec::new();
        for worker in self.workers.values().filter(|w| w.accepts_work(now)) {
            let is_stopping = |name: &TaskName| {
                let run = worker.runs.get(name);
                run.is_some_and(|run| matches!(run.phase, RunPhase::Stopping(_)))
            };
            if self.displacement.away.keys().any(is_stopping) {
                continue;
            }
            let runs = worker.runs.iter().filter(|(name, run)| {
                run.is_long_running
                    && worker.is_at_work(name, now)
                    && now.duration_since(run.added_at) >= MIN_TIME_AT_WORK
                    && !displaced_steps.contains(&(name.job, name.step))
            });
            victims.extend(runs.filter_map(|(name, run)| {
                let job = self.jobs.get(&name.job)?;
                Some(Victim {
                    worker,
                    name: *name,
                    priority: job.spec.priority,
                    cpu: run.reserved.cpu,
                    request: run.reserved,
                    loses_work: run.latency_target_ms == 0.0 && run.checkpoint.is_empty(),
                })
            }));
        }
        victims
    }

    /// Returns what serves the short work of a service.
    fn supply(&self, service: &str, now: Instant) -> Supply {
        let mut supply = Supply::default();
        let workers = self.workers.values();
        for worker in workers.filter(|w| w.info.service == service) {
            supply.long_running_cpu += worker.long_running_cpu;
            for (name, run) in &worker.runs {
                if run.is_long_running || run.reserved.cpu == 0 {
                    continue;
                }
                supply.cpu += run.reserved.cpu;
                let job = self.jobs.get(&name.job);
                let step = job.and_then(|j| j.spec.steps.get(usize::from(name.step)));
                let elapsed_ms = now.duration_since(run.added_at).as_millis() as i64;
                let estimate_ms = step.map_or(0, |s| i64::from(s.estimate_ms));
                supply.work += (estimate_ms - elapsed_ms).max(0) * run.reserved.cpu;
            }
        }
        for (name, stopped) in &self.displacement.away {
            let worker = self.workers.get(&stopped.worker);
            let worker = worker.filter(|w| w.info.service == service);
            if worker.is_some_and(|w| w.runs.contains_key(name)) {
                supply.cpu += stopped.usable_cpu;
            }
        }
        supply
    }
}

/// What serves the short work of a service; CPU is in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Supply {
    /// The CPU that short work has or is about to get.
    cpu: i64,
    /// The work that it must do first, in thousandths of a core times milliseconds.
    work: i64,
    /// The CPU that long-running tasks have reserved.
    long_running_cpu: i64,
}

impl Supply {
    /// Returns the CPU that is missing to complete the work within a time; zero or less if none is.
    fn missing_cpu(&self, time_ms: i64) -> i64 {
        self.work * 100 / (time_ms.max(1) * EFFICIENCY_PERCENT) - self.cpu
    }
}
