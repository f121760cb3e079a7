//! The row that records who owns the workers of one failure domain.

use {
    crate::ids::{Domain, Epoch, Incarnation, WorkerId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An entry instance that takes part in its domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The instance's name in the platform's instance list.
    pub name: String,
    /// Where its peers reach it.
    pub peer: SocketAddr,
}

/// Who may admit work to a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Holding {
    /// Nobody; the last owner has drained it.
    #[default]
    Free,
    /// One owner has all of it.
    Whole {
        /// The owner.
        owner: Incarnation,
    },
    /// The primary fell silent and another member holds the reserve share.
    Split {
        /// The silent owner, which keeps the fallback share.
        primary: Incarnation,
        /// The member that took over the reserve share.
        reserve: Incarnation,
    },
}

impl Holding {
    /// Returns the incarnations that hold a share.
    pub fn holders(&self) -> impl Iterator<Item = Incarnation> {
        let (a, b) = match *self {
            Self::Free => (None, None),
            Self::Whole { owner } => (Some(owner), None),
            Self::Split { primary, reserve } => (Some(primary), Some(reserve)),
        };
        a.into_iter().chain(b)
    }

    /// Returns the owner if the worker is held whole.
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
    /// Grows with every change of `holding`.
    pub epoch: Epoch,
    /// Who holds it.
    pub holding: Holding,
    /// Whether nothing of earlier holders can be in flight any more; if not, whoever gains a
    /// share by this change waits until that work must have ended.
    pub drained: bool,
}

/// The ownership of all workers of one failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainRow {
    /// The domain.
    pub domain: Domain,
    /// Members that are not proven to be gone.
    pub members: Vec<Member>,
    /// Workers, ascending by id.
    pub workers: Vec<WorkerRow>,
}

impl DomainRow {
    /// Returns whether `incarnation` is a member.
    pub fn is_member(&self, incarnation: Incarnation) -> bool {
        self.members.iter().any(|m| m.incarnation == incarnation)
    }

    /// Returns the member with this incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == incarnation)
    }

    /// Returns the ownership of a worker.
    pub fn worker(&self, worker: WorkerId) -> Option<&WorkerRow> {
        let at = self.workers.binary_search_by_key(&worker, |w| w.worker);
        at.ok().map(|i| &self.workers[i])
    }

    /// Returns how many workers an incarnation holds whole.
    pub fn whole_count(&self, incarnation: Incarnation) -> usize {
        let owned = |w: &&WorkerRow| w.holding.whole_owner() == Some(incarnation);
        self.workers.iter().filter(owned).count()
    }
}

/// The share of a worker's slots that a silent owner's successor may use.
pub fn reserve_share(slots: u32) -> u32 {
    slots / 4
}

/// The share of a worker's slots that an owner may use while it is not confirmed.
pub fn fallback_share(slots: u32) -> u32 {
    slots - reserve_share(slots)
}
