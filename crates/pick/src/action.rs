use {
    crate::{Decision, Msg},
    serde::Serialize,
    unit::{Name, Span, Time},
};

/// What the shell is to do for a desk.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Send a request to a worker.
    Assign {
        /// The life that a new connection must show; `None` where it isn't looked at.
        boot: Option<u64>,
        /// Until when a new connection may be opened, counted as one measuring request; `None`
        /// where an idle one is to be used.
        dial: Option<Time>,
        /// When the worker must have ended it; `None` for the request's own deadline. Nothing
        /// may be sent after it.
        expires: Option<Time>,
        /// The request.
        id: u64,
        /// The worker.
        worker: Name,
    },
    /// Open a connection to a worker ahead of requests, and ask nothing on it after this time.
    Dial(Name, Time),
    /// Close every idle connection to a worker.
    Drop(Name),
    /// Note something that operators want explained.
    Note(Decision),
    /// Refuse a request as not run, at once.
    Refuse {
        /// When the caller should come back.
        after: Span,
        /// The request.
        id: u64,
        /// Why.
        why: Refusal,
    },
    /// Tell a peer's desk of the same service.
    Send(Name, Msg),
    /// Tell every peer's desk of the same service.
    Tell(Msg),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The budget of retries and hedges is spent.
    Budget,
    /// Its deadline passed while it waited.
    Deadline,
    /// The queue is full or too slow.
    Full,
    /// Workers are leaving, and the request can wait.
    Leaving,
    /// No worker is open.
    Nobody,
}
