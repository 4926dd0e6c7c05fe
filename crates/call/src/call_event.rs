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

/// A request that has arrived from a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The new request's number.
    pub call: CallId,
    /// How long the caller waits for the response; `None` if the request doesn't say.
    pub timeout: Option<Span>,
    /// The route that matched the request.
    pub route: Arc<Route>,
}

/// An event that the daemon reports to the dispatcher.
#[derive(Clone, Debug)]
pub enum CallEvent {
    /// A request that was sent to a worker ended.
    AttemptEnded(LinkId, AttemptReport),
    /// The worker responded to a health probe, or the probe failed.
    ProbeEnded(LinkId, Result<HealthReport, ProbeFailure>),
    /// A request arrived completely from a caller.
    Arrived(Arrival),
    /// The caller closed its connection before the response.
    CallerDisconnected(CallId),
    /// A connection asked for with [`CallAction::Connect`](crate::CallAction::Connect) is ready, or
    /// failed.
    ConnectEnded(LinkId, Result<(), ProbeFailure>),
    /// The time given by [`Dispatcher::next_tick`](crate::Dispatcher::next_tick) has come.
    Tick,
    /// A worker responded to a probe after the probe had been abandoned.
    LateHealth(WorkerKey, HealthReport),
}
