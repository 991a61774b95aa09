//! Sends calls to daemons and counts how they end.

mod load_report;
mod load_run;

pub use {
    load_report::LoadReport,
    load_run::{run_load, LoadSettings},
};
