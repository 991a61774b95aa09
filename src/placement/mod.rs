//! Decides which server owns which range.
//!
//! The planner is a pure function of a snapshot, its own state and a seed. docs/design/placement.md gives its rules
//! and the alternatives that were considered.

mod balance;
mod consolidate;
mod draft;
mod load_meter;
mod load_table;
mod move_candidate;
mod placer;
mod plan;
mod planner;
mod range_history;
mod repair;
mod restore;
mod snapshot;
mod space_saving;

pub use {
    load_meter::LoadMeter,
    placer::{assign_unowned, PlacementChanges, Placer},
    plan::{Action, ImbalanceCost, Plan, PlannerState, Reason, ServicePlannerState},
    planner::plan,
    snapshot::{DomainUse, KeyLoad, LostOwner, RangeView, ServerView, ServiceView, Side, Snapshot},
    space_saving::{KeyCount, SpaceSaving},
};
