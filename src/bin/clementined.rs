//! Daemon that runs beside backend servers and routes calls to them.

use std::process::ExitCode;

fn main() -> ExitCode {
    clementinefold::cli::run_daemon_cli()
}
