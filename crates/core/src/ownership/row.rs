//! The row that records who owns the workers of one failure domain.
//!
//! The slots of each worker are divided into a fallback share ([`fallback_share`]) and a reserve
//! share ([`reserve_share`]). An owner uses both while its ownership is confirmed, and only the
//! fallback share otherwise. When an owner falls silent, another member may take over the
//! reserve share.

use {
    crate::ids::{Domain, Epoch, Incarnation, WorkerId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An entry instance that owns, or may come to own, workers of its failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// The instance's name in the platform's instance list.
    pub name: String,
    /// The address at which peers reach the instance.
    pub peer: SocketAddr,
}

/// The members that may admit work to a worker, and their shares of its slots.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// No member.
    #[default]
    Free,
    /// One member owns all slots.
    Whole {
        /// The owner.
        owner: Incarnation,
    },
    /// The owner fell silent and another member took over the reserve share.
    Split {
        /// The owner that fell silent; it keeps the fallback share.
        primary: Incarnation,
        /// The member that holds the reserve share.
        reserve: Incarnation,
    },
}

impl Holding {
    /// Returns the members that hold a share.
    pub fn holders(&self) -> impl Iterator<Item = Incarnation> {
        let (a, b) = match *self {
            Self::Free => (None, None),
            Self::Whole { owner } => (Some(owner), None),
            Self::Split { primary, reserve } => (Some(primary), Some(reserve)),
        };
        a.into_iter().chain(b)
    }

    /// Returns the owner if the holding is [`Holding::Whole`].
    pub fn whole_owner(&self) -> Option<Incarnation> {
        match *self {
            Self::Whole { owner } => Some(owner),
            _ => None,
        }
    }
}

/// The ownership of one worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRow {
    /// The worker.
    pub worker: WorkerId,
    /// The fencing token; it grows by one with every change of `holding`.
    pub epoch: Epoch,
    /// The members that hold a share of the worker.
    pub holding: Holding,
    /// Whether the last change of `holding` left no work of previous holders in flight.
    ///
    /// If `false`, a member that gained a share by that change waits for
    /// [`Timing::takeover_wait`](super::Timing::takeover_wait) before it uses the share.
    pub drained: bool,
}

/// The ownership of all workers of one failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainRow {
    /// The failure domain.
    pub domain: Domain,
    /// The members, silent ones included.
    ///
    /// A member is removed when it leaves, when the platform lists its instance as ended, or
    /// when another process joins at its peer address.
    pub members: Vec<Member>,
    /// The workers of the domain, ascending by id.
    pub workers: Vec<WorkerRow>,
}

impl DomainRow {
    /// Returns whether `incarnation` is a member.
    pub fn is_member(&self, incarnation: Incarnation) -> bool {
        self.members.iter().any(|m| m.incarnation == incarnation)
    }

    /// Returns the member with this incarnation, if there is one.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == incarnation)
    }

    /// Returns the ownership of a worker, or `None` if the row does not list it.
    pub fn worker(&self, worker: WorkerId) -> Option<&WorkerRow> {
        let index = self.workers.binary_search_by_key(&worker, |w| w.worker);
        index.ok().map(|i| &self.workers[i])
    }

    /// Returns how many workers a member owns with all slots ([`Holding::Whole`]).
    pub fn whole_count(&self, incarnation: Incarnation) -> usize {
        let is_owned = |w: &&WorkerRow| w.holding.whole_owner() == Some(incarnation);
        self.workers.iter().filter(is_owned).count()
    }
}

/// Returns how many slots of a worker another member may take over while the owner is silent: a
/// quarter of `slots`, rounded down.
pub fn reserve_share(slots: u32) -> u32 {
    slots / 4
}

/// Returns how many slots of a worker the owner may use while its ownership is not confirmed: all
/// slots except the [`reserve_share`].
pub fn fallback_share(slots: u32) -> u32 {
    slots - reserve_share(slots)
}
