//! The replicated state, and the loop of a control host that commits changes to it.

mod answers;
mod bootstrap;
mod cell_membership;
mod change_events;
mod command_changes;
mod command_id;
mod control_handle;
mod control_loop;
mod departures;
mod disk_thread;
mod evacuations;
mod guard_changes;
mod guard_table;
mod member_plan;
mod member_requests;
mod ownership_changes;
mod proposals;
mod range_table;
mod retired_service;
mod revision;
mod schema_patch;
mod session;
mod snapshots;
mod split_changes;
mod start;
mod state;
mod state_image;
mod state_parts;
mod suspect_list;
mod watches;

pub use {
    command_id::{CommandId, CommandIdError},
    control_handle::{ControlHandle, ControlInput},
    departures::Departures,
    evacuations::EvacuationScope,
    guard_table::{request_id_boundaries, GuardSpan, GuardTable},
    member_plan::{next_member_change, Offer},
    range_table::{Owner, Range, RangeTable, Release, Vacancy},
    retired_service::RetiredService,
    revision::{Revision, RevisionTextError},
    session::{Server, Session},
    start::{start_control, ControlConfig, ControlError},
    state::{Applied, State},
    suspect_list::{SuspectList, Suspicion},
};
