//! The next ownership row, computed from the present one.
//!
//! Each function is one transition. The caller writes the result with compare-and-set on the
//! version it was computed from, so a transition is never applied to another row than this.

use {
    super::row::{DomainRow, Holding, Member, WorkerRow},
    crate::ids::{Epoch, Incarnation, WorkerId},
};

/// Adds a member and the workers of the domain that the row does not know yet.
///
/// A member at the same peer address is removed: only one process can be bound to it, so the
/// earlier one has ended.
pub fn join(row: &DomainRow, me: &Member, workers: &[WorkerId]) -> DomainRow {
    let mut next = row.clone();
    next.members
        .retain(|m| m.peer != me.peer && m.incarnation != me.incarnation);
    next.members.push(me.clone());
    add_workers(&mut next, workers);
    next
}

/// Adds workers that the row does not know yet, as free.
pub fn add_workers(row: &mut DomainRow, workers: &[WorkerId]) {
    for &worker in workers {
        if let Err(at) = row.workers.binary_search_by_key(&worker, |w| w.worker) {
            let fresh = WorkerRow {
                worker,
                epoch: Epoch(1),
                holding: Holding::Free,
                drained: true,
            };
            row.workers.insert(at, fresh);
        }
    }
}

/// Removes members that are proven to be gone; what they held is claimed separately.
pub fn remove_members(row: &DomainRow, gone: &[Incarnation]) -> DomainRow {
    let mut next = row.clone();
    next.members.retain(|m| !gone.contains(&m.incarnation));
    next
}

/// Claims up to `limit` workers that are free or whose holders are gone.
///
/// Completing a split worker, whose other holder is gone, does not count against the limit.
pub fn claim(row: &DomainRow, me: Incarnation, limit: usize) -> DomainRow {
    let mut next = row.clone();
    let mut left = limit;
    for w in &mut next.workers {
        let Some(drained) = claimable(row, w, me) else {
            continue;
        };
        let mine_already = w.holding.holders().any(|h| h == me);
        if !mine_already {
            if left == 0 {
                continue;
            }
            left -= 1;
        }
        set(w, Holding::Whole { owner: me }, drained);
    }
    next
}

/// Returns whether `me` may claim the worker, and if so whether it is drained.
fn claimable(row: &DomainRow, w: &WorkerRow, me: Incarnation) -> Option<bool> {
    let gone = |i: Incarnation| !row.is_member(i);
    match w.holding {
        Holding::Free => Some(w.drained),
        Holding::Whole { owner } => gone(owner).then_some(false),
        Holding::Split { primary, reserve } => {
            let rest_gone = [primary, reserve].iter().all(|&i| i == me || gone(i));
            rest_gone.then_some(false)
        }
    }
}

/// Takes the reserve share of every worker that a silent member holds whole.
///
/// The caller must hold the word of every other member that it no longer confirms `silent`.
pub fn take_reserve(row: &DomainRow, me: Incarnation, silent: Incarnation) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if w.holding.whole_owner() == Some(silent) {
            let split = Holding::Split {
                primary: silent,
                reserve: me,
            };
            set(w, split, false);
        }
    }
    next
}

/// Gives reserve shares back to their primaries; the caller has nothing in flight on them.
///
/// `settled` tells whether the caller's own wait for earlier holders is over; until then the
/// worker may still be running what they left behind.
pub fn release_reserves(
    row: &DomainRow,
    me: Incarnation,
    workers: &[WorkerId],
    settled: impl Fn(WorkerId) -> bool,
) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if let Holding::Split { primary, reserve } = w.holding
            && reserve == me
            && workers.contains(&w.worker)
        {
            let drained = settled(w.worker);
            set(w, Holding::Whole { owner: primary }, drained);
        }
    }
    next
}

/// Hands a worker from its owner to another member; the owner has nothing in flight on it and
/// has waited for earlier holders.
pub fn hand_over(row: &DomainRow, me: Incarnation, worker: WorkerId, to: Incarnation) -> DomainRow {
    let mut next = row.clone();
    for w in &mut next.workers {
        if w.worker == worker && w.holding.whole_owner() == Some(me) {
            set(w, Holding::Whole { owner: to }, true);
        }
    }
    next
}

/// Removes a member that has nothing in flight.
///
/// Its workers go to the members in `heirs`, in turn; without heirs they become free. `settled`
/// tells whether the member's own wait for earlier holders is over.
pub fn leave(
    row: &DomainRow,
    me: Incarnation,
    heirs: &[Incarnation],
    settled: impl Fn(WorkerId) -> bool,
) -> DomainRow {
    let mut next = row.clone();
    let mut turn = heirs.iter().cycle();
    for w in &mut next.workers {
        let given = match w.holding {
            Holding::Whole { owner } if owner == me => match turn.next() {
                Some(&heir) => Holding::Whole { owner: heir },
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
        let drained = settled(w.worker);
        set(w, given, drained);
    }
    next.members.retain(|m| m.incarnation != me);
    next
}

fn set(w: &mut WorkerRow, holding: Holding, drained: bool) {
    w.holding = holding;
    w.drained = drained;
    w.epoch = Epoch(w.epoch.0 + 1);
}
