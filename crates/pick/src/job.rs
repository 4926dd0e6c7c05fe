use {limit::Lane, serde::Serialize, unit::Time};

/// A request that needs a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Job {
    /// The time by which it must have been answered.
    pub deadline: Time,
    /// Calls between it and the outermost one.
    pub depth: u32,
    /// Whether it, or a call above it, is itself a retry or a hedge.
    pub extra: bool,
    /// Unique in this daemon's life.
    pub id: u64,
    /// The line it waits in.
    pub lane: Lane,
    /// Whether it may run once only.
    pub once: bool,
}
