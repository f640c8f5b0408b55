//! One generation of a caller client: tries routers in turn until the answer is complete.

use std::collections;
use std::fmt;
use std::time;

use async_std::future as async_future;
use async_std::task;

use crate::connection::caller_address;
use crate::connection::caller_client;
use crate::connection::caller_progress;
use crate::connection::caller_retry;
use crate::connection::caller_stream;

/// Largest total size of received tokens that a resume request carries, in bytes.
pub const MAX_RECEIVED_BYTES: usize = 1024 * 1024;

/// One generation in progress.
pub struct GenerationRun<'a> {
    settings: &'a caller_client::CallerSettings,
    request: &'a caller_client::GenerationRequest,
    key: String,
    progress: caller_progress::AnswerProgress,
    queue: collections::VecDeque<String>,
    observe: &'a mut (dyn FnMut(caller_client::CallerEvent) + Send),
    failed_attempts: u32,
}

impl<'a> GenerationRun<'a> {
    /// Creates a run; `key` identifies the generation at every router. Sends nothing yet.
    pub fn new(
        settings: &'a caller_client::CallerSettings,
        request: &'a caller_client::GenerationRequest,
        key: String,
        observe: &'a mut (dyn FnMut(caller_client::CallerEvent) + Send),
    ) -> Self {
        Self {
            settings,
            request,
            key,
            progress: caller_progress::AnswerProgress::new(time::Instant::now()),
            queue: collections::VecDeque::new(),
            observe,
            failed_attempts: 0,
        }
    }

    /// Reads the complete answer, from as many routers as needed.
    ///
    /// # Errors
    /// [`caller_client::CallerError`] if a refusal is permanent or the retries are exhausted.
    pub async fn drive(
        mut self,
        addresses: Vec<String>,
        book: &caller_address::AddressBook,
    ) -> caller_client::Result<caller_client::CallerAnswer> {
        self.queue = addresses.into();
        loop {
            if self.queue.is_empty() {
                self.queue = book.all().into();
            }
            let Some(address) = self.queue.pop_front() else {
                let end = caller_stream::StreamEnd::Broken("no router address is known".to_owned());
                return Err(self.give_up(end));
            };
            let received = self.progress.received();
            let end = match self.read_from(&address).await {
                Ok(answer) => return Ok(answer),
                Err(end) => end,
            };
            if self.progress.received() > received {
                self.failed_attempts = 0;
            }
            self.report_loss(&address, &end);
            let backoff = self.plan_retry(&address, end)?;
            task::sleep(backoff).await;
        }
    }

    /// Reads from the router at `address` until the answer is complete or the connection ends.
    async fn read_from(
        &mut self,
        address: &str,
    ) -> std::result::Result<caller_client::CallerAnswer, caller_stream::StreamEnd> {
        let mut stream = caller_stream::open(address, &self.answer_request()).await?;
        self.progress.connected();
        self.report(caller_client::CallerEventKind::Connected {
            address: address.to_owned(),
            token_count: self.progress.tokens().len(),
        });
        loop {
            match self.next_item(&mut stream).await? {
                caller_stream::AnswerItem::Token { text, id } => self.accept_token(text, id)?,
                caller_stream::AnswerItem::Restart { reason } => {
                    self.progress.restart();
                    self.report(caller_client::CallerEventKind::Restarted { reason });
                }
                caller_stream::AnswerItem::Finished { reason, count } => {
                    return self.finish(reason, count);
                }
            }
        }
    }

    /// Waits for the next item. Comments reset the idle timeout, but only tokens extend the
    /// deadline.
    async fn next_item(
        &mut self,
        stream: &mut caller_stream::AnswerStream,
    ) -> std::result::Result<caller_stream::AnswerItem, caller_stream::StreamEnd> {
        let deadline = self.settings.deadline;
        let left = deadline.saturating_sub(self.progress.idle(time::Instant::now()));
        let item = async_future::timeout(left, stream.next()).await;
        item.unwrap_or_else(|_elapsed| {
            let cause = format!("no token arrived for {deadline:?}");
            Err(caller_stream::StreamEnd::Broken(cause))
        })
    }

    fn answer_request(&self) -> caller_stream::AnswerRequest {
        let mut body = serde_json::json!({
            "model": self.request.model,
            "prompt": self.request.prompt,
            "max_tokens": self.request.max_tokens,
            "stream": true,
        });
        let cursor = self.progress.cursor().map(str::to_owned);
        if cursor.is_some() && self.progress.bytes() <= MAX_RECEIVED_BYTES {
            // With the tokens, a router can resume even if the old router and engine both failed.
            body["received"] = self.progress.tokens().into();
        }
        caller_stream::AnswerRequest {
            key: self.key.clone(),
            bearer: self.settings.bearer.clone(),
            body,
            cursor,
            deadline: self.settings.deadline,
            idle_timeout: self.settings.idle_timeout,
        }
    }

    fn accept_token(
        &mut self,
        text: String,
        id: Option<String>,
    ) -> std::result::Result<(), caller_stream::StreamEnd> {
        let now = time::Instant::now();
        self.progress
            .push(now, text.clone(), id)
            .map_err(caller_stream::StreamEnd::Broken)?;
        let index = self.progress.tokens().len() - 1;
        self.report(caller_client::CallerEventKind::Token { index, text });
        Ok(())
    }

    fn finish(
        &mut self,
        reason: String,
        count: u32,
    ) -> std::result::Result<caller_client::CallerAnswer, caller_stream::StreamEnd> {
        let token_count = self.progress.tokens().len();
        if token_count != count as usize {
            let cause = format!("{token_count} tokens received, {count} generated");
            return Err(caller_stream::StreamEnd::Broken(cause));
        }
        Ok(self.progress.answer(self.key.clone(), reason))
    }

    fn report_loss(&mut self, address: &str, end: &caller_stream::StreamEnd) {
        let cause = end.to_string();
        self.report(caller_client::CallerEventKind::Lost {
            address: address.to_owned(),
            cause,
        });
    }

    /// Time to wait before the next address is tried, or the final error.
    fn plan_retry(
        &mut self,
        address: &str,
        end: caller_stream::StreamEnd,
    ) -> caller_client::Result<time::Duration> {
        self.failed_attempts += 1;
        self.queue.retain(|other| other != address);
        let backoff = match &end {
            caller_stream::StreamEnd::Broken(_) => self.backoff_after_round(None),
            caller_stream::StreamEnd::Moved(addresses) => {
                self.prefer(addresses);
                self.backoff_after_round(None)
            }
            caller_stream::StreamEnd::Refused(refusal) => match caller_retry::advice(refusal) {
                caller_retry::RetryAdvice::Never => {
                    return Err(caller_client::CallerError::Refused(refusal.clone()));
                }
                caller_retry::RetryAdvice::Elsewhere => {
                    self.backoff_after_round(refusal.retry_after)
                }
                caller_retry::RetryAdvice::Later => self.backoff(refusal.retry_after),
            },
        };
        let idle = self.progress.idle(time::Instant::now());
        let is_over = idle + backoff > self.settings.deadline;
        if is_over || self.failed_attempts >= caller_retry::MAX_FAILED_ATTEMPTS {
            return Err(self.give_up(end));
        }
        Ok(backoff)
    }

    /// No wait while untried routers remain; a backoff once every known router has failed.
    fn backoff_after_round(&self, retry_after: Option<time::Duration>) -> time::Duration {
        if self.queue.is_empty() {
            return self.backoff(retry_after);
        }
        time::Duration::ZERO
    }

    fn backoff(&self, retry_after: Option<time::Duration>) -> time::Duration {
        caller_retry::backoff(self.failed_attempts, retry_after, &mut fastrand::Rng::new())
    }

    fn prefer(&mut self, addresses: &[String]) {
        self.queue.retain(|address| !addresses.contains(address));
        for address in addresses.iter().rev() {
            self.queue.push_front(address.clone());
        }
    }

    fn give_up(&self, end: caller_stream::StreamEnd) -> caller_client::CallerError {
        let token_count = self.progress.tokens().len();
        match end {
            caller_stream::StreamEnd::Refused(refusal) if token_count == 0 => {
                caller_client::CallerError::Refused(refusal)
            }
            end => caller_client::CallerError::GaveUp {
                token_count,
                cause: end.to_string(),
            },
        }
    }

    fn report(&mut self, kind: caller_client::CallerEventKind) {
        let at = time::Instant::now();
        (self.observe)(caller_client::CallerEvent { at, kind });
    }
}

impl fmt::Debug for GenerationRun<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GenerationRun")
            .field("key", &self.key)
            .field("progress", &self.progress)
            .finish_non_exhaustive()
    }
}
