//! HTTP paths of the info server and the JSON body of its address response.

use std::time;

use crate::process::gateway::info_server;

/// Maps request paths to info requests and encodes address responses.
#[derive(Clone, Copy, Debug)]
pub struct HttpInfoDialect;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct AddressWire<'a> {
    /// Addresses for callers' requests, not those of the info server.
    addrs: &'a [String],
    ttl_s: f64,
}

impl info_server::InfoDialect for HttpInfoDialect {
    fn parse_request(&self, target: &str) -> Option<info_server::InfoRequest> {
        match target.split('?').next().unwrap_or_default() {
            "/ready" => Some(info_server::InfoRequest::Ready),
            "/resolve" => Some(info_server::InfoRequest::Addresses),
            "/metrics" => Some(info_server::InfoRequest::Metrics),
            _ => None,
        }
    }

    fn address_body(&self, addresses: &[String], ttl: time::Duration) -> Vec<u8> {
        let wire = AddressWire {
            addrs: addresses,
            ttl_s: ttl.as_secs_f64(),
        };
        // Strings and finite numbers always serialize.
        serde_json::to_vec(&wire).unwrap_or_default()
    }
}
