//! A lease holder also polls the reports of engines to which it sends no requests.

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

/// Enough engines that those outside a router's subset fill more than one group.
const ENGINES: usize = endpoint_table::SUBSET_SIZE + report_poller::GROUP_SIZE + 10;

#[derive(Debug)]
struct NoneLeaving;

impl view::LeavingView for NoneLeaving {
    fn is_leaving(&self, _endpoint: &str, _incarnation: u64) -> bool {
        false
    }

    fn mark_leaving(&self, _endpoint: &str, _incarnation: u64) {}
}

/// Starts a server that answers every request with an empty load report; returns its address.
fn serve_reports() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            // A client that disconnects is no error of the server.
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

fn engine_table(address: &str) -> sync::Arc<endpoint_table::EndpointTable> {
    let table = endpoint_table::EndpointTable::new(
        "r1".to_owned(),
        "a".to_owned(),
        Box::new(placement::PrefixPlacement::default()),
        sync::Arc::new(NoneLeaving),
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

fn report_count(table: &endpoint_table::EndpointTable) -> usize {
    let entries = table.all();
    entries
        .iter()
        .filter(|entry| entry.report().is_some())
        .count()
}

#[test]
fn lease_holder_polls_the_engines_outside_its_subset_in_groups() {
    let table = engine_table(&serve_reports());
    let harness = issuing::IssuerHarness::new(1);
    let (holder, _directory) = harness.router("r1");
    issuing::run_rounds_until(&[&holder], || holder.holds_lease());
    let mut poller = report_poller::EngineReportPoller::new(sync::Arc::clone(&table), holder);
    task::block_on(poller.read_group());
    assert_eq!(report_count(&table), report_poller::GROUP_SIZE);
    task::block_on(poller.read_group());
    let outside_subset = ENGINES - table.subset_entries().len();
    assert_eq!(report_count(&table), outside_subset);
}

#[test]
fn router_without_the_lease_polls_no_engines_outside_its_subset() {
    let table = engine_table(&serve_reports());
    let harness = issuing::IssuerHarness::new(1);
    let (other, _directory): (sync::Arc<issuer::OrderIssuer>, _) = harness.router("r2");
    let mut poller = report_poller::EngineReportPoller::new(sync::Arc::clone(&table), other);
    task::block_on(poller.read_group());
    assert_eq!(report_count(&table), 0);
}
