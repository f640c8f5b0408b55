//! Counts at the endpoints whether requests that crash them were kept from them in time.

use std::net;
use std::time;

use crate::support::{fakes, limit_judge};

/// A part of prompts that crashes endpoints, and the shared parts of prompts with and without it.
pub const DEADLY_PART: &str = "dead01";
pub const DEADLY_PROMPT: &str = "cafe01:200,dead01:50";
pub const SOUND_PROMPT: &str = "cafe01:200";

/// Crashes after which a part of prompts has to be known.
const CRASHES_TO_LEARN_PART: usize = 5;

/// Crashes after which a request has to be known.
const CRASHES_TO_LEARN_CALL: usize = 3;

/// Requests that may reach endpoints after that.
const ALLOWED_LATE: usize = 3;

/// Returns a line if too many of `deadly` requests reached endpoints once the part had to be known.
/// Those that `is_excused` accepts, given the gateway and the time of arrival, are not counted.
pub fn find_late_sends(
    endpoints: &[&fakes::FakeEndpoint],
    deadly: &[limit_judge::CallerView],
    is_excused: impl Fn(net::IpAddr, time::Instant) -> bool,
) -> Option<String> {
    find_late(endpoints, deadly, CRASHES_TO_LEARN_PART, is_excused)
}

/// As [`find_late_sends`], of repeats of one request that crashes endpoints as a whole.
pub fn find_late_calls(
    endpoints: &[&fakes::FakeEndpoint],
    deadly: &[limit_judge::CallerView],
    is_excused: impl Fn(net::IpAddr, time::Instant) -> bool,
) -> Option<String> {
    find_late(endpoints, deadly, CRASHES_TO_LEARN_CALL, is_excused)
}

fn find_late(
    endpoints: &[&fakes::FakeEndpoint],
    deadly: &[limit_judge::CallerView],
    crashes_to_learn: usize,
    is_excused: impl Fn(net::IpAddr, time::Instant) -> bool,
) -> Option<String> {
    let crashes = crashes(endpoints);
    let known = *crashes.get(crashes_to_learn - 1)? + limit_judge::CONTACT_TIME;
    let received = endpoints.iter().flat_map(|endpoint| endpoint.received());
    let late = received.filter(|request| {
        let id = request.field("Kumquatpulley-Request-Id");
        let sent = deadly.iter().find(|sent| Some(&sent.id) == id.as_ref());
        known < request.at && sent.is_some_and(|sent| !is_excused(sent.gateway, request.at))
    });
    let late = late.count();
    (late > ALLOWED_LATE).then(|| {
        format!(
            "{late} requests reached endpoints later than {:?} after crash {crashes_to_learn} of {}",
            limit_judge::CONTACT_TIME,
            crashes.len()
        )
    })
}

/// When endpoints crashed because of a request, oldest first.
pub fn crashes(endpoints: &[&fakes::FakeEndpoint]) -> Vec<time::Instant> {
    let mut crashes: Vec<time::Instant> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.crashes())
        .collect();
    crashes.sort_unstable();
    crashes
}
