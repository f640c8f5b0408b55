//! Declares a small configuration with the operator library and prints it as YAML.
//!
//! `cargo run --example declare > kumquatpulley.yaml`, then `kumquatpulley apply
//! kumquatpulley.yaml`.

use std::process;

use kumquatpulley::version::declaration;
use kumquatpulley::version::declare;

fn main() -> process::ExitCode {
    match declarations().to_yaml() {
        Ok(yaml) => {
            print!("{yaml}");
            process::ExitCode::SUCCESS
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            process::ExitCode::FAILURE
        }
    }
}

/// What the example declares.
#[must_use]
pub fn declarations() -> declare::SetBuilder {
    declare::SetBuilder::new()
        .service(quote_service())
        .service(portal_service())
        .workspace(declare::WorkspaceBuilder::new("planners", 40).key("planners-example-key"))
        .workspace(
            declare::WorkspaceBuilder::new("brides", 20)
                .key("brides-example-key")
                .max_queue(64),
        )
        .route(declare::RouteBuilder::model("quote-writer", "quotes"))
        .route(declare::RouteBuilder::path("/", "portal"))
        .route(
            declare::RouteBuilder::path("/stock", "portal")
                .idempotent_methods(["GET", "HEAD", "PUT"]),
        )
        .route(
            declare::RouteBuilder::path("/deposits", "portal")
                .workspace("planners")
                .idempotent_methods(["GET"]),
        )
}

fn quote_service() -> declare::ServiceBuilder {
    declare::ServiceBuilder::model("quotes", "quote-writer", "7")
        .adapter("bows")
        .recovery(declaration::RecoveryKind::Fast)
        .endpoint(
            declare::EndpointBuilder::new("quotes-1", "127.0.0.1:9101", "zone-a").checks_fencing(),
        )
        .endpoint(declare::EndpointBuilder::new("quotes-2", "127.0.0.1:9102", "zone-b").slots(8))
}

fn portal_service() -> declare::ServiceBuilder {
    declare::ServiceBuilder::plain("portal")
        .endpoint(declare::EndpointBuilder::new(
            "portal-1",
            "127.0.0.1:9201",
            "zone-a",
        ))
        .endpoint(declare::EndpointBuilder::new("portal-2", "127.0.0.1:9202", "zone-b").leaving())
}
