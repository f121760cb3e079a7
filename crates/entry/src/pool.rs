//! The workers of one service on which this instance may use slots, and the queue of requests
//! that wait for a slot.

use {
    crate::worker::Worker,
    arc_swap::ArcSwap,
    marigoldbend::core::{
        admission::Permit,
        ejection::Health,
        ids::WorkerId,
        latency::LatencyEstimate,
        retry::RetryBudget,
        routing::{Candidate, choose},
    },
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout_at},
};

/// The number of retries that the budget allows per hundred requests.
const RETRY_PERCENT: u32 = 10;

/// The maximum number of retries that the budget allows at once.
const RETRY_BURST: u32 = 10;

/// The shortest timeout for the first byte of a response.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest timeout for the first byte of a response.
const MAX_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A slot of a worker, which is in use until `permit` is dropped.
pub struct RequestSlot {
    /// The worker.
    pub worker: Arc<Worker>,
    /// The permit to use the slot.
    pub permit: Permit,
}

/// A queued request.
struct Waiter {
    /// When the request stops waiting.
    deadline: Instant,
    /// Sends the request the slot that is assigned to it.
    tx: oneshot::Sender<RequestSlot>,
}

/// The workers of one service and the queue of requests for them.
pub struct ServicePool {
    /// Limits the retries of requests to the service.
    pub retry_budget: RetryBudget,
    workers: ArcSwap<Vec<Arc<Worker>>>,
    queue: Mutex<VecDeque<Waiter>>,
    latency: Mutex<LatencyEstimate>,
}

impl ServicePool {
    /// Creates a pool without workers.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            retry_budget: RetryBudget::new(RETRY_PERCENT, RETRY_BURST),
            workers: ArcSwap::default(),
            queue: Mutex::default(),
            latency: Mutex::default(),
        })
    }

    /// Replaces the workers and assigns their free slots to queued requests.
    pub fn set_workers(&self, workers: Vec<Arc<Worker>>) {
        self.workers.store(Arc::new(workers));
        self.assign_slots();
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.lock().len()
    }

    /// Returns the number of slots, free or in use, that this instance may use now on healthy
    /// workers.
    pub fn slots(&self, now: Instant) -> u32 {
        let workers = self.workers.load();
        let usable = |w: &&Arc<Worker>| w.health(now) == Health::Healthy && !w.is_leaving();
        let usable = workers.iter().filter(usable);
        usable.map(|w| w.gate.limit(now)).sum()
    }

    /// Records the latency of a successful response.
    pub fn record_latency(&self, latency: Duration) {
        self.latency.lock().record(latency);
    }

    /// Returns the timeout for the first byte of a response, which follows from recent latencies.
    pub fn first_byte_timeout(&self) -> Duration {
        let latency = self.latency.lock();
        latency.first_byte_timeout(MIN_FIRST_BYTE_TIMEOUT, MAX_FIRST_BYTE_TIMEOUT)
    }

    /// Returns the expected wait of a request that is queued now; [`Duration::MAX`] if this
    /// instance has no slots.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let slots = self.slots(now);
        if slots == 0 {
            return Duration::MAX;
        }
        let queued_ahead = u32::try_from(self.queue_len()).unwrap_or(u32::MAX);
        let mean = self.latency.lock().mean();
        mean.saturating_mul(queued_ahead.saturating_add(1)) / slots
    }

    /// Acquires a slot of a worker that is not in `excluded`; `None` if no slot is free or if other
    /// requests are queued.
    pub fn try_acquire(&self, now: Instant, excluded: &[WorkerId]) -> Option<RequestSlot> {
        if !self.queue.lock().is_empty() {
            return None;
        }
        self.acquire_slot(now, excluded, false)
    }

    /// Acquires a slot of a worker that is not in `excluded`, even if the worker is ejected. If all
    /// workers are ejected, the workers are probably not the cause of the failures.
    pub fn try_acquire_any(&self, now: Instant, excluded: &[WorkerId]) -> Option<RequestSlot> {
        self.acquire_slot(now, excluded, true)
    }

    /// Queues a request until it gets a slot; `None` if it got none before `deadline`, or if
    /// `max_queued` requests are queued already.
    pub async fn wait_for_slot(&self, deadline: Instant, max_queued: u32) -> Option<RequestSlot> {
        let (tx, rx) = oneshot::channel();
        {
            let mut queue = self.queue.lock();
            if queue.len() >= max_queued as usize {
                return None;
            }
            queue.push_back(Waiter { deadline, tx });
        }
        // A slot may have become free before the waiter was queued.
        self.assign_slots();
        timeout_at(deadline.into(), rx).await.ok()?.ok()
    }

    /// Assigns free slots to queued requests in order of arrival.
    pub fn assign_slots(&self) {
        loop {
            let now = Instant::now();
            let mut queue = self.queue.lock();
            while queue
                .front()
                .is_some_and(|w| w.deadline <= now || w.tx.is_closed())
            {
                queue.pop_front();
            }
            if queue.is_empty() {
                return;
            }
            let Some(slot) = self.acquire_slot(now, &[], false) else {
                return;
            };
            let waiter = queue.pop_front();
            // If the request has stopped waiting, the slot is dropped, and the release callback
            // calls this function again; the queue must be unlocked by then.
            drop(queue);
            if let Some(waiter) = waiter {
                let _ = waiter.tx.send(slot);
            }
        }
    }

    fn acquire_slot(
        &self,
        now: Instant,
        excluded: &[WorkerId],
        ignore_health: bool,
    ) -> Option<RequestSlot> {
        const MAX_TRIES: usize = 3;
        let workers = self.workers.load();
        let mut rng = rand::rng();
        for _ in 0..MAX_TRIES {
            let candidates = candidates(&workers, now, excluded, ignore_health);
            let index = choose(&candidates, &mut rng)?;
            let worker = &workers[index];
            // Another thread may have acquired the slot in the meantime.
            let Some(permit) = worker.gate.try_acquire(now) else {
                continue;
            };
            if candidates[index].probe {
                worker.probe_sent(now);
            }
            return Some(RequestSlot {
                worker: worker.clone(),
                permit,
            });
        }
        None
    }
}

/// Describes the workers for [`choose`]; with `ignore_health`, ejected workers count as healthy.
fn candidates(
    workers: &[Arc<Worker>],
    now: Instant,
    excluded: &[WorkerId],
    ignore_health: bool,
) -> Vec<Candidate> {
    let describe = |w: &Arc<Worker>| {
        let mut candidate = w.candidate(now, ignore_health);
        if excluded.contains(&w.id) {
            candidate.free = 0;
        }
        candidate
    };
    workers.iter().map(describe).collect()
}
