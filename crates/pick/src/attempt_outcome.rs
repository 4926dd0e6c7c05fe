use unit::Span;

/// How one attempt, a request sent to one worker, ended, as far as it tells something about the
/// worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt was no longer needed: the caller disconnected or another worker responded first.
    /// It says nothing about the worker.
    Cancelled,
    /// The worker failed: a server error, an invalid response, a lost connection, or no response in
    /// time.
    Failed,
    /// The request did not run: it was refused, or no byte of it was sent.
    NotRun,
    /// The worker served the request in this time.
    Served(Span),
}
