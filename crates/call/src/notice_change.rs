use pick::{NoticeSource, WorkerKey};

/// A change of what a worker asks of its callers, which its record holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeChange {
    /// The kind of response that brought the change.
    pub source: NoticeSource,
    /// Whether the response held a value that can't be read.
    pub unreadable: bool,
    /// The worker.
    pub worker: WorkerKey,
}
