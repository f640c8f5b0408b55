//! Exit codes; `docs/OPERATING.md` lists them for operators.

use std::process;

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum ExitCode {
    /// Done as asked.
    Success = 0,
    /// `diff` found differences.
    Differs = 1,
    /// The arguments are not understood; clap exits with it.
    Usage = 2,
    /// Another operator was first; nothing was changed.
    RaceLost = 10,
    /// The platform took a change and answered no more; it may be in force or not.
    Unsettled = 11,
    /// The version is accepted, but some routers did not report it in time.
    Behind = 12,
    /// The system refused the request.
    Refused = 13,
    /// The answer is not whole.
    Incomplete = 14,
    /// The declarations are at fault.
    Declarations = 65,
    /// A file or a version does not exist.
    NoInput = 66,
    /// The platform or a router cannot be reached.
    Unavailable = 69,
    /// Anything else.
    Software = 70,
    /// The output could not be written.
    Output = 74,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
