//! Body of a call or of its answer, shared by all copies together with the memory that it holds.

use std::fmt;
use std::ops;
use std::sync;

use crate::process::limits::caller_memory;

/// Body bytes; clones share them. The memory is returned with the last clone.
#[derive(Clone, Default)]
pub struct CallBody {
    bytes: sync::Arc<Vec<u8>>,
    /// `None` for a body that came from a peer.
    hold: Option<sync::Arc<caller_memory::MemoryHold>>,
}

impl CallBody {
    /// Body whose memory is accounted for by `hold`.
    #[must_use]
    pub fn held(bytes: Vec<u8>, hold: Option<caller_memory::MemoryHold>) -> Self {
        Self {
            bytes: sync::Arc::new(bytes),
            hold: hold.map(sync::Arc::new),
        }
    }

    /// The same bytes for a holder that has a bound of its own.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self {
            bytes: sync::Arc::clone(&self.bytes),
            hold: None,
        }
    }

    /// Hold for the answer to this call; `None` for a call that came from a peer.
    #[must_use]
    pub fn open_answer(&self) -> Option<caller_memory::MemoryHold> {
        self.hold.as_ref().map(|hold| hold.open_answer())
    }
}

impl From<Vec<u8>> for CallBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::held(bytes, None)
    }
}

impl ops::Deref for CallBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for CallBody {
    fn as_ref(&self) -> &[u8] {
        self
    }
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallBody").field(&self.len()).finish()
    }
}

impl PartialEq for CallBody {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for CallBody {}

impl serde::Serialize for CallBody {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serde::Serialize::serialize(&**self, serializer)
    }
}

impl<'de> serde::Deserialize<'de> for CallBody {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes: Vec<u8> = serde::Deserialize::deserialize(deserializer)?;
        Ok(Self::from(bytes))
    }
}
