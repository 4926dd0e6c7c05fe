use {
    crate::{
        CallId, LinkId,
        answer::{AskFailure, Told},
    },
    pick::WorkerKey,
    site::{HealthReport, Route},
    std::sync::Arc,
    unit::Span,
};

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Begin {
    /// The request.
    pub call: CallId,
    /// How long the caller waits; `None` where it doesn't say.
    pub deadline: Option<Span>,
    /// Its route.
    pub route: Arc<Route>,
}

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request to a worker ended.
    Answered(LinkId, Told),
    /// A worker told whether it has room.
    Asked(LinkId, Result<HealthReport, AskFailure>),
    /// A request arrived whole.
    Begin(Begin),
    /// The caller went away.
    Gone(CallId),
    /// A connection is ready, or can't be had.
    Opened(LinkId, Result<(), AskFailure>),
    /// Time passed.
    Tick,
    /// A worker told of itself after nobody waited for it any more.
    Told(WorkerKey, HealthReport),
}
