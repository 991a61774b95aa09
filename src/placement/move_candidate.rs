use {
    super::{
        draft::{self, Draft},
        RangeView, Reason,
    },
    crate::{clock::Ms, key::KeyRange, schema::Weights},
};

/// Seconds of a whole server's excess that the move of a whole server's keys is worth, for each unit
/// of the weight of churn.
const CHURN_PRICE: f64 = 6.0;
/// The same for each unit of the weight of unavailable time.
const UNAVAILABLE_PRICE: f64 = 1.0;
/// Ranges for each server up to which ranges are cut. Each is a row in what a server is told to hold.
const RANGES_PER_SERVER_MAX: usize = 40;
/// Least price of a move, which keeps the gain of a move for its price finite.
const PRICE_MIN: f64 = 0.05;
/// Least gain of a move, as a part of the best gain.
const GAIN_MIN: f64 = 0.3;

/// A span that can be moved on its own.
pub(super) struct Piece {
    /// Position of the range that holds it.
    pub position: usize,
    pub span: KeyRange,
    pub load: f64,
    /// Price of its move, in weighted seconds of imbalance.
    pub price: f64,
    /// Load by which the two servers come closer to the mean.
    pub gain: f64,
    pub is_hot_key: bool,
}

impl Piece {
    /// Returns the reason to log where the move is not there to fill a server.
    pub fn reason(&self) -> Reason {
        match self.is_hot_key {
            true => Reason::HotKey,
            false => Reason::Balance,
        }
    }
}

/// What a mean server has, the unit of prices.
pub(super) struct MeanServer {
    pub load: f64,
    pub keys: f64,
}

/// What one server should give to another.
pub(super) struct Trade {
    pub from: usize,
    pub to: usize,
    /// Load that brings one of them to the mean.
    pub wanted: f64,
    /// Load that makes them even.
    pub even: f64,
}

/// Returns the piece with the most gain for its price.
pub(super) fn best_piece(draft: &Draft<'_>, trade: &Trade, mean: &MeanServer, now: Ms) -> Option<Piece> {
    let (from, to) = (trade.from, trade.to);
    let mut pieces = Vec::new();
    let view = draft.view;
    let may_cut = view.ranges.len() < view.servers.len() * RANGES_PER_SERVER_MAX;
    for position in &draft.ranges[from] {
        let range = &draft.view.ranges[*position];
        let is_settled = range.moved_at.is_none_or(|at| now - at >= draft.view.settle);
        if is_settled && draft::is_same_side(draft.view, range.side, draft.view.servers[to].side) {
            add_pieces(&mut pieces, *position, range, may_cut);
        }
    }
    for piece in &mut pieces {
        let keys = draft.view.ranges[piece.position].keys as f64;
        // A hot key may take its new server above the mean: its neighbours there make room after it.
        let wanted = if piece.is_hot_key {
            trade.even
        } else {
            trade.wanted
        };
        piece.gain = gain(piece.load, wanted);
        piece.price = price(piece, keys, mean, draft.view.weights);
    }
    let most = pieces.iter().map(|p| p.gain).fold(0.0, f64::max);
    let worth = |p: &Piece| p.gain / p.price;
    pieces
        .into_iter()
        .filter(|p| p.gain > 0.0 && p.gain >= most * GAIN_MIN)
        .max_by(|a, b| worth(a).total_cmp(&worth(b)))
}

/// A range can go whole and, if it may be cut, by half, or a hot key of it alone.
fn add_pieces(pieces: &mut Vec<Piece>, position: usize, range: &RangeView, may_cut: bool) {
    let mut add = |span: KeyRange, load: f64, is_hot_key: bool| {
        pieces.push(Piece {
            position,
            span,
            load,
            price: 0.0,
            gain: 0.0,
            is_hot_key,
        });
    };
    let is_single = range.span == KeyRange::single(range.span.start.clone());
    add(range.span.clone(), draft::load_of(range), is_single);
    if !may_cut {
        return;
    }
    let cuts_range = |span: &KeyRange| *span != range.span && range.span.contains(&span.start);
    if let Some(middle) = &range.middle {
        let upper = KeyRange {
            start: middle.clone(),
            end: range.span.end.clone(),
        };
        if cuts_range(&upper) && *middle != range.span.start {
            add(upper, range.load / 2.0, false);
        }
    }
    for top in &range.top {
        let single = KeyRange::single(top.key.clone());
        if cuts_range(&single) {
            add(single, top.load, true);
        }
    }
}

/// A piece that is heavier than wanted only shifts the excess to the other server.
fn gain(load: f64, wanted: f64) -> f64 {
    if load <= wanted {
        load
    } else {
        2.0 * wanted - load
    }
}

fn price(piece: &Piece, range_keys: f64, mean: &MeanServer, weights: Weights) -> f64 {
    let load_share = piece.load / mean.load;
    let key_share = if piece.is_hot_key {
        0.0
    } else if mean.keys > 0.0 {
        range_keys / mean.keys
    } else {
        load_share
    };
    let churn = f64::from(weights.churn) * CHURN_PRICE * (key_share + load_share) / 2.0;
    let unavailable = f64::from(weights.unavailable) * UNAVAILABLE_PRICE * load_share;
    (churn + unavailable).max(PRICE_MIN)
}
