//! Command-line arguments and environment variables.

use std::path;

use clap::builder;

/// Environment variable with the address of the table service.
pub const PLATFORM_VARIABLE: &str = "KUMQUATPULLEY_PLATFORM";

/// Environment variable with comma-separated operator addresses of routers.
pub const ADMIN_VARIABLE: &str = "KUMQUATPULLEY_ADMIN";

/// Environment variable with comma-separated caller addresses of routers.
pub const ROUTER_VARIABLE: &str = "KUMQUATPULLEY_ROUTER";

/// Environment variable with the bearer key.
pub const KEY_VARIABLE: &str = "KUMQUATPULLEY_KEY";

/// Builds the command-line parser.
pub fn command() -> clap::Command {
    clap::Command::new("kumquatpulley")
        .version(clap::crate_version!())
        .about("Declares what routers serve, watches them and generates through them")
        .after_help("Exit codes are listed in docs/OPERATING.md.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .subcommand(check())
        .subcommand(show())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(rollback())
        .subcommand(status())
        .subcommand(drain())
        .subcommand(timeline())
        .subcommand(generate())
        .subcommand(explain())
        .subcommand(completions())
}

fn output() -> clap::Arg {
    clap::Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .global(true)
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Form of results and errors")
        .long_help(
            "Form of results on standard output and of errors on standard error. Choose json for \
             scripts: its fields are stable, while the text is meant for people and may change.",
        )
}

fn check() -> clap::Command {
    clap::Command::new("check")
        .about("Check a declaration file without changing anything")
        .long_about(
            "Check a declaration file without changing anything. Every fault is told with file, \
             line and field. No router or platform is asked, so it can run before each commit.",
        )
        .arg(file())
}

fn show() -> clap::Command {
    clap::Command::new("show")
        .about("Print a configuration version")
        .long_about(
            "Print the declarations of a configuration version, byte for byte as they were \
             applied, so that the output can be edited and applied again.",
        )
        .arg(platform())
        .arg(
            clap::Arg::new("version")
                .long("version")
                .value_name("N")
                .value_parser(clap::value_parser!(u64).range(1..))
                .help("Number of the version [default: the newest]"),
        )
}

fn diff() -> clap::Command {
    clap::Command::new("diff")
        .about("Compare a declaration file with the newest version")
        .long_about(
            "Compare a declaration file with the newest version. Exits with 1 when they differ, \
             so that a script can tell whether an apply would change anything.",
        )
        .arg(file())
        .arg(platform())
}

fn apply() -> clap::Command {
    clap::Command::new("apply")
        .about("Make a declaration file the next configuration version")
        .long_about(
            "Make a declaration file the next configuration version. The file is checked first \
             and takes effect whole or not at all. When another operator is first, the difference \
             is told and nothing is changed. A lost answer of the platform is settled by reading \
             back, never by writing twice.",
        )
        .arg(file())
        .arg(platform())
        .arg(
            clap::Arg::new("base")
                .long("base")
                .value_name("N")
                .value_parser(clap::value_parser!(u64))
                .help("Apply only if N is the newest version [default: the newest one now]")
                .long_help(
                    "Apply only if N is the newest version; 0 is the state before the first one. \
                     Give the version that the file was edited from: a change that somebody made \
                     meanwhile is then told instead of overwritten. By default the newest version \
                     at the start of the command is meant.",
                ),
        )
        .args(wait())
        .arg(router(
            ADMIN_VARIABLE,
            "Operator address of a router to ask with --wait",
        ))
}

fn rollback() -> clap::Command {
    clap::Command::new("rollback")
        .about("Make an earlier version the next one")
        .long_about(
            "Make the declarations of an earlier version the next version. Numbers only ever \
             grow, so no router can mistake the rollback for a late message.",
        )
        .arg(
            clap::Arg::new("number")
                .value_name("N")
                .required(true)
                .value_parser(clap::value_parser!(u64).range(1..))
                .help("Number of the version to take the declarations from"),
        )
        .arg(platform())
        .args(wait())
        .arg(router(
            ADMIN_VARIABLE,
            "Operator address of a router to ask with --wait",
        ))
}

fn status() -> clap::Command {
    clap::Command::new("status")
        .about("Print the state of routers, endpoints and workspaces")
        .long_about(
            "Print the state of each router given: its members, the endpoints as it sees them, \
             and the workspaces' shares. Routers may differ for a moment; that is shown, not \
             hidden.",
        )
        .arg(router(ADMIN_VARIABLE, "Operator address of a router").required(true))
}

fn drain() -> clap::Command {
    clap::Command::new("drain")
        .about("Ask a router to finish its requests and stop")
        .long_about(
            "Ask a router to finish its requests and stop, as SIGTERM does. Other routers and \
             callers learn of it first; generations that outlast the drain timeout go on at \
             another router. Returns as soon as the router has begun.",
        )
        .arg(
            clap::Arg::new("address")
                .value_name("ROUTER-ADMIN-ADDRESS")
                .required(true)
                .help("Operator address of the router, IP and port"),
        )
}

fn timeline() -> clap::Command {
    clap::Command::new("timeline")
        .about("Print events of all routers in causal order")
        .long_about(
            "Print events of all routers in causal order. The routers given are asked for their \
             members, then all are asked for their events, of which each keeps the newest. A \
             router that does not answer is named on standard error and left out.",
        )
        .arg(router(ADMIN_VARIABLE, "Operator address of a router to begin with").required(true))
        .arg(
            clap::Arg::new("request")
                .long("request")
                .value_name("KEY")
                .help("Print only the events of the request with this idempotency key"),
        )
}

fn explain() -> clap::Command {
    clap::Command::new("explain")
        .about("Print what routers logged about one request")
        .long_about(
            "Print what routers logged about one request, in the order of time: every decision that \
             touched it and, while it ran, what its routers believed and which of its endpoints \
             failed. Give the logs of all routers, one file each; the file's name stands for the \
             router. No router is asked.",
        )
        .arg(
            clap::Arg::new("request")
                .value_name("REQUEST-ID")
                .required(true)
                .help("Identifier that the caller sent with the request"),
        )
        .arg(
            clap::Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(builder::PathBufValueParser::new())
                .help("Logs of routers, JSON lines"),
        )
}

fn generate() -> clap::Command {
    clap::Command::new("generate")
        .about("Generate an answer and go on at another router after a loss")
        .long_about(
            "Generate an answer and go on at another router after a loss. Tokens are printed as \
             they come. The answer is whole when the program exits with 0: the count is checked \
             against the engine's. If an answer has to begin again, that is told on standard \
             error and the output begins again on a new line.",
        )
        .arg(router(ROUTER_VARIABLE, "Address of a router for callers").required(true))
        .arg(
            clap::Arg::new("zone")
                .long("zone")
                .value_name("ZONE")
                .help("Availability zone to prefer [default: none]")
                .long_help(
                    "Availability zone to prefer: routers there are named first, and routers of \
                     other zones after them as alternates. Without it no zone is preferred.",
                ),
        )
        .arg(
            clap::Arg::new("key")
                .long("key")
                .env(KEY_VARIABLE)
                .hide_env_values(true)
                .value_name("BEARER")
                .required(true)
                .help("Bearer key of the workspace")
                .long_help(
                    "Bearer key of the workspace. Prefer the environment variable: arguments \
                     can be read by other users of the machine.",
                ),
        )
        .arg(
            clap::Arg::new("model")
                .long("model")
                .value_name("M")
                .required(true)
                .help("Model name"),
        )
        .arg(
            clap::Arg::new("prompt")
                .long("prompt")
                .value_name("TEXT")
                .required_unless_present("prompt-file")
                .conflicts_with("prompt-file")
                .help("The prompt"),
        )
        .arg(
            clap::Arg::new("prompt-file")
                .long("prompt-file")
                .value_name("FILE")
                .value_parser(builder::PathBufValueParser::new())
                .help("File with the prompt"),
        )
        .arg(
            clap::Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("N")
                .default_value("256")
                .value_parser(clap::value_parser!(u32).range(1..))
                .help("Tokens of the answer at most"),
        )
        .arg(
            clap::Arg::new("deadline")
                .long("deadline")
                .value_name("MS")
                .default_value("30000")
                .value_parser(clap::value_parser!(u64).range(1..))
                .help("Time without a new token after which to give up, in milliseconds"),
        )
        .arg(
            clap::Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("End with a JSON line: tokens, resumes, restarts, longest gaps in ms"),
        )
}

fn completions() -> clap::Command {
    clap::Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(
            clap::Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(clap::value_parser!(clap_complete::Shell))
                .help("The shell"),
        )
}

fn file() -> clap::Arg {
    clap::Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("Declaration file in YAML")
}

fn platform() -> clap::Arg {
    clap::Arg::new("platform")
        .long("platform")
        .env(PLATFORM_VARIABLE)
        .value_name("ADDR")
        .required(true)
        .help("Address of the platform's table service, IP and port")
}

fn router(variable: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new("router")
        .long("router")
        .env(variable)
        .value_name("ADDR")
        .action(clap::ArgAction::Append)
        .value_delimiter(',')
        .help(help)
        .long_help(format!(
            "{help}, IP and port. Repeat it, or separate addresses by commas, so that one router \
             that is down does not matter."
        ))
}

fn wait() -> [clap::Arg; 2] {
    [
        clap::Arg::new("wait")
            .long("wait")
            .action(clap::ArgAction::SetTrue)
            .requires("router")
            .help("Wait until all ready routers report the version")
            .long_help(
                "Wait until all ready routers report the version: those given by --router and the \
                 members that they name. Routers that are behind when the time is up are named; \
                 the version stays accepted and reaches them later.",
            ),
        clap::Arg::new("wait-ms")
            .long("wait-ms")
            .value_name("MS")
            .default_value("5000")
            .value_parser(clap::value_parser!(u64).range(1..=600_000))
            .help("Time to wait with --wait, in milliseconds"),
    ]
}
