//! Load generator: sends calls to daemons and counts their outcomes.

mod load_report;
mod load_run;

pub use {
    load_report::LoadReport,
    load_run::{run_load, LoadSettings},
};
