use derive_more::{Display, Error, From};

/// Why a message between daemons could not be written or read.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// It is no message of ours.
    #[display("not readable: {_0}")]
    #[from]
    Decode(bincode::error::DecodeError),
    /// It could not be written.
    #[display("not writable: {_0}")]
    #[from]
    Encode(bincode::error::EncodeError),
    /// It is longer than a message may be.
    #[display("longer than a message may be")]
    TooLong,
}
