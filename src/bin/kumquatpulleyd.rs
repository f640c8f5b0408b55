//! Router daemon that runs on each entry VM: arguments, settings and exit codes.

use std::path;
use std::process as std_process;

use clap::builder;
use kumquatpulley::platform;
use kumquatpulley::platform::settings_wire;
use kumquatpulley::process::gateway::start as gateway_start;
use kumquatpulley::process::setup::settings;
use kumquatpulley::process::setup::settings_file;
use kumquatpulley::process::start;
use kumquatpulley::process::telemetry::logging;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit codes, documented in `docs/OPERATING.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum ExitCode {
    /// Stopped on request, or `--check` found the settings valid.
    Success = 0,
    /// Invalid arguments; clap exits with this code.
    #[expect(dead_code, reason = "documents the code with which clap exits")]
    Usage = 2,
    /// A resource of the operating system is not available.
    System = 71,
    /// Listening on an address from the settings failed.
    Listen = 73,
    /// The settings file is invalid.
    Settings = 78,
}

impl From<ExitCode> for std_process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}

fn main() -> std_process::ExitCode {
    let matches = command().get_matches();
    if matches.get_flag("platform") {
        return run_on_platform(matches.get_flag("check")).into();
    }
    let file = matches
        .get_one::<path::PathBuf>("config")
        .expect("clap requires --config");
    let settings = match settings_file::load(file) {
        Ok(settings) => settings,
        Err(faults) => return report_faults(&faults).into(),
    };
    if matches.get_flag("check") {
        println!("{}: settings are sound", file.display());
        return ExitCode::Success.into();
    }
    run(&settings).into()
}

fn command() -> clap::Command {
    clap::Command::new("kumquatpulleyd")
        .version(clap::crate_version!())
        .about("Routes long generations and plain calls from callers to endpoints")
        .after_help("Stop with SIGTERM: the router drains first and cuts no request.")
        .arg(
            clap::Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required_unless_present("platform")
                .value_parser(builder::PathBufValueParser::new())
                .help("Settings file in YAML")
                .long_help(
                    "Settings file in YAML. It is read once, at start: what changes while the \
                     router runs belongs in the declarations, which `kumquatpulley apply` puts \
                     in force on all routers.",
                ),
        )
        .arg(
            clap::Arg::new("platform")
                .long("platform")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with("config")
                .help("Run on the prepared platform, with the settings file that it names")
                .long_help(
                    "Run on the prepared platform. The settings file is the one that \
                     KUMQUATPULLEY_NODE_FILE names; the configuration comes from the platform's \
                     store. See docs/PLATFORM.md.",
                ),
        )
        .arg(
            clap::Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Check the settings file and exit")
                .long_help(
                    "Check the settings file and exit without opening any address. All faults \
                     are told at once, each with file, line and field.",
                ),
        )
}

fn run_on_platform(is_check: bool) -> ExitCode {
    let settings = match settings_wire::load() {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("error: {fault}");
            }
            return ExitCode::Settings;
        }
    };
    if is_check {
        println!("settings are sound");
        return ExitCode::Success;
    }
    if let Err(error) = logging::init_stdout(settings::LogLevel::Info) {
        eprintln!("error: cannot set up logs: {error}");
        return ExitCode::System;
    }
    let parts = platform::adapters(&settings);
    exit_code(gateway_start::run(settings, &parts))
}

fn report_faults(faults: &[settings::SettingsFault]) -> ExitCode {
    for fault in faults {
        eprintln!("error: {fault}");
    }
    ExitCode::Settings
}

fn run(settings: &settings::RouterSettings) -> ExitCode {
    if let Err(error) = logging::init(&settings.log) {
        eprintln!("error: cannot set up logs: {error}");
        return ExitCode::System;
    }
    exit_code(start::run(settings.clone()))
}

fn exit_code(ended: start::Result<()>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::Success,
        Err(error @ start::NodeError::Listen { .. }) => report_error(&error, ExitCode::Listen),
        Err(error) => report_error(&error, ExitCode::System),
    }
}

fn report_error(error: &start::NodeError, code: ExitCode) -> ExitCode {
    eprintln!("error: {error}");
    code
}
