//! The holder of a lease knows also the engines to which it sends no requests.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;

use async_std::task;
use kumquatpulley::process::endpoints::endpoint_table;
use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::orders::issuer;
use kumquatpulley::process::orders::report_poller;
use kumquatpulley::process::view;
use kumquatpulley::version::declaration;
use kumquatpulley::version::declare;

use crate::fakes;
use crate::issuing;

/// More engines than a router uses, and more than one group beyond.
const ENGINES: usize = endpoint_table::SUBSET_SIZE + report_poller::GROUP_SIZE + 10;

#[derive(Debug)]
struct NobodyLeaves;

impl view::LeavingView for NobodyLeaves {
    fn is_leaving(&self, _endpoint: &str, _incarnation: u64) -> bool {
        false
    }

    fn mark_leaving(&self, _endpoint: &str, _incarnation: u64) {}
}

/// Answers every request with an empty load report.
fn serve_reports() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            // A reader that went away is its own affair.
            let _answered = stream.and_then(answer);
        }
    });
    address
}

fn answer(mut stream: net::TcpStream) -> io::Result<()> {
    let mut request = [0; 1024];
    let _count = stream.read(&mut request)?;
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
}

fn table(address: &str) -> sync::Arc<endpoint_table::EndpointTable> {
    let table = endpoint_table::EndpointTable::new(
        "r1".to_owned(),
        "a".to_owned(),
        Box::new(placement::PrefixPlacement::default()),
        sync::Arc::new(NobodyLeaves),
    );
    let service = declare::ServiceBuilder::model(fakes::SERVICE, "quote-writer", "7");
    let engines = (0..ENGINES).map(|index| format!("e-{index:04}"));
    let service = engines.fold(service, |service, name| {
        service.endpoint(declare::EndpointBuilder::new(name, address, "a"))
    });
    let services: Vec<declaration::DeclaredService> = declare::SetBuilder::new()
        .service(service)
        .into_set()
        .services;
    table.replace(&services);
    sync::Arc::new(table)
}

fn reported(table: &endpoint_table::EndpointTable) -> usize {
    let entries = table.all();
    entries
        .iter()
        .filter(|entry| entry.report().is_some())
        .count()
}

#[test]
fn the_holder_of_a_lease_reads_the_engines_that_it_does_not_use_in_turn() {
    let table = table(&serve_reports());
    let bench = issuing::IssuerBench::new(1);
    let (holder, _directory) = bench.router("r1");
    issuing::rounds_until(&[&holder], || holder.holds_lease());
    let mut watch = report_poller::EngineReportPoller::new(sync::Arc::clone(&table), holder);
    task::block_on(watch.read_group());
    assert_eq!(reported(&table), report_poller::GROUP_SIZE);
    task::block_on(watch.read_group());
    let unused = ENGINES - table.subset_entries().len();
    assert_eq!(reported(&table), unused);
}

#[test]
fn a_router_without_the_lease_reads_only_the_engines_that_it_uses() {
    let table = table(&serve_reports());
    let bench = issuing::IssuerBench::new(1);
    let (other, _directory): (sync::Arc<issuer::OrderIssuer>, _) = bench.router("r2");
    let mut watch = report_poller::EngineReportPoller::new(sync::Arc::clone(&table), other);
    task::block_on(watch.read_group());
    assert_eq!(reported(&table), 0);
}
