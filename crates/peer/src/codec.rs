use {
    crate::PeerError,
    bincode::config::{Configuration, Limit, LittleEndian, Varint},
    serde::{Serialize, de::DeserializeOwned},
};

/// The maximum size of a message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

const BINCODE_CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes a message.
///
/// # Errors
/// Fails if the message can't be encoded or is longer than one that is decoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    let bytes = bincode::serde::encode_to_vec(message, BINCODE_CONFIG)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message that fills `bytes`.
///
/// # Errors
/// Fails if `bytes` is anything but one complete message within the size limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, BINCODE_CONFIG)?;
    if used < bytes.len() {
        return Err(PeerError::TooLong);
    }
    Ok(message)
}
