//! Which server owns which range.
//!
//! The planner is a pure function of a snapshot, its memory and a seed. docs/design/placement.md
//! gives its rules and what was weighed.

mod balance;
mod draft;
mod known_ranges;
mod load_book;
mod load_meter;
mod piece;
mod placer;
mod plan;
mod planner;
mod repair;
mod snapshot;
mod space_saving;
mod tidy;

pub use {
    load_meter::LoadMeter,
    placer::{assign_unowned, PlacementChanges, Placer},
    plan::{Action, Memory, Plan, Reason, Regret, ServiceMemory},
    planner::plan,
    snapshot::{KeyLoad, RangeView, ServerView, ServiceView, Side, Snapshot, Vacated},
    space_saving::{KeyCount, SpaceSaving},
};
