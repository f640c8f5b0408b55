//! Prints results to standard output and failures to standard error, as text or JSON.

use std::fmt;
use std::io;
use std::io::Write as _;

use crate::exit_code;
use crate::failure;

/// Output format of results and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// A single JSON value.
    Json,
}

impl OutputFormat {
    /// Prints a result and a newline to standard output.
    pub fn print<T: serde::Serialize + fmt::Display>(self, value: &T) -> failure::Result<()> {
        let text = match self {
            Self::Text => value.to_string(),
            Self::Json => serde_json::to_string(value)?,
        };
        write_line(&text)
    }

    /// Prints a failure to standard error.
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

/// Writes one line to standard output; a closed pipe returns an error instead of panicking.
pub fn write_line(text: &str) -> failure::Result<()> {
    let mut stdout = io::stdout().lock();
    let written = writeln!(stdout, "{}", text.trim_end()).and_then(|()| stdout.flush());
    written.map_err(|error| output_failure(&error))
}

/// Writes text to standard output without a newline and flushes it.
pub fn write_part(text: &str) -> failure::Result<()> {
    let mut stdout = io::stdout().lock();
    let written = write!(stdout, "{text}").and_then(|()| stdout.flush());
    written.map_err(|error| output_failure(&error))
}

fn output_failure(error: &io::Error) -> eyre::Report {
    let message = format!("the output cannot be written: {error}");
    failure::CommandFailure::new(exit_code::ExitCode::Output, message).into()
}
