//! What the demo found: the answer against the token function, and the times of its tokens.

use std::collections;
use std::time;

use kumquatpulley::connection::caller_client;

use crate::oracle;

/// Last line of the demo.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct DemoOutcome {
    /// Tokens of the answer.
    pub tokens: usize,
    /// Positions without a token.
    pub missing: usize,
    /// Tokens whose position came before.
    pub repeated: usize,
    /// First way in which the answer is not one generation; null when it is one.
    pub wrong: Option<String>,
    /// Times that the answer began again.
    pub restarts: u32,
    /// Time from the engine's death to the next token, in milliseconds.
    pub engine_resume_ms: u128,
    /// Time from the router's death to the next token, in milliseconds.
    pub router_resume_ms: u128,
    /// Tokens that engines computed beyond the answer.
    pub extra_tokens: u64,
}

impl DemoOutcome {
    /// Whether the answer is whole and right.
    pub fn is_whole(&self) -> bool {
        self.missing == 0 && self.repeated == 0 && self.wrong.is_none()
    }
}

/// Positions that an answer of `wanted` tokens lacks and those that it holds twice.
pub fn count_positions(tokens: &[String], wanted: usize) -> (usize, usize) {
    let mut seen = collections::HashSet::new();
    let mut repeated = 0;
    for (index, token) in tokens.iter().enumerate() {
        if !seen.insert(position(index, token)) {
            repeated += 1;
        }
    }
    let missing = (0..wanted).filter(|position| !seen.contains(position));
    (missing.count(), repeated)
}

/// Position that the token's text spells; the first token spells none.
fn position(index: usize, token: &str) -> usize {
    let spelt = token.trim_start().strip_prefix('t');
    let number = spelt.and_then(|text| text.split('-').next());
    number.and_then(|text| text.parse().ok()).unwrap_or(index)
}

/// The first way in which `tokens` are not one generation of `prompt`.
pub fn first_fault(prompt: &str, tokens: &[String]) -> Option<String> {
    let checked = oracle::TokenOracle::check(prompt, tokens);
    checked.err().map(|error| error.to_string())
}

/// Time from `death` to the first token after it, in milliseconds.
pub fn resume_ms(events: &[caller_client::CallerEvent], death: time::Instant) -> Option<u128> {
    let is_token = |event: &&caller_client::CallerEvent| {
        matches!(event.kind, caller_client::CallerEventKind::Token { .. }) && event.at >= death
    };
    let token = events.iter().find(is_token)?;
    Some(token.at.duration_since(death).as_millis())
}
