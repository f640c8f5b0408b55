//! Times and fingerprints for replays of crashes.

use std::time;

use kumquatpulley::process::gateway::boot_clock;
use kumquatpulley::request::relay::request_feature;

/// The instant this long after the VM booted, in milliseconds.
pub fn at(millis: u64) -> boot_clock::BootInstant {
    boot_clock::BootInstant(time::Duration::from_millis(millis))
}

/// Fingerprint of the request whose body is `body`.
pub fn whole(body: &str) -> request_feature::RequestFeature {
    request_feature::RequestFeature::whole(&request_feature::RequestContent {
        caller: Some("w"),
        method: "POST",
        host: "h",
        target: "/safe/1",
        body: &[body.as_bytes()],
    })
}
