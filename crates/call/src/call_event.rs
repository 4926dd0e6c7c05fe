use {
    crate::{
        CallId, LinkId,
        attempt_ending::{AttemptReport, ProbeFailure},
    },
    pick::WorkerKey,
    site::{HealthReport, Route},
    std::sync::Arc,
    unit::Span,
};

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub call: CallId,
    /// How long the caller waits; `None` where it doesn't say.
    pub timeout: Option<Span>,
    /// Its route.
    pub route: Arc<Route>,
}

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// A request to a worker ended.
    AttemptEnded(LinkId, AttemptReport),
    /// A worker told whether it has room.
    ProbeEnded(LinkId, Result<HealthReport, ProbeFailure>),
    /// A request arrived whole.
    Arrived(Arrival),
    /// The caller went away.
    CallerDisconnected(CallId),
    /// A connection is ready, or can't be had.
    ConnectEnded(LinkId, Result<(), ProbeFailure>),
    /// Time passed.
    Tick,
    /// A worker told of itself after nobody waited for it any more.
    LateHealth(WorkerKey, HealthReport),
}
