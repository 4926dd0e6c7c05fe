use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The longest body, in bytes.
    pub body: usize,
    /// The longest head, in bytes.
    pub head: usize,
    /// How long a head may take to arrive after its first byte.
    pub head_time: Span,
    /// How long a connection may wait for its next request.
    pub idle: Span,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            head: 16 << 10,
            head_time: Span::secs(3),
            idle: Span::secs(15),
        }
    }
}
