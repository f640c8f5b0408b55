//! Runs the command line of this build to its end.

use std::path;
use std::time;

/// Time within which the program has to end.
const LIMIT: time::Duration = time::Duration::from_secs(30);

/// What the program printed, and how it ended.
#[derive(Debug)]
pub struct ProgramOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs `kumquatpulley` in `folder` with an empty environment.
pub fn run(folder: &path::Path, arguments: &[&str]) -> ProgramOutput {
    let output = assert_cmd::Command::cargo_bin("kumquatpulley")
        .expect("program")
        .current_dir(folder)
        .env_clear()
        .args(arguments)
        .timeout(LIMIT)
        .output()
        .expect("output");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    ProgramOutput {
        code: output.status.code().expect("exit code"),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}
