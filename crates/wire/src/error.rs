use derive_more::{Display, Error};

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum WireError {
    /// The body is longer than the limit.
    #[display("body is longer than the limit")]
    BodyLimit,
    /// The framing headers are doubled, contradictory or not understood.
    #[display("message framing is not acceptable")]
    Framing,
    /// The head is longer than the limit or has too many lines.
    #[display("head is longer than the limit")]
    HeadLimit,
    /// The head is not HTTP/1.1.
    #[display("head is malformed")]
    Malformed,
    /// The peer closed inside a message.
    #[display("message was cut short")]
    Truncated,
}

impl WireError {
    /// The HTTP status that answers a request that failed so.
    pub const fn status(self) -> u16 {
        match self {
            Self::BodyLimit => 413,
            Self::HeadLimit => 431,
            Self::Framing | Self::Malformed | Self::Truncated => 400,
        }
    }
}
