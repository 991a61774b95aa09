//! Command line for operators of a cluster.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_ctl()
}
