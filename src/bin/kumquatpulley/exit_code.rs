//! Exit codes, documented for operators in `docs/OPERATING.md`.

use std::process;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// `diff` found differences.
    Differs = 1,
    /// Invalid arguments; clap exits with this code.
    Usage = 2,
    /// Conflict with a concurrent change by another operator; nothing was changed.
    RaceLost = 10,
    /// The platform did not confirm a change; it may or may not have been applied.
    Unsettled = 11,
    /// The version was accepted, but some routers did not report it before the timeout.
    Behind = 12,
    /// The request was refused.
    Refused = 13,
    /// The response is incomplete.
    Incomplete = 14,
    /// The declarations are invalid.
    Declarations = 65,
    /// A file or a version does not exist.
    NoInput = 66,
    /// The platform or a router cannot be reached.
    Unavailable = 69,
    /// Any other error.
    Software = 70,
    /// The output could not be written.
    Output = 74,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
