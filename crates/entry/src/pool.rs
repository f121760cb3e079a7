//! The workers of one service that this instance may use, and the requests that wait for them.

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

/// Retries allowed per hundred requests.
const RETRY_PERCENT: u32 = 10;

/// Retries allowed at once.
const RETRY_BURST: u32 = 10;

/// Bounds of the wait for a first byte.
const FIRST_BYTE_FLOOR: Duration = Duration::from_millis(250);
const FIRST_BYTE_CEILING: Duration = Duration::from_millis(1_000);

/// A worker and a slot of it.
pub struct RequestSlot {
    /// The worker.
    pub worker: Arc<Worker>,
    /// The slot.
    pub permit: Permit,
}

struct Waiter {
    until: Instant,
    tx: oneshot::Sender<RequestSlot>,
}

/// The workers of one service and the queue in front of them.
pub struct ServicePool {
    /// Bounds the retries of the service.
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

    /// Replaces the workers.
    pub fn set_workers(&self, workers: Vec<Arc<Worker>>) {
        self.workers.store(Arc::new(workers));
        self.assign_slots();
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.lock().len()
    }

    /// Returns the slots of healthy workers that this instance may use now.
    pub fn slots(&self, now: Instant) -> u32 {
        let workers = self.workers.load();
        let usable = |w: &&Arc<Worker>| w.health(now) == Health::Healthy && !w.is_leaving();
        let usable = workers.iter().filter(usable);
        usable.map(|w| w.gate.limit(now)).sum()
    }

    /// Records the latency of one good answer.
    pub fn record_latency(&self, latency: Duration) {
        self.latency.lock().record(latency);
    }

    /// Returns how long to wait for the first byte of an answer.
    pub fn first_byte_timeout(&self) -> Duration {
        let latency = self.latency.lock();
        latency.first_byte_timeout(FIRST_BYTE_FLOOR, FIRST_BYTE_CEILING)
    }

    /// Returns the expected wait of a request that joins the queue now.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let slots = self.slots(now);
        if slots == 0 {
            return Duration::MAX;
        }
        let ahead = u32::try_from(self.waiting()).unwrap_or(u32::MAX);
        let mean = self.latency.lock().mean();
        mean.saturating_mul(ahead.saturating_add(1)) / slots
    }

    /// Takes a slot now, unless others wait already; `except` are workers not to use.
    pub fn try_acquire(&self, now: Instant, except: &[WorkerId]) -> Option<RequestSlot> {
        if !self.queue.lock().is_empty() {
            return None;
        }
        self.pick(now, except, false)
    }

    /// Takes a slot of any worker, ejected ones among them: when all are ejected, the fault is
    /// hardly theirs.
    pub fn try_acquire_any(&self, now: Instant, except: &[WorkerId]) -> Option<RequestSlot> {
        self.pick(now, except, true)
    }

    /// Waits for a slot until `until`; `None` if there was none, or no room to wait.
    pub async fn wait_for_slot(&self, until: Instant, room: u32) -> Option<RequestSlot> {
        let (tx, rx) = oneshot::channel();
        {
            let mut queue = self.queue.lock();
            if queue.len() >= room as usize {
                return None;
            }
            queue.push_back(Waiter { until, tx });
        }
        // A slot may have been freed before the waiter was in the queue.
        self.assign_slots();
        timeout_at(until.into(), rx).await.ok()?.ok()
    }

    /// Gives free slots to those who wait, first come first served.
    pub fn assign_slots(&self) {
        loop {
            let now = Instant::now();
            let mut queue = self.queue.lock();
            while queue
                .front()
                .is_some_and(|w| w.until <= now || w.tx.is_closed())
            {
                queue.pop_front();
            }
            if queue.is_empty() {
                return;
            }
            let Some(slot) = self.pick(now, &[], false) else {
                return;
            };
            let waiter = queue.pop_front();
            // A refused grant is dropped, which frees its slot and comes back here.
            drop(queue);
            if let Some(waiter) = waiter {
                let _ = waiter.tx.send(slot);
            }
        }
    }

    fn pick(&self, now: Instant, except: &[WorkerId], any: bool) -> Option<RequestSlot> {
        const TRIES: usize = 3;
        let workers = self.workers.load();
        let mut rng = rand::rng();
        for _ in 0..TRIES {
            let candidates = candidates(&workers, now, except, any);
            let at = choose(&candidates, &mut rng)?;
            let worker = &workers[at];
            // Another thread may have taken the slot since.
            let Some(permit) = worker.gate.try_acquire(now) else {
                continue;
            };
            if candidates[at].probe {
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

/// Describes the workers for a choice; `any` makes ejected ones count as healthy.
fn candidates(
    workers: &[Arc<Worker>],
    now: Instant,
    except: &[WorkerId],
    any: bool,
) -> Vec<Candidate> {
    let describe = |w: &Arc<Worker>| {
        let mut candidate = w.candidate(now, any);
        if except.contains(&w.id) {
            candidate.free = 0;
        }
        candidate
    };
    workers.iter().map(describe).collect()
}
