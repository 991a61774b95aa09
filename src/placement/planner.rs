use {
    super::{balance, consolidate, draft::Draft, repair, Memory, Plan, ServiceMemory, ServiceView, Snapshot},
    crate::clock::Ms,
};

/// Moves that the churn budget saves up at most, in minutes.
const BUDGET_MINUTES: f64 = 1.0;

/// Plans changes of owner. The same snapshot, memory and seed give the same plan.
///
/// The memory is that of the plan before; the new one goes with the plan.
pub fn plan(snapshot: &Snapshot, memory: &Memory, seed: u64) -> (Plan, Memory) {
    let mut plan = Plan::default();
    let mut next = Memory::default();
    for view in &snapshot.services {
        let mut service = memory.service(view, snapshot.now);
        plan_service(view, &mut service, snapshot.now, seed, &mut plan);
        next.services.push(service);
    }
    (plan, next)
}

fn plan_service(view: &ServiceView, memory: &mut ServiceMemory, now: Ms, seed: u64, plan: &mut Plan) {
    refill(view, memory, now);
    let mut draft = Draft::new(view, seed);
    if view.servers.is_empty() {
        plan.homeless += view.ranges.iter().filter(|r| r.epoch == 0).count();
        memory.at = now;
        return;
    }
    let left = repair::assign_unowned(&mut draft, now);
    repair::move_from_drained(&mut draft);
    repair::move_to_own_side(&mut draft, memory);
    balance::spread_idle(&mut draft);
    balance::balance(&mut draft, memory, now);
    consolidate::consolidate(&mut draft, memory, now);
    memory.at = now;
    plan.waiting += left.waiting;
    plan.homeless += left.homeless;
    plan.actions.append(&mut draft.actions);
}

/// Adds what the churn budget of the service allows for the time since the last plan.
fn refill(view: &ServiceView, memory: &mut ServiceMemory, now: Ms) {
    let per_minute = f64::from(view.moves_per_minute);
    let minutes = (now - memory.at).0 as f64 / 60_000.0;
    let limit = (per_minute * BUDGET_MINUTES).max(1.0);
    memory.tokens = (memory.tokens + per_minute * minutes).min(limit);
}
