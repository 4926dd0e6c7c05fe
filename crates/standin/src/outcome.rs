/// What a caller knows of a request in the end.
///
/// The order of the variants is that of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// An error response; the request may have run.
    Failed,
    /// A response without this request's id, or a success without a worker's signature.
    Mixed,
    /// A response in which the daemon guarantees that the request did not run.
    NotRun,
    /// A success with this request's id and a worker's signature.
    Served,
    /// The connection ended, or the caller's wait timed out, without a complete response.
    Unanswered,
    /// No connection to the daemon could be opened.
    Unreachable,
}
