//! A worker as this instance uses it: the worker's slots, its upstream and its health.

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

/// Health and latency of a worker's upstream, from its responses to requests.
#[derive(Debug, Default)]
struct UpstreamHealth {
    ejector: Ejector,
    latency: LatencyEstimate,
}

/// A worker of this failure domain.
pub struct Worker {
    /// The worker's id in the platform's list.
    pub id: WorkerId,
    /// The name of the service that runs on the worker.
    pub service: String,
    /// Admits work to the slots that this instance may use.
    pub gate: Arc<Gate>,
    /// The connections to the worker's upstream.
    pub upstream: Upstream,
    /// The address of the worker's task agent.
    pub agent: SocketAddr,
    /// The epoch of the worker's ownership; zero until it is set.
    epoch: AtomicU64,
    leaving: AtomicBool,
    /// The number of slots that batch tasks of this instance use.
    tasks: AtomicU32,
    upstream_health: Mutex<UpstreamHealth>,
    /// Ejects the worker from batch work if tasks fail, which can happen while its upstream is
    /// healthy.
    task_ejector: Mutex<Ejector>,
    /// Ejects the worker from batch work if its task agent does not reply.
    agent_ejector: Mutex<Ejector>,
}

impl Worker {
    /// Creates a worker from its entry in the platform's list; connections are made from
    /// `local_ip`, if it is set, and `on_release` is called whenever a slot becomes free.
    pub fn new(
        listed: &wire::Worker,
        local_ip: Option<IpAddr>,
        confirmation: Arc<OwnershipConfirmation>,
        on_release: impl Fn() + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: listed.id,
            service: listed.service.clone(),
            gate: Gate::with_release_callback(confirmation, Box::new(on_release)),
            upstream: Upstream::new(listed.upstream, local_ip),
            agent: listed.agent,
            epoch: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            tasks: AtomicU32::new(0),
            upstream_health: Mutex::default(),
            task_ejector: Mutex::default(),
            agent_ejector: Mutex::default(),
        })
    }

    /// Returns the epoch of the worker's ownership; zero until it is set.
    pub fn epoch(&self) -> Epoch {
        Epoch(self.epoch.load(Ordering::Relaxed))
    }

    /// Sets the epoch of the worker's ownership.
    pub fn set_epoch(&self, epoch: Epoch) {
        self.epoch.store(epoch.0, Ordering::Relaxed);
    }

    /// Returns whether the platform's list or a peer reported the worker as leaving. A leaving
    /// worker receives no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks the worker as leaving, permanently.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns the number of slots that batch tasks of this instance use on the worker.
    pub fn tasks(&self) -> u32 {
        self.tasks.load(Ordering::Acquire)
    }

    /// Acquires a slot for a batch task; `None` if the worker is leaving or unhealthy, if it runs
    /// `max_tasks` tasks of this instance already, or if fewer than `reserved` slots would stay
    /// free.
    pub fn try_acquire_for_task(
        self: &Arc<Self>,
        max_tasks: u32,
        reserved: u32,
        now: Instant,
    ) -> Option<TaskSlot> {
        let healthy = self.health(now) == Health::Healthy;
        if self.is_leaving()
            || !healthy
            || self.tasks() >= max_tasks
            || self.gate.free(now) <= reserved
        {
            return None;
        }
        // An ejected agent is probed with a usage request instead of a task, because a task that is
        // sent to an unresponsive agent loses too much time.
        if self.agent_ejector.lock().health(now) != Health::Healthy {
            return None;
        }
        let mut ejector = self.task_ejector.lock();
        if ejector.health(now) == Health::Ejected {
            return None;
        }
        let permit = self.gate.try_acquire(now)?;
        if ejector.health(now) == Health::Probe {
            ejector.record_probe(now);
        }
        self.tasks.fetch_add(1, Ordering::AcqRel);
        Some(TaskSlot {
            worker: self.clone(),
            _permit: permit,
        })
    }

    /// Records that a task succeeded on the worker.
    pub fn record_task_success(&self) {
        self.task_ejector.lock().record_success();
    }

    /// Returns whether the worker's agent is ejected and due for a probe. If so, the probe counts
    /// as sent, and the caller must send it.
    pub fn agent_probe_due(&self, now: Instant) -> bool {
        let mut ejector = self.agent_ejector.lock();
        let due = ejector.health(now) == Health::Probe;
        if due {
            ejector.record_probe(now);
        }
        due
    }

    /// Records that the worker's agent replied.
    pub fn record_agent_reply(&self) {
        self.agent_ejector.lock().record_success();
    }

    /// Records that the worker's agent did not reply; returns whether this ejects the worker from
    /// batch work.
    pub fn record_agent_unresponsive(&self, now: Instant) -> bool {
        self.agent_ejector.lock().record_failure(now)
    }

    /// Records that a task failed on the worker; returns whether this ejects the worker from batch
    /// work.
    pub fn record_task_failure(&self, now: Instant) -> bool {
        self.task_ejector.lock().record_failure(now)
    }

    /// Returns the health of the upstream; an ejected worker receives neither requests nor tasks.
    pub fn health(&self, now: Instant) -> Health {
        self.upstream_health.lock().ejector.health(now)
    }

    /// Describes the worker as a candidate for a request. An ejected worker has no free slots,
    /// unless `ignore_health` is set.
    pub fn candidate(&self, now: Instant, ignore_health: bool) -> Candidate {
        let upstream_health = self.upstream_health.lock();
        let health = match ignore_health {
            true => Health::Healthy,
            false => upstream_health.ejector.health(now),
        };
        let is_usable = health != Health::Ejected && !self.is_leaving();
        Candidate {
            worker: self.id,
            free: if is_usable { self.gate.free(now) } else { 0 },
            in_use: self.gate.in_use(),
            latency: upstream_health.latency.mean(),
            probe: health == Health::Probe,
        }
    }

    /// Returns the moving average of the upstream's latency; zero before the first response.
    pub fn typical_latency(&self) -> Duration {
        self.upstream_health.lock().latency.mean()
    }

    /// Records that a request was sent to the upstream as a probe.
    pub fn probe_sent(&self, now: Instant) {
        self.upstream_health.lock().ejector.record_probe(now);
    }

    /// Records a successful response and its latency.
    pub fn record_success(&self, latency: Duration) {
        let mut upstream_health = self.upstream_health.lock();
        upstream_health.ejector.record_success();
        upstream_health.latency.record(latency);
    }

    /// Records a failure caused by the worker; returns whether this ejects the worker.
    pub fn record_failure(&self, now: Instant) -> bool {
        self.upstream_health.lock().ejector.record_failure(now)
    }
}

/// A slot of a worker, which a batch task uses until this value is dropped.
pub struct TaskSlot {
    /// The worker that the slot belongs to.
    pub worker: Arc<Worker>,
    _permit: Permit,
}

impl Drop for TaskSlot {
    fn drop(&mut self) {
        self.worker.tasks.fetch_sub(1, Ordering::AcqRel);
    }
}
