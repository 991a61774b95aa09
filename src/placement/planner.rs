use {
    super::{
        balance, consolidate, draft::Draft, repair, restore, Plan, PlannerState, ServicePlannerState,
        ServiceView, Snapshot,
    },
    crate::clock::Ms,
};

/// Capacity of the churn budget's token bucket, in minutes of its refill rate.
const BUDGET_CAPACITY_MINUTES: f64 = 1.0;

/// Plans changes of owner. The same snapshot, state and seed always give the same plan.
///
/// `state` is the one that the previous plan returned. Returns the plan and the state for the next one.
pub fn plan(snapshot: &Snapshot, state: &PlannerState, seed: u64) -> (Plan, PlannerState) {
    let mut plan = Plan::default();
    let mut next = PlannerState::default();
    for view in &snapshot.services {
        let mut service_state = state.service_state(view, snapshot.now);
        plan_service(view, &mut service_state, snapshot.now, seed, &mut plan);
        next.services.push(service_state);
    }
    (plan, next)
}

fn plan_service(
    view: &ServiceView,
    service_state: &mut ServicePlannerState,
    now: Ms,
    seed: u64,
    plan: &mut Plan,
) {
    refill_budget(view, service_state, now);
    let mut draft = Draft::new(view, seed);
    if view.servers.is_empty() {
        plan.unassignable += view.ranges.iter().filter(|r| r.epoch == 0).count();
        service_state.planned_at = now;
        return;
    }
    let unassigned = repair::assign_unowned(&mut draft, now);
    repair::move_from_drained(&mut draft);
    repair::move_to_own_side(&mut draft, service_state);
    restore::fill_restored(&mut draft);
    balance::spread_idle(&mut draft);
    balance::balance(&mut draft, service_state, now);
    consolidate::consolidate_ranges(&mut draft, service_state, now);
    service_state.planned_at = now;
    plan.waiting += unassigned.waiting;
    plan.unassignable += unassigned.unassignable;
    plan.actions.append(&mut draft.actions);
}

/// Adds the tokens of the churn budget for the time since the last plan.
fn refill_budget(view: &ServiceView, service_state: &mut ServicePlannerState, now: Ms) {
    let per_minute = f64::from(view.moves_per_minute);
    let minutes = (now - service_state.planned_at).0 as f64 / 60_000.0;
    let limit = (per_minute * BUDGET_CAPACITY_MINUTES).max(1.0);
    service_state.tokens = (service_state.tokens + per_minute * minutes).min(limit);
}
