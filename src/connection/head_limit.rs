//! Limits the size of a message head while its bytes arrive. A decoder that reads whole lines checks the
//! size only at the end of each line, which may never come.

use std::io;

/// Result of checking bytes of a head.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Maximum size of a head, the same as that of `async_h1`.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The last four bytes of a head.
const BLANK_LINE: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// What may end a head instead; only `async_h1`'s client accepts it.
const BARE_BLANK_LINE: u32 = 0x0a0a;
const BARE_MASK: u32 = 0xffff;

/// Which messages a connection receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadKind {
    /// Heads of requests.
    Request,
    /// The head of a response.
    Response,
}

/// Counts the bytes of one head up to its end.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    kind: HeadKind,
    /// The last four bytes.
    last: u32,
    /// Number of bytes; `None` after the end of the head.
    length: Option<usize>,
}

impl HeadLimit {
    /// Creates a limit for a head of which nothing has been read.
    #[must_use]
    pub const fn new(kind: HeadKind) -> Self {
        Self {
            kind,
            last: 0,
            length: Some(0),
        }
    }

    /// Checks the next bytes of the connection.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if the head is longer than [`MAX_HEAD_BYTES`].
    pub fn check(&mut self, bytes: &[u8]) -> Result<()> {
        let Some(length) = self.length else {
            return Ok(());
        };
        for byte in bytes {
            self.last = self.last << u8::BITS | u32::from(*byte);
            if self.is_end() {
                self.length = None;
                return Ok(());
            }
        }
        let length = length + bytes.len();
        self.length = Some(length);
        if length < MAX_HEAD_BYTES {
            return Ok(());
        }
        let message = "the message head is longer than 8kb; send fewer or shorter fields";
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }

    fn is_end(&self) -> bool {
        let is_bare = self.last & BARE_MASK == BARE_BLANK_LINE;
        self.last == BLANK_LINE || (self.kind == HeadKind::Response && is_bare)
    }
}
