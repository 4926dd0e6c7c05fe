//! What workers report about their health and load.

use {
    crate::Notice,
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// The load that a worker reports in its responses, those to health probes included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How long work takes on the worker's machine now, in percent of normal; above 100 is slower.
    pub latency_percent: u32,
    /// Requests being executed.
    pub running: u32,
    /// The most requests that are executed at once.
    pub slots: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
}

/// A worker's response to a health probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// The remaining time of the worker's cold start, zero once it is warm; `None` if the response
    /// doesn't say, as that of a worker which turned the probe away.
    pub cold_remaining: Option<Span>,
    /// Whether the worker reports itself healthy.
    pub healthy: bool,
    /// The id of the worker that responded, if given.
    pub id: Option<unit::Name>,
    /// The worker's load, if given.
    pub load: Option<LoadReport>,
    /// What the worker asks of its callers.
    pub notice: Notice,
}
