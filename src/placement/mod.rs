//! Which server owns which range.
//!
//! The planner is a pure function of a snapshot, its memory and a seed. docs/design/placement.md
//! gives its rules and what was weighed.

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
mod snapshot;
mod space_saving;

pub use {
    load_meter::LoadMeter,
    placer::{assign_unowned, PlacementChanges, Placer},
    plan::{Action, Memory, Plan, Reason, Regret, ServiceMemory},
    planner::plan,
    snapshot::{KeyLoad, RangeView, ServerView, ServiceView, Side, Snapshot, Vacated},
    space_saving::{KeyCount, SpaceSaving},
};
