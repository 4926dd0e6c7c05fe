use {
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// How a service's workers bear load right after their start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests a second that a cold worker bears.
    pub rate: f64,
    /// How long a worker stays cold.
    pub span: Span,
}

/// A group of workers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How its workers bear load after their start.
    pub cold_start: ColdStart,
    /// The most connections that a worker accepts from all daemons together.
    pub max_conns: u32,
    /// The path of the health endpoint.
    pub health_path: Name,
    /// The service's name.
    pub name: Name,
}
