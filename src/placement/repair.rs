use {
    super::{draft, draft::Draft, DomainUse, LostOwner, RangeView, Reason, ServerView, ServicePlannerState},
    crate::clock::Ms,
};

/// Maximum number of planned moves that are under way at the same time away from a server that is being drained.
const DRAIN_MOVES_MAX: usize = 16;
/// The same for a server of an evacuated failure domain. Calls for its keys are refused 2.5 s after the order, and a
/// plan is made once a second: 128 ranges are on their way by then, and servers own 10 to 50.
const EVACUATION_MOVES_MAX: usize = 64;

/// Numbers of ranges that stay without an owner in this plan.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unassigned {
    /// Ranges that wait for their last owner.
    pub waiting: usize,
    /// Ranges that no server can take.
    pub unassignable: usize,
}

/// Assigns each range without an owner to a server, unless the loss policy lets the range wait for its last owner.
pub(super) fn assign_unowned(draft: &mut Draft<'_>, now: Ms) -> Unassigned {
    let may_wait = is_large_loss(draft, now);
    let mut unassigned = Unassigned::default();
    let view = draft.view;
    for (position, range) in view.ranges.iter().enumerate() {
        if range.epoch != 0 {
            continue;
        }
        match new_owner(draft, range) {
            Some((_, Reason::OwnerLost)) if may_wait && is_waiting(draft, range, now) => {
                unassigned.waiting += 1
            }
            Some((to, reason)) => draft.assign(position, to, reason),
            None => unassigned.unassignable += 1,
        }
    }
    unassigned
}

/// Returns the new owner of a range without one and the reason for it, or `None` if no server can take the range.
///
/// A cold server gets the range only if it has room for its load, also if it is the last owner. If only cold servers
/// without room are left, the range goes to one of them all the same: a cold owner serves some calls of its keys, while
/// keys without an owner get none.
fn new_owner(draft: &Draft<'_>, range: &RangeView) -> Option<(usize, Reason)> {
    let servers = &draft.view.servers;
    let can_take = |i: usize| {
        !servers[i].is_draining && draft::is_side_compatible(draft.view, range.side, servers[i].side)
    };
    let has_room = |i: &usize| draft.has_room(*i, draft::effective_load(range));
    let target = range.target.filter(|t| can_take(*t));
    if let Some(target) = target.filter(has_room) {
        return Some((target, Reason::MoveTarget));
    }
    let Some(lost_owner) = &range.lost_owner else {
        let to = draft.choose_server(range, |_| false);
        let to = to.or_else(|| draft.choose_any_server(range, |_| false))?;
        return Some((to, Reason::New));
    };
    let is_back = |i: &usize| servers[*i].host == lost_owner.host && can_take(*i);
    let back = (0..servers.len()).find(is_back);
    if let Some(back) = back.filter(has_room) {
        return Some((back, Reason::OwnerBack));
    }
    let is_in_lost_domain = |s: &ServerView| s.failure_domain == lost_owner.failure_domain;
    if let Some(to) = draft.choose_server(range, is_in_lost_domain) {
        return Some((to, Reason::OwnerLost));
    }
    if let Some(back) = back {
        return Some((back, Reason::OwnerBack));
    }
    let to = draft.choose_any_server(range, is_in_lost_domain)?;
    Some((to, Reason::OwnerLost))
}

/// Returns whether more hosts were lost recently than the loss policy replaces at once.
fn is_large_loss(draft: &Draft<'_>, now: Ms) -> bool {
    let view = draft.view;
    let unowned = view.ranges.iter().filter(|r| r.epoch == 0);
    let recently_lost = unowned
        .filter_map(|r| r.lost_owner.as_ref())
        .filter(|o| now - o.at < view.loss.wait && !has_host(draft, o));
    let mut hosts: Vec<&str> = recently_lost.map(|o| o.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let total = hosts.len() + view.servers.len();
    hosts.len() * 100 > total * view.loss.move_at_once_percent as usize
}

fn has_host(draft: &Draft<'_>, lost_owner: &LostOwner) -> bool {
    draft.view.servers.iter().any(|s| s.host == lost_owner.host)
}

fn is_waiting(draft: &Draft<'_>, range: &RangeView, now: Ms) -> bool {
    let lost_owner = range.lost_owner.as_ref();
    lost_owner.is_some_and(|o| now - o.at < draft.view.loss.wait)
}

/// Moves ranges away from servers that are being drained, a bounded number at a time. A range for which only cold servers
/// without room are left stays until one of them is warm, since its owner still serves it.
pub(super) fn move_from_drained(draft: &mut Draft<'_>) {
    let view = draft.view;
    for from in 0..view.servers.len() {
        if !view.servers[from].is_draining {
            continue;
        }
        let moves_max = match view.servers[from].domain_use {
            DomainUse::Evacuated => EVACUATION_MOVES_MAX,
            DomainUse::Normal | DomainUse::Restored => DRAIN_MOVES_MAX,
        };
        for position in draft.ranges[from].clone() {
            if draft.outgoing_moves[from] >= moves_max {
                break;
            }
            let target = draft.choose_server(&view.ranges[position], |_| false);
            if let Some(to) = target {
                draft.move_range(position, to, Reason::Drain);
            }
        }
    }
}

/// During a split, moves ranges to servers of their own half, within the churn budget.
pub(super) fn move_to_own_side(draft: &mut Draft<'_>, service_state: &mut ServicePlannerState) {
    let view = draft.view;
    if !view.is_splitting || view.is_paused {
        return;
    }
    for (position, range) in view.ranges.iter().enumerate() {
        let Some(owner) = range.owner.filter(|_| !range.is_moving) else {
            continue;
        };
        if draft::is_side_compatible(view, range.side, view.servers[owner].side) {
            continue;
        }
        if service_state.tokens < 1.0 {
            return;
        }
        let is_on_side = |to: usize| draft::is_side_compatible(view, range.side, view.servers[to].side);
        if let Some(to) = draft.choose_server(range, |_| false).filter(|to| is_on_side(*to)) {
            service_state.tokens -= 1.0;
            draft.move_range(position, to, Reason::Split);
        }
    }
}
