use {
    derive_more::{Display, Error, From},
    std::io,
};

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum WireError {
    /// The body is longer than the limit.
    #[display("body is longer than the limit")]
    BodyLimit,
    /// The peer closed before the first byte of a message.
    #[display("connection closed")]
    Closed,
    /// The framing headers are absent, doubled or contradictory.
    #[display("message framing is not acceptable")]
    Framing,
    /// The head is longer than the limit or has too many lines.
    #[display("head is longer than the limit")]
    HeadLimit,
    /// The socket failed.
    #[display("socket error: {_0}")]
    #[from]
    Io(io::Error),
    /// The head is not HTTP/1.1.
    #[display("head is malformed: {_0}")]
    #[from]
    Malformed(httparse::Error),
    /// The peer closed inside a message.
    #[display("message was cut short")]
    Short,
    /// The deadline passed while waiting.
    #[display("timed out")]
    Timeout,
}

impl WireError {
    /// The HTTP status that answers a request that failed so; `None` where none can be sent.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::BodyLimit => Some(413),
            Self::Closed | Self::Io(_) | Self::Short => None,
            Self::Framing | Self::Malformed(_) => Some(400),
            Self::HeadLimit => Some(431),
            Self::Timeout => Some(408),
        }
    }
}
