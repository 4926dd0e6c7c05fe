use derive_more::{Display, Error, From};

/// Why a message between daemons can't be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The bytes are not a valid message.
    #[display("not readable: {_0}")]
    #[from]
    Decode(bincode::error::DecodeError),
    /// The message can't be encoded.
    #[display("not writable: {_0}")]
    #[from]
    Encode(bincode::error::EncodeError),
    /// The message is longer than the size limit or the length prefix allows, or more bytes follow
    /// it.
    #[display("longer than a message may be")]
    TooLong,
}
