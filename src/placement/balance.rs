use {
    super::{
        draft::{is_side_compatible, Draft, RANGE_LOAD_MIN_SLOTS},
        move_candidate::{self, MeanServer, Transfer},
        Action, ImbalanceCost, Reason, ServerView, ServicePlannerState,
    },
    crate::clock::Ms,
};

/// Relative deviation from the mean utilisation that costs a server nothing.
const IMBALANCE_TOLERANCE: f64 = 0.03;
/// Utilisation above which callers wait for a free slot of a server.
const BUSY_UTILISATION: f64 = 0.85;
/// Cost in weighted seconds that a busy server adds each second, for each unit of utilisation above
/// [`BUSY_UTILISATION`] and each unit of the weight of unavailable time.
const BUSY_COST_PER_SECOND: f64 = 30.0;
/// Factor by which the accumulated cost shrinks in each second in which a server adds no cost.
const COST_DECAY_PER_SECOND: f64 = 0.5;
/// Longest time since the last plan for which costs are added.
const PLAN_INTERVAL_MAX: Ms = Ms(10_000);
/// Maximum number of moves from or to one server in one plan.
const MOVES_PER_SERVER_MAX: usize = 4;

/// Moves load from and to servers whose accumulated cost of imbalance has reached the price of a move.
///
/// This is the break-even algorithm for the rent-or-buy (ski rental) problem: the cost of imbalance is the rent, a
/// move is the purchase, and a server moves load once its rent equals the price. The total cost is at most twice
/// that of a planner that knows the future load.
pub(super) fn balance(draft: &mut Draft<'_>, service_state: &mut ServicePlannerState, now: Ms) {
    let mean_utilisation = draft.mean_utilisation();
    if mean_utilisation <= 0.0 {
        return;
    }
    let mut costs = accumulate_costs(draft, service_state, mean_utilisation, now);
    let mut order: Vec<usize> = (0..costs.len()).filter(|i| costs[*i] > 0.0).collect();
    order.sort_by(|a, b| costs[*b].total_cmp(&costs[*a]));
    for server in order {
        for _ in 0..MOVES_PER_SERVER_MAX {
            if service_state.tokens < 1.0 {
                break;
            }
            let Some(price) = try_move(draft, server, costs[server], mean_utilisation, now) else {
                break;
            };
            costs[server] -= price;
            service_state.tokens -= 1.0;
        }
    }
    let servers = draft.view.servers.iter();
    service_state.imbalance_costs = servers
        .zip(costs)
        .map(|(s, cost)| ImbalanceCost {
            session: s.session,
            address: s.address.clone(),
            cost,
        })
        .collect();
}

/// Spreads the ranges of a new service without calls evenly over its servers.
///
/// Servers announce themselves one after the other, so the first one would otherwise keep all ranges. Moves of idle
/// ranges delay no call, so they need no accumulated cost and no churn budget.
pub(super) fn spread_idle(draft: &mut Draft<'_>) {
    let view = draft.view;
    if !view.is_new || view.is_splitting || view.ranges.iter().any(|r| r.load > 0.0) {
        return;
    }
    for _ in 0..view.ranges.len() {
        // Idle ranges may also go to cold servers, which have room for them.
        let Some(to) = draft.least_loaded(0.0, |i, _| draft.has_room(i, RANGE_LOAD_MIN_SLOTS)) else {
            return;
        };
        let Some(from) = donor(draft, to) else {
            return;
        };
        // A move must not make the receiver busier than the donor was: that would only swap their roles. Half of the
        // least load of a range is added as a margin for rounding errors.
        let after = draft.utilisation(to) + RANGE_LOAD_MIN_SLOTS / draft.slots(to);
        if after + RANGE_LOAD_MIN_SLOTS / 2.0 / draft.slots(from) > draft.utilisation(from) {
            return;
        }
        let Some(position) = draft.ranges[from].first().copied() else {
            return;
        };
        draft.move_range(position, to, Reason::Fill);
    }
}

/// Returns the accumulated cost of each server, including the time since the last plan.
fn accumulate_costs(
    draft: &Draft<'_>,
    service_state: &ServicePlannerState,
    mean_utilisation: f64,
    now: Ms,
) -> Vec<f64> {
    let weights = draft.view.weights;
    let seconds = (now - service_state.planned_at).min(PLAN_INTERVAL_MAX).0 as f64 / 1000.0;
    let mut costs = Vec::with_capacity(draft.view.servers.len());
    for (i, server) in draft.view.servers.iter().enumerate() {
        let before = service_state.imbalance_cost(server.session, &server.address);
        // A warm-up ends within seconds, so a cold server says nothing about a lasting imbalance.
        if server.is_draining || server.cold_slots.is_some() {
            costs.push(0.0);
            continue;
        }
        let utilisation = draft.utilisation(i);
        let excess = ((utilisation / mean_utilisation - 1.0).abs() - IMBALANCE_TOLERANCE).max(0.0);
        let busy = (utilisation - BUSY_UTILISATION).max(0.0) * BUSY_COST_PER_SECOND;
        let rate = f64::from(weights.imbalance) * excess + f64::from(weights.unavailable) * busy;
        costs.push(if rate > 0.0 {
            before + rate * seconds
        } else {
            before * COST_DECAY_PER_SECOND.powf(seconds)
        });
    }
    costs
}

/// Moves one candidate from or to `server` if the accumulated cost of the server covers its price. Returns the price,
/// or `None` if nothing is moved.
fn try_move(draft: &mut Draft<'_>, server: usize, cost: f64, mean_utilisation: f64, now: Ms) -> Option<f64> {
    let has_excess = draft.utilisation(server) > mean_utilisation;
    let (from, to) = if has_excess {
        (server, receiver(draft, server)?)
    } else {
        (donor(draft, server)?, server)
    };
    let transfer = transfer(draft, from, to, mean_utilisation, has_excess);
    if transfer.wanted_load <= IMBALANCE_TOLERANCE * mean_utilisation * draft.slots(server) {
        return None;
    }
    let candidate = move_candidate::best_candidate(draft, &transfer, &mean_server(draft), now)?;
    if candidate.price > cost {
        return None;
    }
    let reason = if has_excess {
        candidate.reason()
    } else {
        Reason::Fill
    };
    start_move(draft, &candidate, from, to, reason);
    Some(candidate.price)
}

/// Returns how much load `from` should give to `to`. If `has_excess` is true, the cost of `from` pays for the
/// move, otherwise that of `to`.
fn transfer(draft: &Draft<'_>, from: usize, to: usize, mean_utilisation: f64, has_excess: bool) -> Transfer {
    let donor_surplus = draft.loads[from] - mean_utilisation * draft.slots(from);
    let receiver_deficit = mean_utilisation * draft.slots(to) - draft.loads[to];
    let equalizing_load = (draft.loads[from] - draft.loads[to]) / 2.0;
    Transfer {
        from,
        to,
        // A donor may go below the mean for a receiver that is farther below it, until their loads are equal.
        wanted_load: if has_excess {
            donor_surplus.min(receiver_deficit)
        } else {
            equalizing_load.min(receiver_deficit)
        },
        equalizing_load,
    }
}

fn receiver(draft: &Draft<'_>, from: usize) -> Option<usize> {
    let view = draft.view;
    draft.least_loaded(0.0, |i, s| {
        i != from && s.cold_slots.is_none() && can_transfer(draft, &view.servers[from], s)
    })
}

fn donor(draft: &Draft<'_>, to: usize) -> Option<usize> {
    let servers = &draft.view.servers;
    let can_give = |i: &usize| {
        *i != to && !draft.ranges[*i].is_empty() && can_transfer(draft, &servers[*i], &servers[to])
    };
    let others = (0..draft.loads.len()).filter(can_give);
    others.max_by(|a, b| draft.utilisation(*a).total_cmp(&draft.utilisation(*b)))
}

/// Returns whether load may move between two servers. Servers of different halves exchange no ranges once the split
/// has started.
fn can_transfer(draft: &Draft<'_>, a: &ServerView, b: &ServerView) -> bool {
    is_side_compatible(draft.view, a.side, b.side)
}

fn mean_server(draft: &Draft<'_>) -> MeanServer {
    let count = draft.view.servers.len().max(1) as f64;
    let keys: u64 = draft.view.ranges.iter().map(|r| r.keys).sum();
    MeanServer {
        load: draft.total_load / count,
        keys: keys as f64 / count,
    }
}

fn start_move(
    draft: &mut Draft<'_>,
    candidate: &move_candidate::MoveCandidate,
    from: usize,
    to: usize,
    reason: Reason,
) {
    let range = &draft.view.ranges[candidate.position];
    if candidate.span == range.span {
        draft.move_range(candidate.position, to, reason);
        return;
    }
    draft.loads[from] -= candidate.load;
    draft.loads[to] += candidate.load;
    // The rest of the range stays where it is in this plan.
    draft.ranges[from].retain(|p| *p != candidate.position);
    draft.actions.push(Action::Move {
        service: draft.view.name.clone(),
        span: candidate.span.clone(),
        epoch: range.epoch,
        from,
        to,
        reason,
    });
}
