use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
    unit::{Name, Span},
};

/// The state that a worker reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// The worker will stop soon and wants no new requests.
    Draining,
    /// The worker takes requests.
    Ready,
}

/// A worker's entry in the store, as the worker registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The start of its process run in Unix milliseconds; a higher value under the same id means
    /// that it was restarted.
    pub started_ms: u64,
    /// The data centre in which it runs.
    pub centre: Name,
    /// The remaining time of its cold start when it wrote the entry.
    pub cold_remaining: Span,
    /// Its id, unique among the running workers.
    pub id: Name,
    /// The number of heartbeats that it has written in this process run.
    pub heartbeats: u64,
    /// The service to which it belongs.
    pub service: Name,
    /// The most requests that it executes at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: WorkerState,
    /// The version of its software; empty if the entry names none.
    pub version: Name,
}
