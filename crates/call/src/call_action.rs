use {
    crate::{CallId, LinkId},
    pick::WorkerKey,
    std::net::Ipv4Addr,
    unit::Span,
};

/// An error response that the daemon itself gives to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was sent and failed without a response to deliver; it may have run (status 502).
    Lost,
    /// The request's key is not in force any more, so it has not run and will not run (status 401).
    Unauthorized,
    /// The request was sent, and no response came before the deadline; it may have run (status
    /// 504).
    Timeout,
    /// The request has not run and will not run; the caller may retry after the span (status 503).
    NotRun(Span),
    /// The request has crashed several workers, so this time it has not run and will not run; it is
    /// barred for the span (status 503).
    Barred(Span),
}

/// To whom and how a request is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardOrder {
    /// To how many workers it may be sent.
    pub attempts: u32,
    /// The request.
    pub call: CallId,
    /// The other daemon's address.
    pub helper: Ipv4Addr,
    /// The number of this use of a connection.
    pub link: LinkId,
    /// The time left until the deadline.
    pub time_left: Span,
}

/// An instruction from the dispatcher to the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Stop waiting for a probe or a connection that timed out. A response to the probe that still
    /// comes is reported as [`CallEvent::LateHealth`](crate::CallEvent::LateHealth).
    AbandonProbe(LinkId),
    /// Try whether a worker that broke off a request still accepts connections.
    Check {
        /// The number of this use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
    /// Send a health probe to a worker and keep the connection for the request.
    Probe {
        /// The number of this use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
    /// Close the connection, even with a probe or request in flight on it.
    Close(LinkId),
    /// Give the caller the worker's response on this connection, which ends the request.
    Deliver(CallId, LinkId),
    /// Give the caller an error response from the daemon itself, which ends the request.
    Fail(CallId, CallError),
    /// Take or open a connection to a worker without sending a probe.
    Connect {
        /// The number of this use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
    /// Pass the request on to another daemon.
    Forward(ForwardOrder),
    /// Return the connection to the pool.
    Release(LinkId),
    /// Send the request on the connection, and tell the worker the time left until the deadline.
    Send(CallId, LinkId, Span),
    /// Send a health probe, for no request, to a worker on a new connection.
    Try {
        /// The number of this use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
}
