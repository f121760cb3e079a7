//! One worker as this instance sees it: its slots, its upstream and its record.

use {
    marigoldbend::{
        core::{
            admission::{Gate, OwnershipConfirmation, Permit},
            ejection::{Ejector, Health},
            ids::{Epoch, WorkerId},
            latency::LatencyEstimate,
            routing::Candidate,
        },
        platform::wire,
        upstream::Upstream,
    },
    parking_lot::Mutex,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// What was seen of a worker's answers.
#[derive(Debug, Default)]
struct Record {
    ejector: Ejector,
    latency: LatencyEstimate,
}

/// One worker.
pub struct Worker {
    /// Its number.
    pub id: WorkerId,
    /// The service that runs on it.
    pub service: String,
    /// Its slots.
    pub gate: Arc<Gate>,
    /// The connections to its upstream.
    pub upstream: Upstream,
    /// Where its task agent listens.
    pub agent: SocketAddr,
    epoch: AtomicU64,
    leaving: AtomicBool,
    tasks: AtomicU32,
    record: Mutex<Record>,
    /// Follows the outcomes of tasks, which can fail while the upstream serves.
    task_ejector: Mutex<Ejector>,
    /// Follows whether the task agent answers at all.
    agent_ejector: Mutex<Ejector>,
}

impl Worker {
    /// Creates a worker from the platform's list; `on_release` is called after each freed slot.
    pub fn new(
        listed: &wire::Worker,
        local: Option<IpAddr>,
        confirmation: Arc<OwnershipConfirmation>,
        on_release: impl Fn() + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: listed.id,
            service: listed.service.clone(),
            gate: Gate::with_release_callback(confirmation, Box::new(on_release)),
            upstream: Upstream::new(listed.upstream, local),
            agent: listed.agent,
            epoch: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            tasks: AtomicU32::new(0),
            record: Mutex::default(),
            task_ejector: Mutex::default(),
            agent_ejector: Mutex::default(),
        })
    }

    /// Returns the epoch of its ownership.
    pub fn epoch(&self) -> Epoch {
        Epoch(self.epoch.load(Ordering::Relaxed))
    }

    /// Sets the epoch of its ownership.
    pub fn set_epoch(&self, epoch: Epoch) {
        self.epoch.store(epoch.0, Ordering::Relaxed);
    }

    /// Returns whether it is leaving and receives nothing new.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks it as leaving; that is never taken back.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns how many batch tasks use its slots.
    pub fn tasks(&self) -> u32 {
        self.tasks.load(Ordering::Acquire)
    }

    /// Takes a slot for a batch task if fewer than `most` run and `spare` slots stay free.
    pub fn try_acquire_for_task(
        self: &Arc<Self>,
        most: u32,
        spare: u32,
        now: Instant,
    ) -> Option<TaskSlot> {
        let healthy = self.health(now) == Health::Healthy;
        if self.is_leaving() || !healthy || self.tasks() >= most || self.gate.free(now) <= spare {
            return None;
        }
        // A task is too dear to find out whether an agent is back.
        if self.agent_ejector.lock().health(now) != Health::Healthy {
            return None;
        }
        let mut ejector = self.task_ejector.lock();
        if ejector.health(now) == Health::Ejected {
            return None;
        }
        let permit = self.gate.try_acquire(now)?;
        if ejector.health(now) == Health::Probe {
            ejector.probe_sent(now);
        }
        self.tasks.fetch_add(1, Ordering::AcqRel);
        Some(TaskSlot {
            worker: self.clone(),
            _permit: permit,
        })
    }

    /// Records that a task has finished on it.
    pub fn record_task_success(&self) {
        self.task_ejector.lock().success();
    }

    /// Returns whether its mute agent should be asked for a sign of life now; it is asked by
    /// whoever calls this.
    pub fn agent_probe_due(&self, now: Instant) -> bool {
        let mut ejector = self.agent_ejector.lock();
        let due = ejector.health(now) == Health::Probe;
        if due {
            ejector.probe_sent(now);
        }
        due
    }

    /// Records that its agent answered.
    pub fn record_agent_reply(&self) {
        self.agent_ejector.lock().success();
    }

    /// Records that its agent did not answer; returns whether it is ejected from batch work now.
    pub fn record_agent_unresponsive(&self, now: Instant) -> bool {
        self.agent_ejector.lock().failure(now)
    }

    /// Records that a task failed on it; returns whether it is ejected from batch work now.
    pub fn record_task_failure(&self, now: Instant) -> bool {
        self.task_ejector.lock().failure(now)
    }

    /// Returns what may be sent to it.
    pub fn health(&self, now: Instant) -> Health {
        self.record.lock().ejector.health(now)
    }

    /// Describes it for a choice; ejected workers have no free slots unless `ignore_health`.
    pub fn candidate(&self, now: Instant, ignore_health: bool) -> Candidate {
        let record = self.record.lock();
        let health = match ignore_health {
            true => Health::Healthy,
            false => record.ejector.health(now),
        };
        let open = health != Health::Ejected && !self.is_leaving();
        Candidate {
            worker: self.id,
            free: if open { self.gate.free(now) } else { 0 },
            in_use: self.gate.in_use(),
            latency: record.latency.mean(),
            probe: health == Health::Probe,
        }
    }

    /// Returns the moving mean of its latency; zero if unknown.
    pub fn typical_latency(&self) -> Duration {
        self.record.lock().latency.mean()
    }

    /// Records that a probe is on its way.
    pub fn probe_sent(&self, now: Instant) {
        self.record.lock().ejector.probe_sent(now);
    }

    /// Records a good answer.
    pub fn record_success(&self, latency: Duration) {
        let mut record = self.record.lock();
        record.ejector.success();
        record.latency.record(latency);
    }

    /// Records a failure that speaks against the worker; returns whether it is ejected now.
    pub fn record_failure(&self, now: Instant) -> bool {
        self.record.lock().ejector.failure(now)
    }
}

/// A slot that a batch task uses.
pub struct TaskSlot {
    /// The worker.
    pub worker: Arc<Worker>,
    _permit: Permit,
}

impl Drop for TaskSlot {
    fn drop(&mut self) {
        self.worker.tasks.fetch_sub(1, Ordering::AcqRel);
    }
}
