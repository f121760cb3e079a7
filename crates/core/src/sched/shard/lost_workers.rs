//! Weighs the crashes of workers against the tasks that ran there; see
//! [`crash_evidence`](crate::sched::crash_evidence).

use {
    super::{
        losses::{LostWorker, Observation, STALL},
        state::{Run, Shard, Worker},
    },
    crate::{
        hash::HashMap,
        sched::{
            crash_evidence::{
                Candidate, Exposure, crash_rate, crash_weight, ordinary_share, task_probability,
                weigh_crash,
            },
            job::TaskName,
        },
    },
    std::time::{Duration, Instant},
};

/// The time after a start, or the reply to it, by which a worker that runs has sent a report: a start
/// changes what it reports.
const START_REPORT: Duration = Duration::from_millis(400);

/// The time after a report by which a worker that runs has sent another one.
const NEXT_REPORT: Duration = Duration::from_millis(1_100);

/// What is added to these times if this instance has stalled.
const STALLED_REPORT: Duration = Duration::from_secs(2);

/// The time between a crash and the failure of a connection that breaks with it, if no report was
/// requested then.
const CONNECTION_CHECK: Duration = Duration::from_millis(400);

/// The time in which the reply of a worker and the failure of its connection may be noticed in either
/// order.
const EVENT_DELAY: Duration = Duration::from_millis(100);

/// The time in which a worker replies to a start.
const REPLY_TIME: Duration = Duration::from_millis(100);

/// How long after a crash the workers that were lost at the same time are known.
const SETTLE: Duration = Duration::from_millis(1_300);

/// The least age of a run of an earlier leader: a takeover takes longer.
const INHERITED_AGE: Duration = Duration::from_secs(1);

/// The part of a run that is assumed if a loss was stored that may speak against the task.
const STORED_EXPOSURE: Exposure = Exposure {
    from: Duration::ZERO,
    to: Duration::from_secs(2),
};

/// The same for a loss that does not.
const STORED_STABLE_EXPOSURE: Exposure = Exposure {
    from: Duration::from_secs(4),
    to: Duration::from_secs(6),
};

/// The most that a crash adds to the evidence if an earlier leader has stored the loss.
const MAX_STORED_LOG_RATIO: f64 = 2.3;

impl Shard {
    /// Returns whether reports of a worker may have been missed, such as of the end of a run.
    pub(super) fn has_stalled(&self, worker: &Worker, now: Instant) -> bool {
        let (polled_at, _) = self.processes.polled;
        now.duration_since(polled_at) > STALL || self.processes.stalled_at > worker.answered_at
    }

    /// Records that a process of a worker was lost, and with what runs.
    pub(super) fn note_lost_worker(&mut self, worker_id: &str, started_ms: u64, now: Instant) {
        let Some(worker) = self.workers.get(worker_id) else {
            return;
        };
        if worker.draining_since.is_some() {
            return;
        }
        let lost_between = worker.lost_between(self.has_stalled(worker, now), now);
        let runs = worker
            .runs
            .iter()
            .filter(|(_, run)| run.process_started_ms == started_ms && !run.has_unlisted_end);
        let runs = runs.map(|(name, run)| (*name, run.exposure(lost_between)));
        let runs: Vec<_> = runs.collect();
        let address = &worker.info.address;
        let lost = self.processes.lost.iter_mut();
        let mut lost = lost.filter(|l| l.address == *address && l.started_ms == started_ms);
        if let Some(lost) = lost.next() {
            if lost.log_ratios.is_none() {
                let is_new = |(name, _): &(TaskName, _)| lost.exposure(*name).is_none();
                let new: Vec<_> = runs.into_iter().filter(is_new).collect();
                lost.runs.extend(new);
            }
            return;
        }
        let lost = LostWorker {
            address: address.clone(),
            started_ms,
            domain: worker.info.domain.clone(),
            labels: worker.info.labels.clone(),
            lost_between,
            runs,
            has_crashed: false,
            log_ratios: None,
            ordinary_probability: 1.0,
            is_explained: false,
        };
        self.processes.lost.push(lost);
    }

    /// Returns runs as candidates for the reason of a crash.
    fn candidates(&self, runs: &[(TaskName, Exposure)], unix_ms: u64) -> Vec<Candidate> {
        let candidates = runs.iter().map(|(name, exposure)| Candidate {
            exposure: *exposure,
            evidence: self.evidence(*name, unix_ms),
        });
        candidates.collect()
    }

    /// Returns the probability that what a lost process ran has crashed it, by what is known now.
    fn task_probability(&self, lost: &LostWorker, unix_ms: u64) -> f64 {
        if lost.is_explained {
            1.0
        } else {
            task_probability(&self.candidates(&lost.runs, unix_ms))
        }
    }

    /// Returns the evidence against a task.
    fn evidence(&self, name: TaskName, unix_ms: u64) -> f64 {
        let job = self.jobs.get(&name.job);
        let occurrence = job.and_then(|job| job.occurrence(name.occurrence));
        let steps = occurrence.map(|o| &o.tasks);
        let tasks = steps.and_then(|steps| steps.get(usize::from(name.step)));
        let task = tasks.and_then(|tasks| tasks.get(name.index as usize));
        let losses = task.and_then(|task| task.losses.as_ref());
        losses.map_or(0.0, |losses| losses.evidence.at(unix_ms))
    }

    /// Returns how likely it was that a process was lost for another reason than what it ran, compared
    /// with all workers, those of its failure domain, and those with one of its labels.
    fn ordinary(&self, lost: &LostWorker, now: Instant, unix_ms: u64) -> Ordinary {
        let (from, to) = lost.lost_between;
        let exposed_s = to.saturating_duration_since(from).as_secs_f64();
        let observed = now.duration_since(self.leader_since);
        let mut peers: HashMap<&str, Peer> = HashMap::default();
        for worker in self.workers.values().filter(|w| w.draining_since.is_none()) {
            let peer = Peer::new(&worker.info.domain, &worker.info.labels);
            let peer = peers.entry(&worker.info.address).or_insert(peer);
            if worker.is_silent(now) {
                let stalled = self.has_stalled(worker, now);
                let lost_between = worker.lost_between(stalled, now);
                if peer.add_loss(lost_between, (from, to)) {
                    let candidates = self.candidates(&worker.runs_until(lost_between), unix_ms);
                    peer.by_tasks = task_probability(&candidates);
                }
            }
        }
        for other in &self.processes.lost {
            let is_same = other.address == lost.address && other.started_ms == lost.started_ms;
            if !other.has_crashed || is_same {
                continue;
            }
            let peer = Peer::new(&other.domain, &other.labels);
            let peer = peers.entry(&other.address).or_insert(peer);
            let by_tasks = self.task_probability(other, unix_ms);
            let age = now.saturating_duration_since(other.lost_between.1);
            peer.crashes +=
                crash_weight(age) * ordinary_share(other.ordinary_probability, by_tasks);
            if peer.add_loss(other.lost_between, (from, to)) {
                peer.by_tasks = peer.by_tasks.min(by_tasks);
            }
        }
        peers.remove(lost.address.as_str());
        let all_by_tasks: f64 = peers.values().map(|peer| peer.by_tasks).product();
        let domain = |peer: &Peer| peer.domain == lost.domain;
        let mut groups = vec![
            Group::new(peers.values(), |_| true, (from, to)),
            Group::new(peers.values(), domain, (from, to)),
        ];
        for label in &lost.labels {
            let has_label = |peer: &Peer| peer.labels.contains(label);
            groups.push(Group::new(peers.values(), has_label, (from, to)));
        }
        let mut probability: f64 = 0.0;
        let mut max_share: f64 = 0.0;
        let mut max_rate: f64 = 0.0;
        let (_, earlier_rate) = self.processes.earlier_crash_rate;
        for (i, group) in groups.into_iter().enumerate() {
            let rate = crash_rate(group.crashes, group.count, observed, earlier_rate);
            max_rate = max_rate.max(rate);
            probability = probability.max(1.0 - (-rate * exposed_s).exp());
            // One other loss in a small group is no sign of a reason in common.
            let ignored = usize::from(i > 0);
            if group.count > ignored {
                let share = (group.lost - ignored as f64) / (group.count - ignored) as f64;
                max_share = max_share.max(share);
            }
        }
        let max_share = max_share * ordinary_share(probability, all_by_tasks);
        Ordinary {
            probability: probability.max(max_share).min(1.0),
            share: max_share,
            rate: max_rate,
        }
    }

    /// Returns the evidence of a crash against a task whose loss an earlier leader has stored, either as
    /// the loss of a stable run or as one that may speak against the task.
    pub(super) fn weigh_stored(&self, is_stable: bool, now: Instant) -> f64 {
        let observed = now.duration_since(self.leader_since);
        let (_, earlier_rate) = self.processes.earlier_crash_rate;
        let rate = crash_rate(0.0, self.workers.len(), observed, earlier_rate);
        let rate = rate.max(self.processes.crash_rate);
        let exposure = if is_stable {
            STORED_STABLE_EXPOSURE
        } else {
            STORED_EXPOSURE
        };
        let exposed_s = (exposure.to - exposure.from).as_secs_f64();
        let candidate = Candidate {
            exposure,
            evidence: 0.0,
        };
        let probability = 1.0 - (-rate * exposed_s).exp();
        // What else was lost then is not known.
        let log_ratios = weigh_crash(&[candidate], probability);
        log_ratios.iter().sum::<f64>().min(MAX_STORED_LOG_RATIO)
    }

    /// Weighs the crashes that an observation shows; returns false if the workers that were lost at
    /// the same time as one of them may not be known yet.
    pub(super) fn weigh_crashes(
        &mut self,
        observation: &Observation,
        now: Instant,
        unix_ms: u64,
    ) -> bool {
        let lost = self.processes.lost.iter().enumerate();
        let lost = lost.filter(|(_, lost)| {
            lost.address == observation.address
                && lost.started_ms < observation.started_ms
                && lost.log_ratios.is_none()
        });
        let lost: Vec<_> = lost.map(|(index, lost)| (index, lost.clone())).collect();
        let is_settled = |lost: &LostWorker| lost.lost_between.1 + SETTLE <= now;
        if !lost.iter().all(|(_, lost)| is_settled(lost)) {
            return false;
        }
        for (index, lost) in lost {
            let Ordinary {
                probability,
                share,
                rate,
            } = self.ordinary(&lost, now, unix_ms);
            self.processes.crash_rate = rate;
            let lost = LostWorker {
                has_crashed: true,
                ordinary_probability: probability,
                ..lost
            };
            let candidates = self.candidates(&lost.runs, unix_ms);
            log::info!(
                "jobs: crash at {} started_ms={}: runs={} peers_lost={share:.3} probability={probability:.4} ordinary={:.3}.",
                lost.address,
                lost.started_ms,
                lost.runs.len(),
                ordinary_share(probability, task_probability(&candidates)),
            );
            if let Some(entry) = self.processes.lost.get_mut(index) {
                *entry = LostWorker {
                    log_ratios: Some(weigh_crash(&candidates, probability)),
                    ..lost
                };
            }
        }
        true
    }
}

/// The crashes of other workers than a lost one.
struct Ordinary {
    /// The probability that the process was lost for another reason than what it ran.
    probability: f64,
    /// The highest share of a group of other workers that was lost at the same time.
    share: f64,
    /// The highest rate of a group at which workers crash for other reasons than what they run, per
    /// second.
    rate: f64,
}

/// Another worker than a lost one.
struct Peer<'a> {
    domain: &'a str,
    labels: &'a [String],
    /// Between which times it was lost, if that may have been at the same time.
    lost_between: Option<(Instant, Instant)>,
    /// The probability that what it ran crashes it then; one if it was not lost.
    by_tasks: f64,
    /// Its crashes for other reasons than what it ran, weighted by their age.
    crashes: f64,
}

impl<'a> Peer<'a> {
    fn new(domain: &'a str, labels: &'a [String]) -> Self {
        Self {
            domain,
            labels,
            lost_between: None,
            by_tasks: 1.0,
            crashes: 0.0,
        }
    }

    /// Adds a loss; returns whether it may have been within `bounds`.
    fn add_loss(&mut self, lost_between: (Instant, Instant), bounds: (Instant, Instant)) -> bool {
        let share = overlap(lost_between, bounds);
        if self
            .lost_between
            .is_none_or(|other| overlap(other, bounds) < share)
            && share > 0.0
        {
            self.lost_between = Some(lost_between);
        }
        share > 0.0
    }
}

/// A group of workers that a lost one is compared with.
struct Group {
    count: usize,
    /// How many of them are expected to have been lost within the same time.
    lost: f64,
    /// Their crashes for other reasons than what they ran, weighted by their age.
    crashes: f64,
}

impl Group {
    /// Creates the group of those peers that are `member`s, and compares it with a worker that was lost
    /// within `bounds`.
    fn new<'a>(
        peers: impl Iterator<Item = &'a Peer<'a>>,
        member: impl Fn(&Peer<'_>) -> bool,
        bounds: (Instant, Instant),
    ) -> Self {
        let members: Vec<_> = peers.filter(|peer| member(peer)).collect();
        let losses = members.iter().filter_map(|peer| peer.lost_between);
        let common = losses.clone().reduce(|a, b| (a.0.max(b.0), a.1.min(b.1)));
        // If they can have one reason, that was at one time.
        let lost = match common {
            Some(common) if common.0 <= common.1 => losses.count() as f64 * overlap(common, bounds),
            _ => losses.map(|loss| overlap(loss, bounds)).sum(),
        };
        Self {
            count: members.len(),
            lost,
            crashes: members.iter().map(|peer| peer.crashes).sum(),
        }
    }
}

/// Returns the share of `interval` that is within `bounds`.
fn overlap(interval: (Instant, Instant), bounds: (Instant, Instant)) -> f64 {
    let from = interval.0.max(bounds.0);
    let to = interval.1.min(bounds.1);
    let length = interval
        .1
        .saturating_duration_since(interval.0)
        .as_secs_f64();
    if length > 0.0 {
        to.saturating_duration_since(from).as_secs_f64() / length
    } else {
        f64::from(from <= to)
    }
}

impl LostWorker {
    /// Returns the part of a run in which the process was lost; `None` if it had no run of the task.
    pub(super) fn exposure(&self, name: TaskName) -> Option<Exposure> {
        let run = self.runs.iter().find(|(task, _)| *task == name);
        run.map(|(_, exposure)| *exposure)
    }
}

impl Run {
    /// Returns the part of the run that was between two times.
    fn exposure(&self, (from, to): (Instant, Instant)) -> Exposure {
        let earlier = if self.is_inherited {
            INHERITED_AGE
        } else {
            Duration::ZERO
        };
        let from = from.saturating_duration_since(self.added_at);
        let to = to.saturating_duration_since(self.added_at);
        if self.is_confirmed() {
            Exposure {
                from: from + earlier,
                to: to + earlier,
            }
        } else {
            // The worker was gone already, or crashed before it could reply.
            Exposure {
                from: Duration::ZERO,
                to: to.min(REPLY_TIME),
            }
        }
    }
}

impl Worker {
    /// Returns whether the worker sends no reports any more, as far as can be told.
    fn is_silent(&self, now: Instant) -> bool {
        let is_overdue = |at| now.saturating_duration_since(at) > NEXT_REPORT;
        self.connection_lost_at.is_some() || self.answered_at.is_some_and(is_overdue)
    }

    /// Returns the runs that have not ended, with the parts of them between two times.
    fn runs_until(&self, lost_between: (Instant, Instant)) -> Vec<(TaskName, Exposure)> {
        let runs = self.runs.iter().filter(|(_, run)| !run.has_unlisted_end);
        let runs = runs.map(|(name, run)| (*name, run.exposure(lost_between)));
        runs.collect()
    }

    /// Returns between which times the worker was lost, if it is lost.
    fn lost_between(&self, has_stalled: bool, now: Instant) -> (Instant, Instant) {
        // A reply may be late, so it shows only that the worker ran when the command was sent.
        let confirmed = self.runs.values().filter(|run| run.is_confirmed());
        let started_at = confirmed.map(|run| run.added_at).max();
        let from = self.answered_at.max(started_at).unwrap_or(now);
        if let Some(lost_at) = self.connection_lost_at
            && lost_at >= from
        {
            let check = lost_at.checked_sub(CONNECTION_CHECK);
            let from = check.map_or(from, |check| check.max(from));
            return (from, lost_at.max(from + EVENT_DELAY));
        }
        let mut limit = if started_at > self.answered_at {
            START_REPORT
        } else {
            NEXT_REPORT
        };
        if has_stalled {
            limit += STALLED_REPORT;
        }
        (from, (from + limit).min(now.max(from + EVENT_DELAY)))
    }
}
