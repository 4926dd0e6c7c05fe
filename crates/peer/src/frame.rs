use {
    crate::{Beat, PeerError},
    bincode::{Decode, Encode, config},
    pick::Msg,
};

/// The longest frame, in bytes.
pub const LIMIT: usize = 8 << 20;

/// What one daemon sends another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Frame {
    /// A heartbeat.
    Beat(Beat),
    /// From the desk of a service to the same service's desk.
    Desk {
        /// What it says.
        msg: Msg,
        /// The service.
        service: String,
    },
    /// Asks for a newer site and a newer list of VMs.
    Fetch {
        /// The newest generation of the sender.
        generation: u64,
        /// The version of the sender's list.
        list: u64,
    },
    /// An [`crate::Update`] as JSON.
    Update(Vec<u8>),
}

/// The bytes of a frame.
///
/// # Errors
/// Fails where the frame is longer than [`LIMIT`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, PeerError> {
    Ok(bincode::encode_to_vec(
        frame,
        config::standard().with_limit::<LIMIT>(),
    )?)
}

/// The frame in `bytes`, which must end with it.
///
/// # Errors
/// Fails on bytes that are no frame; allocates no more than [`LIMIT`] bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, PeerError> {
    let (frame, used) =
        bincode::decode_from_slice(bytes, config::standard().with_limit::<LIMIT>())?;
    if used == bytes.len() {
        Ok(frame)
    } else {
        Err(PeerError::Decode(bincode::error::DecodeError::Other(
            "bytes after the frame",
        )))
    }
}
