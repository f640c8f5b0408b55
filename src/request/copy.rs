//! A received call with its parsed key and deadline.

use std::str;
use std::time;

use crate::connection::peer_wire;
use crate::request::digest;
use crate::request::key;
use crate::request::outcome;
use crate::request::refusal;
use crate::request::verdict;

/// Result of parsing a call.
pub(crate) type Result<T> = verdict::Result<T>;

/// One copy of a call; a caller that retries sends several copies under the same key.
#[derive(Clone, Debug)]
pub(crate) struct CallCopy {
    pub(crate) call: peer_wire::CallWire,
    pub(crate) key: key::RequestKey,
    pub(crate) deadline: time::Instant,
}

impl CallCopy {
    pub(crate) fn new(call: peer_wire::CallWire) -> Result<Self> {
        let key = str::FromStr::from_str(&call.key);
        let key = key.map_err(|error: key::KeyError| {
            let code = verdict::RefusalCode::BadRequest;
            verdict::RequestRefusal::not_run(400, code, error.to_string())
        })?;
        let limit = time::Duration::from_millis(call.deadline_millis);
        let now = time::Instant::now();
        let deadline = now.checked_add(limit).unwrap_or(now);
        Ok(Self {
            call,
            key,
            deadline,
        })
    }

    /// Time left until the deadline; zero once it has passed.
    pub(crate) fn remaining(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// The lookup data for the key table.
    pub(crate) fn arrival(&self) -> outcome::KeyArrival {
        outcome::KeyArrival {
            key: digest::CallDigest::of_key(&self.call),
            request: digest::CallDigest::of_request(&self.call),
            made_at: self.key.made_at(),
            first_send: self.call.first_send,
        }
    }

    /// Refuses the call on a router that cannot know whether another copy ran.
    pub(crate) fn refuse(
        &self,
        status: u16,
        code: verdict::RefusalCode,
        message: &str,
    ) -> verdict::RequestRefusal {
        let refusal = verdict::RequestRefusal::not_run(status, code, message);
        refusal::qualify_refusal(refusal, self.call.first_send)
    }
}
