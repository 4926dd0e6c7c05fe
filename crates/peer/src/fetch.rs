//! Requests for site changes, and the framing of messages on a stream.

use {
    crate::{PeerError, TopicRevs, codec, decode, encode},
    forward::{ForwardExtended, ForwardRequest},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    site::Revs,
};

/// The size of a frame's length prefix, in bytes.
const PREFIX_BYTES: usize = 4;
/// The maximum size of a message that isn't a list of changes, in bytes.
const MAX_SHORT_BYTES: usize = 16 << 10;

/// Requests the site changes that the sender lacks; the response is a list of
/// [`site::LegacyChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The revisions up to which the sender knows the site.
    pub revs: Revs,
}

/// What a daemon asks of another one on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The site changes that it lacks.
    Fetch(FetchRequest),
    /// To have the request served that follows.
    Forward(ForwardRequest),
    /// The site changes that it lacks if it knows the topics up to these revisions; the response is
    /// a list of [`crate::ChangeSection`]. Only for daemons that read extended messages, like the
    /// next one.
    FetchExtended(TopicRevs),
    /// To have the request served that follows, which may belong to a client account.
    ForwardExtended(ForwardExtended),
}

/// Encodes messages into frames and decodes frames from a stream. A frame is the length of the
/// message as four bytes, big-endian, and then the message.
#[derive(Debug)]
pub struct FrameCodec {
    /// What was received and isn't decoded yet.
    buf: Vec<u8>,
    /// The maximum size of a message, in bytes.
    limit: usize,
}

impl Default for FrameCodec {
    /// Decodes messages of any kind.
    fn default() -> Self {
        Self {
            buf: Vec::new(),
            limit: codec::MAX_MESSAGE_BYTES,
        }
    }
}

impl FrameCodec {
    /// Decodes messages other than lists of changes, which are short.
    pub fn short() -> Self {
        Self {
            limit: MAX_SHORT_BYTES,
            ..Self::default()
        }
    }

    /// Buffers bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes the next message from the buffer; `None` until all of it has been received.
    ///
    /// # Errors
    /// Fails if the message exceeds the size limit or can't be decoded.
    pub fn decode<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        if size > self.limit {
            return Err(PeerError::TooLong);
        }
        if self.buf.len() < PREFIX_BYTES + size {
            return Ok(None);
        }
        let message = decode(&self.buf[PREFIX_BYTES..PREFIX_BYTES + size])?;
        self.buf.drain(..PREFIX_BYTES + size);
        Ok(Some(message))
    }

    /// Takes what was received after the last message.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buf)
    }

    /// Encodes a message into a frame.
    ///
    /// # Errors
    /// Fails if the message can't be encoded or its length doesn't fit in the prefix.
    pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
        let body = encode(message)?;
        let size = u32::try_from(body.len()).map_err(|_| PeerError::TooLong)?;
        let mut out = Vec::with_capacity(PREFIX_BYTES + body.len());
        out.extend_from_slice(&size.to_be_bytes());
        out.extend(body);
        Ok(out)
    }
}
