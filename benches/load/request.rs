//! One request of a workspace, sent once and read to its end.

use std::net;
use std::time;

use kumquatpulley::connection::caller_stream;

use crate::bench;
use crate::numbers;
use crate::outcome;
use crate::system;

/// The large workspace.
pub const LARGE: &str = "large";

/// Small workspaces.
pub const SMALL_COUNT: usize = 9;

/// Tokens of each answer.
pub const MAX_TOKENS: u32 = 40;

const TOKEN_SECONDS: f64 = 0.02;
const PROMPT_WORDS: usize = 32;
const PROMPT_BYTES: usize = 12 * PROMPT_WORDS;
const BYTES_PER_TOKEN: usize = 4;
const SILENCE: time::Duration = time::Duration::from_secs(5);

/// Time that a caller waits for its answer to begin.
const DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Name, and bearer key, of a small workspace.
pub fn small_name(index: usize) -> String {
    format!("small-{index}")
}

/// Time for which one request holds a slot of an engine, in seconds.
pub fn service_seconds(engines: system::EnginePlan) -> f64 {
    let prompt = numbers::float(PROMPT_BYTES / BYTES_PER_TOKEN);
    let prefill = prompt * numbers::float(engines.prefill_us) / 1e6;
    f64::from(MAX_TOKENS) * TOKEN_SECONDS + prefill
}

/// Sends one request and reads its answer.
pub async fn run(router: net::SocketAddr, home: String, workspace: String) -> outcome::Outcome {
    let prompt = format!(
        "{} {}",
        fastrand::u64(..),
        "venue notes ".repeat(PROMPT_WORDS)
    );
    let request = caller_stream::AnswerRequest {
        key: format!("{home}.{}", uuid::Uuid::now_v7()),
        bearer: workspace.clone(),
        body: serde_json::json!({
            "model": bench::MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": true,
        }),
        cursor: None,
        deadline: DEADLINE,
        idle_timeout: SILENCE,
    };
    let mut outcome = outcome::Outcome::new(workspace);
    let end = Box::pin(read(router, &request, &mut outcome)).await;
    outcome.finish(end);
    outcome
}

async fn read(
    router: net::SocketAddr,
    request: &caller_stream::AnswerRequest,
    outcome: &mut outcome::Outcome,
) -> caller_stream::Result<()> {
    let mut stream = caller_stream::open(&router.to_string(), request).await?;
    loop {
        match stream.next().await? {
            caller_stream::AnswerItem::Token { .. } => outcome.take_token(),
            caller_stream::AnswerItem::Restart { reason } => {
                return Err(caller_stream::StreamEnd::Broken(reason));
            }
            caller_stream::AnswerItem::Finished { count, .. } => {
                if count == MAX_TOKENS && outcome.arrivals.len() == MAX_TOKENS as usize {
                    return Ok(());
                }
                let cause = format!("{count} tokens computed, not all came");
                return Err(caller_stream::StreamEnd::Broken(cause));
            }
        }
    }
}
