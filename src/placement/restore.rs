use super::{
    draft::{effective_load, Draft},
    DomainUse, Reason,
};

/// Maximum number of moves to one server in one plan. The ranges come from all other servers, and each of them has no
/// owner until two heartbeats have arrived.
const MOVES_PER_SERVER_MAX: usize = 16;
/// A server gets ranges back while it has less than this share of the mean number for its slots. Balancing by load
/// does the rest.
const FILLED_SHARE: f64 = 0.5;

/// Moves ranges back to the warm servers of failure domains whose evacuations have ended.
///
/// It addresses the load after an evacuation. The servers that took the ranges over have room for them, so balancing
/// alone would leave the restored servers without calls until the others are nearly full.
pub(super) fn fill_restored(draft: &mut Draft<'_>) {
    let view = draft.view;
    let accepting = view.servers.iter().filter(|s| !s.is_draining);
    let slots: f64 = accepting.map(|s| f64::from(s.slots.max(1))).sum();
    let mean_per_slot = view.ranges.len() as f64 / slots.max(1.0);
    for (to, server) in view.servers.iter().enumerate() {
        let takes_ranges = !server.is_draining && server.cold_slots.is_none();
        if server.domain_use != DomainUse::Restored || !takes_ranges {
            continue;
        }
        let is_arriving = |r: &&super::RangeView| r.is_moving && r.target == Some(to);
        let arriving = view.ranges.iter().filter(is_arriving).count();
        let mut count = draft.ranges[to].len() + arriving;
        let mut moves = 0;
        let wanted = FILLED_SHARE * mean_per_slot * draft.slots(to);
        while (count as f64) < wanted && moves < MOVES_PER_SERVER_MAX && move_one(draft, to) {
            count += 1;
            moves += 1;
        }
    }
}

/// Moves a range to `to` from the server with the most utilisation that has a suitable one. Returns whether there is one.
fn move_one(draft: &mut Draft<'_>, to: usize) -> bool {
    let view = draft.view;
    let is_donor = |i: &usize| *i != to && view.servers[*i].domain_use != DomainUse::Evacuated;
    let mut donors: Vec<usize> = (0..view.servers.len()).filter(is_donor).collect();
    donors.sort_by(|a, b| draft.utilisation(*b).total_cmp(&draft.utilisation(*a)));
    for from in donors {
        // The receiver must not become busier than the donor was: that would only swap their roles.
        let is_suitable = |position: &&usize| {
            let range = &view.ranges[**position];
            let after = draft.utilisation(to) + effective_load(range) / draft.slots(to);
            let is_on_side = super::draft::is_side_compatible(view, range.side, view.servers[to].side);
            is_on_side && after < draft.utilisation(from)
        };
        if let Some(position) = draft.ranges[from].iter().find(is_suitable).copied() {
            draft.move_range(position, to, Reason::Fill);
            return true;
        }
    }
    false
}
