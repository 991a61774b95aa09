//! The replicated state and the control role that agrees on it.

mod answers;
mod command_changes;
mod command_id;
mod control_duty;
mod control_handle;
mod log_file;
mod ownership_changes;
mod range_table;
mod revision;
mod session;
mod split_changes;
mod state;
mod state_image;

pub use {
    command_id::{CommandId, CommandIdError},
    control_duty::{start_control, ControlConfig},
    control_handle::{ControlHandle, ControlInput},
    log_file::{LogError, LogFile},
    range_table::{Owner, Range, RangeTable, Release, Vacancy},
    revision::{Revision, RevisionTextError},
    session::{Server, Session},
    state::{Applied, State},
};
