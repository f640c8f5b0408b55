//! Body of a call, shared by all copies of the call together with its reserved memory.

use std::fmt;
use std::ops;
use std::sync;

use crate::process::limits::byte_budget;

/// Body bytes; clones share them. The memory is returned to its budget with the last clone.
#[derive(Clone, Default)]
pub struct CallBody {
    shared: sync::Arc<SharedBody>,
}

#[derive(Debug, Default)]
struct SharedBody {
    bytes: Vec<u8>,
    /// `None` for a body that came from a peer.
    _reservation: Option<byte_budget::ByteReservation>,
}

impl CallBody {
    /// Body whose memory is reserved by `reservation`.
    #[must_use]
    pub fn reserved(bytes: Vec<u8>, reservation: byte_budget::ByteReservation) -> Self {
        let shared = SharedBody {
            bytes,
            _reservation: Some(reservation),
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }
}

impl From<Vec<u8>> for CallBody {
    fn from(bytes: Vec<u8>) -> Self {
        let shared = SharedBody {
            bytes,
            _reservation: None,
        };
        Self {
            shared: sync::Arc::new(shared),
        }
    }
}

impl ops::Deref for CallBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.shared.bytes
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
        **self == **other
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
