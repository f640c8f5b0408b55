//! A part of some prompts crashes each runner as it begins to write an answer, before a byte is out.

#[path = "../standins/common.rs"]
mod common;
#[path = "../standins/crash.rs"]
mod crash;

use common::{finish, BROKEN, HELD};

/// BUDGET: more than three requests.
const MAX_LATE: usize = 3;
/// LOST: less than half as often, of 20 or more each.
const MIN_SHARE: f64 = 0.5;
const MIN_COUNT: usize = 20;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let play = crash::Play {
        deadly: crash::Deadly::Part,
        head: crash::HeadTime::FirstEvent,
        shared_parts: 1,
        is_head_out: false,
        runners: 4,
        zones: 3,
        pause: crash::SOUND_PAUSE,
        down: crash::DOWN,
    };
    crash::run_as_runner(&arguments, play);
    let (finding, record) = crash::run(&arguments[1], play);
    record.say(&format!(
        "requests with the part that reached runners later than contact_ms after the fifth crash: {} \
         (BUDGET: more than {MAX_LATE})",
        finding.late
    ));
    let is_lost = finding.after.is_some_and(|after| {
        finding.calm.0 >= MIN_COUNT
            && after.0 >= MIN_COUNT
            && crash::ratio(after) < MIN_SHARE * crash::ratio(finding.calm)
    });
    record.say(if finding.late > MAX_LATE { "BUDGET is broken" } else { "BUDGET held" });
    record.say(if is_lost { "LOST is broken" } else { "LOST held" });
    finish(if is_lost || finding.late > MAX_LATE { BROKEN } else { HELD });
}
