use derive_more::{Display, Error};

/// The reason why a message could not be parsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum WireError {
    /// The body is longer than the limit.
    #[display("body is longer than the limit")]
    BodyLimit,
    /// The framing headers are invalid, contradictory or unsupported, or the chunked body is
    /// malformed.
    #[display("message framing is not acceptable")]
    Framing,
    /// The head or the trailer section is longer than the limit, or the head has too many header
    /// lines.
    #[display("head is longer than the limit")]
    HeadLimit,
    /// The head is not valid HTTP/1.
    #[display("head is malformed")]
    Malformed,
    /// The connection ended before the message was complete.
    #[display("message was cut short")]
    Truncated,
}

impl WireError {
    /// The HTTP status of the response to a request with this error.
    pub const fn status(self) -> u16 {
        match self {
            Self::BodyLimit => 413,
            Self::HeadLimit => 431,
            Self::Framing | Self::Malformed | Self::Truncated => 400,
        }
    }
}
