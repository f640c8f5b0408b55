//! Counts at the endpoints whether prompts with a part that crashes them were kept from them in
//! time.

use std::net;
use std::time;

use crate::support::{fakes, limit_judge};

/// A part of prompts that crashes endpoints, and the shared parts of prompts with and without it.
pub const DEADLY_PART: &str = "dead01";
pub const DEADLY_PROMPT: &str = "cafe01:200,dead01:50";
pub const SOUND_PROMPT: &str = "cafe01:200";

/// Crashes after which the part has to be known.
const CRASHES_TO_LEARN: usize = 5;

/// Requests that may reach endpoints after that.
const ALLOWED_LATE: usize = 3;

/// Returns a line if too many of `deadly` requests reached endpoints once the part had to be known.
/// Those that `is_excused` accepts, given the gateway and the time of arrival, are not counted.
pub fn find_late_sends(
    endpoints: &[&fakes::FakeEndpoint],
    deadly: &[limit_judge::CallerView],
    is_excused: impl Fn(net::IpAddr, time::Instant) -> bool,
) -> Option<String> {
    let crashes = crashes(endpoints);
    let known = *crashes.get(CRASHES_TO_LEARN - 1)? + limit_judge::CONTACT_TIME;
    let received = endpoints.iter().flat_map(|endpoint| endpoint.received());
    let late = received.filter(|request| {
        let id = request.field("Kumquatpulley-Request-Id");
        let sent = deadly.iter().find(|sent| Some(&sent.id) == id.as_ref());
        known < request.at && sent.is_some_and(|sent| !is_excused(sent.gateway, request.at))
    });
    let late = late.count();
    (late > ALLOWED_LATE).then(|| {
        format!(
            "{late} requests with the part reached endpoints later than {:?} after the fifth of {} \
             crashes",
            limit_judge::CONTACT_TIME,
            crashes.len()
        )
    })
}

/// When endpoints crashed because of a prompt, oldest first.
pub fn crashes(endpoints: &[&fakes::FakeEndpoint]) -> Vec<time::Instant> {
    let mut crashes: Vec<time::Instant> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.crashes())
        .collect();
    crashes.sort_unstable();
    crashes
}
