//! Operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_ctl()
}
