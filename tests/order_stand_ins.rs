//! Sends orders to model engines over HTTP, under a lease in the platform's table service.

use std::io;
use std::io::BufRead as _;
use std::path;
use std::process;
use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::connection::engine;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::order_client;
use kumquatpulley::connection::order_client::OrderSink as _;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_client;
use kumquatpulley::process::orders::issuer;
use kumquatpulley::process::orders::order_planner;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::version::declaration;

const SERVICE: &str = "quotes";

/// Timeout for the engines to reach the declared state.
const REACH_LIMIT: time::Duration = time::Duration::from_secs(10);

/// An example program that stands in for a real service; killed on drop.
struct StandIn {
    address: String,
    process: process::Child,
}

impl StandIn {
    fn start(example: &str, arguments: &[&str]) -> Self {
        let program = path::Path::new(env!("CARGO_BIN_EXE_kumquatpulley"));
        let program = program.with_file_name("examples").join(example);
        let mut process = process::Command::new(program)
            .args(arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("examples are built with the tests");
        let stdout = process.stdout.take().expect("piped output");
        let mut line = String::new();
        let read = io::BufReader::new(stdout).read_line(&mut line);
        assert!(read.is_ok(), "{read:?}");
        let mut words = line.split_whitespace();
        assert_eq!(words.next(), Some("ready"), "{line:?}");
        let address = words.next().expect("an address").to_owned();
        Self { address, process }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        // Killing a process that has already exited may fail; that is fine.
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}

/// Engine directory that reads reports directly from the engines.
#[derive(Debug)]
struct ReportDirectory {
    version: parking_lot::Mutex<String>,
    engines: parking_lot::Mutex<Vec<order_planner::EngineStatus>>,
}

impl ReportDirectory {
    fn new(engines: &[&StandIn]) -> sync::Arc<Self> {
        let engines = engines.iter().enumerate();
        let engines = engines.map(|(index, engine)| order_planner::EngineStatus {
            name: format!("e-{index}"),
            address: engine.address.clone(),
            leaving: false,
            report: None,
        });
        sync::Arc::new(Self {
            version: parking_lot::Mutex::new("7".to_owned()),
            engines: parking_lot::Mutex::new(engines.collect()),
        })
    }

    fn refresh(&self) {
        let mut engines = self.engines.lock().clone();
        for status in &mut engines {
            status.report = task::block_on(engine::report(&status.address)).ok();
        }
        *self.engines.lock() = engines;
    }

    fn versions(&self) -> Vec<Vec<String>> {
        let engines = self.engines.lock();
        let versions = |status: &order_planner::EngineStatus| {
            let loaded = status.report.iter().flat_map(|report| &report.loaded);
            loaded.map(|model| model.version.clone()).collect()
        };
        engines.iter().map(versions).collect()
    }
}

impl issuer::EngineDirectory for ReportDirectory {
    fn services(&self) -> Vec<issuer::ModelService> {
        vec![issuer::ModelService {
            name: SERVICE.to_owned(),
            model: declaration::DeclaredModel {
                name: "quote-writer".to_owned(),
                version: self.version.lock().clone(),
                adapter: None,
            },
            engines: self.engines.lock().clone(),
        }]
    }

    fn is_candidate(&self, _service: &str) -> bool {
        true
    }
}

fn issuer_of(platform: &StandIn, directory: &sync::Arc<ReportDirectory>) -> issuer::OrderIssuer {
    let client = platform_client::PlatformClient::new(platform.address.clone());
    issuer::OrderIssuer::new(
        "r1".to_owned(),
        sync::Arc::new(client) as sync::Arc<dyn platform::PlatformService>,
        sync::Arc::new(order_client::OrderClient) as sync::Arc<dyn order_client::OrderSink>,
        sync::Arc::clone(directory) as sync::Arc<dyn issuer::EngineDirectory>,
        sync::Arc::new(timeline::EventRing::new("r1")),
    )
}

/// Runs rounds until the engines report the wanted versions.
fn run_until_reached(
    issuer: &issuer::OrderIssuer,
    directory: &ReportDirectory,
    wanted: &[&[&str]],
) {
    let start = time::Instant::now();
    while start.elapsed() < REACH_LIMIT {
        directory.refresh();
        task::block_on(issuer.round());
        if directory.versions() == wanted {
            return;
        }
        std::thread::sleep(time::Duration::from_millis(100));
    }
    panic!("engines report {:?}, not {wanted:?}", directory.versions());
}

#[test]
fn engines_reach_the_declared_version_and_recover_from_a_stale_order() {
    let platform = StandIn::start("platform", &[]);
    let checking = StandIn::start("model_engine", &["--checks-fencing"]);
    let ignoring = StandIn::start("model_engine", &[]);
    let directory = ReportDirectory::new(&[&checking, &ignoring]);
    let issuer = issuer_of(&platform, &directory);
    run_until_reached(&issuer, &directory, &[&["7"], &["7"]]);

    "8".clone_into(&mut directory.version.lock());
    run_until_reached(&issuer, &directory, &[&["7", "8"], &["7", "8"]]);

    let stale = engine_wire::EngineOrder {
        fence: 0,
        wanted: engine_wire::WantedState {
            loaded: Vec::new(),
            role: engine_wire::ROLE_SERVE.to_owned(),
        },
    };
    let refused = task::block_on(order_client::OrderClient.send(&checking.address, &stale));
    assert_eq!(refused, Err(order_client::OrderError::StaleFence));
    let taken = task::block_on(order_client::OrderClient.send(&ignoring.address, &stale));
    assert_eq!(taken, Ok(()));
    std::thread::sleep(time::Duration::from_millis(500));
    directory.refresh();
    assert_eq!(directory.versions(), [vec!["7", "8"], vec![]]);
    run_until_reached(&issuer, &directory, &[&["7", "8"], &["8"]]);
}
