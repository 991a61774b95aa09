//! The command lines of the programs: they parse arguments, call the library and report errors.

mod args;
mod ctl;
mod daemon_cli;
mod exit;
mod load_cli;
mod standin_cli;

pub use {ctl::run_ctl, daemon_cli::run_daemon_cli, load_cli::run_load, standin_cli::run_standin};
