/// Maximum number of header lines in a head.
pub(crate) const MAX_HEADERS: usize = 96;

/// Size limits for one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the decoded body, in bytes.
    pub body_bytes: usize,
    /// Maximum length of the head, including the request or status line, in bytes.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
        }
    }
}
