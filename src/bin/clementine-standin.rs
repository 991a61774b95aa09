//! Example backend server for demonstrations and tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_standin()
}
