//! What a caller reads from routers: addresses, answer chunks and refusals.

use std::time;

use crate::request::verdict;

/// Answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
pub struct AddressAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<RouterAddress>,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One router to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
pub struct RouterAddress {
    /// Host and port.
    pub address: String,
    /// Home name for the keys of requests sent there.
    pub home: String,
}

/// One `data:` object of an answer.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerChunk {
    /// One choice.
    pub choices: Vec<AnswerChoice>,
    /// Count of the whole answer, in the last object.
    #[serde(default)]
    pub usage: Option<AnswerUsage>,
}

/// The choice of an answer object.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerChoice {
    /// The token; empty in the last object.
    pub text: String,
    /// Why the answer ended, in the last object.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Count of an answer.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerUsage {
    /// Tokens of the whole answer.
    pub completion_tokens: u32,
}

/// Data of a `moved` event.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct MovedNotice {
    /// Addresses to go on at, the preferred one first.
    #[serde(default)]
    pub addresses: Vec<String>,
}

/// Data of a `restart` event.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct RestartNotice {
    /// Why the answer could not go on.
    #[serde(default)]
    pub reason: String,
}

/// JSON body of a refusal.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: RefusalWire,
}

/// A refusal in JSON form.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RefusalWire {
    /// Machine-readable reason.
    pub code: verdict::RefusalCode,
    /// One plain sentence with the next step.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: verdict::RunVerdict,
    /// When asking again can help, in seconds.
    #[serde(default)]
    pub retry_after_s: Option<u64>,
    /// Present home name for a new key.
    #[serde(default)]
    pub home: Option<String>,
}

impl RefusalWire {
    /// The refusal with the HTTP status that came with it.
    #[must_use]
    pub fn with_status(self, status: u16) -> verdict::RequestRefusal {
        let mut refusal =
            verdict::RequestRefusal::new(status, self.code, self.verdict, self.message);
        refusal.retry_after = self.retry_after_s.map(time::Duration::from_secs);
        refusal.home = self.home;
        refusal
    }
}
