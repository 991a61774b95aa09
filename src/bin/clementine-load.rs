//! Load generator that sends calls to daemons.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_load()
}
