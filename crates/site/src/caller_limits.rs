use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// How long a head may take to arrive after its first byte.
    pub head_timeout: Span,
    /// How long a connection may wait for its next request.
    pub idle_timeout: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            head_timeout: Span::secs(3),
            idle_timeout: Span::secs(15),
        }
    }
}
