//! Digests that identify idempotency keys and requests.

use sha2::Digest as _;

use crate::connection::peer_wire;

const DIGEST_BYTES: usize = 16;

/// Truncated SHA-256 of a key with its workspace, or of a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallDigest([u8; DIGEST_BYTES]);

impl CallDigest {
    /// Digest of `parts`, each preceded by its length.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::finish(Self::hash(parts))
    }

    fn hash(parts: &[&[u8]]) -> sha2::Sha256 {
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher
    }

    fn finish(hasher: sha2::Sha256) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Digest of the workspace and key of `call`, used as its key in the table.
    #[must_use]
    pub fn of_key(call: &peer_wire::CallWire) -> Self {
        Self::of(&[call.workspace.as_bytes(), call.key.as_bytes()])
    }

    /// Digest of the request without its key, used to detect a key reused for another request.
    #[must_use]
    pub fn of_request(call: &peer_wire::CallWire) -> Self {
        let content_type = call.content_type.as_deref().unwrap_or_default();
        let mut hasher = Self::hash(&[
            call.workspace.as_bytes(),
            call.service.as_bytes(),
            call.method.as_bytes(),
            call.path.as_bytes(),
            content_type.as_bytes(),
        ]);
        // As one part, whatever its segments are.
        hasher.update((call.body.len() as u64).to_be_bytes());
        for segment in call.body.segments() {
            hasher.update(segment);
        }
        Self::finish(hasher)
    }

    /// Index of the shard that stores the digest, out of `count` shards.
    #[must_use]
    pub fn shard(self, count: usize) -> usize {
        usize::from(self.0[0]) % count
    }

    /// The digest as 32 lower-case hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }
}
