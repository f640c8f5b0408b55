//! Command-line tool for operators, with a client that resumes interrupted generations.

mod admin;
mod apply;
mod check;
mod cli;
mod completions;
mod diff;
mod drain;
mod exit_code;
mod explain;
mod failure;
mod generate;
mod output;
mod show;
mod source;
mod status;
mod timeline;
mod wait;

use std::process;

use async_std::task;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> process::ExitCode {
    let matches = cli::command().get_matches();
    let format = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => output::OutputFormat::Json,
        _ => output::OutputFormat::Text,
    };
    match task::block_on(run(&matches, format)) {
        Ok(code) => code.into(),
        Err(report) => {
            let failure = as_failure(&report);
            format.print_failure(&failure);
            failure.code.into()
        }
    }
}

async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches, format),
        Some(("show", matches)) => show::run(matches, format).await,
        Some(("diff", matches)) => diff::run(matches, format).await,
        Some(("apply", matches)) => apply::run(matches, format).await,
        Some(("rollback", matches)) => apply::run_rollback(matches, format).await,
        Some(("status", matches)) => status::run(matches, format).await,
        Some(("drain", matches)) => drain::run(matches, format).await,
        Some(("timeline", matches)) => timeline::run(matches, format).await,
        Some(("generate", matches)) => generate::run(matches, format).await,
        Some(("explain", matches)) => explain::run(matches, format),
        Some(("completions", matches)) => completions::run(matches),
        _ => Ok(exit_code::ExitCode::Usage),
    }
}

fn as_failure(report: &eyre::Report) -> failure::CommandFailure {
    match report.downcast_ref::<failure::CommandFailure>() {
        Some(failure) => failure.clone(),
        None => failure::CommandFailure::new(exit_code::ExitCode::Software, format!("{report:#}")),
    }
}
