use std::process::ExitCode;

/// The command succeeded.
pub(super) const OK: u8 = 0;
/// The command failed.
pub(super) const FAILED: u8 = 1;
/// The command line, a settings file or a schema file was refused.
pub(super) const BAD_INPUT: u8 = 2;
/// The command was based on a revision that is no longer in force.
pub(super) const CONFLICT: u8 = 3;
/// The cluster refused the command.
pub(super) const REFUSED: u8 = 4;
/// It is unknown whether the command took effect.
pub(super) const UNAVAILABLE: u8 = 5;

/// Prints an error to stderr as one line and returns the exit code.
pub(super) fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(code)
}
