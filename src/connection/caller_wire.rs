//! JSON formats that a caller client reads: addresses, answer chunks and refusals.

use std::time;

use crate::request::verdict;

/// Answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
pub struct AddressAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<RouterAddress>,
    /// Time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
}

/// One router to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
pub struct RouterAddress {
    /// Host and port.
    pub address: String,
    /// Home name to put into keys of requests sent to this router.
    pub home: String,
}

/// JSON object in one `data:` field of an answer.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerChunk {
    /// Choices of the completion; a valid chunk has one.
    pub choices: Vec<AnswerChoice>,
    /// Token count of the complete answer; set only in the last object.
    #[serde(default)]
    pub usage: Option<AnswerUsage>,
}

/// Choice in an [`AnswerChunk`].
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerChoice {
    /// Text of the token; empty in the last object.
    pub text: String,
    /// `stop` or `length`; set only in the last object.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Token count of an answer.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
pub struct AnswerUsage {
    /// Number of tokens in the complete answer.
    pub completion_tokens: u32,
}

/// Data of a `moved` event, sent when another router takes over the generation.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct MovedNotice {
    /// Addresses to resume at, in order of preference.
    #[serde(default)]
    pub addresses: Vec<String>,
}

/// Data of a `restart` event, after which the answer starts over.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
pub struct RestartNotice {
    /// Why the answer could not be resumed.
    #[serde(default)]
    pub reason: String,
}

/// JSON body of a refusal.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RefusalBody {
    /// Reason, verdict and retry information.
    pub error: RefusalWire,
}

/// A refusal in JSON form.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct RefusalWire {
    /// Machine-readable reason.
    pub code: verdict::RefusalCode,
    /// Description for humans, with a suggested action.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: verdict::RunVerdict,
    /// Earliest useful time for a retry, in seconds from now.
    #[serde(default)]
    pub retry_after_s: Option<u64>,
    /// Current home name to put into a new key.
    #[serde(default)]
    pub home: Option<String>,
}

impl RefusalWire {
    /// Converts to a refusal with the HTTP status of the response.
    #[must_use]
    pub fn with_status(self, status: u16) -> verdict::RequestRefusal {
        let mut refusal =
            verdict::RequestRefusal::new(status, self.code, self.verdict, self.message);
        refusal.retry_after = self.retry_after_s.map(time::Duration::from_secs);
        refusal.home = self.home;
        refusal
    }
}
