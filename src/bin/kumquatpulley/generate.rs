//! `generate`: sends a request and resumes it at another router when the connection is lost.

use std::path;
use std::pin;
use std::time;

use futures::channel::oneshot;
use futures::future;
use kumquatpulley::connection::caller_client;

use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

/// Summary printed as the last line with `--json`.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct GenerateReport {
    key: String,
    tokens: usize,
    finish_reason: String,
    resumes: u32,
    restarts: u32,
    longest_gaps_ms: Vec<u128>,
}

impl From<&caller_client::CallerAnswer> for GenerateReport {
    fn from(answer: &caller_client::CallerAnswer) -> Self {
        let gaps = answer.longest_gaps.iter();
        Self {
            key: answer.key.clone(),
            tokens: answer.tokens.len(),
            finish_reason: answer.finish_reason.clone(),
            resumes: answer.resumes,
            restarts: answer.restarts,
            longest_gaps_ms: gaps.map(time::Duration::as_millis).collect(),
        }
    }
}

/// Runs the `generate` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let client = caller_client::CallerClient::new(settings(matches));
    let request = request(matches)?;
    let (failed, failure) = oneshot::channel();
    let mut printer = TokenPrinter {
        failed: Some(failed),
    };
    let mut observe = |event: caller_client::CallerEvent| printer.observe(event.kind);
    let generation = client.generate(&request, &mut observe);
    let answer = match future::select(pin::pin!(generation), failure).await {
        future::Either::Left((answer, _failure)) => answer,
        // Standard output failed; closing the connection tells the router to stop.
        future::Either::Right((failure, _generation)) => return Err(failure?),
    };
    let answer = answer.map_err(|error| caller_failure(&error))?;
    output::write_line("")?;
    if matches.get_flag("json") || format == output::OutputFormat::Json {
        output::write_line(&serde_json::to_string(&GenerateReport::from(&answer))?)?;
    }
    Ok(exit_code::ExitCode::Success)
}

fn settings(matches: &clap::ArgMatches) -> caller_client::CallerSettings {
    let deadline = *source::required::<u64>(matches, "deadline");
    caller_client::CallerSettings {
        routers: source::routers(matches),
        zone: matches.get_one::<String>("zone").cloned(),
        bearer: source::required::<String>(matches, "key").clone(),
        deadline: time::Duration::from_millis(deadline),
        idle_timeout: caller_client::DEFAULT_IDLE_TIMEOUT,
    }
}

fn request(matches: &clap::ArgMatches) -> failure::Result<caller_client::GenerationRequest> {
    let prompt = match matches.get_one::<path::PathBuf>("prompt-file") {
        Some(path) => source::read_text(path)?,
        None => source::required::<String>(matches, "prompt").clone(),
    };
    Ok(caller_client::GenerationRequest {
        model: source::required::<String>(matches, "model").clone(),
        prompt,
        max_tokens: *source::required::<u32>(matches, "max-tokens"),
    })
}

/// Prints tokens as they arrive and reports reconnects and restarts on standard error.
#[derive(Debug)]
struct TokenPrinter {
    failed: Option<oneshot::Sender<eyre::Report>>,
}

impl TokenPrinter {
    fn observe(&mut self, kind: caller_client::CallerEventKind) {
        match kind {
            caller_client::CallerEventKind::Token { text, .. } => self.print(&text),
            caller_client::CallerEventKind::Restarted { reason } => {
                eprintln!("warning: the answer begins again: {reason}");
                self.print("\n");
            }
            caller_client::CallerEventKind::Lost { address, cause } => {
                eprintln!("warning: {address} was lost: {cause}");
            }
            caller_client::CallerEventKind::Connected {
                address,
                token_count,
            } => {
                if token_count > 0 {
                    eprintln!("going on at {address} after {token_count} tokens");
                }
            }
        }
    }

    fn print(&mut self, text: &str) {
        let Err(error) = output::write_part(text) else {
            return;
        };
        if let Some(failed) = self.failed.take() {
            // The receiver lives as long as the generation, so sending cannot fail.
            let _received = failed.send(error);
        }
    }
}

fn caller_failure(error: &caller_client::CallerError) -> failure::CommandFailure {
    let code = match error {
        caller_client::CallerError::Refused(_) => exit_code::ExitCode::Refused,
        caller_client::CallerError::GaveUp { token_count: 0, .. } => {
            exit_code::ExitCode::Unavailable
        }
        caller_client::CallerError::GaveUp { .. } => exit_code::ExitCode::Incomplete,
    };
    failure::CommandFailure::new(code, error.to_string())
}
