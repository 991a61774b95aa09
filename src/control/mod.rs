//! The replicated state and the control role that agrees on it.

mod control_duty;
mod control_handle;
mod guard_table;
mod log_file;
mod range_table;
mod revision;
mod session;
mod state;
mod state_image;
mod suspect_list;

pub use {
    control_duty::{start_control, ControlConfig},
    control_handle::{ControlHandle, ControlInput},
    guard_table::{id_boundaries, GuardSpan, GuardTable},
    log_file::{LogError, LogFile},
    range_table::{Owner, Range, RangeTable, Release},
    revision::{Revision, RevisionTextError},
    session::{Server, Session},
    state::{Applied, State},
    suspect_list::{SuspectList, Suspicion},
};
