use {
    crate::{AttemptEnding, CallId, ProbeFailure, Refusal},
    pick::WorkerKey,
    site::LoadReport,
    unit::Span,
};

/// A decision about a request, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// The request.
    pub call: CallId,
    /// The time since it arrived.
    pub elapsed: Span,
    /// What was decided.
    pub decision: Decision,
}

/// What was decided about a request, and by which inputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A worker's answer ends it, or lets it go on.
    AttemptEnded {
        /// How the request to the worker ended.
        ending: AttemptEnding,
        /// The worker.
        worker: WorkerKey,
    },
    /// A worker was asked and not taken.
    Skipped {
        /// Why it did not answer; `None` where it answered.
        failure: Option<ProbeFailure>,
        /// What it said.
        load: Option<LoadReport>,
        /// The worker.
        worker: WorkerKey,
    },
    /// The caller gets an answer of the product's own.
    Refused(Refusal),
    /// It is sent to a worker.
    Sent {
        /// How many times it was sent before.
        prior_sends: u32,
        /// Whether the worker is cold.
        cold: bool,
        /// When the answer is expected.
        expected: Span,
        /// What the worker said.
        load: Option<LoadReport>,
        /// The worker.
        worker: WorkerKey,
    },
    /// No worker has room; it waits.
    Backoff(Span),
}
