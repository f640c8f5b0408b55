//! `explain`: log lines about one request, with the routers' state changes during it.

use std::collections;
use std::fmt;
use std::fs;
use std::io;
use std::io::BufRead as _;
use std::path;

use crate::exit_code;
use crate::failure;
use crate::output;

/// Log messages about a router's state, shown for the routers that logged the request.
const STATE_MESSAGES: [&str; 10] = [
    "started",
    "ready",
    "draining",
    "leaving",
    "stopped",
    "settings reloaded",
    "store lost",
    "store answers again",
    "version in force",
    "endpoints taken from a peer",
];

/// A parsed line of a router's log.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct LogLine {
    /// Name of the log file without directory and extension.
    process: String,
    timestamp: String,
    message: String,
    fields: serde_json::Map<String, serde_json::Value>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct LineWire {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: serde_json::Map<String, serde_json::Value>,
}

/// Selected lines sorted by timestamp; lines with equal timestamps keep their input order.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct ExplainReport {
    request: String,
    lines: Vec<LogLine>,
    /// Number of lines that could not be parsed as log lines.
    skipped: usize,
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            write!(f, "{} {} {}", line.timestamp, line.process, line.message)?;
            for (name, value) in line
                .fields
                .iter()
                .filter(|(name, _value)| *name != "request")
            {
                match value {
                    serde_json::Value::String(text) => write!(f, " {name}={text}")?,
                    value => write!(f, " {name}={value}")?,
                }
            }
            writeln!(f)?;
        }
        if self.skipped > 0 {
            writeln!(
                f,
                "{} lines were no log lines and were left out",
                self.skipped
            )?;
        }
        Ok(())
    }
}

/// Runs the `explain` command.
pub fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let request = matches.get_one::<String>("request");
    let request = request.expect("clap requires the request");
    let files = matches.get_many::<path::PathBuf>("file");
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in files.expect("clap requires a file") {
        skipped += read_file(file, &mut lines)?;
    }
    let lines = select(request, lines);
    if lines.is_empty() {
        let message = format!(
            "no line names request {request}; give the logs of all routers from the time of the \
             request"
        );
        return Err(failure::CommandFailure::new(exit_code::ExitCode::NoInput, message).into());
    }
    let request = request.clone();
    format.print(&ExplainReport {
        request,
        lines,
        skipped,
    })?;
    Ok(exit_code::ExitCode::Success)
}

/// Appends the log lines of a file to `lines` and returns how many lines could not be parsed.
fn read_file(file: &path::Path, lines: &mut Vec<LogLine>) -> failure::Result<usize> {
    let fail = |error: io::Error| {
        let message = format!("{}: {error}; give a file that can be read", file.display());
        failure::CommandFailure::new(exit_code::ExitCode::NoInput, message)
    };
    let process = file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let mut skipped = 0;
    for text in io::BufReader::new(fs::File::open(file).map_err(fail)?).lines() {
        let text = text.map_err(fail)?;
        let Ok(wire) = serde_json::from_str::<LineWire>(&text) else {
            skipped += 1;
            continue;
        };
        lines.push(LogLine {
            process: process.clone(),
            timestamp: wire.timestamp,
            message: wire.message,
            fields: wire.kvs,
        });
    }
    Ok(skipped)
}

/// Selects the lines of the request. From the same routers and the time between its first and last
/// line, also selects state messages and lines about its endpoints that name no request.
fn select(request: &str, mut lines: Vec<LogLine>) -> Vec<LogLine> {
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    let is_own = |line: &LogLine| text_of(line, "request") == Some(request);
    let own = || lines.iter().filter(|line| is_own(line));
    let processes: collections::HashSet<&str> = own().map(|line| line.process.as_str()).collect();
    let endpoints = own().filter_map(|line| text_of(line, "endpoint"));
    let endpoints: collections::HashSet<&str> = endpoints.collect();
    let first = own().map(|line| line.timestamp.as_str()).min();
    let last = own().map(|line| line.timestamp.as_str()).max();
    let is_during_request = |line: &LogLine| {
        first.is_some_and(|first| first <= line.timestamp.as_str())
            && last.is_some_and(|last| line.timestamp.as_str() <= last)
    };
    let is_context = |line: &LogLine| {
        let endpoint = text_of(line, "endpoint");
        let is_endpoint = endpoint.is_some_and(|endpoint| endpoints.contains(endpoint));
        let names_request = line.fields.contains_key("request");
        STATE_MESSAGES.contains(&line.message.as_str()) || (is_endpoint && !names_request)
    };
    let is_shown = |line: &&LogLine| {
        let is_near = processes.contains(line.process.as_str()) && is_during_request(line);
        is_own(line) || (is_near && is_context(line))
    };
    lines.iter().filter(is_shown).cloned().collect()
}

fn text_of<'a>(line: &'a LogLine, field: &str) -> Option<&'a str> {
    line.fields.get(field)?.as_str()
}
