use {
    serde::{Deserialize, Serialize},
    unit::{Name, Span},
};

/// How a service's workers may be loaded right after their start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests per second that a cold worker can take.
    pub rate: f64,
    /// How long a worker stays cold after its start.
    pub span: Span,
}

/// A group of workers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How its workers may be loaded right after their start.
    pub cold_start: ColdStart,
    /// The most connections that one worker accepts from all daemons together.
    pub max_conns: u32,
    /// The path of the workers' health endpoint.
    pub health_path: Name,
    /// The service's name.
    pub name: Name,
}
