use {
    crate::{
        CallId, LinkId, StopPlan,
        attempt_ending::{AttemptReport, ProbeFailure},
        forwarding::ForwardEnding,
    },
    pick::WorkerKey,
    poison::Fingerprint,
    site::{Account, Credential, HealthReport, Notice, Route},
    std::sync::Arc,
    unit::{Name, Span},
};

/// A request that has arrived from a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The client account that it was admitted for; `None` if it has none.
    pub account: Option<Arc<Account>>,
    /// The new request's number.
    pub call: CallId,
    /// By what its account is checked again before each send.
    pub credential: Credential,
    /// By what the request is known when it comes again.
    pub fingerprint: Fingerprint,
    /// What the daemon said that forwarded the request; `None` if it came from its caller.
    pub forwarded: Option<Forwarded>,
    /// How long the caller waits for the response; `None` if the request doesn't say.
    pub timeout: Option<Span>,
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// How long the request has waited already.
    pub waited: Span,
}

/// What a daemon says of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// To how many workers it may be sent.
    pub attempts: u32,
    /// The service that it goes to.
    pub service: Name,
}

/// The timeout of a request whose caller gives none. The route's timeout applies as well; the
/// shorter one counts.
const DEFAULT_TIMEOUT: Span = Span::secs(30);

impl Arrival {
    /// How long the request may take from now.
    pub fn max_wait(&self) -> Span {
        let timeout = self.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = timeout.min(self.route.timeout);
        timeout.saturating_sub(self.waited)
    }
}

/// Whether a worker that broke off a request still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It accepted one.
    Alive,
    /// It refused one, or didn't accept it in time.
    Down,
    /// No connection could be tried.
    Unknown,
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
    /// A connection asked for with [`CallAction::Check`](crate::CallAction::Check) was accepted, or
    /// wasn't.
    CheckEnded(LinkId, Liveness),
    /// A connection asked for with [`CallAction::Connect`](crate::CallAction::Connect) is ready, or
    /// failed.
    ConnectEnded(LinkId, Result<(), ProbeFailure>),
    /// A request that was forwarded to another daemon ended.
    ForwardEnded(LinkId, ForwardEnding),
    /// This daemon stops by this plan.
    Stopping(StopPlan),
    /// All requests in progress are to be answered, as this daemon ends.
    StopEnded,
    /// The time given by [`Dispatcher::next_tick`](crate::Dispatcher::next_tick) has come.
    Tick,
    /// A helper passes on the response of the worker with this hash of its process run, which asks
    /// something of all that pass it on.
    NoticePassedOn(u32, Notice),
    /// The head of a worker's response to a request has arrived, and asks something of its callers.
    NoticeHeard(WorkerKey, Notice),
    /// A worker responded to a probe after the probe had been abandoned.
    LateHealth(WorkerKey, HealthReport),
}
