use {
    super::{draft::Draft, Action, Reason, ServicePlannerState},
    crate::{clock::Ms, key::KeyRange},
};

/// Share of the mean load of all ranges up to which a range is cold.
const COLD_LOAD_SHARE: f64 = 0.25;
/// Time that must pass after its last move before a range counts as cold, in settling times of the service.
const MERGE_AGE_SETTLE_TIMES: u64 = 5;
/// Number of ranges for each server up to which nothing is consolidated.
const UNMERGED_RANGES_PER_SERVER: usize = 16;
/// Maximum number of merges and moves in one plan of a service.
const ACTIONS_MAX: usize = 64;

/// Reduces the number of ranges: merges cold neighbours with the same owner, and moves a former hot key back to the
/// server that owns the ranges around it, so that they can be merged later.
pub(super) fn consolidate_ranges(draft: &mut Draft<'_>, service_state: &mut ServicePlannerState, now: Ms) {
    let view = draft.view;
    // While the service is new, `spread_idle` gives each server the same number of ranges. Merges would undo that.
    if view.ranges.is_empty() || view.is_new {
        return;
    }
    let cold_load = draft.total_load / view.ranges.len() as f64 * COLD_LOAD_SHARE;
    let merge_age = Ms(view.settle.0 * MERGE_AGE_SETTLE_TIMES);
    let is_cold = |i: usize| {
        let range = &view.ranges[i];
        let is_past_merge_age = range.moved_at.is_none_or(|at| now - at >= merge_age);
        range.owner.is_some() && !range.is_moving && is_past_merge_age && range.load <= cold_load
    };
    let surplus = view
        .ranges
        .len()
        .saturating_sub(view.servers.len() * UNMERGED_RANGES_PER_SERVER);
    let mut remaining = surplus.min(ACTIONS_MAX);
    let mut i = 1;
    while i < view.ranges.len() && remaining > 0 {
        let (lower, range) = (&view.ranges[i - 1], &view.ranges[i]);
        if is_cold(i) && is_cold(i - 1) && lower.owner == range.owner && lower.side == range.side {
            merge_with_lower(draft, i);
            remaining -= 1;
            i += 2;
            continue;
        }
        let upper = view.ranges.get(i + 1);
        let surrounding_owner = lower.owner.filter(|o| upper.is_none_or(|a| a.owner == Some(*o)));
        let is_single_key = range.span == KeyRange::single(range.span.start.clone());
        if let Some(to) =
            surrounding_owner.filter(|to| is_single_key && is_cold(i) && range.owner != Some(*to))
        {
            let takes_moves = !view.servers[to].is_draining && view.servers[to].cold_slots.is_none();
            if service_state.tokens >= 1.0 && takes_moves {
                service_state.tokens -= 1.0;
                draft.move_range(i, to, Reason::Cooled);
                remaining -= 1;
            }
        }
        i += 1;
    }
}

fn merge_with_lower(draft: &mut Draft<'_>, upper: usize) {
    let view = draft.view;
    let Some(owner) = view.ranges[upper].owner else {
        return;
    };
    // Ranges that this plan moves are no longer listed here and must not be merged.
    if !draft.ranges[owner].contains(&upper) || !draft.ranges[owner].contains(&(upper - 1)) {
        return;
    }
    let start = view.ranges[upper - 1].span.start.clone();
    let end = view.ranges[upper].span.end.clone();
    draft.actions.push(Action::Merge {
        service: view.name.clone(),
        span: KeyRange { start, end },
        owner,
    });
}
