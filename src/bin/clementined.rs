//! Daemon beside a backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_daemon_cli()
}
