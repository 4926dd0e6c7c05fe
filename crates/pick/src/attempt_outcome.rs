use unit::Span;

/// How one request to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The caller or a faster worker made it needless; it says nothing of the worker.
    Cancelled,
    /// The worker failed it: an error, a spoiled answer, a reset, or no answer in time.
    Failed,
    /// The worker refused it without running it.
    NotRun,
    /// The worker served it, so many times as slowly as its load let expect.
    Served(Span),
}
