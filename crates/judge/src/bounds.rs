use {
    serde::{Deserialize, Serialize},
    unit::{Map, Name, Span},
};

/// The bounds of the promises in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// How long after a route's timeout a request may still be unanswered.
    pub answer_slack: Span,
    /// The requests in any second that a cold worker of each service may get from all daemons.
    pub cold: Map<Name, f64>,
    /// How long a worker that drains may still get requests.
    pub drain: Span,
    /// How long an evacuated data centre may still get requests.
    pub evacuation: Span,
    /// How many requests may lose their connection without an answer.
    pub lost: usize,
    /// The memory that a daemon may take, in bytes.
    pub memory: u64,
    /// The runs of requests of each client account in any [`Self::quota_window`].
    pub quotas: Map<Name, f64>,
    /// The window of the quotas.
    pub quota_window: Span,
    /// The bound on retries of each service.
    pub retries: RetryBound,
    /// How long after a disruption the bounds on the spreading of changes don't hold.
    pub settle: Span,
}

/// The bound on requests that are sent to a further worker, over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryBound {
    /// Retries in a window that are allowed beside those by the ratio.
    pub extra: f64,
    /// Allowed retries for each request.
    pub ratio: f64,
    /// The window.
    pub window: Span,
}
