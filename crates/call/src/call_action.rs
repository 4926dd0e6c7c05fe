use {
    crate::{CallId, LinkId},
    pick::WorkerKey,
    unit::Span,
};

/// Why a request gets an answer of the product's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was sent, and whether it ran isn't known.
    Lost,
    /// It was sent, and no answer came in time.
    Timeout,
    /// It did not run and never will; the caller may come back after a while.
    NotRun(Span),
}

/// What the process does for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Wait no longer for the answer to a question. It may still come, and is told then.
    AbandonProbe(LinkId),
    /// Ask a worker's health endpoint on a connection that is then kept for the request.
    Probe {
        /// The use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
    /// Close the connection, whatever is under way on it.
    Close(LinkId),
    /// Give the caller the worker's answer on this connection, which ends the request.
    Deliver(CallId, LinkId),
    /// Give the caller an answer of the product's own, which ends the request.
    Refuse(CallId, Refusal),
    /// Have a connection to a worker ready without asking it anything.
    Connect {
        /// The use of the connection.
        link: LinkId,
        /// The worker.
        worker: WorkerKey,
    },
    /// The connection is free for other requests.
    Release(LinkId),
    /// Send the request on the connection, telling the worker how much time is left.
    Send(CallId, LinkId, Span),
}
