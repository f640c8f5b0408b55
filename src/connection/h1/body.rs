//! Incremental decoder for message bodies, without I/O.

use crate::connection::h1::head;

/// Result of decoding.
pub type Result<T> = std::result::Result<T, BodyError>;

/// The body's framing is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError;

/// Maximum size of a chunk-size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// Maximum number of trailer lines.
const MAX_TRAILERS: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Fixed(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(u32),
    Complete,
}

/// Decodes one body from the bytes read from its connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecodeState,
}

impl BodyDecoder {
    /// Creates a decoder for a body of which nothing has been read.
    #[must_use]
    pub fn new(framing: head::BodyFraming) -> Self {
        let state = match framing {
            head::BodyFraming::Length(0) => DecodeState::Complete,
            head::BodyFraming::Length(length) => DecodeState::Fixed(length),
            head::BodyFraming::Chunked => DecodeState::ChunkSize,
            head::BodyFraming::UntilClose => DecodeState::UntilClose,
        };
        Self { state }
    }

    /// Most bytes that are decoded from `count` bytes of input.
    #[must_use]
    pub fn max_output(&self, count: usize) -> usize {
        match self.state {
            DecodeState::Complete => 0,
            DecodeState::Fixed(left) => usize::try_from(left).map_or(count, |left| left.min(count)),
            _ => count,
        }
    }

    /// Whether the whole body has been decoded.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == DecodeState::Complete
    }

    /// Whether the body has no length and no chunks, so that nothing but the connection marks its end.
    #[must_use]
    pub fn ends_unmarked(&self) -> bool {
        self.state == DecodeState::UntilClose
    }

    /// Whether a clean close of the connection at this point completes the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, DecodeState::UntilClose | DecodeState::Complete)
    }

    /// Appends the body bytes in `input` to `output`; returns the number of bytes consumed.
    ///
    /// # Errors
    /// [`BodyError`] when the chunk framing is invalid.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize> {
        let mut used = 0;
        while used < input.len() {
            let Some(step) = self.step(&input[used..], output)? else {
                break;
            };
            used += step;
        }
        Ok(used)
    }

    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<Option<usize>> {
        match self.state {
            DecodeState::Complete => Ok(None),
            DecodeState::UntilClose => {
                output.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            DecodeState::Fixed(left) => {
                let (taken, left) = take(left, input, output);
                self.state = left.map_or(DecodeState::Complete, DecodeState::Fixed);
                Ok(Some(taken))
            }
            DecodeState::ChunkData(left) => {
                let (taken, left) = take(left, input, output);
                self.state = left.map_or(DecodeState::ChunkEnd, DecodeState::ChunkData);
                Ok(Some(taken))
            }
            DecodeState::ChunkSize => self.read_line(input, |line| {
                let size = chunk_size(line)?;
                Ok(if size == 0 {
                    DecodeState::Trailers(0)
                } else {
                    DecodeState::ChunkData(size)
                })
            }),
            DecodeState::ChunkEnd => self.read_line(input, |line| {
                if line.is_empty() {
                    return Ok(DecodeState::ChunkSize);
                }
                Err(BodyError)
            }),
            DecodeState::Trailers(count) => self.read_line(input, |line| {
                if line.is_empty() {
                    return Ok(DecodeState::Complete);
                }
                if count >= MAX_TRAILERS {
                    return Err(BodyError);
                }
                Ok(DecodeState::Trailers(count + 1))
            }),
        }
    }

    fn read_line(
        &mut self,
        input: &[u8],
        next: impl FnOnce(&[u8]) -> Result<DecodeState>,
    ) -> Result<Option<usize>> {
        let Some(end) = memchr::memchr(b'\n', input) else {
            if input.len() > MAX_LINE_BYTES {
                return Err(BodyError);
            }
            return Ok(None);
        };
        let line = input[..end].strip_suffix(b"\r").ok_or(BodyError)?;
        if line.len() > MAX_LINE_BYTES {
            return Err(BodyError);
        }
        self.state = next(line)?;
        Ok(Some(end + 1))
    }
}

/// Takes up to `left` bytes; returns the number taken and the number remaining, if any.
fn take(left: u64, input: &[u8], output: &mut Vec<u8>) -> (usize, Option<u64>) {
    let taken = usize::try_from(left).map_or(input.len(), |left| left.min(input.len()));
    output.extend_from_slice(&input[..taken]);
    let left = left - taken as u64;
    (taken, (left > 0).then_some(left))
}

/// Parses a chunk size; extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64> {
    const MAX_DIGITS: usize = 8;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > MAX_DIGITS {
        return Err(BodyError);
    }
    let text = std::str::from_utf8(digits).map_err(|_not_text| BodyError)?;
    u64::from_str_radix(text, 16).map_err(|_not_hex| BodyError)
}
