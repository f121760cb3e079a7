//! Weighted max-min shares of a resource that is demanded more than there is of it.

/// What one user demands of a resource, in any unit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The amount.
    pub amount: i64,
    /// The weight of the user's share, above zero.
    pub weight: i64,
}

/// Returns how much each user gets of `room`.
///
/// A user gets no more than it demands. What it leaves of its weighted share is borrowed by those that
/// demand more than theirs. Amounts are rounded down.
pub fn fair_shares(demands: &[Demand], room: i64) -> Vec<i64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let per_weight = |i: &usize| {
        let demand = demands[*i];
        (demand.amount / demand.weight.max(1), *i)
    };
    order.sort_unstable_by_key(per_weight);
    let mut room = room.max(0);
    let mut weights: i64 = demands.iter().map(|d| d.weight.max(1)).sum();
    let mut shares = vec![0; demands.len()];
    for i in order {
        let weight = demands[i].weight.max(1);
        shares[i] = demands[i].amount.max(0).min(room * weight / weights);
        room -= shares[i];
        weights -= weight;
    }
    shares
}
