use {
    crate::PeerError,
    bincode::config::{Configuration, Limit, LittleEndian, Varint},
    serde::{Serialize, de::DeserializeOwned},
};

/// The longest message, in bytes.
pub(crate) const MAX_MESSAGE: usize = 8 << 20;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE>();

/// Writes a message.
///
/// # Errors
/// Fails where it is longer than a message may be.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    Ok(bincode::serde::encode_to_vec(message, CONFIG)?)
}

/// Reads a message that fills `bytes`.
///
/// # Errors
/// Fails where the bytes are anything but one whole message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, CONFIG)?;
    if used < bytes.len() {
        return Err(PeerError::TooLong);
    }
    Ok(message)
}
