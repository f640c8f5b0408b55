//! The runners of a zone crash together, once, while the first prompts with a new shared part are read.

#[path = "../standins/common.rs"]
mod common;
#[path = "../standins/crash.rs"]
mod crash;

use common::{finish, BROKEN, HELD};
use std::time::Duration;

/// CONFIG: routes that were added later, with 20 requests or more, served less than a quarter as often
/// as the first routes.
const MIN_SHARE: f64 = 0.25;
const MIN_COUNT: usize = 20;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let play = crash::Play {
        deadly: crash::Deadly::Zone,
        head: crash::HeadTime::Admission,
        shared_parts: 1,
        is_head_out: false,
        runners: 8,
        zones: 2,
        pause: Duration::from_millis(60),
        down: Duration::from_millis(1_200),
    };
    crash::run_as_runner(&arguments, play);
    let (finding, record) = crash::run(&arguments[1], play);
    let (added, first) = (finding.steady_prompts, finding.steady_checks);
    let is_broken = added.0 >= MIN_COUNT && crash::ratio(added) < MIN_SHARE * crash::ratio(first);
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG held" });
    finish(if is_broken { BROKEN } else { HELD });
}
