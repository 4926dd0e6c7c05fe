use {
    crate::{PeerError, codec, decode, encode},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    site::Revs,
};

/// The bytes of a frame's length.
const PREFIX: usize = 4;

/// Asks another daemon for what the asker lacks of the site; the answer is a list of
/// [`site::Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// What the asker knows.
    pub revs: Revs,
}

/// Messages on a stream, each behind its length.
#[derive(Debug, Default)]
pub struct FrameCodec(Vec<u8>);

impl FrameCodec {
    /// Takes bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole message, where one has arrived.
    ///
    /// # Errors
    /// Fails where it is too long or can't be read.
    pub fn decode<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        let Some(prefix) = self.0.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*prefix) as usize;
        if size > codec::MAX_MESSAGE {
            return Err(PeerError::TooLong);
        }
        if self.0.len() < PREFIX + size {
            return Ok(None);
        }
        let message = decode(&self.0[PREFIX..PREFIX + size])?;
        self.0.drain(..PREFIX + size);
        Ok(Some(message))
    }

    /// Writes a message behind its length.
    ///
    /// # Errors
    /// Fails where it is too long.
    pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
        let body = encode(message)?;
        let size = u32::try_from(body.len()).map_err(|_| PeerError::TooLong)?;
        let mut out = Vec::with_capacity(PREFIX + body.len());
        out.extend_from_slice(&size.to_be_bytes());
        out.extend(body);
        Ok(out)
    }
}
