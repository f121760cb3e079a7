//! The expected waits of new jobs, from which instances decide whether they accept one; see
//! [`admission`](crate::sched::admission).
//!
//! A new job waits for the work that comes before it: that of more urgent priorities, and of the
//! jobs of its own priority with less remaining work that can still be in time. Such work also keeps
//! arriving, at the rate of the last seconds. Left out are jobs that are too late, tasks that only
//! some workers may run, and the runs that have started, so that waits are rather too short.
//!
//! Room comes in pieces: a request fits only on workers with as much CPU that long-running tasks
//! don't reserve. These workers are nested pools, by [`REQUEST_BOUNDS`]. Work with a large request
//! can take no more than its pool, and what it leaves over is free for smaller requests. So a task
//! waits for as long as the work before it fills its pool or a larger one.

use {
    super::{
        jobs::Lateness,
        state::{Job, Occurrence, Shard, Worker},
    },
    crate::{
        hash::HashMap,
        sched::{
            admission::{
                Forecast, Outlook, REQUEST_BOUNDS, WAIT_UNIT, WORK_BOUNDS, WORK_LEVELS,
                WaitsByPriority, request_class, work_class,
            },
            job::{JobSpec, Step},
            placement::{MIN_UNUSED_PERCENT, SERVING_USE_PERCENT},
            progress::JobOutcome,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The minimum time between two computations. Outlooks are of use for 1 s and go out every 150 ms.
const INTERVAL: Duration = Duration::from_millis(200);

/// How long there is no outlook after a leader has computed the first, at the start of its role: until
/// then it doesn't know the demand.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(3);

/// The time constant of the measured rates: long enough for tens of jobs, short enough that a burst
/// of 15 s is noticed within its first half.
const RATE_TIME: Duration = Duration::from_secs(4);

/// The number of tasks that must have finished lately before their speed is known.
const MIN_FINISHED: f64 = 8.0;

/// The lowest speed that is assumed, as a share of that by the callers' estimates: a few stuck tasks
/// must not multiply the waits.
const MIN_SPEED: f64 = 0.25;

/// The share of the present arrivals of work that is assumed to go on.
const ARRIVAL_SHARE: f64 = 0.9;

/// How long the room of a pool counts after it was last there, since workers come and go.
const ROOM_TIME: Duration = Duration::from_secs(2);

/// The age from which a waiting job has been part of a dispatch; they are at most 150 ms apart.
const TRIED_AFTER: Duration = Duration::from_millis(200);

/// The maximum number of priorities with waits of their own; less urgent ones wait like the last.
const MAX_PRIORITIES: usize = 3;

/// The waits that are told apart, in units of [`WAIT_UNIT`].
const WAITS: [u8; 18] = [
    1, 2, 3, 4, 6, 8, 10, 12, 16, 20, 24, 30, 40, 50, 60, 80, 100, 120,
];

/// The number of classes of requests.
const REQUESTS: usize = REQUEST_BOUNDS.len();

/// Work by class of request and by class of the job's work, in thousandths of a core times
/// milliseconds.
type WorkTable = [[f64; WORK_BOUNDS.len()]; REQUESTS];

/// A value for each class of requests.
type ByRequest = [f64; REQUESTS];

/// What a leader keeps for the outlooks of its shard.
#[derive(Debug, Default)]
pub(super) struct OutlookState {
    /// The measurements, by service.
    services: HashMap<String, [Measurements; 2]>,
    /// When the rates were first and last updated; `None` before the first time.
    started_at: Option<Instant>,
    decayed_at: Option<Instant>,
    /// The outlooks, by service; shared with those that publish them.
    outlooks: Arc<[Outlook]>,
    /// When `outlooks` were computed; `None` before the first computation, and while the present
    /// state doesn't allow one.
    computed_at: Option<Instant>,
}

/// The measurements of work of one kind in a service. Sums decay with [`RATE_TIME`].
#[derive(Debug, Default)]
struct Measurements {
    /// The work that arrived, by priority.
    arrived: BTreeMap<u8, WorkTable>,
    /// The number of tasks that finished, and their work by the callers' estimates and by their
    /// actual durations, in thousandths of a core times milliseconds.
    finished: f64,
    estimated_work: f64,
    actual_work: f64,
    /// The last known ratio of the two; `None` before enough tasks have finished.
    speed: Option<f64>,
    pools: Pools,
}

/// For each class of requests, the workers on which at least one such task fits once all that ends by
/// itself has ended.
#[derive(Debug, Default)]
struct Pools {
    /// The largest values in the present period of [`ROOM_TIME`] and in the one before.
    present: [Pool; REQUESTS],
    before: [Pool; REQUESTS],
    /// When the present period began; `None` before the first.
    since: Option<Instant>,
    /// Since when a class has had no room; `None` while it has some.
    empty_since: [Option<Instant>; REQUESTS],
    /// Since when tasks with such a request or a smaller one wait, so that the pool is as full as its
    /// pieces of room allow; `None` while none does.
    full_since: [Option<Instant>; REQUESTS],
    /// The same for tasks for which there is no room at all.
    in_vain_since: [Option<Instant>; REQUESTS],
}

/// The CPU of a pool that work of one kind may have, and what it has, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Pool {
    room: f64,
    used: f64,
}

impl Pool {
    fn max(self, other: Self) -> Self {
        Self {
            room: self.room.max(other.room),
            used: self.used.max(other.used),
        }
    }
}

impl Pools {
    /// Records the present state; tasks of the classes `waiting` have found no room.
    fn record(&mut self, pools: &[Pool; REQUESTS], waiting: &[bool; REQUESTS], now: Instant) {
        if self
            .since
            .is_none_or(|at| now.duration_since(at) >= ROOM_TIME)
        {
            self.since = Some(now);
            self.before = std::mem::take(&mut self.present);
        }
        let (mut is_full, mut is_in_vain) = (false, false);
        for (class, pool) in pools.iter().enumerate() {
            self.present[class] = self.present[class].max(*pool);
            let is_empty = self.before[class].max(self.present[class]).room == 0.0;
            is_full |= waiting[class];
            is_in_vain |= waiting[class] && is_empty;
            update_since(&mut self.empty_since[class], is_empty, now);
            update_since(&mut self.full_since[class], is_full, now);
            update_since(&mut self.in_vain_since[class], is_in_vain, now);
        }
    }

    /// Returns the CPU that work of a class and larger ones can have at the same time: what it has
    /// while the pool is full, since its pieces leave rests over, and all the room otherwise.
    fn usable(&self, class: usize, now: Instant) -> f64 {
        let largest = self.before[class].max(self.present[class]);
        let is_full = self.full_since[class].is_some_and(|at| now.duration_since(at) >= ROOM_TIME);
        if is_full { largest.used } else { largest.room }
    }

    /// Returns [`Forecast::piece_waits`]: as long as there has been no room, provided that a task waits
    /// for some, since room may be made for those that wait. If no such task is accepted any more, one
    /// is again once those that wait are too late.
    fn piece_waits(&self, now: Instant) -> Vec<u8> {
        let age =
            |since: Option<Instant>| since.map_or(Duration::ZERO, |at| now.duration_since(at));
        let wait = |class: usize| {
            let empty_for = age(self.empty_since[class]).as_millis() / WAIT_UNIT.as_millis();
            empty_for.min(WAITS[WAITS.len() - 1].into()) as u8
        };
        let classes = (0..REQUESTS).rev();
        let in_vain = classes.take_while(|class| age(self.in_vain_since[*class]) >= ROOM_TIME);
        in_vain.map(wait).collect()
    }
}

/// Updates since when a condition holds; `None` if it doesn't.
fn update_since(since: &mut Option<Instant>, holds: bool, now: Instant) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// The waiting work by service and kind.
type WaitingByService<'a> = HashMap<&'a str, [WaitingKind; 2]>;

/// The waiting work of one kind in a service.
#[derive(Debug, Default)]
struct WaitingKind {
    by_priority: BTreeMap<u8, WaitingWork>,
    /// The classes of requests of tasks for which at least one dispatch has found no room.
    classes: [bool; REQUESTS],
}

/// The waiting work of one kind and priority in a service.
#[derive(Debug, Default)]
struct WaitingWork {
    /// The work of jobs that can be in time, which comes before new jobs with more work.
    in_time: WorkTable,
    /// That of late jobs, which comes before new jobs of less urgent priorities only.
    late: WorkTable,
    /// See [`WaitsByPriority::queued`].
    queued: u16,
}

impl OutlookState {
    /// Counts the work of a job that was accepted just now.
    pub(super) fn count_arrival(&mut self, spec: &JobSpec) {
        if !counts(spec) {
            return;
        }
        let work = work_class(spec.work_of(spec.steps.iter().map(|s| s.count)));
        let kinds = self.services.entry(spec.service.clone()).or_default();
        for step in spec.steps.iter().filter(|step| competes(step)) {
            let arrived = kinds[kind_of(step)].arrived.entry(spec.priority);
            let step_work = f64::from(step.count) * task_work(step);
            arrived.or_default()[request_class(step.request.cpu)][work] += step_work;
        }
    }

    /// Counts a task that has finished `duration` after its start was sent.
    pub(super) fn count_finished(&mut self, service: &str, step: &Step, duration: Duration) {
        if !competes(step) {
            return;
        }
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Default::default());
        }
        let Some(kinds) = self.services.get_mut(service) else {
            return;
        };
        let measurements = &mut kinds[kind_of(step)];
        measurements.finished += 1.0;
        measurements.estimated_work += task_work(step);
        measurements.actual_work += step.request.cpu as f64 * duration.as_millis() as f64;
    }

    /// Lets the sums decay up to `now`. They begin with the first call, since nothing decays before.
    fn decay(&mut self, now: Instant) {
        let factor = self.decayed_at.replace(now).map_or(0.0, |last| {
            (-now.duration_since(last).div_duration_f64(RATE_TIME)).exp()
        });
        for measurements in self.services.values_mut().flatten() {
            measurements.decay(factor);
        }
    }
}

impl Measurements {
    fn decay(&mut self, factor: f64) {
        for table in self.arrived.values_mut() {
            for work in table.iter_mut().flatten() {
                *work *= factor;
            }
        }
        // Less than one core for a millisecond.
        let is_present = |table: &WorkTable| table.iter().flatten().sum::<f64>() >= 1_000.0;
        self.arrived.retain(|_, table| is_present(table));
        self.finished *= factor;
        self.estimated_work *= factor;
        self.actual_work *= factor;
        if self.finished >= MIN_FINISHED && self.actual_work > 0.0 {
            self.speed = Some((self.estimated_work / self.actual_work).max(MIN_SPEED));
        }
    }

    /// Returns the forecast.
    fn forecast(&self, waiting: &BTreeMap<u8, WaitingWork>, now: Instant) -> Forecast {
        let rate = self.estimated_work / RATE_TIME.as_millis() as f64;
        let speed = self.speed.unwrap_or(0.0);
        let mut forecast = Forecast {
            capacity: (self.pools.usable(0, now) / 1_000.0) as u32,
            rate: (rate / 1_000.0) as u32,
            speed_percent: (speed * 100.0) as u32,
            waits: Vec::new(),
            piece_waits: self.pools.piece_waits(now),
        };
        if speed == 0.0 {
            return forecast;
        }
        // By class of request: the work of more urgent priorities, and how much arrives per
        // millisecond.
        let mut work_before = ByRequest::default();
        let mut rate_before = ByRequest::default();
        let none = WorkTable::default();
        let usable: ByRequest = std::array::from_fn(|class| self.pools.usable(class, now));
        for (priority, waiting) in waiting.iter().take(MAX_PRIORITIES) {
            let arrived = self.arrived.get(priority).unwrap_or(&none);
            let mut waits = [[0; WORK_LEVELS]; REQUESTS];
            let (mut work, mut rate) = (work_before, rate_before);
            for level in 0..WORK_LEVELS {
                if level == WORK_BOUNDS.len() {
                    // The last level is for less urgent jobs.
                    for (work, late) in work.iter_mut().zip(&waiting.late) {
                        *work += late.iter().sum::<f64>();
                    }
                }
                let by_request = self.waits(&work, &rate, speed, &usable);
                for (class, wait) in by_request.into_iter().enumerate() {
                    waits[class][level] = wait;
                }
                if level < WORK_BOUNDS.len() {
                    for class in 0..REQUESTS {
                        work[class] += waiting.in_time[class][level];
                        rate[class] += arrived[class][level] / RATE_TIME.as_millis() as f64;
                    }
                }
            }
            (work_before, rate_before) = (work, rate);
            let ahead = (work_before.iter().sum::<f64>() / 1_000_000.0) as u32;
            forecast.waits.push(WaitsByPriority::new(
                *priority,
                ahead,
                waiting.queued,
                &waits,
            ));
        }
        forecast
    }

    /// Returns the wait for each class of requests, in units of [`WAIT_UNIT`], behind `work` that
    /// waits and behind `rate` of it that arrives per millisecond, by class, while pools have `usable`
    /// CPU.
    fn waits(
        &self,
        work: &ByRequest,
        rate: &ByRequest,
        speed: f64,
        usable: &ByRequest,
    ) -> [u8; REQUESTS] {
        let mut waits = [0; REQUESTS];
        for (i, wait) in WAITS.into_iter().enumerate() {
            let wait_ms = f64::from(wait) * WAIT_UNIT.as_millis() as f64;
            // What arrives lengthens only a queue that is there.
            let arrival_ms = if i > 0 { wait_ms * ARRIVAL_SHARE } else { 0.0 };
            let mut is_filled = [false; REQUESTS];
            let mut sum = 0.0;
            for class in (0..REQUESTS).rev() {
                let room = usable[class] * speed * wait_ms;
                sum += work[class] + rate[class] * arrival_ms;
                is_filled[class] = room > 0.0 && sum >= room;
                sum = sum.min(room);
            }
            let mut is_any_filled = false;
            for class in 0..REQUESTS {
                is_any_filled |= is_filled[class];
                let was_filled = i == 0 || waits[class] == WAITS[i - 1];
                if is_any_filled && was_filled {
                    waits[class] = wait;
                }
            }
            if !is_any_filled {
                break;
            }
        }
        waits
    }
}

impl Shard {
    /// Computes the outlooks if that is due. There are none in the first seconds after a takeover,
    /// while there may be runs of an earlier leader that this one doesn't know, and while nothing may
    /// start.
    pub fn update_outlooks(&mut self, now: Instant) {
        let last = self.outlook.decayed_at;
        if last.is_some_and(|at| now.duration_since(at) < INTERVAL) {
            return;
        }
        let mut state = std::mem::take(&mut self.outlook);
        state.decay(now);
        let waiting = self.waiting_work(now);
        self.record_pools(&mut state, &waiting, now);
        state.computed_at = None;
        let started_at = *state.started_at.get_or_insert(now);
        let is_new = now.duration_since(started_at) < MIN_MEASURED_TIME;
        let is_held = self.resigning || self.starts_are_held();
        if !is_new && !is_held && !self.may_have_unknown_runs(now) {
            let none = BTreeMap::new();
            let outlooks = state.services.iter().map(|(service, kinds)| {
                let waiting = waiting.get(service.as_str());
                let forecast = |kind: usize| {
                    let waiting = waiting.map_or(&none, |kinds| &kinds[kind].by_priority);
                    kinds[kind].forecast(waiting, now)
                };
                Outlook {
                    service: service.clone(),
                    short: forecast(0),
                    best_effort: forecast(1),
                }
            });
            let mut outlooks: Vec<_> = outlooks.collect();
            outlooks.sort_by(|a, b| a.service.cmp(&b.service));
            state.outlooks = outlooks.into();
            state.computed_at = Some(now);
        }
        self.outlook = state;
    }

    /// Returns the outlooks by service, and when they were computed; `None` if the present state
    /// doesn't allow any.
    pub fn outlooks(&self) -> Option<(Instant, &Arc<[Outlook]>)> {
        let at = self.outlook.computed_at?;
        Some((at, &self.outlook.outlooks))
    }

    /// Records the pools of all services.
    fn record_pools(&self, state: &mut OutlookState, waiting: &WaitingByService, now: Instant) {
        let mut pools: HashMap<&str, [[Pool; REQUESTS]; 2]> = HashMap::default();
        // Workers that can't be reached may be back at any time.
        for worker in self.workers.values().filter(|w| w.may_get_work(now)) {
            let pools = pools.entry(&worker.info.service).or_default();
            let short_cpu = worker.info.capacity.cpu - worker.free.cpu - worker.long_running_cpu;
            let kinds = [
                (worker.short_room(), short_cpu),
                (worker.best_effort_room(), worker.best_effort_cpu),
            ];
            for (pools, (room, used)) in pools.iter_mut().zip(kinds) {
                let fitting = request_class(room) + 1;
                for pool in &mut pools[..fitting] {
                    pool.room += room as f64;
                    pool.used += used as f64;
                }
            }
        }
        let none = <[[Pool; REQUESTS]; 2]>::default();
        for (service, kinds) in &mut state.services {
            let pools = pools.get(service.as_str()).unwrap_or(&none);
            let waiting = waiting.get(service.as_str());
            for (kind, measurements) in kinds.iter_mut().enumerate() {
                let classes = waiting.map_or([false; REQUESTS], |kinds| kinds[kind].classes);
                measurements.pools.record(&pools[kind], &classes, now);
            }
        }
    }

    /// Returns the work that waits and stands before new jobs, by service, kind and priority.
    fn waiting_work(&self, now: Instant) -> WaitingByService<'_> {
        let mut waiting = WaitingByService::default();
        for job in self.jobs.values() {
            if job.outcome != JobOutcome::Open || job.moving || !counts(&job.spec) {
                continue;
            }
            let lateness = job.lateness(now);
            if lateness == Lateness::TooLate {
                continue;
            }
            let kinds = waiting.entry(&job.spec.service).or_default();
            let work = work_class(job.remaining_work());
            let is_tried = now.duration_since(job.accepted_at) >= TRIED_AFTER;
            for (i, step) in job.spec.steps.iter().enumerate() {
                let tasks = job.waiting_tasks(i, now);
                if tasks == 0 || !competes(step) {
                    continue;
                }
                let class = request_class(step.request.cpu);
                let kind = &mut kinds[kind_of(step)];
                let is_ready = |o: &Occurrence| o.is_ready(i, step);
                kind.classes[class] |= is_tried && job.occurrences.iter().any(is_ready);
                let waiting = kind.by_priority.entry(job.spec.priority).or_default();
                let table = match lateness {
                    Lateness::InTime => {
                        waiting.queued |= 1 << work;
                        &mut waiting.in_time
                    }
                    _ => &mut waiting.late,
                };
                let step_work = tasks as f64 * task_work(step);
                table[class][work] += step_work;
            }
        }
        waiting
    }
}

impl Job {
    /// Returns the number of tasks of a step that may start, or may once the step is ready.
    fn waiting_tasks(&self, step: usize, now: Instant) -> usize {
        let count = self.spec.steps[step].count as usize;
        let waiting = |occurrence: &Occurrence| match occurrence.tasks[step].as_slice() {
            [] => count,
            tasks => tasks.iter().filter(|t| t.is_startable(false, now)).count(),
        };
        let added: usize = self.occurrences.iter().map(waiting).sum();
        added + count.saturating_mul(self.unadded_occurrences() as usize)
    }
}

impl Worker {
    /// Returns the CPU that a short task can have once all that ends by itself has ended, in
    /// thousandths of a core.
    fn short_room(&self) -> i64 {
        (self.info.capacity.cpu - self.long_running_cpu).max(0)
    }

    /// Returns the largest request of a best-effort task that fits once all that ends by itself has
    /// ended, in thousandths of a core.
    fn best_effort_room(&self) -> i64 {
        let unused_by_serving = self.serving_cpu * (100 - SERVING_USE_PERCENT) / 100;
        (self.short_room() + unused_by_serving) * 100 / MIN_UNUSED_PERCENT
    }
}

/// Returns whether the work of a job stands before new ones. Tasks that need approvals wait for more
/// than room, and may use some workers only.
fn counts(spec: &JobSpec) -> bool {
    !spec.needs_approval && spec.steps.iter().all(|step| !step.long_running)
}

/// Returns whether the tasks of a step end by themselves and may use any worker.
fn competes(step: &Step) -> bool {
    !step.long_running && step.required_label.is_none()
}

/// Returns the index of the kind of a step's tasks.
fn kind_of(step: &Step) -> usize {
    usize::from(step.best_effort)
}

/// Returns the work of a task by the caller's estimate, in thousandths of a core times milliseconds.
fn task_work(step: &Step) -> f64 {
    step.request.cpu as f64 * f64::from(step.estimate_ms)
}
