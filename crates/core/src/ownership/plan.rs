//! Transitions of the ownership row.
//!
//! Each function computes the next row from the current one. The caller writes the result with
//! compare-and-set on the version of the current row, so a transition is never applied to a row
//! that has changed in between. The parameter `me` is the instance that writes the row.

use {
    super::row::{DomainRow, Holding, Member, WorkerRow},
    crate::ids::{Epoch, Incarnation, WorkerId},
};

/// Adds the member `me`, and the workers in `workers` that the row does not list yet.
///
/// A member with the same peer address is removed: only one process can be bound to an address,
/// so the process of that member has ended.
pub fn join(row: &DomainRow, me: &Member, workers: &[WorkerId]) -> DomainRow {
    let mut next = row.clone();
    next.members
        .retain(|m| m.peer != me.peer && m.incarnation != me.incarnation);
    next.members.push(me.clone());
    add_workers(&mut next, workers);
    next
}

/// Adds the workers in `workers` that the row does not list yet, as free and drained.
pub fn add_workers(row: &mut DomainRow, workers: &[WorkerId]) {
    for &worker in workers {
        if let Err(index) = row.workers.binary_search_by_key(&worker, |w| w.worker) {
            let new_worker = WorkerRow {
                worker,
                epoch: Epoch(1),
                holding: Holding::Free,
                drained: true,
            };
            row.workers.insert(index, new_worker);
        }
    }
}

/// Removes the members in `gone`, whose processes have ended.
///
/// Workers that these members hold keep their holdings until [`claim`] assigns them to another
/// member.
pub fn remove_members(row: &DomainRow, gone: &[Incarnation]) -> DomainRow {
    let mut next = row.clone();
    next.members.retain(|m| !gone.contains(&m.incarnation));
    next
}

/// Makes `me` the owner of up to `max_workers` workers that are free or whose holders are no longer
/// members.
///
/// A split worker of which `me` already holds a share does not count against `max_workers`.
pub fn claim(row: &DomainRow, me: Incarnation, max_workers: usize) -> DomainRow {
    let mut next = row.clone();
    let mut remaining = max_workers;
    for w in &mut next.workers {
        let Some(drained) = claimable(row, w, me) else {
            continue;
        };
        let holds_share = w.holding.holders().any(|h| h == me);
        if !holds_share {
            if remaining == 0 {
                continue;
            }
            remaining -= 1;
        }
        set_holding(w, Holding::Whole { owner: me }, drained);
    }
    next
}

/// Returns whether the worker `w` is drained, or `None` if `me` may not claim it.
fn claimable(row: &DomainRow, w: &WorkerRow, me: Incarnation) -> Option<bool> {
    let is_gone = |i: Incarnation| !row.is_member(i);
    match w.holding {
        Holding::Free => Some(w.drained),
        Holding::Whole { owner } => is_gone(owner).then_some(false),
        Holding::Split { primary, reserve } => {
            let others_gone = [primary, reserve].iter().all(|&i| i == me || is_gone(i));
            others_gone.then_some(false)
        }
    }
}

/// Gives `me` the reserve share of every worker that the silent member owns with all slots.
///
/// Every member except `me` and `silent` must have promised `me` not to confirm `silent` any more;
/// see [`PromiseRequest`](super::PromiseRequest).
pub fn take_reserve(row: &DomainRow, me: Incarnation, silent: Incarnation) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if w.holding.whole_owner() == Some(silent) {
            let split = Holding::Split {
                primary: silent,
                reserve: me,
            };
            set_holding(w, split, false);
        }
    }
    next
}

/// Returns the reserve shares of `workers` to their primaries; `me` must have nothing in flight
/// on these workers.
///
/// `is_wait_over` tells whether `me` has completed its [takeover
/// wait](super::Timing::takeover_wait) for a worker; until then the worker may still run work of
/// previous holders.
pub fn release_reserves(
    row: &DomainRow,
    me: Incarnation,
    workers: &[WorkerId],
    is_wait_over: impl Fn(WorkerId) -> bool,
) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if let Holding::Split { primary, reserve } = w.holding
            && reserve == me
            && workers.contains(&w.worker)
        {
            let drained = is_wait_over(w.worker);
            set_holding(w, Holding::Whole { owner: primary }, drained);
        }
    }
    next
}

/// Changes the owner of a worker from `me` to the member `recipient`.
///
/// `me` must have nothing in flight on the worker and must have completed its takeover wait for it.
pub fn hand_over(
    row: &DomainRow,
    me: Incarnation,
    worker: WorkerId,
    recipient: Incarnation,
) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if w.worker == worker && w.holding.whole_owner() == Some(me) {
            set_holding(w, Holding::Whole { owner: recipient }, true);
        }
    }
    next
}

/// Removes the member `me`, which must have nothing in flight.
///
/// The workers that `me` owns are assigned to the members in `successors` in turn; without
/// successors they become free. The other holder of a split worker becomes its owner.
/// `is_wait_over` tells whether `me` has completed its takeover wait for a worker.
pub fn leave(
    row: &DomainRow,
    me: Incarnation,
    successors: &[Incarnation],
    is_wait_over: impl Fn(WorkerId) -> bool,
) -> DomainRow {
    let mut next = row.clone();
    let mut rotation = successors.iter().cycle();
    for w in &mut next.workers {
        let holding = match w.holding {
            Holding::Whole { owner } if owner == me => match rotation.next() {
                Some(&successor) => Holding::Whole { owner: successor },
                None => Holding::Free,
            },
            Holding::Split { primary, reserve } if reserve == me => {
                Holding::Whole { owner: primary }
            }
            Holding::Split { primary, reserve } if primary == me => {
                Holding::Whole { owner: reserve }
            }
            _ => continue,
        };
        let drained = is_wait_over(w.worker);
        set_holding(w, holding, drained);
    }
    next.members.retain(|m| m.incarnation != me);
    next
}

fn set_holding(w: &mut WorkerRow, holding: Holding, drained: bool) {
    w.holding = holding;
    w.drained = drained;
    w.epoch = Epoch(w.epoch.0 + 1);
}
