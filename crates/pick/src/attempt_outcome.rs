use unit::Span;

/// How one attempt, a request sent to one worker, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt was no longer needed: the caller went away or another worker answered first. It
    /// says nothing about the worker.
    Cancelled,
    /// The worker failed: an error, a corrupt answer, a reset, or no answer in time.
    Failed,
    /// The worker refused the request without running it.
    NotRun,
    /// The worker served the request in this time.
    Served(Span),
}
