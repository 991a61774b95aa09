use {
    super::{
        draft::{is_same_side, Draft, RANGE_LOAD_MIN},
        move_candidate::{self, MeanServer, Trade},
        Action, Reason, Regret, ServerView, ServiceMemory,
    },
    crate::clock::Ms,
};

/// Part of the mean by which a server may differ from it without cost.
const TOLERANCE: f64 = 0.03;
/// Load in parts of the slots above which a server makes its callers wait.
const BUSY: f64 = 0.85;
/// Weighted cost of a second at full load, for each unit of the weight of unavailable time.
const BUSY_COST: f64 = 30.0;
/// Part of the gathered cost that is left after each second without excess.
const DECAY: f64 = 0.5;
/// Longest time that one plan accounts for.
const STEP_MAX: Ms = Ms(10_000);
/// Most moves for one server in one plan.
const MOVES_PER_SERVER: usize = 4;

/// Moves load between servers whose gathered cost has reached the price of a move.
///
/// The rule is that of the rent-or-buy problem: imbalance is rent, and a move is bought once the rent
/// that was paid equals its price. It costs at most twice what a planner would pay that knows the load
/// to come.
pub(super) fn balance(draft: &mut Draft<'_>, memory: &mut ServiceMemory, now: Ms) {
    let mean = draft.mean_utilisation();
    if mean <= 0.0 {
        return;
    }
    let mut costs = gather(draft, memory, mean, now);
    let mut order: Vec<usize> = (0..costs.len()).filter(|i| costs[*i] > 0.0).collect();
    order.sort_by(|a, b| costs[*b].total_cmp(&costs[*a]));
    for server in order {
        for _ in 0..MOVES_PER_SERVER {
            if memory.tokens < 1.0 {
                break;
            }
            let Some(price) = buy(draft, server, costs[server], mean, now) else {
                break;
            };
            costs[server] -= price;
            memory.tokens -= 1.0;
        }
    }
    let servers = draft.view.servers.iter();
    memory.regrets = servers
        .zip(costs)
        .map(|(s, cost)| Regret {
            session: s.session,
            address: s.address.clone(),
            cost,
        })
        .collect();
}

/// Spreads the ranges of a new service that nobody calls yet evenly. Such moves delay no call and cost nothing, and
/// servers announce themselves one after the other: the first one would keep all.
pub(super) fn spread_idle(draft: &mut Draft<'_>) {
    let view = draft.view;
    if !view.is_new || view.is_splitting || view.ranges.iter().any(|r| r.load > 0.0) {
        return;
    }
    for _ in 0..view.ranges.len() {
        let Some(to) = draft.least_loaded(0.0, |_, _| true) else {
            return;
        };
        let Some(from) = donor(draft, to) else {
            return;
        };
        // A move that only changes the places of two servers is none. Half a range is left for rounding.
        let after = draft.utilisation(to) + RANGE_LOAD_MIN / draft.slots(to);
        if after + RANGE_LOAD_MIN / 2.0 / draft.slots(from) > draft.utilisation(from) {
            return;
        }
        let Some(position) = draft.ranges[from].first().copied() else {
            return;
        };
        draft.move_range(position, to, Reason::Fill);
    }
}

/// Returns the gathered cost of each server, with that of the time since the last plan.
fn gather(draft: &Draft<'_>, memory: &ServiceMemory, mean: f64, now: Ms) -> Vec<f64> {
    let weights = draft.view.weights;
    let seconds = (now - memory.at).min(STEP_MAX).0 as f64 / 1000.0;
    let mut costs = Vec::with_capacity(draft.view.servers.len());
    for (i, server) in draft.view.servers.iter().enumerate() {
        let before = memory.cost(server.session, &server.address);
        if server.is_draining {
            costs.push(0.0);
            continue;
        }
        let utilisation = draft.utilisation(i);
        let excess = ((utilisation / mean - 1.0).abs() - TOLERANCE).max(0.0);
        let busy = (utilisation - BUSY).max(0.0) * BUSY_COST;
        let rate = f64::from(weights.imbalance) * excess + f64::from(weights.unavailable) * busy;
        costs.push(if rate > 0.0 {
            before + rate * seconds
        } else {
            before * DECAY.powf(seconds)
        });
    }
    costs
}

/// Moves one piece from or to `server` if its gathered cost pays for it, and returns the price.
fn buy(draft: &mut Draft<'_>, server: usize, cost: f64, mean: f64, now: Ms) -> Option<f64> {
    let has_excess = draft.utilisation(server) > mean;
    let (from, to) = if has_excess {
        (server, receiver(draft, server)?)
    } else {
        (donor(draft, server)?, server)
    };
    let trade = trade(draft, from, to, mean, has_excess);
    if trade.wanted <= TOLERANCE * mean * draft.slots(server) {
        return None;
    }
    let piece = move_candidate::best_piece(draft, &trade, &mean_server(draft), now)?;
    if piece.price > cost {
        return None;
    }
    let reason = if has_excess { piece.reason() } else { Reason::Fill };
    move_piece(draft, &piece, from, to, reason);
    Some(piece.price)
}

/// Returns what `from` should give to `to`.
fn trade(draft: &Draft<'_>, from: usize, to: usize, mean: f64, has_excess: bool) -> Trade {
    let above = draft.loads[from] - mean * draft.slots(from);
    let below = mean * draft.slots(to) - draft.loads[to];
    let even = (draft.loads[from] - draft.loads[to]) / 2.0;
    Trade {
        from,
        to,
        // A donor may go below the mean for the sake of a receiver that is farther below it.
        wanted: if has_excess {
            above.min(below)
        } else {
            even.min(below)
        },
        even,
    }
}

fn receiver(draft: &Draft<'_>, from: usize) -> Option<usize> {
    let view = draft.view;
    draft.least_loaded(0.0, |i, s| i != from && can_trade(draft, &view.servers[from], s))
}

fn donor(draft: &Draft<'_>, to: usize) -> Option<usize> {
    let servers = &draft.view.servers;
    let gives =
        |i: &usize| *i != to && !draft.ranges[*i].is_empty() && can_trade(draft, &servers[*i], &servers[to]);
    let others = (0..draft.loads.len()).filter(gives);
    others.max_by(|a, b| draft.utilisation(*a).total_cmp(&draft.utilisation(*b)))
}

/// Servers of the two halves trade no ranges once the split has started.
fn can_trade(draft: &Draft<'_>, a: &ServerView, b: &ServerView) -> bool {
    is_same_side(draft.view, a.side, b.side)
}

fn mean_server(draft: &Draft<'_>) -> MeanServer {
    let count = draft.view.servers.len().max(1) as f64;
    let keys: u64 = draft.view.ranges.iter().map(|r| r.keys).sum();
    MeanServer {
        load: draft.total_load / count,
        keys: keys as f64 / count,
    }
}

fn move_piece(draft: &mut Draft<'_>, piece: &move_candidate::Piece, from: usize, to: usize, reason: Reason) {
    let range = &draft.view.ranges[piece.position];
    if piece.span == range.span {
        draft.move_range(piece.position, to, reason);
        return;
    }
    draft.loads[from] -= piece.load;
    draft.loads[to] += piece.load;
    // The rest of the range is not cut again in this plan.
    draft.ranges[from].retain(|p| *p != piece.position);
    draft.actions.push(Action::Move {
        service: draft.view.name.clone(),
        span: piece.span.clone(),
        epoch: range.epoch,
        from,
        to,
        reason,
    });
}
