//! Results on standard output and failures on standard error, as text or JSON.

use std::fmt;
use std::io;
use std::io::Write as _;

use crate::exit_code;
use crate::failure;

/// Form of results and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// One JSON value.
    Json,
}

impl OutputFormat {
    /// Prints a result and ends the line.
    pub fn print<T: serde::Serialize + fmt::Display>(self, value: &T) -> failure::Result<()> {
        let text = match self {
            Self::Text => value.to_string(),
            Self::Json => serde_json::to_string(value)?,
        };
        write_line(&text)
    }

    /// Prints a failure.
    pub fn print_failure(self, failure: &failure::CommandFailure) {
        match self {
            Self::Text => {
                for line in failure.to_string().lines() {
                    eprintln!("error: {line}");
                }
            }
            Self::Json => eprintln!("{}", serde_json::json!({ "error": failure })),
        }
    }
}

/// Writes one line to standard output; a reader that has gone is a failure, not a panic.
pub fn write_line(text: &str) -> failure::Result<()> {
    let mut stdout = io::stdout().lock();
    let written = writeln!(stdout, "{}", text.trim_end()).and_then(|()| stdout.flush());
    written.map_err(|error| output_failure(&error))
}

/// Writes text to standard output at once, without ending the line.
pub fn write_part(text: &str) -> failure::Result<()> {
    let mut stdout = io::stdout().lock();
    let written = write!(stdout, "{text}").and_then(|()| stdout.flush());
    written.map_err(|error| output_failure(&error))
}

fn output_failure(error: &io::Error) -> eyre::Report {
    let message = format!("the output cannot be written: {error}");
    failure::CommandFailure::new(exit_code::ExitCode::Output, message).into()
}
