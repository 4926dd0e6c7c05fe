use {serde::Serialize, unit::Span};

/// How a request to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// A whole answer came, this long after the request was sent.
    Answered(Span),
    /// It was cancelled: the caller went away or another worker was faster.
    Cancelled,
    /// The worker said that it is leaving, and did not run it.
    Draining,
    /// The worker answered with a server error, this long after the request was sent.
    Erred(Span),
    /// The connection failed after bytes had left, or the deadline passed.
    Failed,
    /// The worker said that it did not run it.
    Shed,
    /// The deadline passed without a byte from the worker on a connection that had worked before.
    Silent,
    /// No byte left: the pool had fewer connections than the desk knew of.
    Unconnected,
    /// No byte left: no connection could be had.
    Unsent,
}
