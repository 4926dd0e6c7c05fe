use {
    std::time::Instant,
    unit::{Name, Time},
    wire::Conn,
};

/// A request that was sent to a worker.
pub(crate) struct Flight {
    /// The life that the connection was verified for.
    pub(crate) boot: Option<u64>,
    pub(crate) conn: Conn,
    /// When the worker must have answered.
    pub(crate) end: Instant,
    /// Whether the connection had worked before.
    pub(crate) reused: bool,
    pub(crate) sent: Time,
    pub(crate) worker: Name,
}
