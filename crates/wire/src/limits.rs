use std::time::Duration;

/// Bounds on what one connection may cost.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest body, in bytes.
    pub body: usize,
    /// How long a body may take to arrive.
    pub body_time: Duration,
    /// The most connections that are open at once.
    pub conns: usize,
    /// The longest head, in bytes.
    pub head: usize,
    /// How long a head may take to arrive after its first byte.
    pub head_time: Duration,
    /// The most header lines in a head; at most 96.
    pub headers: usize,
    /// How long a connection may wait for its next request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            body_time: Duration::from_secs(10),
            conns: 2_000,
            head: 16 << 10,
            head_time: Duration::from_secs(5),
            headers: 64,
            idle: Duration::from_secs(60),
        }
    }
}
