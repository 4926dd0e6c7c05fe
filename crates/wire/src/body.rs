use crate::WireError;

/// The longest chunk-size or trailer line, in bytes.
const MAX_LINE: usize = 1 << 10;
/// The most bytes of trailer lines after a chunked body.
const MAX_TRAILER: usize = 8 << 10;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By chunk sizes.
    Chunked,
    /// By a length in bytes.
    Sized(usize),
    /// By the end of the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Data(usize),
    DataEnd,
    Size,
    Trailer(usize),
}

/// Collects one body from the bytes that arrive.
#[derive(Debug)]
pub(crate) struct BodyReader {
    data: Vec<u8>,
    framing: Framing,
    limit: usize,
    part: Part,
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
            part: Part::Size,
        })
    }

    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    pub(crate) fn into_data(self) -> Vec<u8> {
        self.data
    }

    /// Takes what belongs to the body out of `buf`; true when the body is whole.
    pub(crate) fn feed(&mut self, buf: &mut Vec<u8>) -> Result<bool, WireError> {
        match self.framing {
            Framing::Chunked => self.chunks(buf),
            Framing::Sized(size) => {
                self.take(buf, size - self.data.len())?;
                Ok(self.data.len() == size)
            }
            Framing::UntilClose => {
                self.take(buf, usize::MAX)?;
                Ok(false)
            }
        }
    }

    fn take(&mut self, buf: &mut Vec<u8>, most: usize) -> Result<usize, WireError> {
        let size = most.min(buf.len());
        if self.data.len() + size > self.limit {
            return Err(WireError::BodyLimit);
        }
        self.data.extend(buf.drain(..size));
        Ok(size)
    }

    fn chunks(&mut self, buf: &mut Vec<u8>) -> Result<bool, WireError> {
        loop {
            match self.part {
                Part::Size => {
                    let Some(size) = chunk_size(buf)? else {
                        return Ok(false);
                    };
                    if size > self.limit - self.data.len() {
                        return Err(WireError::BodyLimit);
                    }
                    self.part = if size == 0 {
                        Part::Trailer(0)
                    } else {
                        Part::Data(size)
                    };
                }
                Part::Data(left) => {
                    let left = left - self.take(buf, left)?;
                    if left > 0 {
                        self.part = Part::Data(left);
                        return Ok(false);
                    }
                    self.part = Part::DataEnd;
                }
                Part::DataEnd => {
                    let Some(line) = line(buf)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(WireError::Framing);
                    }
                    self.part = Part::Size;
                }
                Part::Trailer(seen) => {
                    let Some(line) = line(buf)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    if seen + line.len() > MAX_TRAILER {
                        return Err(WireError::HeadLimit);
                    }
                    self.part = Part::Trailer(seen + line.len());
                }
            }
        }
    }
}

fn chunk_size(buf: &mut Vec<u8>) -> Result<Option<usize>, WireError> {
    match httparse::parse_chunk_size(buf) {
        Ok(httparse::Status::Complete((used, size))) => {
            buf.drain(..used);
            let size = usize::try_from(size).map_err(|_| WireError::BodyLimit)?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buf.len() <= MAX_LINE => Ok(None),
        _ => Err(WireError::Framing),
    }
}

/// Takes one line without its end.
fn line(buf: &mut Vec<u8>) -> Result<Option<Vec<u8>>, WireError> {
    let Some(end) = buf.iter().position(|byte| *byte == b'\n') else {
        return if buf.len() > MAX_LINE {
            Err(WireError::Framing)
        } else {
            Ok(None)
        };
    };
    let mut line: Vec<u8> = buf.drain(..=end).collect();
    line.pop();
    if line.pop() != Some(b'\r') {
        return Err(WireError::Framing);
    }
    Ok(Some(line))
}
