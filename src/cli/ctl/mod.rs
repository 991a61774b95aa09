//! `clementinectl`, the command line for operators.

mod command_line;
mod operator_client;
mod progress;
mod run_ctl;
mod schema_diff;
mod text_output;

pub use run_ctl::run_ctl;
