/// What a caller knows of a request in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// It was answered with an error, and may have run.
    Failed,
    /// It was answered, and the answer isn't the worker's whole answer to it.
    Mixed,
    /// It has not run, by the daemon's promise.
    NotRun,
    /// It was served.
    Served,
    /// The connection ended without an answer.
    Unanswered,
    /// No connection could be made.
    Unreachable,
}
