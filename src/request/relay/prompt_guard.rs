//! Keeps prompts from engines that would crash on them, behind a trait.

use std::fmt;
use std::sync;
use std::time;

use futures::future;

use crate::request::relay::prompt_part;

/// Events of an attempt up to which a crash counts as caused by the prompt. An engine that works on
/// a prompt for longer has crashed for another reason.
pub const MAX_CRASH_EVENTS: u64 = 2;

/// A request that lost its engine when its response began.
#[derive(Clone, Copy, Debug)]
pub struct PromptCrash<'a> {
    /// Request identifier.
    pub request: &'a str,
    /// Name of the engine.
    pub endpoint: &'a str,
    /// Shared parts of the request's prompt.
    pub parts: &'a [prompt_part::PromptPart],
    /// Time from the sending of the request to the crash.
    pub running: time::Duration,
}

/// Learns which parts of prompts crash engines.
pub trait PromptGuard: fmt::Debug + Send + Sync {
    /// Time for which a prompt with these shared parts is blocked; `None` if it may be sent.
    fn block_left(&self, parts: &[prompt_part::PromptPart]) -> Option<time::Duration>;

    /// Records that an engine answers a prompt with these shared parts.
    fn record_success(&self, parts: &[prompt_part::PromptPart]);

    /// Records a crash and tells the other routers. Completes when it is known whether the prompt is
    /// blocked now, within a few hundred milliseconds.
    fn report_crash(self: sync::Arc<Self>, crash: PromptCrash<'_>) -> future::BoxFuture<'_, ()>;
}
