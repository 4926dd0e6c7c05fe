use {
    crate::Fingerprint,
    serde::{Deserialize, Serialize},
    unit::Span,
};

/// What a daemon tells another of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The time since it happened.
    pub age: Span,
    /// The request.
    pub request: Fingerprint,
    /// The hash of the process run of the worker that crashed with the request in flight; `None` if
    /// a worker served the request, which ends all that was held against it.
    pub run: Option<u32>,
}
