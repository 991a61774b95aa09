use std::process::ExitCode;

/// The program did what it was asked to.
pub(super) const OK: u8 = 0;
/// The program failed.
pub(super) const FAILED: u8 = 1;
/// The command line, a file of settings or a schema file was refused.
pub(super) const BAD_INPUT: u8 = 2;
/// The command was made against another revision than the one in force.
pub(super) const CONFLICT: u8 = 3;
/// The command was refused.
pub(super) const REFUSED: u8 = 4;
/// It is not known whether the command took effect.
pub(super) const UNAVAILABLE: u8 = 5;

/// Prints an error as one line and returns the exit code.
pub(super) fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("error: {error:#}");
    ExitCode::from(code)
}
