use {
    derive_more::{Display, Error, From},
    std::io,
};

/// Why a link to a peer, or its keys, failed.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The peer did not prove the shared key.
    #[display("peer did not prove the shared key")]
    Proof,
    /// The key file can't be used.
    #[display("key file: {reason}")]
    #[from(skip)]
    Keys {
        /// What is wrong, and the way out.
        reason: String,
    },
    /// A frame could not be read.
    #[display("frame is not valid: {_0}")]
    Decode(bincode::error::DecodeError),
    /// A frame could not be written.
    #[display("frame can't be written: {_0}")]
    Encode(bincode::error::EncodeError),
    /// The stream failed.
    #[display("stream error: {_0}")]
    Stream(h2::Error),
    /// The socket failed.
    #[display("socket error: {_0}")]
    Io(io::Error),
    /// The encryption failed.
    #[display("encryption error: {_0}")]
    Tls(rustls::Error),
    /// The certificate could not be made.
    #[display("certificate error: {_0}")]
    Certificate(rcgen::Error),
    /// The peer took too long.
    #[display("peer took too long")]
    Timeout,
}
