use {
    super::{draft::Draft, Action, Reason, ServiceMemory},
    crate::{clock::Ms, key::KeyRange},
};

/// Load of a range, as a part of the mean of all ranges, at which it may be merged.
const COLD: f64 = 0.25;
/// Time after its last move at which a range may be merged, in settling times.
const MERGE_AGE_SETTLES: u64 = 5;
/// Ranges for each server up to which none are merged.
const RANGES_PER_SERVER: usize = 16;
/// Most merges and moves home in one plan of a service.
const TIDY_MAX: usize = 64;

/// Joins cold neighbours, and sends a former hot key home to the server of its neighbours.
pub(super) fn consolidate(draft: &mut Draft<'_>, memory: &mut ServiceMemory, now: Ms) {
    let view = draft.view;
    // The ranges of a new service are counted to spread them, so none are joined before that is over.
    if view.ranges.is_empty() || view.is_new {
        return;
    }
    let cold = draft.total_load / view.ranges.len() as f64 * COLD;
    let merge_age = Ms(view.settle.0 * MERGE_AGE_SETTLES);
    let is_idle = |i: usize| {
        let range = &view.ranges[i];
        let is_old = range.moved_at.is_none_or(|at| now - at >= merge_age);
        range.owner.is_some() && !range.is_moving && is_old && range.load <= cold
    };
    let surplus = view
        .ranges
        .len()
        .saturating_sub(view.servers.len() * RANGES_PER_SERVER);
    let mut left = surplus.min(TIDY_MAX);
    let mut i = 1;
    while i < view.ranges.len() && left > 0 {
        let (below, range) = (&view.ranges[i - 1], &view.ranges[i]);
        if is_idle(i) && is_idle(i - 1) && below.owner == range.owner && below.side == range.side {
            merge(draft, i);
            left -= 1;
            i += 2;
            continue;
        }
        let above = view.ranges.get(i + 1);
        let home = below.owner.filter(|o| above.is_none_or(|a| a.owner == Some(*o)));
        let single = range.span == KeyRange::single(range.span.start.clone());
        if let Some(to) = home.filter(|to| single && is_idle(i) && range.owner != Some(*to)) {
            if memory.tokens >= 1.0 && !view.servers[to].is_draining {
                memory.tokens -= 1.0;
                draft.move_range(i, to, Reason::Cooled);
                left -= 1;
            }
        }
        i += 1;
    }
}

fn merge(draft: &mut Draft<'_>, upper: usize) {
    let view = draft.view;
    let Some(owner) = view.ranges[upper].owner else {
        return;
    };
    // A range that is about to move is not merged.
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
