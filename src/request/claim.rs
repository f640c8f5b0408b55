//! Claims of idempotency keys that name no home, stored as rows in the table service.
//!
//! Row `claims/<workspace>/<key digest>` names the router that may send the call. A row is written
//! once, on condition that it does not exist. Claims made within a short window are batched in one
//! transaction; a claim that fails its condition does not block the others.

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

/// Result of a claim.
pub type Result<T> = std::result::Result<T, ClaimError>;

/// Time for which claims are collected before they are written as a batch.
pub const CLAIM_WINDOW: time::Duration = time::Duration::from_millis(5);

/// Maximum number of claims per transaction.
pub const MAX_BATCH_CLAIMS: usize = 64;

/// Maximum number of transactions per claim.
const MAX_ROUNDS: usize = 8;

/// Delay before a claim whose response was lost is read back, and then rewritten if absent.
const READ_BACK_DELAY: time::Duration = time::Duration::from_millis(20);

/// Why the holder of a key could not be determined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The table service did not resolve the claim; contains the error message.
    Unavailable(String),
    /// The value of the row is not a valid claim.
    BadRow,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(message) => f.write_str(message),
            Self::BadRow => f.write_str("claim row cannot be parsed; delete or repair it"),
        }
    }
}

impl std::error::Error for ClaimError {}

/// Holder of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimHolder {
    /// This process holds the claim and may send the call.
    Claimant,
    /// Another claim was first; only its router may send the call.
    Other(key::HomeName),
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimWire {
    /// Home name of the router that may send the call.
    pub home: String,
    /// Random number by which a process recognizes its own claims, as 32 hexadecimal digits.
    pub nonce: String,
    /// Creation time of the claim, in microseconds since the Unix epoch.
    pub made_at_micros: u64,
}

/// Row key of the claim for a key of the workspace.
#[must_use]
pub fn row_key(workspace: &str, key_digest: &str) -> String {
    format!("claims/{workspace}/{key_digest}")
}

#[derive(Debug)]
struct PendingClaim {
    row: String,
    claim: ClaimWire,
    /// An existing claim of this process is reused only if it is not older than this, in
    /// microseconds since the Unix epoch.
    oldest_reusable_micros: u64,
    rounds: usize,
    reply: oneshot::Sender<Result<ClaimHolder>>,
}

/// Collects claims and writes them in batches.
#[derive(Debug)]
pub struct ClaimBatcher {
    platform: sync::Arc<dyn platform::PlatformService>,
    nonce: String,
    retention: time::Duration,
    waiting: parking_lot::Mutex<Vec<PendingClaim>>,
}

impl ClaimBatcher {
    /// Creates a batcher that writes to `platform`.
    ///
    /// If the response to a claim of this process was lost, a later claim of the same row within
    /// `retention` reuses it; the key table must hold keys for at least as long.
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
    /// The caller must ensure that no other claim of the row is in flight in this process.
    ///
    /// # Errors
    /// [`ClaimError`] if the holder cannot be determined; the claim may still have been written.
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
        let to_error = |_cancelled| ClaimError::Unavailable("the claim was cancelled".to_owned());
        answer.await.map_err(to_error)?
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

    /// Writes the claims in concurrent batches; no batch contains the same row twice.
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

    /// Runs one transaction; returns the unresolved claims, one group per
    /// transaction to run next.
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
                // The response does not say which condition failed.
                if count == 1 {
                    return vec![self.read_back(rest).await];
                }
                let half = rest.split_off(count / 2);
                vec![rest, half]
            }
            Err(platform::PlatformError::Unreachable(message)) => {
                // This does not rule out a claim: an earlier round's write may be in flight.
                fail_all(batch, &message);
                Vec::new()
            }
            Err(platform::PlatformError::Unknown(_message)) => vec![self.read_back(batch).await],
        }
    }

    /// Reads the rows of claims whose result is unknown; returns the claims to write again.
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
        // Sending fails if the receiver was dropped.
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

/// Finishes the claims whose rows exist; returns the others.
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

/// Fails claims that have used all their rounds; returns the others.
fn fail_exhausted(batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let (rest, exhausted): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .partition(|pending| pending.rounds < MAX_ROUNDS);
    fail_all(
        exhausted,
        "the claim is still unresolved after all attempts; retry later",
    );
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
