use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest request body, in bytes.
    pub body_bytes: usize,
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// How long a request head may take to arrive, from its first byte on.
    pub head_timeout: Span,
    /// How long a connection may stay idle before its next request.
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
