//! Paths and the address answer of the questions beside requests.

use std::time;

use crate::process::gateway::info_server;

/// Reads questions and writes the address answer.
#[derive(Clone, Copy, Debug)]
pub struct HttpInfoDialect;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct AddressWire<'a> {
    /// Addresses for callers, not those that answer this question.
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
        // Text and a finite number always serialize.
        serde_json::to_vec(&wire).unwrap_or_default()
    }
}
