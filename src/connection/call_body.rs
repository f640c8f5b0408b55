//! Body of a call or of its answer, shared by all copies together with the memory that it holds.

use std::fmt;
use std::io as std_io;
use std::pin;
use std::sync;
use std::task;

use async_std::io;
use serde::ser::SerializeSeq as _;

use crate::process::limits::{caller_memory, segment_pool};

/// Body in segments, as it was received; clones share them. The memory is returned with the last clone.
#[derive(Clone, Default)]
pub struct CallBody {
    segments: sync::Arc<segment_pool::BodySegments>,
    length: usize,
    /// `None` for a body that came from a peer.
    hold: Option<sync::Arc<caller_memory::MemoryHold>>,
}

impl CallBody {
    /// Body whose memory is accounted for by `hold`.
    #[must_use]
    pub fn held(
        segments: segment_pool::BodySegments,
        hold: Option<caller_memory::MemoryHold>,
    ) -> Self {
        Self {
            length: segments.as_slice().iter().map(Vec::len).sum(),
            segments: sync::Arc::new(segments),
            hold: hold.map(sync::Arc::new),
        }
    }

    /// Size in bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.as_slice().iter().map(Vec::as_slice)
    }

    /// Copy of all bytes in one piece.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.segments.as_slice().concat()
    }

    /// The same bytes for a holder that has a bound of its own.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self {
            segments: sync::Arc::clone(&self.segments),
            length: self.length,
            hold: None,
        }
    }

    /// Hold of the bytes, for a holder that keeps only a copy of them.
    #[must_use]
    pub fn hold(&self) -> Option<sync::Arc<caller_memory::MemoryHold>> {
        self.hold.clone()
    }

    /// Hold for the answer to this call; `None` for a call that came from a peer.
    #[must_use]
    pub fn open_answer(&self) -> Option<caller_memory::MemoryHold> {
        self.hold.as_ref().map(|hold| hold.open_answer())
    }

    /// Body of a message with these bytes, which are not copied.
    #[must_use]
    pub fn message_body(&self) -> http_types::Body {
        let reader = SegmentReader {
            body: self.clone(),
            index: 0,
            offset: 0,
        };
        http_types::Body::from_reader(reader, Some(self.length))
    }

    fn bytes(&self) -> impl Iterator<Item = &u8> {
        self.segments.as_slice().iter().flatten()
    }
}

impl From<Vec<u8>> for CallBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::held(bytes.into(), None)
    }
}

impl fmt::Debug for CallBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CallBody").field(&self.length).finish()
    }
}

impl PartialEq for CallBody {
    fn eq(&self, other: &Self) -> bool {
        self.length == other.length && self.bytes().eq(other.bytes())
    }
}

impl Eq for CallBody {}

/// Encoded as a list of bytes, whatever the segments are.
impl serde::Serialize for CallBody {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.length))?;
        for byte in self.bytes() {
            list.serialize_element(byte)?;
        }
        list.end()
    }
}

impl<'de> serde::Deserialize<'de> for CallBody {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes: Vec<u8> = serde::Deserialize::deserialize(deserializer)?;
        Ok(Self::from(bytes))
    }
}

/// Reads the segments in order.
#[derive(Debug)]
struct SegmentReader {
    body: CallBody,
    index: usize,
    /// Bytes of the segment at `index` that were read.
    offset: usize,
}

impl SegmentReader {
    /// Bytes of the present segment that are left; empty at the end.
    fn left(&mut self) -> &[u8] {
        let segments = self.body.segments.as_slice();
        while segments
            .get(self.index)
            .is_some_and(|segment| segment.len() <= self.offset)
        {
            self.index += 1;
            self.offset = 0;
        }
        let segment = segments.get(self.index);
        segment.map_or(&[], |segment| &segment[self.offset..])
    }
}

impl io::Read for SegmentReader {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<std_io::Result<usize>> {
        let left = self.left();
        let count = left.len().min(buf.len());
        buf[..count].copy_from_slice(&left[..count]);
        self.offset += count;
        task::Poll::Ready(Ok(count))
    }
}

impl io::BufRead for SegmentReader {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<std_io::Result<&[u8]>> {
        task::Poll::Ready(Ok(self.get_mut().left()))
    }

    fn consume(mut self: pin::Pin<&mut Self>, amt: usize) {
        self.offset += amt;
    }
}
