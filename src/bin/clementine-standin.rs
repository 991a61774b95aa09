//! Example backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_standin()
}
