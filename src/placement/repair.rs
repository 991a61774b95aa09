use {
    super::{draft, draft::Draft, RangeView, Reason, ServiceMemory, Vacated},
    crate::clock::Ms,
};

/// Most planned moves under way at the same time away from a server that is being drained.
const DRAIN_MOVES: usize = 16;

/// Ranges without an owner that stay so for now.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeftOver {
    pub waiting: usize,
    pub homeless: usize,
}

/// Gives each range without an owner to a server, unless the loss policy lets it wait.
pub(super) fn assign_unowned(draft: &mut Draft<'_>, now: Ms) -> LeftOver {
    let may_wait = is_large_loss(draft, now);
    let mut left = LeftOver::default();
    let view = draft.view;
    for (position, range) in view.ranges.iter().enumerate() {
        if range.epoch != 0 {
            continue;
        }
        match new_owner(draft, range) {
            Some((_, Reason::OwnerLost)) if may_wait && is_waiting(draft, range, now) => left.waiting += 1,
            Some((to, reason)) => draft.assign(position, to, reason),
            None => left.homeless += 1,
        }
    }
    left
}

/// Returns the server that a range without an owner goes to, and why.
fn new_owner(draft: &Draft<'_>, range: &RangeView) -> Option<(usize, Reason)> {
    let servers = &draft.view.servers;
    let takes =
        |i: usize| !servers[i].is_draining && draft::is_same_side(draft.view, range.side, servers[i].side);
    if let Some(target) = range.target.filter(|t| takes(*t)) {
        return Some((target, Reason::MoveTarget));
    }
    let Some(vacated) = &range.vacated else {
        return draft.home_for(range, |_| false).map(|to| (to, Reason::New));
    };
    let is_back = |i: &usize| servers[*i].host == vacated.host && takes(*i);
    if let Some(back) = (0..servers.len()).find(is_back) {
        return Some((back, Reason::OwnerBack));
    }
    let to = draft.home_for(range, |s| s.failure_domain == vacated.failure_domain)?;
    Some((to, Reason::OwnerLost))
}

/// Tells if more servers are gone than the loss policy replaces at once.
fn is_large_loss(draft: &Draft<'_>, now: Ms) -> bool {
    let view = draft.view;
    let unowned = view.ranges.iter().filter(|r| r.epoch == 0);
    let recent = unowned
        .filter_map(|r| r.vacated.as_ref())
        .filter(|v| now - v.at < view.loss.wait && !has_host(draft, v));
    let mut hosts: Vec<&str> = recent.map(|v| v.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let all = hosts.len() + view.servers.len();
    hosts.len() * 100 > all * view.loss.move_at_once_percent as usize
}

fn has_host(draft: &Draft<'_>, vacated: &Vacated) -> bool {
    draft.view.servers.iter().any(|s| s.host == vacated.host)
}

fn is_waiting(draft: &Draft<'_>, range: &RangeView, now: Ms) -> bool {
    let vacated = range.vacated.as_ref();
    vacated.is_some_and(|v| now - v.at < draft.view.loss.wait)
}

/// Moves ranges away from servers that are being drained, a bounded number at a time.
pub(super) fn move_from_drained(draft: &mut Draft<'_>) {
    let view = draft.view;
    for from in 0..view.servers.len() {
        if !view.servers[from].is_draining {
            continue;
        }
        for position in draft.ranges[from].clone() {
            if draft.leaving[from] >= DRAIN_MOVES {
                break;
            }
            let home = draft.home_for(&view.ranges[position], |_| false);
            if let Some(to) = home {
                draft.move_range(position, to, Reason::Drain);
            }
        }
    }
}

/// Moves ranges to servers of their own half, within the churn budget.
pub(super) fn move_to_own_side(draft: &mut Draft<'_>, memory: &mut ServiceMemory) {
    let view = draft.view;
    if !view.is_splitting || view.is_paused {
        return;
    }
    for (position, range) in view.ranges.iter().enumerate() {
        let Some(owner) = range.owner.filter(|_| !range.is_moving) else {
            continue;
        };
        if draft::is_same_side(view, range.side, view.servers[owner].side) {
            continue;
        }
        if memory.tokens < 1.0 {
            return;
        }
        let on_side = |to: usize| draft::is_same_side(view, range.side, view.servers[to].side);
        if let Some(to) = draft.home_for(range, |_| false).filter(|to| on_side(*to)) {
            memory.tokens -= 1.0;
            draft.move_range(position, to, Reason::Split);
        }
    }
}
