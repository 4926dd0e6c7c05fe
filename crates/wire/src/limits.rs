/// The most header lines in a head.
pub(crate) const MAX_LINES: usize = 96;

/// Bounds on the size of one message, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest body.
    pub body_bytes: usize,
    /// The longest head, with its request or status line.
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
