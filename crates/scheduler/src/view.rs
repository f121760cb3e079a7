//! The snapshot of the control state that the control thread publishes for the threads that serve
//! callers.

use {
    marigoldbend_core::{
        hash::HashMap,
        sched::{
            admission::{MAX_OUTLOOK_AGE, Outlook},
            job::JobSpec,
            queues::Queues,
            shard::ServiceLoad,
        },
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How much the own shard's load may exceed that of the least loaded shard before a new job goes to
/// the latter, in thousandths of the shard's CPU capacity for the service.
const RESERVED_MARGIN: u32 = 100;

/// The load of the own shard up to which a new job stays there whatever the load of other shards,
/// in thousandths of the shard's CPU capacity for the service.
const RESERVED_FLOOR: u32 = 600;

/// The value of [`RESERVED_MARGIN`] for jobs with best-effort tasks only.
const BEST_EFFORT_MARGIN: u32 = 150;

/// The value of [`RESERVED_FLOOR`] for jobs with best-effort tasks only.
const BEST_EFFORT_FLOOR: u32 = 200;

/// A shard's leader, from its last heartbeat or from this instance's own state.
#[derive(Clone, Debug)]
pub struct LeaderView {
    /// The leader's name.
    pub name: String,
    /// The leader's address for peers.
    pub address: SocketAddr,
    /// The fencing token.
    pub token: u64,
    /// The version of the lease row.
    pub lease_version: u64,
    /// When the leader's last heartbeat arrived; the time of the snapshot if this instance leads.
    pub last_heard: Instant,
    /// The load of the shard, by service.
    pub loads: HashMap<String, ServiceLoad>,
    /// Whether a service without an entry in `loads` may have a load, since the leader's heartbeats
    /// have no room for all of them.
    pub may_omit_loads: bool,
    /// The number of jobs that have not started, by queue; queues without such jobs are absent.
    pub pending: HashMap<String, u32>,
    /// Whether a queue without an entry in `pending` may have such jobs, since the leader's heartbeats
    /// have no room for all of them.
    pub may_omit_pending: bool,
    /// What new jobs have to expect, and when that was computed; `None` if the leader doesn't know or
    /// tell.
    pub outlooks: Option<(Instant, Arc<[Outlook]>)>,
}

impl LeaderView {
    /// Returns the outlook of a service and its age; `None` if it is not known or too old.
    pub fn outlook(&self, service: &str, now: Instant) -> Option<(&Outlook, Duration)> {
        let (computed_at, outlooks) = self.outlooks.as_ref()?;
        let age = now.saturating_duration_since(*computed_at);
        let outlook = outlooks.iter().find(|o| o.service == service)?;
        (age <= MAX_OUTLOOK_AGE).then_some((outlook, age))
    }
}

/// A snapshot of the control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` before the first is read.
    pub queues: Option<Arc<Queues>>,
    /// When the store certainly had no newer configuration; `None` before the first is read.
    pub config_as_of: Option<Instant>,
    /// The age from which the configuration is out of date.
    pub config_max_age: Duration,
    /// The reachable leaders, by shard.
    pub leaders: HashMap<String, LeaderView>,
    /// The labels of the workers, by service and then by shard.
    pub labels: Arc<HashMap<String, HashMap<String, Vec<String>>>>,
    /// Whether this instance is ready to serve callers.
    pub ready: bool,
    /// Whether this instance is shutting down.
    pub shutting_down: bool,
    /// Whether jobs that would end too late are refused.
    pub admission: bool,
    /// When an instance last had no replies from the store; `None` if never.
    pub store_doubted_at: Option<Instant>,
    /// Whether the store is unreachable for this instance but reachable for a peer.
    pub rejected_by_store: bool,
    /// Whether this instance hears only a minority of its peers and its calls to the store fail.
    pub cut_off: bool,
}

impl View {
    /// Returns the age of the configuration: for how long the store may have had a newer one. It is
    /// zero before the first is read.
    pub fn config_age(&self, now: Instant) -> Duration {
        self.config_as_of
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the shard for a new job; `own` is the shard of this instance's failure domain, or
    /// empty if no shard is preferred.
    ///
    /// Eligible are shards with a reachable leader whose workers have all labels that the job
    /// requires, and of these the ones with the most of the job's preferred racks. The job goes to
    /// the own shard if that is eligible and not much more loaded than the others, otherwise to the
    /// least loaded eligible shard. Without an eligible shard it goes to the own shard.
    pub fn choose_shard(&self, own: &str, job: &JobSpec) -> String {
        let Some(shards) = self.labels.get(&job.service) else {
            return own.to_owned();
        };
        let required_labels = job.steps.iter().filter_map(|s| s.required_label.as_ref());
        let required_labels: Vec<_> = required_labels.collect();
        let preferred_racks = job.steps.iter().filter_map(|s| s.preferred_rack.as_ref());
        let preferred_racks: Vec<_> = preferred_racks.collect();
        let best_effort = job.steps.iter().all(|s| s.best_effort);
        let (margin, floor) = if best_effort {
            (BEST_EFFORT_MARGIN, BEST_EFFORT_FLOOR)
        } else {
            (RESERVED_MARGIN, RESERVED_FLOOR)
        };
        let eligible = shards.iter().filter(|(shard, labels)| {
            self.leaders.contains_key(*shard) && required_labels.iter().all(|n| labels.contains(n))
        });
        let candidates = eligible.map(|(shard, labels)| {
            let rack_matches = preferred_racks
                .iter()
                .filter(|n| labels.contains(n))
                .count();
            let leader = self.leaders.get(shard);
            let load = leader.and_then(|l| l.loads.get(&job.service));
            let is_unknown = load.is_none() && leader.is_some_and(|l| l.may_omit_loads);
            if is_unknown && *shard != own {
                return (rack_matches, u32::MAX, shard);
            }
            let load = load.copied().unwrap_or_default();
            let load = if best_effort {
                load.best_effort
            } else {
                load.reserved
            };
            (rack_matches, load, shard)
        });
        let candidates: Vec<_> = candidates.collect();
        let max_rack_matches = candidates.iter().map(|c| c.0).max().unwrap_or(0);
        let best_matches = candidates.iter().filter(|c| c.0 == max_rack_matches);
        let min_load = best_matches.clone().map(|c| c.1).min().unwrap_or(0);
        let max_load = floor.max(min_load.saturating_add(margin));
        let can_stay = |c: &&(usize, u32, &String)| c.2 == own && c.1 <= max_load;
        if best_matches.clone().any(|c| can_stay(&c)) {
            return own.to_owned();
        }
        let best = best_matches.min_by_key(|c| (c.1, c.2));
        best.map_or_else(|| own.to_owned(), |c| c.2.clone())
    }
}
