//! Tables of the spans that the servers behind a daemon hold, and the actions that bring them in line with the
//! replicated state.

mod changed_spans;
mod grant_entry;
mod grant_table;
mod grant_target;
mod hold_table;

pub use {
    changed_spans::{wanted_within, ChangedSpans, WantedSpan},
    grant_entry::{GrantGoal, GrantPhase},
    grant_table::{GrantAction, GrantTable},
    grant_target::GrantTarget,
    hold_table::{wanted_holds, FreedSpan, Hold, HoldTable, Released, ReportedSpan},
};
