//! Claims of idempotency keys that name no home, kept as rows of the table service.
//!
//! Row `claims/<workspace>/<key digest>` names the router that may send the call. A row is written
//! once, on the condition that there is none. Claims made within a short window share one
//! transaction; those that lose do not hold up the others.

use std::collections;
use std::fmt;
use std::str;
use std::sync;
use std::time;

use async_std::task;
use futures::channel::oneshot;

use crate::connection::platform;
use crate::connection::platform_wire;
use crate::request::key;

/// Outcome of a claim.
pub type Result<T> = std::result::Result<T, ClaimError>;

/// Time for which claims are collected before they are written together.
pub const CLAIM_WINDOW: time::Duration = time::Duration::from_millis(5);

/// Claims in one transaction at most.
pub const MAX_BATCH_CLAIMS: usize = 64;

/// Transactions for one claim at most.
const MAX_ROUNDS: usize = 8;

/// Delay before a claim is read back or written again after a lost answer.
const READ_BACK_DELAY: time::Duration = time::Duration::from_millis(20);

/// Why a key was neither claimed nor found claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The table service gave no answer.
    Unavailable(String),
    /// The row holds something else than a claim.
    BadRow,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(message) => f.write_str(message),
            Self::BadRow => f.write_str("claim row is not readable; delete or repair it"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimHolder {
    /// This claim was the first: the claimant may send the call.
    Claimant,
    /// Another claim was first; its router alone may send the call.
    Other(key::HomeName),
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimWire {
    /// Home name of the router that may send the call.
    pub home: String,
    /// Random number of the claiming process, 32 hexadecimal digits, by which it knows its claims.
    pub nonce: String,
    /// Microseconds since the Unix epoch when it was made.
    pub made_at_micros: u64,
}

/// Row key of a claim.
#[must_use]
pub fn row_key(workspace: &str, key_digest: &str) -> String {
    format!("claims/{workspace}/{key_digest}")
}

#[derive(Debug)]
struct PendingClaim {
    row: String,
    claim: ClaimWire,
    /// Claims of this process made before this time are not taken up again.
    oldest_reusable_micros: u64,
    rounds: usize,
    reply: oneshot::Sender<Result<ClaimHolder>>,
}

/// Collects claims and writes them in few transactions.
#[derive(Debug)]
pub struct ClaimBatcher {
    platform: sync::Arc<dyn platform::PlatformService>,
    nonce: String,
    retention: time::Duration,
    waiting: parking_lot::Mutex<Vec<PendingClaim>>,
}

impl ClaimBatcher {
    /// A batcher that writes to `platform`.
    ///
    /// A claim of this process whose answer was lost is taken up again by a later claim of the
    /// same row within `retention`; the key table must hold keys for at least as long.
    #[must_use]
    pub fn new(
        platform: sync::Arc<dyn platform::PlatformService>,
        retention: time::Duration,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            platform,
            nonce: format!("{:032x}", uuid::Uuid::new_v4().as_u128()),
            retention,
            waiting: parking_lot::Mutex::default(),
        })
    }

    /// Claims `row` for `home`; `now` is the time since the Unix epoch.
    ///
    /// The caller sees to it that no other claim of the row runs in this process.
    ///
    /// # Errors
    /// [`ClaimError`] when nobody can be named; the claim may have been written all the same.
    pub async fn claim(
        self: &sync::Arc<Self>,
        row: String,
        home: &key::HomeName,
        now: time::Duration,
    ) -> Result<ClaimHolder> {
        let claim = ClaimWire {
            home: home.to_string(),
            nonce: self.nonce.clone(),
            made_at_micros: micros(now),
        };
        let (reply, answer) = oneshot::channel();
        let pending = PendingClaim {
            row,
            claim,
            oldest_reusable_micros: micros(now.saturating_sub(self.retention)),
            rounds: 0,
            reply,
        };
        self.enqueue(pending);
        let lost = |_cancelled| ClaimError::Unavailable("the claim was broken off".to_owned());
        answer.await.map_err(lost)?
    }

    fn enqueue(self: &sync::Arc<Self>, pending: PendingClaim) {
        let first = {
            let mut waiting = self.waiting.lock();
            waiting.push(pending);
            waiting.len() == 1
        };
        if !first {
            return;
        }
        let batcher = sync::Arc::clone(self);
        task::spawn(async move {
            task::sleep(CLAIM_WINDOW).await;
            let claims = std::mem::take(&mut *batcher.waiting.lock());
            batcher.write_all(claims);
        });
    }

    /// Writes batches side by side, no row twice in one of them.
    fn write_all(self: &sync::Arc<Self>, claims: Vec<PendingClaim>) {
        for batch in split_batches(claims) {
            let batcher = sync::Arc::clone(self);
            task::spawn(async move { batcher.resolve_batch(batch).await });
        }
    }

    async fn resolve_batch(&self, batch: Vec<PendingClaim>) {
        let mut batches = vec![batch];
        while let Some(batch) = batches.pop() {
            let rest = self.write_round(batch).await;
            batches.extend(rest.into_iter().filter(|batch| !batch.is_empty()));
        }
    }

    /// One transaction; returns the claims that need others, one transaction an item.
    async fn write_round(&self, mut batch: Vec<PendingClaim>) -> Vec<Vec<PendingClaim>> {
        let count = batch.len();
        for pending in &mut batch {
            pending.rounds += 1;
        }
        let writes = batch.iter().map(PendingClaim::write).collect();
        match self.platform.write(writes).await {
            Ok(platform::WriteOutcome::Applied(_versions)) => {
                for pending in batch {
                    pending.finish(Ok(ClaimHolder::Claimant));
                }
                Vec::new()
            }
            Ok(platform::WriteOutcome::Conflict(rows)) => {
                let mut rest = fail_exhausted(finish_claimed(batch, &rows));
                if rest.len() < count {
                    return vec![rest];
                }
                // The answer does not say which condition failed.
                if count == 1 {
                    return vec![self.read_back(rest).await];
                }
                let half = rest.split_off(count / 2);
                vec![rest, half]
            }
            Err(platform::PlatformError::Unreachable(message)) => {
                // A write of an earlier round may still be on its way, so this is no proof.
                fail_all(batch, &message);
                Vec::new()
            }
            Err(platform::PlatformError::Unknown(_message)) => vec![self.read_back(batch).await],
        }
    }

    /// Settles a write whose answer was lost.
    async fn read_back(&self, batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
        task::sleep(READ_BACK_DELAY).await;
        let keys = batch.iter().map(|pending| pending.row.clone()).collect();
        match self.platform.read(keys).await {
            Ok(rows) => fail_exhausted(finish_claimed(batch, &rows)),
            Err(error) => {
                fail_all(batch, &error.to_string());
                Vec::new()
            }
        }
    }
}

impl PendingClaim {
    fn write(&self) -> platform_wire::RowWrite {
        platform_wire::RowWrite {
            key: self.row.clone(),
            if_version: Some(0),
            value: serde_json::to_string(&self.claim).ok(),
        }
    }

    fn finish(self, outcome: Result<ClaimHolder>) {
        // The asker may have given up.
        drop(self.reply.send(outcome));
    }

    fn holder(&self, row: &platform_wire::TableRow) -> Result<ClaimHolder> {
        let found: ClaimWire = serde_json::from_str(&row.value).or(Err(ClaimError::BadRow))?;
        if found.nonce == self.claim.nonce && found.made_at_micros >= self.oldest_reusable_micros {
            return Ok(ClaimHolder::Claimant);
        }
        let home = str::FromStr::from_str(&found.home).or(Err(ClaimError::BadRow))?;
        Ok(ClaimHolder::Other(home))
    }
}

/// Finishes the claims whose rows are there; returns the others.
fn finish_claimed(
    batch: Vec<PendingClaim>,
    rows: &[Option<platform_wire::TableRow>],
) -> Vec<PendingClaim> {
    let mut rest = Vec::new();
    for pending in batch {
        let row = rows.iter().flatten().find(|row| row.key == pending.row);
        let Some(row) = row else {
            rest.push(pending);
            continue;
        };
        let holder = pending.holder(row);
        pending.finish(holder);
    }
    rest
}

/// Gives up claims that have had all their rounds; returns the others.
fn fail_exhausted(batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let (rest, over): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .partition(|pending| pending.rounds < MAX_ROUNDS);
    fail_all(over, "the table service settled no claim; ask again later");
    rest
}

fn fail_all(batch: Vec<PendingClaim>, message: &str) {
    for pending in batch {
        pending.finish(Err(ClaimError::Unavailable(message.to_owned())));
    }
}

fn split_batches(claims: Vec<PendingClaim>) -> Vec<Vec<PendingClaim>> {
    let mut batches: Vec<(collections::HashSet<String>, Vec<PendingClaim>)> = Vec::new();
    for pending in claims {
        let open = batches
            .iter_mut()
            .find(|(rows, batch)| batch.len() < MAX_BATCH_CLAIMS && !rows.contains(&pending.row));
        if let Some((rows, batch)) = open {
            rows.insert(pending.row.clone());
            batch.push(pending);
            continue;
        }
        let rows = collections::HashSet::from([pending.row.clone()]);
        batches.push((rows, vec![pending]));
    }
    batches.into_iter().map(|(_rows, batch)| batch).collect()
}

fn micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
