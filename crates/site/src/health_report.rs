use {
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// What a worker says of its load in one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How long work takes on its machine now, in percent of the usual.
    pub latency_percent: u32,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that it works on at most.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// What a worker's health endpoint answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// How much longer the worker is cold.
    pub cold_remaining: Span,
    /// Whether it calls itself healthy.
    pub healthy: bool,
    /// The id of the worker that answered, where it gave one.
    pub id: Option<unit::Name>,
    /// Its load, where it tells.
    pub load: Option<LoadReport>,
}
