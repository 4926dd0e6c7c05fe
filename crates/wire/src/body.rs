//! Incremental decoding of message bodies.

use crate::{WireError, head};

/// Maximum length of a chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 10;
/// Maximum total length of the trailer lines after a chunked body, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The chunked transfer coding.
    Chunked,
    /// A known length in bytes.
    Sized(usize),
    /// The body ends when the connection closes.
    UntilClose,
}

/// The position inside a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// Inside chunk data, with this many bytes remaining.
    Data(usize),
    /// Before the line end that follows chunk data.
    DataEnd,
    /// Before a chunk-size line.
    Size,
    /// Inside the trailer section, after this many bytes of trailer lines.
    Trailer(usize),
}

/// Decodes one message body incrementally.
#[derive(Debug)]
pub(crate) struct BodyReader {
    /// What is decoded and not taken yet.
    data: Vec<u8>,
    framing: Framing,
    /// Maximum length of `data`, in bytes.
    limit: usize,
    /// How many decoded bytes were taken.
    taken: usize,
    /// Unused unless the framing is chunked.
    state: ChunkState,
}

impl BodyReader {
    pub(crate) fn new(framing: Framing, limit: usize) -> Result<Self, WireError> {
        if matches!(framing, Framing::Sized(size) if size > limit) {
            return Err(WireError::BodyLimit);
        }
        Ok(Self {
            data: Vec::new(),
            framing,
            limit,
            taken: 0,
            state: ChunkState::Size,
        })
    }

    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    pub(crate) fn into_data(self) -> Vec<u8> {
        self.data
    }

    /// How many decoded bytes are not taken yet.
    pub(crate) fn len(&self) -> usize {
        self.data.len()
    }

    /// How many bytes were decoded so far, taken or not.
    pub(crate) fn arrived(&self) -> usize {
        self.taken + self.data.len()
    }

    /// Takes what is decoded so far; the rest of the body follows.
    pub(crate) fn take(&mut self) -> Vec<u8> {
        self.taken += self.data.len();
        std::mem::take(&mut self.data)
    }

    /// Moves the bytes of the body from the front of `buf` into the reader. Returns true once the
    /// body is complete; a body that ends with the connection never is.
    pub(crate) fn feed(&mut self, buf: &mut Vec<u8>) -> Result<bool, WireError> {
        match self.framing {
            Framing::Chunked => self.read_chunks(buf),
            Framing::Sized(size) => {
                let left = size - self.taken - self.data.len();
                let moved = self.take_data(buf, left)?;
                Ok(moved == left)
            }
            Framing::UntilClose => {
                self.take_data(buf, usize::MAX)?;
                Ok(false)
            }
        }
    }

    /// Moves at most `max_bytes` of body data out of `buf` and returns their number.
    fn take_data(&mut self, buf: &mut Vec<u8>, max_bytes: usize) -> Result<usize, WireError> {
        let size = max_bytes.min(buf.len());
        if self.data.len() + size > self.limit {
            return Err(WireError::BodyLimit);
        }
        if let Framing::Sized(total) = self.framing {
            // Grows by doubling, but never beyond the body's length.
            let left = total - self.taken - self.data.len();
            let room = self.data.capacity() - self.data.len();
            if size > room {
                let growth = self.data.len().max(size).min(left);
                self.data.reserve_exact(growth);
            }
        }
        self.data.extend(buf.drain(..size));
        Ok(size)
    }

    /// Decodes as much of a chunked body as `buf` holds. Returns true once the body is complete.
    fn read_chunks(&mut self, buf: &mut Vec<u8>) -> Result<bool, WireError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(false);
                    };
                    let size = head::chunk_size(&line)?;
                    if size > self.limit - self.data.len() {
                        return Err(WireError::BodyLimit);
                    }
                    self.state = if size == 0 {
                        ChunkState::Trailer(0)
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::Data(remaining) => {
                    let remaining = remaining - self.take_data(buf, remaining)?;
                    if remaining > 0 {
                        self.state = ChunkState::Data(remaining);
                        return Ok(false);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(WireError::Framing);
                    }
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer(trailer_bytes) => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    head::check_trailer(&line)?;
                    if trailer_bytes + line.len() > MAX_TRAILER_BYTES {
                        return Err(WireError::HeadLimit);
                    }
                    self.state = ChunkState::Trailer(trailer_bytes + line.len());
                }
            }
        }
    }
}

/// Removes one line from the front of `buf` and returns it without its CRLF, or `None` if the line
/// is still incomplete.
fn take_line(buf: &mut Vec<u8>) -> Result<Option<Vec<u8>>, WireError> {
    let end = buf.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(buf.len()) > MAX_LINE_BYTES {
        return Err(WireError::Framing);
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let mut line: Vec<u8> = buf.drain(..=end).collect();
    line.pop();
    if line.pop() != Some(b'\r') {
        return Err(WireError::Framing);
    }
    Ok(Some(line))
}
