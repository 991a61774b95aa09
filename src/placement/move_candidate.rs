use {
    super::{
        draft::{self, Draft},
        RangeView, Reason,
    },
    crate::{clock::Ms, key::KeyRange, schema::Weights},
};

/// Price of moving as many keys and as much load as a mean server has, for each unit of the weight of churn. The unit is
/// the cost of an imbalance of 100 percent of the mean for one second.
const CHURN_PRICE_SECONDS: f64 = 6.0;
/// Price of the unavailable time of the same move, in the same unit, for each unit of the weight of unavailable time.
const UNAVAILABLE_PRICE_SECONDS: f64 = 1.0;
/// Number of ranges for each server from which on ranges are no longer cut. Each range is an entry in the grants that
/// are sent to a server.
const RANGES_PER_SERVER_MAX: usize = 40;
/// Lower bound of the price of a move, which keeps the ratio of gain to price finite.
const PRICE_MIN_SECONDS: f64 = 0.05;
/// Least gain of a move, as a share of the best gain.
const GAIN_SHARE_MIN: f64 = 0.3;

/// A span that can be moved on its own.
pub(super) struct MoveCandidate {
    /// Position of the range that contains it.
    pub position: usize,
    pub span: KeyRange,
    pub load: f64,
    /// Price of its move, in weighted seconds.
    pub price: f64,
    /// Load by which the move brings the two servers closer to their targets.
    pub gain: f64,
    pub is_hot_key: bool,
}

impl MoveCandidate {
    /// Returns the reason for a move that takes excess load from a server.
    pub fn reason(&self) -> Reason {
        match self.is_hot_key {
            true => Reason::HotKey,
            false => Reason::Balance,
        }
    }
}

/// Load and keys of a mean server, to which prices are relative.
pub(super) struct MeanServer {
    /// Load in slots.
    pub load: f64,
    /// Number of keys.
    pub keys: f64,
}

/// Load that one server should give to another.
pub(super) struct Transfer {
    pub from: usize,
    pub to: usize,
    /// Load, in slots, that brings one of them to the mean utilisation or makes their loads equal, whichever is less.
    pub wanted_load: f64,
    /// Load, in slots, that makes the loads of both equal.
    pub equalizing_load: f64,
}

/// Returns the candidate with the best ratio of gain to price, or `None` if no move gains anything.
pub(super) fn best_candidate(
    draft: &Draft<'_>,
    transfer: &Transfer,
    mean: &MeanServer,
    now: Ms,
) -> Option<MoveCandidate> {
    let (from, to) = (transfer.from, transfer.to);
    let mut candidates = Vec::new();
    let view = draft.view;
    let may_cut = view.ranges.len() < view.servers.len() * RANGES_PER_SERVER_MAX;
    for position in &draft.ranges[from] {
        let range = &draft.view.ranges[*position];
        let has_settled = range.moved_at.is_none_or(|at| now - at >= draft.view.settle);
        if has_settled && draft::is_side_compatible(draft.view, range.side, draft.view.servers[to].side) {
            add_candidates(&mut candidates, *position, range, may_cut);
        }
    }
    for candidate in &mut candidates {
        let keys = draft.view.ranges[candidate.position].keys as f64;
        // A hot key may take its new server above the mean, since other ranges of that server can move away later.
        let wanted_load = if candidate.is_hot_key {
            transfer.equalizing_load
        } else {
            transfer.wanted_load
        };
        candidate.gain = gain(candidate.load, wanted_load);
        candidate.price = price(candidate, keys, mean, draft.view.weights);
    }
    let best_gain = candidates.iter().map(|c| c.gain).fold(0.0, f64::max);
    let gain_per_price = |c: &MoveCandidate| c.gain / c.price;
    candidates
        .into_iter()
        .filter(|c| c.gain > 0.0 && c.gain >= best_gain * GAIN_SHARE_MIN)
        .max_by(|a, b| gain_per_price(a).total_cmp(&gain_per_price(b)))
}

/// Adds the whole range, and if it may be cut, its upper half and each of its hot keys.
fn add_candidates(candidates: &mut Vec<MoveCandidate>, position: usize, range: &RangeView, may_cut: bool) {
    let mut add = |span: KeyRange, load: f64, is_hot_key: bool| {
        candidates.push(MoveCandidate {
            position,
            span,
            load,
            price: 0.0,
            gain: 0.0,
            is_hot_key,
        });
    };
    let is_single = range.span == KeyRange::single(range.span.start.clone());
    add(range.span.clone(), draft::effective_load(range), is_single);
    if !may_cut {
        return;
    }
    let is_part_of_range = |span: &KeyRange| *span != range.span && range.span.contains(&span.start);
    if let Some(middle) = &range.middle {
        let upper = KeyRange {
            start: middle.clone(),
            end: range.span.end.clone(),
        };
        if is_part_of_range(&upper) && *middle != range.span.start {
            add(upper, range.load / 2.0, false);
        }
    }
    for top in &range.top {
        let single = KeyRange::single(top.key.clone());
        if is_part_of_range(&single) {
            add(single, top.load, true);
        }
    }
}

/// Returns the load by which a move of `load` brings the servers closer to `wanted_load`. Load beyond it only shifts
/// the excess to the other server and counts against the gain.
fn gain(load: f64, wanted_load: f64) -> f64 {
    if load <= wanted_load {
        load
    } else {
        2.0 * wanted_load - load
    }
}

/// Returns the price of a move, in weighted seconds. A hot key counts no keys.
fn price(candidate: &MoveCandidate, range_keys: f64, mean: &MeanServer, weights: Weights) -> f64 {
    let load_share = candidate.load / mean.load;
    let key_share = if candidate.is_hot_key {
        0.0
    } else if mean.keys > 0.0 {
        range_keys / mean.keys
    } else {
        load_share
    };
    let churn = f64::from(weights.churn) * CHURN_PRICE_SECONDS * (key_share + load_share) / 2.0;
    let unavailable = f64::from(weights.unavailable) * UNAVAILABLE_PRICE_SECONDS * load_share;
    (churn + unavailable).max(PRICE_MIN_SECONDS)
}
