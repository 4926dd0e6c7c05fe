use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
    unit::{Name, Span},
};

/// What a worker says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It leaves soon and wants no new work.
    Draining,
    /// It takes work.
    Ready,
}

/// A worker as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Unix milliseconds of its start; a higher value under the same id is a new life.
    pub started_ms: u64,
    /// Its data centre.
    pub centre: Name,
    /// How much longer it was cold when it wrote the entry.
    pub cold_remaining: Span,
    /// Its id, unique among the workers that live.
    pub id: Name,
    /// Its count of heartbeats in this life.
    pub heartbeats: u64,
    /// Its service.
    pub service: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: WorkerState,
}
