use pick::{NoticeSource, WorkerKey};

/// A worker's response changed what this daemon knows of its wishes; the worker's record has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeChange {
    /// The kind of response that brought the change.
    pub source: NoticeSource,
    /// Whether the response held a value that can't be read.
    pub unreadable: bool,
    /// The worker.
    pub worker: WorkerKey,
}
